//! Choice of the upstream for an attempt, and the state of endpoints that it rests on.

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

/// Identifies an attempt at one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Starts of the daemon and of the upstream beside it; the state of an endpoint is kept as long as
/// neither restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EndpointIncarnation {
    /// Start of the daemon.
    pub daemon: Incarnation,
    /// Start of the upstream.
    pub upstream: Incarnation,
}

/// An upstream with the daemon beside it, as a destination of attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// VM of both.
    pub vm: VmName,
    /// Starts of both.
    pub incarnation: EndpointIncarnation,
    /// Address of the daemon for forwarded requests.
    pub peer_addr: SocketAddr,
    /// Region of the VM.
    pub region: Region,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Requests that the upstream runs at once when warm.
    pub slots: u32,
}

/// Where the entry itself runs.
#[derive(Clone, Debug)]
pub struct Locality {
    /// Region of the VM.
    pub region: Region,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
}

/// Settings of the choice.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// Endpoints of a service that one entry uses; bounds connections and state.
    pub subset_size: usize,
    /// Time in which the weight of a load hint halves. Load shifts within milliseconds: with
    /// 20 ms, hints up to 200 ms old raised p99 from 25 ms to 41 ms and lost 4.5% of the requests.
    pub hint_decay: Duration,
    /// Time in which the weight of a past failure halves.
    pub failure_decay: Duration,
    /// Cost of one recent failure, in requests.
    pub failure_penalty: f64,
    /// Whether latency beyond the median of the service adds to the score.
    pub penalize_stragglers: bool,
    /// Whether endpoints that straggle or fail are left out for a bounded time.
    pub eject_outliers: bool,
    /// Largest share of a service's endpoints that may be ejected at the same time.
    pub ejected_share: f64,
    /// Time for which an endpoint is ejected at first; doubles with each ejection in a row.
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
            ejected_share: 0.34,
            ejection_time: Duration::from_secs(2),
        }
    }
}

/// What is asked of the balancer.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Regions in which it may be served; `None` means anywhere.
    pub allowed_regions: Option<&'a [Region]>,
    /// VMs that were tried already.
    pub excluded_vms: &'a [VmName],
    /// Failure domains that are out of service.
    pub excluded_domains: &'a [FailureDomain],
    /// Time until the deadline.
    pub time_left: Duration,
}

/// The endpoint chosen for an attempt.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The attempt; to be passed to [`Balancer::finish`] exactly once.
    pub attempt: AttemptId,
    /// Where to send it.
    pub endpoint: Endpoint,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response came back.
    Answered,
    /// The connection or the upstream failed.
    Failed,
    /// The guard refused it as not run.
    Refused(Reason),
    /// The caller gave up, or another attempt answered first; says nothing about the endpoint.
    Cancelled,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from choice to end.
    pub latency: Duration,
    /// Load that the guard reported with its answer.
    pub hint: Option<LoadHint>,
}

/// State of an endpoint for display and tests.
#[derive(Clone, Copy, Debug)]
pub struct EndpointView<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Attempts that have not ended.
    pub outstanding: u32,
    /// Whether it is left out at the moment.
    pub ejected: bool,
}

#[derive(Clone, Debug)]
struct Attempt {
    service: ServiceName,
    vm: VmName,
    incarnation: EndpointIncarnation,
}

/// Chooses endpoints for attempts and learns from how they end.
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
    /// `seed` selects the subsets; it must differ between entries, or all of them use the same
    /// endpoints of a large service.
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
    /// What is known about an endpoint is kept while its VM and incarnation stay the same.
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
        // Attempts may outlive the removal of their endpoint and its return to the subset.
        let still_running = |endpoint: &Endpoint| {
            attempts
                .values()
                .filter(|a| a.service == *service && a.is_at(endpoint))
                .count()
        };
        self.services
            .entry(service.clone())
            .or_default()
            .replace(&subset, still_running);
    }

    /// Chooses an endpoint for one attempt and counts the attempt as outstanding there.
    ///
    /// # Errors
    ///
    /// Returns a `NotRun` refusal with [`Reason::NoUpstream`] if no endpoint is left,
    /// [`Reason::DomainOut`] if only endpoints out of service are left, and
    /// [`Reason::HomeRegion`] if only endpoints outside the allowed regions are left.
    pub fn choose(&mut self, request: &ChoiceRequest<'_>, now: Moment) -> Result<Choice, Refusal> {
        let service = self
            .services
            .get_mut(request.service)
            .ok_or(Refusal::not_run(Reason::NoUpstream))?;
        let eligible = service.eligible(request)?;
        let tier = service.tier(&eligible, request, &self.locality, &self.settings, now);
        let candidates = service.candidates(&tier, &self.settings, now);
        let picked = self
            .picker
            .pick(&candidates, now)
            .and_then(|index| tier.get(index).copied())
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

    /// Takes the end of an attempt; an unknown attempt is ignored.
    pub fn finish(&mut self, attempt: AttemptId, report: &AttemptReport, now: Moment) {
        let Some(attempt) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&attempt.service) {
            service.finish(
                |endpoint| attempt.is_at(endpoint),
                report,
                &self.settings,
                now,
            );
        }
    }

    /// Returns the endpoints of a service that this entry uses.
    #[must_use]
    pub fn endpoints(&self, service: &ServiceName, now: Moment) -> Vec<EndpointView<'_>> {
        self.services
            .get(service)
            .map_or_else(Vec::new, |s| s.views(now))
    }
}

impl Attempt {
    fn is_at(&self, endpoint: &Endpoint) -> bool {
        self.vm == endpoint.vm && self.incarnation == endpoint.incarnation
    }
}

/// Builds the candidate that a picker sees.
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
