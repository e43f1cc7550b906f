//! Simulates a mesh: several state machines that exchange messages under virtual time.
//!
//! Every message passes through the datagram codec and the traffic budget of its sender. This
//! checks the size of messages, and that the protocol works within the budget.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cornelvalve_budget::{Budget, BudgetSettings, SendDecision};
use cornelvalve_membership::{
    Action, Event, Membership, MembershipSettings, Message, TrafficClass,
};
use cornelvalve_model::{
    FailureDomain, Incarnation, Member, MemberKey, MemberState, Moment, Region, VmName,
};
use cornelvalve_wire::datagram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

const TICK: Duration = Duration::from_millis(200);
const LOCAL_DELAY_MS: u64 = 1;
const REGION_DELAY_MS: u64 = 30;

/// Maximum number of datagrams in the socket of a paused process.
const SOCKET_BACKLOG: usize = 32;

pub(crate) fn member(name: &str, region: &str, domain: &str, addr: u16) -> Member {
    let at = |port| SocketAddr::from((Ipv4Addr::new(10, 0, 0, 1), port));
    Member {
        vm: VmName::new(name).expect("valid identifier"),
        key: MemberKey {
            incarnation: Incarnation(1),
            version: 0,
        },
        region: Region::new(region).expect("valid identifier"),
        domain: FailureDomain::new(domain).expect("valid identifier"),
        peer_addr: at(addr),
        caller_addr: at(addr + 1),
        operator_addr: at(addr + 2),
        state: MemberState::Alive,
        upstreams: SmallVec::new(),
    }
}

/// A daemon of the simulated mesh.
pub(crate) struct Daemon {
    /// Record with which the current or the last process started.
    pub(crate) record: Member,
    /// State machine of the running process, if any.
    pub(crate) membership: Option<Membership>,
    pub(crate) paused: bool,
    pub(crate) budget: Budget,
    /// Whether the daemon left as planned and has not been started since.
    pub(crate) has_left: bool,
    next_tick: Moment,
    /// Messages received while the process is paused.
    backlog: Vec<(SocketAddr, Message)>,
}

impl Daemon {
    pub(crate) fn is_running(&self) -> bool {
        self.membership.is_some()
    }
}

/// A simulated mesh of daemons.
pub(crate) struct Mesh {
    pub(crate) now: Moment,
    pub(crate) daemons: Vec<Daemon>,
    /// Indexes of the daemons on one side of a partition. All others are on the other side.
    pub(crate) partition: BTreeSet<usize>,
    /// Fraction of messages that are lost. Half as many are duplicated.
    pub(crate) loss: f64,
    /// Maximum additional delay of a message in milliseconds, which reorders messages.
    pub(crate) jitter_ms: u64,
    /// Actions other than sends, with the index of the daemon that returned them.
    pub(crate) actions: Vec<(usize, Action)>,
    rng: StdRng,
    /// Messages in transit with the indexes of sender and receiver, ordered by arrival.
    queue: BTreeMap<(Moment, u64), (usize, usize, Message)>,
    sent_count: u64,
    /// Highest key that each daemon has had for each member.
    highest_keys: BTreeMap<(usize, VmName), MemberKey>,
}

impl Mesh {
    pub(crate) fn new(rng_seed: u64) -> Self {
        Self {
            now: Moment::from_millis(1000),
            daemons: Vec::new(),
            partition: BTreeSet::new(),
            loss: 0.0,
            jitter_ms: 0,
            actions: Vec::new(),
            rng: StdRng::seed_from_u64(rng_seed),
            queue: BTreeMap::new(),
            sent_count: 0,
            highest_keys: BTreeMap::new(),
        }
    }

    /// Adds a daemon without starting it, and returns its index.
    pub(crate) fn add(&mut self, name: &str, region: &str, domain: &str) -> usize {
        let index = self.daemons.len();
        self.daemons.push(Daemon {
            record: member(name, region, domain, 1000 + 10 * index as u16),
            membership: None,
            paused: false,
            budget: Budget::new(BudgetSettings::default()),
            has_left: false,
            next_tick: self.now,
            backlog: Vec::new(),
        });
        index
    }

    pub(crate) fn index_of(&self, name: &str) -> usize {
        let found = self
            .daemons
            .iter()
            .position(|d| d.record.vm.as_str() == name);
        found.expect("no daemon of that name")
    }

    pub(crate) fn vm(&self, index: usize) -> &VmName {
        &self.daemons[index].record.vm
    }

    pub(crate) fn membership(&self, index: usize) -> &Membership {
        self.daemons[index]
            .membership
            .as_ref()
            .expect("daemon is down")
    }

    /// Starts the process of a daemon with a higher incarnation than the previous one.
    pub(crate) fn start(&mut self, index: usize) {
        let seeds = self.daemons.iter().take(2).map(|d| d.record.peer_addr);
        let seeds: SmallVec<[SocketAddr; 4]> = seeds.collect();
        let rng_seed = self.rng.random();
        let offset = Duration::from_millis(self.rng.random_range(0..200));
        let daemon = &mut self.daemons[index];
        daemon.record.key.incarnation = daemon.record.key.incarnation.next();
        let settings = MembershipSettings::default();
        daemon.membership = Some(Membership::new(settings, daemon.record.clone(), rng_seed));
        daemon.paused = false;
        daemon.budget = Budget::new(BudgetSettings::default());
        daemon.has_left = false;
        daemon.backlog.clear();
        daemon.next_tick = self.now + offset;
        self.highest_keys
            .retain(|(observer, _), _| *observer != index);
        self.handle_event(index, Event::AddSeeds(seeds));
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.daemons[index].membership = None;
    }

