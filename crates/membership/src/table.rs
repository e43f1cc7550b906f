//! Stores the known members and maintains the digests that anti-entropy exchanges compare.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use cornelvalve_model::{
    ConfigRevision, FailureDomain, Member, MemberKey, MemberState, Moment, Region, ServiceName,
    VmName,
};
use rand::RngExt;
use rand::rngs::StdRng;
use smallvec::SmallVec;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Summary;

/// Number of buckets into which the table is divided for digests. With 15,000 members a bucket has
/// about 59 records, whose summaries fit in one datagram.
pub(crate) const BUCKETS: usize = 256;

/// Number of bits to which hashes are truncated. In the postcard format of messages, an integer of
/// 28 bits takes four bytes, but a full `u32` takes five.
const HASH_BITS: u32 = 28;

/// Value of [`Summary::record_hash`] for a member that left or died. Such records are not compared
/// with each other, but a daemon that still considers the member live must receive the tombstone.
pub(crate) const TOMBSTONE_HASH: u32 = 0;

/// Index of this daemon's own entry, which is never removed.
pub(crate) const OWN_INDEX: usize = 0;

/// Number of random attempts per requested entry before the table is scanned. Most choices need no
/// scan, because many entries match.
const RANDOM_ATTEMPTS_PER_ENTRY: usize = 16;

/// Returns whether the record of a member in this state is a tombstone, which is kept only to
/// reject stale updates.
pub(crate) fn is_tombstone(state: MemberState) -> bool {
    matches!(state, MemberState::Left | MemberState::Dead)
}

/// Returns a 28-bit hash of a VM name. Its highest eight bits are the member's bucket in
/// anti-entropy exchanges.
pub fn vm_hash(vm: &VmName) -> u32 {
    truncate_hash(xxh3_64(vm.as_str().as_bytes()))
}

fn truncate_hash(hash: u64) -> u32 {
    (hash >> (u64::BITS - HASH_BITS)) as u32
}

/// Returns the bucket of a member from the hash of its VM name.
pub(crate) fn bucket_of(vm_hash: u32) -> usize {
    // The highest eight bits distinguish the 256 buckets.
    ((vm_hash >> (HASH_BITS - 8)) & 0xff) as usize
}

/// A member's record and additional data that this daemon keeps about the member.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    /// Latest configuration revision that the member reported.
    pub(crate) revision: ConfigRevision,
    /// Time of the last change of the member's state.
    pub(crate) changed_at: Moment,
    /// Hash of the VM name.
    pub(crate) vm_hash: u32,
}

impl Entry {
    /// Returns whether the member is alive, suspect or leaving.
    pub(crate) fn is_live(&self) -> bool {
        !is_tombstone(self.member.state)
    }

    /// Returns a digest of the key, state and VM name. The rest of the record follows from the key.
    fn digest(&self) -> u64 {
        let mut bytes = [0; 17];
        bytes[..8].copy_from_slice(&self.member.key.incarnation.0.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.member.key.version.to_le_bytes());
        bytes[12] = self.member.state as u8;
        bytes[13..].copy_from_slice(&self.vm_hash.to_le_bytes());
        xxh3_64(&bytes)
    }

    pub(crate) fn summary(&self) -> Summary {
        let record_hash = if self.is_live() {
            truncate_hash(self.digest()).max(TOMBSTONE_HASH + 1)
        } else {
            TOMBSTONE_HASH
        };
        Summary {
            vm_hash: self.vm_hash,
            record_hash,
        }
    }

    /// Returns the member's rank in rendezvous hashing; the highest ranks become readers.
    fn reader_rank(&self) -> u64 {
        let seed = xxh3_64(self.member.domain.as_str().as_bytes());
        xxh3_64_with_seed(self.member.vm.as_str().as_bytes(), seed)
    }
}

/// All known members. The first entry is this daemon.
#[derive(Debug)]
pub(crate) struct MemberTable {
    entries: Vec<Entry>,
    /// Index of each entry by VM name.
    by_name: HashMap<VmName, u32>,
    /// Index of each entry by the address for messages between daemons.
    by_addr: HashMap<SocketAddr, u32>,
    /// For each bucket, the XOR of the digests of its live entries.
    bucket_digests: Vec<u64>,
    /// Number of live members of this daemon's region, including this daemon.
    local_live: usize,
    /// Identifiers in use, see [`intern`].
    regions: BTreeSet<Region>,
    domains: BTreeSet<FailureDomain>,
    services: BTreeSet<ServiceName>,
}

