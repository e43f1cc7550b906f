//! One attempt: offers a request to a place and reports how it ended there.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use cornelvalve_policy::{CallResult, LoadReport, TargetOutcome};
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
        mut placed: Placed,
        request: HopRequest,
        plan: &Plan,
    ) -> HopOutcome {
        let offered = match placed.addr {
            None => Offered::from(self.runner.run(&request).await),
            Some(addr) => self.offer_peer(addr, &mut placed, request).await,
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
        addr: SocketAddr,
        placed: &mut Placed,
        request: HopRequest,
    ) -> Offered {
        let connection = self.links.connect_peer(&self.pool, addr).await;
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
        match exchange(&mut connection, &frame, placed).await {
            Ok(offered) => {
                self.links.return_peer(&self.pool, addr, connection);
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
    placed: &mut Placed,
) -> hop::Result<Offered> {
    match wait_for_sign(connection, frame, placed).await? {
        HopReply::Taken => {}
        other => return Err(HopError::Malformed(format!("unexpected {other:?}"))),
    }
    placed.sign.send_replace(true);
    placed.report.set_on_drop(PlaceReport::without_load(
        placed.vm.clone(),
        TargetOutcome::Inconclusive,
    ));
    match connection.receive().await? {
        HopReply::Done { outcome, load } => Ok(Offered {
            outcome,
            load: load.map(LoadReport::from),
            silent: false,
        }),
        other => Err(HopError::Malformed(format!("unexpected {other:?}"))),
    }
}

/// Sends a request and waits for the sign that the other daemon has it.
///
/// A late sign is waited for, because the request may be on its way over a full link; if the attempt
/// is given up meanwhile, its place counts as silent.
async fn wait_for_sign(
    connection: &mut FrameConnection,
    frame: &[u8],
    placed: &mut Placed,
) -> hop::Result<HopReply> {
    let mut sign = pin!(async {
        connection.send(frame).await?;
        connection.receive().await
    });
    match timeout(placed.taken_within, &mut sign).await {
        Ok(taken) => taken,
        Err(_) => {
            let silent = PlaceReport::without_load(placed.vm.clone(), TargetOutcome::Unresponsive);
            placed.report.set_on_drop(silent);
            sign.await
        }
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

    fn place_end(&self) -> TargetOutcome {
        match &self.outcome {
            _ if self.silent => TargetOutcome::Unresponsive,
            HopOutcome::Answered(answer) if answer.failed => {
                TargetOutcome::Finished(CallResult::Failed)
            }
            HopOutcome::Answered(_) => TargetOutcome::Finished(CallResult::Succeeded),
            HopOutcome::NotRun { arrived: true, .. } => {
                TargetOutcome::Finished(CallResult::Refused)
            }
            HopOutcome::NotRun {
                cause: Cause::Unreachable,
                ..
            } => TargetOutcome::Unresponsive,
            HopOutcome::NotRun { .. } => TargetOutcome::Inconclusive,
            HopOutcome::Unknown {
                cause: Cause::Deadline,
            } => TargetOutcome::Inconclusive,
            HopOutcome::Unknown { .. } => TargetOutcome::Finished(CallResult::Failed),
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
