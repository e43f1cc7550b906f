//! State of one endpoint as the balancer sees it: load, latency, failures and ejection.
//!
//! An endpoint is an upstream and its guard, the daemon beside it. The balancer runs in the entry,
//! the daemon that receives requests from callers.

use std::time::Duration;

use cornelvalve_model::{LoadHint, Moment, Reason};

use super::{AttemptOutcome, AttemptReport, BalancerSettings, Endpoint};

/// Weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// An endpoint is a straggler if its latency exceeds this multiple of the service's median.
const STRAGGLER_RATIO: f64 = 3.0;

/// Minimum number of latency samples before an endpoint can be ejected as a straggler.
const STRAGGLER_SAMPLES: u32 = 5;

/// Number of consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// Maximum factor by which latency increases the score. With [`LATENCY_HALF_LIFE`], it bounds the
/// time for which a slow endpoint gets no attempts.
const MAX_LATENCY_RATIO: f64 = 20.0;

/// Half-life of the score increase due to latency. The decay ensures that an endpoint that gets no
/// attempts because of its latency is eventually tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);

/// Time for which an endpoint is not used after a refusal that applies to all requests, such as
/// draining. It can be short, because membership updates report the cause within a few seconds.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(1);

/// Time for which an endpoint counts as saturated after it refused a request as overloaded; short,
/// because load changes within milliseconds.
const SATURATION_TIME: Duration = Duration::from_millis(20);

/// Time after which the admission limit in a load hint is outdated.
const LIMIT_MAX_AGE: Duration = Duration::from_secs(1);

/// Fraction of the admission limit above which an endpoint counts as saturated. It is less than 1
/// because other entries add load that the last hint does not include yet.
const SATURATION_RATIO: f64 = 0.8;

/// Number of consecutive successful probes that return an ejected endpoint to normal use.
const PROBES_TO_RECOVER: u32 = 3;

/// Maximum duration of an ejection, as a multiple of the first one.
const MAX_EJECTION_FACTOR: u32 = 16;

/// Ejection state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    /// May get any number of attempts.
    Normal,
    /// Gets no attempts until the given moment; the first attempt after it is a probe.
    Ejected(Moment),
    /// Gets one attempt at a time. Holds the number of consecutive successful probes;
    /// [`PROBES_TO_RECOVER`] of them end the probing.
    Probing(u32),
}

/// Load of an endpoint according to its last load hint.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    /// Number of running and queued requests there that other entries sent.
    from_others: f64,
    /// Admission limit.
    limit: u32,
    /// Moment at which the hint was received.
    at: Moment,
}

/// An endpoint and what the entry has observed about it.
#[derive(Clone, Debug)]
pub(crate) struct EndpointState {
    pub(crate) endpoint: Endpoint,
    /// Number of attempts that have not ended.
    pub(crate) outstanding: u32,
    load: Option<ReportedLoad>,
    /// Moving average of the latency of answered attempts; `None` without a sample.
    latency: Option<Duration>,
    /// Moment of the last sample.
    latency_at: Moment,
    /// Number of latency samples.
    samples: u32,
    /// Number of failures as of `failures_at`; decays exponentially.
    failures: f64,
    failures_at: Moment,
    consecutive_failures: u32,
    /// The endpoint is not used before this moment, because it refused a request for a reason that
    /// applies to all requests.
    avoid_until: Moment,
    /// The endpoint counts as saturated before this moment, because it refused a request as
    /// overloaded.
    saturated_until: Moment,
    health: Health,
    consecutive_ejections: u32,
}

/// Returns the weight of a value of the given age, which halves with every half-life.
fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

impl EndpointState {
    /// Creates the state of a new endpoint with `outstanding` running attempts.
    pub(crate) fn new(endpoint: &Endpoint, outstanding: u32) -> Self {
        Self {
            endpoint: endpoint.clone(),
            outstanding,
            load: None,
            latency: None,
            latency_at: Moment::default(),
            samples: 0,
            failures: 0.0,
            failures_at: Moment::default(),
            consecutive_failures: 0,
            avoid_until: Moment::default(),
            saturated_until: Moment::default(),
            health: Health::Normal,
            consecutive_ejections: 0,
        }
    }

    /// Returns the average latency, or `None` without a sample.
    pub(crate) fn latency(&self) -> Option<Duration> {
        self.latency
    }

