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
struct Relay {
    sequence: u32,
    origin: SocketAddr,
    origin_sequence: u32,
    deadline: Moment,
}

/// Relays kept at most; a flood of requests must not use up memory.
const MAX_RELAYS: usize = 64;

/// Outstanding probes of this daemon.
#[derive(Debug)]
pub(crate) struct Probes {
    next_sequence: u32,
    own: SmallVec<[Probe; 4]>,
    relays: SmallVec<[Relay; 2]>,
}

impl Probes {
    /// Starts at a random sequence, so that replies to an earlier process are not mistaken.
    pub(crate) fn new(first_sequence: u32) -> Self {
        Self {
            next_sequence: first_sequence,
            own: SmallVec::new(),
            relays: SmallVec::new(),
        }
    }

    pub(crate) fn sequence(&mut self) -> u32 {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.next_sequence
    }

    pub(crate) fn add(&mut self, probe: Probe) {
        self.own.push(probe);
    }

    pub(crate) fn relay(
        &mut self,
        origin: SocketAddr,
        origin_sequence: u32,
        now: Moment,
        wait: Duration,
    ) -> Option<u32> {
        self.relays.retain(|relay| relay.deadline > now);
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let sequence = self.sequence();
        self.relays.push(Relay {
            sequence,
            origin,
            origin_sequence,
            deadline: now + wait,
        });
        Some(sequence)
    }

    /// Ends the probe with this sequence.
    pub(crate) fn answered(&mut self, sequence: u32) -> Option<Probe> {
        let at = self.own.iter().position(|p| p.sequence == sequence)?;
        Some(self.own.swap_remove(at))
    }

    /// Ends the relay with this sequence; returns whom to tell and under which sequence.
    pub(crate) fn relayed(&mut self, sequence: u32) -> Option<(SocketAddr, u32)> {
        let at = self.relays.iter().position(|r| r.sequence == sequence)?;
        let relay = self.relays.swap_remove(at);
        Some((relay.origin, relay.origin_sequence))
    }

    /// Takes out the probes whose deadline has passed.
    pub(crate) fn expired(&mut self, now: Moment) -> SmallVec<[Probe; 4]> {
        let mut expired = SmallVec::new();
        self.own.retain(|probe| {
            let waits = probe.deadline > now;
            if !waits {
                expired.push(probe.clone());
            }
            waits
        });
        expired
    }

    /// Forgets all outstanding probes.
    pub(crate) fn clear(&mut self) {
        self.own.clear();
        self.relays.clear();
    }
}
