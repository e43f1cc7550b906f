//! Admission gate of one upstream under simulated load.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::Moment;
use cornelvalve_policy::{
    ColdRate, ColdTolerance, Gate, GateAction, GateActions, GateCall, GateCallId, GateRefusal,
    WorkKey,
};

/// Returns the moment this many milliseconds after the start.
fn ms(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Creates a call that arrives at `now`, with its objective and deadline relative to that, in
/// milliseconds.
fn call(id: u64, now: u64, objective: u64, deadline: u64) -> GateCall {
    GateCall {
        id: GateCallId(id),
        work: WorkKey(1),
        priority: 1,
        objective: ms(now + objective),
        deadline: ms(now + deadline),
        expected_elsewhere: None,
    }
}

/// Returns the number of starts among the actions.
fn count_starts(actions: &GateActions) -> usize {
    let started = |a: &&GateAction| matches!(a, GateAction::Start(_));
    actions.iter().filter(started).count()
}

/// Outcomes of the calls of a simulation.
#[derive(Debug, Default)]
struct Stats {
    /// Number of calls that ended within their objective.
    in_time: u32,
    /// Number of calls that ended later.
    late: u32,
    refused: u32,
    /// Number of calls that were refused after more than half of the time until their deadline.
    refused_late: u32,
    /// Sum of the times for which refused calls waited, in milliseconds.
    refused_wait: u64,
    /// Largest number of calls that ran at once.
    max_running: usize,
    /// Moments of the starts, in milliseconds.
    starts: Vec<u64>,
}

/// Simulation of one upstream behind a gate, in steps of one millisecond.
struct Simulation {
    gate: Gate,
    /// Running calls by the moment of their end and their id.
    running: BTreeMap<(u64, u64), GateCall>,
    /// Waiting calls by id, with the moment of their arrival.
    waiting: BTreeMap<u64, (u64, GateCall)>,
    stats: Stats,
    /// Duration of each call in milliseconds.
    duration: u64,
}

impl Simulation {
    fn new(slots: usize) -> Self {
        Self {
            gate: Gate::new(slots),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            stats: Stats::default(),
            duration: 60,
        }
    }

    /// Carries out the actions of the gate.
    fn carry_out(&mut self, now: u64, actions: GateActions) {
        for action in actions {
            match action {
                GateAction::Start(GateCallId(id)) => {
                    let (_, call) = self.waiting.remove(&id).expect("call waits");
                    self.running.insert((now + self.duration, id), call);
                    self.stats.starts.push(now);
                    self.gate.record_sent(GateCallId(id), ms(now));
                }
                GateAction::Refuse(GateCallId(id), _) => {
                    let (since, call) = self.waiting.remove(&id).expect("call waits");
                    self.stats.refused += 1;
                    self.stats.refused_wait += now - since;
                    let half = since + call.deadline.since(ms(since)).as_millis() as u64 / 2;
                    // Allows 5 ms of delay for the steps of the simulation.
                    if now > half + 5 {
                        self.stats.refused_late += 1;
                    }
                }
            }
        }
        self.stats.max_running = self.stats.max_running.max(self.running.len());
    }

    /// Simulates one millisecond, in which a call may arrive.
    fn step(&mut self, now: u64, arriving: Option<GateCall>) {
        while let Some((&(end, id), _)) = self.running.first_key_value()
            && end <= now
        {
            let call = self.running.remove(&(end, id)).expect("call runs");
            if ms(now) <= call.objective {
                self.stats.in_time += 1;
            } else {
                self.stats.late += 1;
            }
            let actions = self.gate.finish(GateCallId(id), true, ms(now));
            self.carry_out(now, actions);
        }
        if let Some(call) = arriving {
            self.waiting.insert(call.id.0, (now, call));
            let actions = self.gate.offer(call, ms(now));
            self.carry_out(now, actions);
        }
        let actions = self.gate.advance(ms(now));
        self.carry_out(now, actions);
    }

    /// Simulates `calls` calls, one every `gap` milliseconds, each with an objective of 300 ms and
    /// a deadline of 2 s, and returns their outcomes.
    fn run(mut self, calls: u64, gap: u64) -> Stats {
        let mut id = 0;
        for now in 0..calls * gap + 3000 {
            let arriving = (now % gap == 0 && id < calls).then(|| {
                id += 1;
                call(id, now, 300, 2000)
            });
            self.step(now, arriving);
        }
        assert!(
            self.waiting.is_empty(),
            "{} calls were neither started nor refused",
            self.waiting.len()
        );
        self.stats
    }
}

// Guards against unnecessary refusals under a load below the capacity.
#[test]
fn load_below_capacity_is_served_in_time() {
    let stats = Simulation::new(9).run(1000, 10);
    assert_eq!(stats.in_time, 1000, "{stats:?}");
}

// Guards against a queue whose calls are all served too late under overload. About 3000 calls
// arrive in 10 s, twice as many as the 1500 for which 9 slots and 60 ms per call leave room.
#[test]
fn under_overload_most_of_the_capacity_serves_calls_in_time() {
    let pair_gap = 7;
    let mut simulation = Simulation::new(9);
    let mut id = 0;
    let end = 10_000;
    for now in 0..end + 3000 {
        for _ in 0..2 {
            let arriving = (now % pair_gap == 0 && now < end).then(|| {
                id += 1;
                call(id, now, 300, 2000)
            });
            simulation.step(now, arriving);
        }
    }
    let Simulation { stats, waiting, .. } = simulation;
    assert!(waiting.is_empty());
    let possible = u32::try_from(end * 9 / 60).unwrap();
    assert!(
        stats.in_time * 10 >= possible * 9,
        "{stats:?} of {possible}"
    );
    assert!(stats.max_running <= 9, "{stats:?}");
    // Callers of refused calls still have time to retry.
    assert_eq!(stats.refused_late, 0, "{stats:?}");
}

// Guards against more starts per second at a cold upstream than its limit.
#[test]
fn starts_at_a_cold_upstream_stay_within_its_limit() {
    let mut simulation = Simulation::new(50);
    let cold = ColdRate {
        until: ms(5000),
        per_second: 29.0,
        ..ColdRate::UNLIMITED
    };
    simulation.gate.set_cold_rate(cold, ms(0));
    for now in 0..4000 {
        simulation.step(now, (now % 5 == 0).then(|| call(now + 1, now, 300, 2000)));
    }
    let started = &simulation.stats.starts;
    for (index, first) in started.iter().enumerate() {
        let in_second = started[index..].iter().take_while(|s| **s < first + 1000);
        assert!(
            in_second.count() <= 29,
            "more than 29 starts from {first} ms"
        );
    }
    assert!(started.len() >= 80, "only {} starts in 4 s", started.len());
}

// Guards against more starts than a cold upstream tolerates, and against calls that wait although
// it would tolerate their start. Both matter when all upstreams are cold after a restart of the
// whole system, because the number of starts then limits the throughput.
#[test]
fn cold_upstream_gets_most_of_the_starts_it_tolerates() {
    let (rate, tolerance) = (
        11.0,
        ColdTolerance {
            factor: 1.5,
            slack: 8.0,
        },
    );
    let mut simulation = Simulation::new(50);
    let cold = ColdRate {
        until: ms(5000),
        per_second: tolerance.limit(rate),
        ..ColdRate::UNLIMITED
    };
    simulation.gate.set_cold_rate(cold, ms(0));
    for now in 0..4000 {
        simulation.step(now, (now % 5 == 0).then(|| call(now + 1, now, 300, 2000)));
    }
    let bound = rate * tolerance.factor + tolerance.slack;
    let started = &simulation.stats.starts;
    let in_second = |first: &u64| {
        let from = started.iter().skip_while(|s| *s < first);
        from.take_while(|s| **s < first + 1000).count() as f64
    };
    let max = started.iter().map(in_second).fold(0.0, f64::max);
    // A tenth of the tolerated starts is left as a margin.
    assert!(max < 0.9 * bound, "{max} of {bound} in a second");
    // The tolerance is used: over 4 s there are clearly more starts than the rate alone allows.
    assert!(started.len() as f64 > 4.0 * 1.3 * rate, "{}", started.len());
    assert_eq!(ColdTolerance::NONE.limit(rate), rate);
}

// Guards against calls that wait for a start that the cold upstream will not tolerate before their
// deadline. With nested calls, which have a deadline of 300 ms here, the calling requests occupy
// slots of other upstreams meanwhile.
#[test]
fn calls_that_a_cold_upstream_cannot_start_in_time_are_refused_at_once() {
    let mut simulation = Simulation::new(9);
    let cold = ColdRate {
        until: ms(5000),
        per_second: 11.0,
        ..ColdRate::UNLIMITED
    };
    simulation.gate.set_cold_rate(cold, ms(0));
    for now in 0..2000 {
        let arrives = now % 5 == 0 && now < 1000;
        simulation.step(now, arrives.then(|| call(now + 1, now, 100, 300)));
    }
    let stats = &simulation.stats;
    let mean = stats.refused_wait / u64::from(stats.refused);
    // On average, refused calls may wait for an eighth of their time at most.
    assert!(mean < 300 / 8, "{mean} ms, {stats:?}");
}

// Guards against refusals of calls that can wait until the upstream is warm.
#[test]
fn calls_wait_for_an_upstream_that_will_soon_be_warm() {
    let mut simulation = Simulation::new(9);
    let cold = ColdRate {
        until: ms(100),
        per_second: 1.0,
        ..ColdRate::UNLIMITED
    };
    simulation.gate.set_cold_rate(cold, ms(0));
    for now in 0..1000 {
        // The upstream is asked once its coldness is over, and confirms that it is warm.
        if now >= 100 && simulation.gate.needs_warm_confirmation(ms(now)) {
            let warm = ColdRate {
                warm_at: Some(ms(now)),
                ..cold
            };
            let actions = simulation.gate.set_cold_rate(warm, ms(now));
            simulation.carry_out(now, actions);
        }
        simulation.step(now, (now < 5).then(|| call(now + 1, now, 300, 2000)));
    }
    assert_eq!(simulation.stats.in_time, 5, "{:?}", simulation.stats);
}

// Guards against a busy loop in the owner of the gate, which advances it whenever it is due: after
// that the next due moment must lie in the future. The simulated upstream is repeatedly cold and
// slow.
#[test]
fn next_due_is_in_the_future_after_advance() {
    let mut simulation = Simulation::new(9);
    for now in 0..20_000 {
        if now % 4000 == 0 {
            let cold = ColdRate {
                until: ms(now + 2500),
                per_second: 5.0,
                ..ColdRate::UNLIMITED
            };
            let actions = simulation.gate.set_cold_rate(cold, ms(now));
            simulation.carry_out(now, actions);
        }
        if now % 700 == 0 {
            let slowdown = if now % 1400 == 0 { 7.0 } else { 1.0 };
            let actions = simulation.gate.set_slowdown(slowdown, ms(now));
            simulation.carry_out(now, actions);
        }
        simulation.step(now, (now % 40 == 0).then(|| call(now + 1, now, 300, 2000)));
        let due = simulation.gate.next_due(ms(now));
        assert!(
            due.is_none_or(|due| due > ms(now)),
            "still due at {now} ms after it was advanced"
        );
    }
}

// Guards against sending the calls of two windows within one second, after a delay.
#[test]
fn calls_that_are_sent_late_stay_within_the_limit_of_a_cold_upstream() {
    let (limit, delay) = (19, 900);
    let mut gate = Gate::new(100);
    let cold = ColdRate {
        until: ms(5000),
        per_second: limit as f64,
        ..ColdRate::UNLIMITED
    };
    gate.set_cold_rate(cold, ms(0));
    let mut started: Vec<GateCallId> = Vec::new();
    let mut sent: Vec<u64> = Vec::new();
    for now in 0..4000 {
        let offered = gate.offer(call(now, now, 3000, 8000), ms(now));
        let advanced = gate.advance(ms(now));
        for action in offered.into_iter().chain(advanced) {
            if let GateAction::Start(id) = action {
                started.push(id);
            }
        }
        // The processor is busy with other work for most of each second and a half.
        if now % 1500 < delay {
            continue;
        }
        for id in started.drain(..) {
            gate.record_sent(id, ms(now));
            sent.push(now);
        }
    }
    for (index, first) in sent.iter().enumerate() {
        let in_second = sent[index..].iter().take_while(|s| **s < first + 1000);
        let count = in_second.count();
        assert!(count <= limit, "{count} sent from {first} ms");
    }
    assert!(sent.len() >= limit);
}

// Guards against flooding an upstream that turns cold while it runs.
#[test]
fn starts_without_confirmed_warmth_stay_within_the_limit() {
    let limit = 19;
    let mut simulation = Simulation::new(50);
    let unconfirmed = ColdRate {
        until: ms(0),
        warm_at: Some(ms(0)),
        per_second: limit as f64,
        ..ColdRate::UNLIMITED
    };
    simulation.gate.set_cold_rate(unconfirmed, ms(0));
    let mut asked = false;
    for now in 1..=900 {
        simulation.step(now, (now % 5 == 0).then(|| call(now, now, 300, 2000)));
        asked |= simulation.gate.needs_warm_confirmation(ms(now));
        assert!(asked || simulation.stats.starts.len() < limit);
    }
    assert!(asked, "the upstream is asked before the limit holds calls");
    assert_eq!(simulation.stats.starts.len(), limit);
    let confirmed = ColdRate {
        warm_at: Some(ms(901)),
        ..unconfirmed
    };
    let actions = simulation.gate.set_cold_rate(confirmed, ms(901));
    simulation.carry_out(901, actions);
    for now in 901..=1000 {
        simulation.step(now, (now % 5 == 0).then(|| call(now, now, 300, 2000)));
    }
    assert!(simulation.stats.starts.len() > limit + 10);
}

// Guards against urgent calls that wait behind less urgent ones.
#[test]
fn urgent_calls_start_first() {
    let mut gate = Gate::new(1);
    gate.offer(call(1, 0, 300, 2000), ms(0));
    gate.offer(call(2, 0, 300, 2000), ms(0));
    let urgent = GateCall {
        priority: 0,
        ..call(3, 1, 300, 2000)
    };
    gate.offer(urgent, ms(1));
    let actions = gate.finish(GateCallId(1), true, ms(60));
    assert_eq!(actions.as_slice(), [GateAction::Start(GateCallId(3))]);
}

// Guards against calls that keep waiting at an upstream that has just become slow.
#[test]
fn calls_are_handed_back_if_another_upstream_is_faster() {
    let mut gate = Gate::new(1);
    gate.offer(call(1, 0, 300, 2000), ms(0));
    let movable = GateCall {
        expected_elsewhere: Some(Duration::from_millis(200)),
        ..call(2, 0, 300, 2000)
    };
    assert!(
        gate.offer(movable, ms(0)).is_empty(),
        "the call should wait at first"
    );
    let actions = gate.set_slowdown(7.0, ms(5));
    let handed_back = |a: &GateAction| {
        matches!(
            a,
            GateAction::Refuse(GateCallId(2), GateRefusal::FasterElsewhere { .. })
        )
    };
    assert!(actions.iter().any(handed_back), "{actions:?}");
}

// Guards against a call that waits until its deadline although it cannot end before.
#[test]
fn call_that_cannot_end_before_its_deadline_is_refused_at_once() {
    let mut gate = Gate::new(1);
    for id in 1..=20 {
        gate.offer(call(id, 0, 60_000, 60_000), ms(0));
    }
    let last = GateCall {
        priority: 2,
        ..call(21, 0, 300, 500)
    };
    let actions = gate.offer(last, ms(0));
    assert!(
        matches!(
            actions.as_slice(),
            [GateAction::Refuse(GateCallId(21), GateRefusal::Overloaded { drain_time })]
                if *drain_time > Duration::from_millis(500)
        ),
        "{actions:?}"
    );
}

// Guards against slots that stay occupied after their call was cancelled.
#[test]
fn cancelled_calls_free_their_slots() {
    let mut gate = Gate::new(2);
    for id in 1..=2 {
        assert_eq!(count_starts(&gate.offer(call(id, 0, 300, 2000), ms(0))), 1);
    }
    assert_eq!(count_starts(&gate.offer(call(3, 0, 300, 2000), ms(0))), 0);
    assert_eq!(count_starts(&gate.finish(GateCallId(3), false, ms(1))), 0);
    gate.finish(GateCallId(1), false, ms(2));
    assert_eq!(count_starts(&gate.offer(call(4, 3, 300, 2000), ms(3))), 1);
    assert_eq!(gate.load().waiting, 0);
}

// Guards against a daemon that ends because its upstream reports a load that cannot be.
#[test]
fn extreme_slowdowns_do_not_stop_the_gate() {
    let slowdowns = [
        f64::INFINITY,
        f64::NAN,
        f64::MAX,
        f64::MIN_POSITIVE,
        0.0,
        -1.0,
    ];
    for slowdown in slowdowns {
        let mut gate = Gate::new(1);
        gate.offer(call(1, 0, 300, 2000), ms(0));
        gate.set_slowdown(slowdown, ms(1));
        for id in 2..=4 {
            gate.offer(call(id, 0, 300, 2000), ms(id));
        }
        gate.finish(GateCallId(1), true, ms(50));
        gate.set_slowdown(1.0, ms(60));
        gate.finish(GateCallId(2), true, ms(100));
        let load = gate.load();
        assert!(load.running <= 1, "{slowdown}: {load:?}");
    }
}

// Guards against a process that was paused and then starts calls whose deadline has passed, or more
// of them at once than a cold upstream tolerates.
#[test]
fn permissions_do_not_outlast_a_pause() {
    let mut gate = Gate::new(1);
    gate.offer(call(1, 0, 300, 2000), ms(0));
    gate.offer(call(2, 0, 300, 800), ms(0));
    // The process is paused for five seconds.
    let actions = gate.finish(GateCallId(1), true, ms(5000));
    assert_eq!(count_starts(&actions), 0, "{actions:?}");
    let mut gate = Gate::new(100);
    let cold = ColdRate {
        until: ms(60_000),
        per_second: 10.0,
        ..ColdRate::UNLIMITED
    };
    gate.set_cold_rate(cold, ms(0));
    let mut starts = 0;
    for second in [0, 30] {
        starts = 0;
        for id in 0..100 {
            let now = second * 1000 + id;
            let offered = gate.offer(call(now, now, 300, 800), ms(now));
            starts += count_starts(&offered);
        }
    }
    // What was not used before the pause is not added to the limit of a second.
    assert!(starts <= 10, "{starts} starts within a second");
}
