//! Publishes a change and retries under the same change id until the outcome is known.

use std::time::Duration;

use clap::ArgMatches;
use cornelvalve_api::{ApiError, ErrorKind, OperatorsClient, PublishReport, Verdict, WaitFor};
use cornelvalve_model::{Change, ChangeId, Operation, Revision};
use tokio::time::Instant;
use uuid::Uuid;

use crate::client::{CallError, Daemons};
use crate::output::Output;
use crate::{CtlError, Exit, Result};

/// Delay between two rounds; a round calls each daemon once.
const ROUND_DELAY: Duration = Duration::from_millis(500);

/// Publishes an operation with the options of the command and prints the report.
///
/// `default_expects` is the expected revision that applies if the command line gives none.
pub(crate) async fn publish(
    args: &ArgMatches,
    operation: Operation,
    default_expects: Option<Revision>,
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
        expects: given.or(default_expects),
        operation,
    };
    let wait = args.get_one("wait").copied().unwrap_or_default();
    let report = publish_with_retries(&change, wait, daemons).await?;
    output.write_published(&change, &report)?;
    verdict_exit(&change, wait, &report)
}

/// Outcome of calling each daemon once.
enum RoundOutcome {
    /// A daemon reported the verdict on the change.
    Reported(PublishReport),
    /// A daemon answered with an error.
    ErrorResponse(ApiError),
    /// The last call made no connection; holds the message for the operator.
    NotConnected(String),
    /// A daemon may have appended the change, but no verdict is known.
    Unknown,
}

/// Calls the daemons in rounds until one reports the verdict or the timeout of the command expires.
///
/// Errors are returned at once only as long as no daemon may have appended the change. After that
/// they do not show that the change had no effect, so the rounds go on.
async fn publish_with_retries(
    change: &Change,
    wait: WaitFor,
    daemons: &Daemons,
) -> Result<PublishReport> {
    let deadline = Instant::now() + daemons.timeout();
    let mut may_be_appended = false;
    loop {
        match try_each_daemon(change, wait, deadline, daemons, &mut may_be_appended).await {
            RoundOutcome::Reported(report) => return Ok(report),
            RoundOutcome::ErrorResponse(e) if !may_be_appended => return Err(e.into()),
            RoundOutcome::NotConnected(e) if !may_be_appended => {
                return Err(CtlError::unreachable(e));
            }
            _ if Instant::now() + ROUND_DELAY >= deadline => return Err(unknown_outcome(change)),
            _ => tokio::time::sleep(ROUND_DELAY).await,
        }
    }
}

/// Calls each daemon once and returns the outcome.
///
/// Appending the same change id again has no second effect, so a call without a response may be
/// repeated at another daemon.
async fn try_each_daemon(
    change: &Change,
    wait: WaitFor,
    deadline: Instant,
    daemons: &Daemons,
    may_be_appended: &mut bool,
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
                *may_be_appended = true;
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
            "list the entry and repeat the command with a new change",
        )),
        Verdict::Unknown => Err(unknown_outcome(change)),
        Verdict::Published if wait != WaitFor::Published => Err(CtlError::new(
            Exit::UnknownOutcome,
            "the change is stored, but not known to be accepted",
            format!("repeat the command with --change-id {}", change.id),
        )),
        Verdict::Accepted if wait == WaitFor::InForce => Err(CtlError::new(
            Exit::NotInForce,
            format!(
                "{} members have not confirmed the change in time",
                report.unconfirmed.len()
            ),
            "look at the members with `cornelctl in-force` and at their VMs",
        )),
        Verdict::Published | Verdict::Accepted | Verdict::InForce => Ok(Exit::Success),
    }
}
