//! State of the router: configuration, member records, load balancer and retry budget.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_catalog::{Catalog, Residency, RouteMatch};
use cornelvalve_model::{
    DomainState, FailureDomain, Member, Moment, Reason, Refusal, Region, Revision, ServiceName,
    VmName,
};
use cornelvalve_policy::{
    AttemptId, AttemptOutcome, AttemptReport, Balancer, ChoiceRequest, Endpoint, Locality,
    RetryBudget, RetryDecision, Ticket, retry_decision,
};
use smallvec::SmallVec;
use tokio::sync::mpsc;

use super::endpoints::{ChangedServices, EndpointIndex};
use super::{
    AllowedRegions, Attempt, AttemptQuery, BalancingOptions, DetailedRefusal, RoutePlan, RouteQuery,
};
use cornelvalve_kernel::CompletionSender;

/// Result alias of this module.
type Result<T> = std::result::Result<T, Refusal>;

/// Maximum number of home region addresses that a refusal lists.
const MAX_ADDRESSES_IN_DETAIL: usize = 3;

/// State of the router, owned by its task.
pub(super) struct RouterState {
    /// Region and failure domain of this daemon.
    locality: Locality,
    reports: mpsc::UnboundedSender<(AttemptId, AttemptReport)>,
    catalog: Option<Arc<Catalog>>,
    members: HashMap<VmName, Member>,
    endpoints: EndpointIndex,
    balancer: Balancer,
    retry_budget: RetryBudget,
    unreachable: BTreeSet<Region>,
    /// Failure domains that are out of service or in an unreachable region.
    excluded_domains: SmallVec<[FailureDomain; 2]>,
    /// Failure domains that operators have taken out of service.
    domains_out: SmallVec<[FailureDomain; 2]>,
}

impl RouterState {
    /// Creates the state; every request is refused until there is a configuration.
    pub(super) fn new(
        locality: Locality,
        balancing: BalancingOptions,
        seed: u64,
        reports: mpsc::UnboundedSender<(AttemptId, AttemptReport)>,
    ) -> Self {
        let BalancingOptions { settings, picker } = balancing;
        let balancer = Balancer::new(settings, locality.clone(), picker(seed), seed);
        Self {
            locality,
            reports,
            catalog: None,
            members: HashMap::new(),
            endpoints: EndpointIndex::default(),
            balancer,
            retry_budget: RetryBudget::new(),
            unreachable: BTreeSet::new(),
            excluded_domains: SmallVec::new(),
            domains_out: SmallVec::new(),
        }
    }

