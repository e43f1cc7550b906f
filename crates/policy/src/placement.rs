//! Placement: ranks the upstreams of a service by the expected latency of a call and the cost of
//! its bytes.
//!
//! The upstreams of a service are spread over several failure domains and regions, and each is slow
//! for fractions of a second while other workloads load its VM. The expected latency at an upstream
//! covers the network, the queue, the slowdown and the recent failures of the upstream. The
//! slowdown is the factor by which calls currently take longer than their baseline duration, which
//! is their duration while the upstream runs at its normal speed. Load reports lose their weight
//! within about a second; an upstream without a recent report is assumed to be in an average state.
//!
//! Bytes between failure domains are metered. Penalties in milliseconds stand for their cost, so
//! that a large body leaves its failure domain only for an upstream that is faster by more than
//! that.
//!
//! Daemons with the same information, or with none, must not all choose the same upstream. Each
//! daemon therefore adds a random part to the expected latency, which is larger the less it knows
//! about the upstream.
//!
//! An upstream for which this daemon has no results counts as failing as often as the others of its
//! service. Otherwise a fault of all upstreams would send calls to ever more distant ones.
//!
//! The daemon for hosted platforms (crate `relay`) uses this placement; the general daemon (crate
//! `daemon`) uses [`Balancer`](crate::Balancer).

use std::time::Duration;

use cornelvalve_model::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use crate::failures::{CallResult, FailureRate, decay};

/// Slowdown assumed for an upstream without a recent load report, between that of normal and slow
/// periods.
const DEFAULT_SLOWDOWN: f64 = 2.2;

/// Expected remaining length of a slow period, after which calls run at normal speed again, in
/// milliseconds. Corresponds to `SLOW_PERIOD_REMAINING` of the gate.
const SLOW_PERIOD_REMAINING_MS: f64 = 250.0;

/// Time constant with which a load report from another region loses its weight.
const REMOTE_REPORT_TIME_CONSTANT: Duration = Duration::from_millis(300);

/// Time constant with which a load report from the own region loses its weight. It is longer than
/// for other regions because daemons of one region notify each other when their load changes much.
const REPORT_TIME_CONSTANT: Duration = Duration::from_millis(1000);

/// Penalty for each kilobyte that leaves the failure domain but not the region, in milliseconds.
const CROSS_DOMAIN_PENALTY_MS_PER_KB: f64 = 4.0;

/// Penalty for the request and response heads of a call that leaves the failure domain, in
/// milliseconds.
const CROSS_DOMAIN_CALL_PENALTY_MS: f64 = 8.0;

/// Penalty for each kilobyte that leaves the region, in milliseconds.
const CROSS_REGION_PENALTY_MS_PER_KB: f64 = 8.0;

/// Penalty for an upstream at which all calls fail, in milliseconds; scaled by the failure rate.
const FAILURE_PENALTY_MS: f64 = 1500.0;

/// Weight of the prior of zero failures in the average failure rate; an upstream with a fresh
/// result or load report has a weight of 1.
const NO_FAILURE_WEIGHT: f64 = 1.0;

/// Time for which an upstream is avoided after its VM has not responded; doubles with each
/// further call without a response.
const UNRESPONSIVE_PENALTY: Duration = Duration::from_millis(500);

/// Largest number of doublings of [`UNRESPONSIVE_PENALTY`].
const MAX_PENALTY_DOUBLINGS: u32 = 3;

/// Largest random part of the expected latency at an upstream with a fresh load report, as a
/// fraction of the baseline duration of the call.
const KNOWN_JITTER: f64 = 0.05;

/// Largest random part of the expected latency at an upstream without a recent load report, as a
/// fraction of the baseline duration of the call.
const UNKNOWN_JITTER: f64 = 0.3;

/// Ratio between two slowdowns from which the change is significant.
const SIGNIFICANT_SLOWDOWN_RATIO: f64 = 1.4;

/// Difference between two failure rates above which the change is significant.
const SIGNIFICANT_FAILURE_RATE_CHANGE: f64 = 0.04;

/// Ratio between two limits on the calls per second from which the change is significant.
const SIGNIFICANT_LIMIT_RATIO: f64 = 1.2;

/// Calls per second below which two limits count as equal.
const MIN_LIMIT_PER_SECOND: f64 = 0.01;

/// Time for which a limit on the calls per second is remembered. After it, a call finds out whether
/// the limit is still in force, as no report tells daemons of other regions that it has ended.
const LIMIT_MEMORY: Duration = Duration::from_secs(2);

