//! Defines the settings of the membership protocol.

use std::time::Duration;

/// Periods, timeouts and limits of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two probes that a daemon sends within its region. [`crate::Event::Tick`] must
    /// occur at least twice in this time, see [`MembershipSettings::tick_period`].
    pub probe_period: Duration,
    /// Time to wait for an acknowledgement before other members are asked to probe the target.
    pub direct_timeout: Duration,
    /// Number of members that are asked to probe a target that did not acknowledge.
    pub indirect_probes: usize,
    /// Number of probe periods after which a suspect member is declared dead in a region of fewer
    /// than ten members. In larger regions it is multiplied by the decimal logarithm of the number
    /// of members plus one.
    pub suspicion_periods: u32,
    /// Time between two anti-entropy exchanges that a daemon starts within its region, and that a
    /// reader starts with each other region.
    pub sync_period: Duration,
    /// Time between two probes that a reader sends to each other region.
    pub remote_period: Duration,
    /// Time to wait for an acknowledgement from another region.
    pub remote_timeout: Duration,
    /// Time for which members that left or died are remembered. It exceeds the duration of a
    /// partition, usually minutes, so that stale updates from the other side do not make members
    /// alive again.
    pub tombstone_ttl: Duration,
    /// Maximum estimated size of an encoded message in bytes. Datagrams are limited to 1400 bytes
    /// (`cornelvalve_wire::datagram::MAX_DATAGRAM_BYTES`).
    pub max_message_bytes: usize,
    /// Maximum number of seeds contacted at a time. If there are no more seeds than this, all of
    /// them are contacted every time, so a single seed that has restarted is found the
    /// next time.
    pub join_fanout: usize,
    /// Number of members that are notified at once of a new configuration revision, or of this
    /// daemon's departure.
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
            max_message_bytes: 1200,
            join_fanout: 4,
            notice_fanout: 4,
        }
    }
}

impl MembershipSettings {
    /// Returns the recommended time between two [`crate::Event::Tick`] events.
    #[must_use]
    pub fn tick_period(&self) -> Duration {
        self.probe_period / 5
    }
}
