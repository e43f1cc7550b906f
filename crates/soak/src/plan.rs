//! Random plan of the faults that a seed injects.

use std::time::Duration;

use cornelvalve_standins::WaitingReads;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::proxy::ProxyMode;

/// Distinguishes the random numbers of limits from those of other faults.
const LIMIT_SEED: u64 = 0x11_417;

/// Distinguishes the random numbers of restores of the store from those of other faults.
const RESTORE_SEED: u64 = 0xe4a;

/// Time between the faults of a series.
const SERIES_INTERVAL: Duration = Duration::from_millis(300);

/// Fault or operator action that the soak injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The daemon is killed and restarted.
    Kill,
    /// The daemon is terminated with SIGTERM and restarted.
    Terminate,
    /// The daemon is paused for the duration.
    Pause(Duration),
    /// All daemons are killed at once and restarted.
    KillAll,
    /// The proxy between the daemon and its target is in this mode for the duration.
    TargetProxy(ProxyMode, Duration),
    /// The proxy between the daemon and the store is in this mode for the duration.
    StoreProxy(ProxyMode, Duration),
    /// The store rejects all calls for the duration.
    StoreDown(Duration),
    /// The store evicts its history.
    StoreCompact,
    /// The store makes the copy that it is restored from.
    StoreCopy,
    /// The store returns to its copy, and the operator writes again what is lost.
    StoreRestore(StoreRestore),
    /// The target misbehaves for the duration.
    Target(TargetFault, Duration),
    /// The target names a limit on its requests per second for the duration.
    Limit(u32, Duration),
    /// The target drains, and another process replaces it.
    ReplaceTarget,
    /// The target reports a slowdown for the duration.
    ReportSlowdown(Duration),
    /// The operator writes a new version of the desired state.
    NewDesiredState,
    /// The operator takes one of the two failure domains out of service for the duration.
    DomainOut(Duration),
}

/// How the store comes back from an older copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StoreRestore {
    /// Time for which it rejects all calls.
    pub(crate) down: Duration,
    /// Time from its return until the operator has written again what is lost.
    pub(crate) rewrite: Duration,
    /// What it does with the reads that wait.
    pub(crate) waiting: WaitingReads,
}

/// How a target misbehaves; each corresponds to the `TargetMode` of the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetFault {
    Shedding,
    Failing,
    Unsigned,
    Hanging,
}

/// Fault with its start and the daemon that it affects.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    /// Time from the start of the plan.
    pub(crate) start: Duration,
    /// Position of the daemon in the list of daemons, counted from 0.
    pub(crate) daemon: usize,
    pub(crate) fault: Fault,
}

/// Returns the faults of a seed, ordered by start. They may overlap, and some come in series.
///
/// The first fault of a series starts in the first 80 % of `period`; the others follow at the
/// interval of a series.
pub(crate) fn plan(seed: u64, daemons: usize, period: Duration) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let count = 4 + rng.random_range(0..8);
    for _ in 0..count {
        let start = period.mul_f64(rng.random_range(0.0..0.8));
        let daemon = rng.random_range(0..daemons);
        let fault = random_fault(&mut rng);
        faults.push(PlannedFault {
            start,
            daemon,
            fault,
        });
        // A series repeats the fault on the next daemons.
        for number in 1..rng.random_range(1..4_u32) {
            let start = start + SERIES_INTERVAL * number;
            let daemon = (daemon + number as usize) % daemons;
            faults.push(PlannedFault {
                start,
                daemon,
                fault,
            });
        }
    }
    faults.extend(limits(seed, daemons, period));
    faults.extend(restores(seed, period));
    faults.sort_by_key(|f| f.start);
    faults
}

/// Returns the limits that targets name. They have random numbers of their own, so that the other
/// faults of recorded seeds stay the same.
fn limits(seed: u64, daemons: usize, period: Duration) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed ^ LIMIT_SEED);
    let count = rng.random_range(0..3);
    (0..count)
        .map(|_| {
            let duration = Duration::from_millis(rng.random_range(1500..4000));
            PlannedFault {
                start: period.mul_f64(rng.random_range(0.0..0.8)),
                daemon: rng.random_range(0..daemons),
                fault: Fault::Limit(rng.random_range(0..12), duration),
            }
        })
        .collect()
}

/// Returns the restores of the store, each after a copy. They have random numbers of their own, like
/// limits.
fn restores(seed: u64, period: Duration) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed ^ RESTORE_SEED);
    let count = rng.random_range(0..3);
    let mut faults = Vec::new();
    for _ in 0..count {
        let copied = period.mul_f64(rng.random_range(0.0..0.5));
        let lost = Duration::from_millis(rng.random_range(100..4000));
        let restore = StoreRestore {
            down: Duration::from_millis(rng.random_range(0..1500)),
            rewrite: Duration::from_millis(rng.random_range(0..3000)),
            waiting: if rng.random_bool(0.5) {
                WaitingReads::Answer
            } else {
                WaitingReads::Forget
            },
        };
        let planned = |start, fault| PlannedFault {
            start,
            daemon: 0,
            fault,
        };
        faults.push(planned(copied, Fault::StoreCopy));
        faults.push(planned(copied + lost, Fault::StoreRestore(restore)));
    }
    faults
}

/// Returns a random fault.
///
/// The order of the random calls must not change, because recorded seeds would give other faults.
fn random_fault(rng: &mut StdRng) -> Fault {
    let duration = Duration::from_millis(rng.random_range(200..2500));
    let proxy_mode = match rng.random_range(0..4) {
        0 => ProxyMode::Delay(Duration::from_millis(rng.random_range(5..200))),
        1 => ProxyMode::BlockResponses,
        2 => ProxyMode::BlockAll,
        _ => ProxyMode::Close,
    };
    let target_fault = match rng.random_range(0..4) {
        0 => TargetFault::Shedding,
        1 => TargetFault::Failing,
        2 => TargetFault::Unsigned,
        _ => TargetFault::Hanging,
    };
    match rng.random_range(0..13) {
        0 => Fault::Kill,
        1 => Fault::Terminate,
        2 => Fault::Pause(duration),
        3 => Fault::KillAll,
        4 => Fault::TargetProxy(proxy_mode, duration),
        5 => Fault::StoreProxy(proxy_mode, duration),
        6 => Fault::StoreDown(duration),
        7 => Fault::StoreCompact,
        8 => Fault::Target(target_fault, duration),
        9 => Fault::ReplaceTarget,
        10 => Fault::ReportSlowdown(duration),
        11 => Fault::NewDesiredState,
        _ => Fault::DomainOut(duration),
    }
}
