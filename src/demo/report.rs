//! Report of the demo: counts of requests per service, and whether each guarantee held.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::mesh::VmRunCounts;
use super::scenario::Observations;
use super::stats::{ServiceStats, Stats};

/// Target for the time from a call that publishes a change until the change is in force at all
/// daemons.
const IN_FORCE_TARGET: Duration = Duration::from_secs(7);

/// Row of the table, with the counts of one service.
#[derive(Debug)]
struct ServiceRow {
    service: &'static str,
    requests: u64,
    completed: u64,
    refused: u64,
    unknown: u64,
    /// Requests that ran more than once.
    duplicates: u64,
    /// Count of each reason of a refusal or an unknown outcome.
    reasons: String,
}

/// Guarantee of the load balancer and the result of its check.
#[derive(Debug)]
struct Guarantee {
    text: &'static str,
    held: bool,
    /// Measured value for the report; may be empty.
    observed: String,
}

/// Report of one run of the demo.
#[derive(Debug)]
pub(super) struct Report {
    rows: Vec<ServiceRow>,
    latency: String,
    guarantees: Vec<Guarantee>,
}

/// Number of runs of each request id of a service, over all its upstreams.
type RunCounts = BTreeMap<String, u64>;

impl Report {
    /// Compares the responses that callers got with the requests that upstreams ran.
    pub(super) fn new(stats: &Stats, vms: &[VmRunCounts], observations: &Observations) -> Self {
        let rows: Vec<ServiceRow> = stats
            .services
            .iter()
            .map(|(service, counts)| service_row(service, counts, &run_counts_of(vms, service)))
            .collect();
        Self {
            guarantees: check_guarantees(stats, vms, observations),
            latency: describe_latency(stats),
            rows,
        }
    }

    /// Returns whether every guarantee held.
    pub(super) fn all_held(&self) -> bool {
        self.guarantees.iter().all(|g| g.held)
    }
}

/// Adds up the runs of each request at all upstreams of a service.
fn run_counts_of(vms: &[VmRunCounts], service: &str) -> RunCounts {
    let mut all = RunCounts::new();
    for vm in vms.iter().filter(|vm| vm.service == service) {
        for (id, runs) in &vm.run_counts {
            *all.entry(id.clone()).or_default() += runs;
        }
    }
    all
}

/// Counts the requests that ran more than once.
fn count_duplicates(run_counts: &RunCounts) -> u64 {
    let twice = run_counts.values().filter(|runs| **runs > 1).count();
    u64::try_from(twice).unwrap_or(u64::MAX)
}

/// Returns the row of the table for a service.
fn service_row(service: &'static str, counts: &ServiceStats, run_counts: &RunCounts) -> ServiceRow {
    let reasons: Vec<String> = counts
        .not_run
        .iter()
        .chain(&counts.unknown)
        .map(|(reason, count)| format!("{reason} {count}"))
        .collect();
    ServiceRow {
        service,
        requests: counts.requests,
        completed: counts.completed,
        refused: counts.not_run.values().sum(),
        unknown: counts.unknown.values().sum(),
        duplicates: count_duplicates(run_counts),
        reasons: reasons.join(", "),
    }
}

/// Describes the latency that the daemons add to that of requests sent directly to an upstream.
fn describe_latency(stats: &Stats) -> String {
    let direct = stats.direct.value_at_quantile(0.5);
    let added = |quantile| {
        let proxied = stats.proxied.value_at_quantile(quantile);
        proxied.saturating_sub(direct)
    };
    format!(
        "latency added by the path: p50 {} us, p99 {} us (over the median of {direct} us of {} \
         requests sent directly)",
        added(0.5),
        added(0.99),
        stats.direct.len(),
    )
}

