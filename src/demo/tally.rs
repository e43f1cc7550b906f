//! Task that collects the results of the callers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::Result;

/// Results that wait for the tally; callers wait for room.
const MAILBOX_SLOTS: usize = 1024;

/// What became of a request, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// Complete response, as expected.
    Completed,
    /// Complete response with other content than expected.
    Wrong,
    /// Refused as not run, with the reason.
    NotRun(String),
    /// No response, or one that says that the outcome is unknown, with the reason.
    Unknown(String),
}

/// Result of one request.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) service: &'static str,
    pub(super) id: String,
    pub(super) fate: Fate,
    /// Time through the daemons; only of requests whose latency is compared with direct ones.
    pub(super) latency: Option<Duration>,
}

/// Message to the tally.
#[derive(Clone, Debug)]
pub(super) enum Report {
    /// A request through the daemons.
    Through(Sample),
    /// Latency of a request sent to the upstream without a daemon.
    Direct(Duration),
}

/// Counts of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTally {
    pub(super) requests: u64,
    pub(super) completed: u64,
    pub(super) wrong: u64,
    pub(super) not_run: BTreeMap<String, u64>,
    pub(super) unknown: BTreeMap<String, u64>,
    /// Requests whose callers were told that they did not run.
    pub(super) refused_ids: BTreeSet<String>,
    /// Requests with a complete response.
    pub(super) completed_ids: BTreeSet<String>,
}

/// All results.
#[derive(Clone, Debug)]
pub(super) struct Tally {
    pub(super) services: BTreeMap<&'static str, ServiceTally>,
    pub(super) through: Histogram<u64>,
    pub(super) direct: Histogram<u64>,
}

/// Running tally task.
#[derive(Debug)]
pub(super) struct TallyTask {
    task: JoinHandle<Tally>,
}

impl Tally {
    /// Starts the task and returns it with the mailbox for results.
    pub(super) fn start() -> (TallyTask, mpsc::Sender<Report>) {
        let (mailbox, mut inbox) = mpsc::channel(MAILBOX_SLOTS);
        let task = tokio::spawn(async move {
            let mut tally = Self::new();
            while let Some(report) = inbox.recv().await {
                tally.add(report);
            }
            tally
        });
        (TallyTask { task }, mailbox)
    }

    fn new() -> Self {
        let mut histogram = Histogram::new_with_bounds(1, 60_000_000, 3)
            .unwrap_or_else(|e| unreachable!("the bounds are valid: {e}"));
        histogram.auto(true);
        Self {
            services: BTreeMap::new(),
            through: histogram.clone(),
            direct: histogram,
        }
    }

    fn add(&mut self, report: Report) {
        match report {
            Report::Through(sample) => self.add_sample(sample),
            Report::Direct(latency) => self.direct.saturating_record(micros(latency)),
        }
    }

    fn add_sample(&mut self, sample: Sample) {
        if let Some(latency) = sample.latency {
            self.through.saturating_record(micros(latency));
        }
        let service = self.services.entry(sample.service).or_default();
        service.requests += 1;
        match sample.fate {
            Fate::Completed => {
                service.completed += 1;
                service.completed_ids.insert(sample.id);
            }
            Fate::Wrong => service.wrong += 1,
            Fate::NotRun(reason) => {
                *service.not_run.entry(reason).or_default() += 1;
                service.refused_ids.insert(sample.id);
            }
            Fate::Unknown(reason) => *service.unknown.entry(reason).or_default() += 1,
        }
    }
}

impl TallyTask {
    /// Returns the results once all callers have ended.
    pub(super) async fn finish(self) -> Result<Tally> {
        Ok(self.task.await?)
    }
}

fn micros(latency: Duration) -> u64 {
    u64::try_from(latency.as_micros()).unwrap_or(u64::MAX)
}
