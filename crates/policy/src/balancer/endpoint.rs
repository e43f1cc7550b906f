//! What an entry knows about one endpoint.

use std::time::Duration;

use cornelvalve_model::{LoadHint, Moment, Reason};

use super::{AttemptOutcome, AttemptReport, BalancerSettings, Endpoint};

/// Weight of a new latency in the average.
const LATENCY_WEIGHT: f64 = 0.2;

/// Latency relative to the median beyond which an endpoint straggles.
const STRAGGLER_RATIO: f64 = 3.0;

/// Latencies seen before an endpoint can be ejected as a straggler.
const STRAGGLER_SAMPLES: u32 = 5;

/// Failures in a row that eject an endpoint.
const FAILURES_TO_EJECT: u32 = 3;

/// Largest factor that latency has on the score.
const MAX_LATENCY_RATIO: f64 = 20.0;

/// Time in which the excess of an old latency halves, so that an endpoint that got no attempts
/// because of it is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);

/// Time for which an endpoint that refuses new work is avoided; membership reports the reason
/// within a few seconds.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Time for which an endpoint that shed a request counts as saturated.
const SHED_TIME: Duration = Duration::from_millis(20);

/// Time for which the limit in a hint is believed.
const LIMIT_TIME: Duration = Duration::from_secs(1);

/// Share of the limit above which an endpoint counts as saturated; other entries add load that
/// the hint does not show yet.
const SATURATION: f64 = 0.8;

/// Answers in a row that end the probing of an endpoint after an ejection.
const PROBES: u32 = 3;

/// Longest ejection, as a multiple of the first.
const MAX_EJECTION_FACTOR: u32 = 16;

/// Whether an endpoint gets attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    Normal,
    /// Left out until the given moment.
    Ejected(Moment),
    /// Gets one attempt at a time until as many as `PROBES` were answered.
    Probing(u32),
}

#[derive(Clone, Copy, Debug)]
struct SeenLoad {
    /// Requests there that this entry did not send.
    foreign: f64,
    limit: u32,
    at: Moment,
}

