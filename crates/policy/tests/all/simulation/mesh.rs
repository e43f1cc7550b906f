//! Simulated mesh: entries that place requests, guards that admit them to upstreams, and the
//! network between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use cornelvalve_model::{Moment, VmName};
use cornelvalve_policy::{
    AttemptResult, Attempts, CallCost, CallResult, FailureRate, Gate, GateAction, GateActions,
    GateCall, GateCallId, GateRefusal, LoadReport, Placement, PlacementTarget, TargetOutcome,
    WorkKey,
};

use super::load::{Load, pseudo_random};

/// Kind of all requests of a simulation.
const WORK: WorkKey = WorkKey(1);

/// Interval at which guards observe the slowdown of their upstream.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(20);

/// Outcomes of all requests of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Summary {
    /// Fraction of the requests that were answered within the objective.
    pub(super) in_time: f64,
    /// Fraction of the requests that were answered later.
    #[allow(dead_code, reason = "shown when an assertion fails")]
    pub(super) late: f64,
    /// Fraction of the requests that were refused.
    pub(super) refused: f64,
    /// Mean time from sending to an answer or refusal.
    pub(super) mean: Duration,
    /// Average number of guards to which a request was sent.
    #[allow(dead_code, reason = "shown when an assertion fails")]
    pub(super) offers: f64,
    /// Number of requests sent to the busiest upstream, relative to the mean of all upstreams.
    pub(super) busiest: f64,
    /// Largest number of starts within [`LIMIT_SPAN`] at one upstream that names a limit.
    pub(super) limited_starts: usize,
    /// Starts at the upstreams that name a limit, relative to what they accept meanwhile.
    pub(super) limit_use: f64,
    /// Mean time from sending to a refusal.
    pub(super) refusal: Duration,
}

/// Span in which starts at an upstream with a limit are counted.
const LIMIT_SPAN: Duration = Duration::from_secs(4);

/// Event of the simulation. Requests are identified by their number, guards by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a request.
    Sent(u64),
    /// A request arrives at a guard.
    Offered(u64, usize),
    /// A guard observes its upstream and advances its gate.
    Observe(usize),
    /// A request ends at an upstream.
    Done(u64, usize),
    /// An entry receives the answer to a request.
    Answered(u64, usize),
    /// An entry learns that a request was not run.
    Returned(u64, usize, Returned),
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Returned {
    /// The guard handed it back because another upstream is expected to finish it earlier.
    HandedBack,
    /// The guard refused it.
    Refused,
    /// The upstream refused it.
    Shed,
}

/// Entry, with its knowledge about each upstream.
struct Entry {
    placement: Box<dyn Placement>,
    targets: Vec<PlacementTarget>,
}

/// Request that has not ended.
struct Request {
    /// Index of its entry.
    entry: usize,
    sent: Moment,
    attempts: Attempts,
    /// Expected time until its end at the best other upstream.
    expected_elsewhere: Option<Duration>,
}

/// Guard and its upstream.
struct Guard {
    gate: Gate,
    slowdown: f64,
    failures: FailureRate,
    /// Number of requests that arrived.
    offers: u64,
    /// Load report that was last sent to the entries of the region.
    reported: LoadReport,
    /// Limit that the upstream names; `None` if it names none.
    limit: Option<f64>,
    /// Moments of the starts while it names a limit.
    limited_starts: Vec<Moment>,
}

impl Guard {
    /// Returns the current load of the upstream.
    fn report(&self, now: Moment) -> LoadReport {
        let load = self.gate.load();
        LoadReport {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            slowdown: self.slowdown,
            failure_rate: self.failures.rate(0.0, now),
            cold: false,
            rate_limit: self.gate.load_rate_limit(now),
        }
    }
}

