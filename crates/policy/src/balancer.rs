//! Load balancer: chooses the upstream for each attempt and tracks the state of its endpoints.
//!
//! The balancer runs in the entry, the daemon that receives requests from callers. An attempt goes
//! to the guard, the daemon on the VM of the chosen upstream, which admits or refuses it. One
//! request may take several attempts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{
    FailureDomain, Incarnation, LoadHint, Moment, Reason, Refusal, Region, ServiceName, VmName,
};
use derive_more::Debug;

use crate::{Candidate, Picker};

mod endpoint;
mod service;
mod subset;

use service::ServiceState;

/// Identifies an attempt within one balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Incarnations of a guard and of its upstream.
///
/// The balancer keeps what it knows about an endpoint until one of the two restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EndpointIncarnation {
    /// Identifies the run of the guard's process.
    pub daemon: Incarnation,
    /// Identifies the run of the upstream process.
    pub upstream: Incarnation,
}

/// Destination of attempts: an upstream and its guard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// VM on which both run.
    pub vm: VmName,
    /// Incarnations of both.
    pub incarnation: EndpointIncarnation,
    /// Address at which the guard accepts requests from other daemons.
    pub peer_addr: SocketAddr,
    /// Region of the VM.
    pub region: Region,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Number of requests that the upstream can run concurrently, after the first, slower requests
    /// that follow its start.
    pub slots: u32,
}

/// Region and failure domain of the entry.
#[derive(Clone, Debug)]
pub struct Locality {
    /// Region of the VM.
    pub region: Region,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
}

/// Settings of a [`Balancer`].
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Maximum number of endpoints of a service that one entry uses; bounds its connections and
    /// state.
    pub subset_size: usize,
    /// Half-life of the weight of a load hint, the load that a guard reports with its response.
    /// Load changes within milliseconds: with a half-life of 20 ms, hints up to 200 ms old gave a
    /// p99 latency of 41 ms instead of 25 ms, and 4.5% of the requests failed.
    pub hint_decay: Duration,
    /// Half-life of the weight of a past failure.
    pub failure_decay: Duration,
    /// Score penalty for one recent failure, expressed as a number of outstanding requests.
    pub failure_penalty: f64,
    /// Whether a latency above the median of the service's endpoints increases the score.
    pub penalize_stragglers: bool,
    /// Whether endpoints that are slow or fail are excluded (ejected) for a limited time.
    pub eject_outliers: bool,
    /// Maximum fraction of a service's endpoints that may be ejected at the same time. The first
    /// ejection is always allowed if the service has another endpoint.
    pub max_ejected: f64,
    /// Duration of the first ejection of an endpoint; doubles with each consecutive ejection.
    pub ejection_time: Duration,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        Self {
            subset_size: 24,
            hint_decay: Duration::from_millis(5),
            failure_decay: Duration::from_secs(2),
            failure_penalty: 4.0,
            penalize_stragglers: true,
            eject_outliers: true,
            // Slightly more than a third, so that one of three endpoints may be ejected.
            max_ejected: 0.34,
            ejection_time: Duration::from_secs(2),
        }
    }
}

/// Request for which the balancer chooses an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service that the request is sent to.
    pub service: &'a ServiceName,
    /// Regions in which the request may be served; `None` allows all regions.
    pub allowed_regions: Option<&'a [Region]>,
    /// VMs that earlier attempts of the request were sent to.
    pub excluded_vms: &'a [VmName],
    /// Failure domains that are out of service.
    pub excluded_domains: &'a [FailureDomain],
    /// Time until the deadline.
    pub time_left: Duration,
}

/// Endpoint that was chosen for an attempt.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The attempt; must be passed to [`Balancer::finish`] exactly once.
    pub attempt: AttemptId,
    /// Endpoint to send the attempt to.
    pub endpoint: Endpoint,
}

/// How an attempt ended, as far as the state of the endpoint is concerned.
///
/// In contrast, [`Outcome`](cornelvalve_model::Outcome) tells whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response other than a server error was received.
    Answered,
    /// The connection failed, or the upstream answered with a server error.
    Failed,
    /// The guard refused the attempt without running the request.
    Refused(Reason),
    /// The caller cancelled the request, or another attempt was answered first. This says nothing
    /// about the endpoint.
    Cancelled,
}

/// Result of an attempt, from which the balancer updates the state of the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from the choice of the endpoint to the end of the attempt.
    pub latency: Duration,
    /// Load that the guard reported with its response, if it did.
    pub hint: Option<LoadHint>,
}

/// Snapshot of an endpoint's state for display and tests.
#[derive(Clone, Copy, Debug)]
pub struct EndpointView<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Number of attempts that have not ended.
    pub outstanding: u32,
    /// Whether the endpoint is currently ejected.
    pub ejected: bool,
}

