//! Callers that send requests one after another and take a refusal elsewhere.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::http::{request, send};

/// Callers at a time.
const CALLERS: usize = 3;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// Refusals in a row after which a caller gives up.
const MAX_REFUSALS: usize = 20;

/// What a caller saw.
#[derive(Debug, Default)]
pub(crate) struct LoadSummary {
    /// Ids of the requests that were answered.
    pub(crate) answered: BTreeSet<String>,
    /// Refusals that another daemon mended.
    pub(crate) refused: usize,
    /// Requests that were neither answered nor truthfully refused.
    pub(crate) failed: Vec<String>,
}

/// Running callers.
#[derive(Debug)]
pub(crate) struct LoadGenerator {
    entries: watch::Sender<Vec<SocketAddr>>,
    callers: Vec<JoinHandle<LoadSummary>>,
}

impl LoadGenerator {
    /// Starts callers that send requests that must not be repeated to the entries in turn.
    pub(crate) fn start(host: &'static str, entries: Vec<SocketAddr>) -> Self {
        let (entries, watched) = watch::channel(entries);
        let start = |caller| tokio::spawn(call(caller, host, watched.clone()));
        let callers = (0..CALLERS).map(start).collect();
        Self { entries, callers }
    }

    /// Replaces the daemons that get requests.
    pub(crate) fn set_entries(&self, entries: Vec<SocketAddr>) {
        self.entries.send_replace(entries);
    }

    /// Ends the callers and adds up what they saw.
    pub(crate) async fn finish(self) -> LoadSummary {
        drop(self.entries);
        let mut sum = LoadSummary::default();
        for caller in self.callers {
            let summary = caller.await.expect("caller ends");
            sum.answered.extend(summary.answered);
            sum.refused += summary.refused;
            sum.failed.extend(summary.failed);
        }
        sum
    }
}

async fn call(caller: usize, host: &str, entries: watch::Receiver<Vec<SocketAddr>>) -> LoadSummary {
    let mut summary = LoadSummary::default();
    for count in 0.. {
        if entries.has_changed().is_err() {
            break;
        }
        let id = format!("load-{caller}-{count}");
        match call_until_run(host, &id, caller + count, &entries, &mut summary.refused).await {
            Ok(()) => {
                summary.answered.insert(id);
            }
            Err(e) => summary.failed.push(format!("{id}: {e}")),
        }
        tokio::time::sleep(PAUSE).await;
    }
    summary
}

async fn call_until_run(
    host: &str,
    id: &str,
    first: usize,
    entries: &watch::Receiver<Vec<SocketAddr>>,
    refused: &mut usize,
) -> Result<(), String> {
    let mut refusal = String::new();
    for attempt in first..first + MAX_REFUSALS {
        let addr = {
            let entries = entries.borrow();
            entries[attempt % entries.len()]
        };
        let headers = [("x-request-id", id), ("cornelvalve-deadline-ms", "20000")];
        let answer = send(addr, request("POST", host, "/", &headers, id.to_owned())).await?;
        if answer.status == 200 && answer.body == id {
            return Ok(());
        }
        refusal = format!("{answer:?}");
        if answer.status.is_success() || answer.json()["outcome"] != "not-run" {
            break;
        }
        *refused += 1;
        tokio::time::sleep(PAUSE).await;
    }
    Err(refusal)
}