/// Replaces an identifier with an equal one that is already stored, so that both share their text.
fn intern<T: Clone + Ord>(known: &mut BTreeSet<T>, value: &mut T) {
    match known.get(value) {
        Some(stored) => *value = stored.clone(),
        None => {
            known.insert(value.clone());
        }
    }
}

impl MemberTable {
    pub(crate) fn new(own: Member) -> Self {
        let mut table = Self {
            entries: Vec::new(),
            by_name: HashMap::new(),
            by_addr: HashMap::new(),
            bucket_digests: vec![0; BUCKETS],
            local_live: 0,
            regions: BTreeSet::new(),
            domains: BTreeSet::new(),
            services: BTreeSet::new(),
        };
        table.upsert(own, Moment::default());
        table
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    pub(crate) fn own_record(&self) -> &Member {
        &self.entries[OWN_INDEX].member
    }

    pub(crate) fn find(&self, vm: &VmName) -> Option<usize> {
        self.by_name.get(vm).map(|i| *i as usize)
    }

    pub(crate) fn get(&self, vm: &VmName) -> Option<&Entry> {
        self.find(vm).map(|i| &self.entries[i])
    }

    pub(crate) fn find_by_addr(&self, addr: SocketAddr) -> Option<usize> {
        self.by_addr.get(&addr).map(|i| *i as usize)
    }

    /// Returns the number of members of this daemon's region that neither left nor died, including
    /// this daemon.
    pub(crate) fn local_live_count(&self) -> usize {
        self.local_live
    }

    pub(crate) fn is_local(&self, member: &Member) -> bool {
        member.region == self.own_record().region
    }

    /// Returns all other regions that have or had a known member.
    pub(crate) fn other_regions(&self) -> impl Iterator<Item = &Region> {
        self.regions
            .iter()
            .filter(|r| **r != self.own_record().region)
    }

    /// Inserts or replaces the record of a member.
    pub(crate) fn upsert(&mut self, mut member: Member, now: Moment) {
        intern(&mut self.regions, &mut member.region);
        intern(&mut self.domains, &mut member.domain);
        for upstream in &mut member.upstreams {
            intern(&mut self.services, &mut upstream.service);
        }
        let index = match self.find(&member.vm) {
            Some(index) => {
                self.update_aggregates(index, false);
                self.remove_from_addr_index(index);
                self.replace(index, member, now);
                index
            }
            None => self.insert(member, now),
        };
        self.add_to_addr_index(index);
        self.update_aggregates(index, true);
    }

    fn insert(&mut self, member: Member, now: Moment) -> usize {
        let index = self.entries.len();
        self.by_name.insert(member.vm.clone(), index as u32);
        self.entries.push(Entry {
            vm_hash: vm_hash(&member.vm),
            member,
            revision: ConfigRevision::default(),
            changed_at: now,
        });
        index
    }

    fn replace(&mut self, index: usize, mut member: Member, now: Moment) {
        let entry = &mut self.entries[index];
        // The stored name shares its text with the key in `by_name`.
        member.vm = entry.member.vm.clone();
        if entry.member.key.incarnation != member.key.incarnation {
            entry.revision = ConfigRevision::default();
        }
        if entry.member.state != member.state {
            entry.changed_at = now;
        }
        entry.member = member;
    }

    pub(crate) fn set_state(
        &mut self,
        index: usize,
        key: MemberKey,
        state: MemberState,
        now: Moment,
    ) {
        self.update_aggregates(index, false);
        let entry = &mut self.entries[index];
        entry.member.key = key;
        entry.member.state = state;
        entry.changed_at = now;
        self.update_aggregates(index, true);
    }

    pub(crate) fn set_revision(&mut self, index: usize, revision: ConfigRevision) {
        self.entries[index].revision = revision;
    }

    pub(crate) fn remove(&mut self, vm: &VmName) {
        let Some(index) = self.find(vm).filter(|i| *i != OWN_INDEX) else {
            return;
        };
        self.update_aggregates(index, false);
        self.remove_from_addr_index(index);
        self.by_name.remove(vm);
        self.entries.swap_remove(index);
        if let Some(moved) = self.entries.get(index) {
            let previous = self.entries.len() as u32;
            self.by_name.insert(moved.member.vm.clone(), index as u32);
            if self.by_addr.get(&moved.member.peer_addr) == Some(&previous) {
                self.by_addr.insert(moved.member.peer_addr, index as u32);
            }
        }
    }

    /// Adds the address of an entry to `by_addr`. A member that left or died does not replace the
    /// member that has its address now.
    fn add_to_addr_index(&mut self, index: usize) {
        let entry = &self.entries[index];
        let addr = entry.member.peer_addr;
        if entry.is_live() || !self.by_addr.contains_key(&addr) {
            self.by_addr.insert(addr, index as u32);
        }
    }

    fn remove_from_addr_index(&mut self, index: usize) {
        let addr = self.entries[index].member.peer_addr;
        if self.by_addr.get(&addr) == Some(&(index as u32)) {
            self.by_addr.remove(&addr);
        }
    }

    /// Includes an entry in the bucket digests and in the number of live members, or excludes it if
    /// `add` is false. A second XOR with a digest removes it. Tombstones are not included, because
    /// daemons forget them at different times.
    fn update_aggregates(&mut self, index: usize, add: bool) {
        let entry = &self.entries[index];
        if !entry.is_live() {
            return;
        }
        let digest = entry.digest();
        let vm_hash = entry.vm_hash;
        if entry.member.region == self.entries[OWN_INDEX].member.region {
            self.local_live = if add {
                self.local_live + 1
            } else {
                self.local_live - 1
            };
        }
        self.bucket_digests[bucket_of(vm_hash)] ^= digest;
    }

    /// Returns the digest of the whole table.
    pub(crate) fn root_digest(&self) -> u64 {
        let fold = |seed, digest: &u64| xxh3_64_with_seed(&digest.to_le_bytes(), seed);
        self.bucket_digests.iter().fold(0, fold)
    }

    /// Returns the truncated digest of each bucket.
    pub(crate) fn bucket_digests(&self) -> Vec<u32> {
        self.bucket_digests
            .iter()
            .map(|d| truncate_hash(*d))
            .collect()
    }

    /// Returns the indexes of up to `count` different random entries that match.
    pub(crate) fn choose_random(
        &self,
        rng: &mut StdRng,
        count: usize,
        matches: impl Fn(&Entry) -> bool,
    ) -> SmallVec<[usize; 4]> {
        let mut chosen: SmallVec<[usize; 4]> = SmallVec::new();
        let total = self.entries.len();
        for _ in 0..RANDOM_ATTEMPTS_PER_ENTRY * count {
            if chosen.len() >= count {
                return chosen;
            }
            let index = rng.random_range(0..total);
            if !chosen.contains(&index) && matches(&self.entries[index]) {
                chosen.push(index);
            }
        }
        let start = rng.random_range(0..total);
        let scan = (0..total).map(|offset| (start + offset) % total);
        for index in scan {
            if chosen.len() >= count {
                break;
            }
            if !chosen.contains(&index) && matches(&self.entries[index]) {
                chosen.push(index);
            }
        }
        chosen
    }

    /// Returns the two alive members of a failure domain with the highest rank.
    pub(crate) fn readers(&self, domain: &FailureDomain) -> SmallVec<[&Member; 2]> {
        let mut best: SmallVec<[(u64, &Member); 3]> = SmallVec::new();
        for entry in &self.entries {
            let member = &entry.member;
            if member.state == MemberState::Alive && member.domain == *domain {
                best.push((entry.reader_rank(), member));
                best.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.vm.cmp(&b.1.vm)));
                best.truncate(2);
            }
        }
        best.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns the failure domains of this daemon's region.
    pub(crate) fn local_domains(&self) -> BTreeSet<&FailureDomain> {
        let local = self.entries.iter().filter(|e| self.is_local(&e.member));
        local.map(|e| &e.member.domain).collect()
    }
}