/// Running attempt and the endpoint that it was sent to.
#[derive(Clone, Debug)]
struct Attempt {
    service: ServiceName,
    vm: VmName,
    incarnation: EndpointIncarnation,
}

/// Chooses an endpoint for each attempt, using the results of earlier attempts.
#[derive(Debug)]
pub struct Balancer {
    settings: BalancerSettings,
    locality: Locality,
    #[debug(skip)]
    picker: Box<dyn Picker + Send>,
    seed: u64,
    services: HashMap<ServiceName, ServiceState>,
    attempts: HashMap<AttemptId, Attempt>,
    last_attempt: u64,
}

impl Balancer {
    /// Creates a balancer without endpoints.
    ///
    /// `seed` determines which endpoints of a large service this balancer uses. It must differ
    /// between entries; otherwise all of them use the same endpoints.
    #[must_use]
    pub fn new(
        settings: BalancerSettings,
        locality: Locality,
        picker: Box<dyn Picker + Send>,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            locality,
            picker,
            seed,
            services: HashMap::new(),
            attempts: HashMap::new(),
            last_attempt: 0,
        }
    }

    /// Replaces the endpoints of a service.
    ///
    /// The state of an endpoint is kept as long as its VM and incarnation stay the same.
    pub fn set_endpoints(&mut self, service: &ServiceName, endpoints: &[Endpoint]) {
        let subset = subset::select(
            endpoints,
            &self.locality,
            self.settings.subset_size,
            self.seed,
        );
        if subset.is_empty() {
            self.services.remove(service);
            return;
        }
        let attempts = &self.attempts;
        // An endpoint may be removed and added again while attempts at it are still running.
        let count_running = |endpoint: &Endpoint| {
            attempts
                .values()
                .filter(|a| a.service == *service && a.was_sent_to(endpoint))
                .count()
        };
        self.services
            .entry(service.clone())
            .or_default()
            .replace(&subset, count_running);
    }

    /// Chooses an endpoint for one attempt and counts the attempt as outstanding there.
    ///
    /// # Errors
    ///
    /// Returns a refusal with outcome [`NotRun`](cornelvalve_model::Outcome::NotRun) and the reason
    ///
    /// - [`Reason::DomainOut`] or [`Reason::HomeRegion`] if some endpoints are in a failure domain
    ///   that is out of service or in a region that is not allowed, and all others were already
    ///   tried. If both occur, the last such endpoint determines the reason;
    /// - [`Reason::NoUpstream`] if the service has no endpoints, or all of them are allowed and
    ///   were already tried.
    pub fn choose(&mut self, request: &ChoiceRequest<'_>, now: Moment) -> Result<Choice, Refusal> {
        let service = self
            .services
            .get_mut(request.service)
            .ok_or(Refusal::not_run(Reason::NoUpstream))?;
        let eligible = service.eligible(request)?;
        let preferred = service.preferred(&eligible, request, &self.locality, &self.settings, now);
        let candidates = service.candidates(&preferred, &self.settings, now);
        let picked = self
            .picker
            .pick(&candidates, now)
            .and_then(|index| preferred.get(index).copied())
            .ok_or(Refusal::not_run(Reason::NoUpstream))?;
        drop(candidates);
        let endpoint = service.start_attempt(picked, now);
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        self.attempts.insert(
            attempt,
            Attempt {
                service: request.service.clone(),
                vm: endpoint.vm.clone(),
                incarnation: endpoint.incarnation,
            },
        );
        Ok(Choice { attempt, endpoint })
    }

    /// Records the result of an attempt; an unknown attempt is ignored.
    pub fn finish(&mut self, attempt: AttemptId, report: &AttemptReport, now: Moment) {
        let Some(attempt) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&attempt.service) {
            service.finish(
                |endpoint| attempt.was_sent_to(endpoint),
                report,
                &self.settings,
                now,
            );
        }
    }

    /// Returns the endpoints of a service that this balancer uses, with their state.
    #[must_use]
    pub fn endpoints(&self, service: &ServiceName, now: Moment) -> Vec<EndpointView<'_>> {
        self.services
            .get(service)
            .map_or_else(Vec::new, |s| s.views(now))
    }
}

impl Attempt {
    fn was_sent_to(&self, endpoint: &Endpoint) -> bool {
        self.vm == endpoint.vm && self.incarnation == endpoint.incarnation
    }
}

/// Creates the candidate for a picker from the state of an endpoint.
fn candidate<'a>(
    state: &'a endpoint::EndpointState,
    median: Option<Duration>,
    settings: &BalancerSettings,
    now: Moment,
) -> Candidate<'a> {
    Candidate {
        endpoint: &state.endpoint,
        outstanding: state.outstanding,
        score: state.score(median, settings, now),
    }
}
