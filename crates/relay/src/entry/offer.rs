//! One attempt: offers a request to a place and reports how it ended there.

use std::time::Duration;

use cornelvalve_policy::{LoadReport, PlaceEnd};
use tokio::time::timeout;

use super::EntryHandler;
use crate::hop::{self, FrameConnection, HopCall, HopError, HopOutcome, HopReply, HopRequest};
use crate::messages::{PlaceReport, Placed, Plan, Served};
use crate::ports::Cause;
use crate::runner::RunResult;

impl EntryHandler {
    /// Offers a request to a place and returns what became of it.
    pub(super) async fn offer(
        &self,
        placed: Placed,
        request: HopRequest,
        plan: &Plan,
    ) -> HopOutcome {
        let offered = match placed.addr {
            None => Offered::from(self.runner.run(&request).await),
            Some(addr) => self.offer_peer(addr, placed.taken_within, request).await,
        };
        let report = PlaceReport {
            vm: placed.vm,
            end: offered.place_end(),
            load: offered.load,
            served: served(&offered.outcome, plan),
        };
        placed.report.finish(report);
        offered.outcome
    }

    async fn offer_peer(
        &self,
        addr: std::net::SocketAddr,
        taken_within: Duration,
        request: HopRequest,
    ) -> Offered {
        let connection = self.links.peer(&self.pool, addr).await;
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(e) => {
                log::info!(event = "peer-unreachable", peer:% = addr, request = request.attempt.as_deref(); "{e}");
                return Offered::silent(HopOutcome::NotRun {
                    cause: Cause::Unreachable,
                    arrived: false,
                    wait: Duration::ZERO,
                });
            }
        };
        let attempt = request.attempt.clone();
        let frame = match hop::encode(&HopCall::Run(Box::new(request))) {
            Ok(frame) => frame,
            Err(e) => {
                log::error!(event = "request-not-encoded", request = attempt.as_deref(); "{e}");
                return Offered::unsent();
            }
        };
        match exchange(&mut connection, &frame, taken_within).await {
            Ok(offered) => {
                self.links.keep_peer(&self.pool, addr, connection);
                offered
            }
            Err(e) => {
                log::info!(event = "peer-exchange-failed", peer:% = addr, request = attempt.as_deref(); "{e}");
                Offered::silent(HopOutcome::Unknown {
                    cause: Cause::ConnectionLost,
                })
            }
        }
    }
}

/// Exchanges a request and its outcome with another daemon.
async fn exchange(
    connection: &mut FrameConnection,
    frame: &[u8],
    taken_within: Duration,
) -> hop::Result<Offered> {
    let taken = async {
        connection.send(frame).await?;
        connection.receive().await
    };
    match timeout(taken_within, taken).await {
        Ok(Ok(HopReply::Taken)) => {}
        Ok(Ok(other)) => return Err(HopError::Malformed(format!("unexpected {other:?}"))),
        Ok(Err(e)) => return Err(e),
        Err(_) => return Err(HopError::Malformed("no sign of life".to_owned())),
    }
    match connection.receive().await? {
        HopReply::Done { outcome, load } => Ok(Offered {
            outcome,
            load: load.map(LoadReport::from),
            silent: false,
        }),
        other => Err(HopError::Malformed(format!("unexpected {other:?}"))),
    }
}

/// What an attempt brought.
struct Offered {
    outcome: HopOutcome,
    load: Option<LoadReport>,
    /// Whether nothing was heard of the other daemon.
    silent: bool,
}

impl From<RunResult> for Offered {
    fn from(result: RunResult) -> Self {
        Self {
            outcome: result.outcome,
            load: result.load,
            silent: false,
        }
    }
}

impl Offered {
    fn silent(outcome: HopOutcome) -> Self {
        Self {
            outcome,
            load: None,
            silent: true,
        }
    }

    fn unsent() -> Self {
        Self {
            outcome: HopOutcome::NotRun {
                cause: Cause::Internal,
                arrived: false,
                wait: Duration::ZERO,
            },
            load: None,
            silent: false,
        }
    }

    fn place_end(&self) -> PlaceEnd {
        match &self.outcome {
            _ if self.silent => PlaceEnd::Silent,
            HopOutcome::Answered(answer) if answer.failed => PlaceEnd::Failed,
            HopOutcome::Answered(_) => PlaceEnd::Answered,
            HopOutcome::NotRun { arrived: true, .. } => PlaceEnd::Failed,
            HopOutcome::NotRun {
                cause: Cause::Unreachable,
                ..
            } => PlaceEnd::Silent,
            HopOutcome::NotRun { .. } => PlaceEnd::Cancelled,
            HopOutcome::Unknown {
                cause: Cause::Deadline,
            } => PlaceEnd::Cancelled,
            HopOutcome::Unknown { .. } => PlaceEnd::Failed,
        }
    }
}

fn served(outcome: &HopOutcome, plan: &Plan) -> Option<Served> {
    match outcome {
        HopOutcome::Answered(answer) if !answer.failed => Some(Served {
            work: plan.work,
            usual: answer.usual,
            body_bytes: answer.body.len(),
        }),
        _ => None,
    }
}
