//! Load of concurrent callers, which send a refused request to another daemon.

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
pub(crate) struct Tally {
    /// Ids of the requests that an upstream answered.
    pub(crate) answered: BTreeSet<String>,
    /// Number of refusals after which the request was sent to another daemon.
    pub(crate) refused: usize,
    /// Requests that failed, with the reason: no valid response, a refusal that does not say that
    /// the request has not run, or too many refusals.
    pub(crate) failed: Vec<String>,
}

/// Set of running callers.
#[derive(Debug)]
pub(crate) struct Load {
    entries: watch::Sender<Vec<SocketAddr>>,
    callers: Vec<JoinHandle<Tally>>,
}

impl Load {
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
    pub(crate) async fn finish(self) -> Tally {
        drop(self.entries);
        let mut total = Tally::default();
        for caller in self.callers {
            let tally = caller.await.expect("caller ends");
            total.answered.extend(tally.answered);
            total.refused += tally.refused;
            total.failed.extend(tally.failed);
        }
        total
    }
}

/// Sends requests one after another until the sender of `entries` is dropped.
async fn run_caller(caller: usize, host: &str, entries: watch::Receiver<Vec<SocketAddr>>) -> Tally {
    let mut tally = Tally::default();
    for count in 0.. {
        if entries.has_changed().is_err() {
            break;
        }
        let id = format!("load-{caller}-{count}");
        match send_until_run(host, &id, caller + count, &entries, &mut tally.refused).await {
            Ok(()) => {
                tally.answered.insert(id);
            }
            Err(e) => tally.failed.push(format!("{id}: {e}")),
        }
        tokio::time::sleep(PAUSE).await;
    }
    tally
}

/// Sends a request until an upstream answers it, first to the daemon with the index `first`, and
/// adds the refusals to `refused`.
///
/// # Errors
///
/// Returns the last response if the request may have run, or was refused too often.
async fn send_until_run(
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
