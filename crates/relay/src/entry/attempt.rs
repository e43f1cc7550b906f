//! One attempt of a request: runs it at the local upstream or sends it to another daemon, and
//! reports the outcome to the router.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use cornelvalve_policy::{CallResult, LoadReport, TargetOutcome};
use tokio::time::timeout;

use super::EntryContext;
use crate::connector::ConnectError;
use crate::hop::{
    self, Frame, FrameConnection, HopCall, HopError, HopOutcome, HopReply, HopRequest,
};
use crate::messages::{
    AttemptReport, CostSample, DEFAULT_RETRY_AFTER, ResolvedRoute, SelectedUpstream,
};
use crate::ports::Cause;
use crate::runner::RunResult;

impl EntryContext {
    /// Makes an attempt at the selected upstream and returns its outcome.
    pub(super) async fn attempt(
        &self,
        mut selected: SelectedUpstream,
        request: HopRequest,
        resolved: &ResolvedRoute,
    ) -> HopOutcome {
        let result = match selected.addr {
            None => AttemptReply::from(self.runner.run(&request).await),
            Some(addr) => self.attempt_at_peer(addr, &mut selected, request).await,
        };
        let report = AttemptReport {
            vm: selected.vm,
            outcome: result.target_outcome(),
            load: result.load,
            cost: cost_sample(&result.outcome, resolved),
        };
        selected.report.finish(report);
        result.outcome
    }

    /// Sends a request to another daemon and waits for its outcome there.
    async fn attempt_at_peer(
        &self,
        addr: SocketAddr,
        selected: &mut SelectedUpstream,
        request: HopRequest,
    ) -> AttemptReply {
        let connection = self.connector.connect_peer(&self.pool, addr).await;
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(ConnectError::TooMany) => {
                log::debug!("no connection to {addr}: too many are open");
                return AttemptReply::not_run(Cause::Overloaded);
            }
            Err(e) => {
                log::info!(event = "peer-unreachable", peer:% = addr, request = request.attempt_id.as_deref(); "cannot connect to the peer: {e}");
                return AttemptReply::connection_failed(HopOutcome::NotRun {
                    cause: Cause::Unreachable,
                    reached_upstream: false,
                    retry_after: Duration::ZERO,
                });
            }
        };
        let attempt_id = request.attempt_id.clone();
        let frame = match hop::encode(HopCall::Run(Box::new(request))) {
            Ok(frame) => frame,
            Err(e) => {
                log::error!(event = "request-not-encoded", request = attempt_id.as_deref(); "request for the peer was not encoded: {e}");
                return AttemptReply::not_run(Cause::Internal);
            }
        };
        match exchange(&mut connection, &frame, selected).await {
            Ok(result) => {
                self.connector.return_peer(&self.pool, addr, connection);
                result
            }
            Err(HopError::NoMemory(bytes)) => {
                log::info!(event = "response-discarded", peer:% = addr, request = attempt_id.as_deref(), bytes = bytes; "no memory for the response of the peer, outcome unknown");
                self.connector.return_peer(&self.pool, addr, connection);
                AttemptReply::discarded()
            }
            Err(e) => {
                log::info!(event = "peer-exchange-failed", peer:% = addr, request = attempt_id.as_deref(); "exchange with the peer failed, outcome unknown: {e}");
                AttemptReply::connection_failed(HopOutcome::Unknown {
                    cause: Cause::ConnectionLost,
                })
            }
        }
    }
}

/// Sends a request to another daemon and returns its reply.
///
/// # Errors
///
/// Returns [`HopError`] if the connection failed or a reply cannot be decoded or is unexpected.
async fn exchange(
    connection: &mut FrameConnection,
    frame: &Frame,
    selected: &mut SelectedUpstream,
) -> hop::Result<AttemptReply> {
    match send_and_await_ack(connection, frame, selected).await? {
        HopReply::Received => {}
        other => return Err(HopError::Malformed(format!("unexpected reply: {other:?}"))),
    }
    selected.acknowledged.send_replace(true);
    // If the attempt is dropped from here on, that says nothing about the VM.
    selected.report.set_on_drop(AttemptReport::without_load(
        selected.vm.clone(),
        TargetOutcome::Inconclusive,
    ));
    match connection.receive().await? {
        HopReply::Done { outcome, load } => Ok(AttemptReply {
            outcome,
            load: load.map(LoadReport::from),
            connection_failed: false,
        }),
        other => Err(HopError::Malformed(format!("unexpected reply: {other:?}"))),
    }
}

