//! Settings of the protocol.

use std::time::Duration;

/// Periods, time-outs and limits of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two probes of a daemon within its region. Ticks should come at least twice as
    /// often, see [`MembershipSettings::tick_period`].
    pub probe_period: Duration,
    /// Wait for a direct reply before other members are asked to probe.
    pub direct_timeout: Duration,
    /// Members that are asked to probe indirectly.
    pub indirect_probes: usize,
    /// Probe periods from suspicion to death in a region of up to ten members; grows with the
    /// logarithm of the number of members.
    pub suspicion_periods: u32,
    /// Time between two anti-entropy exchanges within the region.
    pub sync_period: Duration,
    /// Time between two probes of a reader into each other region.
    pub remote_period: Duration,
    /// Wait for a reply from another region.
    pub remote_timeout: Duration,
    /// Time for which members that left or died are remembered. It exceeds the minutes for which
    /// a partition lasts, so that stale news from the other side revives nobody.
    pub tombstone_ttl: Duration,
    /// Largest estimated size of a message in bytes.
    pub message_bytes: usize,
    /// Seeds contacted at once by a member that joins. With up to as many seeds each one is
    /// contacted every time, so that a single seed that is back is found within one period.
    pub join_fanout: usize,
    /// Members that get a notice of a new configuration revision.
    pub notice_fanout: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(400),
            indirect_probes: 3,
            suspicion_periods: 5,
            sync_period: Duration::from_secs(30),
            remote_period: Duration::from_secs(5),
            remote_timeout: Duration::from_secs(1),
            tombstone_ttl: Duration::from_secs(3600),
            message_bytes: 1200,
            join_fanout: 4,
            notice_fanout: 4,
        }
    }
}

impl MembershipSettings {
    /// Returns the recommended time between two ticks.
    #[must_use]
    pub fn tick_period(&self) -> Duration {
        self.probe_period / 5
    }
}
