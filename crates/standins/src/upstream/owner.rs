//! Task that owns the counts and the faults of the stand-in.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use super::{UpstreamEnd, UpstreamFaults};

/// Service time of a cold upstream for requests that ask for none; a factor needs a base.
const LEAST_COLD_WORK: Duration = Duration::from_millis(1);

/// Counts of concurrency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConcurrencyStats {
    /// Requests that it runs at once when warm.
    pub slots: u16,
    /// Requests that run now.
    pub running: u32,
    /// Most requests that ran at the same time.
    pub peak: u32,
    /// Most requests that ran at the same time during a cold start.
    pub peak_cold: u32,
    /// Requests that began while all slots were taken.
    pub overruns: u64,
}

/// What becomes of a request that has begun.
#[derive(Clone, Debug)]
pub(crate) enum Plan {
    /// Answer after the given time; `cut` closes the connection after half of the body.
    Answer { work: Duration, cut: bool },
    /// Answer status 500 at once.
    Fail,
    /// Answer after the fault is cleared.
    Freeze(watch::Receiver<bool>),
}

/// Request as the owner sees it.
#[derive(Debug)]
pub(crate) struct Begin {
    pub(crate) id: Option<String>,
    pub(crate) headers: Vec<String>,
    pub(crate) work: Duration,
}

#[derive(Debug)]
pub(crate) enum Message {
    Begin(Begin, oneshot::Sender<Plan>),
    End,
    Runs(oneshot::Sender<BTreeMap<String, u64>>),
    Peak(oneshot::Sender<ConcurrencyStats>),
    SetFaults(UpstreamFaults, oneshot::Sender<()>),
    /// Answered as soon as nothing runs.
    WhenIdle(oneshot::Sender<()>),
}

#[derive(Debug)]
pub(crate) struct State {
    faults: UpstreamFaults,
    frozen: watch::Sender<bool>,
    cold_left: u32,
    runs: BTreeMap<String, u64>,
    peak: ConcurrencyStats,
    waiting: Vec<oneshot::Sender<()>>,
}

impl State {
    pub(crate) fn new(slots: u16, faults: UpstreamFaults) -> Self {
        let mut state = Self {
            faults: UpstreamFaults::default(),
            frozen: watch::channel(false).0,
            cold_left: 0,
            runs: BTreeMap::new(),
            peak: ConcurrencyStats {
                slots,
                ..ConcurrencyStats::default()
            },
            waiting: Vec::new(),
        };
        state.set_faults(faults);
        state
    }

    fn set_faults(&mut self, faults: UpstreamFaults) {
        self.cold_left = faults.cold.map_or(0, |cold| cold.requests);
        self.frozen.send_replace(faults.freeze);
        self.faults = faults;
    }

    /// Counts a request and plans its answer; `None` means that it crashes the upstream.
    fn begin(&mut self, request: Begin) -> Option<Plan> {
        if let Some(id) = request.id {
            *self.runs.entry(id).or_default() += 1;
        }
        self.peak.running += 1;
        self.peak.peak = self.peak.peak.max(self.peak.running);
        self.peak.overruns += u64::from(self.peak.running > u32::from(self.peak.slots));
        let crash_on = self.faults.crash_on.as_ref();
        if crash_on.is_some_and(|header| request.headers.contains(header)) {
            return None;
        }
        if self.faults.freeze {
            return Some(Plan::Freeze(self.frozen.subscribe()));
        }
        if self.faults.fail_fast {
            return Some(Plan::Fail);
        }
        let work = self.cold_work(request.work) + Duration::from_millis(self.faults.straggle_ms);
        Some(Plan::Answer {
            work,
            cut: self.faults.cut_body,
        })
    }

    fn cold_work(&mut self, work: Duration) -> Duration {
        let cold = self.faults.cold.filter(|_| self.cold_left > 0);
        let Some(cold) = cold else {
            return work;
        };
        self.cold_left -= 1;
        self.peak.peak_cold = self.peak.peak_cold.max(self.peak.running);
        work.max(LEAST_COLD_WORK).mul_f64(cold.factor)
    }

    fn end(&mut self) {
        self.peak.running = self.peak.running.saturating_sub(1);
        self.answer_idle();
    }

    fn answer_idle(&mut self) {
        if self.peak.running > 0 {
            return;
        }
        for waiting in self.waiting.drain(..) {
            let _ = waiting.send(());
        }
    }
}

/// Runs the owner until all senders are gone.
pub(crate) async fn run(
    mut inbox: mpsc::UnboundedReceiver<Message>,
    mut state: State,
    end: watch::Sender<Option<UpstreamEnd>>,
) {
    while let Some(message) = inbox.recv().await {
        match message {
            Message::Begin(request, reply) => match state.begin(request) {
                Some(plan) => {
                    let _ = reply.send(plan);
                }
                None => {
                    end.send_replace(Some(UpstreamEnd::Crashed));
                }
            },
            Message::End => state.end(),
            Message::Runs(reply) => {
                let _ = reply.send(state.runs.clone());
            }
            Message::Peak(reply) => {
                let _ = reply.send(state.peak);
            }
            Message::SetFaults(faults, reply) => {
                state.set_faults(faults);
                let _ = reply.send(());
            }
            Message::WhenIdle(reply) => {
                state.waiting.push(reply);
                state.answer_idle();
            }
        }
    }
}
