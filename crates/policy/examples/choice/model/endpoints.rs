//! Daemons and upstreams of the simulation.

use cornelvalve_model::{FailureDomain, Incarnation, LoadHint, Moment, Region, VmName};
use cornelvalve_policy::{
    AdmissionController, AdmissionEvent, AdmissionSettings, Balancer, BalancerSettings,
    CircuitBreaker, ConsecutiveFailureBreaker, Endpoint, EndpointIncarnation, HedgeBudget,
    LeastOutstanding, Locality, NoopBreaker, Picker, PowerOfTwo, RetryBudget, RoundRobin,
};

use crate::variant::{PickerKind, Variant};

/// Number of upstreams; each of them and its guard are one endpoint.
pub(super) const UPSTREAMS: usize = 6;
/// Number of requests that one upstream can run concurrently without slowing down.
pub(super) const SLOTS: u16 = 10;

/// Daemon that receives requests and selects an upstream for each attempt.
pub(super) struct Entry {
    pub(super) balancer: Balancer,
    /// Circuit breaker of each endpoint.
    pub(super) breakers: Vec<Box<dyn CircuitBreaker>>,
    pub(super) retries: RetryBudget,
    pub(super) hedges: HedgeBudget,
}

/// Upstream and its guard.
pub(super) struct SimulatedUpstream {
    pub(super) admission: AdmissionController,
    /// Number of requests running at the upstream.
    pub(super) running: u32,
    /// Number of requests until the upstream is warm.
    pub(super) cold_left: u32,
    /// Load that is reported with responses.
    pub(super) hint: LoadHint,
    /// Moment at which `hint` was updated.
    pub(super) hint_at: Moment,
}

/// Creates the endpoint with this index.
pub(super) fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        vm: VmName::new(&format!("vm-{index}")).expect("valid name"),
        incarnation: EndpointIncarnation::default(),
        peer_addr: ([127, 0, 0, 1], 7000).into(),
        region: Region::new("qc-est").expect("valid name"),
        domain: domain(index),
        slots: SLOTS.into(),
    }
}

/// Returns the failure domain of the VM with this index.
pub(super) fn domain(index: usize) -> FailureDomain {
    FailureDomain::new(["est-a", "est-b"][index % 2]).expect("valid name")
}

pub(super) fn entry(index: usize, variant: Variant) -> Entry {
    let seed = index as u64;
    let picker: Box<dyn Picker + Send> = match variant.picker {
        PickerKind::RoundRobin => Box::new(RoundRobin::new()),
        PickerKind::LeastOutstanding => Box::new(LeastOutstanding::new()),
        PickerKind::PowerOfTwo => Box::new(PowerOfTwo::new(seed)),
    };
    let settings = BalancerSettings {
        penalize_stragglers: variant.penalize_stragglers,
        eject_outliers: variant.ejection,
        failure_penalty: variant.failure_penalty,
        ..BalancerSettings::default()
    };
    let locality = Locality {
        region: Region::new("qc-est").expect("valid name"),
        domain: domain(index),
    };
    let breaker = || -> Box<dyn CircuitBreaker> {
        if variant.breaker {
            Box::new(ConsecutiveFailureBreaker::new())
        } else {
            Box::new(NoopBreaker)
        }
    };
    Entry {
        balancer: Balancer::new(settings, locality, picker, seed),
        breakers: (0..UPSTREAMS).map(|_| breaker()).collect(),
        retries: RetryBudget::new(),
        hedges: HedgeBudget::new(),
    }
}

pub(super) fn simulated_upstream(variant: Variant) -> SimulatedUpstream {
    let mut admission = AdmissionController::new(AdmissionSettings::default());
    let incarnation = Incarnation(1);
    let started = AdmissionEvent::UpstreamAnnounced {
        incarnation,
        slots: SLOTS,
    };
    let _ = admission.handle_event(started, Moment(0));
    SimulatedUpstream {
        admission,
        running: 0,
        // Upstreams start warm, so that only the injected fault causes a cold phase.
        cold_left: 0,
        hint: LoadHint {
            // Admission control starts with a limit of 2.
            limit: if variant.admission { 2 } else { SLOTS },
            ..LoadHint::default()
        },
        hint_at: Moment(0),
    }
}
