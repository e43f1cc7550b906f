//! Member table with digests for anti-entropy.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use cornelvalve_model::{
    FailureDomain, Member, MemberKey, MemberState, Moment, Region, Revision, ServiceName, VmName,
};
use rand::RngExt;
use rand::rngs::StdRng;
use smallvec::SmallVec;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Summary;

/// Buckets of the table digest. At 15,000 members a bucket has about 59 records, whose summaries
/// fit one datagram.
pub(crate) const BUCKETS: usize = 256;

/// Bits of a short hash; postcard encodes 28 bits in four bytes and a full `u32` in five.
const SHORT_BITS: u32 = 28;

/// Digest of a record in a summary whose member left or died. Such records are not compared,
/// but a member that holds the record as live must learn of them.
pub(crate) const TOMBSTONE: u32 = 0;

/// Position of this daemon's own entry, which is never removed.
pub(crate) const OWN: usize = 0;

/// Random attempts before a choice falls back to a scan.
const RANDOM_TRIES: usize = 16;

/// Tells whether a state is kept only to reject stale news.
pub(crate) fn is_tombstone(state: MemberState) -> bool {
    matches!(state, MemberState::Left | MemberState::Dead)
}

/// Returns the short hash of a VM name; its top eight bits are the bucket.
pub fn vm_hash(vm: &VmName) -> u32 {
    shorten(xxh3_64(vm.as_str().as_bytes()))
}

fn shorten(hash: u64) -> u32 {
    (hash >> (u64::BITS - SHORT_BITS)) as u32
}

/// Returns the bucket of a short hash.
pub(crate) fn bucket_of(short: u32) -> usize {
    ((short >> (SHORT_BITS - 8)) & 0xff) as usize
}

/// A member and what this daemon knows beyond its record.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) member: Member,
    /// Highest configuration revision that the member reported.
    pub(crate) revision: Revision,
    /// Moment of the last change of state.
    pub(crate) since: Moment,
    pub(crate) short: u32,
}

impl Entry {
    pub(crate) fn is_live(&self) -> bool {
        !is_tombstone(self.member.state)
    }

    fn digest(&self) -> u64 {
        let mut bytes = [0; 17];
        bytes[..8].copy_from_slice(&self.member.key.incarnation.0.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.member.key.version.to_le_bytes());
        bytes[12] = self.member.state as u8;
        bytes[13..].copy_from_slice(&self.short.to_le_bytes());
        xxh3_64(&bytes)
    }

    pub(crate) fn summary(&self) -> Summary {
        let record = if self.is_live() {
            shorten(self.digest()).max(TOMBSTONE + 1)
        } else {
            TOMBSTONE
        };
        Summary {
            vm_hash: self.short,
            record_hash: record,
        }
    }

    fn rank(&self) -> u64 {
        let seed = xxh3_64(self.member.domain.as_str().as_bytes());
        xxh3_64_with_seed(self.member.vm.as_str().as_bytes(), seed)
    }
}

/// All known members; the first entry is this daemon.
#[derive(Debug)]
pub(crate) struct Table {
    entries: Vec<Entry>,
    names: HashMap<VmName, u32>,
    addrs: HashMap<SocketAddr, u32>,
    digests: Vec<u64>,
    local_live: usize,
    regions: BTreeSet<Region>,
    domains: BTreeSet<FailureDomain>,
    services: BTreeSet<ServiceName>,
}

/// Replaces an identifier by an equal one that is already stored, so that its text is shared.
fn share<T: Clone + Ord>(known: &mut BTreeSet<T>, value: &mut T) {
    match known.get(value) {
        Some(stored) => *value = stored.clone(),
        None => {
            known.insert(value.clone());
        }
    }
}

