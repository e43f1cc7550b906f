//! Sends probes within the region and to other regions, and handles their results.
//!
//! A probe is a ping whose acknowledgement is awaited until a deadline.

use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{MemberState, Moment, Region, VmName};
use rand::seq::SliceRandom;

use crate::membership::Membership;
use crate::pending_probes::{Probe, ProbeKind};
use crate::table::{Entry, OWN_INDEX, is_tombstone};
use crate::{Message, TrafficClass};

/// Time between two pings to random dead members. These pings reconnect the two sides of a
/// partition within a region, which have declared each other dead.
const DEAD_PROBE_PERIOD: Duration = Duration::from_secs(10);

/// Maximum time until the next probes of other regions if updates wait to be sent to them, or if
/// the result of the latest probe of a region disagrees with the region's status.
const URGENT_REMOTE_PERIOD: Duration = Duration::from_secs(1);

impl Membership {
    /// Sends the probes that are due.
    pub(crate) fn start_probes(&mut self, now: Moment) {
        if now >= self.due.probe {
            self.due.probe = now + self.settings.probe_period;
            if let Some(index) = self.next_probe_target() {
                self.probe(index, ProbeKind::Direct, self.settings.direct_timeout, now);
            }
        }
        if now >= self.due.dead_probe {
            self.due.dead_probe = now + DEAD_PROBE_PERIOD;
            self.probe_dead();
        }
        if self.is_reader() {
            self.probe_regions(now);
        } else {
            self.reachability.clear_probes();
            self.remote_updates.clear();
        }
    }

