//! Dispatches received messages and composes outgoing ones.

use std::net::SocketAddr;

use cornelvalve_model::{ConfigRevision, MemberState, Moment};

use crate::membership::Membership;
use crate::table::{Entry, OWN_INDEX, vm_hash};
use crate::update_queue::UpdateKind;
use crate::{Action, Message, TrafficClass, Update, size};

/// A daemon sends an update at most `RETRANSMIT_FACTOR * log2(members + 1)` times within its
/// region, where `members` is the number of live members of the region.
const RETRANSMIT_FACTOR: f64 = 3.0;

/// Average number of times that a reader sends an update to each other region.
const REMOTE_SENDS_PER_REGION: u32 = 3;

/// Returns an update with the content of a table entry.
fn make_update(entry: &Entry, kind: UpdateKind) -> Update {
    match kind {
        UpdateKind::Record => Update::Record(Box::new(entry.member.clone())),
        UpdateKind::State => Update::State {
            vm: entry.member.vm.clone(),
            key: entry.member.key,
            state: entry.member.state,
        },
    }
}

impl Membership {
    /// Adds an action that sends a message.
    pub(crate) fn send(&mut self, to: SocketAddr, class: TrafficClass, message: Message) {
        // An unknown address may be in another region. It counts as such, because the link between
        // regions has the stricter budget.
        let known = self.table.find_by_addr(to);
        let local = known.is_some_and(|i| self.table.is_local(&self.table.entries()[i].member));
        self.actions.push(Action::Send {
            to,
            crosses_region: !local,
            class,
            message,
        });
    }

    /// Returns the maximum number of times that this daemon sends an update within the region.
    pub(crate) fn max_sends(&self) -> u32 {
        let members = self.table.local_live_count() as f64;
        (RETRANSMIT_FACTOR * (members + 1.0).log2()).ceil() as u32
    }

    /// Returns the updates to piggyback on a message to a member. If this daemon considers the
    /// receiver suspect, left or dead, this state comes first, so that the receiver can refute it.
    pub(crate) fn collect_updates(&mut self, to: SocketAddr) -> Vec<Update> {
        let mut updates = Vec::new();
        let mut remaining_bytes = self.settings.max_message_bytes - size::MESSAGE_OVERHEAD_BYTES;
        let peer = self
            .table
            .find_by_addr(to)
            .map(|i| &self.table.entries()[i]);
        // An unknown receiver gets the updates for this region, although `send` counts it as a
        // member of another region.
        let local = peer.is_none_or(|entry| self.table.is_local(&entry.member));
        let needs_refutation = |state| !matches!(state, MemberState::Alive | MemberState::Leaving);
        if let Some(entry) = peer.filter(|entry| needs_refutation(entry.member.state)) {
            updates.push(make_update(entry, UpdateKind::State));
        }
        let max_sends = self.max_sends();
        if local {
            self.queued_reports.retain_mut(|(report, sends)| {
                updates.push(report.clone());
                *sends += 1;
                *sends < max_sends
            });
        }
        remaining_bytes =
            remaining_bytes.saturating_sub(updates.iter().map(size::update_bytes).sum());
        let table = &self.table;
        let lookup = |vm: &_, kind| table.get(vm).map(|entry| make_update(entry, kind));
        if local {
            self.updates
                .append_updates(&mut updates, remaining_bytes, max_sends, lookup);
        } else {
            let regions = table.other_regions().count() as u32;
            self.remote_updates.append_updates(
                &mut updates,
                remaining_bytes,
                REMOTE_SENDS_PER_REGION * regions,
                lookup,
            );
        }
        updates
    }

    /// Sends this daemon's record to some members at once instead of waiting for the next probes.
    pub(crate) fn announce_own_record(&mut self) {
        let own = self.table.own_record().clone();
        for index in self.random_local_peers(self.settings.notice_fanout) {
            let to = self.table.entries()[index].member.peer_addr;
            let updates = vec![Update::Record(Box::new(own.clone()))];
            self.send(to, TrafficClass::News, Message::Updates { updates });
        }
    }

