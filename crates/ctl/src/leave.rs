//! `leave`: empties a failure domain by asking each of its daemons.

use std::net::SocketAddr;

use clap::ArgMatches;
use cornelvalve_api::{LeaveReport, OperatorsClient};
use cornelvalve_model::{FailureDomain, Member, MemberState, VmName};
use tokio::task::JoinSet;

use crate::client::Daemons;
use crate::output::Output;
use crate::{CtlError, Exit, Result};

/// Daemons that are asked at once.
const PARALLEL: usize = 64;

const NOTE: &str = "leave is not remembered: a daemon that starts in this failure domain takes \
                    work; record it with `cornelctl domain out` once the log store answers";

pub(crate) async fn run(
    sub: &ArgMatches,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    let domain = sub
        .get_one::<FailureDomain>("domain")
        .ok_or_else(|| CtlError::usage("domain is missing"))?;
    let members = daemons
        .call(async |client| client.members().await)
        .await?
        .into_iter()
        .map(|report| report.member)
        .filter(|member| member.domain == *domain && may_run(member))
        .map(|member| (member.vm, member.operator_addr));
    let (mut left, mut failed) = ask_all(members.collect(), domain, daemons).await;
    left.sort_by(|a, b| a.vm.cmp(&b.vm));
    failed.sort();
    output.left(&left)?;
    output.note(NOTE)?;
    if failed.is_empty() {
        return Ok(Exit::Success);
    }
    let names: Vec<&str> = failed.iter().map(VmName::as_str).collect();
    Err(CtlError::new(
        Exit::Unreachable,
        format!("these VMs of {domain} did not leave: {}", names.join(", ")),
        "repeat the command, or stop their daemons on the VMs",
    ))
}

/// Tells whether the daemon may still run and thus has to be asked.
fn may_run(member: &Member) -> bool {
    !matches!(member.state, MemberState::Left | MemberState::Dead)
}

/// Asks each member and returns the reports and the VMs that gave none.
async fn ask_all(
    members: Vec<(VmName, SocketAddr)>,
    domain: &FailureDomain,
    daemons: &Daemons,
) -> (Vec<LeaveReport>, Vec<VmName>) {
    let mut reports: Vec<LeaveReport> = Vec::new();
    let mut running = JoinSet::new();
    let mut pending = members.iter();
    loop {
        while running.len() < PARALLEL
            && let Some((_, addr)) = pending.next()
        {
            running.spawn(ask(*addr, domain.clone(), daemons.clone()));
        }
        match running.join_next().await {
            Some(result) => reports.extend(result.ok().flatten()),
            None => break,
        }
    }
    let answered = |vm: &VmName| reports.iter().any(|report| report.vm == *vm);
    let silent = members
        .into_iter()
        .map(|(vm, _)| vm)
        .filter(|vm| !answered(vm));
    let failed = silent.collect();
    (reports, failed)
}

async fn ask(addr: SocketAddr, domain: FailureDomain, daemons: Daemons) -> Option<LeaveReport> {
    daemons
        .call_one(addr, async move |client| client.leave(domain).await)
        .await
        .ok()
}
