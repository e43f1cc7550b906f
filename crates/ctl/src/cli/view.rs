//! Definitions of the commands that query daemons or their logs, and of `leave`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};
use cornelvalve_api::Timestamp;
use cornelvalve_model::{FailureDomain, TeamName};

use super::timestamp;

const LEAVE_HELP: &str = "\
`leave` asks each daemon of the failure domain directly and works while the log store is down.
It is not remembered: a daemon that starts in the failure domain afterwards takes work.
`domain out` is recorded in the log, holds for daemons that start later, and needs the log store.";

const TRACE_HELP: &str = "\
The logs are JSON lines as the daemons write them; what stands before the first brace of a line is
passed over. Lines are sorted by the clocks of their VMs, which may differ by a little.";

/// Returns the commands of this module.
pub(super) fn commands() -> [Command; 7] {
    [
        Command::new("status").about("Describes the daemon that answers"),
        Command::new("members").about("Lists the members"),
        in_force_command(),
        timeline_command(),
        leave_command(),
        explain_command(),
        trace_command(),
    ]
}

fn in_force_command() -> Command {
    Command::new("in-force")
        .about("Lists members that have not applied a revision")
        .arg(
            Arg::new("revision")
                .value_name("REVISION")
                .help("Revision that a change printed")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
}

fn timeline_command() -> Command {
    Command::new("timeline")
        .about("Merges the events of several daemons into one order")
        .arg(
            Arg::new("members")
                .long("members")
                .help("Asks all members, not only the daemons that --daemon names")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("after")
                .long("after")
                .value_name("TIMESTAMP")
                .help("Shows events later than this one")
                .value_parser(timestamp as fn(&str) -> Result<Timestamp, String>),
        )
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("EVENTS")
                .help("Largest number of events of each daemon")
                .default_value("100")
                .value_parser(value_parser!(u32).range(1..)),
        )
}

fn leave_command() -> Command {
    Command::new("leave")
        .about("Empties a failure domain without the log store")
        .after_help(LEAVE_HELP)
        .arg(
            Arg::new("domain")
                .long("domain")
                .value_name("DOMAIN")
                .help("Failure domain to empty")
                .required(true)
                .value_parser(value_parser!(FailureDomain)),
        )
}

fn explain_command() -> Command {
    let required_arg = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .help(help)
            .required(true)
    };
    Command::new("explain")
        .about("Tells how a request would be routed now, without sending it")
        .arg(required_arg("host", "HOST", "Host of the request"))
        .arg(required_arg("path", "PATH", "Path of the request"))
        .arg(
            required_arg("method", "METHOD", "Method of the request")
                .required(false)
                .default_value("GET"),
        )
        .arg(
            Arg::new("team")
                .long("team")
                .value_name("TEAM")
                .help("Team that the request names")
                .value_parser(value_parser!(TeamName)),
        )
}

fn trace_command() -> Command {
    Command::new("trace")
        .about("Shows the way of one request from the logs of several daemons")
        .after_help(TRACE_HELP)
        .arg(
            Arg::new("request")
                .value_name("ID")
                .help("Id of the request; lines of the calls that it made are shown as well")
                .required(true),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("Log of a daemon; its name, without ending, names the VM")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
}