    /// Returns the expected cost of one more request; lower is better.
    ///
    /// The cost is the number of requests at the endpoint including this one, multiplied by its
    /// latency relative to `median`, plus a penalty for recent failures.
    pub(crate) fn score(
        &self,
        median: Option<Duration>,
        settings: &BalancerSettings,
        now: Moment,
    ) -> f64 {
        let ratio = if settings.penalize_stragglers {
            self.latency_ratio(median, now)
        } else {
            1.0
        };
        let load = f64::from(self.outstanding) + self.load_from_others(settings, now) + 1.0;
        load * ratio + self.recent_failures(settings, now) * settings.failure_penalty
    }

    /// Returns the latency relative to `median`: at least 1, and decaying towards 1 with the age of
    /// the last sample.
    fn latency_ratio(&self, median: Option<Duration>, now: Moment) -> f64 {
        let (Some(own), Some(median)) = (self.latency, median) else {
            return 1.0;
        };
        let ratio = own.as_secs_f64() / median.as_secs_f64().max(f64::MIN_POSITIVE);
        let excess = (ratio.min(MAX_LATENCY_RATIO) - 1.0).max(0.0);
        1.0 + excess * decay(now.since(self.latency_at), LATENCY_HALF_LIFE)
    }

    /// Returns the current estimate of the load from other entries, in requests.
    fn load_from_others(&self, settings: &BalancerSettings, now: Moment) -> f64 {
        self.load.map_or(0.0, |load| {
            load.from_others * decay(now.since(load.at), settings.hint_decay)
        })
    }

    /// Returns the number of failures, weighted by age.
    fn recent_failures(&self, settings: &BalancerSettings, now: Moment) -> f64 {
        self.failures * decay(now.since(self.failures_at), settings.failure_decay)
    }

    /// Returns the number of requests that may run there concurrently: the last reported admission
    /// limit, or the slots if there is no recent report.
    fn concurrency_limit(&self, now: Moment) -> f64 {
        let slots = self.endpoint.slots.max(1);
        let reported = self.load.filter(|load| now.since(load.at) < LIMIT_MAX_AGE);
        f64::from(reported.map_or(slots, |load| load.limit.clamp(1, slots)))
    }

    /// Returns whether the endpoint may get an attempt: it is neither ejected nor avoided after a
    /// refusal, and no probe is running.
    pub(crate) fn is_available(&self, now: Moment) -> bool {
        if now < self.avoid_until {
            return false;
        }
        match self.health {
            Health::Normal => true,
            Health::Ejected(until) => now >= until && self.outstanding == 0,
            Health::Probing(_) => self.outstanding == 0,
        }
    }

    /// Returns whether the endpoint is ejected.
    pub(crate) fn is_ejected(&self, now: Moment) -> bool {
        matches!(self.health, Health::Ejected(until) if now < until)
    }

    /// Returns whether the endpoint is so loaded that one more request might be queued there.
    pub(crate) fn is_saturated(&self, settings: &BalancerSettings, now: Moment) -> bool {
        let load = f64::from(self.outstanding) + self.load_from_others(settings, now);
        now < self.saturated_until
            || load + 1.0 > (self.concurrency_limit(now) * SATURATION_RATIO).max(1.0)
    }

    /// Returns whether a request sent now would probably be answered within `time_left`.
    pub(crate) fn can_answer_within(
        &self,
        time_left: Duration,
        settings: &BalancerSettings,
        now: Moment,
    ) -> bool {
        let Some(latency) = self.latency else {
            return now >= self.saturated_until;
        };
        let load = f64::from(self.outstanding) + self.load_from_others(settings, now);
        // Time until the request is answered, in average latencies.
        let latencies = (load / self.concurrency_limit(now)).max(1.0);
        now >= self.saturated_until && latency.mul_f64(latencies) <= time_left
    }

    /// Counts an attempt as outstanding. The first attempt after an ejection starts the probing.
    pub(crate) fn start_attempt(&mut self, now: Moment) {
        self.outstanding += 1;
        if matches!(self.health, Health::Ejected(until) if now >= until) {
            self.health = Health::Probing(0);
        }
    }

