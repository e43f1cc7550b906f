//! Rate limits of the traffic classes and of the region link.

use crate::TrafficClass;

/// Refill rate and capacity of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Sustained rate in bytes per second.
    pub bytes_per_second: u32,
    /// Bytes that may be sent at once. In any window of `t` seconds, at most
    /// `burst_bytes + t * bytes_per_second` bytes are sent.
    pub burst_bytes: u32,
}

/// Averaging time of the limits in seconds: averaged over this time or longer, a rate never exceeds
/// its limit, bursts included.
pub const AVERAGING_WINDOW_SECONDS: u32 = 10;

/// Capacity of a bucket in seconds of its sustained rate. Two seconds hold several datagrams of
/// 1400 bytes.
const BURST_SECONDS: u32 = 2;

impl RateLimit {
    /// Returns the rate that averages at most `limit` bytes per second, bursts included, in any
    /// window of [`AVERAGING_WINDOW_SECONDS`] or more.
    ///
    /// Such a window holds at most one burst and the bytes of the sustained rate, so the rate
    /// follows from `burst + window * rate = window * limit`.
    #[must_use]
    pub const fn with_window_average(limit: u32) -> Self {
        let bytes_per_second =
            limit * AVERAGING_WINDOW_SECONDS / (AVERAGING_WINDOW_SECONDS + BURST_SECONDS);
        Self {
            bytes_per_second,
            burst_bytes: BURST_SECONDS * bytes_per_second,
        }
    }
}

/// Rate limits of the control traffic that one daemon sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Probes and their replies, including the member updates that they piggyback.
    pub probe: RateLimit,
    /// Member updates outside of probes.
    pub news: RateLimit,
    /// Configuration pulls, notices and queries between daemons.
    pub configuration: RateLimit,
    /// Polls of the load of upstreams.
    pub load: RateLimit,
    /// Traffic of all classes to other regions.
    pub region_link: RateLimit,
}

/// Control traffic that one daemon may send in all classes together, in bytes per second. The
/// default limits of the classes add up to it.
pub const TOTAL_BYTES_PER_SECOND: u32 = 16_000;

/// Control traffic of all daemons that may cross the region link in one direction, in bytes per
/// second: 1% of a 30 Mbit/s link.
pub const REGION_LINK_BYTES_PER_SECOND: u32 = 37_500;

/// Largest number of daemons in one region, among which the control traffic on the region link is
/// divided. The larger of the two existing meshes has 14 daemons in two regions; 20 leaves room for
/// a region that has all of them and more.
pub const REGION_LINK_DAEMONS: u32 = 20;

/// Control traffic that one daemon may send to other regions, in bytes per second. A quarter of its
/// share of the link is reserved for packet headers: 28 bytes on datagrams of about 100 bytes.
const LINK_BYTES_PER_DAEMON: u32 = REGION_LINK_BYTES_PER_SECOND / REGION_LINK_DAEMONS * 3 / 4;

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            probe: RateLimit::with_window_average(5_000),
            news: RateLimit::with_window_average(5_000),
            configuration: RateLimit::with_window_average(4_000),
            load: RateLimit::with_window_average(2_000),
            region_link: RateLimit::with_window_average(LINK_BYTES_PER_DAEMON),
        }
    }
}

impl BudgetSettings {
    /// Returns the rate limit of a class.
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
