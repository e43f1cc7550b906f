//! State of the router: the known upstreams, the routes, the learned costs and the retry budgets.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_model::{
    FailureDomain, Member, MemberState, Moment, Region, ServiceName, UpstreamState, VmName,
};
use cornelvalve_policy::{
    CallCost, Distance, LoadReport, Placement, PlacementTarget, RetryBudgetSettings,
    RetryBudgetShare, TargetOutcome, WorkKey,
};
use tokio::sync::{mpsc, watch};

use super::LocalDaemon;
use super::split::WeightedRoundRobin;
use crate::desired::ControlView;
use crate::messages::{
    AttemptReport, CostSample, ResolvedRoute, SelectedUpstream, SelectionQuery, work_key,
};
use crate::ports::Cause;
use cornelvalve_kernel::CompletionSender;

/// Assumed duration of a request while the upstream is not slowed down, in milliseconds, until the
/// first request of its route has been served.
const DEFAULT_BASELINE_MS: f64 = 60.0;

/// Assumed size of a response body in bytes until the first request of its route has been served.
const DEFAULT_RESPONSE_BYTES: f64 = 1500.0;

/// Weight of a new sample in the moving averages of duration and response size.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Time, in addition to the round trip, within which another daemon must acknowledge a request
/// without a body. After it, an idempotent request may also be sent to another upstream, and an
/// attempt that is dropped without an acknowledgement reports the VM as unresponsive.
const ACK_ALLOWANCE: Duration = Duration::from_millis(250);

/// Additional time to acknowledge a request for each kilobyte (1000 bytes) of its body. A VM's link
/// may carry as little as 10 Mbit/s, which all connections of the VM share.
const ACK_ALLOWANCE_PER_KILOBYTE: Duration = Duration::from_millis(3);

/// Average cost of the requests of one route.
#[derive(Clone, Copy, Debug)]
struct RequestCost {
    /// Duration while the upstream is not slowed down, in milliseconds.
    baseline_ms: f64,
    /// Size of the response body, in bytes.
    response_bytes: f64,
}

impl Default for RequestCost {
    fn default() -> Self {
        Self {
            baseline_ms: DEFAULT_BASELINE_MS,
            response_bytes: DEFAULT_RESPONSE_BYTES,
        }
    }
}

/// Upstream of another VM or of this one, with the daemon beside it.
#[derive(Debug)]
struct Endpoint {
    /// Address of the daemon for other daemons.
    addr: SocketAddr,
    region: Region,
    domain: FailureDomain,
    service: ServiceName,
    /// Whether the daemon accepts requests and its upstream is ready.
    ready: bool,
    /// Observations of the upstream, by which it is ranked.
    target: PlacementTarget,
    /// Incarnations of the daemon and of its upstream: numbers that grow with each restart of the
    /// process. If either changes, `target` is discarded.
    incarnations: (u64, u64),
}

/// State of the router.
pub(super) struct RouterState {
    local: LocalDaemon,
    budget_settings: RetryBudgetSettings,
    placement: Box<dyn Placement>,
    reports: mpsc::UnboundedSender<AttemptReport>,
    /// Current configuration.
    view: Arc<ControlView>,
    /// Whether a later configuration exists.
    behind: bool,
    endpoints: BTreeMap<VmName, Endpoint>,
    /// For each daemon, whether it accepts requests.
    daemons: BTreeMap<VmName, bool>,
    round_robin: WeightedRoundRobin,
    /// This daemon's share of the retry budget of each service.
    retry_budgets: HashMap<ServiceName, RetryBudgetShare>,
    /// Learned cost of each route's requests.
    costs: HashMap<WorkKey, RequestCost>,
    /// Fraction of retries among the requests that the upstream beside this daemon is running. The
    /// calls that these requests make count as retries in the same proportion.
    retry_fraction: f64,
}

impl RouterState {
    /// Creates the state of a router that knows no configuration and no members yet.
    ///
    /// The outcome of each attempt is sent to `reports`.
    pub(super) fn new(
        local: LocalDaemon,
        budget_settings: RetryBudgetSettings,
        placement: Box<dyn Placement>,
        reports: mpsc::UnboundedSender<AttemptReport>,
    ) -> Self {
        Self {
            local,
            budget_settings,
            placement,
            reports,
            view: Arc::default(),
            behind: false,
            endpoints: BTreeMap::new(),
            daemons: BTreeMap::new(),
            round_robin: WeightedRoundRobin::default(),
            retry_budgets: HashMap::new(),
            costs: HashMap::new(),
            retry_fraction: 0.0,
        }
    }

    /// Replaces the configuration.
    pub(super) fn set_control(&mut self, view: Arc<ControlView>) {
        self.view = view;
        self.round_robin.reset();
    }

    /// Sets whether a later configuration exists.
    pub(super) fn set_behind(&mut self, behind: bool) {
        self.behind = behind;
    }

