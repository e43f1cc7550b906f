//! Spreads work of many daemons over time.

use std::time::Duration;

use cornelvalve_model::Fingerprint;

/// Returns a delay below `longest`, different in each daemon and for each `occasion`.
///
/// `seed` is the seed of this daemon.
pub(crate) fn spread(seed: u64, occasion: u64, longest: Duration) -> Duration {
    let hash = Fingerprint::of(&[&seed.to_le_bytes(), &occasion.to_le_bytes()]);
    longest.mul_f64(hash.0 as f64 / u64::MAX as f64)
}
