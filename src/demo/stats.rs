//! Task that collects the results that the callers report.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::Result;

/// Capacity of the channel to the task, in messages. Callers wait while it is full.
const CHANNEL_CAPACITY: usize = 1024;

/// Outcome of a request as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// Complete response, as expected.
    Completed,
    /// Complete response with unexpected content.
    WrongResponse,
    /// Refusal that says that the request did not run, with the reason.
    NotRun(String),
    /// No response, or one that says that the outcome is unknown, with the reason.
    Unknown(String),
}

/// Result of one request.
#[derive(Clone, Debug)]
pub(super) struct RequestResult {
    pub(super) service: &'static str,
    pub(super) id: String,
    pub(super) outcome: RequestOutcome,
    /// Latency through the daemons; `None` for requests that are not compared with direct ones.
    pub(super) latency: Option<Duration>,
}

/// Message to the stats task.
#[derive(Clone, Debug)]
pub(super) enum StatsMessage {
    /// Result of a request sent through the daemons.
    Proxied(RequestResult),
    /// Latency of a request sent to the upstream without a daemon.
    Direct(Duration),
}

/// Counts of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceStats {
    pub(super) requests: u64,
    pub(super) completed: u64,
    /// Complete responses with unexpected content.
    pub(super) wrong: u64,
    /// Refusals that say that the request did not run, by reason.
    pub(super) not_run: BTreeMap<String, u64>,
    /// Requests with an unknown outcome, by reason.
    pub(super) unknown: BTreeMap<String, u64>,
    /// Ids of requests whose callers were told that they did not run.
    pub(super) refused_ids: BTreeSet<String>,
    /// Ids of requests with a complete response.
    pub(super) completed_ids: BTreeSet<String>,
}

/// Counts and latencies of all requests.
#[derive(Clone, Debug)]
pub(super) struct Stats {
    pub(super) services: BTreeMap<&'static str, ServiceStats>,
    /// Latencies of requests sent through the daemons, in microseconds.
    pub(super) proxied: Histogram<u64>,
    /// Latencies of requests sent directly to an upstream, in microseconds.
    pub(super) direct: Histogram<u64>,
}

/// Handle of the stats task.
#[derive(Debug)]
pub(super) struct StatsTask {
    task: JoinHandle<Stats>,
}

impl Stats {
    /// Starts the task; returns its handle and the sender for results.
    pub(super) fn start() -> (StatsTask, mpsc::Sender<StatsMessage>) {
        let (sender, mut receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let task = tokio::spawn(async move {
            let mut stats = Self::new();
            while let Some(message) = receiver.recv().await {
                stats.add(message);
            }
            stats
        });
        (StatsTask { task }, sender)
    }

    fn new() -> Self {
        let mut histogram = Histogram::new_with_bounds(1, 60_000_000, 3)
            .unwrap_or_else(|e| unreachable!("the bounds are valid: {e}"));
        histogram.auto(true);
        Self {
            services: BTreeMap::new(),
            proxied: histogram.clone(),
            direct: histogram,
        }
    }

    fn add(&mut self, message: StatsMessage) {
        match message {
            StatsMessage::Proxied(result) => self.add_result(result),
            StatsMessage::Direct(latency) => self.direct.saturating_record(to_micros(latency)),
        }
    }

    fn add_result(&mut self, result: RequestResult) {
        if let Some(latency) = result.latency {
            self.proxied.saturating_record(to_micros(latency));
        }
        let service = self.services.entry(result.service).or_default();
        service.requests += 1;
        match result.outcome {
            RequestOutcome::Completed => {
                service.completed += 1;
                service.completed_ids.insert(result.id);
            }
            RequestOutcome::WrongResponse => service.wrong += 1,
            RequestOutcome::NotRun(reason) => {
                *service.not_run.entry(reason).or_default() += 1;
                service.refused_ids.insert(result.id);
            }
            RequestOutcome::Unknown(reason) => *service.unknown.entry(reason).or_default() += 1,
        }
    }
}

impl StatsTask {
    /// Waits until all senders are dropped and returns the results.
    pub(super) async fn finish(self) -> Result<Stats> {
        Ok(self.task.await?)
    }
}

fn to_micros(latency: Duration) -> u64 {
    u64::try_from(latency.as_micros()).unwrap_or(u64::MAX)
}
