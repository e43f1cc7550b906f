//! Entries, links and guards of a play.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use cornelvalve_model::{Moment, VmName};
use cornelvalve_policy::{
    AttemptResult, Attempts, CallCost, CallResult, FailureRate, Gate, GateAction, GateActions,
    GateCall, GateCallId, GateRefusal, LoadReport, Placement, PlacementTarget, TargetOutcome,
    WorkKey,
};

use super::load::{Load, fraction};

/// Kind of work of all requests of a play.
const WORK: WorkKey = WorkKey(1);

/// Period in which guards look at their upstream's slowdown.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// What the callers of a play got, as shares of their requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Result {
    /// Answers within the objective.
    pub(super) in_time: f64,
    /// Later answers.
    #[allow(dead_code, reason = "shown when an assertion fails")]
    pub(super) late: f64,
    /// Refusals.
    pub(super) refused: f64,
    /// Mean time until an answer or refusal.
    pub(super) mean: Duration,
    /// Offers to guards for each request.
    #[allow(dead_code, reason = "shown when an assertion fails")]
    pub(super) offers: f64,
    /// Offers to the busiest upstream against the mean.
    pub(super) busiest: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends the request with this number.
    Call(u64),
    /// A request reaches a guard.
    Offered(u64, usize),
    /// A guard looks at its upstream and its queue.
    Look(usize),
    /// A request ends at an upstream.
    Done(u64, usize),
    /// An entry hears that a request was answered.
    Answered(u64, usize),
    /// An entry hears that a request was not run.
    Returned(u64, usize, Returned),
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Returned {
    /// Its guard handed it back because another place should end it sooner.
    HandedBack,
    /// Its guard refused it.
    Refused,
    /// The upstream refused to run it.
    Shed,
}

struct Entry {
    placement: Box<dyn Placement>,
    places: Vec<PlacementTarget>,
}

struct Request {
    entry: usize,
    sent: Moment,
    attempts: Attempts,
    expected_elsewhere: Option<Duration>,
}

struct Guard {
    gate: Gate,
    slowdown: f64,
    failures: FailureRate,
    offers: u64,
    /// What the entries of the region were told last.
    told: LoadReport,
}

impl Guard {
    fn report(&self, now: Moment) -> LoadReport {
        let load = self.gate.load();
        LoadReport {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            slowdown: self.slowdown,
            failure_rate: self.failures.rate(0.0, now),
            cold: false,
        }
    }
}

/// State of a play.
pub(super) struct Mesh<'a> {
    load: &'a Load,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    last_event: u64,
    entries: Vec<Entry>,
    guards: Vec<Guard>,
    requests: BTreeMap<u64, Request>,
    in_time: u64,
    late: u64,
    refused: u64,
    /// Time of all requests until their end.
    held: Duration,
}

impl<'a> Mesh<'a> {
    pub(super) fn new(load: &'a Load, placement: fn(u64) -> Box<dyn Placement>) -> Self {
        let upstreams = load.upstreams.len();
        let entry = |index| Entry {
            placement: placement(index as u64),
            places: (0..upstreams)
                .map(|upstream| PlacementTarget::new(load.distance(index, upstream)))
                .collect(),
        };
        let guard = |_| Guard {
            gate: Gate::new(load.slots),
            slowdown: 1.0,
            failures: FailureRate::default(),
            offers: 0,
            told: LoadReport::default(),
        };
        Self {
            load,
            now: Moment::default(),
            events: BinaryHeap::new(),
            last_event: 0,
            entries: (0..load.entries.len()).map(entry).collect(),
            guards: (0..upstreams).map(guard).collect(),
            requests: BTreeMap::new(),
            in_time: 0,
            late: 0,
            refused: 0,
            held: Duration::ZERO,
        }
    }

