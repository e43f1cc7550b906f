//! Answers for the request path.

use cornelvalve_model::{
    Region, RequestClass, Route, RouteName, Rule, Service, ServiceName, TeamName,
};
use smallvec::SmallVec;

use crate::host::{covers, normalize_host, normalize_path, split_escaped_slash};
use crate::tables::Tables;

/// Service and route that a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resolved<'a> {
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

/// Returns the route with the longest prefix that covers a normalized path.
fn match_route<'a>(service: &'a Service, path: &str) -> Option<&'a Route> {
    let matching = service.routes.iter().filter(|r| covers(&r.prefix, path));
    matching.max_by_key(|r| r.prefix.len())
}

impl Tables {
    pub(crate) fn resolve(&self, host: &str, path: &str, method: &str) -> Option<Resolved<'_>> {
        let host = normalize_host(host);
        let name = self.hosts.get(host.as_ref())?;
        let service = &self.services.get(name)?.value;
        let route = match_route(service, &normalize_path(path));
        // The upstream may serve another route than the one decided on, with other rules.
        if split_escaped_slash(path).is_some_and(|other| match_route(service, &other) != route) {
            return None;
        }
        let class = route.map(|r| r.class).unwrap_or_default().resolve(method);
        Some(Resolved {
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

    pub(crate) fn team_required(&self, service: &ServiceName) -> bool {
        let matches = |rule: &Rule| rule.service.as_ref().is_none_or(|s| s == service);
        self.rules
            .values()
            .any(|e| e.value.team.is_some() && matches(&e.value))
    }
}
