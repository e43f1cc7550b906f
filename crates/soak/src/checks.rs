//! Guarantees of the daemon, checked against what callers and targets observed.

use std::collections::HashMap;
use std::time::Duration;

use cornelvalve_standins::ReceivedRequest;
use derive_more::Display;
use tokio::time::Instant;

use crate::callers::Observation;

/// Maximum latency of a request: the timeout of the routes (2 s), plus 0.5 s that the daemon may
/// add, plus 2 s of tolerance for a busy machine. The time for which the soak pauses the daemon of
/// the caller does not count. The callers' own deadline is longer than the timeout of the routes.
const MAX_LATENCY: Duration = Duration::from_millis(4500);

/// Statuses with which the daemon guarantees that the request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Multiple of its limit that a target may receive.
const LIMIT_FACTOR: f64 = 1.5;

/// Number of requests that a target may receive beyond that.
const LIMIT_SLACK: f64 = 5.0;

/// Violation of a guarantee.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A request that may run only once ran more than once.
    #[display("{attempt} ran {runs} times")]
    DuplicateRun {
        /// Attempt identifier of the request.
        attempt: String,
        /// Number of runs.
        runs: usize,
    },
    /// A request ran although its caller was told that it had not run.
    #[display("{attempt} ran and was refused with {status}")]
    RanDespiteRefusal {
        /// Attempt identifier of the request.
        attempt: String,
        /// Status that the caller received.
        status: u16,
    },
    /// A caller received a success response that is not the complete response of a target to its
    /// request.
    #[display("{attempt} received a success response that no target sent for it")]
    MismatchedResponse {
        /// Attempt identifier of the request.
        attempt: String,
    },
    /// A request took longer than the maximum latency.
    #[display("{attempt} took {latency_ms} ms")]
    LatencyExceeded {
        /// Attempt identifier of the request.
        attempt: String,
        /// Time until the response, or until the caller gave up, in milliseconds.
        latency_ms: u64,
    },
    /// A target received a request after the grace period that follows the confirmation of its
    /// drain.
    #[display("{attempt} reached {instance} after the end of its drain")]
    ReceivedAfterDrain {
        /// Attempt identifier of the request.
        attempt: String,
        /// Identifier of the target's process.
        instance: String,
    },
    /// A target received more requests in a span of time than the limit that it named allows.
    #[display("{instance} received {count} requests in {span_ms} ms at a limit of {per_second}/s")]
    LimitExceeded {
        /// Identifier of the target's process.
        instance: String,
        /// Requests per second that it accepted.
        per_second: u32,
        /// Number of requests that it received.
        count: usize,
        /// Length of the span in milliseconds.
        span_ms: u64,
    },
    /// A target received a request without a caller service, or with an expected instance other
    /// than the target's own.
    #[display(
        "{attempt} reached a target with the wrong expected instance or without a caller service"
    )]
    WrongHeaders {
        /// Attempt identifier of the request.
        attempt: String,
    },
    /// A daemon process exited although it was neither stopped nor killed.
    #[display("daemon {daemon} exited unexpectedly")]
    UnexpectedExit {
        /// Number of the daemon.
        daemon: u8,
    },
    /// Too few requests were served after all faults had ended.
    #[display("only {served} of {sent} requests were served after the faults had ended")]
    NotRecovered {
        /// Number of requests served.
        served: usize,
        /// Number of requests sent.
        sent: usize,
    },
    /// A daemon was not ready with the newest desired state after all faults had ended.
    #[display("daemon {daemon} is not ready with version {version} after the faults had ended")]
    NotCurrent {
        /// Number of the daemon.
        daemon: u8,
        /// Newest version of the desired state.
        version: u64,
    },
}

/// Target whose drain its daemon has confirmed.
#[derive(Clone, Debug)]
pub(crate) struct DrainedTarget {
    /// Identifier of the target's process.
    pub(crate) instance: String,
    /// Time after which the target may receive no request.
    pub(crate) deadline: Instant,
}

/// Target that named a limit on its requests per second for some time.
#[derive(Clone, Debug)]
pub(crate) struct LimitedTarget {
    /// Position of its daemon in the list of daemons.
    pub(crate) daemon: usize,
    /// Identifier of the target's process.
    pub(crate) instance: String,
    /// The limit.
    pub(crate) per_second: f64,
    /// Time from which the limit must be kept.
    pub(crate) from: Instant,
    /// Time at which the target names it no longer, or its daemon or their connections fail.
    pub(crate) until: Instant,
}

