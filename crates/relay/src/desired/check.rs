//! Checks that a desired state does not contradict itself.

use std::collections::HashSet;

use cornelvalve_model::ServiceName;
use derive_more::{Display, Error};

use super::DesiredState;

/// Result alias of this module.
pub(crate) type Result<T> = std::result::Result<T, InvalidState>;

/// Reason why a desired state must not come into force.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum InvalidState {
    /// A route names a service that the state does not describe.
    #[display("route {route:?} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: Box<str>,
        /// The service.
        service: ServiceName,
    },
    /// The prefix of a route does not begin and end with a slash.
    #[display("prefix of route {route:?} must begin and end with a slash")]
    BarePrefix {
        /// Name of the route.
        route: Box<str>,
    },
    /// Two routes have the same host and prefix.
    #[display("route {route:?} has the host and prefix of another one")]
    DuplicateRoute {
        /// Name of the second route.
        route: Box<str>,
    },
}

impl DesiredState {
    /// Checks that every request has at most one route and every route known services.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidState`] with the first contradiction.
    pub(crate) fn check(&self) -> Result<()> {
        let services: HashSet<&ServiceName> = self.services.iter().map(|s| &s.name).collect();
        let mut places = HashSet::with_capacity(self.routes.len());
        for route in &self.routes {
            let name = || route.name.clone();
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(InvalidState::BarePrefix { route: name() });
            }
            if !places.insert((route.host.to_ascii_lowercase(), &route.prefix)) {
                return Err(InvalidState::DuplicateRoute { route: name() });
            }
            let mut parts = route.weighted_services.iter().map(|s| &s.service);
            if let Some(service) = parts.find(|s| !services.contains(s)) {
                return Err(InvalidState::UnknownService {
                    route: name(),
                    service: service.clone(),
                });
            }
        }
        Ok(())
    }
}
