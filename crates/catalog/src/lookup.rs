//! Lookups for requests: service, route, residency and whether a request may be served.

use cornelvalve_model::{
    Reason, Region, RequestClass, Revision, Route, RouteName, Rule, Service, ServiceName, TeamName,
};
use smallvec::SmallVec;

use crate::host::{decode_slashes, normalize_host, normalize_path, prefix_matches};
use crate::tables::Tables;

/// Service and route that match a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteMatch<'a> {
    /// Service to which the host of the request belongs.
    pub service: &'a Service,
    /// Route with the longest matching path prefix, or `None` if no route matches.
    pub route: Option<&'a Route>,
    /// Class of the request, which may depend on its method.
    pub class: RequestClass,
}

/// Regions in which a request may be served, and to which its data may be sent and stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Residency {
    /// No residency rule matches the request, so all regions are allowed.
    Anywhere,
    /// Only these regions are allowed; sorted by name.
    Regions(SmallVec<[Region; 2]>),
    /// No region is allowed, because the matching rules have none in common.
    Nowhere,
}

impl Residency {
    /// Returns whether the request may be served, and its data be sent and stored, in a region.
    #[must_use]
    pub fn allows(&self, region: &Region) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Regions(regions) => regions.contains(region),
            Self::Nowhere => false,
        }
    }
}

/// Request as it was routed by the daemon that received it from the caller.
///
/// The configuration of that daemon may be older or newer than the one that the request is checked
/// against.
#[derive(Clone, Copy, Debug)]
pub struct RoutedRequest<'a> {
    /// Team on whose behalf the request is made.
    pub team: Option<&'a TeamName>,
    /// Service that the request is for.
    pub service: &'a ServiceName,
    /// Route that matched, if any.
    pub route: Option<&'a RouteName>,
    /// Revision of the configuration that the request was routed by.
    pub revision: Revision,
}

/// Returns the route with the longest prefix that matches a normalized path.
fn match_route<'a>(service: &'a Service, path: &str) -> Option<&'a Route> {
    let matching = service
        .routes
        .iter()
        .filter(|r| prefix_matches(&r.prefix, path));
    matching.max_by_key(|r| r.prefix.len())
}

impl Tables {
    /// Returns the service and the route of a request, or `None` if the host is unknown or the
    /// route is ambiguous.
    pub(crate) fn resolve(&self, host: &str, path: &str, method: &str) -> Option<RouteMatch<'_>> {
        let host = normalize_host(host);
        let name = self.hosts.get(host.as_ref())?;
        let service = &self.services.get(name)?.value;
        let route = match_route(service, &normalize_path(path));
        // If decoding `%2F` gives another route, the upstream may serve that one, with other rules.
        if decode_slashes(path).is_some_and(|other| match_route(service, &other) != route) {
            return None;
        }
        let class = route.map(|r| r.class).unwrap_or_default().resolve(method);
        Some(RouteMatch {
            service,
            route,
            class,
        })
    }

    /// Returns the regions that are allowed by all residency rules that match a request.
    pub(crate) fn residency(
        &self,
        team: Option<&TeamName>,
        service: &ServiceName,
        route: Option<&RouteName>,
    ) -> Residency {
        let mut allowed: Option<SmallVec<[Region; 2]>> = None;
        let matches = |rule: &&Rule| {
            let team = rule.team.is_none() || rule.team.as_ref() == team;
            let service = rule.service.as_ref().is_none_or(|s| s == service);
            let route = rule.route.is_none() || rule.route.as_ref() == route;
            team && service && route
        };
        for rule in self.rules.values().map(|e| &e.value).filter(matches) {
            match &mut allowed {
                None => allowed = Some(rule.regions.clone()),
                Some(regions) => regions.retain(|r| rule.regions.contains(r)),
            }
        }
        match allowed {
            None => Residency::Anywhere,
            Some(regions) if regions.is_empty() => Residency::Nowhere,
            Some(mut regions) => {
                regions.sort();
                Residency::Regions(regions)
            }
        }
    }

    /// Returns the reason why a request must not be served in a region, or `None` if it may.
    ///
    /// A request that was routed by a newer configuration is not refused for an unknown or missing
    /// team, because the newer configuration may have added the team or removed the rule that
    /// requires one. The residency rules of this configuration apply to it all the same. `revision`
    /// is that of this configuration.
    pub(crate) fn refusal_reason(
        &self,
        routed: &RoutedRequest<'_>,
        region: &Region,
        revision: Revision,
    ) -> Option<Reason> {
        let RoutedRequest {
            team,
            service,
            route,
            ..
        } = *routed;
        let team_is_valid = match team {
            Some(team) => self.teams.contains_key(team),
            None => !self.requires_team(service),
        };
        if !team_is_valid && routed.revision <= revision {
            return Some(Reason::UnknownTeam);
        }
        if !self.residency(team, service, route).allows(region) {
            // The region is not among the home regions of the data, which the rules define.
            return Some(Reason::HomeRegion);
        }
        self.may_match_other_route(service, routed.revision)
            .then_some(Reason::StaleConfiguration)
    }

    /// Returns whether a request that was routed by a configuration of the given revision may match
    /// another route now, with other rules. This is the case if the service has changed since and
    /// there is a rule for one of its routes.
    fn may_match_other_route(&self, service: &ServiceName, revision: Revision) -> bool {
        let service_revision = self.services.get(service).map(|e| e.revision);
        let has_rule = |rule: &Rule| rule.route.is_some() && rule.service.as_ref() == Some(service);
        service_revision.is_some_and(|r| r > revision)
            && self.rules.values().any(|e| has_rule(&e.value))
    }

    /// Returns whether a residency rule for the service, or for all services, is limited to one
    /// team.
    pub(crate) fn requires_team(&self, service: &ServiceName) -> bool {
        let matches = |rule: &Rule| rule.service.as_ref().is_none_or(|s| s == service);
        self.rules
            .values()
            .any(|e| e.value.team.is_some() && matches(&e.value))
    }
}