    /// Lets a daemon leave as planned: its state becomes leaving and then left, and its process
    /// ends.
    pub(crate) fn stop_gracefully(&mut self, index: usize) {
        self.handle_event(index, Event::Leave);
        self.handle_event(index, Event::Leave);
        self.daemons[index].membership = None;
        self.daemons[index].has_left = true;
    }

    /// Ends the pause of a process, which first receives the messages in its socket.
    pub(crate) fn wake(&mut self, index: usize) {
        self.daemons[index].paused = false;
        for (from, message) in std::mem::take(&mut self.daemons[index].backlog) {
            self.handle_event(index, Event::Received { from, message });
        }
        self.daemons[index].next_tick = self.now;
    }

    /// Passes an event to a daemon and carries out its actions. Does nothing if the daemon is down.
    pub(crate) fn handle_event(&mut self, index: usize, event: Event) {
        let now = self.now;
        let Some(membership) = self.daemons[index].membership.as_mut() else {
            return;
        };
        for action in membership.handle_event(event, now) {
            match action {
                Action::Send {
                    to,
                    crosses_region,
                    class,
                    message,
                } => self.send(index, to, class, crosses_region, &message),
                other => {
                    self.check_key(index, &other);
                    self.actions.push((index, other));
                }
            }
        }
    }

    /// Checks that an older record has not replaced a newer one.
    fn check_key(&mut self, index: usize, action: &Action) {
        let Action::MemberChanged(vm) = action else {
            return;
        };
        let membership = self.daemons[index].membership.as_ref();
        let Some(member) = membership.and_then(|m| m.get(vm)) else {
            return;
        };
        let highest = self.highest_keys.entry((index, vm.clone())).or_default();
        assert!(
            member.key >= *highest,
            "daemon {index} accepted a key of {vm} lower than {highest:?}"
        );
        *highest = member.key;
    }

    fn send(
        &mut self,
        from: usize,
        to: SocketAddr,
        class: TrafficClass,
        crosses_region: bool,
        message: &Message,
    ) {
        let bytes = datagram::encode(message).expect("message exceeds a datagram");
        let budget = &mut self.daemons[from].budget;
        let length = bytes.len() as u32;
        if budget.charge(class, length, crosses_region, self.now) == SendDecision::Drop {
            return;
        }
        let message = datagram::decode(&bytes).expect("own message does not decode");
        let Some(to) = self.daemons.iter().position(|d| d.record.peer_addr == to) else {
            return;
        };
        if self.partition.contains(&from) != self.partition.contains(&to) {
            return;
        }
        let is_local = self.daemons[from].record.region == self.daemons[to].record.region;
        let delay = if is_local {
            LOCAL_DELAY_MS
        } else {
            REGION_DELAY_MS
        };
        let copies = match self.rng.random::<f64>() {
            draw if draw < self.loss => 0,
            draw if draw < 1.5 * self.loss => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let jitter = self.rng.random_range(0..=self.jitter_ms);
            let at = self.now + Duration::from_millis(delay + jitter);
            self.sent_count += 1;
            self.queue
                .insert((at, self.sent_count), (from, to, message.clone()));
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let from = self.daemons[from].record.peer_addr;
        let daemon = &mut self.daemons[to];
        if !daemon.paused {
            self.handle_event(to, Event::Received { from, message });
        } else if daemon.backlog.len() < SOCKET_BACKLOG {
            daemon.backlog.push((from, message));
        }
    }

    /// Runs all daemons for a period of virtual time.
    pub(crate) fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let running = self.daemons.iter().enumerate();
            let running = running.filter(|(_, d)| d.is_running() && !d.paused);
            let tick = running.map(|(i, d)| (d.next_tick, i)).min();
            let message = self.queue.keys().next().copied();
            let tick_first =
                tick.is_some_and(|(at, _)| message.is_none_or(|(arrival, _)| at < arrival));
            let next = if tick_first {
                tick.map(|(at, _)| at)
            } else {
                message.map(|(at, _)| at)
            };
            let Some(next) = next.filter(|at| *at <= end) else {
                break;
            };
            self.now = self.now.max(next);
            if let Some((_, index)) = tick.filter(|_| tick_first) {
                self.daemons[index].next_tick = self.now + TICK;
                self.handle_event(index, Event::Tick);
            } else if let Some((_, (from, to, message))) = self.queue.pop_first() {
                self.deliver(from, to, message);
            }
        }
        self.now = end;
    }

    /// Returns a description of the first difference between a running daemon's view and the actual
    /// state of the mesh, or `None` if there is no difference.
    pub(crate) fn disagreement(&self) -> Option<String> {
        let running: Vec<usize> = (0..self.daemons.len())
            .filter(|i| self.daemons[*i].is_running())
            .collect();
        let regions: BTreeSet<&Region> = running
            .iter()
            .map(|i| &self.daemons[*i].record.region)
            .collect();
        for observer in &running {
            let view = self.membership(*observer);
            for (index, daemon) in self.daemons.iter().enumerate() {
                let seen = view.get(&daemon.record.vm);
                let live =
                    seen.filter(|m| !matches!(m.state, MemberState::Left | MemberState::Dead));
                let region = &daemon.record.region;
                let reachable = view.is_region_reachable(region);
                let agrees = match &daemon.membership {
                    Some(membership) => seen == Some(membership.own_record()) && reachable,
                    // A region without running daemons looks like one that is unreachable.
                    None if !regions.contains(region) => live.is_none() || !reachable,
                    None => live.is_none(),
                };
                if !agrees {
                    return Some(format!(
                        "daemon {observer} sees daemon {index} as {seen:?}, reachable {reachable}"
                    ));
                }
            }
        }
        None
    }
}
