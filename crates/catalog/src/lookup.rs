//! Answers for the request path.

use cornelvalve_model::{
    Reason, Region, RequestClass, Revision, Route, RouteName, Rule, Service, ServiceName, TeamName,
};
use smallvec::SmallVec;

use crate::host::{covers, normalize_host, normalize_path, split_escaped_slash};
use crate::tables::Tables;

/// Service and route that a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteMatch<'a> {
    /// Service that has the host.
    pub service: &'a Service,
    /// Route with the longest matching prefix.
    pub route: Option<&'a Route>,
    /// Class of the request, resolved by its method.
    pub class: RequestClass,
}

/// Where a request may be served, sent and kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Residency {
    /// No rule matches.
    Anywhere,
    /// Only in these regions, in order of name.
    Regions(SmallVec<[Region; 2]>),
    /// The matching rules have no region in common.
    Nowhere,
}

impl Residency {
    /// Tells whether the request may be served, sent and kept in a region.
    #[must_use]
    pub fn allows(&self, region: &Region) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Regions(regions) => regions.contains(region),
            Self::Nowhere => false,
        }
    }
}

/// Request as an entry routed it, with the configuration that the entry had then.
#[derive(Clone, Copy, Debug)]
pub struct RoutedRequest<'a> {
    /// Team on whose behalf it is made.
    pub team: Option<&'a TeamName>,
    /// Service that it is for.
    pub service: &'a ServiceName,
    /// Route that matched.
    pub route: Option<&'a RouteName>,
    /// Revision of the configuration by which it was routed.
    pub revision: Revision,
}

/// Returns the route with the longest prefix that covers a normalized path.
fn match_route<'a>(service: &'a Service, path: &str) -> Option<&'a Route> {
    let matching = service.routes.iter().filter(|r| covers(&r.prefix, path));
    matching.max_by_key(|r| r.prefix.len())
}

impl Tables {
    pub(crate) fn resolve(&self, host: &str, path: &str, method: &str) -> Option<RouteMatch<'_>> {
        let host = normalize_host(host);
        let name = self.hosts.get(host.as_ref())?;
        let service = &self.services.get(name)?.value;
        let route = match_route(service, &normalize_path(path));
        // The upstream may serve another route than the one decided on, with other rules.
        if split_escaped_slash(path).is_some_and(|other| match_route(service, &other) != route) {
            return None;
        }
        let class = route.map(|r| r.class).unwrap_or_default().resolve(method);
        Some(RouteMatch {
            service,
            route,
            class,
        })
    }

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

    /// Returns why a request may not be served in a region, if so.
    ///
    /// What a newer configuration than this one allowed is not judged by what this one lacks.
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
        let has_team = match team {
            Some(team) => self.teams.contains_key(team),
            None => !self.requires_team(service),
        };
        if !has_team && routed.revision <= revision {
            return Some(Reason::UnknownTeam);
        }
        if !self.residency(team, service, route).allows(region) {
            return Some(Reason::HomeRegion);
        }
        self.may_match_other_route(service, routed.revision)
            .then_some(Reason::StaleConfiguration)
    }

    /// Tells whether a service whose routes have rules changed after a revision, so that a request
    /// routed by it may belong to another route by now.
    fn may_match_other_route(&self, service: &ServiceName, revision: Revision) -> bool {
        let changed = self.services.get(service).map(|e| e.revision);
        let has_rule = |rule: &Rule| rule.route.is_some() && rule.service.as_ref() == Some(service);
        changed.is_some_and(|at| at > revision) && self.rules.values().any(|e| has_rule(&e.value))
    }

    pub(crate) fn requires_team(&self, service: &ServiceName) -> bool {
        let matches = |rule: &Rule| rule.service.as_ref().is_none_or(|s| s == service);
        self.rules
            .values()
            .any(|e| e.value.team.is_some() && matches(&e.value))
    }
}
