//! Admission to one upstream: the gate under played loads.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::Moment;
use cornelvalve_policy::{
    ColdRate, ColdTolerance, Gate, GateAction, GateActions, GateCall, GateCallId, GateRefusal,
    WorkKey,
};

fn ms(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

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

fn starts(actions: &GateActions) -> usize {
    let started = |a: &&GateAction| matches!(a, GateAction::Start(_));
    actions.iter().filter(started).count()
}

/// What callers got from an upstream that takes 60 ms of work for each call.
#[derive(Debug, Default)]
struct Tally {
    in_time: u32,
    late: u32,
    refused: u32,
    /// Refusals after more than half of the caller's time.
    refused_late: u32,
    /// Milliseconds for which refused calls waited, all together.
    waited_in_vain: u64,
    most_running: usize,
    /// Moments of the starts in milliseconds.
    starts: Vec<u64>,
}

/// Plays calls that arrive at even distances against one upstream.
struct Player {
    gate: Gate,
    ends: BTreeMap<(u64, u64), GateCall>,
    waiting: BTreeMap<u64, (u64, GateCall)>,
    tally: Tally,
    work: u64,
}

impl Player {
    fn new(slots: usize) -> Self {
        Self {
            gate: Gate::new(slots),
            ends: BTreeMap::new(),
            waiting: BTreeMap::new(),
            tally: Tally::default(),
            work: 60,
        }
    }

    fn act(&mut self, now: u64, actions: GateActions) {
        for action in actions {
            match action {
                GateAction::Start(GateCallId(id)) => {
                    let (_, call) = self.waiting.remove(&id).expect("call waits");
                    self.ends.insert((now + self.work, id), call);
                    self.tally.starts.push(now);
                }
                GateAction::Refuse(GateCallId(id), _) => {
                    let (since, call) = self.waiting.remove(&id).expect("call waits");
                    self.tally.refused += 1;
                    self.tally.waited_in_vain += now - since;
                    let half = since + call.deadline.since(ms(since)).as_millis() as u64 / 2;
                    if now > half + 5 {
                        self.tally.refused_late += 1;
                    }
                }
            }
        }
        self.tally.most_running = self.tally.most_running.max(self.ends.len());
    }

    /// Plays one millisecond with one more call if there is one.
    fn step(&mut self, now: u64, arriving: Option<GateCall>) {
        while let Some((&(end, id), _)) = self.ends.first_key_value()
            && end <= now
        {
            let call = self.ends.remove(&(end, id)).expect("call runs");
            if ms(now) <= call.objective {
                self.tally.in_time += 1;
            } else {
                self.tally.late += 1;
            }
            let actions = self.gate.finish(GateCallId(id), true, ms(now));
            self.act(now, actions);
        }
        if let Some(call) = arriving {
            self.waiting.insert(call.id.0, (now, call));
            let actions = self.gate.offer(call, ms(now));
            self.act(now, actions);
        }
        let actions = self.gate.advance(ms(now));
        self.act(now, actions);
    }

    /// Plays `calls` arrivals, one every `gap` milliseconds, with an objective of 300 ms and a
    /// deadline of 2 s.
    fn play(mut self, calls: u64, gap: u64) -> Tally {
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
            "{} calls are forgotten",
            self.waiting.len()
        );
        self.tally
    }
}

// Load: a calm service. Guards against refusals without need.
#[test]
fn a_calm_load_is_served_in_time() {
    let tally = Player::new(9).play(1000, 10);
    assert_eq!(tally.in_time, 1000, "{tally:?}");
}

// Load: a burst of twice what the upstream can do. The bound is the work that fits its slots:
// 9 slots / 60 ms for the 10 s in which 3000 calls arrive, 1500 of them. Guards against a queue of
// calls that are all served too late.
#[test]
fn under_twice_the_capacity_most_of_the_capacity_serves_calls_in_time() {
    let gap_of_two_calls = 7;
    let mut player = Player::new(9);
    let mut id = 0;
    let end = 10_000;
    for now in 0..end + 3000 {
        for _ in 0..2 {
            let arriving = (now % gap_of_two_calls == 0 && now < end).then(|| {
                id += 1;
                call(id, now, 300, 2000)
            });
            player.step(now, arriving);
        }
    }
    let Player { tally, waiting, .. } = player;
    assert!(waiting.is_empty());
    let possible = u32::try_from(end * 9 / 60).unwrap();
    assert!(
        tally.in_time * 10 >= possible * 9,
        "{tally:?} of {possible}"
    );
    assert!(tally.most_running <= 9, "{tally:?}");
    // A caller that is refused has time to come back.
    assert_eq!(tally.refused_late, 0, "{tally:?}");
}

// Guards against an upstream that gets more than it tolerates while it is cold.
#[test]
fn a_cold_upstream_gets_no_more_starts_in_a_second_than_it_tolerates() {
    let mut player = Player::new(50);
    let cold = ColdRate {
        until: ms(5000),
        per_second: 29.0,
    };
    player.gate.set_cold_rate(Some(cold), ms(0));
    for now in 0..4000 {
        player.step(now, (now % 5 == 0).then(|| call(now + 1, now, 300, 2000)));
    }
    let started = &player.tally.starts;
    for (index, first) in started.iter().enumerate() {
        let in_second = started[index..].iter().take_while(|s| **s < first + 1000);
        assert!(
            in_second.count() <= 29,
            "more than 29 starts from {first} ms"
        );
    }
    assert!(started.len() >= 80, "only {} starts in 4 s", started.len());
}

