//! Measures how a configuration revision spreads by notices and probes.
//!
//! `cargo run --release -p cornelvalve-membership --example notices`
//!
//! All state machines run in one process under virtual time. Two readers of each failure domain
//! have the revision at first. A member that learns of it from another has it after a pull of 3 ms.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cornelvalve_membership::{Action, Event, Membership, MembershipSettings, Message, Update};
use cornelvalve_model::{
    FailureDomain, IdError, Incarnation, Member, MemberKey, MemberState, Moment, Region, Revision,
    VmName,
};
use smallvec::SmallVec;

const REGIONS: usize = 5;
const DOMAINS: usize = 12;
const READERS: usize = 2 * DOMAINS;
const TICK: Duration = Duration::from_millis(200);
const PULL: Duration = Duration::from_millis(3);
const LIMIT: Duration = Duration::from_secs(60);
const RUNS: u64 = 5;

fn record(index: usize) -> Result<Member, IdError> {
    let domain = index % DOMAINS;
    let ip = Ipv4Addr::from(0x0a00_0000 + index as u32 + 1);
    let at = |port| SocketAddr::from((ip, port));
    Ok(Member {
        vm: VmName::new(&format!("vm-{index:05}.example"))?,
        key: MemberKey {
            incarnation: Incarnation(1),
            version: 1,
        },
        region: Region::new(&format!("region-{}", domain % REGIONS))?,
        domain: FailureDomain::new(&format!("domain-{domain}"))?,
        peer_addr: at(7001),
        caller_addr: at(7002),
        operator_addr: at(7003),
        state: MemberState::Alive,
        upstreams: SmallVec::new(),
    })
}

/// What is due at a moment.
enum Delivery {
    Message(usize, SocketAddr, Message),
    Pulled(usize, Revision),
}

#[derive(Default)]
struct Cost {
    notices: u64,
    pulls: u64,
}

struct Mesh {
    now: Moment,
    machines: Vec<Membership>,
    has: Vec<bool>,
    pulling: Vec<bool>,
    addrs: BTreeMap<SocketAddr, usize>,
    queue: BTreeMap<(Moment, u64), Delivery>,
    sequence: u64,
    cost: Cost,
}

impl Mesh {
    fn new(count: usize, seed: u64) -> Result<Self, IdError> {
        let records = (0..count).map(record).collect::<Result<Vec<_>, _>>()?;
        let boxed = |m: &Member| Update::Record(Box::new(m.clone()));
        let mut machines = Vec::new();
        for (index, own) in records.iter().enumerate() {
            let settings = MembershipSettings::default();
            let seed = seed * 100_000 + index as u64;
            let mut machine = Membership::new(settings, own.clone(), seed);
            let updates = records.iter().map(boxed).collect();
            let message = Message::Updates { updates };
            let from = records[0].peer_addr;
            machine.handle_event(Event::Received { from, message }, Moment::default());
            machines.push(machine);
        }
        let addrs = records.iter().enumerate().map(|(i, m)| (m.peer_addr, i));
        Ok(Self {
            now: Moment::default(),
            has: vec![false; count],
            pulling: vec![false; count],
            addrs: addrs.collect(),
            machines,
            queue: BTreeMap::new(),
            sequence: 0,
            cost: Cost::default(),
        })
    }

    fn schedule(&mut self, delay: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue
            .insert((self.now + delay, self.sequence), delivery);
    }

    fn event(&mut self, index: usize, event: Event) {
        for action in self.machines[index].handle_event(event, self.now) {
            match action {
                Action::Send {
                    to,
                    crosses_region,
                    message,
                    ..
                } => {
                    let is_notice = matches!(message, Message::RevisionNotice { .. });
                    self.cost.notices += u64::from(is_notice);
                    let delay = Duration::from_millis(if crosses_region { 30 } else { 1 });
                    if let Some(target) = self.addrs.get(&to).copied() {
                        let from = self.machines[index].own_record().peer_addr;
                        self.schedule(delay, Delivery::Message(target, from, message));
                    }
                }
                Action::PeerRevision { revision, .. } if !self.pulling[index] => {
                    self.pulling[index] = true;
                    self.cost.pulls += 1;
                    self.schedule(PULL, Delivery::Pulled(index, revision));
                }
                _ => {}
            }
        }
    }

    fn apply(&mut self, index: usize, revision: Revision) {
        self.has[index] = true;
        self.pulling[index] = false;
        self.event(index, Event::SetRevision(revision));
        self.event(index, Event::NotifyRevision);
    }

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
            let delivery = entry.remove();
            self.now = at;
            match delivery {
                Delivery::Message(index, from, message) => {
                    self.event(index, Event::Received { from, message });
                }
                Delivery::Pulled(index, revision) => self.apply(index, revision),
            }
        }
        self.now = end;
    }
}

fn main() -> Result<(), IdError> {
    println!("     n  run  after 0.2 s   all after  notices/daemon  pulls/daemon");
    for count in [10, 100, 1000, 2000] {
        for run in 0..RUNS {
            let mut mesh = Mesh::new(count, run)?;
            for _ in 0..50 {
                mesh.step();
            }
            let start = mesh.now;
            mesh.cost = Cost::default();
            for index in 0..READERS.min(count) {
                mesh.apply(index, Revision(1));
            }
            mesh.step();
            let early = mesh.has.iter().filter(|has| **has).count();
            while mesh.has.contains(&false) && mesh.now.since(start) < LIMIT {
                mesh.step();
            }
            println!(
                "{count:>6} {run:>4} {:>11.2}% {:>9.1} s {:>15.2} {:>13.2}",
                early as f64 * 100.0 / count as f64,
                mesh.now.since(start).as_secs_f64(),
                mesh.cost.notices as f64 / count as f64,
                mesh.cost.pulls as f64 / count as f64,
            );
        }
    }
    Ok(())
}
