//! Implements the membership state machine: handles events, runs periodic work and gives access to
//! the known members.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{
    ConfigRevision, FailureDomain, Member, MemberKey, MemberState, Moment, Region, Upstream, VmName,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use crate::pending_probes::PendingProbes;
use crate::reachability::RegionReachability;
use crate::sync::CATCHUP_EXCHANGES;
use crate::table::{MemberTable, OWN_INDEX, is_tombstone};
use crate::update_queue::{UpdateKind, UpdateQueue};
use crate::{Action, Event, MembershipSettings, Message, TrafficClass, Update};

/// Maximum number of upstreams in a record. A record with this many fits in one datagram even if
/// all identifiers have the maximum length.
pub(crate) const MAX_UPSTREAMS: usize = 8;

/// Time between two attempts to join while no other live member is known.
const JOIN_RETRY_PERIOD: Duration = Duration::from_secs(1);

/// Time between two messages to seeds whose addresses belong to no live member. These messages
/// reconnect groups of daemons that no longer know of each other.
const SEED_CONTACT_PERIOD: Duration = Duration::from_secs(60);

/// Time between two checks for expired entries: tombstones, and reachability reports of other
/// readers.
const EXPIRY_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of revision queries sent per tick. With the default tick period of 200 ms a query
/// of 15,000 members takes about three minutes. Sending them all at once would exceed the budget of
/// [`TrafficClass::Configuration`].
const MAX_QUERIES_PER_TICK: usize = 16;

/// Number of members that a daemon asks whether its configuration revision is still the latest, for
/// example after its process was paused.
const CONFIRMATION_PEERS: usize = 3;

/// Times at which periodic work is due.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DueTimes {
    /// Probe of a member of this region.
    pub(crate) probe: Moment,
    /// Anti-entropy exchange with a member of this region.
    pub(crate) sync: Moment,
    /// Probes of other regions.
    pub(crate) remote_probe: Moment,
    /// Anti-entropy exchanges with other regions.
    pub(crate) remote_sync: Moment,
    /// Probe of a dead member.
    pub(crate) dead_probe: Moment,
    /// Repetition of the reports about unreachable regions.
    pub(crate) report_repeat: Moment,
    /// Messages to seeds.
    seed_contact: Moment,
    /// Check for expired tombstones and reachability reports of other readers.
    expiry: Moment,
}

/// A suspicion that a member of this region has failed.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub(crate) vm: VmName,
    /// Key of the suspect record. A record with a higher key refutes the suspicion.
    pub(crate) key: MemberKey,
    /// Time at which the member is declared dead unless it has refuted the suspicion.
    pub(crate) deadline: Moment,
}

/// The membership state machine of one daemon.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) rng: StdRng,
    pub(crate) table: MemberTable,
    /// Configuration revision that this daemon has applied.
    pub(crate) revision: ConfigRevision,
    /// Updates for members of this region.
    pub(crate) updates: UpdateQueue,
    /// Updates about members of this region that a reader sends to other regions.
    pub(crate) remote_updates: UpdateQueue,
    pub(crate) probes: PendingProbes,
    /// Members of this region that are still to be probed in the current round, in random order.
    pub(crate) probe_order: Vec<VmName>,
    pub(crate) suspicions: Vec<Suspicion>,
    pub(crate) reachability: RegionReachability,
    /// Sequence number of this daemon's latest reachability report.
    pub(crate) report_sequence: u32,
    /// Reachability reports to be sent to members of this region, with the number of times that
    /// each has been sent.
    pub(crate) queued_reports: Vec<(Update, u32)>,
    /// Regions that are considered unreachable.
    pub(crate) unreachable: BTreeSet<Region>,
    /// Readers of this region, or `None` if a record has changed since they were computed.
    pub(crate) local_readers: Option<BTreeSet<VmName>>,
    /// Number of catch-up exchanges left, see [`CATCHUP_EXCHANGES`]. Greater than 0 while this
    /// daemon catches up.
    pub(crate) catchup_exchanges: u8,
    pub(crate) due: DueTimes,
    /// Actions to be returned for the current event.
    pub(crate) actions: SmallVec<[Action; 8]>,
    seeds: SmallVec<[SocketAddr; 4]>,
    /// Members that are still to be asked for their configuration revision.
    query_queue: Vec<VmName>,
    last_tick: Option<Moment>,
    has_left: bool,
}