/// State of a simulation.
pub(super) struct Mesh<'a> {
    load: &'a Load,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    /// Number of events scheduled so far, which orders events of the same moment.
    event_count: u64,
    entries: Vec<Entry>,
    guards: Vec<Guard>,
    /// Requests that have not ended, by number.
    requests: BTreeMap<u64, Request>,
    in_time: u64,
    late: u64,
    refused: u64,
    /// Sum of the times from sending to the end of all requests that have ended.
    latency: Duration,
    /// Sum of the times from sending to refusal of all refused requests.
    refusals: Duration,
}

impl<'a> Mesh<'a> {
    /// Creates a mesh in which each entry uses the placement policy that `placement` creates.
    pub(super) fn new(load: &'a Load, placement: fn(u64) -> Box<dyn Placement>) -> Self {
        let upstreams = load.upstreams.len();
        let entry = |index| Entry {
            placement: placement(index as u64),
            targets: (0..upstreams)
                .map(|upstream| PlacementTarget::new(load.distance(index, upstream)))
                .collect(),
        };
        let guard = |_| Guard {
            gate: Gate::new(load.slots),
            slowdown: 1.0,
            failures: FailureRate::default(),
            offers: 0,
            reported: LoadReport::default(),
            limit: None,
            limited_starts: Vec::new(),
        };
        Self {
            load,
            now: Moment::default(),
            events: BinaryHeap::new(),
            event_count: 0,
            entries: (0..load.entries.len()).map(entry).collect(),
            guards: (0..upstreams).map(guard).collect(),
            requests: BTreeMap::new(),
            in_time: 0,
            late: 0,
            refused: 0,
            latency: Duration::ZERO,
            refusals: Duration::ZERO,
        }
    }

    /// Runs the simulation and returns the outcomes of the requests.
    pub(super) fn run(mut self) -> Summary {
        self.schedule(Duration::ZERO, Event::Sent(0));
        for guard in 0..self.guards.len() {
            self.schedule(Duration::ZERO, Event::Observe(guard));
        }
        let end = Moment::default() + self.load.length;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.summary()
    }

    fn summary(&self) -> Summary {
        let total = (self.in_time + self.late + self.refused).max(1) as f64;
        let offers: u64 = self.guards.iter().map(|g| g.offers).sum();
        let max = self.guards.iter().map(|g| g.offers).max();
        let mean = offers as f64 / self.guards.len() as f64;
        Summary {
            in_time: self.in_time as f64 / total,
            late: self.late as f64 / total,
            refused: self.refused as f64 / total,
            mean: self.latency.div_f64(total),
            offers: offers as f64 / total,
            busiest: max.unwrap_or_default() as f64 / mean,
            limited_starts: self.most_limited_starts(),
            limit_use: self.limit_use(),
            refusal: self.refusals.div_f64(self.refused.max(1) as f64),
        }
    }

    /// Returns the largest number of starts within [`LIMIT_SPAN`] at an upstream with a limit.
    fn most_limited_starts(&self) -> usize {
        let most = |starts: &Vec<Moment>| {
            let in_span = |from: &Moment| {
                let span = starts.iter().skip_while(|s| *s < from);
                span.take_while(|s| s.since(*from) < LIMIT_SPAN).count()
            };
            starts.iter().map(in_span).max().unwrap_or_default()
        };
        let guards = self.guards.iter();
        guards
            .map(|g| most(&g.limited_starts))
            .max()
            .unwrap_or_default()
    }

    /// Returns the starts at upstreams with a limit, relative to what they accept meanwhile.
    fn limit_use(&self) -> f64 {
        let limits = &self.load.limits;
        let start = Moment::default();
        let limited = (0..self.guards.len()).filter(|g| limits.at(*g, start).is_some());
        let accepted = limited.count() as f64
            * limits.per_second
            * limits.until.min(self.load.length).as_secs_f64();
        let starts: usize = self.guards.iter().map(|g| g.limited_starts.len()).sum();
        starts as f64 / accepted.max(1.0)
    }