/// Wait assumed at an upstream that accepts no calls, in milliseconds. It ranks after all others.
const NO_START_WAIT_MS: f64 = 3_600_000.0;

/// Network distance between this daemon and an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The upstream on the VM of this daemon.
    Local,
    /// Another VM of the same failure domain.
    SameDomain,
    /// Another failure domain of the same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

impl Distance {
    /// Returns the expected time for a call and its answer to cross the network, in milliseconds.
    #[must_use]
    pub fn round_trip_ms(self) -> f64 {
        match self {
            Self::Local => 0.0,
            Self::SameDomain => 1.0,
            Self::SameRegion => 4.0,
            Self::OtherRegion => 62.0,
        }
    }

    /// Returns the penalty for moving the bytes of a call over this distance, in milliseconds.
    fn bytes_penalty_ms(self, bytes: usize) -> f64 {
        let kilobytes = bytes as f64 / 1000.0;
        match self {
            Self::Local | Self::SameDomain => 0.0,
            Self::SameRegion => {
                CROSS_DOMAIN_CALL_PENALTY_MS + kilobytes * CROSS_DOMAIN_PENALTY_MS_PER_KB
            }
            Self::OtherRegion => {
                CROSS_DOMAIN_CALL_PENALTY_MS + kilobytes * CROSS_REGION_PENALTY_MS_PER_KB
            }
        }
    }
}

/// Load of an upstream as reported by the daemon on its VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of running calls.
    pub running: u16,
    /// Number of waiting calls.
    pub waiting: u16,
    /// Number of calls that may run at once.
    pub slots: u16,
    /// Factor by which calls now take longer than their baseline duration.
    pub slowdown: f64,
    /// Fraction of the recent calls that failed.
    pub failure_rate: f64,
    /// Whether the upstream is cold: it has started recently and still runs slowly.
    pub cold: bool,
    /// Limit on its calls that the upstream names; `None` if it names none.
    pub rate_limit: Option<LoadRateLimit>,
}

/// Limit on the calls per second at an upstream, as part of a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadRateLimit {
    /// Calls per second that the upstream accepts.
    pub per_second: f64,
    /// Time until it accepts another call after those that wait, in milliseconds.
    pub wait_ms: f64,
}

impl LoadRateLimit {
    /// Returns the time until the upstream accepts a call, `elapsed` after the report and after
    /// `ahead` calls that it does not include, in milliseconds.
    fn wait_ms(&self, ahead: u16, elapsed: Duration) -> f64 {
        if self.per_second <= 0.0 {
            return NO_START_WAIT_MS;
        }
        let ahead_ms = f64::from(ahead) * 1000.0 / self.per_second;
        (self.wait_ms + ahead_ms - elapsed.as_secs_f64() * 1000.0).max(0.0)
    }

    /// Returns whether the limit differs so much from `old` that daemons that know the old one
    /// should be notified.
    fn is_significant_change_from(&self, old: &Self) -> bool {
        let ratio = self.per_second / old.per_second.max(MIN_LIMIT_PER_SECOND);
        !(1.0 / SIGNIFICANT_LIMIT_RATIO..=SIGNIFICANT_LIMIT_RATIO).contains(&ratio)
    }
}

impl LoadReport {
    /// Returns whether this load differs so much from `old` that daemons that know the old one
    /// should be notified.
    #[must_use]
    pub fn is_significant_change_from(&self, old: &Self) -> bool {
        let ratio = self.slowdown / old.slowdown.max(0.01);
        let has_queue = |load: &Self| load.waiting > 0;
        !(1.0 / SIGNIFICANT_SLOWDOWN_RATIO..=SIGNIFICANT_SLOWDOWN_RATIO).contains(&ratio)
            || self.cold != old.cold
            || self.has_other_limit(old)
            || (self.failure_rate - old.failure_rate).abs() > SIGNIFICANT_FAILURE_RATE_CHANGE
            // A queue that forms or empties is significant, unless only a single call waits.
            || (has_queue(self) != has_queue(old) && self.waiting != 1)
    }

    /// Returns whether the limit on calls appeared, ended or changed significantly since `old`.
    fn has_other_limit(&self, old: &Self) -> bool {
        match (&self.rate_limit, &old.rate_limit) {
            (Some(limit), Some(old)) => limit.is_significant_change_from(old),
            (limit, old) => limit.is_some() != old.is_some(),
        }
    }
}

