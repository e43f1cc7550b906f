//! Choice of an upstream by the expected end of a call and the cost of its bytes.
//!
//! Answers the load of services whose upstreams stand in several failure domains and regions, each
//! slowed for parts of a second by its neighbours. Every place is judged by the time after which
//! the call would end there: the network, the queue, the present slowdown of the upstream, and what
//! is known of its failures. What was heard of another VM grows old within a fraction of a second
//! and then counts as the usual state. Bytes between failure domains are metered, so a large body
//! stays near by unless the other place is much better. Daemons that have heard the same, or
//! nothing, choose differently: each adds a random part to what it expects, larger where less is
//! known, so that they do not all send to one upstream at once. A place without results of its own
//! counts as failing as often as the others of its service, so that a fault of all of them does not
//! send calls ever farther away.

use std::time::Duration;

use cornelvalve_model::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use crate::failures::{CallResult, FailureRate, fade};

/// Slowdown expected of an upstream of which nothing recent is known.
const USUAL_SLOWDOWN: f64 = 2.2;

/// Expected rest of a slow time in milliseconds, after which work takes its usual time again.
const SLOW_REST_MS: f64 = 250.0;

/// Age at which a report from another region has lost most of its worth.
const REMOTE_REPORT_LIFE: Duration = Duration::from_millis(300);

/// Age at which a report from the own region has lost most of its worth; daemons of a region tell
/// each other when their load changes much.
const REPORT_LIFE: Duration = Duration::from_millis(1000);

/// Added time for each kilobyte that leaves the failure domain, in milliseconds.
const DOMAIN_KILOBYTE_MS: f64 = 4.0;

/// Added time for the heads of a call that leaves the failure domain, in milliseconds.
const CALL_MS: f64 = 8.0;

/// Added time for each kilobyte that leaves the region, in milliseconds.
const REGION_KILOBYTE_MS: f64 = 8.0;

/// Added time at an upstream whose calls all fail, in milliseconds.
const FAILURE_MS: f64 = 1500.0;

/// Weight of the assumption that nothing fails, against one recent result.
const NO_FAILURE_WEIGHT: f64 = 1.0;

/// Time for which an upstream that gave no sign of life is avoided; doubles with each repeat.
const SILENCE_PENALTY: Duration = Duration::from_millis(500);

/// Largest number of doublings of [`SILENCE_PENALTY`].
const MAX_SILENCE_DOUBLINGS: u32 = 3;

/// Largest random part of the expected time of a place whose state is known, as a share of the
/// work.
const KNOWN_SPREAD: f64 = 0.05;

/// Largest random part of the expected time of a place of which nothing recent is known, as a share
/// of the work.
const UNKNOWN_SPREAD: f64 = 0.3;

/// Ratio of two slowdowns that neighbours should hear of.
const NEWS_RATIO: f64 = 1.4;

/// Difference of two shares of failures that neighbours should hear of.
const NEWS_FAILURES: f64 = 0.04;

/// Network between this daemon and an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The upstream beside this daemon.
    Local,
    /// Another VM of the failure domain.
    SameDomain,
    /// Another failure domain of the region.
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

    fn bytes_ms(self, bytes: usize) -> f64 {
        let kilobytes = bytes as f64 / 1000.0;
        match self {
            Self::Local | Self::SameDomain => 0.0,
            Self::SameRegion => CALL_MS + kilobytes * DOMAIN_KILOBYTE_MS,
            Self::OtherRegion => CALL_MS + kilobytes * REGION_KILOBYTE_MS,
        }
    }
}

/// Load of an upstream as its daemon reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Calls that run.
    pub running: u16,
    /// Calls that wait.
    pub waiting: u16,
    /// Calls that may run at once.
    pub slots: u16,
    /// How many times longer than usual work takes.
    pub slowdown: f64,
    /// Share of its recent calls that failed.
    pub failure_rate: f64,
    /// Whether the upstream is cold.
    pub cold: bool,
}