    /// Returns the index of the next member of this region to probe. All members are probed once in
    /// random order before the next round starts.
    fn next_probe_target(&mut self) -> Option<usize> {
        for _ in 0..2 {
            while let Some(vm) = self.probe_order.pop() {
                let index = self.table.find(&vm).filter(|i| *i != OWN_INDEX);
                if let Some(index) = index.filter(|i| self.table.entries()[*i].is_live()) {
                    return Some(index);
                }
            }
            self.probe_order = self.local_member_names();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }

    fn local_member_names(&self) -> Vec<VmName> {
        let others = self.table.entries().iter().skip(OWN_INDEX + 1);
        let local = others.filter(|e| e.is_live() && self.table.is_local(&e.member));
        local.map(|e| e.member.vm.clone()).collect()
    }

    /// Sends a ping and adds it to the pending probes.
    fn probe(&mut self, index: usize, kind: ProbeKind, timeout: Duration, now: Moment) {
        let entry = &self.table.entries()[index];
        let vm = entry.member.vm.clone();
        let sequence = self.ping(index);
        self.probes.add(Probe {
            sequence,
            vm,
            kind,
            deadline: now + timeout,
        });
    }

    /// Sends a ping and returns its sequence number.
    fn ping(&mut self, index: usize) -> u32 {
        let entry = &self.table.entries()[index];
        let to = entry.member.peer_addr;
        let target_hash = entry.vm_hash;
        let sequence = self.probes.next_sequence();
        let updates = self.collect_updates(to);
        let message = Message::Ping {
            sequence,
            target_hash,
            revision: self.revision,
            updates,
        };
        self.send(to, TrafficClass::Probe, message);
        sequence
    }

    /// Pings a random dead member of this region. The ping carries the member's state, so a member
    /// that is running refutes it.
    fn probe_dead(&mut self) {
        let region = self.table.own_record().region.clone();
        let dead = self.table.choose_random(&mut self.rng, 1, |entry| {
            entry.member.state == MemberState::Dead && entry.member.region == region
        });
        for index in dead {
            self.ping(index);
        }
    }

    /// Probes a random member of each other region if this is due.
    fn probe_regions(&mut self, now: Moment) {
        let urgent =
            !self.remote_updates.is_empty() || self.reachability.any_latest_probe_disagrees();
        if urgent {
            self.due.remote_probe = self.due.remote_probe.min(now + URGENT_REMOTE_PERIOD);
        }
        if now < self.due.remote_probe {
            return;
        }
        self.due.remote_probe = now + self.settings.remote_period;
        let regions: Vec<Region> = self.table.other_regions().cloned().collect();
        for region in regions {
            if let Some(index) = self.random_member_of(&region) {
                let kind = ProbeKind::Remote(region);
                self.probe(index, kind, self.settings.remote_timeout, now);
            }
        }
    }

    /// Returns the index of a random member of a region that neither left nor died.
    pub(crate) fn random_member_of(&mut self, region: &Region) -> Option<usize> {
        let matches = |entry: &Entry| entry.is_live() && entry.member.region == *region;
        self.table
            .choose_random(&mut self.rng, 1, matches)
            .first()
            .copied()
    }

    /// Handles a direct or indirect acknowledgement. If the probe was sent on behalf of another
    /// member, acknowledges it to that member.
    pub(crate) fn handle_ack(&mut self, sequence: u32, now: Moment) {
        if let Some((origin, origin_sequence)) = self.probes.complete_relayed(sequence) {
            self.send(
                origin,
                TrafficClass::Probe,
                Message::IndirectAck {
                    sequence: origin_sequence,
                },
            );
        }
        let Some(probe) = self.probes.complete(sequence) else {
            return;
        };
        if let ProbeKind::Remote(region) = probe.kind {
            self.record_region_probe(&region, true, now);
        }
    }

    /// Probes a member on behalf of the sender of an indirect ping.
    pub(crate) fn handle_indirect_ping(
        &mut self,
        from: SocketAddr,
        origin_sequence: u32,
        target_hash: u32,
        addr: SocketAddr,
        now: Moment,
    ) {
        let timeout = self.settings.probe_period;
        let relayed = self.probes.add_relayed(from, origin_sequence, now, timeout);
        if let Some(sequence) = relayed {
            let updates = self.collect_updates(addr);
            let message = Message::Ping {
                sequence,
                target_hash,
                revision: self.revision,
                updates,
            };
            self.send(addr, TrafficClass::Probe, message);
        }
    }

    /// Handles the probes whose deadline has passed.
    pub(crate) fn expire_probes(&mut self, now: Moment) {
        for probe in self.probes.take_expired(now) {
            match probe.kind.clone() {
                ProbeKind::Direct => self.send_indirect_pings(probe, now),
                ProbeKind::Indirect => self.handle_probe_failure(&probe.vm, now),
                ProbeKind::Remote(region) => self.record_region_probe(&region, false, now),
            }
        }
    }

    /// Asks random members of this region to probe the target of a direct probe.
    fn send_indirect_pings(&mut self, probe: Probe, now: Moment) {
        let Some(target) = self.table.get(&probe.vm) else {
            return;
        };
        let addr = target.member.peer_addr;
        let target_hash = target.vm_hash;
        // Chooses one more than needed, because the target itself may be among them.
        let peers = self.random_local_peers(self.settings.indirect_probes + 1);
        let addrs = peers
            .into_iter()
            .map(|i| self.table.entries()[i].member.peer_addr);
        let others: Vec<SocketAddr> = addrs.filter(|a| *a != addr).collect();
        for to in others.into_iter().take(self.settings.indirect_probes) {
            let message = Message::IndirectPing {
                sequence: probe.sequence,
                target_hash,
                addr,
            };
            self.send(to, TrafficClass::Probe, message);
        }
        self.probes.add(Probe {
            kind: ProbeKind::Indirect,
            deadline: now + self.settings.probe_period,
            ..probe
        });
    }

    /// Marks a member that did not acknowledge any probe as suspect, or as left if it was leaving.
    fn handle_probe_failure(&mut self, vm: &VmName, now: Moment) {
        let Some(index) = self.table.find(vm).filter(|i| *i != OWN_INDEX) else {
            return;
        };
        match self.table.entries()[index].member.state {
            MemberState::Alive => self.set_observed_state(index, MemberState::Suspect, now),
            // The member has announced that it leaves and receives no new requests. If it still
            // runs, it refutes this.
            MemberState::Leaving => self.set_observed_state(index, MemberState::Left, now),
            state => debug_assert!(is_tombstone(state) || state == MemberState::Suspect),
        }
    }
}