    /// Records members that were added or changed, and forgets the removed ones.
    pub(super) fn update_members(&mut self, members: Vec<Member>, removed: &[VmName]) {
        for member in members {
            self.update_member(member);
        }
        for vm in removed {
            self.endpoints.remove(vm);
            self.daemons.remove(vm);
        }
    }

    /// Records one member; observations of an earlier incarnation of its upstream are discarded.
    fn update_member(&mut self, member: Member) {
        self.daemons
            .insert(member.vm.clone(), member.state.accepts_requests());
        let Some(upstream) = member.upstreams.first() else {
            self.endpoints.remove(&member.vm);
            return;
        };
        let distance = self.distance(&member);
        let incarnations = (member.key.incarnation.0, upstream.incarnation.0);
        let kept = self.endpoints.remove(&member.vm);
        let kept = kept.filter(|e| e.incarnations == incarnations && e.addr == member.peer_addr);
        let mut target = kept.map_or_else(|| PlacementTarget::new(distance), |e| e.target);
        target.suspected = member.state == MemberState::Suspect;
        let endpoint = Endpoint {
            addr: member.peer_addr,
            region: member.region,
            domain: member.domain,
            service: upstream.service.clone(),
            ready: member.state.accepts_requests() && upstream.state == UpstreamState::Ready,
            target,
            incarnations,
        };
        self.endpoints.insert(member.vm, endpoint);
    }

    /// Returns the network distance between this daemon and a member.
    fn distance(&self, member: &Member) -> Distance {
        if member.peer_addr == self.local.addr {
            Distance::Local
        } else if member.domain == self.local.domain {
            Distance::SameDomain
        } else if member.region == self.local.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    /// Records the load of the upstream beside the daemon with this address.
    pub(super) fn record_load(&mut self, addr: SocketAddr, load: LoadReport, now: Moment) {
        if let Some(endpoint) = self.endpoints.values_mut().find(|e| e.addr == addr) {
            endpoint.target.record_report(load, now);
        }
    }

    /// Records the load of the upstream beside this daemon.
    pub(super) fn record_local_load(&mut self, load: LoadReport, retry_fraction: f64, now: Moment) {
        self.retry_fraction = retry_fraction;
        self.record_load(self.local.addr, load, now);
    }

    /// Returns the route of a request and the service that receives it.
    ///
    /// # Errors
    ///
    /// Returns [`Cause::NoDesiredState`] if no configuration is known yet, [`Cause::NoRoute`] if no
    /// route matches, [`Cause::StaleConfiguration`] if a later configuration may have a route, and
    /// [`Cause::NoUpstream`] if the route has no service.
    pub(super) fn resolve_route(
        &mut self,
        host: &str,
        target: &str,
        now: Moment,
    ) -> Result<Arc<ResolvedRoute>, Cause> {
        let desired = self.view.desired.as_ref().ok_or(Cause::NoDesiredState)?;
        let unmatched = if self.behind {
            Cause::StaleConfiguration
        } else {
            Cause::NoRoute
        };
        let (_, route) = desired.route(host, target).ok_or(unmatched)?;
        let chosen = route.weighted_services.get(self.round_robin.next(route));
        let service = chosen.map(|s| s.service.clone()).ok_or(Cause::NoUpstream)?;
        let resolved = ResolvedRoute {
            work: work_key(&route.name),
            route: Arc::clone(route),
            service,
            version: desired.version,
        };
        let retry_fraction = self.retry_fraction;
        self.retry_budget(&resolved.service)
            .record_request(retry_fraction, now);
        Ok(Arc::new(resolved))
    }

    /// Returns this daemon's share of the retry budget of a service.
    fn retry_budget(&mut self, service: &ServiceName) -> &mut RetryBudgetShare {
        let settings = self.budget_settings;
        self.retry_budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudgetShare::new(settings))
    }

