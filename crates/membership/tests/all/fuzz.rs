//! Stateful fuzzing: random faults, then all members must agree within a bound.

use std::time::Duration;

use cornelvalve_membership::Event;
use cornelvalve_model::{Incarnation, ServiceName, Upstream, UpstreamState};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use smallvec::smallvec;

use crate::mesh::Mesh;

/// Time after the last fault in which all views must agree.
///
/// Sum of the worst cases for 12 members: contact to a seed (60 s), a round of probes (12 s),
/// two time-outs (1.4 s), suspicion (6 s), and one exchange each in the other region, across the
/// link and in the own region (3 * 30 s), rounded up by one lost exchange a region pair.
const CONVERGENCE: Duration = Duration::from_secs(200);

/// Largest mesh.
const MAX_DAEMONS: usize = 12;

#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Crash(usize),
    Start(usize),
    Leave(usize),
    Pause(usize),
    Wake(usize),
    Announce(usize, u16),
    CutRegion,
    CutSome(u16),
    Heal,
    Loss(u8),
    Run(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Status {
    Down,
    Up,
    Paused,
}

#[derive(Clone, Debug)]
pub(crate) struct Plan {
    seed: u64,
    daemons: Vec<Status>,
}

impl ReferenceStateMachine for Plan {
    type State = Self;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<Self> {
        (any::<u64>(), 5..=MAX_DAEMONS)
            .prop_map(|(seed, count)| Self {
                seed,
                daemons: vec![Status::Up; count],
            })
            .boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Fault> {
        let one = 0..state.daemons.len();
        prop_oneof![
            2 => one.clone().prop_map(Fault::Crash),
            3 => one.clone().prop_map(Fault::Start),
            1 => one.clone().prop_map(Fault::Leave),
            1 => one.clone().prop_map(Fault::Pause),
            2 => one.clone().prop_map(Fault::Wake),
            1 => (one, any::<u16>()).prop_map(|(i, slots)| Fault::Announce(i, slots)),
            1 => Just(Fault::CutRegion),
            1 => any::<u16>().prop_map(Fault::CutSome),
            2 => Just(Fault::Heal),
            1 => (0..30_u8).prop_map(Fault::Loss),
            6 => (1..60_u8).prop_map(Fault::Run),
        ]
        .boxed()
    }

    fn apply(mut state: Self, fault: &Fault) -> Self {
        match fault {
            Fault::Crash(i) | Fault::Leave(i) => state.daemons[*i] = Status::Down,
            Fault::Start(i) | Fault::Wake(i) => state.daemons[*i] = Status::Up,
            Fault::Pause(i) => state.daemons[*i] = Status::Paused,
            _ => {}
        }
        state
    }

    fn preconditions(state: &Self, fault: &Fault) -> bool {
        let is = |i: &usize, status| state.daemons.get(*i) == Some(&status);
        match fault {
            Fault::Crash(i) => is(i, Status::Up) || is(i, Status::Paused),
            Fault::Start(i) => is(i, Status::Down),
            Fault::Leave(i) | Fault::Pause(i) | Fault::Announce(i, _) => is(i, Status::Up),
            Fault::Wake(i) => is(i, Status::Paused),
            _ => true,
        }
    }
}

impl StateMachineTest for Mesh {
    type SystemUnderTest = Self;
    type Reference = Plan;

    fn init_test(plan: &Plan) -> Self {
        let mut mesh = Mesh::new(plan.seed);
        for index in 0..plan.daemons.len() {
            let (region, domain) = [("east", "a"), ("west", "c"), ("east", "b")][index % 3];
            mesh.add(&format!("vm-{index}"), region, domain);
        }
        for index in 0..plan.daemons.len() {
            mesh.start(index);
        }
        mesh.jitter_ms = 50;
        mesh
    }

    fn apply(mut mesh: Self, _: &Plan, fault: Fault) -> Self {
        match fault {
            Fault::Crash(i) => mesh.crash(i),
            Fault::Start(i) => mesh.start(i),
            Fault::Leave(i) => mesh.leave(i),
            Fault::Pause(i) => mesh.daemons[i].paused = true,
            Fault::Wake(i) => mesh.wake(i),
            Fault::Announce(i, slots) => mesh.event(i, announce(slots)),
            Fault::CutRegion => {
                let all = 0..mesh.daemons.len();
                mesh.cut = all.filter(|i| i % 3 == 1).collect();
            }
            Fault::CutSome(mask) => {
                let all = 0..mesh.daemons.len();
                mesh.cut = all.filter(|i| mask & (1 << i) != 0).collect();
            }
            Fault::Heal => mesh.cut.clear(),
            Fault::Loss(percent) => mesh.loss = f64::from(percent) / 100.0,
            Fault::Run(seconds) => mesh.run(Duration::from_secs(seconds.into())),
        }
        mesh
    }

    fn teardown(mut mesh: Self, _: Plan) {
        mesh.cut.clear();
        mesh.loss = 0.0;
        for index in 0..mesh.daemons.len() {
            if mesh.daemons[index].paused && mesh.daemons[index].runs() {
                mesh.wake(index);
            }
        }
        // A daemon whose seeds are all down has nobody to ask.
        if !mesh.daemons[0].runs() {
            mesh.start(0);
        }
        mesh.run(CONVERGENCE);
        if let Some(difference) = mesh.disagreement() {
            panic!("views differ after {CONVERGENCE:?}: {difference}");
        }
    }
}

fn announce(slots: u16) -> Event {
    Event::SetUpstreams(smallvec![Upstream {
        service: ServiceName::new("ledger").expect("valid identifier"),
        port: 8080,
        slots,
        incarnation: Incarnation(1),
        state: UpstreamState::Ready,
    }])
}

/// Runs more cases if `CORNELVALVE_FUZZ_CASES` is set.
fn cases() -> u32 {
    let text = std::env::var("CORNELVALVE_FUZZ_CASES").ok();
    text.and_then(|t| t.parse().ok()).unwrap_or(48)
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        max_shrink_iters: 200,
        .. ProptestConfig::default()
    })]

    /// Guards against views that stay different: members that stay dead though they run, left
    /// members that come back, updates that get lost.
    #[test]
    fn views_agree_after_faults(sequential 1..40 => Mesh);
}