/// Sends a request and returns the first reply, with which the other daemon acknowledges it.
///
/// Keeps waiting after the acknowledgement timeout, because the request may still be in transit on
/// a saturated link. An attempt that is dropped after the timeout reports the VM as unresponsive.
async fn send_and_await_ack(
    connection: &mut FrameConnection,
    frame: &Frame,
    selected: &mut SelectedUpstream,
) -> hop::Result<HopReply> {
    let mut reply = pin!(async {
        connection.send(frame).await?;
        connection.receive().await
    });
    match timeout(selected.ack_timeout, &mut reply).await {
        Ok(reply) => reply,
        Err(_) => {
            let unresponsive =
                AttemptReport::without_load(selected.vm.clone(), TargetOutcome::Unresponsive);
            selected.report.set_on_drop(unresponsive);
            reply.await
        }
    }
}

/// Reply of the daemon beside the selected upstream to an attempt.
struct AttemptReply {
    outcome: HopOutcome,
    load: Option<LoadReport>,
    /// Whether the other daemon could not be reached, its connection failed or it violated the
    /// protocol. Its VM then counts as unresponsive.
    connection_failed: bool,
}

impl From<RunResult> for AttemptReply {
    fn from(result: RunResult) -> Self {
        Self {
            outcome: result.outcome,
            load: result.load,
            connection_failed: false,
        }
    }
}

impl AttemptReply {
    /// Returns the reply that stands for a failed connection.
    fn connection_failed(outcome: HopOutcome) -> Self {
        Self {
            outcome,
            load: None,
            connection_failed: true,
        }
    }

    /// Returns the reply that stands for a response for which there was no memory.
    fn discarded() -> Self {
        Self {
            outcome: HopOutcome::Unknown {
                cause: Cause::Internal,
            },
            load: None,
            connection_failed: false,
        }
    }

    /// Returns the reply that stands for a request that was not sent.
    fn not_run(cause: Cause) -> Self {
        Self {
            outcome: HopOutcome::NotRun {
                cause,
                reached_upstream: false,
                retry_after: DEFAULT_RETRY_AFTER,
            },
            load: None,
            connection_failed: false,
        }
    }

    /// Returns what the reply says about the upstream.
    fn target_outcome(&self) -> TargetOutcome {
        match &self.outcome {
            _ if self.connection_failed => TargetOutcome::Unresponsive,
            HopOutcome::Answered(response) if response.failed => {
                TargetOutcome::Finished(CallResult::Failed)
            }
            HopOutcome::Answered(_) => TargetOutcome::Finished(CallResult::Succeeded),
            HopOutcome::NotRun {
                reached_upstream: true,
                ..
            } => TargetOutcome::Finished(CallResult::Refused),
            HopOutcome::NotRun {
                cause: Cause::Unreachable,
                ..
            } => TargetOutcome::Unresponsive,
            // Refused by the daemon, which says nothing about failures of the upstream.
            HopOutcome::NotRun { .. } => TargetOutcome::Inconclusive,
            // The deadline may have been too short for the request, or this daemon had no memory for
            // the response.
            HopOutcome::Unknown {
                cause: Cause::Deadline | Cause::Internal,
            } => TargetOutcome::Inconclusive,
            HopOutcome::Unknown { .. } => TargetOutcome::Finished(CallResult::Failed),
        }
    }
}

/// Returns the cost of a request that was served; `None` for any other outcome.
fn cost_sample(outcome: &HopOutcome, resolved: &ResolvedRoute) -> Option<CostSample> {
    match outcome {
        HopOutcome::Answered(response) if !response.failed => Some(CostSample {
            work: resolved.work,
            baseline: response.baseline,
            body_bytes: response.body.len(),
        }),
        _ => None,
    }
}
