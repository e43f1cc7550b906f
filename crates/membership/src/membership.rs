//! The state machine: events, ticks and views.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{
    FailureDomain, Member, MemberKey, MemberState, Moment, Region, Revision, Upstream, VmName,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use crate::news::{Form, NewsQueue};
use crate::probes::Probes;
use crate::reach::Reach;
use crate::sync::CATCH_UP_TRIES;
use crate::table::{OWN, Table, is_tombstone};
use crate::{Action, Event, MembershipSettings, Message, TrafficClass, Update};

/// Upstreams kept in a record; together with identifiers of the longest kind they fit a datagram.
pub(crate) const MAX_UPSTREAMS: usize = 8;

/// Time between two attempts to join while no other member is known.
const JOIN_RETRY: Duration = Duration::from_secs(1);

/// Time between two contacts to a seed whose address belongs to no live member. Reconnects parts
/// of a mesh that know nothing of each other any more.
const SEED_PERIOD: Duration = Duration::from_secs(60);

/// Time between two removals of outdated tombstones and findings.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);

/// Revision queries sent a tick, so that a query of 15,000 members keeps within the budget.
const QUERIES_PER_TICK: usize = 16;

/// Members that are asked to confirm the configuration.
const CONFIRMATION_PEERS: usize = 3;

/// Due times of periodic work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Due {
    pub(crate) probe: Moment,
    pub(crate) sync: Moment,
    pub(crate) remote: Moment,
    pub(crate) remote_sync: Moment,
    pub(crate) reconnect: Moment,
    pub(crate) finding: Moment,
    join: Moment,
    sweep: Moment,
}

/// A suspicion that becomes a death unless refuted in time.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub(crate) vm: VmName,
    pub(crate) key: MemberKey,
    pub(crate) deadline: Moment,
}

/// Membership of one daemon.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: MembershipSettings,
    pub(crate) rng: StdRng,
    pub(crate) table: Table,
    pub(crate) revision: Revision,
    /// Updates for the own region.
    pub(crate) updates: NewsQueue,
    /// Updates that a reader carries to other regions.
    pub(crate) remote_news: NewsQueue,
    pub(crate) probes: Probes,
    /// Members still to be probed in this round, in random order.
    pub(crate) round: Vec<VmName>,
    pub(crate) suspicions: Vec<Suspicion>,
    pub(crate) reach: Reach,
    /// Counts findings about regions sent by this daemon.
    pub(crate) finding_sequence: u32,
    /// Findings of readers to be sent on, with the number of times sent.
    pub(crate) findings: Vec<(Update, u32)>,
    pub(crate) unreachable: BTreeSet<Region>,
    /// Readers of the own region; empty after a change until computed again.
    pub(crate) local_readers: Option<BTreeSet<VmName>>,
    /// Exchanges that follow each other quickly, because the table lacks much.
    pub(crate) catch_up: u8,
    pub(crate) due: Due,
    pub(crate) actions: SmallVec<[Action; 8]>,
    seeds: SmallVec<[SocketAddr; 4]>,
    queries: Vec<VmName>,
    last_tick: Option<Moment>,
    ended: bool,
}

impl Membership {
    /// Creates the state machine of a daemon that knows only itself.
    #[must_use]
    pub fn new(settings: MembershipSettings, mut own: Member, seed: u64) -> Self {
        own.upstreams.truncate(MAX_UPSTREAMS);
        let mut rng = StdRng::seed_from_u64(seed);
        let probes = Probes::new(rng.random());
        let mut updates = NewsQueue::default();
        updates.push(&own.vm, Form::Record);
        Self {
            settings,
            rng,
            table: Table::new(own),
            revision: Revision::default(),
            updates,
            remote_news: NewsQueue::default(),
            probes,
            round: Vec::new(),
            suspicions: Vec::new(),
            reach: Reach::default(),
            finding_sequence: 0,
            findings: Vec::new(),
            unreachable: BTreeSet::new(),
            local_readers: None,
            catch_up: CATCH_UP_TRIES,
            due: Due::default(),
            actions: SmallVec::new(),
            seeds: SmallVec::new(),
            queries: Vec::new(),
            last_tick: None,
            ended: false,
        }
    }

    /// Handles an event and returns what is to be done.
    pub fn handle_event(&mut self, event: Event, now: Moment) -> SmallVec<[Action; 8]> {
        match event {
            _ if self.ended => {}
            Event::Tick => self.tick(now),
            Event::Received { from, message } => self.received(from, message, now),
            Event::SetUpstreams(upstreams) => self.set_upstreams(upstreams, now),
            Event::SetRevision(revision) => self.revision = self.revision.max(revision),
            Event::NotifyRevision => self.notify_revision(),
            Event::Leave => self.leave(now),
            Event::AddSeeds(seeds) => self.add_seeds(&seeds),
            Event::QueryRevisions => self.query_revisions(),
        }
        self.refresh_regions();
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: Moment) {
        match self.last_tick.replace(now) {
            None => self.schedule(now),
            Some(last) => {
                let gap = now.since(last);
                if gap > 2 * self.settings.probe_period {
                    self.resume(gap, now);
                }
            }
        }
        self.expire_probes(now);
        self.expire_suspicions(now);
        self.refresh_readers();
        self.join(now);
        self.start_probes(now);
        self.start_syncs(now);
        self.send_queries();
        if now >= self.due.sweep {
            self.due.sweep = now + SWEEP_PERIOD;
            self.sweep(now);
        }
    }

