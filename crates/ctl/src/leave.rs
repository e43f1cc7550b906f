//! `leave`: empties a failure domain by asking each of its daemons.

use std::net::SocketAddr;

use clap::ArgMatches;
use cornelvalve_api::{LeaveReport, OperatorsClient};
use cornelvalve_model::{FailureDomain, Member, MemberState, VmName};

use crate::client::Daemons;
use crate::output::Output;
use crate::{CtlError, Exit, Result};

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
    let known: Vec<Member> = daemons
        .call(async |client| client.members().await)
        .await?
        .into_iter()
        .map(|report| report.member)
        .filter(|member| member.domain == *domain)
        .collect();
    // Success would let an operator with a wrong name believe that the failure domain is empty.
    if known.is_empty() {
        let message = format!("no member stands in failure domain {domain}");
        let remedy = "check the name with `cornelctl members`";
        return Err(CtlError::new(Exit::Usage, message, remedy));
    }
    let members: Vec<(VmName, SocketAddr)> = known
        .into_iter()
        .filter(may_run)
        .map(|member| (member.vm, member.operator_addr))
        .collect();
    let (mut left, mut failed) = ask_all(&members, domain, daemons).await;
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
            Ok(report) if report.vm == *vm => reports.push(report),
            Ok(_) | Err(_) => failed.push(vm.clone()),
        }
    }
    (reports, failed)
}
