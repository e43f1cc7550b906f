//! Outstanding probes and relayed probes.

use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{Moment, Region, VmName};
use smallvec::SmallVec;

/// How far a probe has got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waits for the target's reply; other members are asked at the deadline.
    Direct,
    /// Waits for the target or the other members.
    Indirect,
    /// Probes another region; the outcome counts for the region only.
    Remote(Region),
}

/// A probe without reply.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) sequence: u32,
    pub(crate) vm: VmName,
    pub(crate) stage: Stage,
    pub(crate) deadline: Moment,
}

/// A probe made for another member.
#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    sequence: u32,
    origin: SocketAddr,
    origin_sequence: u32,
    deadline: Moment,
}

/// Relays kept at most; a flood of requests must not use up memory.
const MAX_RELAYED_PROBES: usize = 64;

/// Outstanding probes of this daemon.
#[derive(Debug)]
pub(crate) struct PendingProbes {
    next_sequence: u32,
    own: SmallVec<[Probe; 4]>,
    relayed: SmallVec<[RelayedProbe; 2]>,
}

impl PendingProbes {
    /// Starts at a random sequence, so that replies to an earlier process are not mistaken.
    pub(crate) fn new(first_sequence: u32) -> Self {
        Self {
            next_sequence: first_sequence,
            own: SmallVec::new(),
            relayed: SmallVec::new(),
        }
    }

    pub(crate) fn next_sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }

    pub(crate) fn add(&mut self, probe: Probe) {
        self.own.push(probe);
    }

    pub(crate) fn add_relayed(
        &mut self,
        origin: SocketAddr,
        origin_sequence: u32,
        now: Moment,
        timeout: Duration,
    ) -> Option<u32> {
        self.relayed.retain(|relay| relay.deadline > now);
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

    /// Ends the probe with this sequence.
    pub(crate) fn complete(&mut self, sequence: u32) -> Option<Probe> {
        let index = self.own.iter().position(|p| p.sequence == sequence)?;
        Some(self.own.swap_remove(index))
    }

    /// Ends the relay with this sequence; returns whom to tell and under which sequence.
    pub(crate) fn complete_relayed(&mut self, sequence: u32) -> Option<(SocketAddr, u32)> {
        let index = self.relayed.iter().position(|r| r.sequence == sequence)?;
        let relay = self.relayed.swap_remove(index);
        Some((relay.origin, relay.origin_sequence))
    }

    /// Takes out the probes whose deadline has passed.
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

    /// Forgets all outstanding probes.
    pub(crate) fn clear(&mut self) {
        self.own.clear();
        self.relayed.clear();
    }
}
