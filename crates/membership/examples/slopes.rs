//! Measures the cost of membership by the number of members.
//!
//! `cargo run --release -p cornelvalve-membership --example slopes`
//!
//! All state machines run in one process under virtual time; bytes are those of the encoded
//! datagrams without IP and UDP headers (28 bytes a message). Every daemon has a budget with the
//! default settings; the last columns count messages dropped by it in the steady state, the join
//! and the change.

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use cornelvalve_budget::{Budget, BudgetSettings, SendDecision};
use cornelvalve_membership::{Action, Event, Membership, MembershipSettings, Message, Update};
use cornelvalve_model::{
    FailureDomain, IdError, Incarnation, Member, MemberKey, MemberState, Moment, Region,
    ServiceName, Upstream, UpstreamState, VmName,
};
use cornelvalve_wire::datagram;
use smallvec::{SmallVec, smallvec};

const REGIONS: usize = 5;
const DOMAINS: usize = 12;
const TICK: Duration = Duration::from_millis(200);
const STEADY: Duration = Duration::from_secs(120);
const LIMIT: Duration = Duration::from_secs(600);

type Result<T> = std::result::Result<T, IdError>;

fn record(index: usize) -> Result<Member> {
    let domain = index % DOMAINS;
    let ip = Ipv4Addr::from(0x0a00_0000 + index as u32 + 1);
    let at = |port| SocketAddr::from((ip, port));
    Ok(Member {
        vm: VmName::new(&format!("vm-{index:05}.example"))?,
        key: MemberKey {
            incarnation: Incarnation(1_764_800_000_000),
            version: 1,
        },
        region: Region::new(&format!("region-{}", domain % REGIONS))?,
        domain: FailureDomain::new(&format!("region-{}-{domain}", domain % REGIONS))?,
        peer_addr: at(7001),
        caller_addr: at(7002),
        operator_addr: at(7003),
        state: MemberState::Alive,
        upstreams: smallvec![upstream(index, 10)?],
    })
}

fn upstream(index: usize, slots: u16) -> Result<Upstream> {
    Ok(Upstream {
        service: ServiceName::new(&format!("service-{:04}", index % 1700))?,
        port: 8080,
        slots,
        incarnation: Incarnation(1_764_800_000_000),
        state: UpstreamState::Ready,
    })
}

fn machine(index: usize) -> Result<Membership> {
    let own = record(index)?;
    Ok(Membership::new(
        MembershipSettings::default(),
        own,
        index as u64,
    ))
}

fn teach(machine: &mut Membership, records: &[Member]) {
    let Some(first) = records.first() else {
        return;
    };
    let from = first.peer_addr;
    let boxed = |m: &Member| Update::Record(Box::new(m.clone()));
    let updates = records.iter().map(boxed).collect();
    let message = Message::Updates { updates };
    machine.handle_event(Event::Received { from, message }, Moment::default());
}

#[derive(Clone, Copy, Default)]
struct Cost {
    messages: u64,
    bytes: u64,
    link_bytes: u64,
    dropped: u64,
    processor: Duration,
}

struct Mesh {
    now: Moment,
    machines: Vec<Membership>,
    budgets: Vec<Budget>,
    addrs: BTreeMap<SocketAddr, usize>,
    queue: BTreeMap<(Moment, u64), (usize, SocketAddr, Message)>,
    cost: Cost,
}

impl Mesh {
    fn new(count: usize) -> Result<Self> {
        let records = (0..count).map(record).collect::<Result<Vec<_>>>()?;
        let mut mesh = Self {
            now: Moment::from_millis(0),
            machines: Vec::new(),
            budgets: Vec::new(),
            addrs: BTreeMap::new(),
            queue: BTreeMap::new(),
            cost: Cost::default(),
        };
        for index in 0..count {
            let mut member = machine(index)?;
            teach(&mut member, &records);
            mesh.add(member);
        }
        Ok(mesh)
    }

    fn add(&mut self, machine: Membership) {
        let addr = machine.own_record().peer_addr;
        self.addrs.insert(addr, self.machines.len());
        self.machines.push(machine);
        self.budgets.push(Budget::new(BudgetSettings::default()));
    }

    fn event(&mut self, index: usize, event: Event) {
        let start = Instant::now();
        let actions = self.machines[index].handle_event(event, self.now);
        self.cost.processor += start.elapsed();
        for action in actions {
            let Action::Send {
                to,
                crosses_region,
                class,
                message,
            } = action
            else {
                continue;
            };
            let bytes = datagram::encode(&message).map_or(0, |d| d.len() as u64);
            let budget = &mut self.budgets[index];
            let verdict = budget.charge(class, bytes as u32, crosses_region, self.now);
            if verdict == SendDecision::Drop {
                self.cost.dropped += 1;
                continue;
            }
            self.cost.messages += 1;
            self.cost.bytes += bytes;
            self.cost.link_bytes += if crosses_region { bytes } else { 0 };
            let delay = Duration::from_millis(if crosses_region { 30 } else { 1 });
            if let Some(target) = self.addrs.get(&to) {
                let key = (self.now + delay, self.cost.messages);
                let from = self.machines[index].own_record().peer_addr;
                self.queue.insert(key, (*target, from, message));
            }
        }
    }

