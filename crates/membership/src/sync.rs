//! Runs anti-entropy exchanges, in which two members compare digests of their member tables and
//! exchange the records that differ.
//!
//! If the tables are equal, an exchange consists of one message. Otherwise the receiver replies
//! with the digests of its buckets, and the initiator sends summaries of its records in the buckets
//! that differ. The receiver then sends its own version of the records that differ and requests the
//! initiator's. Each member keeps the newer version.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{Member, Moment, Region};

use crate::membership::Membership;
use crate::table::{BUCKETS, Entry, OWN_INDEX, TOMBSTONE_HASH, bucket_of};
use crate::{Message, Summary, TrafficClass, Update, size};

/// Time between two exchanges while the table lacks many records. Together with
/// [`MAX_RECORD_MESSAGES`] it limits what a joining daemon receives to 14.4 KB/s, so 15,000 records
/// of about 110 bytes take two minutes.
const CATCHUP_PERIOD: Duration = Duration::from_millis(500);

/// Number of exchanges at intervals of [`CATCHUP_PERIOD`] while this daemon catches up. The count
/// starts again when an exchange finds many differing buckets. There is more than one exchange,
/// because the messages of an exchange may get lost or exceed the traffic budget.
pub(crate) const CATCHUP_EXCHANGES: u8 = 3;

/// Maximum number of messages with records sent in reply to one message. The remaining records
/// follow in the next exchange. Six messages of 1200 bytes fit in the default burst of
/// [`TrafficClass::News`], about 8300 bytes.
const MAX_RECORD_MESSAGES: usize = 6;

/// Maximum number of messages with summaries sent in one exchange. Two messages of 1200 bytes hold
/// almost 300 summaries.
const MAX_SUMMARY_MESSAGES: usize = 2;

/// Maximum number of messages with summaries sent in one exchange while the table lacks many
/// records. Two messages of 1200 bytes twice a second would exceed the default rate of
/// [`TrafficClass::News`], about 4200 bytes per second.
const MAX_CATCHUP_SUMMARY_MESSAGES: usize = 1;

/// Size of an encoded summary in bytes: two hashes.
const SUMMARY_BYTES: usize = 8;

/// Size of an encoded hash in bytes. Variable-length integers of 28 bits take up to four bytes.
const VM_HASH_BYTES: usize = 4;

/// If more buckets than this differ, this daemon starts to catch up. Fewer buckets may differ just
/// because some updates have not reached both members yet.
const CATCHUP_THRESHOLD_BUCKETS: usize = 8;

impl Membership {
    /// Starts the exchanges that are due.
    pub(crate) fn start_syncs(&mut self, now: Moment) {
        if now >= self.due.sync {
            self.start_local_sync(now);
        }
        if now >= self.due.remote_sync {
            self.due.remote_sync = now + self.settings.sync_period;
            if self.is_reader() {
                self.start_remote_syncs();
            }
        }
    }

    /// Starts an exchange with a live member of this region, or of another one if this region has
    /// no other live member.
    fn start_local_sync(&mut self, now: Moment) {
        let period = if self.catchup_exchanges > 0 {
            CATCHUP_PERIOD
        } else {
            self.settings.sync_period
        };
        self.due.sync = now + period;
        let local = self.random_local_peers(1).first().copied();
        let peer = local.or_else(|| self.random_live_peer());
        if let Some(index) = peer {
            self.send_sync_root(index);
            // `handle_sync_buckets` sets the number again if many buckets differ.
            self.catchup_exchanges = self.catchup_exchanges.saturating_sub(1);
        }
    }

    /// Returns the index of a random other member that neither left nor died.
    fn random_live_peer(&mut self) -> Option<usize> {
        let own = self.table.own_record().vm.clone();
        let matches = |entry: &Entry| entry.is_live() && entry.member.vm != own;
        self.table
            .choose_random(&mut self.rng, 1, matches)
            .first()
            .copied()
    }