/// Upstream as a target of placement, with what this daemon knows about it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementTarget {
    /// Network distance between this daemon and the upstream.
    pub distance: Distance,
    /// Whether failure detection suspects the daemon of the upstream because it missed probes.
    /// Unrelated to crash suspects, which are requests.
    pub suspected: bool,
    report: LoadReport,
    /// Moment at which `report` was received; `None` if there is no report yet.
    reported_at: Option<Moment>,
    /// Number of calls of this daemon that were sent to the upstream and have not ended.
    outstanding: u16,
    /// Number of the outstanding calls that were sent since the last report.
    unreported: u16,
    failures: FailureRate,
    /// Number of consecutive calls without a response from the VM.
    unresponsive_calls: u32,
    avoid_until: Moment,
}

impl PlacementTarget {
    /// Creates a target about which nothing but its distance is known.
    #[must_use]
    pub fn new(distance: Distance) -> Self {
        Self {
            distance,
            suspected: false,
            report: LoadReport::default(),
            reported_at: None,
            outstanding: 0,
            unreported: 0,
            failures: FailureRate::default(),
            unresponsive_calls: 0,
            avoid_until: Moment::default(),
        }
    }

    /// Records a load report of the upstream.
    pub fn record_report(&mut self, report: LoadReport, now: Moment) {
        self.report = report;
        self.reported_at = Some(now);
        self.unreported = 0;
    }

    /// Records that a call was sent to the upstream.
    pub fn record_sent(&mut self) {
        self.outstanding = self.outstanding.saturating_add(1);
        self.unreported = self.unreported.saturating_add(1);
    }

    /// Records the outcome of a call that was sent to the upstream.
    pub fn record_outcome(&mut self, outcome: TargetOutcome, now: Moment) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.unreported = self.unreported.saturating_sub(1);
        match outcome {
            TargetOutcome::Finished(result) => {
                self.failures.record(result, now);
                self.unresponsive_calls = 0;
            }
            TargetOutcome::Unresponsive => {
                let doublings = self.unresponsive_calls.min(MAX_PENALTY_DOUBLINGS);
                self.avoid_until = now + UNRESPONSIVE_PENALTY * (1 << doublings);
                self.unresponsive_calls += 1;
            }
            TargetOutcome::Inconclusive => {}
        }
    }

    /// Returns whether the upstream is suspected, or its VM has recently not responded.
    #[must_use]
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.suspected || now < self.avoid_until
    }

    /// Returns the weight of the last load report: one when it is fresh, zero if there is none.
    fn report_weight(&self, now: Moment) -> f64 {
        let time_constant = match self.distance {
            Distance::OtherRegion => REMOTE_REPORT_TIME_CONSTANT,
            _ => REPORT_TIME_CONSTANT,
        };
        self.reported_at
            .map_or(0.0, |at| decay(now.since(at), time_constant))
    }

    /// Returns the estimated failure rate of calls at this upstream.
    ///
    /// Results of this daemon count most, then the rate that the daemon of the upstream reported.
    /// To the extent that both are missing or old, the estimate falls back to `average`, the
    /// failure rate at all targets.
    fn estimated_failure_rate(&self, average: f64, now: Moment) -> f64 {
        let weight = self.report_weight(now);
        let reported = self.report.failure_rate * weight + average * (1.0 - weight);
        self.failures.rate(reported, now)
    }

    /// Returns the expected time until the limit that the upstream names allows a call, in
    /// milliseconds.
    ///
    /// Unlike the rest of a load report, the limit does not lose its weight with time while it is
    /// remembered.
    #[must_use]
    pub fn limit_wait_ms(&self, now: Moment) -> f64 {
        let reported = self.report.rate_limit.zip(self.reported_at);
        let remembered = reported.filter(|(_, at)| now.since(*at) < LIMIT_MEMORY);
        remembered.map_or(0.0, |(limit, at)| {
            limit.wait_ms(self.unreported, now.since(at))
        })
    }

    /// Returns the largest random part of the expected latency, in milliseconds.
    fn max_jitter_ms(&self, call: &CallCost, now: Moment) -> f64 {
        let unknown = 1.0 - self.report_weight(now);
        call.work_ms * (KNOWN_JITTER + (UNKNOWN_JITTER - KNOWN_JITTER) * unknown)
    }

    /// Returns the expected latency of a call at this upstream including all penalties, in
    /// milliseconds.
    ///
    /// `average_failure_rate` is the failure rate at all targets.
    #[must_use]
    fn expected_ms(&self, call: &CallCost, average_failure_rate: f64, now: Moment) -> f64 {
        let weight = self.report_weight(now);
        let slowdown = DEFAULT_SLOWDOWN + (self.report.slowdown - DEFAULT_SLOWDOWN) * weight;
        let slots = f64::from(self.report.slots.max(1));
        let reported = f64::from(self.report.running + self.report.waiting) * weight;
        // The report does not include the calls that this daemon has sent since.
        let busy = (reported + f64::from(self.unreported)).max(f64::from(self.outstanding));
        let queue = (busy + 1.0 - slots).max(0.0) / slots;
        // A busy upstream ranks below an idle one even before it queues: its slots may be full when
        // the call arrives.
        let utilization = 0.15 * (busy / slots).min(1.0);
        // A cold upstream is expected to take twice as long.
        let cold = if self.report.cold { 2.0 } else { 1.0 };
        let work_ms = call.work_ms * cold * (1.0 + queue + utilization);
        (work_ms * slowdown).min(work_ms + SLOW_PERIOD_REMAINING_MS)
            + self.limit_wait_ms(now)
            + self.distance.round_trip_ms()
            + self.distance.bytes_penalty_ms(call.bytes)
            + self.estimated_failure_rate(average_failure_rate, now) * FAILURE_PENALTY_MS
    }
}

