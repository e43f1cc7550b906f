//! Runs the commands that list and change the configuration.
//!
//! An entry is a versioned object of the configuration: a service, a failure domain, a region, a
//! team or a residency rule.

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

/// Runs the subcommand of `kind_name`, which names a kind of entry such as `service`.
pub(crate) async fn run(
    kind_name: &str,
    matches: &ArgMatches,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    let kind = entry_kind(kind_name)?;
    match matches.subcommand() {
        Some(("list", _)) => {
            let entries = list_entries(kind, daemons).await?;
            output.write_entries(&entries)?;
            Ok(Exit::Success)
        }
        Some((verb @ ("out" | "in"), args)) => {
            let (operation, revision) = domain_state_change(verb, args, daemons).await?;
            publish(args, operation, Some(revision), daemons, output).await
        }
        Some((verb, args)) => {
            let operation = build_operation(kind, verb, args)?;
            let expected = default_expected_revision(&operation);
            publish(args, operation, expected, daemons, output).await
        }
        None => Err(CtlError::usage("no command was given")),
    }
}

/// Returns the kind of entry that a command operates on.
fn entry_kind(kind_name: &str) -> Result<EntryKind> {
    match kind_name {
        "service" => Ok(EntryKind::Service),
        "domain" => Ok(EntryKind::Domain),
        "region" => Ok(EntryKind::Region),
        "team" => Ok(EntryKind::Team),
        "rule" => Ok(EntryKind::Rule),
        _ => Err(CtlError::usage("unknown command")),
    }
}

/// Returns the entries of one kind with their revisions.
async fn list_entries(kind: EntryKind, daemons: &Daemons) -> Result<Vec<VersionedEntry>> {
    daemons
        .call_first_available(async |client| client.entries(Some(kind)).await)
        .await
}

/// Returns the operation that sets the state of an existing failure domain, and the current
/// revision of its entry.
///
/// Publishing the operation with this revision as the expected one (optimistic concurrency control)
/// fails if another operator has changed the entry in the meantime.
async fn domain_state_change(
    verb: &str,
    args: &ArgMatches,
    daemons: &Daemons,
) -> Result<(Operation, Revision)> {
    let name: FailureDomain = required_arg(args, "name")?;
    let state = if verb == "out" {
        DomainState::OutOfService
    } else {
        DomainState::InService
    };
    let entries = list_entries(EntryKind::Domain, daemons).await?;
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

/// Returns the expected revision that applies if the command line gives none.
///
/// `domain put` may only create an entry, so it expects revision 0, which means that the entry must
/// not exist. If it replaced one, it could return a failure domain to
/// service that operators have taken out.
fn default_expected_revision(operation: &Operation) -> Option<Revision> {
    matches!(operation, Operation::PutDomain { .. }).then_some(Revision(0))
}

/// Returns the operation of a `put` or `remove` subcommand; the parser admits no other `verb`.
fn build_operation(kind: EntryKind, verb: &str, args: &ArgMatches) -> Result<Operation> {
    Ok(match (kind, verb) {
        (EntryKind::Service, "put") => Operation::PutService(build_service(args)?),
        (EntryKind::Service, _) => Operation::RemoveService {
            service: required_arg(args, "name")?,
        },
        (EntryKind::Domain, "put") => Operation::PutDomain {
            domain: required_arg(args, "name")?,
            region: required_arg(args, "region")?,
            state: DomainState::InService,
        },
        (EntryKind::Domain, _) => Operation::RemoveDomain {
            domain: required_arg(args, "name")?,
        },
        (EntryKind::Region, "put") => Operation::PutRegion {
            region: required_arg(args, "name")?,
        },
        (EntryKind::Region, _) => Operation::RemoveRegion {
            region: required_arg(args, "name")?,
        },
        (EntryKind::Team, "put") => Operation::PutTeam {
            team: required_arg(args, "name")?,
        },
        (EntryKind::Team, _) => Operation::RemoveTeam {
            team: required_arg(args, "name")?,
        },
        (EntryKind::Rule, "put") => Operation::PutRule(build_rule(args)?),
        (EntryKind::Rule, _) => Operation::RemoveRule {
            rule: required_arg(args, "name")?,
        },
    })
}

/// Reads a service from the file that the command line names, or from its options.
fn build_service(args: &ArgMatches) -> Result<Service> {
    if let Some(path) = args.get_one::<PathBuf>("file") {
        return read_service(path);
    }
    Ok(Service {
        name: required_arg::<ServiceName>(args, "name")?,
        hosts: repeated_arg::<String>(args, "host"),
        routes: repeated_arg::<Route>(args, "route"),
        timeout_ms: required_arg(args, "timeout-ms")?,
    })
}

/// Returns the residency rule that the command line describes.
fn build_rule(args: &ArgMatches) -> Result<Rule> {
    Ok(Rule {
        name: required_arg(args, "name")?,
        team: args.get_one::<TeamName>("team").cloned(),
        service: args.get_one::<ServiceName>("service").cloned(),
        route: args.get_one("route").cloned(),
        regions: repeated_arg::<Region>(args, "region").into_iter().collect(),
    })
}

/// Returns the value of a required argument.
fn required_arg<T: Clone + Send + Sync + 'static>(args: &ArgMatches, id: &str) -> Result<T> {
    args.get_one::<T>(id)
        .cloned()
        .ok_or_else(|| CtlError::usage(format!("{id} is missing")))
}

/// Returns all values of an argument that may be repeated.
fn repeated_arg<T: Clone + Send + Sync + 'static>(args: &ArgMatches, id: &str) -> Vec<T> {
    args.get_many::<T>(id)
        .map(|values| values.cloned().collect())
        .unwrap_or_default()
}
