//! Plays a restore of the store at 90 daemons in virtual time and counts their calls.

use super::*;

/// Number of daemons; the first ones are readers.
const DAEMONS: usize = 90;

/// Number of readers: two in each of six failure domains.
const READERS: usize = 12;

/// Time in milliseconds in which the link to the store transfers the complete configuration: 0.8 MB
/// in Base64 at 60 Mbit/s.
const TRANSFER_MS: u64 = 142;

/// Delay of one message to the store or to a peer, in milliseconds.
const DELAY_MS: u64 = 30;

/// Number of daemons that one daemon notifies of a change.
const NOTICES: usize = 4;

/// Time in milliseconds until all daemons must have the state of the new era.
const BOUND_MS: u64 = 2500;

/// Length of the play in milliseconds.
const PLAY_MS: u64 = 10_000;

/// Something that happens at a daemon.
#[derive(Clone, Copy)]
enum Happening {
    ReadEnded(ReadEnd),
    Notified(usize),
    Fetched(usize),
}

/// Daemons, and what happens to them.
struct Play {
    plans: Vec<SyncPlan>,
    revisions: Vec<ConfigRevision>,
    /// Moment, daemon and what happens there.
    queue: Vec<(u64, usize, Happening)>,
    /// Moment until which the link to the store is busy.
    link_busy: u64,
    calls: usize,
    complete_reads: usize,
}

impl Play {
    fn new() -> Self {
        let plans = (0..DAEMONS).map(|index| {
            let mut plan = SyncPlan::new(at(0), index as u64);
            plan.steps(at(0));
            plan.read_ended(ReadEnd::Complete, at(0));
            plan.record_applied(in_era(1, 40));
            plan.set_reader(index < READERS);
            plan
        });
        Self {
            plans: plans.collect(),
            revisions: vec![in_era(1, 40); DAEMONS],
            queue: Vec::new(),
            link_busy: 0,
            calls: 0,
            complete_reads: 0,
        }
    }

    /// Carries out a step of a daemon.
    fn carry_out(&mut self, daemon: usize, step: Step, now: u64) {
        match step {
            Step::ReadAll { .. } => {
                self.calls += 1;
                self.complete_reads += 1;
                self.link_busy = self.link_busy.max(now + DELAY_MS) + TRANSFER_MS;
                let end = Happening::ReadEnded(ReadEnd::Complete);
                self.queue.push((self.link_busy + DELAY_MS, daemon, end));
            }
            Step::ReadChanges { position, wait, .. } => {
                self.calls += 1;
                let (time, end) = if position.era == StoreEra(2) {
                    let empty = ReadEnd::Changes {
                        empty: true,
                        more: false,
                    };
                    (wait.as_millis() as u64, empty)
                } else {
                    (0, ReadEnd::OtherEra(StoreEra(2)))
                };
                let due = now + 2 * DELAY_MS + time;
                self.queue.push((due, daemon, Happening::ReadEnded(end)));
            }
            Step::AbandonRead => self.queue.retain(|(_, index, happening)| {
                *index != daemon || !matches!(happening, Happening::ReadEnded(_))
            }),
            Step::Fetch(addr) => {
                let peer = usize::from(addr.port());
                let due = now + 2 * DELAY_MS;
                self.queue.push((due, daemon, Happening::Fetched(peer)));
            }
        }
    }

    /// Puts the configuration of the new era in force at a daemon, which notifies others.
    fn apply(&mut self, daemon: usize, revision: ConfigRevision, now: u64) {
        let is_new = revision.is_ahead_of(&self.revisions[daemon]);
        if is_new {
            self.revisions[daemon] = revision;
            self.plans[daemon].record_applied(revision);
            for number in 0..NOTICES {
                let other = (daemon * 37 + number * 23 + 11) % DAEMONS;
                let notified = Happening::Notified(daemon);
                self.queue.push((now + DELAY_MS, other, notified));
            }
        }
    }

    fn happen(&mut self, daemon: usize, happening: Happening, now: u64) {
        match happening {
            Happening::ReadEnded(end) => {
                self.plans[daemon].read_ended(end, at(now));
                if end == ReadEnd::Complete {
                    self.apply(daemon, in_era(2, 35), now);
                }
            }
            Happening::Notified(from) => {
                let revision = self.revisions[from];
                let addr = peer(from as u16);
                self.plans[daemon].record_peer(addr, revision, true, at(now));
            }
            Happening::Fetched(from) => {
                self.apply(daemon, self.revisions[from], now);
                self.plans[daemon].fetch_ended(peer(from as u16));
            }
        }
    }

    /// Runs the play; returns the moment at which the last daemon had the state of the new era.
    fn run(&mut self) -> Option<u64> {
        let mut all_current = None;
        for now in 0..PLAY_MS {
            let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.queue)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.queue = later;
            for (_, daemon, happening) in due {
                self.happen(daemon, happening, now);
            }
            for daemon in 0..DAEMONS {
                for step in self.plans[daemon].steps(at(now)) {
                    self.carry_out(daemon, step, now);
                }
            }
            let is_current = |r: &ConfigRevision| r.position.era == StoreEra(2);
            if all_current.is_none() && self.revisions.iter().all(is_current) {
                all_current = Some(now);
            }
        }
        all_current
    }
}

// Guards against a restore of the store after which all daemons read the complete configuration over
// one link, and against calls without end.
#[test]
fn a_restore_at_90_daemons_costs_few_calls() {
    let mut play = Play::new();
    let all_current = play.run();
    assert!(
        all_current.is_some_and(|ms| ms <= BOUND_MS),
        "{all_current:?}"
    );
    assert!(
        play.complete_reads <= READERS,
        "{} complete reads",
        play.complete_reads
    );
    // A reader: the end of its long poll, one complete read, and a long poll every two
    // seconds at most.
    let polls = READERS * (PLAY_MS / 2000 + 1) as usize;
    assert!(play.calls <= 2 * READERS + polls, "{} calls", play.calls);
}
