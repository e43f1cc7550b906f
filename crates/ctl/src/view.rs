//! Commands that look at daemons.

use std::net::SocketAddr;

use clap::ArgMatches;
use cornelvalve_api::{OperatorsClient, TimelinePage, Timestamp};
use cornelvalve_model::{MemberState, Revision};

use crate::client::Daemons;
use crate::merge::merge;
use crate::output::Output;
use crate::{CtlError, Exit, Result};

pub(crate) async fn status(daemons: &Daemons, output: &mut Output<'_>) -> Result<Exit> {
    let status = daemons.call(async |client| client.status().await).await?;
    output.status(&status)?;
    Ok(Exit::Success)
}

pub(crate) async fn members(daemons: &Daemons, output: &mut Output<'_>) -> Result<Exit> {
    let members = daemons.call(async |client| client.members().await).await?;
    output.members(&members)?;
    Ok(Exit::Success)
}

pub(crate) async fn in_force(
    sub: &ArgMatches,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    let revision = Revision(sub.get_one::<u64>("revision").copied().unwrap_or_default());
    let report = daemons
        .call(async |client| client.in_force(revision).await)
        .await?;
    output.in_force(&report)?;
    if report.unconfirmed.is_empty() {
        return Ok(Exit::Success);
    }
    Err(CtlError::new(
        Exit::NotInForce,
        format!(
            "{} members have not confirmed {revision}",
            report.unconfirmed.len()
        ),
        "repeat the command, then look at the VMs that are listed",
    ))
}

pub(crate) async fn timeline(
    sub: &ArgMatches,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    let after = sub.get_one::<Timestamp>("after").copied();
    let limit = sub.get_one::<u32>("limit").copied().unwrap_or_default();
    let mut failed = Vec::new();
    let mut timelines = Vec::new();
    let addrs = addresses(sub, daemons).await?;
    let pages = daemons
        .call_each(&addrs, move |client| async move {
            client.timeline(after, limit).await
        })
        .await;
    for (addr, page) in pages {
        match page {
            Ok(TimelinePage { events, gap, .. }) => {
                if gap {
                    output.note(&format!("{addr} has dropped older events"))?;
                }
                timelines.push(events);
            }
            Err(e) => failed.push(e.into_ctl(addr)),
        }
    }
    output.timeline(&merge(timelines))?;
    match failed.into_iter().next() {
        Some(e) => Err(e),
        None => Ok(Exit::Success),
    }
}

/// Returns the daemons whose timelines are merged.
async fn addresses(sub: &ArgMatches, daemons: &Daemons) -> Result<Vec<SocketAddr>> {
    if !sub.get_flag("members") {
        return Ok(daemons.addrs().to_vec());
    }
    let members = daemons.call(async |client| client.members().await).await?;
    let runs = |state| !matches!(state, MemberState::Left | MemberState::Dead);
    Ok(members
        .into_iter()
        .filter(|report| report.reachable && runs(report.member.state))
        .map(|report| report.member.operator_addr)
        .collect())
}
