//! State of the router: endpoints, routes and budgets.

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

use super::Site;
use super::split::Splitter;
use crate::desired::ControlView;
use crate::messages::{PlaceQuery, PlaceReport, Placed, Plan, Served, work_key};
use crate::ports::Cause;
use cornelvalve_kernel::CompletionSender;

/// Work at usual speed expected of a route before its first answer, in milliseconds.
const DEFAULT_WORK_MS: f64 = 60.0;

/// Response size expected of a route before its first answer, in bytes.
const DEFAULT_RESPONSE_BYTES: f64 = 1500.0;

/// Weight of a new sample of work or size.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Wait, beyond the round trip, for the sign that another daemon has taken a request.
const TAKEN_ALLOWANCE: Duration = Duration::from_millis(250);

/// Time for which a kilobyte of a body may be on its way before the other daemon has it; a VM's link
/// may carry as little as 10 Mbit/s, for all its connections together.
const KILOBYTE_ALLOWANCE: Duration = Duration::from_millis(3);

/// What is known of the requests of one route.
#[derive(Clone, Copy, Debug)]
struct Usual {
    work_ms: f64,
    response_bytes: f64,
}

impl Default for Usual {
    fn default() -> Self {
        Self {
            work_ms: DEFAULT_WORK_MS,
            response_bytes: DEFAULT_RESPONSE_BYTES,
        }
    }
}

/// Upstream with the daemon beside it.
#[derive(Debug)]
struct Endpoint {
    addr: SocketAddr,
    region: Region,
    domain: FailureDomain,
    service: ServiceName,
    ready: bool,
    place: PlacementTarget,
    incarnation: (u64, u64),
}

/// State of the router.
pub(super) struct RouterState {
    site: Site,
    share: RetryBudgetSettings,
    placement: Box<dyn Placement>,
    reports: mpsc::UnboundedSender<PlaceReport>,
    view: Arc<ControlView>,
    endpoints: BTreeMap<VmName, Endpoint>,
    daemons: BTreeMap<VmName, bool>,
    splitter: Splitter,
    shares: HashMap<ServiceName, RetryBudgetShare>,
    usual: HashMap<WorkKey, Usual>,
    /// Share of repeats among what the upstream beside this daemon runs.
    repeats: f64,
}

impl RouterState {
    pub(super) fn new(
        site: Site,
        share: RetryBudgetSettings,
        placement: Box<dyn Placement>,
        reports: mpsc::UnboundedSender<PlaceReport>,
    ) -> Self {
        Self {
            site,
            share,
            placement,
            reports,
            view: Arc::default(),
            endpoints: BTreeMap::new(),
            daemons: BTreeMap::new(),
            splitter: Splitter::default(),
            shares: HashMap::new(),
            usual: HashMap::new(),
            repeats: 0.0,
        }
    }

    pub(super) fn set_control(&mut self, view: Arc<ControlView>) {
        self.view = view;
        self.splitter.reset();
    }

    pub(super) fn set_members(&mut self, members: Vec<Member>, removed: &[VmName]) {
        for member in members {
            self.set_member(member);
        }
        for vm in removed {
            self.endpoints.remove(vm);
            self.daemons.remove(vm);
        }
    }

    fn set_member(&mut self, member: Member) {
        self.daemons
            .insert(member.vm.clone(), member.state.accepts_requests());
        let Some(upstream) = member.upstreams.first() else {
            self.endpoints.remove(&member.vm);
            return;
        };
        let distance = self.distance(&member);
        let incarnation = (member.key.incarnation.0, upstream.incarnation.0);
        let kept = self.endpoints.remove(&member.vm);
        let kept = kept.filter(|e| e.incarnation == incarnation && e.addr == member.peer_addr);
        let mut place = kept.map_or_else(|| PlacementTarget::new(distance), |e| e.place);
        place.suspected = member.state == MemberState::Suspect;
        let endpoint = Endpoint {
            addr: member.peer_addr,
            region: member.region,
            domain: member.domain,
            service: upstream.service.clone(),
            ready: member.state.accepts_requests() && upstream.state == UpstreamState::Ready,
            place,
            incarnation,
        };
        self.endpoints.insert(member.vm, endpoint);
    }