    /// Starts an exchange with a random member of each other region.
    fn start_remote_syncs(&mut self) {
        let regions: Vec<Region> = self.table.other_regions().cloned().collect();
        for region in regions {
            if let Some(index) = self.random_member_of(&region) {
                self.send_sync_root(index);
            }
        }
    }

    fn send_sync_root(&mut self, index: usize) {
        let to = self.table.entries()[index].member.peer_addr;
        let root = self.table.root_digest();
        // While this daemon catches up, the receiver may not know it yet. Without the record the
        // receiver would charge its replies to the budget of the link between regions.
        let own = self.table.own_record();
        let member = (self.catchup_exchanges > 0).then(|| Box::new(own.clone()));
        let message = Message::SyncRoot { root, member };
        self.send(to, TrafficClass::News, message);
    }

    /// Replies to a join with one message. It contains the records of this daemon, of up to eight
    /// random live members of the joining daemon's region, and of the joining daemon itself. The
    /// joining daemon receives the other records through anti-entropy exchanges.
    pub(crate) fn handle_join(&mut self, from: SocketAddr, member: Member, now: Moment) {
        let region = member.region.clone();
        let vm = member.vm.clone();
        self.merge_record(member, true, now);
        let matches = |entry: &Entry| entry.is_live() && entry.member.region == region;
        let mut chosen = self.table.choose_random(&mut self.rng, 8, matches);
        chosen.retain(|index| *index != OWN_INDEX);
        chosen.insert(0, OWN_INDEX);
        // A daemon that rejoins may have to refute its stored record.
        chosen.extend(self.table.find(&vm));
        self.send_records(from, &chosen, 1);
    }

    /// Replies with the digests of this daemon's buckets if the tables differ.
    pub(crate) fn handle_sync_root(&mut self, from: SocketAddr, root: u64) {
        if root != self.table.root_digest() {
            let buckets = self.table.bucket_digests();
            let message = Message::SyncBuckets { buckets };
            self.send(from, TrafficClass::News, message);
        }
    }

    /// Sends summaries of this daemon's records in the buckets that differ. Starts catching up if
    /// many buckets differ. Ignores a list of the wrong length.
    pub(crate) fn handle_sync_buckets(
        &mut self,
        from: SocketAddr,
        peer_digests: &[u32],
        now: Moment,
    ) {
        if peer_digests.len() != BUCKETS {
            return;
        }
        let own_digests = self.table.bucket_digests();
        let differing: Vec<u8> = (0..=u8::MAX)
            .filter(|b| own_digests[usize::from(*b)] != peer_digests[usize::from(*b)])
            .collect();
        if differing.len() > CATCHUP_THRESHOLD_BUCKETS {
            self.catchup_exchanges = CATCHUP_EXCHANGES;
            self.due.sync = self.due.sync.min(now + CATCHUP_PERIOD);
        }
        self.send_summaries(from, &differing);
    }

    /// Sends summaries of the records in the given buckets, as many complete buckets as fit.
    fn send_summaries(&mut self, to: SocketAddr, differing: &[u8]) {
        let mut lists: BTreeMap<u8, Vec<Summary>> =
            differing.iter().map(|b| (*b, Vec::new())).collect();
        for entry in self.table.entries() {
            if let Some(list) = lists.get_mut(&(bucket_of(entry.vm_hash) as u8)) {
                list.push(entry.summary());
            }
        }
        let max_bytes = self.settings.max_message_bytes - size::MESSAGE_OVERHEAD_BYTES;
        let mut lists = lists.into_iter().peekable();
        let max_messages = if self.catchup_exchanges > 0 {
            MAX_CATCHUP_SUMMARY_MESSAGES
        } else {
            MAX_SUMMARY_MESSAGES
        };
        for _ in 0..max_messages {
            let mut buckets = Vec::new();
            let mut summaries = Vec::new();
            let mut used = 0;
            while let Some((bucket, list)) =
                lists.next_if(|(_, l)| used + 1 + l.len() * SUMMARY_BYTES <= max_bytes)
            {
                used += 1 + list.len() * SUMMARY_BYTES;
                buckets.push(bucket);
                summaries.extend(list);
            }
            if buckets.is_empty() {
                return;
            }
            let message = Message::SyncSummaries { buckets, summaries };
            self.send(to, TrafficClass::News, message);
        }
    }

