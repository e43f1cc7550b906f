//! Anti-entropy: two members compare digests and exchange what differs.
//!
//! An equal table costs one message. Otherwise the answer lists the digests of the buckets, the
//! initiator then lists the records of the buckets that differ, and both sides get what is newer
//! at the other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{Member, Moment, Region};

use crate::membership::Membership;
use crate::table::{BUCKETS, Entry, OWN, TOMBSTONE, bucket_of};
use crate::{Message, Summary, TrafficClass, Update, size};

/// Time between two exchanges while the table lacks much. With [`MAX_PAGES`] a daemon that joins
/// receives at most 14.4 KB/s, and 15,000 records of about 110 bytes in two minutes.
const CATCH_UP_PERIOD: Duration = Duration::from_millis(500);

/// Exchanges that may fail or find little before catching up ends; messages get lost or dropped.
pub(crate) const CATCH_UP_TRIES: u8 = 3;

/// Messages with records sent in answer to one message; the rest follows with the next exchange.
/// Six messages of 1200 bytes fit the burst of the news class.
const MAX_PAGES: usize = 6;

/// Messages with summaries sent in one exchange.
const MAX_SUMMARY_PAGES: usize = 2;

/// Messages with summaries sent in one exchange while the table lacks much; two messages twice a
/// second would exceed the budget of the news class.
const CATCH_UP_PAGES: usize = 1;

/// Encoded bytes of a summary: two integers of 28 bits.
const SUMMARY_BYTES: usize = 8;

/// Encoded bytes of a short hash.
const SHORT_BYTES: usize = 4;

/// Buckets that may differ while the table counts as complete apart from updates in flight.
const FEW_BUCKETS: usize = 8;

impl Membership {
    pub(crate) fn start_syncs(&mut self, now: Moment) {
        if now >= self.due.sync {
            self.start_sync(now);
        }
        if now >= self.due.remote_sync {
            self.due.remote_sync = now + self.settings.sync_period;
            if self.is_reader() {
                self.start_remote_syncs();
            }
        }
    }

    fn start_sync(&mut self, now: Moment) {
        let period = if self.catch_up > 0 {
            CATCH_UP_PERIOD
        } else {
            self.settings.sync_period
        };
        self.due.sync = now + period;
        let local = self.local_peers(1).first().copied();
        let peer = local.or_else(|| self.any_peer());
        if let Some(index) = peer {
            // Set again if the exchange finds that much differs, see `compare_buckets`.
            self.send_root(index);
            self.catch_up = self.catch_up.saturating_sub(1);
        }
    }

    fn any_peer(&mut self) -> Option<usize> {
        let own = self.table.own_record().vm.clone();
        let matches = |entry: &Entry| entry.is_live() && entry.member.vm != own;
        self.table
            .choose(&mut self.rng, 1, matches)
            .first()
            .copied()
    }

    fn start_remote_syncs(&mut self) {
        let regions: Vec<Region> = self.table.other_regions().cloned().collect();
        for region in regions {
            if let Some(index) = self.member_of(&region) {
                self.send_root(index);
            }
        }
    }

    fn send_root(&mut self, index: usize) {
        let to = self.table.entries()[index].member.peer_addr;
        let root = self.table.root();
        // A receiver that does not know the sender would charge its answers to the region link.
        let own = self.table.own_record();
        let member = (self.catch_up > 0).then(|| Box::new(own.clone()));
        let message = Message::SyncRoot { root, member };
        self.send(to, TrafficClass::News, message);
    }

    /// Answers a join with a first page of members; the joining daemon gets the rest by
    /// anti-entropy.
    pub(crate) fn joined(&mut self, from: SocketAddr, member: Member, now: Moment) {
        let region = member.region.clone();
        let vm = member.vm.clone();
        self.merge_record(member, true, now);
        let live = |entry: &Entry| entry.is_live() && entry.member.region == region;
        let mut chosen = self.table.choose(&mut self.rng, 8, live);
        chosen.retain(|index| *index != OWN);
        chosen.insert(0, OWN);
        // A daemon that rejoins may have to refute what is known about it.
        chosen.extend(self.table.find(&vm));
        self.send_records(from, &chosen, 1);
    }

    pub(crate) fn compare_root(&mut self, from: SocketAddr, root: u64) {
        if root != self.table.root() {
            let buckets = self.table.buckets();
            let message = Message::SyncBuckets { buckets };
            self.send(from, TrafficClass::News, message);
        }
    }

