//! Publishes a change and retries under the same change id until the outcome is known.
//!
//! The daemons are called in rounds. A round calls them in order until one reports the verdict.

use std::time::Duration;

use clap::ArgMatches;
use cornelvalve_api::{ApiError, ErrorKind, OperatorsClient, PublishReport, Verdict, WaitFor};
use cornelvalve_model::{Change, ChangeId, Operation, Revision};
use tokio::time::Instant;
use uuid::Uuid;

use crate::client::{CallError, Daemons};
use crate::output::Output;
use crate::{CtlError, Exit, Result};

/// Delay between two rounds.
const ROUND_DELAY: Duration = Duration::from_millis(500);

/// Publishes an operation with the options of the command and prints the report.
///
/// `default_expected_revision` is the expected revision that applies if the command line gives
/// none.
pub(crate) async fn publish(
    args: &ArgMatches,
    operation: Operation,
    default_expected_revision: Option<Revision>,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    let given = args.get_one::<u64>("expects").copied().map(Revision);
    let change = Change {
        id: ChangeId(
            args.get_one("change-id")
                .copied()
                .unwrap_or_else(Uuid::new_v4),
        ),
        author: args.get_one("author").cloned().unwrap_or_default(),
        expects: given.or(default_expected_revision),
        operation,
    };
    let wait = args.get_one("wait").copied().unwrap_or_default();
    let report = publish_with_retries(&change, wait, daemons).await?;
    output.write_published(&change, &report)?;
    verdict_exit(&change, wait, &report)
}

/// Outcome of one round over the daemons.
///
/// It is that of the last call, with one exception: a failed connection does not replace the error
/// response of the daemon before.
enum RoundOutcome {
    /// A daemon reported the verdict on the change.
    Reported(PublishReport),
    /// A daemon answered with an error.
    ErrorResponse(ApiError),
    /// The last call made no connection; holds the message for the operator.
    NotConnected(String),
    /// The last daemon may have appended the change, but its verdict is not known.
    Unknown,
}

/// Calls the daemons in rounds until one reports the verdict or the timeout of the command expires.
///
/// An error is returned immediately if it is certain that no daemon appended the change. Otherwise
/// the rounds go on, because the error does not rule out that an earlier call succeeded.
async fn publish_with_retries(
    change: &Change,
    wait: WaitFor,
    daemons: &Daemons,
) -> Result<PublishReport> {
    let deadline = Instant::now() + daemons.timeout();
    let mut possibly_appended = false;
    loop {
        match try_each_daemon(change, wait, deadline, daemons, &mut possibly_appended).await {
            RoundOutcome::Reported(report) => return Ok(report),
            RoundOutcome::ErrorResponse(e) if !possibly_appended => return Err(e.into()),
            RoundOutcome::NotConnected(e) if !possibly_appended => {
                return Err(CtlError::unreachable(e));
            }
            _ if Instant::now() + ROUND_DELAY >= deadline => return Err(unknown_outcome(change)),
            _ => tokio::time::sleep(ROUND_DELAY).await,
        }
    }
}

/// Runs one round over the daemons and returns its outcome.
///
/// Sets `possibly_appended` if a call may have appended the change without reporting a verdict.
/// Appending the same change id again has no second effect, so a call without a response may be
/// repeated at another daemon.
async fn try_each_daemon(
    change: &Change,
    wait: WaitFor,
    deadline: Instant,
    daemons: &Daemons,
    possibly_appended: &mut bool,
) -> RoundOutcome {
    let mut last = RoundOutcome::Unknown;
    for addr in daemons.addrs() {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let timeout_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let call = daemons.call_one(*addr, async |client| {
            client.publish(change.clone(), wait, timeout_ms).await
        });
        last = match call.await {
            Ok(report) if report.verdict != Verdict::Unknown => {
                return RoundOutcome::Reported(report);
            }
            Err(CallError::NotConnected(e)) => match last {
                // An error response of another daemon says more than a failed connection.
                RoundOutcome::ErrorResponse(earlier) => RoundOutcome::ErrorResponse(earlier),
                _ => RoundOutcome::NotConnected(format!("{addr} did not answer: {e}")),
            },
            Err(CallError::ErrorResponse(e)) if e.kind == ErrorKind::BadRequest => {
                return RoundOutcome::ErrorResponse(e);
            }
            Err(CallError::ErrorResponse(e)) => RoundOutcome::ErrorResponse(e),
            Ok(_) | Err(CallError::NoResponse(_)) => {
                *possibly_appended = true;
                RoundOutcome::Unknown
            }
        };
    }
    last
}

/// Returns the error for a change whose outcome is unknown.
fn unknown_outcome(change: &Change) -> CtlError {
    CtlError::new(
        Exit::UnknownOutcome,
        format!("change {} may or may not have taken effect", change.id),
        format!("repeat the command with --change-id {}", change.id),
    )
}

/// Returns success if the change reached the stage that the command waits for, otherwise the error
/// that says how far it got.
fn verdict_exit(change: &Change, wait: WaitFor, report: &PublishReport) -> Result<Exit> {
    match &report.verdict {
        Verdict::Rejected { reason } => Err(CtlError::new(
            Exit::Rejected,
            format!("the change was rejected: {reason}"),
            "list the entries, correct the change and repeat the command without --change-id",
        )),
        Verdict::Unknown => Err(unknown_outcome(change)),
        Verdict::Published if wait != WaitFor::Published => Err(CtlError::new(
            Exit::UnknownOutcome,
            "the log has stored the change, but it is not known yet whether it is accepted",
            format!("repeat the command with --change-id {}", change.id),
        )),
        Verdict::Accepted if wait == WaitFor::InForce => Err(CtlError::new(
            Exit::NotInForce,
            format!(
                "{} members have not confirmed the change in time",
                report.unconfirmed.len()
            ),
            "list the members with `cornelctl in-force` and check the daemons on their VMs",
        )),
        Verdict::Published | Verdict::Accepted | Verdict::InForce => Ok(Exit::Success),
    }
}
