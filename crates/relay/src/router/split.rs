//! Division of a route's requests among its services.

use std::collections::HashMap;

use crate::desired::RouteSpec;

/// Smooth weighted round robin for each route: every part gets its share within any short run of
/// requests.
#[derive(Debug, Default)]
pub(super) struct Splitter {
    credits: HashMap<Box<str>, Vec<f64>>,
}

impl Splitter {
    /// Returns the index of the part that the next request of the route takes.
    pub(super) fn next(&mut self, route: &RouteSpec) -> usize {
        if route.weighted_services.len() < 2 {
            return 0;
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        credits.resize(route.weighted_services.len(), 0.0);
        let total: f64 = route.weighted_services.iter().map(|p| p.weight).sum();
        for (credit, part) in credits.iter_mut().zip(&route.weighted_services) {
            *credit += part.weight;
        }
        let richest = credits.iter().enumerate().max_by(|a, b| a.1.total_cmp(b.1));
        let index = richest.map_or(0, |(i, _)| i);
        credits[index] -= total;
        index
    }

    /// Forgets all credits, as when the weights change.
    pub(super) fn reset(&mut self) {
        self.credits.clear();
    }
}
