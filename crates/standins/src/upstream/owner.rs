//! Task that owns the request counts and the active faults of the upstream stand-in.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use super::{UpstreamExit, UpstreamFaults};

/// Minimum processing time to which the factor of a cold start is applied, because requests that
/// ask for no processing time would otherwise not be slowed down.
const MIN_COLD_TIME: Duration = Duration::from_millis(1);

/// Numbers of requests that run, or ran, at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConcurrencyStats {
    /// Requests that the upstream can run at the same time when warm.
    pub slots: u16,
    /// Requests that are running now.
    pub running: u32,
    /// Maximum number of requests that ran at the same time.
    pub peak: u32,
    /// Maximum number of requests that were running when a request started that a cold start slows
    /// down.
    pub peak_cold: u32,
    /// Requests that started while all slots were taken.
    pub overruns: u64,
}

/// How to respond to a request that has started.
#[derive(Clone, Debug)]
pub(crate) enum ResponsePlan {
    /// Respond after the processing time; `truncate` closes the connection after half of the body.
    Respond {
        processing_time: Duration,
        truncate: bool,
    },
    /// Respond with status 500 at once.
    Fail,
    /// Respond when the watched value turns false.
    Freeze(watch::Receiver<bool>),
}

/// What the owner has to know of a request.
#[derive(Debug)]
pub(crate) struct RequestInfo {
    /// Identifier under which its runs are counted.
    pub(crate) id: Option<String>,
    pub(crate) header_names: Vec<String>,
    /// Processing time that the request asks for.
    pub(crate) processing_time: Duration,
}

/// Message to the owner task.
#[derive(Debug)]
pub(crate) enum Message {
    /// The reply is dropped if the request crashes the upstream.
    RequestStarted(RequestInfo, oneshot::Sender<ResponsePlan>),
    RequestFinished,
    /// Requests the number of runs by request identifier.
    RunCounts(oneshot::Sender<BTreeMap<String, u64>>),
    ConcurrencyStats(oneshot::Sender<ConcurrencyStats>),
    SetFaults(UpstreamFaults, oneshot::Sender<()>),
    /// The reply is sent as soon as no request is running.
    WaitUntilIdle(oneshot::Sender<()>),
}

/// State of the owner task.
#[derive(Debug)]
pub(crate) struct State {
    faults: UpstreamFaults,
    /// Whether the upstream is frozen; watched by the handlers of frozen requests.
    frozen: watch::Sender<bool>,
    /// Number of requests until the cold start is over.
    cold_remaining: u32,
    /// Number of runs by request identifier.
    run_counts: BTreeMap<String, u64>,
    stats: ConcurrencyStats,
    /// Replies to send when no request is running.
    idle_waiters: Vec<oneshot::Sender<()>>,
}

impl State {
    pub(crate) fn new(slots: u16, faults: UpstreamFaults) -> Self {
        let mut state = Self {
            faults: UpstreamFaults::default(),
            frozen: watch::channel(false).0,
            cold_remaining: 0,
            run_counts: BTreeMap::new(),
            stats: ConcurrencyStats {
                slots,
                ..ConcurrencyStats::default()
            },
            idle_waiters: Vec::new(),
        };
        state.set_faults(faults);
        state
    }

    fn set_faults(&mut self, faults: UpstreamFaults) {
        self.cold_remaining = faults.cold.map_or(0, |cold| cold.requests);
        self.frozen.send_replace(faults.freeze);
        self.faults = faults;
    }

    /// Counts a request and returns how to respond to it; `None` means that it crashes the
    /// upstream.
    fn start_request(&mut self, request: RequestInfo) -> Option<ResponsePlan> {
        if let Some(id) = request.id {
            *self.run_counts.entry(id).or_default() += 1;
        }
        self.stats.running += 1;
        self.stats.peak = self.stats.peak.max(self.stats.running);
        self.stats.overruns += u64::from(self.stats.running > u32::from(self.stats.slots));
        let crash_on = self.faults.crash_on.as_ref();
        if crash_on.is_some_and(|header| request.header_names.contains(header)) {
            return None;
        }
        if self.faults.freeze {
            return Some(ResponsePlan::Freeze(self.frozen.subscribe()));
        }
        if self.faults.fail_fast {
            return Some(ResponsePlan::Fail);
        }
        let straggle = Duration::from_millis(self.faults.straggle_ms);
        Some(ResponsePlan::Respond {
            processing_time: self.apply_cold_start(request.processing_time) + straggle,
            truncate: self.faults.cut_body,
        })
    }

    /// Returns the processing time of a request, which a cold start lengthens.
    fn apply_cold_start(&mut self, processing_time: Duration) -> Duration {
        let cold = self.faults.cold.filter(|_| self.cold_remaining > 0);
        let Some(cold) = cold else {
            return processing_time;
        };
        self.cold_remaining -= 1;
        self.stats.peak_cold = self.stats.peak_cold.max(self.stats.running);
        processing_time.max(MIN_COLD_TIME).mul_f64(cold.factor)
    }

    fn finish_request(&mut self) {
        self.stats.running = self.stats.running.saturating_sub(1);
        self.notify_if_idle();
    }

    /// Replies to the idle waiters if no request is running.
    fn notify_if_idle(&mut self) {
        if self.stats.running > 0 {
            return;
        }
        for reply in self.idle_waiters.drain(..) {
            let _ = reply.send(());
        }
    }
}

/// Runs the owner until all senders of its mailbox are dropped.
pub(crate) async fn run(
    mut inbox: mpsc::UnboundedReceiver<Message>,
    mut state: State,
    exit: watch::Sender<Option<UpstreamExit>>,
) {
    while let Some(message) = inbox.recv().await {
        match message {
            Message::RequestStarted(request, reply) => match state.start_request(request) {
                Some(plan) => {
                    let _ = reply.send(plan);
                }
                None => {
                    exit.send_replace(Some(UpstreamExit::Crashed));
                }
            },
            Message::RequestFinished => state.finish_request(),
            Message::RunCounts(reply) => {
                let _ = reply.send(state.run_counts.clone());
            }
            Message::ConcurrencyStats(reply) => {
                let _ = reply.send(state.stats);
            }
            Message::SetFaults(faults, reply) => {
                state.set_faults(faults);
                let _ = reply.send(());
            }
            Message::WaitUntilIdle(reply) => {
                state.idle_waiters.push(reply);
                state.notify_if_idle();
            }
        }
    }
}
