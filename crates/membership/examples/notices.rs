//! Measures how a configuration revision is disseminated by notices and probes.
//!
//! `cargo run --release -p cornelvalve-membership --example notices`
//!
//! All state machines run in one process under virtual time. At the start, 24 members have the
//! revision, two for each failure domain, as if they were the readers. A member that learns of the
//! revision from another one has it after a pull of 3 ms.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cornelvalve_membership::{Action, Event, Membership, MembershipSettings, Message, Update};
use cornelvalve_model::{
    ConfigRevision, FailureDomain, IdError, Incarnation, Member, MemberKey, MemberState, Moment,
    Region, Revision, VmName,
};
use smallvec::SmallVec;

const REGIONS: usize = 5;
const DOMAINS: usize = 12;
const READERS: usize = 2 * DOMAINS;
const TICK: Duration = Duration::from_millis(200);
/// Time that a configuration pull takes.
const PULL_TIME: Duration = Duration::from_millis(3);
/// Maximum time to wait until all members have the revision.
const TIME_LIMIT: Duration = Duration::from_secs(60);
const RUNS: u64 = 5;

fn member(index: usize) -> Result<Member, IdError> {
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

/// An event in the queue of the simulation.
enum Delivery {
    /// The daemon with this index receives a message from this address.
    Message(usize, SocketAddr, Message),
    /// The daemon with this index has pulled this revision.
    PullFinished(usize, ConfigRevision),
}

/// Number of notices sent and pulls made by all daemons.
#[derive(Default)]
struct Cost {
    notices: u64,
    pulls: u64,
}

struct Mesh {
    now: Moment,
    daemons: Vec<Membership>,
    has_revision: Vec<bool>,
    is_pulling: Vec<bool>,
    addrs: BTreeMap<SocketAddr, usize>,
    queue: BTreeMap<(Moment, u64), Delivery>,
    sequence: u64,
    cost: Cost,
}

impl Mesh {
    fn new(count: usize, seed: u64) -> Result<Self, IdError> {
        let records = (0..count).map(member).collect::<Result<Vec<_>, _>>()?;
        let boxed = |m: &Member| Update::Record(Box::new(m.clone()));
        let mut daemons = Vec::new();
        for (index, own) in records.iter().enumerate() {
            let settings = MembershipSettings::default();
            let seed = seed * 100_000 + index as u64;
            let mut daemon = Membership::new(settings, own.clone(), seed);
            let updates = records.iter().map(boxed).collect();
            let message = Message::Updates { updates };
            let from = records[0].peer_addr;
            daemon.handle_event(Event::Received { from, message }, Moment::default());
            daemons.push(daemon);
        }
        let addrs = records.iter().enumerate().map(|(i, m)| (m.peer_addr, i));
        Ok(Self {
            now: Moment::default(),
            has_revision: vec![false; count],
            is_pulling: vec![false; count],
            addrs: addrs.collect(),
            daemons,
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

    fn handle_event(&mut self, index: usize, event: Event) {
        for action in self.daemons[index].handle_event(event, self.now) {
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
                        let from = self.daemons[index].own_record().peer_addr;
                        self.schedule(delay, Delivery::Message(target, from, message));
                    }
                }
                Action::PeerRevision { revision, .. } if !self.is_pulling[index] => {
                    self.is_pulling[index] = true;
                    self.cost.pulls += 1;
                    self.schedule(PULL_TIME, Delivery::PullFinished(index, revision));
                }
                _ => {}
            }
        }
    }

    fn apply(&mut self, index: usize, revision: ConfigRevision) {
        self.has_revision[index] = true;
        self.is_pulling[index] = false;
        self.handle_event(index, Event::SetRevision(revision));
        self.handle_event(index, Event::NotifyRevision);
    }

    fn step(&mut self) {
        let end = self.now + TICK;
        for index in 0..self.daemons.len() {
            self.handle_event(index, Event::Tick);
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
                    self.handle_event(index, Event::Received { from, message });
                }
                Delivery::PullFinished(index, revision) => self.apply(index, revision),
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
            // Lets the daemons run for 10 s before the first members have the revision.
            for _ in 0..50 {
                mesh.step();
            }
            let start = mesh.now;
            mesh.cost = Cost::default();
            for index in 0..READERS.min(count) {
                mesh.apply(index, Revision(1).into());
            }
            mesh.step();
            let early = mesh.has_revision.iter().filter(|has| **has).count();
            while mesh.has_revision.contains(&false) && mesh.now.since(start) < TIME_LIMIT {
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