/// Expected cost of a call that is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct CallCost {
    /// Baseline duration of the call, in milliseconds.
    pub work_ms: f64,
    /// Size of the request and response bodies together, in bytes.
    pub bytes: usize,
}

/// Outcome of a call, as far as it says something about the upstream to which the call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The call ended with this result, which the upstream caused.
    Finished(CallResult),
    /// The VM of the upstream did not respond.
    Unresponsive,
    /// The outcome says nothing about the upstream, for example after a cancellation.
    Inconclusive,
}

/// Targets in the order in which they should be tried.
pub type TargetRanking = SmallVec<[RankedTarget; 8]>;

/// Target with its expected latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankedTarget {
    /// Index of the target in the slice that was ranked.
    pub index: usize,
    /// Expected latency of the call at this target including all penalties, in milliseconds.
    pub expected_ms: f64,
}

/// Policy that ranks the targets of a call.
pub trait Placement: Send + Sync {
    /// Returns the targets in the order in which the call should try them, best first.
    fn order(&mut self, targets: &[PlacementTarget], call: &CallCost, now: Moment)
    -> TargetRanking;
}

/// Ranks targets by the expected latency of the call, with unresponsive ones last.
#[derive(Clone, Debug)]
pub struct LowestLatencyPlacement {
    rng: SmallRng,
}

impl LowestLatencyPlacement {
    /// Creates the policy of one daemon.
    ///
    /// Daemons need different seeds so that they do not all choose the same target.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
        }
    }
}

impl Placement for LowestLatencyPlacement {
    fn order(
        &mut self,
        targets: &[PlacementTarget],
        call: &CallCost,
        now: Moment,
    ) -> TargetRanking {
        let failure_rate = average_failure_rate(targets, now);
        let ranked = targets.iter().enumerate().map(|(index, target)| {
            let expected_ms = target.expected_ms(call, failure_rate, now);
            let jitter = target.max_jitter_ms(call, now) * self.rng.random::<f64>();
            let rank = (target.is_avoided(now), expected_ms + jitter);
            (rank, RankedTarget { index, expected_ms })
        });
        let mut ranked: SmallVec<[_; 8]> = ranked.collect();
        ranked.sort_by(|((a_avoided, a_ms), _), ((b_avoided, b_ms), _)| {
            a_avoided.cmp(b_avoided).then(a_ms.total_cmp(b_ms))
        });
        ranked.into_iter().map(|(_, ranked)| ranked).collect()
    }
}

/// Ranks targets in turn, regardless of their state. Only tests use this policy, for comparison.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobinPlacement {
    next: usize,
}

impl Placement for RoundRobinPlacement {
    fn order(
        &mut self,
        targets: &[PlacementTarget],
        call: &CallCost,
        now: Moment,
    ) -> TargetRanking {
        self.next = self.next.wrapping_add(1);
        let count = targets.len();
        let indices = (0..count).map(|i| (i + self.next) % count.max(1));
        let failure_rate = average_failure_rate(targets, now);
        indices
            .map(|index| RankedTarget {
                index,
                expected_ms: targets[index].expected_ms(call, failure_rate, now),
            })
            .collect()
    }
}

/// Returns the average failure rate at the targets, which belong to one service, according to
/// recent results and load reports.
fn average_failure_rate(targets: &[PlacementTarget], now: Moment) -> f64 {
    let (mut failures, mut weights) = (0.0, NO_FAILURE_WEIGHT);
    for target in targets {
        let weight = target.failures.weight(now).max(target.report_weight(now));
        failures += target.estimated_failure_rate(0.0, now);
        weights += weight;
    }
    failures / weights
}
