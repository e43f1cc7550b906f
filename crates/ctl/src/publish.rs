//! Publishing a change, with repeats under the same change id.

use std::time::Duration;

use clap::ArgMatches;
use cornelvalve_api::{ApiError, ErrorKind, OperatorsClient, PublishReport, Verdict, WaitFor};
use cornelvalve_model::{Change, ChangeId, Operation, Revision};
use tokio::time::Instant;
use uuid::Uuid;

use crate::client::{CallError, Daemons};
use crate::output::Output;
use crate::{CtlError, Exit, Result};

/// Pause between two rounds over the daemons.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// Publishes an operation as the flags of the command say and prints the report.
pub(crate) async fn publish(
    sub: &ArgMatches,
    operation: Operation,
    expects: Option<Revision>,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    let given = sub.get_one::<u64>("expects").copied().map(Revision);
    let change = Change {
        id: ChangeId(
            sub.get_one("change-id")
                .copied()
                .unwrap_or_else(Uuid::new_v4),
        ),
        author: sub.get_one("author").cloned().unwrap_or_default(),
        expects: given.or(expects),
        operation,
    };
    let wait = sub.get_one("wait").copied().unwrap_or_default();
    let report = send(&change, wait, daemons).await?;
    output.published(&change, &report)?;
    verdict_exit(&change, wait, &report)
}

/// Outcome of one round over the daemons.
enum Round {
    Done(PublishReport),
    Refused(ApiError),
    NoneConnected(String),
    Unknown,
}

/// Sends the change until a daemon knows its verdict or the time is over.
async fn send(change: &Change, wait: WaitFor, daemons: &Daemons) -> Result<PublishReport> {
    let deadline = Instant::now() + daemons.timeout();
    let mut may_be_appended = false;
    loop {
        match round(change, wait, deadline, daemons, &mut may_be_appended).await {
            Round::Done(report) => return Ok(report),
            Round::Refused(e) if !may_be_appended => return Err(e.into()),
            Round::NoneConnected(e) if !may_be_appended => return Err(CtlError::unreachable(e)),
            _ if Instant::now() + ROUND_PAUSE >= deadline => return Err(unknown(change)),
            _ => tokio::time::sleep(ROUND_PAUSE).await,
        }
    }
}

/// Tries each daemon once. Appending the same change id again has no second effect, so a call
/// without response may be repeated elsewhere.
async fn round(
    change: &Change,
    wait: WaitFor,
    deadline: Instant,
    daemons: &Daemons,
    may_be_appended: &mut bool,
) -> Round {
    let mut last = Round::Unknown;
    for addr in daemons.addrs() {
        let left = deadline.saturating_duration_since(Instant::now());
        let timeout_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let call = daemons.call_one(*addr, async |client| {
            client.publish(change.clone(), wait, timeout_ms).await
        });
        last = match call.await {
            Ok(report) if report.verdict != Verdict::Unknown => return Round::Done(report),
            Err(CallError::NotConnected(e)) => match last {
                // The answer of another daemon tells more than a failed connection.
                Round::Refused(earlier) => Round::Refused(earlier),
                _ => Round::NoneConnected(format!("{addr} did not answer: {e}")),
            },
            Err(CallError::Refused(e)) if e.kind == ErrorKind::BadRequest => {
                return Round::Refused(e);
            }
            Err(CallError::Refused(e)) => Round::Refused(e),
            Ok(_) | Err(CallError::NoResponse(_)) => {
                *may_be_appended = true;
                Round::Unknown
            }
        };
    }
    last
}

fn unknown(change: &Change) -> CtlError {
    CtlError::new(
        Exit::UnknownOutcome,
        format!("change {} may or may not have taken effect", change.id),
        format!("repeat the command with --change-id {}", change.id),
    )
}

fn verdict_exit(change: &Change, wait: WaitFor, report: &PublishReport) -> Result<Exit> {
    match &report.verdict {
        Verdict::Rejected { reason } => Err(CtlError::new(
            Exit::Rejected,
            format!("the change was rejected: {reason}"),
            "list the entry and repeat the command with a new change",
        )),
        Verdict::Unknown => Err(unknown(change)),
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
