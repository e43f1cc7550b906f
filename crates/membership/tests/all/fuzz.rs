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
/// This is the sum of the longest times for 12 members, rounded up:
///
/// - 60 s until a seed is contacted,
/// - 12 s for a round of probes,
/// - 1.4 s for the timeouts of a direct and an indirect probe,
/// - 6 s for a suspicion,
/// - 90 s for three anti-entropy exchanges: in the record's own region, between the regions and in
///   the other region,
/// - 30 s for one lost exchange between the regions.
const CONVERGENCE: Duration = Duration::from_secs(200);

/// Maximum number of daemons in a mesh.
const MAX_DAEMONS: usize = 12;

/// A step of the test: a fault, the end of a fault, a normal operation, or the passage of time.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Crash(usize),
    Start(usize),
    Leave(usize),
    Pause(usize),
    Wake(usize),
    /// The daemon with this index announces an upstream with this number of slots.
    Announce(usize, u16),
    /// Separates the two regions.
    PartitionRegion,
    /// Separates the daemons whose bits are set in this mask from the others.
    PartitionSome(u16),
    EndPartition,
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
pub(crate) struct ReferenceState {
    rng_seed: u64,
    daemons: Vec<Status>,
}

impl ReferenceStateMachine for ReferenceState {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        (any::<u64>(), 5..=MAX_DAEMONS)
            .prop_map(|(rng_seed, count)| Self {
                rng_seed,
                daemons: vec![Status::Up; count],
            })
            .boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let one = 0..state.daemons.len();
        prop_oneof![
            2 => one.clone().prop_map(Step::Crash),
            3 => one.clone().prop_map(Step::Start),
            1 => one.clone().prop_map(Step::Leave),
            1 => one.clone().prop_map(Step::Pause),
            2 => one.clone().prop_map(Step::Wake),
            1 => (one, any::<u16>()).prop_map(|(i, slots)| Step::Announce(i, slots)),
            1 => Just(Step::PartitionRegion),
            1 => any::<u16>().prop_map(Step::PartitionSome),
            2 => Just(Step::EndPartition),
            1 => (0..30_u8).prop_map(Step::Loss),
            6 => (1..60_u8).prop_map(Step::Run),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Crash(i) | Step::Leave(i) => state.daemons[*i] = Status::Down,
            Step::Start(i) | Step::Wake(i) => state.daemons[*i] = Status::Up,
            Step::Pause(i) => state.daemons[*i] = Status::Paused,
            _ => {}
        }
        state
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        let is = |i: &usize, status| state.daemons.get(*i) == Some(&status);
        match step {
            Step::Crash(i) => is(i, Status::Up) || is(i, Status::Paused),
            Step::Start(i) => is(i, Status::Down),
            Step::Leave(i) | Step::Pause(i) | Step::Announce(i, _) => is(i, Status::Up),
            Step::Wake(i) => is(i, Status::Paused),
            _ => true,
        }
    }
}

impl StateMachineTest for Mesh {
    type SystemUnderTest = Self;
    type Reference = ReferenceState;

    fn init_test(reference: &ReferenceState) -> Self {
        let mut mesh = Mesh::new(reference.rng_seed);
        for index in 0..reference.daemons.len() {
            let (region, domain) = [("east", "a"), ("west", "c"), ("east", "b")][index % 3];
            mesh.add(&format!("vm-{index}"), region, domain);
        }
        for index in 0..reference.daemons.len() {
            mesh.start(index);
        }
        mesh.jitter_ms = 50;
        mesh
    }

    fn apply(mut mesh: Self, _: &ReferenceState, step: Step) -> Self {
        match step {
            Step::Crash(i) => mesh.crash(i),
            Step::Start(i) => mesh.start(i),
            Step::Leave(i) => mesh.stop_gracefully(i),
            Step::Pause(i) => mesh.daemons[i].paused = true,
            Step::Wake(i) => mesh.wake(i),
            Step::Announce(i, slots) => mesh.handle_event(i, announce(slots)),
            Step::PartitionRegion => {
                let all = 0..mesh.daemons.len();
                mesh.partition = all.filter(|i| i % 3 == 1).collect();
            }
            Step::PartitionSome(mask) => {
                let all = 0..mesh.daemons.len();
                mesh.partition = all.filter(|i| mask & (1 << i) != 0).collect();
            }
            Step::EndPartition => mesh.partition.clear(),
            Step::Loss(percent) => mesh.loss = f64::from(percent) / 100.0,
            Step::Run(seconds) => mesh.run_for(Duration::from_secs(seconds.into())),
        }
        mesh
    }

    fn teardown(mut mesh: Self, _: ReferenceState) {
        mesh.partition.clear();
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
