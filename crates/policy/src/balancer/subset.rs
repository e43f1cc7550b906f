//! Deterministic subset of a service's endpoints by rendezvous hashing.

use std::collections::HashMap;

use cornelvalve_model::{FailureDomain, Fingerprint};

use super::{Endpoint, Locality};

/// Share of the subset for the own failure domain, in twelfths.
const OWN_DOMAIN_TWELFTHS: usize = 6;

/// Share of the subset for the rest of the own region, in twelfths. What remains goes to other
/// regions, so that losing a domain or a region leaves endpoints to fall back on.
const OWN_REGION_TWELFTHS: usize = 4;

/// Selects at most `size` endpoints; nearer ones get the larger share.
///
/// Each entry ranks by its own hash, so that entries spread over all endpoints, and adding or
/// removing an endpoint changes at most one member of a tier's share.
pub(crate) fn select<'a>(
    endpoints: &'a [Endpoint],
    locality: &Locality,
    size: usize,
    seed: u64,
) -> Vec<&'a Endpoint> {
    if endpoints.len() <= size {
        return endpoints.iter().collect();
    }
    let mut tiers: [Vec<&Endpoint>; 3] = Default::default();
    for endpoint in ranked(endpoints, seed) {
        tiers[tier_of(endpoint, locality)].push(endpoint);
    }
    let quotas = quotas(size, tiers.each_ref().map(Vec::len));
    tiers
        .iter()
        .zip(quotas)
        .flat_map(|(tier, quota)| spread(tier).into_iter().take(quota))
        .collect()
}

/// Returns 0 for the own failure domain, 1 for the own region and 2 for other regions.
pub(crate) fn tier_of(endpoint: &Endpoint, locality: &Locality) -> usize {
    if endpoint.region != locality.region {
        2
    } else if endpoint.domain != locality.domain {
        1
    } else {
        0
    }
}

fn ranked(endpoints: &[Endpoint], seed: u64) -> Vec<&Endpoint> {
    let mut ranked: Vec<&Endpoint> = endpoints.iter().collect();
    ranked.sort_by_cached_key(|e| {
        let hash = Fingerprint::of(&[&seed.to_le_bytes(), e.vm.as_str().as_bytes()]);
        (hash.0, e.vm.clone())
    });
    ranked
}

/// Orders a tier so that its failure domains take turns.
fn spread<'a>(tier: &[&'a Endpoint]) -> Vec<&'a Endpoint> {
    let mut seen: HashMap<&FailureDomain, usize> = HashMap::new();
    let mut turns: Vec<(usize, &Endpoint)> = tier
        .iter()
        .map(|e| {
            let turn = seen.entry(&e.domain).or_default();
            *turn += 1;
            (*turn, *e)
        })
        .collect();
    turns.sort_by_key(|(turn, _)| *turn);
    turns.into_iter().map(|(_, e)| e).collect()
}

/// Divides `size` among the tiers; what one cannot use goes to the others, nearest first.
fn quotas(size: usize, available: [usize; 3]) -> [usize; 3] {
    let own = size * OWN_DOMAIN_TWELFTHS / 12;
    let region = size * OWN_REGION_TWELFTHS / 12;
    let shares = [own, region, size - own - region];
    let mut quotas = [0, 1, 2].map(|tier| shares[tier].min(available[tier]));
    for tier in 0..quotas.len() {
        let left = size - quotas.iter().sum::<usize>();
        quotas[tier] += left.min(available[tier] - quotas[tier]);
    }
    quotas
}
