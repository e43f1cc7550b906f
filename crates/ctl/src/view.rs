//! Runs the commands that query daemons: `status`, `members`, `in-force` and `timeline`.
//!
//! A revision of the configuration is in force when all members have confirmed that they applied
//! it.

use std::net::SocketAddr;

use clap::ArgMatches;
use cornelvalve_api::{OperatorsClient, TimelinePage, Timestamp};
use cornelvalve_model::{MemberState, Revision};

use crate::client::Daemons;
use crate::merge::merge;
use crate::output::Output;
use crate::{CtlError, Exit, Result};

/// Prints the status of the first daemon that answers.
pub(crate) async fn status(daemons: &Daemons, output: &mut Output<'_>) -> Result<Exit> {
    let status = daemons
        .call_first_available(async |client| client.status().await)
        .await?;
    output.write_status(&status)?;
    Ok(Exit::Success)
}

/// Prints the members that the first daemon that answers knows.
pub(crate) async fn members(daemons: &Daemons, output: &mut Output<'_>) -> Result<Exit> {
    let members = daemons
        .call_first_available(async |client| client.members().await)
        .await?;
    output.write_members(&members)?;
    Ok(Exit::Success)
}

/// Prints the members that have not confirmed a revision or did not answer; fails if there are any.
pub(crate) async fn in_force(
    args: &ArgMatches,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    // The argument is required, so the default is not used.
    let revision = Revision(args.get_one::<u64>("revision").copied().unwrap_or_default());
    let report = daemons
        .call_first_available(async |client| client.in_force(revision).await)
        .await?;
    output.write_in_force(&report)?;
    if report.unconfirmed.is_empty() {
        return Ok(Exit::Success);
    }
    Err(CtlError::new(
        Exit::NotInForce,
        format!(
            "{} members have not confirmed {revision}",
            report.unconfirmed.len()
        ),
        "repeat the command; if members remain, check the daemons on the listed VMs",
    ))
}

/// Prints the merged events of several daemons.
///
/// If a daemon does not answer, the events of the others are printed before the command fails.
pub(crate) async fn timeline(
    args: &ArgMatches,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    let after = args.get_one::<Timestamp>("after").copied();
    // The argument has a default value, so the default of the type is not used.
    let limit = args.get_one::<u32>("limit").copied().unwrap_or_default();
    let mut failed = Vec::new();
    let mut timelines = Vec::new();
    let addrs = timeline_addrs(args, daemons).await?;
    let pages = daemons
        .call_each(&addrs, move |client| async move {
            client.timeline(after, limit).await
        })
        .await;
    for (addr, page) in pages {
        match page {
            Ok(TimelinePage { events, gap, .. }) => {
                if gap {
                    output.write_note(&format!("{addr} has dropped older events"))?;
                }
                timelines.push(events);
            }
            Err(e) => failed.push(e.into_ctl_error(addr)),
        }
    }
    output.write_timeline(&merge(timelines))?;
    // Only the first error is reported.
    match failed.into_iter().next() {
        Some(e) => Err(e),
        None => Ok(Exit::Success),
    }
}

/// Returns the addresses of the daemons whose timelines are merged.
async fn timeline_addrs(args: &ArgMatches, daemons: &Daemons) -> Result<Vec<SocketAddr>> {
    if !args.get_flag("members") {
        return Ok(daemons.addrs().to_vec());
    }
    let members = daemons
        .call_first_available(async |client| client.members().await)
        .await?;
    let may_be_running = |state| !matches!(state, MemberState::Left | MemberState::Dead);
    Ok(members
        .into_iter()
        .filter(|report| report.reachable && may_be_running(report.member.state))
        .map(|report| report.member.operator_addr)
        .collect())
}