impl LoadReport {
    /// Tells whether daemons that were told `old` should hear of this load.
    #[must_use]
    pub fn is_significant_change_from(&self, old: &Self) -> bool {
        let ratio = self.slowdown / old.slowdown.max(0.01);
        let crowded = |load: &Self| load.waiting > 0;
        !(1.0 / NEWS_RATIO..=NEWS_RATIO).contains(&ratio)
            || self.cold != old.cold
            || (self.failure_rate - old.failure_rate).abs() > NEWS_FAILURES
            || (crowded(self) != crowded(old) && self.waiting != 1)
    }
}

/// What this daemon has seen of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct PlacementTarget {
    /// Network between this daemon and the upstream.
    pub distance: Distance,
    /// Whether the daemon there missed probes.
    pub suspected: bool,
    report: LoadReport,
    reported: Option<Moment>,
    /// Calls of this daemon that are on their way or run there.
    outstanding: u16,
    /// Of these, the ones sent since the last report.
    unreported: u16,
    failures: FailureRate,
    silences: u32,
    avoid_until: Moment,
}

impl PlacementTarget {
    /// Creates a place of which nothing is known.
    #[must_use]
    pub fn new(distance: Distance) -> Self {
        Self {
            distance,
            suspected: false,
            report: LoadReport::default(),
            reported: None,
            outstanding: 0,
            unreported: 0,
            failures: FailureRate::default(),
            silences: 0,
            avoid_until: Moment::default(),
        }
    }

    /// Notes a report of the upstream's load.
    pub fn record_report(&mut self, report: LoadReport, now: Moment) {
        self.report = report;
        self.reported = Some(now);
        self.unreported = 0;
    }

    /// Notes that a call was sent there.
    pub fn record_sent(&mut self) {
        self.outstanding = self.outstanding.saturating_add(1);
        self.unreported = self.unreported.saturating_add(1);
    }

    /// Notes the end of a call that was sent there.
    pub fn record_outcome(&mut self, end: TargetOutcome, now: Moment) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.unreported = self.unreported.saturating_sub(1);
        match end {
            TargetOutcome::Finished(result) => {
                self.failures.record(result, now);
                self.silences = 0;
            }
            TargetOutcome::Unresponsive => {
                let doublings = self.silences.min(MAX_SILENCE_DOUBLINGS);
                self.avoid_until = now + SILENCE_PENALTY * (1 << doublings);
                self.silences += 1;
            }
            TargetOutcome::Inconclusive => {}
        }
    }

    /// Tells whether the upstream gave no sign of life a short time ago.
    #[must_use]
    pub fn is_avoided(&self, now: Moment) -> bool {
        self.suspected || now < self.avoid_until
    }

    /// Returns how much of the last report still holds: one when it is fresh, zero without one.
    fn known(&self, now: Moment) -> f64 {
        let life = match self.distance {
            Distance::OtherRegion => REMOTE_REPORT_LIFE,
            _ => REPORT_LIFE,
        };
        self.reported.map_or(0.0, |at| fade(now.since(at), life))
    }

    /// Returns the share of calls that fail here: by own results, then by what the daemon there
    /// reported, then by `usual`, the share at the other places.
    fn failures(&self, usual: f64, now: Moment) -> f64 {
        let known = self.known(now);
        let reported = self.report.failure_rate * known + usual * (1.0 - known);
        self.failures.rate(reported, now)
    }

    /// Returns the largest random part of the expected time, in milliseconds.
    fn spread_ms(&self, work: &CallCost, now: Moment) -> f64 {
        let unknown = 1.0 - self.known(now);
        work.work_ms * (KNOWN_SPREAD + (UNKNOWN_SPREAD - KNOWN_SPREAD) * unknown)
    }

    /// Returns the time after which a call is expected to end here, in milliseconds.
    ///
    /// `usual_failures` is the share of calls that fail at the other places.
    #[must_use]
    fn expected_ms(&self, work: &CallCost, usual_failures: f64, now: Moment) -> f64 {
        let known = self.known(now);
        let slowdown = USUAL_SLOWDOWN + (self.report.slowdown - USUAL_SLOWDOWN) * known;
        let slots = f64::from(self.report.slots.max(1));
        let reported = f64::from(self.report.running + self.report.waiting) * known;
        let busy = (reported + f64::from(self.unreported)).max(f64::from(self.outstanding));
        let queue = (busy + 1.0 - slots).max(0.0) / slots;
        // A busy upstream is worse than an idle one even before it queues: its slots may be full
        // when the call arrives.
        let crowding = 0.15 * (busy / slots).min(1.0);
        let cold = if self.report.cold { 2.0 } else { 1.0 };
        let work_ms = work.work_ms * cold * (1.0 + queue + crowding);
        (work_ms * slowdown).min(work_ms + SLOW_REST_MS)
            + self.distance.round_trip_ms()
            + self.distance.bytes_ms(work.bytes)
            + self.failures(usual_failures, now) * FAILURE_MS
    }
}