impl Table {
    pub(crate) fn new(own: Member) -> Self {
        let mut table = Self {
            entries: Vec::new(),
            names: HashMap::new(),
            addrs: HashMap::new(),
            digests: vec![0; BUCKETS],
            local_live: 0,
            regions: BTreeSet::new(),
            domains: BTreeSet::new(),
            services: BTreeSet::new(),
        };
        table.put(own, Moment::default());
        table
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    pub(crate) fn own_record(&self) -> &Member {
        &self.entries[OWN].member
    }

    pub(crate) fn find(&self, vm: &VmName) -> Option<usize> {
        self.names.get(vm).map(|i| *i as usize)
    }

    pub(crate) fn get(&self, vm: &VmName) -> Option<&Entry> {
        self.find(vm).map(|i| &self.entries[i])
    }

    pub(crate) fn at_addr(&self, addr: SocketAddr) -> Option<usize> {
        self.addrs.get(&addr).map(|i| *i as usize)
    }

    /// Returns the number of members of the own region that neither left nor died, with this one.
    pub(crate) fn local_live(&self) -> usize {
        self.local_live
    }

    pub(crate) fn is_local(&self, member: &Member) -> bool {
        member.region == self.own_record().region
    }

    /// Regions of which a member is or was known, other than the own one.
    pub(crate) fn other_regions(&self) -> impl Iterator<Item = &Region> {
        self.regions
            .iter()
            .filter(|r| **r != self.own_record().region)
    }

    /// Inserts or replaces a record.
    pub(crate) fn put(&mut self, mut member: Member, now: Moment) {
        share(&mut self.regions, &mut member.region);
        share(&mut self.domains, &mut member.domain);
        for upstream in &mut member.upstreams {
            share(&mut self.services, &mut upstream.service);
        }
        let index = match self.find(&member.vm) {
            Some(index) => {
                self.account(index, false);
                self.forget_addr(index);
                self.overwrite(index, member, now);
                index
            }
            None => self.append(member, now),
        };
        self.remember_addr(index);
        self.account(index, true);
    }

    fn append(&mut self, member: Member, now: Moment) -> usize {
        let index = self.entries.len();
        self.names.insert(member.vm.clone(), index as u32);
        self.entries.push(Entry {
            short: vm_hash(&member.vm),
            member,
            revision: Revision::default(),
            since: now,
        });
        index
    }

    fn overwrite(&mut self, index: usize, mut member: Member, now: Moment) {
        let entry = &mut self.entries[index];
        // The stored name shares its text with the index.
        member.vm = entry.member.vm.clone();
        if entry.member.key.incarnation != member.key.incarnation {
            entry.revision = Revision::default();
        }
        if entry.member.state != member.state {
            entry.since = now;
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
        self.account(index, false);
        let entry = &mut self.entries[index];
        entry.member.key = key;
        entry.member.state = state;
        entry.since = now;
        self.account(index, true);
    }

    pub(crate) fn set_revision(&mut self, index: usize, revision: Revision) {
        self.entries[index].revision = revision;
    }

    pub(crate) fn remove(&mut self, vm: &VmName) {
        let Some(index) = self.find(vm).filter(|i| *i != OWN) else {
            return;
        };
        self.account(index, false);
        self.forget_addr(index);
        self.names.remove(vm);
        self.entries.swap_remove(index);
        if let Some(moved) = self.entries.get(index) {
            let previous = self.entries.len() as u32;
            self.names.insert(moved.member.vm.clone(), index as u32);
            if self.addrs.get(&moved.member.peer_addr) == Some(&previous) {
                self.addrs.insert(moved.member.peer_addr, index as u32);
            }
        }
    }

    /// Maps the address of a member; one that left does not displace the VM that got its address.
    fn remember_addr(&mut self, index: usize) {
        let entry = &self.entries[index];
        let addr = entry.member.peer_addr;
        if entry.is_live() || !self.addrs.contains_key(&addr) {
            self.addrs.insert(addr, index as u32);
        }
    }

    fn forget_addr(&mut self, index: usize) {
        let addr = self.entries[index].member.peer_addr;
        if self.addrs.get(&addr) == Some(&(index as u32)) {
            self.addrs.remove(&addr);
        }
    }

    /// Adds an entry to the digests and counts or takes it out; tombstones are not part of them,
    /// because members forget them at different times.
    fn account(&mut self, index: usize, add: bool) {
        let entry = &self.entries[index];
        if !entry.is_live() {
            return;
        }
        let digest = entry.digest();
        let short = entry.short;
        if entry.member.region == self.entries[OWN].member.region {
            self.local_live = if add {
                self.local_live + 1
            } else {
                self.local_live - 1
            };
        }
        self.digests[bucket_of(short)] ^= digest;
    }

    /// Digest of the whole table.
    pub(crate) fn root(&self) -> u64 {
        let fold = |seed, digest: &u64| xxh3_64_with_seed(&digest.to_le_bytes(), seed);
        self.digests.iter().fold(0, fold)
    }

    /// Digests of the buckets.
    pub(crate) fn buckets(&self) -> Vec<u32> {
        self.digests.iter().map(|d| shorten(*d)).collect()
    }

    /// Chooses up to `count` different entries that match.
    pub(crate) fn choose(
        &self,
        rng: &mut StdRng,
        count: usize,
        matches: impl Fn(&Entry) -> bool,
    ) -> SmallVec<[usize; 4]> {
        let mut chosen: SmallVec<[usize; 4]> = SmallVec::new();
        let total = self.entries.len();
        for _ in 0..RANDOM_TRIES * count {
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

    /// Returns the two alive members of a failure domain ranked first.
    pub(crate) fn readers(&self, domain: &FailureDomain) -> SmallVec<[&Member; 2]> {
        let mut best: SmallVec<[(u64, &Member); 3]> = SmallVec::new();
        for entry in &self.entries {
            let member = &entry.member;
            if member.state == MemberState::Alive && member.domain == *domain {
                best.push((entry.rank(), member));
                best.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.vm.cmp(&b.1.vm)));
                best.truncate(2);
            }
        }
        best.into_iter().map(|(_, member)| member).collect()
    }

    /// Failure domains of the own region.
    pub(crate) fn local_domains(&self) -> BTreeSet<&FailureDomain> {
        let local = self.entries.iter().filter(|e| self.is_local(&e.member));
        local.map(|e| &e.member.domain).collect()
    }
}
