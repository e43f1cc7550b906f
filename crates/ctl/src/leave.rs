//! Runs `leave`, which asks each daemon of a failure domain to leave: to finish its running
//! requests and accept no new ones.

use std::net::SocketAddr;

use clap::ArgMatches;
use cornelvalve_api::{LeaveReport, OperatorsClient};
use cornelvalve_model::{FailureDomain, Member, MemberState, VmName};

use crate::client::Daemons;
use crate::output::Output;
use crate::{CtlError, Exit, Result};

/// Warns that `leave` does not affect daemons that start later.
const NOT_RECORDED_NOTE: &str = "leave is not remembered: a daemon that starts in this failure \
    domain takes work; record it with `cornelctl domain out` once the log store answers";

/// Asks all daemons of the failure domain that may still be running to leave, and prints their
/// reports. Fails if a daemon gave no report.
pub(crate) async fn run(
    args: &ArgMatches,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    let domain = args
        .get_one::<FailureDomain>("domain")
        .ok_or_else(|| CtlError::usage("domain is missing"))?;
    let in_domain: Vec<Member> = daemons
        .call_first_available(async |client| client.members().await)
        .await?
        .into_iter()
        .map(|report| report.member)
        .filter(|member| member.domain == *domain)
        .collect();
    // Success for a misspelled name would suggest that the failure domain is drained.
    if in_domain.is_empty() {
        let message = format!("failure domain {domain} has no members");
        let remedy = "check the name with `cornelctl members`";
        return Err(CtlError::new(Exit::Usage, message, remedy));
    }
    let members: Vec<(VmName, SocketAddr)> = in_domain
        .into_iter()
        .filter(may_be_running)
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
fn may_be_running(member: &Member) -> bool {
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
            // A report of another VM means that the address no longer belongs to this VM's daemon.
            Ok(report) if report.vm == *vm => reports.push(report),
            Ok(_) | Err(_) => failed.push(vm.clone()),
        }
    }
    (reports, failed)
}
