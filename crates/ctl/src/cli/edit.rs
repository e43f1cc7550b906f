//! Definitions of the commands that list and change the configuration.
//!
//! An entry is a versioned object of the configuration: a service, a failure domain, a region, a
//! team or a residency rule.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};
use cornelvalve_model::{FailureDomain, Region, Route, RouteName, RuleName, ServiceName, TeamName};

use super::{parse, publish_args};

/// Returns one command per kind of entry, with the subcommands that operate on entries.
pub(super) fn commands() -> [Command; 5] {
    [
        service_command(),
        domain_command(),
        region_command(),
        team_command(),
        rule_command(),
    ]
}

/// Returns the command for a kind of entry with its `list` subcommand; callers add the others.
fn entry_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("Lists the entries with their revisions"))
}

/// Returns a subcommand that publishes a change.
fn publish_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).args(publish_args())
}

fn name_arg() -> Arg {
    Arg::new("name")
        .value_name("NAME")
        .help("Name of the entry")
        .required(true)
}

fn service_command() -> Command {
    let name = || name_arg().value_parser(value_parser!(ServiceName));
    let put = publish_command("put", "Creates or replaces a service")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("Service in JSON with comments")
                .required_unless_present("name")
                .conflicts_with_all(["name", "host", "route", "timeout-ms"])
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            name()
                .long("name")
                .required(false)
                .requires("host")
                .help("Name of the service"),
        )
        .arg(
            Arg::new("host")
                .long("host")
                .value_name("HOST")
                .help("Host under which callers reach it; may be repeated")
                .action(ArgAction::Append),
        )
        .arg(
            Arg::new("route")
                .long("route")
                .value_name("NAME=PREFIX[:CLASS]")
                .help("Route; the class is by-method, idempotent or at-most-once")
                .action(ArgAction::Append)
                .value_parser(parse::route as fn(&str) -> Result<Route, String>),
        )
        .arg(
            Arg::new("timeout-ms")
                .long("timeout-ms")
                .value_name("MS")
                .help("Deadline for requests that carry none")
                .default_value("10000")
                .value_parser(value_parser!(u32)),
        );
    entry_command("service", "Services")
        .subcommand(put)
        .subcommand(publish_command("remove", "Removes a service").arg(name()))
}

fn domain_command() -> Command {
    let name = || name_arg().value_parser(value_parser!(FailureDomain));
    let put = publish_command("put", "Creates a failure domain in service")
        .arg(name())
        .arg(
            Arg::new("region")
                .long("region")
                .value_name("REGION")
                .help("Region in which it stands")
                .required(true)
                .value_parser(value_parser!(Region)),
        );
    entry_command("domain", "Failure domains")
        .subcommand(put)
        .subcommand(
            publish_command(
                "out",
                "Takes a failure domain out of service (needs the log store)",
            )
            .arg(name()),
        )
        .subcommand(publish_command("in", "Returns a failure domain to service").arg(name()))
        .subcommand(publish_command("remove", "Removes a failure domain").arg(name()))
}

fn region_command() -> Command {
    let name = || name_arg().value_parser(value_parser!(Region));
    entry_command("region", "Regions")
        .subcommand(publish_command("put", "Creates a region").arg(name()))
        .subcommand(publish_command("remove", "Removes a region").arg(name()))
}

fn team_command() -> Command {
    let name = || name_arg().value_parser(value_parser!(TeamName));
    entry_command("team", "Teams")
        .subcommand(publish_command("put", "Creates a team").arg(name()))
        .subcommand(publish_command("remove", "Removes a team").arg(name()))
}

fn rule_command() -> Command {
    let name = || name_arg().value_parser(value_parser!(RuleName));
    let put = publish_command("put", "Creates or replaces a residency rule")
        .arg(name())
        .arg(
            Arg::new("team")
                .long("team")
                .value_name("TEAM")
                .help("Team that the rule is about; all if absent")
                .value_parser(value_parser!(TeamName)),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("SERVICE")
                .help("Service that the rule is about; all if absent")
                .value_parser(value_parser!(ServiceName)),
        )
        .arg(
            Arg::new("route")
                .long("route")
                .value_name("ROUTE")
                .help("Route of that service")
                .requires("service")
                .value_parser(value_parser!(RouteName)),
        )
        .arg(
            Arg::new("region")
                .long("region")
                .value_name("REGION")
                .help("Home region; may be repeated")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(Region)),
        );
    entry_command("rule", "Residency rules")
        .subcommand(put)
        .subcommand(publish_command("remove", "Removes a residency rule").arg(name()))
}
