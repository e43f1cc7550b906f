//! Several state machines joined by a message queue under virtual time.
//!
//! Every message passes through the datagram codec and the budget of its sender, so that sizes are
//! checked and the protocol has to work with what the budget leaves it.

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

/// Datagrams that a paused process finds in its socket when it wakes.
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

pub(crate) struct Daemon {
    pub(crate) record: Member,
    pub(crate) machine: Option<Membership>,
    pub(crate) paused: bool,
    pub(crate) budget: Budget,
    /// Whether it left as planned and has not been started since.
    pub(crate) left: bool,
    next_tick: Moment,
    backlog: Vec<(SocketAddr, Message)>,
}

impl Daemon {
    pub(crate) fn runs(&self) -> bool {
        self.machine.is_some()
    }
}

pub(crate) struct Mesh {
    pub(crate) now: Moment,
    pub(crate) daemons: Vec<Daemon>,
    /// Daemons on one side of a partition; the others are on the other side.
    pub(crate) cut: BTreeSet<usize>,
    /// Share of messages lost; half as many are sent twice.
    pub(crate) loss: f64,
    /// Largest additional delay in milliseconds, which reorders messages.
    pub(crate) jitter_ms: u64,
    pub(crate) actions: Vec<(usize, Action)>,
    rng: StdRng,
    queue: BTreeMap<(Moment, u64), (usize, usize, Message)>,
    sent: u64,
    keys: BTreeMap<(usize, VmName), MemberKey>,
}

impl Mesh {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now: Moment::from_millis(1000),
            daemons: Vec::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            jitter_ms: 0,
            actions: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sent: 0,
            keys: BTreeMap::new(),
        }
    }

    pub(crate) fn add(&mut self, name: &str, region: &str, domain: &str) -> usize {
        let index = self.daemons.len();
        self.daemons.push(Daemon {
            record: member(name, region, domain, 1000 + 10 * index as u16),
            machine: None,
            paused: false,
            budget: Budget::new(BudgetSettings::default()),
            left: false,
            next_tick: self.now,
            backlog: Vec::new(),
        });
        index
    }

    pub(crate) fn find(&self, name: &str) -> usize {
        let found = self
            .daemons
            .iter()
            .position(|d| d.record.vm.as_str() == name);
        found.expect("no daemon of that name")
    }

    pub(crate) fn vm(&self, index: usize) -> &VmName {
        &self.daemons[index].record.vm
    }

    pub(crate) fn machine(&self, index: usize) -> &Membership {
        self.daemons[index]
            .machine
            .as_ref()
            .expect("daemon is down")
    }

    /// Starts a process; a later start has a larger incarnation.
    pub(crate) fn start(&mut self, index: usize) {
        let seeds = self.daemons.iter().take(2).map(|d| d.record.peer_addr);
        let seeds: SmallVec<[SocketAddr; 4]> = seeds.collect();
        let seed = self.rng.random();
        let offset = Duration::from_millis(self.rng.random_range(0..200));
        let daemon = &mut self.daemons[index];
        daemon.record.key.incarnation = daemon.record.key.incarnation.next();
        let settings = MembershipSettings::default();
        daemon.machine = Some(Membership::new(settings, daemon.record.clone(), seed));
        daemon.paused = false;
        daemon.budget = Budget::new(BudgetSettings::default());
        daemon.left = false;
        daemon.backlog.clear();
        daemon.next_tick = self.now + offset;
        self.keys.retain(|(observer, _), _| *observer != index);
        self.event(index, Event::AddSeeds(seeds));
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.daemons[index].machine = None;
    }

    pub(crate) fn leave(&mut self, index: usize) {
        self.event(index, Event::Leave);
        self.event(index, Event::Leave);
        self.daemons[index].machine = None;
        self.daemons[index].left = true;
    }

    pub(crate) fn wake(&mut self, index: usize) {
        self.daemons[index].paused = false;
        for (from, message) in std::mem::take(&mut self.daemons[index].backlog) {
            self.event(index, Event::Received { from, message });
        }
        self.daemons[index].next_tick = self.now;
    }

    pub(crate) fn event(&mut self, index: usize, event: Event) {
        let now = self.now;
        let Some(machine) = self.daemons[index].machine.as_mut() else {
            return;
        };
        for action in machine.handle_event(event, now) {
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

    /// Guards against a merge that puts an older record over a newer one.
    fn check_key(&mut self, index: usize, action: &Action) {
        let Action::MemberChanged(vm) = action else {
            return;
        };
        let machine = self.daemons[index].machine.as_ref();
        let Some(member) = machine.and_then(|m| m.get(vm)) else {
            return;
        };
        let slot = self.keys.entry((index, vm.clone())).or_default();
        assert!(member.key >= *slot, "key of {vm} fell at daemon {index}");
        *slot = member.key;
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
        if self.cut.contains(&from) != self.cut.contains(&to) {
            return;
        }
        let near = self.daemons[from].record.region == self.daemons[to].record.region;
        let delay = if near {
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
            self.sent += 1;
            self.queue
                .insert((at, self.sent), (from, to, message.clone()));
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let from = self.daemons[from].record.peer_addr;
        let daemon = &mut self.daemons[to];
        if !daemon.paused {
            self.event(to, Event::Received { from, message });
        } else if daemon.backlog.len() < SOCKET_BACKLOG {
            daemon.backlog.push((from, message));
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let running = self.daemons.iter().enumerate();
            let running = running.filter(|(_, d)| d.runs() && !d.paused);
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
                self.event(index, Event::Tick);
            } else if let Some((_, (from, to, message))) = self.queue.pop_first() {
                self.deliver(from, to, message);
            }
        }
        self.now = end;
    }

    /// Describes the first difference between what the running daemons see and the truth.
    pub(crate) fn disagreement(&self) -> Option<String> {
        let running: Vec<usize> = (0..self.daemons.len())
            .filter(|i| self.daemons[*i].runs())
            .collect();
        let regions: BTreeSet<&Region> = running
            .iter()
            .map(|i| &self.daemons[*i].record.region)
            .collect();
        for observer in &running {
            let view = self.machine(*observer);
            for (index, daemon) in self.daemons.iter().enumerate() {
                let seen = view.get(&daemon.record.vm);
                let live =
                    seen.filter(|m| !matches!(m.state, MemberState::Left | MemberState::Dead));
                let region = &daemon.record.region;
                let reachable = view.is_region_reachable(region);
                let right = match &daemon.machine {
                    Some(machine) => seen == Some(machine.own_record()) && reachable,
                    // A region in which nothing runs cannot be told from one that is cut off.
                    None if !regions.contains(region) => live.is_none() || !reachable,
                    None => live.is_none(),
                };
                if !right {
                    return Some(format!(
                        "daemon {observer} sees daemon {index} as {seen:?}, reachable {reachable}"
                    ));
                }
            }
        }
        None
    }
}