    /// Compares the peer's summaries with this daemon's records. Sends this daemon's version of the
    /// records that differ and requests the peer's.
    pub(crate) fn handle_sync_summaries(
        &mut self,
        from: SocketAddr,
        buckets: &[u8],
        summaries: &[Summary],
    ) {
        let listed_buckets: BTreeSet<u8> = buckets.iter().copied().collect();
        let peer_hashes: BTreeMap<u32, u32> = summaries
            .iter()
            .map(|s| (s.vm_hash, s.record_hash))
            .collect();
        let mut to_send = Vec::new();
        let mut requested = Vec::new();
        // Tombstones of unknown members are not requested, because they have no effect here.
        let mut unknown: BTreeSet<u32> = peer_hashes
            .iter()
            .filter(|(_, record_hash)| **record_hash != TOMBSTONE_HASH)
            .map(|(vm_hash, _)| *vm_hash)
            .collect();
        for (index, entry) in self.table.entries().iter().enumerate() {
            if !listed_buckets.contains(&(bucket_of(entry.vm_hash) as u8)) {
                continue;
            }
            let summary = entry.summary();
            match peer_hashes.get(&summary.vm_hash) {
                Some(record_hash) if *record_hash == summary.record_hash => {}
                // A tombstone matters only to a peer that has the record.
                None if !entry.is_live() => {}
                record_hash => {
                    to_send.push(index);
                    requested.extend(record_hash.map(|_| summary.vm_hash));
                }
            }
            unknown.remove(&summary.vm_hash);
        }
        requested.extend(unknown);
        let max_bytes = self.settings.max_message_bytes - size::MESSAGE_OVERHEAD_BYTES;
        requested.truncate(max_bytes / VM_HASH_BYTES);
        self.send_records(from, &to_send, MAX_RECORD_MESSAGES);
        if !requested.is_empty() {
            self.send(
                from,
                TrafficClass::News,
                Message::SyncRequest {
                    vm_hashes: requested,
                },
            );
        }
    }

    /// Sends the records whose VM names have the given hashes.
    pub(crate) fn handle_sync_request(&mut self, from: SocketAddr, vm_hashes: &[u32]) {
        let vm_hashes: BTreeSet<u32> = vm_hashes.iter().copied().collect();
        let entries = self.table.entries().iter().enumerate();
        let found: Vec<usize> = entries
            .filter(|(_, entry)| vm_hashes.contains(&entry.vm_hash))
            .map(|(index, _)| index)
            .collect();
        self.send_records(from, &found, MAX_RECORD_MESSAGES);
    }

    /// Sends records in up to `max_messages` messages.
    fn send_records(&mut self, to: SocketAddr, indexes: &[usize], max_messages: usize) {
        let max_bytes = self.settings.max_message_bytes - size::MESSAGE_OVERHEAD_BYTES;
        let mut rest = indexes.iter().copied().peekable();
        for _ in 0..max_messages {
            let mut updates = Vec::new();
            let mut remaining_bytes = max_bytes;
            while let Some(index) = rest
                .next_if(|i| size::member_bytes(&self.table.entries()[*i].member) < remaining_bytes)
            {
                let member = self.table.entries()[index].member.clone();
                remaining_bytes -= size::member_bytes(&member) + 1;
                updates.push(Update::Record(Box::new(member)));
            }
            if updates.is_empty() {
                return;
            }
            self.send(to, TrafficClass::News, Message::Updates { updates });
        }
    }
}