    /// Schedules an event.
    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        let at = self.now + delay;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    /// Handles an event that is due.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Sent(number) => {
                let entry = pseudo_random(number) * self.entries.len() as f64;
                let request = Request {
                    entry: entry as usize,
                    sent: self.now,
                    attempts: Attempts::new(2, false),
                    expected_elsewhere: None,
                };
                self.requests.insert(number, request);
                self.schedule(self.load.gap(number), Event::Sent(number + 1));
                self.place(number);
            }
            Event::Offered(number, guard) => self.offer(number, guard),
            Event::Observe(guard) => {
                let slowdown = self.load.noise.at(guard, self.now);
                let state = &mut self.guards[guard];
                let mut actions = GateActions::new();
                if slowdown != state.slowdown {
                    state.slowdown = slowdown;
                    actions.extend(state.gate.set_slowdown(slowdown, self.now));
                }
                let limit = self.load.limits.at(guard, self.now);
                if limit != state.limit {
                    state.limit = limit;
                    actions.extend(state.gate.set_rate_limit(limit, self.now));
                }
                actions.extend(state.gate.advance(self.now));
                self.carry_out(guard, actions);
                self.send_report(guard);
                self.schedule(OBSERVE_INTERVAL, Event::Observe(guard));
            }
            Event::Done(number, guard) => {
                let actions = self.guards[guard]
                    .gate
                    .finish(GateCallId(number), true, self.now);
                self.schedule(self.delay(number, guard), Event::Answered(number, guard));
                self.carry_out(guard, actions);
            }
            Event::Answered(number, guard) => self.answered(number, guard),
            Event::Returned(number, guard, returned) => self.returned(number, guard, returned),
        }
    }

    /// Sends a load report to the entries of the region if the load has changed significantly.
    fn send_report(&mut self, guard: usize) {
        let report = self.guards[guard].report(self.now);
        if !report.is_significant_change_from(&self.guards[guard].reported) {
            return;
        }
        self.guards[guard].reported = report;
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if self.load.entries[index] == self.load.upstreams[guard] {
                entry.targets[guard].record_report(report, self.now);
            }
        }
    }

    /// Returns the one-way network delay between the entry of a request and a guard.
    fn delay(&self, number: u64, guard: usize) -> Duration {
        let entry = self.requests[&number].entry;
        let round_trip = self.load.distance(entry, guard).round_trip_ms();
        Duration::from_secs_f64(round_trip / 2000.0)
    }

    /// Sends a request to the best upstream that may still be tried, or refuses it if there is
    /// none.
    fn place(&mut self, number: u64) {
        let request = self.requests.get_mut(&number).expect("request is open");
        let entry = &mut self.entries[request.entry];
        let cost = CallCost {
            work_ms: self.load.duration.as_secs_f64() * 1000.0,
            bytes: 0,
        };
        let must_keep = request.attempts.hand_back_limit_reached();
        let is_excluded = |index: &usize| {
            let vm = vm(*index);
            let handed_back = request.attempts.handed_back().contains(&vm);
            request.attempts.tried().contains(&vm) || (handed_back && !must_keep)
        };
        let open: Vec<usize> = (0..entry.targets.len())
            .filter(|i| !is_excluded(i))
            .collect();
        let targets: Vec<PlacementTarget> =
            open.iter().map(|index| entry.targets[*index]).collect();
        let order = entry.placement.order(&targets, &cost, self.now);
        let Some(best) = order.first() else {
            self.refuse(number);
            return;
        };
        let guard = open[best.index];
        let time_left = (request.sent + self.load.deadline).since(self.now);
        let limit_wait = entry.targets[guard].limit_wait_ms(self.now);
        if limit_wait >= time_left.as_secs_f64() * 1000.0 {
            self.refuse(number);
            return;
        }
        entry.targets[guard].record_sent();
        let next = order.get(1).filter(|_| !must_keep);
        request.expected_elsewhere = next.map(|n| Duration::from_secs_f64(n.expected_ms / 1000.0));
        self.schedule(self.delay(number, guard), Event::Offered(number, guard));
    }

    /// Offers a request to the gate of a guard.
    fn offer(&mut self, number: u64, guard: usize) {
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

    /// Carries out the actions of the gate of a guard.
    fn carry_out(&mut self, guard: usize, actions: GateActions) {
        for action in actions {
            match action {
                GateAction::Start(GateCallId(number)) if self.sheds(number, guard) => {
                    let finished =
                        self.guards[guard]
                            .gate
                            .finish(GateCallId(number), false, self.now);
                    self.record(guard, CallResult::Refused);
                    self.send_back(number, guard, Returned::Shed);
                    self.carry_out(guard, finished);
                }
                GateAction::Start(GateCallId(number)) => {
                    let state = &mut self.guards[guard];
                    if state.limit.is_some() {
                        state.limited_starts.push(self.now);
                    }
                    let baseline = self.load.duration_of(number);
                    let duration = baseline.mul_f64(self.guards[guard].slowdown);
                    self.schedule(duration, Event::Done(number, guard));
                }
                GateAction::Refuse(GateCallId(number), refusal) => {
                    let returned = match refusal {
                        GateRefusal::Limited { .. } | GateRefusal::Overloaded { .. } => {
                            Returned::Refused
                        }
                        GateRefusal::FasterElsewhere { .. } => Returned::HandedBack,
                    };
                    self.send_back(number, guard, returned);
                }
            }
        }
    }

    /// Returns whether the upstream of a guard refuses a request that the guard has started.
    fn sheds(&self, number: u64, guard: usize) -> bool {
        let arrivals = self.requests[&number].attempts.upstream_attempts();
        self.load.sheds(guard, number, arrivals)
    }

    fn record(&mut self, guard: usize, result: CallResult) {
        self.guards[guard].failures.record(result, self.now);
    }

    /// Returns a request that was not run to its entry.
    fn send_back(&mut self, number: u64, guard: usize, returned: Returned) {
        let delay = self.delay(number, guard);
        self.schedule(delay, Event::Returned(number, guard, returned));
    }

    /// Records the outcome of an attempt and the load report of the upstream at the entry of a
    /// request.
    fn record_outcome(&mut self, number: u64, guard: usize, outcome: TargetOutcome) {
        let report = self.guards[guard].report(self.now);
        let entry = &mut self.entries[self.requests[&number].entry];
        entry.targets[guard].record_outcome(outcome, self.now);
        entry.targets[guard].record_report(report, self.now);
    }

    /// Handles the answer to a request at its entry.
    fn answered(&mut self, number: u64, guard: usize) {
        self.record_outcome(
            number,
            guard,
            TargetOutcome::Finished(CallResult::Succeeded),
        );
        let request = self.requests.remove(&number).expect("request is open");
        let latency = self.now.since(request.sent);
        self.latency += latency;
        if latency <= self.load.objective {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
    }

    /// Handles, at its entry, a request that came back without having run: sends it again or
    /// refuses it.
    fn returned(&mut self, number: u64, guard: usize, returned: Returned) {
        let (result, outcome) = match returned {
            Returned::HandedBack => (AttemptResult::HandedBack, TargetOutcome::Inconclusive),
            Returned::Refused => (AttemptResult::RefusedByDaemon, TargetOutcome::Inconclusive),
            Returned::Shed => (
                AttemptResult::RefusedByUpstream,
                TargetOutcome::Finished(CallResult::Refused),
            ),
        };
        self.record_outcome(number, guard, outcome);
        let request = self.requests.get_mut(&number).expect("request is open");
        let may_retry = request.attempts.record(vm(guard), result);
        let in_time = self.now < request.sent + self.load.deadline;
        if may_retry && in_time {
            self.place(number);
        } else {
            self.refuse(number);
        }
    }

    /// Refuses a request to its caller.
    fn refuse(&mut self, number: u64) {
        let request = self.requests.remove(&number).expect("request is open");
        let latency = self.now.since(request.sent);
        self.latency += latency;
        self.refusals += latency;
        self.refused += 1;
    }
}

fn vm(index: usize) -> VmName {
    VmName::new(&format!("vm-{index}")).expect("name is valid")
}
