//! Division of a route's requests among its services.

use std::collections::HashMap;

use crate::desired::RouteSpec;

/// Smooth weighted round robin for each route: each service gets its share even within a short
/// sequence of requests.
#[derive(Debug, Default)]
pub(super) struct WeightedRoundRobin {
    /// For each route, the running weight of each of its services: it grows by the configured
    /// weight with each request and shrinks by the total when the service is chosen.
    running_weights: HashMap<Box<str>, Vec<f64>>,
}

impl WeightedRoundRobin {
    /// Returns the index of the service that receives the next request of the route.
    pub(super) fn next(&mut self, route: &RouteSpec) -> usize {
        if route.weighted_services.len() < 2 {
            return 0;
        }
        let running = self.running_weights.entry(route.name.clone()).or_default();
        running.resize(route.weighted_services.len(), 0.0);
        let total: f64 = route.weighted_services.iter().map(|p| p.weight).sum();
        for (weight, service) in running.iter_mut().zip(&route.weighted_services) {
            *weight += service.weight;
        }
        let largest = running.iter().enumerate().max_by(|a, b| a.1.total_cmp(b.1));
        let index = largest.map_or(0, |(i, _)| i);
        running[index] -= total;
        index
    }

    /// Resets all running weights, because the configured weights may have changed.
    pub(super) fn reset(&mut self) {
        self.running_weights.clear();
    }
}
