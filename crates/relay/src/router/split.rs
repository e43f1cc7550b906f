//! Division of a route's requests among its services.

use std::collections::HashMap;

use crate::desired::RouteSpec;

/// Smooth weighted round robin for each route: every service gets its share within any short run
/// of requests.
#[derive(Debug, Default)]
pub(super) struct Splitter {
    /// For each route, the current weight of each of its services.
    current_weights: HashMap<Box<str>, Vec<f64>>,
}

impl Splitter {
    /// Returns the index of the service that receives the next request of the route.
    pub(super) fn next(&mut self, route: &RouteSpec) -> usize {
        if route.weighted_services.len() < 2 {
            return 0;
        }
        let current = self.current_weights.entry(route.name.clone()).or_default();
        current.resize(route.weighted_services.len(), 0.0);
        let total: f64 = route.weighted_services.iter().map(|p| p.weight).sum();
        for (weight, service) in current.iter_mut().zip(&route.weighted_services) {
            *weight += service.weight;
        }
        let largest = current.iter().enumerate().max_by(|a, b| a.1.total_cmp(b.1));
        let index = largest.map_or(0, |(i, _)| i);
        current[index] -= total;
        index
    }

    /// Resets all current weights, because the configured weights may have changed.
    pub(super) fn reset(&mut self) {
        self.current_weights.clear();
    }
}
