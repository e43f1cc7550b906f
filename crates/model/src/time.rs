//! Points in time as plain numbers, so that the same code runs with real and with virtual clocks.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time on the monotonic clock of a process, in nanoseconds since that clock's origin.
///
/// Moments of different processes have different origins and must not be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment that is `millis` milliseconds after the origin.
    #[must_use]
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }
}

/// Saturates at the origin of the clock.
impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(nanos(rhs)))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(nanos(rhs)))
    }
}

/// Returns a duration in nanoseconds; one that is too long is cut.
fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

/// Saturates at zero, like [`Moment::since`].
impl Sub<Moment> for Moment {
    type Output = Duration;

    fn sub(self, rhs: Moment) -> Duration {
        self.since(rhs)
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// Unlike [`Moment`], it can jump when the system clock is adjusted. It is used to display and
/// order events, and as the [`Incarnation`](crate::Incarnation) of a daemon.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);
