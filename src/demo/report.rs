//! The report: a table of requests and the promises that were checked.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::mesh::VmRuns;
use super::scenario::Story;
use super::tally::{ServiceTally, Tally};

/// Time within which an accepted change must be in force everywhere: the target.
const IN_FORCE_TARGET: Duration = Duration::from_secs(7);

/// Line of the table.
#[derive(Debug)]
struct Row {
    service: &'static str,
    requests: u64,
    completed: u64,
    refused: u64,
    unknown: u64,
    ran_twice: u64,
    reasons: String,
}

/// Promise that was checked.
#[derive(Debug)]
struct Promise {
    text: &'static str,
    held: bool,
    seen: String,
}

/// The whole report.
#[derive(Debug)]
pub(super) struct Report {
    rows: Vec<Row>,
    latency: String,
    promises: Vec<Promise>,
}

/// Runs of each request over all upstreams of a service.
type Runs = BTreeMap<String, u64>;

impl Report {
    /// Compares what callers saw with what the upstreams ran.
    pub(super) fn new(tally: &Tally, vms: &[VmRuns], story: &Story) -> Self {
        let rows: Vec<Row> = tally
            .services
            .iter()
            .map(|(service, counts)| row(service, counts, &runs_of(vms, service)))
            .collect();
        Self {
            promises: promises(tally, vms, story),
            latency: latency(tally),
            rows,
        }
    }

    /// Tells whether every promise held.
    pub(super) fn all_held(&self) -> bool {
        self.promises.iter().all(|p| p.held)
    }
}

fn runs_of(vms: &[VmRuns], service: &str) -> Runs {
    let mut all = Runs::new();
    for vm in vms.iter().filter(|vm| vm.service == service) {
        for (id, runs) in &vm.runs {
            *all.entry(id.clone()).or_default() += runs;
        }
    }
    all
}

fn ran_twice(runs: &Runs) -> u64 {
    let twice = runs.values().filter(|runs| **runs > 1).count();
    u64::try_from(twice).unwrap_or(u64::MAX)
}

fn row(service: &'static str, counts: &ServiceTally, runs: &Runs) -> Row {
    let reasons: Vec<String> = counts
        .not_run
        .iter()
        .chain(&counts.unknown)
        .map(|(reason, count)| format!("{reason} {count}"))
        .collect();
    Row {
        service,
        requests: counts.requests,
        completed: counts.completed,
        refused: counts.not_run.values().sum(),
        unknown: counts.unknown.values().sum(),
        ran_twice: ran_twice(runs),
        reasons: reasons.join(", "),
    }
}

/// Describes the latency beyond that of requests sent to the upstream without a daemon.
fn latency(tally: &Tally) -> String {
    let direct = tally.direct.value_at_quantile(0.5);
    let added = |quantile| {
        let through = tally.through.value_at_quantile(quantile);
        through.saturating_sub(direct)
    };
    format!(
        "latency added by the path: p50 {} us, p99 {} us (over the median of {direct} us of {} \
         requests sent directly)",
        added(0.5),
        added(0.99),
        tally.direct.len(),
    )
}

fn promises(tally: &Tally, vms: &[VmRuns], story: &Story) -> Vec<Promise> {
    let empty = ServiceTally::default();
    let service = |name| tally.services.get(name).unwrap_or(&empty);
    let promise = |text, held, seen| Promise { text, held, seen };
    let reads = service("estimateur");
    let filings = service("remise");
    let uploads = service("flotte");
    let lost: u64 = reads.unknown.values().sum::<u64>() + reads.wrong;
    let filed_twice = ran_twice(&runs_of(vms, "remise"));
    let uploaded_twice = ran_twice(&runs_of(vms, "flotte"));
    let untrue = untrue_refusals(tally, vms);
    let wrong: u64 = tally.services.values().map(|s| s.wrong).sum();
    let away = runs_away(vms, "flotte", "qc-est");
    vec![
        promise(
            "no idempotent request is lost",
            reads.completed > 0 && lost == 0,
            format!("{lost} of {} lost", reads.requests),
        ),
        promise(
            "a filing sent twice with its ticket runs at most once",
            filings.completed > 0 && filed_twice == 0,
            format!("{filed_twice} ran more than once"),
        ),
        promise(
            "an upload runs at most once",
            uploads.completed > 0 && uploaded_twice == 0,
            format!("{uploaded_twice} ran more than once"),
        ),
        promise(
            "a refusal that says \"not run\" is true",
            untrue == 0,
            format!("{untrue} refused requests ran"),
        ),
        promise(
            "every caller gets the complete response to its own request",
            wrong == 0,
            format!("{wrong} wrong responses"),
        ),
        promise(
            "requests bound to a home region run nowhere else",
            away == 0,
            format!("{away} uploads ran outside qc-est"),
        ),
        promise(
            "a change is in force everywhere within 7 s",
            story.out_after <= IN_FORCE_TARGET,
            format!("{} ms", story.out_after.as_millis()),
        ),
        promise(
            "a failure domain taken out gets no new work once that is in force",
            story.ran_out == 0,
            format!("{} requests ran there", story.ran_out),
        ),
        promise(
            "a failure domain returned to service gets work again",
            story.worked_again,
            String::new(),
        ),
        promise(
            "an upstream that leaves finishes its requests",
            story.left_clean,
            String::new(),
        ),
    ]
}

/// Counts requests that ran although a caller was told that they did not.
///
/// A filing is sent twice: if one response is complete, it ran, and the other must not deny it.
fn untrue_refusals(tally: &Tally, vms: &[VmRuns]) -> usize {
    tally
        .services
        .iter()
        .map(|(name, counts)| {
            let runs = runs_of(vms, name);
            let ran = |id: &&String| runs.contains_key(*id) || counts.completed_ids.contains(*id);
            counts.refused_ids.iter().filter(ran).count()
        })
        .sum()
}

fn runs_away(vms: &[VmRuns], service: &str, home: &str) -> usize {
    let away = vms
        .iter()
        .filter(|vm| vm.service == service && vm.region != home);
    away.map(|vm| vm.runs.len()).sum()
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
                row.ran_twice,
                row.reasons
            )?;
        }
        writeln!(f, "\n{}\n", self.latency)?;
        for promise in &self.promises {
            let verdict = if promise.held { "held  " } else { "BROKEN" };
            write!(f, "{verdict}  {}", promise.text)?;
            if promise.seen.is_empty() {
                writeln!(f)?;
            } else {
                writeln!(f, " ({})", promise.seen)?;
            }
        }
        Ok(())
    }
}