    /// Updates the configuration.
    pub(super) fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        // After a restart the catalog service may publish older revisions until it has read the
        // log.
        let is_older = |held: &Arc<Catalog>| held.revision() > catalog.revision();
        if self.catalog.as_ref().is_some_and(is_older) {
            return;
        }
        self.catalog = Some(catalog);
        self.update_excluded_domains();
    }

    /// Sets whether a region can be reached.
    pub(super) fn set_reachable(&mut self, region: Region, reachable: bool) {
        if reachable {
            self.unreachable.remove(&region);
        } else {
            self.unreachable.insert(region);
        }
        self.update_excluded_domains();
    }

    /// Recomputes the sets of excluded failure domains.
    fn update_excluded_domains(&mut self) {
        let catalog = self.catalog.iter().flat_map(|c| c.domains());
        self.domains_out = catalog
            .filter(|d| d.value.state == DomainState::OutOfService)
            .map(|d| d.value.name.clone())
            .collect();
        let unreachable = self
            .members
            .values()
            .filter(|m| self.unreachable.contains(&m.region))
            .map(|m| m.domain.clone());
        self.excluded_domains = unreachable
            .chain(self.domains_out.iter().cloned())
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect();
    }

    /// Replaces all member records and the set of unreachable regions.
    pub(super) fn replace_members(&mut self, members: &[Member], unreachable: BTreeSet<Region>) {
        let present: HashSet<&VmName> = members.iter().map(|m| &m.vm).collect();
        let gone: Vec<VmName> = self
            .members
            .keys()
            .filter(|vm| !present.contains(vm))
            .cloned()
            .collect();
        self.remove_members(&gone);
        self.set_members(members);
        self.unreachable = unreachable;
        self.update_excluded_domains();
    }

    /// Adds or replaces member records.
    pub(super) fn set_members(&mut self, members: &[Member]) {
        let mut changed = ChangedServices::new();
        for member in members {
            self.endpoints.update(member, &mut changed);
            self.members.insert(member.vm.clone(), member.clone());
        }
        self.apply_endpoints(&changed);
    }

    /// Removes member records.
    pub(super) fn remove_members(&mut self, vms: &[VmName]) {
        let mut changed = ChangedServices::new();
        for vm in vms {
            self.endpoints.remove(vm, &mut changed);
            self.members.remove(vm);
        }
        self.apply_endpoints(&changed);
    }

    /// Passes the endpoints of the changed services to the balancer.
    fn apply_endpoints(&mut self, changed: &ChangedServices) {
        for service in changed {
            let endpoints = self.endpoints.of_service(service);
            self.balancer.set_endpoints(service, &endpoints);
        }
    }

    /// Routes a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request matches no service, names no known team, or must not be
    /// served from this region.
    pub(super) fn route(
        &self,
        query: &RouteQuery,
    ) -> std::result::Result<RoutePlan, DetailedRefusal> {
        let catalog = self.catalog()?;
        let resolved = catalog
            .resolve(&query.host, &query.path, &query.method)
            .ok_or(Refusal::not_run(Reason::UnknownService))?;
        check_team(catalog, &resolved, query)?;
        let route = resolved.route.map(|r| r.name.clone());
        let service = &resolved.service.name;
        let regions = regions_of(catalog.residency(query.team.as_ref(), service, route.as_ref()));
        self.check_region(&regions)?;
        Ok(RoutePlan {
            service: service.clone(),
            route,
            team: query.team.clone(),
            class: resolved.class,
            regions,
            revision: catalog.revision(),
            timeout: resolved.service.timeout(),
        })
    }

    /// Returns the configuration, or a refusal if there is none yet.
    fn catalog(&self) -> Result<&Catalog> {
        let catalog = self.catalog.as_deref();
        catalog
            .filter(|c| c.revision() > Revision(0))
            .ok_or(Refusal::not_run(Reason::NoConfiguration))
    }

    /// Checks that the region of this daemon is allowed.
    fn check_region(&self, allowed: &AllowedRegions) -> std::result::Result<(), DetailedRefusal> {
        match allowed {
            Some(regions) if !regions.contains(&self.locality.region) => {
                Err(DetailedRefusal::with_detail(
                    Refusal::not_run(Reason::HomeRegion),
                    self.caller_addresses_in(regions),
                ))
            }
            _ => Ok(()),
        }
    }

    /// Returns the allowed regions of a plan, or those of the current configuration if it has
    /// changed since the request was routed, for example during a long upload or earlier attempt.
    fn allowed_regions(&self, plan: &RoutePlan) -> AllowedRegions {
        match self.catalog() {
            Ok(catalog) if catalog.revision() != plan.revision => {
                let (team, route) = (plan.team.as_ref(), plan.route.as_ref());
                regions_of(catalog.residency(team, &plan.service, route))
            }
            _ => plan.regions.clone(),
        }
    }

    /// Returns a text that lists addresses in the given regions to which callers can send requests.
    fn caller_addresses_in(&self, regions: &[Region]) -> Option<String> {
        let addresses: Vec<String> = self
            .members
            .values()
            .filter(|m| m.state.accepts_requests() && regions.contains(&m.region))
            .take(MAX_ADDRESSES_IN_DETAIL)
            .map(|m| m.caller_addr.to_string())
            .collect();
        (!addresses.is_empty())
            .then(|| format!("home regions accept it at {}", addresses.join(", ")))
    }

    /// Chooses an upstream for the first attempt, or for a further one if a retry is allowed.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the previous attempt, or for the first attempt the reason why there
    /// is no upstream.
    pub(super) fn start_attempt(&mut self, query: &AttemptQuery, now: Moment) -> Result<Attempt> {
        let time_left = query.deadline.since(now);
        let allowed = self.allowed_regions(&query.plan);
        self.check_region(&allowed)
            .map_err(|e| query.failure.map_or(e.refusal, |(refusal, _)| refusal))?;
        match query.failure {
            None => self.retry_budget.on_request(),
            Some((refusal, body_replayable)) => {
                self.check_retry(query, refusal, body_replayable, time_left)?;
            }
        }
        let request = ChoiceRequest {
            service: &query.plan.service,
            allowed_regions: allowed.as_deref(),
            excluded_vms: &query.tried,
            excluded_domains: &self.excluded_domains,
            time_left,
        };
        let choice = match (self.balancer.choose(&request, now), query.failure) {
            (Ok(choice), _) => choice,
            // If there is no other upstream for a retry, the previous failure is reported.
            (Err(_), Some((refusal, _))) => return Err(refusal),
            (Err(refusal), None) => {
                return Err(self.unreachable_as_no_upstream(refusal, &query.plan.service));
            }
        };
        let cancelled = AttemptReport {
            outcome: AttemptOutcome::Cancelled,
            latency: Duration::ZERO,
            hint: None,
        };
        let report = CompletionSender::new(self.reports.clone(), (choice.attempt, cancelled));
        Ok(Attempt {
            endpoint: choice.endpoint,
            id: choice.attempt,
            report,
        })
    }

    /// Replaces the reason `DomainOut` with `NoUpstream` if operators have not taken out any
    /// failure domain that has upstreams of the service.
    ///
    /// The failure domains are then excluded because their region is unreachable, but the balancer
    /// reports all excluded failure domains as `DomainOut`.
    fn unreachable_as_no_upstream(&self, refusal: Refusal, service: &ServiceName) -> Refusal {
        let is_out = |endpoint: &Endpoint| self.domains_out.contains(&endpoint.domain);
        let taken_out = self.endpoints.of_service(service).iter().any(is_out);
        if refusal.reason == Reason::DomainOut && !taken_out {
            return Refusal::not_run(Reason::NoUpstream);
        }
        refusal
    }

    /// Checks that a retry is safe, in time and within the retry budget.
    fn check_retry(
        &mut self,
        query: &AttemptQuery,
        refusal: Refusal,
        body_replayable: bool,
        time_left: Duration,
    ) -> Result<()> {
        let attempts = u32::try_from(query.tried.len()).unwrap_or(u32::MAX);
        let Refusal { outcome, reason } = refusal;
        let decision = retry_decision(
            query.plan.class,
            outcome,
            reason,
            attempts,
            time_left,
            body_replayable,
        );
        if decision == RetryDecision::Retry && self.retry_budget.try_take() {
            Ok(())
        } else {
            Err(refusal)
        }
    }

    /// Handles the report on an attempt.
    pub(super) fn finish(&mut self, attempt: AttemptId, report: &AttemptReport, now: Moment) {
        self.balancer.finish(attempt, report, now);
    }

    /// Returns the endpoint of the daemon that issued a ticket.
    ///
    /// # Errors
    ///
    /// Returns a refusal with an unknown outcome if that daemon process no longer exists, or if it
    /// is in a region that must not receive the request.
    pub(super) fn find_issuer(&self, ticket: &Ticket, plan: &RoutePlan) -> Result<Endpoint> {
        let gone = Refusal::unknown(Reason::TicketGone);
        let member = self.members.get(&ticket.vm).ok_or(gone)?;
        if member.key.incarnation != ticket.incarnation {
            return Err(gone);
        }
        let allowed = self.allowed_regions(plan);
        if allowed.is_some_and(|regions| !regions.contains(&member.region)) {
            return Err(Refusal::unknown(Reason::HomeRegion));
        }
        match self.endpoints.find(&ticket.service, &ticket.vm) {
            Some(endpoint) => Ok(endpoint.clone()),
            // The daemon knows what happened to the ticket even if its upstream no longer exists.
            None => Ok(Endpoint {
                vm: member.vm.clone(),
                incarnation: cornelvalve_policy::EndpointIncarnation {
                    daemon: member.key.incarnation,
                    upstream: cornelvalve_model::Incarnation(0),
                },
                peer_addr: member.peer_addr,
                region: member.region.clone(),
                domain: member.domain.clone(),
                slots: 0,
            }),
        }
    }

    /// Returns the endpoints of the service that a request is routed to, each with its number of
    /// outstanding attempts; none if the request is refused.
    pub(super) fn explain(&self, query: &RouteQuery, now: Moment) -> Vec<(Endpoint, u32)> {
        let Ok(plan) = self.route(query) else {
            return Vec::new();
        };
        let views = self.balancer.endpoints(&plan.service, now);
        let views = views.into_iter();
        views.map(|v| (v.endpoint.clone(), v.outstanding)).collect()
    }
}

/// Returns the allowed regions according to residency rules.
fn regions_of(residency: Residency) -> AllowedRegions {
    match residency {
        Residency::Anywhere => None,
        Residency::Regions(regions) => Some(regions),
        Residency::Nowhere => Some(SmallVec::new()),
    }
}

/// Checks that the team of a request is configured, or that the request needs no team.
fn check_team(catalog: &Catalog, resolved: &RouteMatch<'_>, query: &RouteQuery) -> Result<()> {
    let known = match &query.team {
        Some(team) => catalog.has_team(team),
        None => !catalog.requires_team(&resolved.service.name),
    };
    if known {
        Ok(())
    } else {
        Err(Refusal::not_run(Reason::UnknownTeam))
    }
}
