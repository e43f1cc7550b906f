//! Runs `leave`, which empties a failure domain by asking each of its daemons to leave.

use std::net::SocketAddr;

use clap::ArgMatches;
use cornelvalve_api::{LeaveReport, OperatorsClient};
use cornelvalve_model::{FailureDomain, Member, MemberState, VmName};

use crate::client::Daemons;
use crate::output::Output;
use crate::{CtlError, Exit, Result};

/// Note printed after each `leave`.
const NOT_RECORDED_NOTE: &str = "leave is not remembered: a daemon that starts in this failure domain takes \
                    work; record it with `cornelctl domain out` once the log store answers";

/// Asks each daemon of the failure domain that may be running, and prints the reports of those that
/// leave. Fails if one gave no report.
pub(crate) async fn run(
    args: &ArgMatches,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    let domain = args
        .get_one::<FailureDomain>("domain")
        .ok_or_else(|| CtlError::usage("domain is missing"))?;
    let in_domain: Vec<Member> = daemons
        .call(async |client| client.members().await)
        .await?
        .into_iter()
        .map(|report| report.member)
        .filter(|member| member.domain == *domain)
        .collect();
    // If a misspelled name gave success, the operator would take the failure domain for empty.
    if in_domain.is_empty() {
        let message = format!("failure domain {domain} has no members");
        let remedy = "check the name with `cornelctl members`";
        return Err(CtlError::new(Exit::Usage, message, remedy));
    }
    let members: Vec<(VmName, SocketAddr)> = in_domain
        .into_iter()
        .filter(may_run)
        .map(|member| (member.vm, member.operator_addr))
        .collect();
    let (mut reports, mut failed) = ask_all(&members, domain, daemons).await;
    reports.sort_by(|a, b| a.vm.cmp(&b.vm));
    failed.sort();
    output.write_leave_reports(&reports)?;
    output.write_note(NOT_RECORDED_NOTE)?;
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

/// Returns whether the daemon of a member may still be running, so that it must be asked.
fn may_run(member: &Member) -> bool {
    !matches!(member.state, MemberState::Left | MemberState::Dead)
}

/// Asks each member to leave; returns the reports, and the VMs from which none came.
async fn ask_all(
    members: &[(VmName, SocketAddr)],
    domain: &FailureDomain,
    daemons: &Daemons,
) -> (Vec<LeaveReport>, Vec<VmName>) {
    let addrs: Vec<SocketAddr> = members.iter().map(|(_, addr)| *addr).collect();
    let domain = domain.clone();
    let results = daemons
        .call_each(&addrs, move |client| {
            let domain = domain.clone();
            async move { client.leave(domain).await }
        })
        .await;
    let mut reports = Vec::new();
    let mut failed = Vec::new();
    for ((vm, _), (_, result)) in members.iter().zip(results) {
        match result {
            // A report of another VM does not show that the daemon of this VM leaves.
            Ok(report) if report.vm == *vm => reports.push(report),
            Ok(_) | Err(_) => failed.push(vm.clone()),
        }
    }
    (reports, failed)
}
