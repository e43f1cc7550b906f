//! Subset selection: determines the endpoints of a large service that one entry uses, by rendezvous
//! hashing.
//!
//! An entry is a daemon that receives requests from callers. The endpoints are grouped into three
//! tiers by their distance from it: its failure domain, the rest of its region, and other regions.
//! They get a half, a third and a sixth of the subset. Shares are in twelfths, so that integer
//! arithmetic suffices.

use std::collections::HashMap;

use cornelvalve_model::{FailureDomain, Fingerprint};

use super::{Endpoint, Locality};

/// Share of the subset for the failure domain of the entry, in twelfths.
const OWN_DOMAIN_TWELFTHS: usize = 6;

/// Share of the subset for the rest of the entry's region, in twelfths. The remainder is for other
/// regions, so that endpoints are left after the loss of a failure domain or a region.
const OWN_REGION_TWELFTHS: usize = 4;

/// Selects at most `size` endpoints, with larger shares for nearer tiers.
///
/// Each entry ranks the endpoints by a hash with its own seed, so that the entries together use all
/// endpoints. Adding or removing an endpoint replaces at most one selected endpoint per tier.
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
    for endpoint in rank(endpoints, seed) {
        tiers[tier_of(endpoint, locality)].push(endpoint);
    }
    let quotas = quotas(size, tiers.each_ref().map(Vec::len));
    tiers
        .iter()
        .zip(quotas)
        .flat_map(|(tier, quota)| interleave_domains(tier).into_iter().take(quota))
        .collect()
}

/// Returns the tier of an endpoint: 0 for the failure domain of the entry, 1 for the rest of its
/// region and 2 for other regions. In contrast to `Distance`, which the placement policy uses, an
/// upstream on the VM of the entry is not a tier of its own.
pub(crate) fn tier_of(endpoint: &Endpoint, locality: &Locality) -> usize {
    if endpoint.region != locality.region {
        2
    } else if endpoint.domain != locality.domain {
        1
    } else {
        0
    }
}

/// Orders endpoints by a hash of the seed and their VM.
fn rank(endpoints: &[Endpoint], seed: u64) -> Vec<&Endpoint> {
    let mut ranked: Vec<&Endpoint> = endpoints.iter().collect();
    ranked.sort_by_cached_key(|e| {
        let hash = Fingerprint::of(&[&seed.to_le_bytes(), e.vm.as_str().as_bytes()]);
        (hash.0, e.vm.clone())
    });
    ranked
}

/// Reorders a tier so that its failure domains alternate.
fn interleave_domains<'a>(tier: &[&'a Endpoint]) -> Vec<&'a Endpoint> {
    let mut counts: HashMap<&FailureDomain, usize> = HashMap::new();
    let mut positions: Vec<(usize, &Endpoint)> = tier
        .iter()
        .map(|e| {
            let position = counts.entry(&e.domain).or_default();
            *position += 1;
            (*position, *e)
        })
        .collect();
    positions.sort_by_key(|(position, _)| *position);
    positions.into_iter().map(|(_, e)| e).collect()
}

/// Divides `size` among the tiers. Places that a tier cannot fill go to the other tiers, nearest
/// first.
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
