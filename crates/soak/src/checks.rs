//! Promises of the pages, checked against what callers and targets saw.

use std::collections::HashMap;
use std::time::Duration;

use cornelvalve_standins::ReceivedRequest;
use derive_more::Display;
use tokio::time::Instant;

use crate::callers::Seen;

/// Time by which a request is answered at the latest: the route's time and half a second, and what
/// a busy machine adds.
const LONGEST_WAIT: Duration = Duration::from_millis(4500);

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Broken promise.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A request that may run once ran more often.
    #[display("{attempt} ran {runs} times")]
    RanTwice {
        /// Request.
        attempt: String,
        /// Number of runs.
        runs: usize,
    },
    /// A request ran though its caller was told that it has not.
    #[display("{attempt} ran and was refused with {status}")]
    RefusedAndRan {
        /// Request.
        attempt: String,
        /// Status that the caller saw.
        status: u16,
    },
    /// A success that is not the whole answer of a target to this request.
    #[display("{attempt} got a success that is no target's answer to it")]
    ForeignAnswer {
        /// Request.
        attempt: String,
    },
    /// A caller waited too long.
    #[display("{attempt} was held for {held_ms} ms")]
    HeldTooLong {
        /// Request.
        attempt: String,
        /// Time until its end.
        held_ms: u64,
    },
    /// A target got a request after its leaving was confirmed and the time to drain was over.
    #[display("{attempt} reached {instance} after it had left")]
    AfterLeaving {
        /// Request.
        attempt: String,
        /// Target.
        instance: String,
    },
    /// A request ran at a target that it was not sent to, or from another service.
    #[display("{attempt} reached a target under wrong names")]
    WrongNames {
        /// Request.
        attempt: String,
    },
    /// A process ended by itself.
    #[display("daemon {daemon} ended by itself")]
    EndedAlone {
        /// Index of the daemon.
        daemon: u8,
    },
    /// Requests are not served though all faults have ended.
    #[display("after the faults {served} of {asked} requests were served")]
    NotRecovered {
        /// Requests served.
        served: usize,
        /// Requests sent.
        asked: usize,
    },
    /// A daemon is not ready, or not on the last version, though all faults have ended.
    #[display("after the faults daemon {daemon} lacks version {version}")]
    Behind {
        /// Index of the daemon.
        daemon: u8,
        /// The last version.
        version: u64,
    },
}

/// Target whose leaving a daemon has confirmed.
#[derive(Clone, Debug)]
pub(crate) struct Left {
    pub(crate) instance: String,
    /// Time after which nothing may reach it.
    pub(crate) after: Instant,
}

/// Checks requests against arrivals.
pub(crate) fn check(
    seen: &[Seen],
    arrivals: &[(String, ReceivedRequest)],
    left: &[Left],
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for (instance, arrival) in arrivals {
        if arrival.ran {
            *runs.entry(&arrival.attempt).or_default() += 1;
        }
        if arrival.expected_instance != *instance || arrival.caller_service.is_empty() {
            let attempt = arrival.attempt.clone();
            violations.push(Violation::WrongNames { attempt });
        }
        if left
            .iter()
            .any(|l| l.instance == *instance && arrival.received_at > l.after)
        {
            violations.push(Violation::AfterLeaving {
                attempt: arrival.attempt.clone(),
                instance: instance.clone(),
            });
        }
    }
    for request in seen {
        let ran = runs
            .get(request.attempt.as_str())
            .copied()
            .unwrap_or_default();
        violations.extend(check_request(request, ran));
    }
    violations
}

fn check_request(request: &Seen, runs: usize) -> Vec<Violation> {
    let mut violations = Vec::new();
    let attempt = || request.attempt.clone();
    if !request.repeatable && runs > 1 {
        violations.push(Violation::RanTwice {
            attempt: attempt(),
            runs,
        });
    }
    if request.took > LONGEST_WAIT {
        violations.push(Violation::HeldTooLong {
            attempt: attempt(),
            held_ms: u64::try_from(request.took.as_millis()).unwrap_or(u64::MAX),
        });
    }
    if let Some((status, signed, body)) = &request.answer {
        if PROMISES.contains(status) && !request.repeatable && runs > 0 {
            violations.push(Violation::RefusedAndRan {
                attempt: attempt(),
                status: *status,
            });
        }
        let own = body.ends_with(format!(" ran {}", request.attempt).as_bytes());
        if (200..300).contains(status) && (!own || !signed) {
            violations.push(Violation::ForeignAnswer { attempt: attempt() });
        }
    }
    violations
}
