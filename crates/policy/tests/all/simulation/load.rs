//! Loads to be played.

use std::time::Duration;

use cornelvalve_model::Moment;
use cornelvalve_policy::Distance;

/// Slow times of upstreams that share their VMs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Noise {
    /// Share of the time in which an upstream is slow.
    pub(super) share: f64,
    /// How many times longer work takes that begins then.
    pub(super) slowdown: f64,
    /// Length of a span that is slow or not as a whole.
    pub(super) span: Duration,
}

impl Noise {
    /// Slow times as the users' sites describe them.
    pub(super) const NEIGHBOURS: Self = Self {
        share: 0.25,
        slowdown: 7.0,
        span: Duration::from_millis(500),
    };

    /// Returns the slowdown of an upstream at a moment.
    pub(super) fn at(&self, upstream: usize, now: Moment) -> f64 {
        let span = u64::try_from(self.span.as_nanos()).expect("span fits");
        // Upstreams change at different moments.
        let number = (now.0 + upstream as u64 * span / 7) / span;
        if fraction(number.wrapping_mul(1_000_003) + upstream as u64) < self.share {
            self.slowdown
        } else {
            1.0
        }
    }
}

/// Region of an entry or upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Region {
    North,
    South,
}

/// Upstreams that refuse to run requests though they have room.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shed {
    /// Share of the requests that such an upstream refuses.
    pub(super) share: f64,
    /// One in how many upstreams does so.
    pub(super) one_in: usize,
}

impl Shed {
    /// No upstream refuses.
    pub(super) const NONE: Self = Self {
        share: 0.0,
        one_in: 1,
    };
}

/// Requests of one kind for one service.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// Region of each entry.
    pub(super) entries: Vec<Region>,
    /// Region of each upstream.
    pub(super) upstreams: Vec<Region>,
    /// Requests that each upstream runs at once.
    pub(super) slots: usize,
    /// Work of a request at usual speed, on average.
    pub(super) work: Duration,
    /// Requests a second over all entries.
    pub(super) per_second: f64,
    /// Time within which an answer meets the objective.
    pub(super) objective: Duration,
    /// Time for which callers wait.
    pub(super) deadline: Duration,
    /// Slow times.
    pub(super) noise: Noise,
    /// Refusals of upstreams that have room.
    pub(super) shed: Shed,
    /// Length of the play.
    pub(super) length: Duration,
}

impl Load {
    /// Returns the time until the next request after the one with this number.
    pub(super) fn gap(&self, number: u64) -> Duration {
        let seconds = -(1.0 - fraction(number ^ 0xA5A5)).ln() / self.per_second;
        Duration::from_secs_f64(seconds)
    }

    /// Returns the distance between an entry and an upstream.
    pub(super) fn distance(&self, entry: usize, upstream: usize) -> Distance {
        if self.entries[entry] == self.upstreams[upstream] {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    /// Tells whether an upstream refuses to run a request in an attempt with this number.
    pub(super) fn sheds(&self, upstream: usize, number: u64, attempt: u8) -> bool {
        let chance = fraction(number.wrapping_mul(31) + u64::from(attempt) + 0x77);
        upstream.is_multiple_of(self.shed.one_in) && chance < self.shed.share
    }

    /// Returns the work of a request: between 0.6 and 1.4 of the average.
    pub(super) fn work_of(&self, number: u64) -> Duration {
        self.work
            .mul_f64(0.6 + 0.8 * fraction(number ^ 0x5A5A_0000))
    }
}

/// Returns a fraction that depends on a number like a random one, so that each play is the same.
pub(super) fn fraction(number: u64) -> f64 {
    let mut mixed = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}
