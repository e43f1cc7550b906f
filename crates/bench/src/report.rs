//! Report of a run, which can be written as JSON.

use std::collections::BTreeMap;
use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

use crate::{Experiment, Placement};

/// Properties of the machine on which a run took place. Its name is left out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Machine {
    /// Number of cores that the process may use.
    pub cores: usize,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Load average over the minute before the run. If it is higher than the load of this tool
    /// itself, other programs were using the machine.
    pub load_before: f64,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests of the measured time: the sum of the counts below except `late`.
    pub sent: u64,
    /// Requests with a complete response of an upstream and a success status.
    pub completed: u64,
    /// Requests with a complete response of an upstream and another status.
    pub failed: u64,
    /// Requests that a daemon refused as not run.
    pub refused: u64,
    /// Requests that may have run, according to the response of a daemon.
    pub unknown: u64,
    /// Requests without a complete response, because the connection broke or none came in time.
    pub broken: u64,
    /// Completed requests whose response came after the deadline.
    pub late: u64,
}

/// Latencies of completed requests in microseconds, measured from the scheduled time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Mean.
    pub mean_us: f64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// Results of one kind of request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KindReport {
    /// Name of the request kind.
    pub name: String,
    /// Number of its requests by outcome.
    pub counts: Counts,
    /// Latencies of its completed requests.
    pub latency: Latency,
}

/// Results of one time window of 100 ms.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Window {
    /// Start of the window, in milliseconds since the start of the measurement.
    pub start_ms: u64,
    /// Number of the requests that were scheduled in the window, by outcome.
    pub counts: Counts,
    /// 99th percentile of the latencies of completed requests, in microseconds.
    pub p99_us: u64,
}

/// Scripted event and its effect.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventReport {
    /// Time of the event, in milliseconds since the start of the measurement.
    pub at_ms: u64,
    /// Short description of the event.
    pub event: String,
    /// Time in milliseconds from the event to the first of 10 consecutive windows without lost
    /// requests and with a p99 of at most 1.5 times the median p99 before the first event. `None`
    /// if there were none before the next event or the end.
    pub settled_ms: Option<u64>,
    /// Number of requests that the upstream of each VM began between this event and the next one or
    /// the end; zero unless runs are tracked, and empty if the script was not applied to the
    /// variant.
    pub runs: Vec<u64>,
    /// Error of an event that had no effect.
    pub problem: Option<String>,
    /// Number of requests by outcome between this event and the next one or the end.
    pub counts: Counts,
}

/// Concurrency of one upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// Index of the VM.
    pub vm: usize,
    /// Number of requests that the upstream is meant to run concurrently.
    pub slots: u16,
    /// Highest number of concurrent requests.
    pub peak: u32,
    /// Highest number of concurrent requests during a cold start.
    pub peak_cold: u32,
    /// Number of requests that began while all slots were in use.
    pub overruns: u64,
}

/// Control traffic and resource usage of one daemon during the measurement. Control traffic is what
/// daemons send besides the requests of callers, such as probes and configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlReport {
    /// Index of the VM.
    pub vm: usize,
    /// Control bytes sent per second by traffic class. Bytes of the class `region-link` are also
    /// counted in another class.
    pub sent_rate: BTreeMap<String, f64>,
    /// Control bytes dropped per second by traffic class.
    pub dropped_rate: BTreeMap<String, f64>,
    /// CPU time of the process as a fraction of one core; only for daemons in separate processes.
    pub cpu_share: Option<f64>,
    /// Voluntary context switches of all threads per second; only for daemons in separate
    /// processes.
    pub switch_rate: Option<f64>,
    /// Resident memory at the end in KiB; only for daemons in separate processes.
    pub rss_kib: Option<u64>,
}

/// Results of one variant.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VariantReport {
    /// Name of the variant.
    pub name: String,
    /// Number of its requests by outcome.
    pub counts: Counts,
    /// Latencies of all kinds together.
    pub latency: Latency,
    /// Results by request kind.
    pub kinds: Vec<KindReport>,
    /// Number of refused, unknown and broken requests by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Number of requests that were refused as not run although an upstream ran them; `None` unless
    /// runs are tracked.
    pub false_refusals: Option<u64>,
    /// Number of at-most-once requests that ran more than once; `None` unless runs are tracked and
    /// all services of the mix are at-most-once.
    pub repeated: Option<u64>,
    /// Concurrency of the upstreams; empty for direct calls.
    pub upstreams: Vec<UpstreamReport>,
    /// Control traffic and resource usage of the daemons; empty for direct calls.
    pub control: Vec<ControlReport>,
    /// Results by time window; empty without a script.
    pub windows: Vec<Window>,
    /// Effects of the scripted events; empty without a script.
    pub events: Vec<EventReport>,
}

/// Report of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Start of the run, in seconds since the Unix epoch.
    pub started_s: u64,
    /// Machine on which the run took place.
    pub machine: Machine,
    /// Request rate of each variant per second.
    pub rate: f64,
    /// Measured time of each variant in milliseconds.
    pub duration_ms: u64,
    /// Length of the time slices in which the variants took turns, in milliseconds; 0 if they ran
    /// side by side.
    pub slice_ms: u64,
    /// Where the daemons ran.
    pub placement: Placement,
    /// Results of the variants, in the order of the experiment.
    pub variants: Vec<VariantReport>,
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.sent += other.sent;
        self.completed += other.completed;
        self.failed += other.failed;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.broken += other.broken;
        self.late += other.late;
    }
}

impl Counts {
    /// Returns the number of failed, refused, unknown and broken requests. The table calls them
    /// lost.
    #[must_use]
    pub fn not_completed(&self) -> u64 {
        self.failed + self.refused + self.unknown + self.broken
    }
}

impl Report {
    /// Returns a description of each inconsistency between the numbers of the report. Tests check
    /// that there is none.
    #[must_use]
    pub fn inconsistencies(&self) -> Vec<String> {
        let mut found = Vec::new();
        for variant in &self.variants {
            let Counts {
                sent, completed, ..
            } = variant.counts;
            if completed + variant.counts.not_completed() != sent {
                found.push(format!(
                    "{}: outcomes do not add up to {sent}",
                    variant.name
                ));
            }
            let kinds: u64 = variant.kinds.iter().map(|k| k.counts.sent).sum();
            if kinds != sent {
                found.push(format!(
                    "{}: kinds add up to {kinds}, not {sent}",
                    variant.name
                ));
            }
            let reasons: u64 = variant.reasons.values().sum();
            let with_reason = variant.counts.not_completed() - variant.counts.failed;
            if reasons != with_reason {
                found.push(format!(
                    "{}: {reasons} reasons, {with_reason} refused, unknown or broken",
                    variant.name
                ));
            }
            let l = variant.latency;
            let ordered = [l.p50_us, l.p90_us, l.p99_us, l.p999_us, l.max_us];
            if !ordered.is_sorted() {
                found.push(format!("{}: quantiles are not ascending", variant.name));
            }
        }
        found
    }
}

impl Report {
    pub(crate) fn new(experiment: &Experiment, machine: Machine, started_s: u64) -> Self {
        Self {
            experiment: experiment.name.clone(),
            started_s,
            machine,
            rate: experiment.rate,
            duration_ms: experiment.duration_ms,
            slice_ms: experiment.slice_ms,
            placement: experiment.placement,
            variants: Vec::new(),
        }
    }
}