    /// Spreads the periodic work of daemons that start together.
    fn schedule(&mut self, now: Moment) {
        let random = |rng: &mut StdRng, period: Duration| now + period.mul_f64(rng.random());
        self.due = Due {
            probe: random(&mut self.rng, self.settings.probe_period),
            sync: now + self.settings.probe_period,
            remote: random(&mut self.rng, self.settings.remote_period),
            remote_sync: random(&mut self.rng, self.settings.sync_period),
            reconnect: random(&mut self.rng, self.settings.sync_period),
            finding: now,
            join: now,
            sweep: now + SWEEP_PERIOD,
        };
    }

    /// Restarts what a pause of this process has cut short: replies may have been lost and no
    /// refutation could be received, so neither may count against anyone.
    fn resume(&mut self, gap: Duration, now: Moment) {
        self.probes.clear();
        self.reach.restart();
        for suspicion in &mut self.suspicions {
            suspicion.deadline = suspicion.deadline + gap;
        }
        self.due.probe = now;
        self.due.sync = now;
    }

    fn join(&mut self, now: Moment) {
        if now < self.due.join || self.seeds.is_empty() {
            return;
        }
        let own = self.table.own_record();
        let message = Message::Join {
            member: Box::new(own.clone()),
        };
        let own_addr = own.peer_addr;
        let alone = self.table.entries().iter().filter(|e| e.is_live()).count() == 1;
        let wait = if alone { JOIN_RETRY } else { SEED_PERIOD };
        self.due.join = now + wait;
        let mut strangers: SmallVec<[SocketAddr; 4]> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own_addr && !self.is_live_addr(*seed))
            .collect();
        strangers.shuffle(&mut self.rng);
        for seed in strangers.into_iter().take(self.settings.join_fanout) {
            self.send(seed, TrafficClass::News, message.clone());
        }
    }

    fn is_live_addr(&self, addr: SocketAddr) -> bool {
        let index = self.table.at_addr(addr);
        index.is_some_and(|i| self.table.entries()[i].is_live())
    }

    /// Removes tombstones that no stale news can contradict any more.
    fn sweep(&mut self, now: Moment) {
        self.reach.expire(now);
        let period = self.settings.tombstone_ttl;
        let entries = self.table.entries().iter().skip(OWN + 1);
        let outdated: Vec<VmName> = entries
            .filter(|e| !e.is_live() && now.since(e.since) >= period)
            .map(|e| e.member.vm.clone())
            .collect();
        for vm in outdated {
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
        self.due.join = Moment::default();
    }

    fn set_upstreams(&mut self, mut upstreams: SmallVec<[Upstream; 1]>, now: Moment) {
        upstreams.truncate(MAX_UPSTREAMS);
        if self.table.own_record().upstreams != upstreams {
            self.revise(|own| own.upstreams = upstreams, now);
        }
    }

    fn leave(&mut self, now: Moment) {
        let state = if self.table.own_record().state == MemberState::Leaving {
            MemberState::Left
        } else {
            MemberState::Leaving
        };
        self.revise(|own| own.state = state, now);
        self.announce();
        self.ended = is_tombstone(state);
    }

    fn query_revisions(&mut self) {
        let live = self.table.entries().iter().skip(OWN + 1);
        let names = live.filter(|e| e.is_live()).map(|e| e.member.vm.clone());
        self.queries = names.collect();
    }

    fn send_queries(&mut self) {
        let rest = self.queries.len().saturating_sub(QUERIES_PER_TICK);
        for vm in self.queries.split_off(rest) {
            if let Some(addr) = self.table.get(&vm).map(|e| e.member.peer_addr) {
                self.send(addr, TrafficClass::Configuration, Message::RevisionQuery);
            }
        }
    }

    /// Returns all known members including this one, and those remembered as left or dead.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.entries().iter().map(|entry| &entry.member)
    }

    /// Looks up a member.
    #[must_use]
    pub fn get(&self, vm: &VmName) -> Option<&Member> {
        self.table.get(vm).map(|entry| &entry.member)
    }

    /// Returns the record of this daemon.
    #[must_use]
    pub fn own_record(&self) -> &Member {
        self.table.own_record()
    }

    /// Returns the highest configuration revision that a member reported since its start, or that
    /// this daemon has applied.
    #[must_use]
    pub fn revision_of(&self, vm: &VmName) -> Option<Revision> {
        if self.own_record().vm == *vm {
            return Some(self.revision);
        }
        self.table.get(vm).map(|entry| entry.revision)
    }

    /// Tells whether most of a region's members that were probed answered; also `true` for a
    /// region that has not been probed yet.
    #[must_use]
    pub fn is_region_reachable(&self, region: &Region) -> bool {
        !self.unreachable.contains(region)
    }

    /// Returns the two alive members of a failure domain that rendezvous hashing ranks first.
    #[must_use]
    pub fn readers(&self, domain: &FailureDomain) -> SmallVec<[&Member; 2]> {
        self.table.readers(domain)
    }

    /// Chooses members of the region whose answers confirm the configuration: readers, because
    /// they learn of changes first, and those of other failure domains before the own one, because
    /// a failure or pause often concerns a whole failure domain.
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

    /// Tells whether this daemon is a reader of its failure domain.
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