#[derive(Clone, Debug)]
pub(crate) struct EndpointState {
    pub(crate) endpoint: Endpoint,
    pub(crate) outstanding: u32,
    load: Option<SeenLoad>,
    latency: Option<Duration>,
    latency_at: Moment,
    samples: u32,
    failures: f64,
    failures_at: Moment,
    failure_run: u32,
    avoid_until: Moment,
    shed_until: Moment,
    health: Health,
    ejections: u32,
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

impl EndpointState {
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
            failure_run: 0,
            avoid_until: Moment::default(),
            shed_until: Moment::default(),
            health: Health::Normal,
            ejections: 0,
        }
    }

    pub(crate) fn latency(&self) -> Option<Duration> {
        self.latency
    }

    /// Returns the cost of one more request; see the settings for its parts.
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
        let load = f64::from(self.outstanding) + self.foreign_load(settings, now) + 1.0;
        load * ratio + self.recent_failures(settings, now) * settings.failure_penalty
    }

    /// Returns the latency relative to the median; at least 1 and decaying towards it.
    fn latency_ratio(&self, median: Option<Duration>, now: Moment) -> f64 {
        let (Some(own), Some(median)) = (self.latency, median) else {
            return 1.0;
        };
        let ratio = own.as_secs_f64() / median.as_secs_f64().max(f64::MIN_POSITIVE);
        let excess = (ratio.min(MAX_LATENCY_RATIO) - 1.0).max(0.0);
        1.0 + excess * decay(now.since(self.latency_at), LATENCY_HALF_LIFE)
    }

    fn foreign_load(&self, settings: &BalancerSettings, now: Moment) -> f64 {
        self.load.map_or(0.0, |load| {
            load.foreign * decay(now.since(load.at), settings.hint_decay)
        })
    }

    fn recent_failures(&self, settings: &BalancerSettings, now: Moment) -> f64 {
        self.failures * decay(now.since(self.failures_at), settings.failure_decay)
    }

    fn capacity(&self, now: Moment) -> f64 {
        let slots = self.endpoint.slots.max(1);
        let seen = self.load.filter(|load| now.since(load.at) < LIMIT_TIME);
        f64::from(seen.map_or(slots, |load| load.limit.clamp(1, slots)))
    }

    /// Tells whether the endpoint may get an attempt.
    pub(crate) fn is_usable(&self, now: Moment) -> bool {
        if now < self.avoid_until {
            return false;
        }
        match self.health {
            Health::Normal => true,
            Health::Ejected(until) => now >= until && self.outstanding == 0,
            Health::Probing(_) => self.outstanding == 0,
        }
    }

    pub(crate) fn is_ejected(&self, now: Moment) -> bool {
        matches!(self.health, Health::Ejected(until) if now < until)
    }

    /// Tells whether one more request would probably have to queue.
    pub(crate) fn is_saturated(&self, settings: &BalancerSettings, now: Moment) -> bool {
        let load = f64::from(self.outstanding) + self.foreign_load(settings, now);
        now < self.shed_until || load + 1.0 > (self.capacity(now) * SATURATION).max(1.0)
    }

    /// Tells whether a request that queues there is probably answered in time.
    pub(crate) fn answers_in(
        &self,
        time_left: Duration,
        settings: &BalancerSettings,
        now: Moment,
    ) -> bool {
        let Some(latency) = self.latency else {
            return now >= self.shed_until;
        };
        let load = f64::from(self.outstanding) + self.foreign_load(settings, now);
        let rounds = (load / self.capacity(now)).max(1.0);
        now >= self.shed_until && latency.mul_f64(rounds) <= time_left
    }

    pub(crate) fn start_attempt(&mut self, now: Moment) {
        self.outstanding += 1;
        if matches!(self.health, Health::Ejected(until) if now >= until) {
            self.health = Health::Probing(0);
        }
    }

    /// Learns from the end of an attempt; `may_eject` tells whether the share allows an ejection.
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
            self.learn_load(hint, now);
        }
        match report.outcome {
            AttemptOutcome::Answered => self.on_answer(report.latency, now),
            AttemptOutcome::Failed
            | AttemptOutcome::Refused(Reason::Connection | Reason::Internal) => {
                self.on_failure(settings, now);
            }
            AttemptOutcome::Refused(Reason::Overloaded) => self.shed_until = now + SHED_TIME,
            AttemptOutcome::Refused(
                Reason::Draining
                | Reason::DomainOut
                | Reason::NoUpstream
                | Reason::NoConfiguration
                | Reason::StaleConfiguration,
            ) => self.avoid_until = now + REFUSAL_TIME,
            // The request itself was at fault, or nothing was learned.
            AttemptOutcome::Refused(_) | AttemptOutcome::Cancelled => {}
        }
        if settings.eject_outliers {
            self.judge(report, median, may_eject, settings, now);
        }
    }

    fn learn_load(&mut self, hint: LoadHint, now: Moment) {
        let total = f64::from(hint.running) + f64::from(hint.queued);
        self.load = Some(SeenLoad {
            foreign: (total - f64::from(self.outstanding)).max(0.0),
            limit: u32::from(hint.limit),
            at: now,
        });
    }

    fn on_answer(&mut self, latency: Duration, now: Moment) {
        self.latency = Some(match self.latency {
            None => latency,
            Some(old) => old.mul_f64(1.0 - LATENCY_WEIGHT) + latency.mul_f64(LATENCY_WEIGHT),
        });
        self.latency_at = now;
        self.samples = self.samples.saturating_add(1);
        self.failure_run = 0;
    }

    fn on_failure(&mut self, settings: &BalancerSettings, now: Moment) {
        self.failures = self.recent_failures(settings, now) + 1.0;
        self.failures_at = now;
        self.failure_run = self.failure_run.saturating_add(1);
    }

    fn straggles(&self, latency: Duration, median: Option<Duration>) -> bool {
        median.is_some_and(|median| latency > median.mul_f64(STRAGGLER_RATIO))
    }

    /// Ejects the endpoint, or advances its probing.
    fn judge(
        &mut self,
        report: &AttemptReport,
        median: Option<Duration>,
        may_eject: bool,
        settings: &BalancerSettings,
        now: Moment,
    ) {
        let slow = self.samples >= STRAGGLER_SAMPLES
            && self.latency.is_some_and(|l| self.straggles(l, median));
        match self.health {
            Health::Normal if slow || self.failure_run >= FAILURES_TO_EJECT => {
                if may_eject {
                    self.eject(settings, now);
                }
            }
            Health::Probing(answers) => {
                let failed = self.judge_probe(answers, report, median);
                if failed && may_eject {
                    self.eject(settings, now);
                }
            }
            Health::Normal | Health::Ejected(_) => {}
        }
    }

    /// Advances the probing; returns whether the probe failed.
    fn judge_probe(
        &mut self,
        answers: u32,
        report: &AttemptReport,
        median: Option<Duration>,
    ) -> bool {
        match report.outcome {
            AttemptOutcome::Answered if !self.straggles(report.latency, median) => {
                if answers + 1 < PROBES {
                    self.health = Health::Probing(answers + 1);
                    return false;
                }
                self.health = Health::Normal;
                self.ejections = 0;
                false
            }
            AttemptOutcome::Answered | AttemptOutcome::Failed => {
                self.health = Health::Probing(0);
                true
            }
            AttemptOutcome::Refused(Reason::Connection | Reason::Internal) => true,
            AttemptOutcome::Refused(_) | AttemptOutcome::Cancelled => false,
        }
    }

    fn eject(&mut self, settings: &BalancerSettings, now: Moment) {
        let factor = 1_u32
            .checked_shl(self.ejections)
            .unwrap_or(MAX_EJECTION_FACTOR)
            .min(MAX_EJECTION_FACTOR);
        self.ejections = self.ejections.saturating_add(1);
        self.health = Health::Ejected(now + settings.ejection_time * factor);
        // Probes decide whether it returns; a penalty for the past would only keep them away.
        self.latency = None;
        self.samples = 0;
        self.failures = 0.0;
        self.failure_run = 0;
    }
}
