//! Rates of the classes and of the region link.

use crate::TrafficClass;

/// RateLimit of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Sustained rate in bytes a second.
    pub bytes_per_second: u32,
    /// Bytes that may be sent at once. The bytes of any window of `t` seconds are at most
    /// `burst_bytes + t * bytes_per_second`.
    pub burst_bytes: u32,
}

/// Length of the windows in which a class keeps within its share.
pub const WINDOW_SECONDS: u32 = 10;

/// Seconds of its rate that a bucket holds: enough for several datagrams of 1400 bytes.
const BURST_SECONDS: u32 = 2;

impl RateLimit {
    /// Creates the rate with which any window of [`WINDOW_SECONDS`] or more, including a full
    /// burst, holds at most `share` bytes a second.
    #[must_use]
    pub const fn with_window_average(share: u32) -> Self {
        let bytes_per_second = share * WINDOW_SECONDS / (WINDOW_SECONDS + BURST_SECONDS);
        Self {
            bytes_per_second,
            burst_bytes: BURST_SECONDS * bytes_per_second,
        }
    }
}

/// Rates of the control traffic that one daemon sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Probes and their replies.
    pub probe: RateLimit,
    /// Updates of member records outside of probes.
    pub news: RateLimit,
    /// Configuration pulls and notices.
    pub configuration: RateLimit,
    /// Polls of the upstream's load.
    pub load: RateLimit,
    /// All classes together across the region link.
    pub region_link: RateLimit,
}

/// Control traffic allowed per daemon, in bytes a second.
pub const TOTAL_BYTES_PER_SECOND: u32 = 16_000;

/// Share of the region link for control traffic in one direction, in bytes a second: 1% of
/// 30 Mbit/s is 37,500 bytes a second.
pub const REGION_LINK_BYTES_PER_SECOND: u32 = 37_500;

/// Daemons by which the share of the link is divided. The larger of the two present meshes has 14
/// targets in two regions; the divisor leaves room for one region to hold all of them and more.
pub const REGION_LINK_DAEMONS: u32 = 20;

/// Share of the link for one daemon: 37,500 / 20 daemons, less a quarter for packet headers of 28
/// bytes on datagrams of about 100 bytes.
const LINK_SHARE: u32 = REGION_LINK_BYTES_PER_SECOND / REGION_LINK_DAEMONS * 3 / 4;

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            probe: RateLimit::with_window_average(5_000),
            news: RateLimit::with_window_average(5_000),
            configuration: RateLimit::with_window_average(4_000),
            load: RateLimit::with_window_average(2_000),
            region_link: RateLimit::with_window_average(LINK_SHARE),
        }
    }
}

impl BudgetSettings {
    /// Returns the rate of a class.
    #[must_use]
    pub fn rate(&self, class: TrafficClass) -> RateLimit {
        match class {
            TrafficClass::Probe => self.probe,
            TrafficClass::News => self.news,
            TrafficClass::Configuration => self.configuration,
            TrafficClass::Load => self.load,
        }
    }
}
