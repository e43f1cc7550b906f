//! Tracks probes that have not been acknowledged yet.

use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{Moment, Region, VmName};
use smallvec::SmallVec;

/// Kind of a probe, which determines what happens at its deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeKind {
    /// Only this daemon has probed the target. At the deadline it asks other members to probe the
    /// target, and the probe becomes indirect.
    Direct,
    /// Other members have been asked to probe the target. At the deadline the target becomes
    /// suspect.
    Indirect,
    /// The target is in another region. A missing reply counts against the region but not against
    /// the target.
    Remote(Region),
}

/// A probe by this daemon that has not been acknowledged yet.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) sequence: u32,
    /// VM name of the target.
    pub(crate) vm: VmName,
    pub(crate) kind: ProbeKind,
    pub(crate) deadline: Moment,
}

/// A probe on behalf of another member, the origin, that has not been acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    /// Sequence number of the ping to the target.
    sequence: u32,
    /// Address of the origin.
    origin: SocketAddr,
    /// Sequence number of the indirect ping from the origin.
    origin_sequence: u32,
    deadline: Moment,
}

/// Maximum number of pending probes on behalf of other members. Limits memory use if a daemon is
/// flooded with indirect pings.
const MAX_RELAYED_PROBES: usize = 64;

/// Probes that have not been acknowledged yet.
#[derive(Debug)]
pub(crate) struct PendingProbes {
    next_sequence: u32,
    /// Probes by this daemon.
    own: SmallVec<[Probe; 4]>,
    /// Probes on behalf of other members.
    relayed: SmallVec<[RelayedProbe; 2]>,
}

impl PendingProbes {
    /// Creates an empty list. The caller passes a random sequence number, so that replies to an
    /// earlier process of this VM do not match a probe of this one.
    pub(crate) fn new(first_sequence: u32) -> Self {
        Self {
            next_sequence: first_sequence,
            own: SmallVec::new(),
            relayed: SmallVec::new(),
        }
    }

    /// Returns a new sequence number.
    pub(crate) fn next_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }

    pub(crate) fn add(&mut self, probe: Probe) {
        self.own.push(probe);
    }

    /// Adds a probe on behalf of another member and returns its sequence number, or `None` if too
    /// many are pending.
    pub(crate) fn add_relayed(
        &mut self,
        origin: SocketAddr,
        origin_sequence: u32,
        now: Moment,
        timeout: Duration,
    ) -> Option<u32> {
        self.relayed.retain(|probe| probe.deadline > now);
        if self.relayed.len() >= MAX_RELAYED_PROBES {
            return None;
        }
        let sequence = self.next_sequence();
        self.relayed.push(RelayedProbe {
            sequence,
            origin,
            origin_sequence,
            deadline: now + timeout,
        });
        Some(sequence)
    }

    /// Removes and returns this daemon's probe with a sequence number.
    pub(crate) fn complete(&mut self, sequence: u32) -> Option<Probe> {
        let index = self.own.iter().position(|p| p.sequence == sequence)?;
        Some(self.own.swap_remove(index))
    }

    /// Removes a probe on behalf of another member; returns the origin's address and the sequence
    /// number of its indirect ping.
    pub(crate) fn complete_relayed(&mut self, sequence: u32) -> Option<(SocketAddr, u32)> {
        let index = self.relayed.iter().position(|r| r.sequence == sequence)?;
        let probe = self.relayed.swap_remove(index);
        Some((probe.origin, probe.origin_sequence))
    }

    /// Removes and returns this daemon's probes whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Moment) -> SmallVec<[Probe; 4]> {
        let mut expired = SmallVec::new();
        self.own.retain(|probe| {
            let is_pending = probe.deadline > now;
            if !is_pending {
                expired.push(probe.clone());
            }
            is_pending
        });
        expired
    }

    /// Removes all probes.
    pub(crate) fn clear(&mut self) {
        self.own.clear();
        self.relayed.clear();
    }
}