impl Membership {
    /// Creates the state machine of a daemon that knows only itself. `rng_seed` initializes the
    /// random number generator.
    #[must_use]
    pub fn new(settings: MembershipSettings, mut own: Member, rng_seed: u64) -> Self {
        own.upstreams.truncate(MAX_UPSTREAMS);
        let mut rng = StdRng::seed_from_u64(rng_seed);
        let probes = PendingProbes::new(rng.random());
        let mut updates = UpdateQueue::default();
        updates.push(&own.vm, UpdateKind::Record);
        Self {
            settings,
            rng,
            table: MemberTable::new(own),
            revision: ConfigRevision::default(),
            updates,
            remote_updates: UpdateQueue::default(),
            probes,
            probe_order: Vec::new(),
            suspicions: Vec::new(),
            reachability: RegionReachability::default(),
            report_sequence: 0,
            queued_reports: Vec::new(),
            unreachable: BTreeSet::new(),
            local_readers: None,
            catchup_exchanges: CATCHUP_EXCHANGES,
            due: DueTimes::default(),
            actions: SmallVec::new(),
            seeds: SmallVec::new(),
            query_queue: Vec::new(),
            last_tick: None,
            has_left: false,
        }
    }

    /// Handles an event and returns the actions to be carried out.
    pub fn handle_event(&mut self, event: Event, now: Moment) -> SmallVec<[Action; 8]> {
        match event {
            _ if self.has_left => {}
            Event::Tick => self.tick(now),
            Event::Received { from, message } => self.handle_message(from, message, now),
            Event::SetUpstreams(upstreams) => self.set_upstreams(upstreams, now),
            Event::SetRevision(revision) => self.revision = revision.join(self.revision),
            Event::NotifyRevision => self.send_revision_notices(),
            Event::Leave => self.leave(now),
            Event::AddSeeds(seeds) => self.add_seeds(&seeds),
            Event::QueryRevisions => self.query_revisions(),
        }
        self.refresh_unreachable_regions();
        std::mem::take(&mut self.actions)
    }

    /// Runs the periodic work that is due. A gap of more than two probe periods since the previous
    /// tick means that this process was paused.
    fn tick(&mut self, now: Moment) {
        match self.last_tick.replace(now) {
            None => self.start_timers(now),
            Some(last) => {
                let gap = now.since(last);
                if gap > 2 * self.settings.probe_period {
                    self.recover_from_pause(gap, now);
                }
            }
        }
        self.expire_probes(now);
        self.expire_suspicions(now);
        self.refresh_readers();
        self.contact_seeds(now);
        self.start_probes(now);
        self.start_syncs(now);
        self.send_revision_queries();
        if now >= self.due.expiry {
            self.due.expiry = now + EXPIRY_PERIOD;
            self.remove_expired(now);
        }
    }

    /// Sets the first due times. Probes and remote exchanges start at random times, so that daemons
    /// that start together do not send them together. The first local exchange follows after one
    /// probe period.
    fn start_timers(&mut self, now: Moment) {
        let random = |rng: &mut StdRng, period: Duration| now + period.mul_f64(rng.random());
        self.due = DueTimes {
            probe: random(&mut self.rng, self.settings.probe_period),
            sync: now + self.settings.probe_period,
            remote_probe: random(&mut self.rng, self.settings.remote_period),
            remote_sync: random(&mut self.rng, self.settings.sync_period),
            dead_probe: random(&mut self.rng, self.settings.sync_period),
            report_repeat: now,
            seed_contact: now,
            expiry: now + EXPIRY_PERIOD,
        };
    }

    /// Discards pending probes and extends suspicions after this process was paused. Replies may
    /// have been lost and refutations could not be received during the pause, so what is missing
    /// must not count against other members.
    fn recover_from_pause(&mut self, gap: Duration, now: Moment) {
        self.probes.clear();
        self.reachability.reset_probes();
        for suspicion in &mut self.suspicions {
            suspicion.deadline = suspicion.deadline + gap;
        }
        self.due.probe = now;
        self.due.sync = now;
    }

