//! Parser for the changes in the commands of scenario files.

use std::error::Error;

use cornelvalve_model::{
    Change, ChangeId, DomainState, Operation, RequestClass, Revision, Route, Rule, Service,
};
use goldenscript::ArgumentConsumer;
use uuid::Uuid;

pub(crate) type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Returns a change id that consists of the first 16 bytes of a name.
pub(crate) fn change_id(name: &str) -> ChangeId {
    let mut bytes = [0; 16];
    let len = name.len().min(16);
    bytes[..len].copy_from_slice(&name.as_bytes()[..len]);
    ChangeId(Uuid::from_bytes(bytes))
}

/// Returns the next positional argument; `name` is for the error if there is none.
pub(crate) fn positional<'a>(args: &mut ArgumentConsumer<'a>, name: &str) -> Result<&'a str> {
    args.next_pos()
        .ok_or_else(|| format!("argument {name} is missing").into())
}

/// Splits a comma-separated list.
fn list(text: Option<&str>) -> impl Iterator<Item = &str> {
    text.unwrap_or_default()
        .split(',')
        .filter(|t| !t.is_empty())
}

/// Parses a change: `ID OPERATION ... [expects=REVISION]`.
pub(crate) fn change(args: &mut ArgumentConsumer<'_>) -> Result<Change> {
    let id = change_id(positional(args, "id")?);
    let expects = args.take_key("expects").map(str::parse).transpose()?;
    let operation = operation(args)?;
    Ok(Change {
        id,
        author: "operator".to_owned(),
        expects: expects.map(Revision),
        operation,
    })
}

/// Parses an operation: its kind, the name of the entry, and arguments that depend on the kind.
fn operation(args: &mut ArgumentConsumer<'_>) -> Result<Operation> {
    let kind = positional(args, "operation")?;
    let name = positional(args, "name")?;
    Ok(match kind {
        "region" => Operation::PutRegion {
            region: name.parse()?,
        },
        "domain" => Operation::PutDomain {
            domain: name.parse()?,
            region: positional(args, "region")?.parse()?,
            state: match args.next_pos() {
                Some("out") => DomainState::OutOfService,
                _ => DomainState::InService,
            },
        },
        "team" => Operation::PutTeam {
            team: name.parse()?,
        },
        "service" => Operation::PutService(Service {
            name: name.parse()?,
            hosts: list(args.take_key("hosts")).map(str::to_owned).collect(),
            routes: list(args.take_key("routes"))
                .map(route)
                .collect::<Result<_>>()?,
            timeout_ms: args.take_key("timeout").unwrap_or("1000").parse()?,
        }),
        "rule" => Operation::PutRule(Rule {
            name: name.parse()?,
            team: args.take_key("team").map(str::parse).transpose()?,
            service: args.take_key("service").map(str::parse).transpose()?,
            route: args.take_key("route").map(str::parse).transpose()?,
            regions: list(args.take_key("regions"))
                .map(str::parse)
                .collect::<std::result::Result<_, _>>()?,
        }),
        "no-region" => Operation::RemoveRegion {
            region: name.parse()?,
        },
        "no-domain" => Operation::RemoveDomain {
            domain: name.parse()?,
        },
        "no-team" => Operation::RemoveTeam {
            team: name.parse()?,
        },
        "no-service" => Operation::RemoveService {
            service: name.parse()?,
        },
        "no-rule" => Operation::RemoveRule {
            rule: name.parse()?,
        },
        other => return Err(format!("unknown operation {other}").into()),
    })
}

/// Parses a route: `NAME:PREFIX[:CLASS]`.
fn route(text: &str) -> Result<Route> {
    let mut parts = text.split(':');
    let name = parts.next().unwrap_or_default().parse()?;
    let prefix = parts.next().unwrap_or_default().to_owned();
    let class = match parts.next() {
        None => RequestClass::ByMethod,
        Some("idempotent") => RequestClass::Idempotent,
        Some("once") => RequestClass::AtMostOnce,
        Some(other) => return Err(format!("unknown request class {other}").into()),
    };
    Ok(Route {
        name,
        prefix,
        class,
    })
}
