//! Load of a simulation: requests, upstreams and their disturbances.

use std::time::Duration;

use cornelvalve_model::Moment;
use cornelvalve_policy::Distance;

/// Slow periods of upstreams that share their VMs with other workloads.
#[derive(Clone, Copy, Debug)]
pub(super) struct Noise {
    /// Fraction of the time during which an upstream is slow.
    pub(super) fraction: f64,
    /// Factor by which requests take longer that start in a slow period.
    pub(super) slowdown: f64,
    /// Length of the periods, each of which is either slow or normal as a whole.
    pub(super) period: Duration,
}

impl Noise {
    /// Interference of noisy neighbours as users report it: calls take seven times as long for a
    /// quarter of the time, in periods of half a second.
    pub(super) const NEIGHBOURS: Self = Self {
        fraction: 0.25,
        slowdown: 7.0,
        period: Duration::from_millis(500),
    };

    /// Returns the slowdown of an upstream at a moment.
    pub(super) fn at(&self, upstream: usize, now: Moment) -> f64 {
        let period = u64::try_from(self.period.as_nanos()).expect("period fits");
        // The periods of different upstreams start at different moments.
        let number = (now.0 + upstream as u64 * period / 7) / period;
        if pseudo_random(number.wrapping_mul(1_000_003) + upstream as u64) < self.fraction {
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

/// Load shedding: refusals by upstreams although they have free slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shedding {
    /// Fraction of the requests that an upstream with load shedding refuses.
    pub(super) fraction: f64,
    /// One in this number of upstreams sheds load.
    pub(super) one_in: usize,
}

impl Shedding {
    /// No upstream sheds load.
    pub(super) const NONE: Self = Self {
        fraction: 0.0,
        one_in: 1,
    };
}

/// Limits that upstreams in need name.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Requests per second that an upstream in need accepts.
    pub(super) per_second: f64,
    /// One in this number of upstreams is in need; zero means none.
    pub(super) one_in: usize,
    /// Time from which on they are not in need any more.
    pub(super) until: Duration,
}

impl Limits {
    /// No upstream names a limit.
    pub(super) const NONE: Self = Self {
        per_second: f64::INFINITY,
        one_in: 0,
        until: Duration::ZERO,
    };

    /// Returns the limit that an upstream names; `None` if it names none.
    pub(super) fn at(&self, upstream: usize, now: Moment) -> Option<f64> {
        let in_need = self.one_in > 0 && upstream.is_multiple_of(self.one_in);
        (in_need && now < Moment::default() + self.until).then_some(self.per_second)
    }
}

/// Requests of one kind to one service, and the upstreams of that service.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// Region of each entry.
    pub(super) entries: Vec<Region>,
    /// Region of each upstream.
    pub(super) upstreams: Vec<Region>,
    /// Number of requests that each upstream runs at once.
    pub(super) slots: usize,
    /// Average duration of a request at normal speed.
    pub(super) duration: Duration,
    /// Number of requests per second over all entries.
    pub(super) per_second: f64,
    /// Time after sending within which an answer meets the latency objective.
    pub(super) objective: Duration,
    /// Time after sending for which callers wait for an answer.
    pub(super) deadline: Duration,
    /// Slow periods of the upstreams.
    pub(super) noise: Noise,
    /// Load shedding by the upstreams.
    pub(super) shedding: Shedding,
    /// Limits that upstreams name.
    pub(super) limits: Limits,
    /// Simulated time.
    pub(super) length: Duration,
}

impl Load {
    /// Returns the time from the request with this number to the next one.
    ///
    /// The times are distributed exponentially, so that the arrivals form a Poisson process.
    pub(super) fn gap(&self, number: u64) -> Duration {
        let seconds = -(1.0 - pseudo_random(number ^ 0xA5A5)).ln() / self.per_second;
        Duration::from_secs_f64(seconds)
    }

    /// Returns the network distance between an entry and an upstream.
    pub(super) fn distance(&self, entry: usize, upstream: usize) -> Distance {
        if self.entries[entry] == self.upstreams[upstream] {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    /// Returns whether an upstream refuses the request with this number in this attempt.
    pub(super) fn sheds(&self, upstream: usize, number: u64, attempt: u8) -> bool {
        let random = pseudo_random(number.wrapping_mul(31) + u64::from(attempt) + 0x77);
        upstream.is_multiple_of(self.shedding.one_in) && random < self.shedding.fraction
    }

    /// Returns the duration of a request at normal speed: 0.6 to 1.4 times the average.
    pub(super) fn duration_of(&self, number: u64) -> Duration {
        self.duration
            .mul_f64(0.6 + 0.8 * pseudo_random(number ^ 0x5A5A_0000))
    }
}

/// Returns a pseudo-random value between 0 and 1 for a number, so that all runs are equal.
pub(super) fn pseudo_random(number: u64) -> f64 {
    let mut mixed = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}
