//! Hybrid logical clock, which orders events across daemons whose wall clocks differ.

use cornelvalve_api::Timestamp;
use cornelvalve_model::WallTime;

/// Maximum time in milliseconds by which a remote timestamp may be ahead of the local wall clock;
/// timestamps further ahead are ignored.
///
/// Without the limit, one VM with a wrong clock would push the timestamps of all daemons far into
/// the future.
const MAX_LEAD_MS: u64 = 60_000;

/// Clock whose timestamps always increase and are later than every timestamp that it observed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HybridClock {
    last: Timestamp,
}

impl HybridClock {
    /// Returns a new timestamp that is later than all earlier ones; `wall` is the current time.
    pub fn tick(&mut self, wall: WallTime) -> Timestamp {
        self.last = successor(self.last).max(Timestamp {
            wall_ms: wall.0,
            logical: 0,
        });
        self.last
    }

    /// Advances the clock so that all further timestamps are later than `remote`.
    ///
    /// A timestamp that is more than a minute ahead of the wall clock is ignored.
    pub fn observe(&mut self, remote: Timestamp, wall: WallTime) {
        if remote.wall_ms <= wall.0.saturating_add(MAX_LEAD_MS) {
            self.last = self.last.max(remote);
        }
    }
}

/// Returns the smallest timestamp after `at`. If the logical counter is at its maximum, this is the
/// start of the next millisecond.
fn successor(at: Timestamp) -> Timestamp {
    match at.logical.checked_add(1) {
        Some(logical) => Timestamp { logical, ..at },
        None => Timestamp {
            wall_ms: at.wall_ms.saturating_add(1),
            logical: 0,
        },
    }
}