    /// Sends joins to seeds whose addresses belong to no live member, if this is due.
    fn contact_seeds(&mut self, now: Moment) {
        if now < self.due.seed_contact || self.seeds.is_empty() {
            return;
        }
        let own = self.table.own_record();
        let message = Message::Join {
            member: Box::new(own.clone()),
        };
        let own_addr = own.peer_addr;
        let is_alone = self.table.entries().iter().filter(|e| e.is_live()).count() == 1;
        let period = if is_alone {
            JOIN_RETRY_PERIOD
        } else {
            SEED_CONTACT_PERIOD
        };
        self.due.seed_contact = now + period;
        let mut unknown_seeds: SmallVec<[SocketAddr; 4]> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own_addr && !self.is_live_addr(*seed))
            .collect();
        unknown_seeds.shuffle(&mut self.rng);
        for seed in unknown_seeds.into_iter().take(self.settings.join_fanout) {
            self.send(seed, TrafficClass::News, message.clone());
        }
    }

    fn is_live_addr(&self, addr: SocketAddr) -> bool {
        let index = self.table.find_by_addr(addr);
        index.is_some_and(|i| self.table.entries()[i].is_live())
    }

    /// Removes reachability reports and tombstones that have expired.
    fn remove_expired(&mut self, now: Moment) {
        self.reachability.expire_reports(now);
        let ttl = self.settings.tombstone_ttl;
        let entries = self.table.entries().iter().skip(OWN_INDEX + 1);
        let expired: Vec<VmName> = entries
            .filter(|e| !e.is_live() && now.since(e.changed_at) >= ttl)
            .map(|e| e.member.vm.clone())
            .collect();
        for vm in expired {
            self.table.remove(&vm);
            self.actions.push(Action::MemberChanged(vm));
        }
    }

    fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
        self.due.seed_contact = Moment::default();
    }

    fn set_upstreams(&mut self, mut upstreams: SmallVec<[Upstream; 1]>, now: Moment) {
        upstreams.truncate(MAX_UPSTREAMS);
        if self.table.own_record().upstreams != upstreams {
            self.update_own_record(|own| own.upstreams = upstreams, now);
        }
    }

    /// Sets this daemon's state to leaving, or to left if it is leaving already, and announces it.
    fn leave(&mut self, now: Moment) {
        let state = if self.table.own_record().state == MemberState::Leaving {
            MemberState::Left
        } else {
            MemberState::Leaving
        };
        self.update_own_record(|own| own.state = state, now);
        self.announce_own_record();
        self.has_left = is_tombstone(state);
    }

    /// Queues a revision query to each live member.
    fn query_revisions(&mut self) {
        let live = self.table.entries().iter().skip(OWN_INDEX + 1);
        let names = live.filter(|e| e.is_live()).map(|e| e.member.vm.clone());
        self.query_queue = names.collect();
    }

    /// Sends the next revision queries from the queue.
    fn send_revision_queries(&mut self) {
        let rest = self.query_queue.len().saturating_sub(MAX_QUERIES_PER_TICK);
        for vm in self.query_queue.split_off(rest) {
            if let Some(addr) = self.table.get(&vm).map(|e| e.member.peer_addr) {
                self.send(addr, TrafficClass::Configuration, Message::RevisionQuery);
            }
        }
    }

    /// Returns the records of all known members, including this daemon and members that left or
    /// died and have not been forgotten yet.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.entries().iter().map(|entry| &entry.member)
    }

    /// Returns the record of a member.
    #[must_use]
    pub fn get(&self, vm: &VmName) -> Option<&Member> {
        self.table.get(vm).map(|entry| &entry.member)
    }

    /// Returns the record of this daemon.
    #[must_use]
    pub fn own_record(&self) -> &Member {
        self.table.own_record()
    }

    /// Returns the latest configuration revision that a member has reported since its process
    /// started, or that this daemon has applied if `vm` is its own name. Returns `None` for an
    /// unknown member.
    #[must_use]
    pub fn revision_of(&self, vm: &VmName) -> Option<ConfigRevision> {
        if self.own_record().vm == *vm {
            return Some(self.revision);
        }
        self.table.get(vm).map(|entry| entry.revision)
    }

    /// Returns whether a region is considered reachable. This is `true` as long as there are not
    /// enough probes or reports to the contrary.
    #[must_use]
    pub fn is_region_reachable(&self, region: &Region) -> bool {
        !self.unreachable.contains(region)
    }

    /// Returns the readers of a failure domain: the two alive members that rendezvous hashing ranks
    /// highest.
    #[must_use]
    pub fn readers(&self, domain: &FailureDomain) -> SmallVec<[&Member; 2]> {
        self.table.readers(domain)
    }

    /// Returns up to three random readers of this region, which this daemon can ask whether its
    /// configuration revision is still the latest. Readers are chosen because they learn of changes
    /// first. Readers in other failure domains come before those in this daemon's, because a
    /// failure or pause often affects a whole failure domain.
    #[must_use]
    pub fn confirmation_peers(&mut self) -> SmallVec<[&Member; 3]> {
        let own = self.table.own_record();
        let domains = self.table.local_domains();
        let readers = domains.into_iter().flat_map(|d| self.table.readers(d));
        let mut peers: Vec<&Member> = readers.filter(|m| m.vm != own.vm).collect();
        peers.shuffle(&mut self.rng);
        peers.sort_by_key(|member| member.domain == own.domain);
        peers.into_iter().take(CONFIRMATION_PEERS).collect()
    }

    /// Returns whether this daemon is a reader of its failure domain.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        match &self.local_readers {
            Some(readers) => readers.contains(&self.table.own_record().vm),
            None => {
                let own = self.table.own_record();
                let readers = self.table.readers(&own.domain);
                readers.iter().any(|reader| reader.vm == own.vm)
            }
        }
    }
}
