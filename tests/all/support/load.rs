//! Load generator: concurrent callers that retry a refused request at another daemon.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::http::{request, send};

/// Number of concurrent callers.
const CALLERS: usize = 3;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// Number of refusals after which a caller gives up on a request.
const MAX_REFUSALS: usize = 20;

/// Results of the requests of one caller or of all.
#[derive(Debug, Default)]
pub(crate) struct LoadSummary {
    /// Ids of the requests that an upstream answered.
    pub(crate) answered: BTreeSet<String>,
    /// Number of refusals after which the request was sent to another daemon.
    pub(crate) refused: usize,
    /// Requests that failed, with the reason: no valid response, a refusal without the outcome
    /// `not-run`, or `MAX_REFUSALS` refusals.
    pub(crate) failed: Vec<String>,
}

/// Set of running callers.
#[derive(Debug)]
pub(crate) struct LoadGenerator {
    entries: watch::Sender<Vec<SocketAddr>>,
    callers: Vec<JoinHandle<LoadSummary>>,
}

impl LoadGenerator {
    /// Starts callers that send `POST` requests to the daemons at `entries` in turn. Such a request
    /// must not be repeated once it may have run.
    pub(crate) fn start(host: &'static str, entries: Vec<SocketAddr>) -> Self {
        let (entries, watched) = watch::channel(entries);
        let start = |caller| tokio::spawn(run_caller(caller, host, watched.clone()));
        let callers = (0..CALLERS).map(start).collect();
        Self { entries, callers }
    }

    /// Replaces the addresses of the daemons that get the requests.
    pub(crate) fn set_entries(&self, entries: Vec<SocketAddr>) {
        self.entries.send_replace(entries);
    }

    /// Stops the callers and returns their combined results.
    pub(crate) async fn finish(self) -> LoadSummary {
        drop(self.entries);
        let mut total = LoadSummary::default();
        for caller in self.callers {
            let summary = caller.await.expect("caller ends");
            total.answered.extend(summary.answered);
            total.refused += summary.refused;
            total.failed.extend(summary.failed);
        }
        total
    }
}

/// Sends requests one after another until the sender of `entries` is dropped.
async fn run_caller(
    caller: usize,
    host: &str,
    entries: watch::Receiver<Vec<SocketAddr>>,
) -> LoadSummary {
    let mut summary = LoadSummary::default();
    for count in 0.. {
        if entries.has_changed().is_err() {
            break;
        }
        let id = format!("load-{caller}-{count}");
        match send_until_answered(host, &id, caller + count, &entries, &mut summary.refused).await {
            Ok(()) => {
                summary.answered.insert(id);
            }
            Err(e) => summary.failed.push(format!("{id}: {e}")),
        }
        tokio::time::sleep(PAUSE).await;
    }
    summary
}

/// Sends a request until an upstream answers it, first to the daemon with the index `first`, and
/// adds the refusals to `refused`.
///
/// # Errors
///
/// Returns a description if an exchange fails, and the last response if the request may have run or
/// was refused too often.
async fn send_until_answered(
    host: &str,
    id: &str,
    first: usize,
    entries: &watch::Receiver<Vec<SocketAddr>>,
    refused: &mut usize,
) -> Result<(), String> {
    let mut last_refusal = String::new();
    for attempt in first..first + MAX_REFUSALS {
        let addr = {
            let entries = entries.borrow();
            entries[attempt % entries.len()]
        };
        let headers = [("x-request-id", id), ("cornelvalve-deadline-ms", "20000")];
        let response = send(addr, request("POST", host, "/", &headers, id.to_owned())).await?;
        if response.status == 200 && response.body == id {
            return Ok(());
        }
        last_refusal = format!("{response:?}");
        if response.status.is_success() || response.json()["outcome"] != "not-run" {
            break;
        }
        *refused += 1;
        tokio::time::sleep(PAUSE).await;
    }
    Err(last_refusal)
}
