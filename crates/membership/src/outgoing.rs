//! Composition of outgoing messages and dispatch of received ones.

use std::net::SocketAddr;

use cornelvalve_model::{MemberState, Moment, Revision};

use crate::membership::Membership;
use crate::news::Form;
use crate::table::{Entry, OWN, vm_hash};
use crate::{Action, Message, TrafficClass, Update, size};

/// Factor of the logarithm that bounds how often an update is sent.
const RETRANSMIT_FACTOR: f64 = 3.0;

/// Times that a reader sends an update to each other region.
const REMOTE_SENDS: u32 = 3;

fn read(entry: &Entry, form: Form) -> Update {
    match form {
        Form::Record => Update::Record(Box::new(entry.member.clone())),
        Form::State => Update::State {
            vm: entry.member.vm.clone(),
            key: entry.member.key,
            state: entry.member.state,
        },
    }
}

impl Membership {
    pub(crate) fn send(&mut self, to: SocketAddr, class: TrafficClass, message: Message) {
        // An unknown address may be in another region, and the link has the stricter budget.
        let known = self.table.at_addr(to);
        let local = known.is_some_and(|i| self.table.is_local(&self.table.entries()[i].member));
        self.actions.push(Action::Send {
            to,
            crosses_region: !local,
            class,
            message,
        });
    }

    /// Returns the number of times that an update is sent within the region.
    pub(crate) fn send_limit(&self) -> u32 {
        let members = self.table.local_live() as f64;
        (RETRANSMIT_FACTOR * (members + 1.0).log2()).ceil() as u32
    }

    /// Collects the updates for a message to a member, beginning with what it should refute.
    pub(crate) fn news_for(&mut self, to: SocketAddr) -> Vec<Update> {
        let mut updates = Vec::new();
        let mut room = self.settings.message_bytes - size::MESSAGE_OVERHEAD;
        let peer = self.table.at_addr(to).map(|i| &self.table.entries()[i]);
        let local = peer.is_none_or(|entry| self.table.is_local(&entry.member));
        let doubted = |state| !matches!(state, MemberState::Alive | MemberState::Leaving);
        if let Some(entry) = peer.filter(|entry| doubted(entry.member.state)) {
            updates.push(read(entry, Form::State));
        }
        let limit = self.send_limit();
        if local {
            self.findings.retain_mut(|(finding, sends)| {
                updates.push(finding.clone());
                *sends += 1;
                *sends < limit
            });
        }
        room = room.saturating_sub(updates.iter().map(size::update).sum());
        let table = &self.table;
        let lookup = |vm: &_, form| table.get(vm).map(|entry| read(entry, form));
        if local {
            self.updates.fill(&mut updates, room, limit, lookup);
        } else {
            let regions = table.other_regions().count() as u32;
            self.remote_news
                .fill(&mut updates, room, REMOTE_SENDS * regions, lookup);
        }
        updates
    }

    /// Sends the own record to some members at once instead of waiting for the next probes.
    pub(crate) fn announce(&mut self) {
        let own = self.table.own_record().clone();
        for index in self.local_peers(self.settings.notice_fanout) {
            let to = self.table.entries()[index].member.peer_addr;
            let updates = vec![Update::Record(Box::new(own.clone()))];
            self.send(to, TrafficClass::News, Message::Updates { updates });
        }
    }

    pub(crate) fn notify_revision(&mut self) {
        let revision = self.revision;
        for index in self.local_peers(self.settings.notice_fanout) {
            let to = self.table.entries()[index].member.peer_addr;
            let message = Message::RevisionNotice { revision };
            self.send(to, TrafficClass::Configuration, message);
        }
    }

    pub(crate) fn local_peers(&mut self, count: usize) -> smallvec::SmallVec<[usize; 4]> {
        let own = self.table.own_record();
        let region = own.region.clone();
        let vm = own.vm.clone();
        self.table.choose(&mut self.rng, count, |entry| {
            entry.is_live() && entry.member.region == region && entry.member.vm != vm
        })
    }

    pub(crate) fn received(&mut self, from: SocketAddr, message: Message, now: Moment) {
        match message {
            Message::Ping {
                sequence,
                target_hash,
                revision,
                updates,
            } => {
                self.merge_all(updates, true, now);
                self.saw_revision(from, revision);
                if target_hash == vm_hash(&self.table.own_record().vm) {
                    self.acknowledge(from, sequence);
                }
            }
            Message::Ack {
                sequence,
                revision,
                updates,
            } => {
                self.merge_all(updates, true, now);
                self.saw_revision(from, revision);
                self.answered(sequence, now);
            }
            Message::IndirectPing {
                sequence,
                target_hash,
                addr,
            } => self.probe_for(from, sequence, target_hash, addr, now),
            Message::IndirectAck { sequence } => self.answered(sequence, now),
            Message::Join { member } => self.joined(from, *member, now),
            Message::Updates { updates } => self.merge_all(updates, self.catch_up == 0, now),
            Message::SyncRoot { root, member } => {
                if let Some(member) = member {
                    self.merge_record(*member, true, now);
                }
                self.compare_root(from, root);
            }
            Message::SyncBuckets { buckets } => self.compare_buckets(from, &buckets, now),
            Message::SyncSummaries { buckets, summaries } => {
                self.compare_summaries(from, &buckets, &summaries);
            }
            Message::SyncRequest { vm_hashes } => self.send_wanted(from, &vm_hashes),
            Message::RevisionNotice { revision } => self.saw_revision(from, revision),
            Message::RevisionQuery => self.report_revision(from),
            Message::RevisionReply { revision } => self.revision_reported(from, revision),
        }
    }

    fn acknowledge(&mut self, to: SocketAddr, sequence: u32) {
        let updates = self.news_for(to);
        let message = Message::Ack {
            sequence,
            revision: self.revision,
            updates,
        };
        self.send(to, TrafficClass::Probe, message);
    }

    fn saw_revision(&mut self, from: SocketAddr, revision: Revision) {
        let Some(index) = self.table.at_addr(from).filter(|i| *i != OWN) else {
            return;
        };
        let entry = &self.table.entries()[index];
        let highest = entry.revision.max(revision);
        if revision > self.revision {
            self.actions.push(Action::PeerRevision {
                vm: entry.member.vm.clone(),
                operator_addr: entry.member.operator_addr,
                revision,
            });
        }
        self.table.set_revision(index, highest);
    }

    fn report_revision(&mut self, to: SocketAddr) {
        let revision = self.revision;
        let message = Message::RevisionReply { revision };
        self.send(to, TrafficClass::Configuration, message);
    }

    fn revision_reported(&mut self, from: SocketAddr, revision: Revision) {
        self.saw_revision(from, revision);
        let index = self.table.at_addr(from).filter(|i| *i != OWN);
        if let Some(index) = index {
            let vm = self.table.entries()[index].member.vm.clone();
            self.actions.push(Action::RevisionReported { vm, revision });
        }
    }
}