// Load: all upstreams are cold after a restart of everything, so that their starts bind. Guards against
// starts beyond what a cold upstream tolerates, and against callers that wait though it would
// tolerate more.
#[test]
fn a_cold_upstream_gets_most_of_what_it_tolerates() {
    let (rate, tolerance) = (
        11.0,
        ColdTolerance {
            factor: 1.5,
            slack: 8.0,
        },
    );
    let mut player = Player::new(50);
    let cold = ColdRate {
        until: ms(5000),
        per_second: tolerance.limit(rate),
    };
    player.gate.set_cold_rate(Some(cold), ms(0));
    for now in 0..4000 {
        player.step(now, (now % 5 == 0).then(|| call(now + 1, now, 300, 2000)));
    }
    let bound = rate * tolerance.factor + tolerance.slack;
    let started = &player.tally.starts;
    let in_second = |first: &u64| {
        let from = started.iter().skip_while(|s| *s < first);
        from.take_while(|s| **s < first + 1000).count() as f64
    };
    let most = started.iter().map(in_second).fold(0.0, f64::max);
    assert!(most < 0.9 * bound, "{most} of {bound} in a second");
    assert!(started.len() as f64 > 4.0 * 1.3 * rate, "{}", started.len());
    assert_eq!(ColdTolerance::NONE.limit(rate), rate);
}

// Load: a cold upstream right after a restart of everything, with nested calls that wait for 300 ms
// at most. Guards against calls that wait for starts which the upstream will not tolerate in time:
// the callers' callers hold their slots meanwhile.
#[test]
fn what_a_cold_upstream_cannot_start_in_time_is_refused_at_once() {
    let mut player = Player::new(9);
    let cold = ColdRate {
        until: ms(5000),
        per_second: 11.0,
    };
    player.gate.set_cold_rate(Some(cold), ms(0));
    for now in 0..2000 {
        let arrives = now % 5 == 0 && now < 1000;
        player.step(now, arrives.then(|| call(now + 1, now, 100, 300)));
    }
    let tally = &player.tally;
    let mean = tally.waited_in_vain / u64::from(tally.refused);
    assert!(mean < 300 / 8, "{mean} ms, {tally:?}");
}

// Guards against calls that are refused though the upstream will be warm in time.
#[test]
fn calls_wait_for_an_upstream_that_is_warm_soon() {
    let mut player = Player::new(9);
    let cold = ColdRate {
        until: ms(100),
        per_second: 1.0,
    };
    player.gate.set_cold_rate(Some(cold), ms(0));
    for now in 0..1000 {
        player.step(now, (now < 5).then(|| call(now + 1, now, 300, 2000)));
    }
    assert_eq!(player.tally.in_time, 5, "{:?}", player.tally);
}

// Guards against an owner that wakes without pause: a moment at which nothing changes must not be
// due. Load: a cold upstream that turns slow by turns.
#[test]
fn nothing_is_due_at_once_after_the_gate_was_advanced() {
    let mut player = Player::new(9);
    for now in 0..20_000 {
        if now % 4000 == 0 {
            let cold = ColdRate {
                until: ms(now + 2500),
                per_second: 5.0,
            };
            let actions = player.gate.set_cold_rate(Some(cold), ms(now));
            player.act(now, actions);
        }
        if now % 700 == 0 {
            let slowdown = if now % 1400 == 0 { 7.0 } else { 1.0 };
            let actions = player.gate.set_slowdown(slowdown, ms(now));
            player.act(now, actions);
        }
        player.step(now, (now % 40 == 0).then(|| call(now + 1, now, 300, 2000)));
        let due = player.gate.next_due(ms(now));
        assert!(
            due.is_none_or(|due| due > ms(now)),
            "due at once at {now} ms"
        );
    }
}

// Guards against urgent calls that wait behind others.
#[test]
fn urgent_calls_go_first() {
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

// Guards against calls that stay at an upstream which has just turned slow.
#[test]
fn calls_that_another_place_ends_sooner_are_handed_back() {
    let mut gate = Gate::new(1);
    gate.offer(call(1, 0, 300, 2000), ms(0));
    let movable = GateCall {
        expected_elsewhere: Some(Duration::from_millis(200)),
        ..call(2, 0, 300, 2000)
    };
    assert!(gate.offer(movable, ms(0)).is_empty(), "it waits at first");
    let actions = gate.set_slowdown(7.0, ms(5));
    let handed_back = |a: &GateAction| {
        matches!(
            a,
            GateAction::Refuse(GateCallId(2), GateRefusal::FasterElsewhere { .. })
        )
    };
    assert!(actions.iter().any(handed_back), "{actions:?}");
}

// Guards against a call that waits until its deadline though it cannot be served.
#[test]
fn a_call_that_cannot_end_in_time_is_refused_at_once() {
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
            [GateAction::Refuse(GateCallId(21), GateRefusal::Overloaded { drain_time: drain })]
                if *drain > Duration::from_millis(500)
        ),
        "{actions:?}"
    );
}

// Guards against slots that are never given back.
#[test]
fn cancelled_calls_give_their_slots_back() {
    let mut gate = Gate::new(2);
    for id in 1..=2 {
        assert_eq!(starts(&gate.offer(call(id, 0, 300, 2000), ms(0))), 1);
    }
    assert_eq!(starts(&gate.offer(call(3, 0, 300, 2000), ms(0))), 0);
    assert_eq!(starts(&gate.finish(GateCallId(3), false, ms(1))), 0);
    gate.finish(GateCallId(1), false, ms(2));
    assert_eq!(starts(&gate.offer(call(4, 3, 300, 2000), ms(3))), 1);
    assert_eq!(gate.load().waiting, 0);
}
