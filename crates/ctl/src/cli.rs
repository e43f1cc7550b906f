//! Definition of the command line: subcommands, options and the help texts.

use std::net::SocketAddr;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use cornelvalve_api::WaitFor;

use crate::output::Output;
use crate::{Exit, Result};

mod edit;
mod parse;
mod view;

pub(crate) use parse::{timestamp, wait_for};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  the result could not be written
  2  usage: the command line or a file that it names is wrong
  3  unreachable: a daemon that was needed did not answer
  4  rejected: the change was read from the log and refused
  5  not in force: accepted, but not confirmed by all members in time
  6  unknown outcome: the change may or may not have taken effect
  7  the daemon answered with an error";

/// Returns the definition of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("cornelctl")
        .about("Operates cornelvalve daemons")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .term_width(100)
        .args(global_args())
        .subcommands(edit::commands())
        .subcommands(view::commands())
        .subcommand(
            Command::new("completion")
                .about("Writes a completion script for a shell")
                .arg(
                    Arg::new("shell")
                        .value_name("SHELL")
                        .help("Shell that reads the script")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
}

/// Returns the options that every command accepts.
fn global_args() -> [Arg; 3] {
    [
        Arg::new("daemon")
            .long("daemon")
            .value_name("ADDR")
            .help("Operators' address of a daemon; repeat it to try the next one")
            .global(true)
            .action(ArgAction::Append)
            .default_value("127.0.0.1:7104")
            .value_parser(value_parser!(SocketAddr)),
        Arg::new("output")
            .long("output")
            .value_name("FORMAT")
            .help("Form of results and errors")
            .global(true)
            .default_value("human")
            .value_parser(PossibleValuesParser::new(["human", "json"])),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SECONDS")
            .help("Time for the whole call")
            .global(true)
            .default_value("10")
            .value_parser(value_parser!(u64).range(1..=3600)),
    ]
}

/// Returns the options of every command that publishes a change.
fn publish_args() -> [Arg; 4] {
    [
        Arg::new("wait")
            .long("wait")
            .value_name("STAGE")
            .help("How far the change must get: published, accepted or in-force")
            .default_value("accepted")
            .value_parser(wait_for as fn(&str) -> std::result::Result<WaitFor, String>),
        Arg::new("expects")
            .long("expects")
            .value_name("REVISION")
            .help("Refuse unless the entry has this revision; 0 means that it must not exist")
            .value_parser(value_parser!(u64)),
        Arg::new("change-id")
            .long("change-id")
            .value_name("UUID")
            .help("Repeat an earlier change whose outcome is unknown")
            .value_parser(value_parser!(uuid::Uuid)),
        Arg::new("author")
            .long("author")
            .value_name("NAME")
            .help("Name for the record")
            .default_value("cornelctl"),
    ]
}

/// Runs `completion`: writes a completion script for a shell.
pub(crate) fn completion(args: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let mut script = Vec::new();
    if let Some(shell) = args.get_one::<Shell>("shell") {
        clap_complete::generate(*shell, &mut command(), "cornelctl", &mut script);
    }
    output.write_bytes(&script)?;
    Ok(Exit::Success)
}