    /// Runs for one tick period.
    fn step(&mut self) {
        let end = self.now + TICK;
        for index in 0..self.machines.len() {
            self.event(index, Event::Tick);
        }
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let (index, from, message) = entry.remove();
            self.now = at;
            self.event(index, Event::Received { from, message });
        }
        self.now = end;
    }

    fn run(&mut self, time: Duration) -> Cost {
        self.cost = Cost::default();
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
        self.cost
    }

    /// Runs until a condition holds; returns the time taken and the cost.
    fn run_until(&mut self, done: impl Fn(&Self) -> bool) -> (Duration, Cost) {
        self.cost = Cost::default();
        let start = self.now;
        while !done(self) && self.now.since(start) < LIMIT {
            self.step();
        }
        (self.now.since(start), self.cost)
    }
}

/// What was measured for one size.
struct Row {
    count: usize,
    steady: Cost,
    join: (Duration, Cost),
    change: (Duration, Cost),
}

impl Row {
    fn measure(count: usize) -> Result<Self> {
        let mut mesh = Mesh::new(count)?;
        mesh.run(Duration::from_secs(60));
        let steady = mesh.run(STEADY);
        let join = Self::join(&mut mesh, count)?;
        mesh.run(Duration::from_secs(60));
        let change = Self::change(&mut mesh, count)?;
        Ok(Self {
            count,
            steady,
            join,
            change,
        })
    }

    fn join(mesh: &mut Mesh, count: usize) -> Result<(Duration, Cost)> {
        let mut joiner = machine(count)?;
        let seed = mesh.machines[0].own_record().peer_addr;
        joiner.handle_event(Event::AddSeeds(smallvec![seed]), mesh.now);
        mesh.add(joiner);
        let name = mesh.machines[count].own_record().vm.clone();
        Ok(mesh.run_until(|mesh| {
            mesh.machines[count].members().count() == count + 1
                && mesh.machines.iter().all(|m| m.get(&name).is_some())
        }))
    }

    fn change(mesh: &mut Mesh, count: usize) -> Result<(Duration, Cost)> {
        let changed = count.div_ceil(100);
        for index in 0..changed {
            let upstreams: SmallVec<[Upstream; 1]> = smallvec![upstream(index, 20)?];
            mesh.event(index, Event::SetUpstreams(upstreams));
        }
        Ok(mesh.run_until(|mesh| {
            let truth = |i: usize| mesh.machines[i].own_record();
            let knows = |m: &Membership, i: usize| m.get(&truth(i).vm) == Some(truth(i));
            let all = |m: &Membership| (0..changed).all(|i| knows(m, i));
            mesh.machines.iter().all(all)
        }))
    }

    /// Bytes beyond those that the steady state would have cost in the same time.
    fn extra(&self, (time, cost): (Duration, Cost)) -> f64 {
        let steady = self.steady.bytes as f64 / STEADY.as_secs_f64() * time.as_secs_f64();
        cost.bytes as f64 - steady
    }
}

impl Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let each = self.count as f64 * STEADY.as_secs_f64();
        write!(
            f,
            "{:>6} {:>8.1} {:>8.2} {:>8.1} {:>8.1} {:>10.0} {:>8.1} {:>10.0} {:>8.1} {:>6} {:>6} {:>6}",
            self.count,
            self.steady.bytes as f64 / each,
            self.steady.messages as f64 / each,
            self.steady.link_bytes as f64 / each,
            self.steady.processor.as_secs_f64() * 1e6 / each,
            self.extra(self.join),
            self.join.0.as_secs_f64(),
            self.extra(self.change),
            self.change.0.as_secs_f64(),
            self.steady.dropped,
            self.join.1.dropped,
            self.change.1.dropped,
        )
    }
}

/// Resident memory of this process in bytes.
fn resident() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1024)
}

/// Measures the state of machines that know `count` members, without their probes.
fn state(count: usize) -> Result<()> {
    const MACHINES: usize = 8;
    let before = resident();
    let mut machines = Vec::new();
    for index in 0..MACHINES {
        let mut member = machine(index)?;
        // Each record is created for this table alone, as decoding would do.
        for at in 0..count {
            teach(&mut member, &[record(at)?]);
        }
        machines.push(member);
    }
    if let (Some(before), Some(after)) = (before, resident()) {
        let bytes = after.saturating_sub(before) / MACHINES as u64;
        let each = bytes / count as u64;
        println!("state of {count} members: {bytes} bytes, {each} bytes a member");
    }
    let start = Instant::now();
    let mut now = Moment::from_millis(0);
    for _ in 0..300 {
        now = now + TICK;
        for machine in &mut machines {
            machine.handle_event(Event::Tick, now);
        }
    }
    let each = start.elapsed().as_secs_f64() * 1e6 / (MACHINES * 60) as f64;
    println!("ticks at {count} members without replies: {each:.1} us/s");
    Ok(())
}

fn main() -> Result<()> {
    state(15_000)?;
    println!(
        "{:>6} {:>8} {:>8} {:>8} {:>8} {:>10} {:>8} {:>10} {:>8} {:>6} {:>6} {:>6}",
        "n",
        "B/s",
        "msg/s",
        "link B/s",
        "cpu us/s",
        "join B",
        "join s",
        "1% B",
        "1% s",
        "drop",
        "join",
        "1%"
    );
    for count in [10, 100, 1000] {
        println!("{}", Row::measure(count)?);
    }
    Ok(())
}
