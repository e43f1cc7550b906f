//! Plan of faults for one seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::proxy::LinkState;

/// Fault at one daemon or at the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Kill the process and start it again.
    Kill,
    /// Ask the process to stop and start it again.
    Stop,
    /// Pause the process for a while.
    Pause(Duration),
    /// Kill all processes at once and start them again.
    KillAll,
    /// Change the state of the connections to the target for a while.
    TargetLink(LinkState, Duration),
    /// Change the state of the connections to the store for a while.
    StoreLink(LinkState, Duration),
    /// The store refuses all calls for a while.
    StoreDown(Duration),
    /// The store forgets its history.
    StoreCompact,
    /// The target refuses, fails or spoils requests for a while.
    Target(TargetFault, Duration),
    /// The target announces that it leaves, and another process takes its place.
    Replace,
    /// The target turns slow for a while.
    Slow(Duration),
    /// The operator writes a new desired state.
    Desired,
    /// The operator takes a failure domain out of service for a while.
    DomainOut(Duration),
}

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetFault {
    Shedding,
    Failing,
    Unsigned,
    Hanging,
}

/// Fault with its time and place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    pub(crate) at: Duration,
    /// Index of the daemon.
    pub(crate) daemon: usize,
    pub(crate) fault: Fault,
}

/// Returns the faults of a seed, in order of time. They overlap and come in series.
pub(crate) fn plan(seed: u64, daemons: usize, length: Duration) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let count = 4 + rng.random_range(0..8);
    for _ in 0..count {
        let at = length.mul_f64(rng.random_range(0.0..0.8));
        let daemon = rng.random_range(0..daemons);
        let fault = draw(&mut rng);
        steps.push(Step { at, daemon, fault });
        // A series hits further daemons soon after.
        for number in 1..rng.random_range(1..4_u32) {
            let at = at + Duration::from_millis(300) * number;
            let daemon = (daemon + number as usize) % daemons;
            steps.push(Step { at, daemon, fault });
        }
    }
    steps.sort_by_key(|s| s.at);
    steps
}

fn draw(rng: &mut StdRng) -> Fault {
    let span = Duration::from_millis(rng.random_range(200..2500));
    let link = match rng.random_range(0..4) {
        0 => LinkState::Delayed(Duration::from_millis(rng.random_range(5..200))),
        1 => LinkState::OneWay,
        2 => LinkState::Silent,
        _ => LinkState::Reset,
    };
    let target = match rng.random_range(0..4) {
        0 => TargetFault::Shedding,
        1 => TargetFault::Failing,
        2 => TargetFault::Unsigned,
        _ => TargetFault::Hanging,
    };
    match rng.random_range(0..13) {
        0 => Fault::Kill,
        1 => Fault::Stop,
        2 => Fault::Pause(span),
        3 => Fault::KillAll,
        4 => Fault::TargetLink(link, span),
        5 => Fault::StoreLink(link, span),
        6 => Fault::StoreDown(span),
        7 => Fault::StoreCompact,
        8 => Fault::Target(target, span),
        9 => Fault::Replace,
        10 => Fault::Slow(span),
        11 => Fault::Desired,
        _ => Fault::DomainOut(span),
    }
}