/// Checks all guarantees, in the order in which the report lists them.
fn check_guarantees(
    stats: &Stats,
    vms: &[VmRunCounts],
    observations: &Observations,
) -> Vec<Guarantee> {
    let empty = ServiceStats::default();
    let service = |name| stats.services.get(name).unwrap_or(&empty);
    let guarantee = |text, held, observed| Guarantee {
        text,
        held,
        observed,
    };
    let reads = service("estimateur");
    let filings = service("remise");
    let uploads = service("flotte");
    let lost: u64 = reads.unknown.values().sum::<u64>() + reads.wrong;
    let duplicate_filings = count_duplicates(&run_counts_of(vms, "remise"));
    let duplicate_uploads = count_duplicates(&run_counts_of(vms, "flotte"));
    let false_refusals = count_false_refusals(stats, vms);
    let wrong: u64 = stats.services.values().map(|s| s.wrong).sum();
    let outside = count_runs_outside(vms, "flotte", "qc-est");
    vec![
        guarantee(
            "no idempotent request is lost",
            reads.completed > 0 && lost == 0,
            format!("{lost} of {} lost", reads.requests),
        ),
        guarantee(
            "a filing sent twice with its ticket runs at most once",
            filings.completed > 0 && duplicate_filings == 0,
            format!("{duplicate_filings} ran more than once"),
        ),
        guarantee(
            "an upload runs at most once",
            uploads.completed > 0 && duplicate_uploads == 0,
            format!("{duplicate_uploads} ran more than once"),
        ),
        guarantee(
            "a refusal that says \"not run\" is true",
            false_refusals == 0,
            format!("{false_refusals} refused requests ran"),
        ),
        guarantee(
            "every caller gets the complete response to its own request",
            wrong == 0,
            format!("{wrong} wrong responses"),
        ),
        guarantee(
            "requests bound to a home region run nowhere else",
            outside == 0,
            format!("{outside} uploads ran outside qc-est"),
        ),
        guarantee(
            "a change is in force everywhere within 7 s",
            observations.removal_time <= IN_FORCE_TARGET,
            format!("{} ms", observations.removal_time.as_millis()),
        ),
        guarantee(
            "a failure domain taken out gets no new work once that is in force",
            observations.unexpected_runs == 0,
            format!("{} requests ran there", observations.unexpected_runs),
        ),
        guarantee(
            "a failure domain returned to service gets work again",
            observations.traffic_resumed,
            String::new(),
        ),
        guarantee(
            "an upstream that leaves finishes its requests",
            observations.clean_shutdown,
            String::new(),
        ),
    ]
}

/// Counts requests that ran although a caller was told that they did not.
///
/// A filing is sent twice. If one of the two gets a complete response, the filing ran, so the other
/// must not be told that it did not run.
fn count_false_refusals(stats: &Stats, vms: &[VmRunCounts]) -> usize {
    stats
        .services
        .iter()
        .map(|(name, counts)| {
            let runs = run_counts_of(vms, name);
            let ran = |id: &&String| runs.contains_key(*id) || counts.completed_ids.contains(*id);
            counts.refused_ids.iter().filter(ran).count()
        })
        .sum()
}

/// Counts the requests of a service that ran outside its home region.
fn count_runs_outside(vms: &[VmRunCounts], service: &str, home: &str) -> usize {
    let outside = vms
        .iter()
        .filter(|vm| vm.service == service && vm.region != home);
    outside.map(|vm| vm.run_counts.len()).sum()
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<12}{:>9}{:>11}{:>9}{:>9}{:>20}  reasons",
            "service", "requests", "completed", "refused", "unknown", "ran more than once"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:<12}{:>9}{:>11}{:>9}{:>9}{:>20}  {}",
                row.service,
                row.requests,
                row.completed,
                row.refused,
                row.unknown,
                row.duplicates,
                row.reasons
            )?;
        }
        writeln!(f, "\n{}\n", self.latency)?;
        for guarantee in &self.guarantees {
            let verdict = if guarantee.held { "held  " } else { "BROKEN" };
            write!(f, "{verdict}  {}", guarantee.text)?;
            if guarantee.observed.is_empty() {
                writeln!(f)?;
            } else {
                writeln!(f, " ({})", guarantee.observed)?;
            }
        }
        Ok(())
    }
}
