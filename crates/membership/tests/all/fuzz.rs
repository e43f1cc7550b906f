//! Stateful fuzz test: after random faults, all members must agree within a limited time.

use std::time::Duration;

use cornelvalve_membership::Event;
use cornelvalve_model::{Incarnation, ServiceName, Upstream, UpstreamState};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use smallvec::smallvec;

use crate::mesh::Mesh;

/// Time after the last fault within which all members must agree.
///
/// This is the sum of the longest times for 12 members: contacting a seed (60 s), a round of probes
/// (12 s), two probe timeouts (1.4 s), a suspicion (6 s), and one anti-entropy exchange each in the
/// other region, between the regions and in the member's own region (3 * 30 s), plus one lost
/// exchange for the pair of regions (30 s), rounded up.
const CONVERGENCE: Duration = Duration::from_secs(200);

/// Maximum number of daemons in a mesh.
const MAX_DAEMONS: usize = 12;

/// A step of the test: a fault, the end of a fault, or a normal operation.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Crash(usize),
    Start(usize),
    Leave(usize),
    Pause(usize),
    Wake(usize),
    /// The daemon with this index announces an upstream with this number of slots.
    Announce(usize, u16),
    /// Separates the two regions.
    CutRegion,
    /// Separates the daemons whose bit is set in this mask from the others.
    CutSome(u16),
    Heal,
    /// Sets the percentage of messages that are lost.
    Loss(u8),
    /// Lets this number of seconds pass.
    Run(u8),
}

/// Whether a daemon's process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Status {
    Down,
    Up,
    Paused,
}

/// The reference state: which daemons run.
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
            Fault::Announce(i, slots) => mesh.handle_event(i, announce(slots)),
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
            Fault::Run(seconds) => mesh.run_for(Duration::from_secs(seconds.into())),
        }
        mesh
    }

    fn teardown(mut mesh: Self, _: Plan) {
        mesh.cut.clear();
        mesh.loss = 0.0;
        for index in 0..mesh.daemons.len() {
            if mesh.daemons[index].paused && mesh.daemons[index].is_running() {
                mesh.wake(index);
            }
        }
        // Daemons whose seeds are all down cannot join.
        if !mesh.daemons[0].is_running() {
            mesh.start(0);
        }
        mesh.run_for(CONVERGENCE);
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

/// Returns the number of test cases, which `CORNELVALVE_FUZZ_CASES` overrides.
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

    /// Guards against members that disagree permanently: running members that remain dead, members
    /// that left and reappear, and updates that are lost.
    #[test]
    fn views_agree_after_faults(sequential 1..40 => Mesh);
}