/// Call to be placed.
#[derive(Clone, Copy, Debug)]
pub struct CallCost {
    /// Work at usual speed, in milliseconds.
    pub work_ms: f64,
    /// Bytes of the bodies of request and response together.
    pub bytes: usize,
}

/// How a call at a place ended, as far as the place is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The upstream answered, failed or refused the call.
    Finished(CallResult),
    /// Nothing was heard of the VM.
    Unresponsive,
    /// The end says nothing about the place.
    Inconclusive,
}

/// Order in which places should be tried.
pub type TargetRanking = SmallVec<[RankedTarget; 8]>;

/// Place with its expected end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankedTarget {
    /// Index of the place among those that were given.
    pub index: usize,
    /// Time after which the call is expected to end there, in milliseconds.
    pub expected_ms: f64,
}

/// Policy that orders places.
pub trait Placement: Send + Sync {
    /// Returns the places, best first. Places that gave no sign of life come last.
    fn order(&mut self, places: &[PlacementTarget], work: &CallCost, now: Moment) -> TargetRanking;
}

/// Orders places by the expected end of the call.
#[derive(Clone, Debug)]
pub struct LowestLatencyPlacement {
    rng: SmallRng,
}

impl LowestLatencyPlacement {
    /// Creates the policy of one daemon; daemons with different seeds choose differently.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
        }
    }
}

impl Placement for LowestLatencyPlacement {
    fn order(&mut self, places: &[PlacementTarget], work: &CallCost, now: Moment) -> TargetRanking {
        let failures = usual_failures(places, now);
        let ranked = places.iter().enumerate().map(|(index, place)| {
            let expected_ms = place.expected_ms(work, failures, now);
            let spread = place.spread_ms(work, now) * self.rng.random::<f64>();
            let rank = (place.is_avoided(now), expected_ms + spread);
            (rank, RankedTarget { index, expected_ms })
        });
        let mut ranked: SmallVec<[_; 8]> = ranked.collect();
        ranked.sort_by(|((a_avoided, a_ms), _), ((b_avoided, b_ms), _)| {
            a_avoided.cmp(b_avoided).then(a_ms.total_cmp(b_ms))
        });
        ranked.into_iter().map(|(_, ranked)| ranked).collect()
    }
}

/// Orders places in turn; the baseline that measurements compare with.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobinPlacement {
    next: usize,
}

impl Placement for RoundRobinPlacement {
    fn order(&mut self, places: &[PlacementTarget], work: &CallCost, now: Moment) -> TargetRanking {
        self.next = self.next.wrapping_add(1);
        let count = places.len();
        let indices = (0..count).map(|i| (i + self.next) % count.max(1));
        let failures = usual_failures(places, now);
        indices
            .map(|index| RankedTarget {
                index,
                expected_ms: places[index].expected_ms(work, failures, now),
            })
            .collect()
    }
}

/// Returns the share of calls that fail at places of one service, as far as recent results and
/// reports tell.
fn usual_failures(places: &[PlacementTarget], now: Moment) -> f64 {
    let (mut failures, mut known) = (0.0, NO_FAILURE_WEIGHT);
    for place in places {
        let weight = place.failures.known(now).max(place.known(now));
        failures += place.failures(0.0, now);
        known += weight;
    }
    failures / known
}