    /// Updates the state with the result of an attempt.
    ///
    /// `median` is the median latency of the service's endpoints. `may_eject` tells whether the
    /// limit on simultaneous ejections allows another one.
    pub(crate) fn finish(
        &mut self,
        report: &AttemptReport,
        median: Option<Duration>,
        may_eject: bool,
        settings: &BalancerSettings,
        now: Moment,
    ) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if let Some(hint) = report.hint {
            self.record_load(hint, now);
        }
        match report.outcome {
            AttemptOutcome::Answered => self.record_answer(report.latency, now),
            // These refusals indicate a failure of the guard or of the connection to it.
            AttemptOutcome::Failed
            | AttemptOutcome::Refused(Reason::Connection | Reason::Internal) => {
                self.record_failure(settings, now);
            }
            AttemptOutcome::Refused(Reason::Overloaded) => {
                self.saturated_until = now + SATURATION_TIME
            }
            AttemptOutcome::Refused(
                Reason::Draining
                | Reason::DomainOut
                | Reason::NoUpstream
                | Reason::NoConfiguration
                | Reason::StaleConfiguration,
            ) => self.avoid_until = now + REFUSAL_BACKOFF,
            // The request itself was refused, or the attempt says nothing about the endpoint.
            AttemptOutcome::Refused(_) | AttemptOutcome::Cancelled => {}
        }
        if settings.eject_outliers {
            self.update_health(report, median, may_eject, settings, now);
        }
    }

    /// Stores the load that the endpoint reported, without the attempts of this entry.
    fn record_load(&mut self, hint: LoadHint, now: Moment) {
        let total = f64::from(hint.running) + f64::from(hint.queued);
        self.load = Some(ReportedLoad {
            from_others: (total - f64::from(self.outstanding)).max(0.0),
            limit: u32::from(hint.limit),
            at: now,
        });
    }

    fn record_answer(&mut self, latency: Duration, now: Moment) {
        self.latency = Some(match self.latency {
            None => latency,
            Some(old) => old.mul_f64(1.0 - LATENCY_WEIGHT) + latency.mul_f64(LATENCY_WEIGHT),
        });
        self.latency_at = now;
        self.samples = self.samples.saturating_add(1);
        self.consecutive_failures = 0;
    }

    fn record_failure(&mut self, settings: &BalancerSettings, now: Moment) {
        self.failures = self.recent_failures(settings, now) + 1.0;
        self.failures_at = now;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Returns whether `latency` is so far above the median that the endpoint is a straggler.
    fn is_straggling(&self, latency: Duration, median: Option<Duration>) -> bool {
        median.is_some_and(|median| latency > median.mul_f64(STRAGGLER_RATIO))
    }

    /// Ejects the endpoint if it is slow or fails, or evaluates the probe if it is being probed.
    fn update_health(
        &mut self,
        report: &AttemptReport,
        median: Option<Duration>,
        may_eject: bool,
        settings: &BalancerSettings,
        now: Moment,
    ) {
        let slow = self.samples >= STRAGGLER_SAMPLES
            && self.latency.is_some_and(|l| self.is_straggling(l, median));
        match self.health {
            Health::Normal if slow || self.consecutive_failures >= FAILURES_TO_EJECT => {
                if may_eject {
                    self.eject(settings, now);
                }
            }
            Health::Probing(successes) => {
                let failed = self.record_probe(successes, report, median);
                if failed && may_eject {
                    self.eject(settings, now);
                }
            }
            Health::Normal | Health::Ejected(_) => {}
        }
    }

    /// Updates the probing with the result of a probe and returns whether the probe failed.
    fn record_probe(
        &mut self,
        successes: u32,
        report: &AttemptReport,
        median: Option<Duration>,
    ) -> bool {
        match report.outcome {
            AttemptOutcome::Answered if !self.is_straggling(report.latency, median) => {
                if successes + 1 < PROBES_TO_RECOVER {
                    self.health = Health::Probing(successes + 1);
                    return false;
                }
                self.health = Health::Normal;
                self.consecutive_ejections = 0;
                false
            }
            AttemptOutcome::Answered | AttemptOutcome::Failed => {
                self.health = Health::Probing(0);
                true
            }
            // Unlike after a failure, the successful probes still count if `update_health` may not
            // eject the endpoint.
            AttemptOutcome::Refused(Reason::Connection | Reason::Internal) => true,
            AttemptOutcome::Refused(_) | AttemptOutcome::Cancelled => false,
        }
    }

    /// Ejects the endpoint, for twice as long as the previous time if it had not recovered since.
    fn eject(&mut self, settings: &BalancerSettings, now: Moment) {
        let factor = 1_u32
            .checked_shl(self.consecutive_ejections)
            .unwrap_or(MAX_EJECTION_FACTOR)
            .min(MAX_EJECTION_FACTOR);
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
        self.health = Health::Ejected(now + settings.ejection_time * factor);
        // Probes decide whether the endpoint recovers. Penalties for its past latency and failures
        // would only keep the probes away.
        self.latency = None;
        self.samples = 0;
        self.failures = 0.0;
        self.consecutive_failures = 0;
    }
}