    fn distance(&self, member: &Member) -> Distance {
        if member.peer_addr == self.site.addr {
            Distance::Local
        } else if member.domain == self.site.domain {
            Distance::SameDomain
        } else if member.region == self.site.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    pub(super) fn report(&mut self, addr: SocketAddr, load: LoadReport, now: Moment) {
        if let Some(endpoint) = self.endpoints.values_mut().find(|e| e.addr == addr) {
            endpoint.place.record_report(load, now);
        }
    }

    pub(super) fn report_own(&mut self, load: LoadReport, repeats: f64, now: Moment) {
        self.repeats = repeats;
        self.report(self.site.addr, load, now);
    }

    pub(super) fn plan(
        &mut self,
        host: &str,
        target: &str,
        now: Moment,
    ) -> Result<Arc<Plan>, Cause> {
        let desired = self.view.desired.as_ref().ok_or(Cause::NoDesiredState)?;
        let (_, route) = desired.route(host, target).ok_or(Cause::NoRoute)?;
        let part = route.weighted_services.get(self.splitter.next(route));
        let service = part.map(|p| p.service.clone()).ok_or(Cause::NoUpstream)?;
        let plan = Plan {
            work: work_key(&route.name),
            route: route.clone(),
            service,
            version: desired.version,
        };
        let repeats = self.repeats;
        self.share_of(&plan.service).record_request(repeats, now);
        Ok(Arc::new(plan))
    }

    fn share_of(&mut self, service: &ServiceName) -> &mut RetryBudgetShare {
        let settings = self.share;
        self.shares
            .entry(service.clone())
            .or_insert_with(|| RetryBudgetShare::new(settings))
    }

    pub(super) fn place(&mut self, query: &PlaceQuery, now: Moment) -> Result<Placed, Cause> {
        let usual = self.usual.get(&query.plan.work).copied();
        let usual = usual.unwrap_or_default();
        let work = CallCost {
            work_ms: usual.work_ms,
            bytes: query.body_bytes + usual.response_bytes as usize,
        };
        let passed_over = |vm: &VmName| {
            query.tried.contains(vm) || (!query.settle && query.handed_back.contains(vm))
        };
        let (vms, places): (Vec<&VmName>, Vec<PlacementTarget>) = self
            .endpoints
            .iter()
            .filter(|(vm, endpoint)| self.serves(endpoint, query) && !passed_over(vm))
            .map(|(vm, endpoint)| (vm, endpoint.place))
            .unzip();
        let order = self.placement.order(&places, &work, now);
        let best = order.first().ok_or(Cause::NoUpstream)?;
        let next = order.get(1).filter(|_| !query.settle);
        let next = next.filter(|n| !places[n.index].is_avoided(now));
        let elsewhere = next.map(|n| milliseconds(n.expected_ms));
        let vm = vms[best.index].clone();
        let expected = milliseconds(best.expected_ms);
        if query.hedge.is_some_and(|within| expected > within) {
            return Err(Cause::Overloaded);
        }
        let daemons = self.daemons.values().filter(|takes| **takes).count();
        let share = self.share_of(&query.plan.service);
        let allowed = match query.hedge {
            Some(_) => share.try_hedge(daemons, now),
            None => !query.is_retry || share.try_retry(daemons, now),
        };
        if !allowed {
            return Err(Cause::Overloaded);
        }
        let mut placed = self.place_at(vm, elsewhere, expected, milliseconds(usual.work_ms))?;
        placed.taken_within += KILOBYTE_ALLOWANCE.mul_f64(query.body_bytes as f64 / 1000.0);
        Ok(placed)
    }

    /// Returns the placement at one VM and counts the attempt there.
    fn place_at(
        &mut self,
        vm: VmName,
        elsewhere: Option<Duration>,
        expected: Duration,
        usual: Duration,
    ) -> Result<Placed, Cause> {
        let endpoint = self.endpoints.get_mut(&vm).ok_or(Cause::NoUpstream)?;
        endpoint.place.record_sent();
        let round_trip = milliseconds(endpoint.place.distance.round_trip_ms());
        let cancelled = PlaceReport::without_load(vm.clone(), TargetOutcome::Inconclusive);
        Ok(Placed {
            vm,
            addr: (endpoint.place.distance != Distance::Local).then_some(endpoint.addr),
            taken_within: TAKEN_ALLOWANCE + round_trip,
            round_trip,
            expected_elsewhere: elsewhere,
            expected,
            usual,
            sign: watch::Sender::new(false),
            report: CompletionSender::new(self.reports.clone(), cancelled),
        })
    }

    fn serves(&self, endpoint: &Endpoint, query: &PlaceQuery) -> bool {
        let homes = &query.plan.route.home_regions;
        endpoint.ready
            && endpoint.service == query.plan.service
            && (homes.is_empty() || homes.contains(&endpoint.region))
            && !self.view.domains_out.contains(&endpoint.domain)
    }

    pub(super) fn ended(&mut self, report: PlaceReport, now: Moment) {
        let Some(endpoint) = self.endpoints.get_mut(&report.vm) else {
            return;
        };
        endpoint.place.record_outcome(report.end, now);
        if let Some(load) = report.load {
            endpoint.place.record_report(load, now);
        }
        if let Some(served) = report.served {
            self.learn(served);
        }
    }

    fn learn(&mut self, served: Served) {
        let usual = self.usual.entry(served.work).or_default();
        let work_ms = served.usual.as_secs_f64() * 1000.0;
        let bytes = served.body_bytes as f64;
        usual.work_ms += (work_ms - usual.work_ms) * SAMPLE_WEIGHT;
        usual.response_bytes += (bytes - usual.response_bytes) * SAMPLE_WEIGHT;
    }
}

fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}
