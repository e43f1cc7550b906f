//! Hybrid logical clock.

use cornelvalve_api::Timestamp;
use cornelvalve_model::WallTime;

/// Largest lead of another daemon's timestamp that is followed.
///
/// A VM with a clock far in the future would otherwise move the timeline of all others there.
const MAX_LEAD_MS: u64 = 60_000;

/// Clock whose readings only increase and exceed every timestamp that was observed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HybridClock {
    last: Timestamp,
}

impl HybridClock {
    /// Returns the timestamp of an event that happens now.
    pub fn tick(&mut self, wall: WallTime) -> Timestamp {
        self.last = successor(self.last).max(Timestamp {
            wall_ms: wall.0,
            logical: 0,
        });
        self.last
    }

    /// Advances the clock so that later readings exceed `remote`.
    ///
    /// A timestamp that leads the wall clock by more than a minute is ignored.
    pub fn observe(&mut self, remote: Timestamp, wall: WallTime) {
        if remote.wall_ms <= wall.0.saturating_add(MAX_LEAD_MS) {
            self.last = self.last.max(remote);
        }
    }
}

/// Returns the next timestamp; a full logical counter moves on to the next millisecond.
fn successor(at: Timestamp) -> Timestamp {
    match at.logical.checked_add(1) {
        Some(logical) => Timestamp { logical, ..at },
        None => Timestamp {
            wall_ms: at.wall_ms.saturating_add(1),
            logical: 0,
        },
    }
}