    /// Notifies some members of the configuration revision that this daemon has applied.
    pub(crate) fn send_revision_notices(&mut self) {
        let revision = self.revision;
        for index in self.random_local_peers(self.settings.notice_fanout) {
            let to = self.table.entries()[index].member.peer_addr;
            let message = Message::RevisionNotice { revision };
            self.send(to, TrafficClass::Configuration, message);
        }
    }

    /// Returns the indexes of up to `count` random other members of this region that neither left
    /// nor died.
    pub(crate) fn random_local_peers(&mut self, count: usize) -> smallvec::SmallVec<[usize; 4]> {
        let own = self.table.own_record();
        let region = own.region.clone();
        let vm = own.vm.clone();
        self.table.choose_random(&mut self.rng, count, |entry| {
            entry.is_live() && entry.member.region == region && entry.member.vm != vm
        })
    }

    /// Handles a message from another daemon.
    pub(crate) fn handle_message(&mut self, from: SocketAddr, message: Message, now: Moment) {
        match message {
            Message::Ping {
                sequence,
                target_hash,
                revision,
                updates,
            } => {
                self.merge_updates(updates, true, now);
                self.record_revision(from, revision);
                if target_hash == vm_hash(&self.table.own_record().vm) {
                    self.send_ack(from, sequence);
                }
            }
            Message::Ack {
                sequence,
                revision,
                updates,
            } => {
                self.merge_updates(updates, true, now);
                self.record_revision(from, revision);
                self.handle_ack(sequence, now);
            }
            Message::IndirectPing {
                sequence,
                target_hash,
                addr,
            } => self.handle_indirect_ping(from, sequence, target_hash, addr, now),
            Message::IndirectAck { sequence } => self.handle_ack(sequence, now),
            Message::Join { member } => self.handle_join(from, *member, now),
            Message::Updates { updates } => {
                // Records received while this daemon catches up are not passed on, because most of
                // them are new only to this daemon.
                self.merge_updates(updates, self.catchup_exchanges == 0, now)
            }
            Message::SyncRoot { root, member } => {
                if let Some(member) = member {
                    self.merge_record(*member, true, now);
                }
                self.handle_sync_root(from, root);
            }
            Message::SyncBuckets { buckets } => self.handle_sync_buckets(from, &buckets, now),
            Message::SyncSummaries { buckets, summaries } => {
                self.handle_sync_summaries(from, &buckets, &summaries);
            }
            Message::SyncRequest { vm_hashes } => self.handle_sync_request(from, &vm_hashes),
            Message::RevisionNotice { revision } => self.record_revision(from, revision),
            Message::RevisionQuery => self.send_revision(from),
            Message::RevisionReply { revision } => self.handle_revision_reply(from, revision),
        }
    }

    fn send_ack(&mut self, to: SocketAddr, sequence: u32) {
        let updates = self.collect_updates(to);
        let message = Message::Ack {
            sequence,
            revision: self.revision,
            updates,
        };
        self.send(to, TrafficClass::Probe, message);
    }

    /// Records the configuration revision that the sender of a message has applied, and reports it
    /// if it is ahead of this daemon's.
    fn record_revision(&mut self, from: SocketAddr, revision: ConfigRevision) {
        let Some(index) = self.table.find_by_addr(from).filter(|i| *i != OWN_INDEX) else {
            return;
        };
        let entry = &self.table.entries()[index];
        let latest = revision.join(entry.revision);
        if revision.is_ahead_of(&self.revision) {
            self.actions.push(Action::PeerRevision {
                vm: entry.member.vm.clone(),
                operator_addr: entry.member.operator_addr,
                revision,
            });
        }
        self.table.set_revision(index, latest);
    }

    fn send_revision(&mut self, to: SocketAddr) {
        let revision = self.revision;
        let message = Message::RevisionReply { revision };
        self.send(to, TrafficClass::Configuration, message);
    }

    fn handle_revision_reply(&mut self, from: SocketAddr, revision: ConfigRevision) {
        self.record_revision(from, revision);
        let index = self.table.find_by_addr(from).filter(|i| *i != OWN_INDEX);
        if let Some(index) = index {
            let vm = self.table.entries()[index].member.vm.clone();
            self.actions.push(Action::RevisionReported { vm, revision });
        }
    }
}