    /// Plays the load and returns what the callers got.
    pub(super) fn play(mut self) -> Result {
        self.after(Duration::ZERO, Event::Call(0));
        for guard in 0..self.guards.len() {
            self.after(Duration::ZERO, Event::Look(guard));
        }
        let end = Moment::default() + self.load.length;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.on(event);
        }
        self.result()
    }

    fn result(&self) -> Result {
        let all = (self.in_time + self.late + self.refused).max(1) as f64;
        let offers: u64 = self.guards.iter().map(|g| g.offers).sum();
        let most = self.guards.iter().map(|g| g.offers).max();
        let mean = offers as f64 / self.guards.len() as f64;
        Result {
            in_time: self.in_time as f64 / all,
            late: self.late as f64 / all,
            refused: self.refused as f64 / all,
            mean: self.held.div_f64(all),
            offers: offers as f64 / all,
            busiest: most.unwrap_or_default() as f64 / mean,
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.last_event += 1;
        let at = self.now + delay;
        self.events.push(Reverse((at, self.last_event, event)));
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Call(number) => {
                let entry = fraction(number) * self.entries.len() as f64;
                let request = Request {
                    entry: entry as usize,
                    sent: self.now,
                    attempts: Attempts::new(2, false),
                    expected_elsewhere: None,
                };
                self.requests.insert(number, request);
                self.after(self.load.gap(number), Event::Call(number + 1));
                self.place(number);
            }
            Event::Offered(number, guard) => self.offered(number, guard),
            Event::Look(guard) => {
                let slowdown = self.load.noise.at(guard, self.now);
                let state = &mut self.guards[guard];
                let mut actions = GateActions::new();
                if slowdown != state.slowdown {
                    state.slowdown = slowdown;
                    actions.extend(state.gate.set_slowdown(slowdown, self.now));
                }
                actions.extend(state.gate.advance(self.now));
                self.carry_out(guard, actions);
                self.tell(guard);
                self.after(LOOK_PERIOD, Event::Look(guard));
            }
            Event::Done(number, guard) => {
                let actions = self.guards[guard]
                    .gate
                    .finish(GateCallId(number), true, self.now);
                self.after(self.link(number, guard), Event::Answered(number, guard));
                self.carry_out(guard, actions);
            }
            Event::Answered(number, guard) => self.answered(number, guard),
            Event::Returned(number, guard, returned) => self.returned(number, guard, returned),
        }
    }

    /// Tells the entries of the region if the load has changed much.
    fn tell(&mut self, guard: usize) {
        let report = self.guards[guard].report(self.now);
        if !report.is_significant_change_from(&self.guards[guard].told) {
            return;
        }
        self.guards[guard].told = report;
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if self.load.entries[index] == self.load.upstreams[guard] {
                entry.places[guard].record_report(report, self.now);
            }
        }
    }

    /// Returns the time of a message between the entry of a request and a guard.
    fn link(&self, number: u64, guard: usize) -> Duration {
        let entry = self.requests[&number].entry;
        let round_trip = self.load.distance(entry, guard).round_trip_ms();
        Duration::from_secs_f64(round_trip / 2000.0)
    }

    /// Sends a request to the best place, or refuses it if there is none.
    fn place(&mut self, number: u64) {
        let request = self.requests.get_mut(&number).expect("request is open");
        let entry = &mut self.entries[request.entry];
        let work = CallCost {
            work_ms: self.load.work.as_secs_f64() * 1000.0,
            bytes: 0,
        };
        let settle = request.attempts.hand_back_limit_reached();
        let passed_over = |index: &usize| {
            let vm = vm(*index);
            let handed_back = request.attempts.handed_back().contains(&vm);
            request.attempts.tried().contains(&vm) || (handed_back && !settle)
        };
        let open: Vec<usize> = (0..entry.places.len())
            .filter(|i| !passed_over(i))
            .collect();
        let places: Vec<PlacementTarget> = open.iter().map(|index| entry.places[*index]).collect();
        let order = entry.placement.order(&places, &work, self.now);
        let Some(best) = order.first() else {
            self.refuse(number);
            return;
        };
        let guard = open[best.index];
        entry.places[guard].record_sent();
        let next = order.get(1).filter(|_| !settle);
        request.expected_elsewhere = next.map(|n| Duration::from_secs_f64(n.expected_ms / 1000.0));
        self.after(self.link(number, guard), Event::Offered(number, guard));
    }

    fn offered(&mut self, number: u64, guard: usize) {
        let request = &self.requests[&number];
        let call = GateCall {
            id: GateCallId(number),
            work: WORK,
            priority: 1,
            objective: request.sent + self.load.objective,
            deadline: request.sent + self.load.deadline,
            expected_elsewhere: request.expected_elsewhere,
        };
        self.guards[guard].offers += 1;
        let actions = self.guards[guard].gate.offer(call, self.now);
        self.carry_out(guard, actions);
    }

    fn carry_out(&mut self, guard: usize, actions: GateActions) {
        for action in actions {
            match action {
                GateAction::Start(GateCallId(number)) if self.sheds(number, guard) => {
                    let finished =
                        self.guards[guard]
                            .gate
                            .finish(GateCallId(number), false, self.now);
                    self.note(guard, CallResult::Refused);
                    self.give_back(number, guard, Returned::Shed);
                    self.carry_out(guard, finished);
                }
                GateAction::Start(GateCallId(number)) => {
                    let work = self.load.work_of(number);
                    let took = work.mul_f64(self.guards[guard].slowdown);
                    self.after(took, Event::Done(number, guard));
                }
                GateAction::Refuse(GateCallId(number), refusal) => {
                    let returned = match refusal {
                        GateRefusal::Overloaded { .. } => Returned::Refused,
                        GateRefusal::FasterElsewhere { .. } => Returned::HandedBack,
                    };
                    self.give_back(number, guard, returned);
                }
            }
        }
    }

    fn sheds(&self, number: u64, guard: usize) -> bool {
        let arrivals = self.requests[&number].attempts.upstream_attempts();
        self.load.sheds(guard, number, arrivals)
    }

    fn note(&mut self, guard: usize, result: CallResult) {
        self.guards[guard].failures.record(result, self.now);
    }

    fn give_back(&mut self, number: u64, guard: usize, returned: Returned) {
        let link = self.link(number, guard);
        self.after(link, Event::Returned(number, guard, returned));
    }

    /// Tells the entry of a request what it hears with the end of an attempt.
    fn hear(&mut self, number: u64, guard: usize, end: TargetOutcome) {
        let report = self.guards[guard].report(self.now);
        let entry = &mut self.entries[self.requests[&number].entry];
        entry.places[guard].record_outcome(end, self.now);
        entry.places[guard].record_report(report, self.now);
    }

    fn answered(&mut self, number: u64, guard: usize) {
        self.hear(
            number,
            guard,
            TargetOutcome::Finished(CallResult::Succeeded),
        );
        let request = self.requests.remove(&number).expect("request is open");
        let took = self.now.since(request.sent);
        self.held += took;
        if took <= self.load.objective {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
    }

    fn returned(&mut self, number: u64, guard: usize, returned: Returned) {
        let (result, end) = match returned {
            Returned::HandedBack => (AttemptResult::HandedBack, TargetOutcome::Inconclusive),
            Returned::Refused => (AttemptResult::RefusedByDaemon, TargetOutcome::Inconclusive),
            Returned::Shed => (
                AttemptResult::RefusedByUpstream,
                TargetOutcome::Finished(CallResult::Refused),
            ),
        };
        self.hear(number, guard, end);
        let request = self.requests.get_mut(&number).expect("request is open");
        let goes_on = request.attempts.record(vm(guard), result);
        let in_time = self.now < request.sent + self.load.deadline;
        if goes_on && in_time {
            self.place(number);
        } else {
            self.refuse(number);
        }
    }

    fn refuse(&mut self, number: u64) {
        let request = self.requests.remove(&number).expect("request is open");
        self.held += self.now.since(request.sent);
        self.refused += 1;
    }
}

fn vm(index: usize) -> VmName {
    VmName::new(&format!("vm-{index}")).expect("name is valid")
}
