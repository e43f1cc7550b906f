//! Command-line client for operators of cornelvalve daemons.
//!
//! [`run`] executes a command line within the calling process, so that tests can use it directly.

mod cli;
mod client;
mod edit;
mod error;
mod explain;
mod file;
mod leave;
mod merge;
mod output;
mod publish;
mod trace;
mod view;

use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;

pub use cli::command;
pub use error::{CtlError, Exit, Result};
pub use merge::merge;

use client::Daemons;
use output::Output;

/// Runs one command line, which starts with the program name, and returns its exit status.
///
/// Output goes to `out`, errors and notes to `err`.
pub async fn run<I, T>(args: I, out: &mut dyn Write, err: &mut dyn Write) -> Exit
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
{
    let matches = match cli::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(e) => return print_clap_message(&e, out, err),
    };
    let mut output = Output::new(&matches, out, err);
    let outcome = match Daemons::new(&matches) {
        Ok(daemons) => dispatch(&matches, &daemons, &mut output).await,
        Err(e) => Err(e),
    };
    match outcome {
        Ok(exit) => exit,
        Err(e) => output.write_error(&e),
    }
}

/// Runs the command line of this process and returns the exit code.
#[must_use]
pub fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let exit = match runtime {
        Ok(runtime) => runtime.block_on(run(
            std::env::args_os(),
            &mut std::io::stdout(),
            &mut std::io::stderr(),
        )),
        Err(e) => {
            eprintln!(
                "error: cannot start the async runtime: {e}; raise the limits on threads and open \
                 files"
            );
            Exit::Failure
        }
    };
    ExitCode::from(exit.code())
}

/// Prints the message of the parser: help and version to `out`, usage errors to `err`.
fn print_clap_message<'a>(
    error: &clap::Error,
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
) -> Exit {
    let stream = if error.use_stderr() { err } else { out };
    let written = write!(stream, "{}", error.render());
    match (written, error.use_stderr()) {
        (Err(_), _) => Exit::Failure,
        (Ok(()), true) => Exit::Usage,
        (Ok(()), false) => Exit::Success,
    }
}

/// Runs the command that was parsed.
async fn dispatch(
    matches: &clap::ArgMatches,
    daemons: &Daemons,
    output: &mut Output<'_>,
) -> Result<Exit> {
    match matches.subcommand() {
        Some((group @ ("service" | "domain" | "region" | "team" | "rule"), args)) => {
            edit::run(group, args, daemons, output).await
        }
        Some(("status", _)) => view::status(daemons, output).await,
        Some(("members", _)) => view::members(daemons, output).await,
        Some(("in-force", args)) => view::in_force(args, daemons, output).await,
        Some(("timeline", args)) => view::timeline(args, daemons, output).await,
        Some(("leave", args)) => leave::run(args, daemons, output).await,
        Some(("explain", args)) => explain::run(args, daemons, output).await,
        Some(("trace", args)) => trace::run(args, output),
        Some(("completion", args)) => cli::completion(args, output),
        _ => Err(CtlError::usage("no command was given")),
    }
}
