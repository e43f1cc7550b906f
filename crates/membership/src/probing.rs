//! Probes within the region and into other regions.

use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{MemberState, Moment, Region, VmName};
use rand::seq::SliceRandom;

use crate::membership::Membership;
use crate::probes::{Probe, Stage};
use crate::table::{OWN, is_tombstone};
use crate::{Message, TrafficClass};

/// Time between two probes of a random member found dead, which reconnects the two sides of a
/// partition within a region.
const RECONNECT_PERIOD: Duration = Duration::from_secs(10);

/// Time between remote probes while there is something to carry or a verdict to revise.
const URGENT_REMOTE_PERIOD: Duration = Duration::from_secs(1);

impl Membership {
    pub(crate) fn start_probes(&mut self, now: Moment) {
        if now >= self.due.probe {
            self.due.probe = now + self.settings.probe_period;
            if let Some(index) = self.next_target() {
                self.probe(index, Stage::Direct, self.settings.direct_timeout, now);
            }
        }
        if now >= self.due.reconnect {
            self.due.reconnect = now + RECONNECT_PERIOD;
            self.probe_dead();
        }
        if self.is_reader() {
            self.probe_regions(now);
        } else {
            self.reach.clear();
            self.remote_news.clear();
        }
    }

    /// Returns the next member of the shuffled round.
    fn next_target(&mut self) -> Option<usize> {
        for _ in 0..2 {
            while let Some(vm) = self.round.pop() {
                let index = self.table.find(&vm).filter(|i| *i != OWN);
                if let Some(index) = index.filter(|i| self.table.entries()[*i].is_live()) {
                    return Some(index);
                }
            }
            self.round = self.local_names();
            self.round.shuffle(&mut self.rng);
        }
        None
    }

    fn local_names(&self) -> Vec<VmName> {
        let others = self.table.entries().iter().skip(OWN + 1);
        let local = others.filter(|e| e.is_live() && self.table.is_local(&e.member));
        local.map(|e| e.member.vm.clone()).collect()
    }

    fn probe(&mut self, index: usize, stage: Stage, wait: Duration, now: Moment) {
        let entry = &self.table.entries()[index];
        let vm = entry.member.vm.clone();
        let sequence = self.ping(index);
        self.probes.add(Probe {
            sequence,
            vm,
            stage,
            deadline: now + wait,
        });
    }

    fn ping(&mut self, index: usize) -> u32 {
        let entry = &self.table.entries()[index];
        let to = entry.member.peer_addr;
        let target_hash = entry.short;
        let sequence = self.probes.sequence();
        let updates = self.news_for(to);
        let message = Message::Ping {
            sequence,
            target_hash,
            revision: self.revision,
            updates,
        };
        self.send(to, TrafficClass::Probe, message);
        sequence
    }

    fn probe_dead(&mut self) {
        let region = self.table.own_record().region.clone();
        let dead = self.table.choose(&mut self.rng, 1, |entry| {
            entry.member.state == MemberState::Dead && entry.member.region == region
        });
        for index in dead {
            self.ping(index);
        }
    }

    fn probe_regions(&mut self, now: Moment) {
        let urgent = !self.remote_news.is_empty() || self.reach.is_contradicted();
        if urgent {
            self.due.remote = self.due.remote.min(now + URGENT_REMOTE_PERIOD);
        }
        if now < self.due.remote {
            return;
        }
        self.due.remote = now + self.settings.remote_period;
        let regions: Vec<Region> = self.table.other_regions().cloned().collect();
        for region in regions {
            if let Some(index) = self.member_of(&region) {
                let stage = Stage::Remote(region);
                self.probe(index, stage, self.settings.remote_timeout, now);
            }
        }
    }

    pub(crate) fn member_of(&mut self, region: &Region) -> Option<usize> {
        let matches =
            |entry: &crate::table::Entry| entry.is_live() && entry.member.region == *region;
        self.table
            .choose(&mut self.rng, 1, matches)
            .first()
            .copied()
    }

    pub(crate) fn answered(&mut self, sequence: u32, now: Moment) {
        if let Some((origin, sequence)) = self.probes.relayed(sequence) {
            self.send(
                origin,
                TrafficClass::Probe,
                Message::IndirectAck { sequence },
            );
        }
        let Some(probe) = self.probes.answered(sequence) else {
            return;
        };
        if let Stage::Remote(region) = probe.stage {
            self.region_probed(&region, true, now);
        }
    }

    pub(crate) fn probe_for(
        &mut self,
        from: SocketAddr,
        origin_sequence: u32,
        target_hash: u32,
        addr: SocketAddr,
        now: Moment,
    ) {
        let wait = self.settings.probe_period;
        let relay = self.probes.relay(from, origin_sequence, now, wait);
        if let Some(sequence) = relay {
            let updates = self.news_for(addr);
            let message = Message::Ping {
                sequence,
                target_hash,
                revision: self.revision,
                updates,
            };
            self.send(addr, TrafficClass::Probe, message);
        }
    }

    pub(crate) fn expire_probes(&mut self, now: Moment) {
        for probe in self.probes.expired(now) {
            match probe.stage.clone() {
                Stage::Direct => self.ask_others(probe, now),
                Stage::Indirect => self.suspect(&probe.vm, now),
                Stage::Remote(region) => self.region_probed(&region, false, now),
            }
        }
    }

    fn ask_others(&mut self, probe: Probe, now: Moment) {
        let Some(target) = self.table.get(&probe.vm) else {
            return;
        };
        let addr = target.member.peer_addr;
        let short = target.short;
        // One more than needed, because the target itself may be chosen.
        let peers = self.local_peers(self.settings.indirect_probes + 1);
        let addrs = peers
            .into_iter()
            .map(|i| self.table.entries()[i].member.peer_addr);
        let others: Vec<SocketAddr> = addrs.filter(|a| *a != addr).collect();
        for to in others.into_iter().take(self.settings.indirect_probes) {
            let message = Message::IndirectPing {
                sequence: probe.sequence,
                target_hash: short,
                addr,
            };
            self.send(to, TrafficClass::Probe, message);
        }
        self.probes.add(Probe {
            stage: Stage::Indirect,
            deadline: now + self.settings.probe_period,
            ..probe
        });
    }

    fn suspect(&mut self, vm: &VmName, now: Moment) {
        let Some(index) = self.table.find(vm).filter(|i| *i != OWN) else {
            return;
        };
        match self.table.entries()[index].member.state {
            MemberState::Alive => self.find_state(index, MemberState::Suspect, now),
            // It announced its stop and gets no new work; if it still runs it refutes.
            MemberState::Leaving => self.find_state(index, MemberState::Left, now),
            state => debug_assert!(is_tombstone(state) || state == MemberState::Suspect),
        }
    }
}