impl LimitedTarget {
    /// Returns the violation of the limit in the span in which it is exceeded most; `None` if it was
    /// kept.
    ///
    /// In any span the target may receive [`LIMIT_FACTOR`] times what the limit allows, and
    /// [`LIMIT_SLACK`] more.
    pub(crate) fn check(&self, received: &[(String, ReceivedRequest)]) -> Option<Violation> {
        let own = received.iter().filter(|(i, _)| *i == self.instance);
        let times = own.map(|(_, r)| r.received_at);
        let mut times: Vec<Instant> = times
            .filter(|t| (self.from..self.until).contains(t))
            .collect();
        times.sort_unstable();
        let mut worst: Option<(f64, usize, Duration)> = None;
        for (start, first) in times.iter().enumerate() {
            for (end, last) in times.iter().enumerate().skip(start) {
                let span = *last - *first;
                let allowed = self.per_second * span.as_secs_f64() * LIMIT_FACTOR + LIMIT_SLACK;
                let count = end - start + 1;
                let over = count as f64 - allowed;
                if over > 0.0 && worst.is_none_or(|w| over > w.0) {
                    worst = Some((over, count, span));
                }
            }
        }
        let (_, count, span) = worst?;
        Some(Violation::LimitExceeded {
            instance: self.instance.clone(),
            per_second: self.per_second as u32,
            count,
            span_ms: span.as_millis() as u64,
        })
    }
}

/// Compares the requests that callers observed with those that targets received, each with the
/// identifier of the target's process; returns the violations. `pauses` holds the pauses of each
/// daemon.
pub(crate) fn check(
    observations: &[Observation],
    received: &[(String, ReceivedRequest)],
    drained: &[DrainedTarget],
    pauses: &[&[(Instant, Instant)]],
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for (instance, request) in received {
        if request.ran {
            *runs.entry(&request.attempt_id).or_default() += 1;
        }
        if request.expected_instance != *instance || request.caller_service.is_empty() {
            let attempt = request.attempt_id.clone();
            violations.push(Violation::WrongHeaders { attempt });
        }
        if drained
            .iter()
            .any(|d| d.instance == *instance && request.received_at > d.deadline)
        {
            violations.push(Violation::ReceivedAfterDrain {
                attempt: request.attempt_id.clone(),
                instance: instance.clone(),
            });
        }
    }
    for observation in observations {
        let run_count = runs
            .get(observation.attempt_id.as_str())
            .copied()
            .unwrap_or_default();
        let pauses = pauses.get(observation.daemon).copied().unwrap_or_default();
        violations.extend(check_request(observation, run_count, pauses));
    }
    violations
}

/// Returns for how long the daemon of a request was paused while its caller waited.
fn paused_time(request: &Observation, pauses: &[(Instant, Instant)]) -> Duration {
    let end = request.sent_at + request.latency;
    let overlap = |(from, to): &(Instant, Instant)| {
        let to = (*to).min(end);
        to.saturating_duration_since((*from).max(request.sent_at))
    };
    pauses.iter().map(overlap).sum()
}

/// Checks one request, which ran `runs` times and whose daemon had these pauses.
fn check_request(
    request: &Observation,
    runs: usize,
    pauses: &[(Instant, Instant)],
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let attempt = || request.attempt_id.clone();
    if !request.idempotent && runs > 1 {
        violations.push(Violation::DuplicateRun {
            attempt: attempt(),
            runs,
        });
    }
    let latency = request.latency.saturating_sub(paused_time(request, pauses));
    if latency > MAX_LATENCY {
        violations.push(Violation::LatencyExceeded {
            attempt: attempt(),
            latency_ms: u64::try_from(latency.as_millis()).unwrap_or(u64::MAX),
        });
    }
    if let Some((status, signed, body)) = &request.response {
        if NOT_RUN_STATUSES.contains(status) && !request.idempotent && runs > 0 {
            violations.push(Violation::RanDespiteRefusal {
                attempt: attempt(),
                status: *status,
            });
        }
        let matches_request = body.ends_with(format!(" ran {}", request.attempt_id).as_bytes());
        if (200..300).contains(status) && (!matches_request || !signed) {
            violations.push(Violation::MismatchedResponse { attempt: attempt() });
        }
    }
    violations
}