    pub(crate) fn compare_buckets(&mut self, from: SocketAddr, theirs: &[u32], now: Moment) {
        if theirs.len() != BUCKETS {
            return;
        }
        let own = self.table.buckets();
        let differing: Vec<u8> = (0..=u8::MAX)
            .filter(|b| own[usize::from(*b)] != theirs[usize::from(*b)])
            .collect();
        if differing.len() > FEW_BUCKETS {
            self.catch_up = CATCH_UP_TRIES;
            self.due.sync = self.due.sync.min(now + CATCH_UP_PERIOD);
        }
        self.send_summaries(from, &differing);
    }

    fn send_summaries(&mut self, to: SocketAddr, differing: &[u8]) {
        let mut lists: BTreeMap<u8, Vec<Summary>> =
            differing.iter().map(|b| (*b, Vec::new())).collect();
        for entry in self.table.entries() {
            if let Some(list) = lists.get_mut(&(bucket_of(entry.short) as u8)) {
                list.push(entry.summary());
            }
        }
        let room = self.settings.message_bytes - size::MESSAGE_OVERHEAD;
        let mut lists = lists.into_iter().peekable();
        let pages = if self.catch_up > 0 {
            CATCH_UP_PAGES
        } else {
            MAX_SUMMARY_PAGES
        };
        for _ in 0..pages {
            let mut buckets = Vec::new();
            let mut summaries = Vec::new();
            let mut used = 0;
            while let Some((bucket, list)) =
                lists.next_if(|(_, l)| used + 1 + l.len() * SUMMARY_BYTES <= room)
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

    pub(crate) fn compare_summaries(
        &mut self,
        from: SocketAddr,
        buckets: &[u8],
        summaries: &[Summary],
    ) {
        let listed: BTreeSet<u8> = buckets.iter().copied().collect();
        let theirs: BTreeMap<u32, u32> = summaries
            .iter()
            .map(|s| (s.vm_hash, s.record_hash))
            .collect();
        let mut offered = Vec::new();
        let mut wanted = Vec::new();
        // A tombstone of an unknown member is of no use.
        let mut unknown: BTreeSet<u32> = theirs
            .iter()
            .filter(|(_, record)| **record != TOMBSTONE)
            .map(|(vm, _)| *vm)
            .collect();
        for (index, entry) in self.table.entries().iter().enumerate() {
            if !listed.contains(&(bucket_of(entry.short) as u8)) {
                continue;
            }
            let summary = entry.summary();
            match theirs.get(&summary.vm_hash) {
                Some(record) if *record == summary.record_hash => {}
                // A tombstone matters only to a member that has the record.
                None if !entry.is_live() => {}
                record => {
                    offered.push(index);
                    wanted.extend(record.map(|_| summary.vm_hash));
                }
            }
            unknown.remove(&summary.vm_hash);
        }
        wanted.extend(unknown);
        let room = self.settings.message_bytes - size::MESSAGE_OVERHEAD;
        wanted.truncate(room / SHORT_BYTES);
        self.send_records(from, &offered, MAX_PAGES);
        if !wanted.is_empty() {
            self.send(
                from,
                TrafficClass::News,
                Message::SyncRequest { vm_hashes: wanted },
            );
        }
    }

    pub(crate) fn send_wanted(&mut self, from: SocketAddr, wanted: &[u32]) {
        let wanted: BTreeSet<u32> = wanted.iter().copied().collect();
        let entries = self.table.entries().iter().enumerate();
        let found: Vec<usize> = entries
            .filter(|(_, entry)| wanted.contains(&entry.short))
            .map(|(index, _)| index)
            .collect();
        self.send_records(from, &found, MAX_PAGES);
    }

    fn send_records(&mut self, to: SocketAddr, indexes: &[usize], pages: usize) {
        let limit = self.settings.message_bytes - size::MESSAGE_OVERHEAD;
        let mut rest = indexes.iter().copied().peekable();
        for _ in 0..pages {
            let mut updates = Vec::new();
            let mut room = limit;
            while let Some(index) =
                rest.next_if(|i| size::member(&self.table.entries()[*i].member) < room)
            {
                let member = self.table.entries()[index].member.clone();
                room -= size::member(&member) + 1;
                updates.push(Update::Record(Box::new(member)));
            }
            if updates.is_empty() {
                return;
            }
            self.send(to, TrafficClass::News, Message::Updates { updates });
        }
    }
}
