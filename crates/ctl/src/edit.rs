//! Commands that list and change the configuration.

use std::path::PathBuf;

use clap::ArgMatches;
use cornelvalve_api::{EntryKind, OperatorsClient};
use cornelvalve_model::{
    DomainState, FailureDomain, Operation, Region, Revision, Route, Rule, Service, ServiceName,
    TeamName, VersionedEntry,
};

use crate::client::Daemons;
use crate::file::read_service;
use crate::output::Output;
use crate::publish::publish;
use crate::{CtlError, Exit, Result};

pub(crate) async fn run(
    group: &str,
    matches: &ArgMatches,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    let kind = entry_kind(group)?;
    match matches.subcommand() {
        Some(("list", _)) => {
            let entries = list(kind, daemons).await?;
            output.entries(&entries)?;
            Ok(Exit::Success)
        }
        Some((verb @ ("out" | "in"), sub)) => {
            let (operation, seen) = domain_state(verb, sub, daemons).await?;
            publish(sub, operation, Some(seen), daemons, output).await
        }
        Some((verb, sub)) => {
            let operation = operation(kind, verb, sub)?;
            let expects = default_expects(&operation);
            publish(sub, operation, expects, daemons, output).await
        }
        None => Err(CtlError::usage("no command was given")),
    }
}

fn entry_kind(group: &str) -> Result<EntryKind> {
    match group {
        "service" => Ok(EntryKind::Service),
        "domain" => Ok(EntryKind::Domain),
        "region" => Ok(EntryKind::Region),
        "team" => Ok(EntryKind::Team),
        "rule" => Ok(EntryKind::Rule),
        _ => Err(CtlError::usage("unknown command")),
    }
}

async fn list(kind: EntryKind, daemons: &Daemons) -> Result<Vec<VersionedEntry>> {
    daemons
        .call(async |client| client.entries(Some(kind)).await)
        .await
}

/// Sets the state of a failure domain on top of the entry that was read, so that a change made by
/// another operator meanwhile is not overwritten.
async fn domain_state(
    verb: &str,
    sub: &ArgMatches,
    daemons: &Daemons,
) -> Result<(Operation, Revision)> {
    let name: FailureDomain = required(sub, "name")?;
    let state = if verb == "out" {
        DomainState::OutOfService
    } else {
        DomainState::InService
    };
    let entries = list(EntryKind::Domain, daemons).await?;
    entries
        .into_iter()
        .find_map(|entry| match entry.operation {
            Operation::PutDomain { domain, region, .. } if domain == name => Some((
                Operation::PutDomain {
                    domain,
                    region,
                    state,
                },
                entry.revision,
            )),
            _ => None,
        })
        .ok_or_else(|| {
            CtlError::new(
                Exit::Usage,
                format!("there is no failure domain {name}"),
                "see `cornelctl domain list`",
            )
        })
}

/// Returns the expected revision where the command line gives none.
///
/// `domain put` only creates: over an existing entry it would return a failure domain to service
/// that operators have taken out.
fn default_expects(operation: &Operation) -> Option<Revision> {
    matches!(operation, Operation::PutDomain { .. }).then_some(Revision(0))
}

fn operation(kind: EntryKind, verb: &str, sub: &ArgMatches) -> Result<Operation> {
    Ok(match (kind, verb) {
        (EntryKind::Service, "put") => Operation::PutService(service(sub)?),
        (EntryKind::Service, _) => Operation::RemoveService {
            service: required(sub, "name")?,
        },
        (EntryKind::Domain, "put") => Operation::PutDomain {
            domain: required(sub, "name")?,
            region: required(sub, "region")?,
            state: DomainState::InService,
        },
        (EntryKind::Domain, _) => Operation::RemoveDomain {
            domain: required(sub, "name")?,
        },
        (EntryKind::Region, "put") => Operation::PutRegion {
            region: required(sub, "name")?,
        },
        (EntryKind::Region, _) => Operation::RemoveRegion {
            region: required(sub, "name")?,
        },
        (EntryKind::Team, "put") => Operation::PutTeam {
            team: required(sub, "name")?,
        },
        (EntryKind::Team, _) => Operation::RemoveTeam {
            team: required(sub, "name")?,
        },
        (EntryKind::Rule, "put") => Operation::PutRule(rule(sub)?),
        (EntryKind::Rule, _) => Operation::RemoveRule {
            rule: required(sub, "name")?,
        },
    })
}

fn service(sub: &ArgMatches) -> Result<Service> {
    if let Some(path) = sub.get_one::<PathBuf>("file") {
        return read_service(path);
    }
    Ok(Service {
        name: required::<ServiceName>(sub, "name")?,
        hosts: many::<String>(sub, "host"),
        routes: many::<Route>(sub, "route"),
        timeout_ms: required(sub, "timeout-ms")?,
    })
}

fn rule(sub: &ArgMatches) -> Result<Rule> {
    Ok(Rule {
        name: required(sub, "name")?,
        team: sub.get_one::<TeamName>("team").cloned(),
        service: sub.get_one::<ServiceName>("service").cloned(),
        route: sub.get_one("route").cloned(),
        regions: many::<Region>(sub, "region").into_iter().collect(),
    })
}

fn required<T: Clone + Send + Sync + 'static>(sub: &ArgMatches, id: &str) -> Result<T> {
    sub.get_one::<T>(id)
        .cloned()
        .ok_or_else(|| CtlError::usage(format!("{id} is missing")))
}

fn many<T: Clone + Send + Sync + 'static>(sub: &ArgMatches, id: &str) -> Vec<T> {
    sub.get_many::<T>(id)
        .map(|values| values.cloned().collect())
        .unwrap_or_default()
}