    /// Selects the best upstream for an attempt and counts the attempt as in progress there.
    ///
    /// # Errors
    ///
    /// Returns [`Cause::NoUpstream`] if no upstream may serve the request,
    /// [`Cause::UpstreamLimit`] if the limits that the upstreams name leave no start in time, and
    /// [`Cause::Overloaded`] if a hedge would finish too late or the retry budget does not allow
    /// the attempt.
    pub(super) fn select_upstream(
        &mut self,
        query: &SelectionQuery,
        now: Moment,
    ) -> Result<SelectedUpstream, Cause> {
        let cost = self.costs.get(&query.resolved.work).copied();
        let cost = cost.unwrap_or_default();
        let call = CallCost {
            work_ms: cost.baseline_ms,
            bytes: query.body_bytes + cost.response_bytes as usize,
        };
        let excluded = |vm: &VmName| {
            query.tried.contains(vm) || (!query.must_queue && query.handed_back.contains(vm))
        };
        let (vms, targets): (Vec<&VmName>, Vec<PlacementTarget>) = self
            .endpoints
            .iter()
            .filter(|(vm, endpoint)| self.serves(endpoint, query) && !excluded(vm))
            .map(|(vm, endpoint)| (vm, endpoint.target))
            .unzip();
        let ranking = self.placement.order(&targets, &call, now);
        let best = ranking.first().ok_or(Cause::NoUpstream)?;
        // The others would start it even later.
        if milliseconds(targets[best.index].limit_wait_ms(now)) >= query.time_left {
            return Err(Cause::UpstreamLimit);
        }
        // The request is not handed back if it must be queued, or if the next best upstream is
        // suspected or has been unresponsive a short time ago.
        let next = ranking.get(1).filter(|_| !query.must_queue);
        let next = next.filter(|n| !targets[n.index].is_avoided(now));
        let expected_elsewhere = next.map(|n| milliseconds(n.expected_ms));
        let vm = vms[best.index].clone();
        let expected = milliseconds(best.expected_ms);
        if query.hedge_within.is_some_and(|within| expected > within) {
            return Err(Cause::Overloaded);
        }
        let daemons = self.daemons.values().filter(|accepts| **accepts).count();
        let retry_budget = self.retry_budget(&query.resolved.service);
        let allowed = match query.hedge_within {
            Some(_) => retry_budget.try_hedge(daemons, now),
            None => !query.is_retry || retry_budget.try_retry(daemons, now),
        };
        if !allowed {
            return Err(Cause::Overloaded);
        }
        let mut selected = self.start_attempt(
            vm,
            expected_elsewhere,
            expected,
            milliseconds(cost.baseline_ms),
        )?;
        selected.ack_timeout +=
            ACK_ALLOWANCE_PER_KILOBYTE.mul_f64(query.body_bytes as f64 / 1000.0);
        Ok(selected)
    }

    /// Counts an attempt as in progress at the upstream of a VM and returns that upstream as
    /// selected.
    fn start_attempt(
        &mut self,
        vm: VmName,
        expected_elsewhere: Option<Duration>,
        expected: Duration,
        baseline: Duration,
    ) -> Result<SelectedUpstream, Cause> {
        let endpoint = self.endpoints.get_mut(&vm).ok_or(Cause::NoUpstream)?;
        endpoint.target.record_sent();
        let round_trip = milliseconds(endpoint.target.distance.round_trip_ms());
        let cancelled = AttemptReport::without_load(vm.clone(), TargetOutcome::Inconclusive);
        Ok(SelectedUpstream {
            vm,
            addr: (endpoint.target.distance != Distance::Local).then_some(endpoint.addr),
            ack_timeout: ACK_ALLOWANCE + round_trip,
            round_trip,
            expected_elsewhere,
            expected,
            baseline,
            acknowledged: watch::Sender::new(false),
            report: CompletionSender::new(self.reports.clone(), cancelled),
        })
    }

    /// Returns whether an endpoint may serve the request, regardless of earlier attempts.
    fn serves(&self, endpoint: &Endpoint, query: &SelectionQuery) -> bool {
        let home_regions = &query.resolved.route.home_regions;
        endpoint.ready
            && endpoint.service == query.resolved.service
            && (home_regions.is_empty() || home_regions.contains(&endpoint.region))
            && !self.view.domains_out.contains(&endpoint.domain)
    }

    /// Records the outcome of an attempt.
    pub(super) fn record_attempt(&mut self, report: AttemptReport, now: Moment) {
        let Some(endpoint) = self.endpoints.get_mut(&report.vm) else {
            return;
        };
        endpoint.target.record_outcome(report.outcome, now);
        if let Some(load) = report.load {
            endpoint.target.record_report(load, now);
        }
        if let Some(sample) = report.cost {
            self.record_cost(sample);
        }
    }

    /// Updates the learned cost of a route's requests.
    fn record_cost(&mut self, sample: CostSample) {
        let cost = self.costs.entry(sample.work).or_default();
        let baseline_ms = sample.baseline.as_secs_f64() * 1000.0;
        let bytes = sample.body_bytes as f64;
        cost.baseline_ms += (baseline_ms - cost.baseline_ms) * SAMPLE_WEIGHT;
        cost.response_bytes += (bytes - cost.response_bytes) * SAMPLE_WEIGHT;
    }
}

/// Longest expected time in milliseconds; longer ones make no difference to any request.
const MAX_EXPECTED_MS: f64 = 3_600_000.0;

/// Returns a duration in milliseconds; zero if it is negative or no number, and at most
/// [`MAX_EXPECTED_MS`].
fn milliseconds(ms: f64) -> Duration {
    let ms = if ms.is_nan() { 0.0 } else { ms };
    Duration::from_secs_f64(ms.clamp(0.0, MAX_EXPECTED_MS) / 1000.0)
}

#[cfg(test)]
mod tests;
