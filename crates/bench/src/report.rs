//! Report of a run, written as JSON.

use std::collections::BTreeMap;
use std::ops::AddAssign;

use serde::{Deserialize, Serialize};

use crate::{Experiment, Placement};

/// Machine on which a run took place, without its name.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Machine {
    /// Cores that the process may use.
    pub cores: usize,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Load average over one minute before the run; above the tool's own load, others worked too.
    pub load_before: f64,
}

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were due; the sum of those below except `late`.
    pub sent: u64,
    /// Complete answers without a server error.
    pub completed: u64,
    /// Complete answers of upstreams with a server error.
    pub failed: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Answered with the outcome `unknown`.
    pub unknown: u64,
    /// Broken connections, cut answers and requests without an answer.
    pub broken: u64,
    /// Completed after the deadline.
    pub late: u64,
}

/// Latencies of completed requests from the intended moment, in microseconds.
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
    /// Largest.
    pub max_us: u64,
}

/// Figures of one kind of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KindReport {
    /// Name of the kind.
    pub name: String,
    /// What became of its requests.
    pub counts: Counts,
    /// Their latencies.
    pub latency: Latency,
}

/// Figures of one window of 100 ms.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Window {
    /// Start since the beginning of the measurement.
    pub start_ms: u64,
    /// What became of the requests that were due in it.
    pub counts: Counts,
    /// 99th percentile of their latencies.
    pub p99_us: u64,
}

/// Scripted event and what followed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventReport {
    /// Time since the beginning of the measurement.
    pub at_ms: u64,
    /// What happened.
    pub event: String,
    /// Time until 10 windows in a row had no loss and a p99 within 1.5 times the one before the
    /// first event; `None` if that did not happen before the next event or the end.
    pub settled_ms: Option<u64>,
    /// Requests that each VM began between this event and the next, or the end; empty unless runs
    /// are tracked.
    pub runs: Vec<u64>,
    /// Why the event had no effect, if it had none.
    pub problem: Option<String>,
    /// What became of the requests between this event and the next, or the end.
    pub counts: Counts,
}

/// Concurrency at one upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// Index of the VM.
    pub vm: usize,
    /// Slots.
    pub slots: u16,
    /// Most requests that ran at once.
    pub peak: u32,
    /// Most requests that ran at once during a cold start.
    pub peak_cold: u32,
    /// Requests that began while all slots were taken.
    pub overruns: u64,
}

/// Cost of control of one daemon during the measurement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlReport {
    /// Index of the VM.
    pub vm: usize,
    /// Bytes sent per second by class; `region-link` is part of the others.
    pub sent_rate: BTreeMap<String, f64>,
    /// Bytes dropped per second by class.
    pub dropped_rate: BTreeMap<String, f64>,
    /// Share of one core, of the whole process; only for daemons in processes.
    pub cpu_share: Option<f64>,
    /// Waits of all threads per second; only for daemons in processes.
    pub switch_rate: Option<f64>,
    /// Resident memory at the end in KiB; only for daemons in processes.
    pub rss_kib: Option<u64>,
}

/// Figures of one variant.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VariantReport {
    /// Name of the variant.
    pub name: String,
    /// What became of its requests.
    pub counts: Counts,
    /// Latencies of all kinds together.
    pub latency: Latency,
    /// Each kind.
    pub kinds: Vec<KindReport>,
    /// Refusals and failures by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Requests refused as not run that an upstream did run; `None` unless runs are tracked.
    pub false_refusals: Option<u64>,
    /// At-most-once requests that ran more than once; `None` unless runs are tracked.
    pub repeated: Option<u64>,
    /// Upstreams; empty for direct calls.
    pub upstreams: Vec<UpstreamReport>,
    /// Daemons; empty for direct calls.
    pub control: Vec<ControlReport>,
    /// Counts over time; empty without a script.
    pub windows: Vec<Window>,
    /// Scripted events; empty without a script.
    pub events: Vec<EventReport>,
}

/// Report of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Name of the experiment.
    pub experiment: String,
    /// Seconds since 1970 at the start.
    pub started_s: u64,
    /// The machine.
    pub machine: Machine,
    /// Rate of each variant in requests per second.
    pub rate: f64,
    /// Measured time of each variant.
    pub duration_ms: u64,
    /// Length of the variants' turns; 0 if they ran side by side.
    pub slice_ms: u64,
    /// Where the daemons ran.
    pub placement: Placement,
    /// Variants in the order of the experiment.
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
    /// Returns the number of requests that did not complete.
    #[must_use]
    pub fn lost(&self) -> u64 {
        self.failed + self.refused + self.unknown + self.broken
    }
}

impl Report {
    /// Lists what does not add up; empty for a consistent report.
    #[must_use]
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for variant in &self.variants {
            let Counts {
                sent, completed, ..
            } = variant.counts;
            if completed + variant.counts.lost() != sent {
                faults.push(format!("{}: ends do not add up to {sent}", variant.name));
            }
            let kinds: u64 = variant.kinds.iter().map(|k| k.counts.sent).sum();
            if kinds != sent {
                faults.push(format!(
                    "{}: kinds add up to {kinds}, not {sent}",
                    variant.name
                ));
            }
            let reasons: u64 = variant.reasons.values().sum();
            let explained = variant.counts.lost() - variant.counts.failed;
            if reasons != explained {
                faults.push(format!(
                    "{}: {reasons} reasons for {explained}",
                    variant.name
                ));
            }
            let l = variant.latency;
            let ordered = [l.p50_us, l.p90_us, l.p99_us, l.p999_us, l.max_us];
            if !ordered.is_sorted() {
                faults.push(format!("{}: quantiles fall", variant.name));
            }
        }
        faults
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
