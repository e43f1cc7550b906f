//! Clocks as trait objects, so that tests can supply their own.

use std::time::{SystemTime, UNIX_EPOCH};

use cornelvalve_model::{Moment, WallTime};
use tokio::time::Instant;

/// Source of time for services.
pub trait Clock: Send + Sync {
    /// Returns the current moment of the monotonic clock.
    fn now(&self) -> Moment;

    /// Returns the current wall-clock time.
    fn wall_time(&self) -> WallTime;
}

/// Clock of the operating system, through the runtime, so that paused test time applies.
#[derive(Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic origin is now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Moment {
        let nanos = self.origin.elapsed().as_nanos();
        Moment(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    fn wall_time(&self) -> WallTime {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}
