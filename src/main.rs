//! The daemon that runs beside each upstream.

#[cfg(feature = "demo")]
mod demo;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use cornelvalve_daemon::{Daemon, logging, settings};
use tokio::signal::unix::{SignalKind, signal};

/// Worker threads. More of them wake each other up: ten, the cores of the machine that measured it,
/// took 3 to 18% more processor time for the same calls and added no less latency. One would let a
/// long task delay all requests.
const WORKERS: usize = 2;

/// Exit code of a run that failed.
const EXIT_FAILURE: u8 = 1;

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("run", args)) => run(file_of(args)),
        Some(("check", args)) => check(file_of(args)),
        #[cfg(feature = "demo")]
        Some(("demo", args)) => demo::main(args),
        _ => ExitCode::from(EXIT_SETTINGS),
    }
}

fn command() -> Command {
    let file = Arg::new("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings in JSON with comments");
    let command = Command::new("cornelvalve")
        .about("Load balancer daemon that runs beside an upstream")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run")
                .about("Runs the daemon until SIGTERM or a leave call")
                .arg(file.clone()),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a settings file and names the line, the key and the remedy")
                .arg(file),
        );
    #[cfg(feature = "demo")]
    let command = command.subcommand(demo::command());
    command
}

fn file_of(args: &clap::ArgMatches) -> &Path {
    args.get_one::<PathBuf>("FILE")
        .map_or(Path::new(""), PathBuf::as_path)
}

fn check(file: &Path) -> ExitCode {
    match settings::check(file) {
        Ok(_) => {
            println!("{}: settings are valid", file.display());
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn run(file: &Path) -> ExitCode {
    let config = match settings::check(file) {
        Ok(config) => config,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if let Err(e) = logging::init(config.log_level) {
        eprintln!("{e}");
        return ExitCode::from(EXIT_FAILURE);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("runtime cannot be started: {e}; raise the limits of the process");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    runtime.block_on(serve(&config))
}

async fn serve(config: &cornelvalve_daemon::config::Config) -> ExitCode {
    let mut daemon = match Daemon::start(config) {
        Ok(daemon) => daemon,
        Err(e) => {
            log::error!("{e}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    println!("{}", ready_line(&daemon));
    let failed = tokio::select! {
        failed = daemon.wait() => failed,
        () = terminated() => None,
    };
    if let Some(reason) = failed {
        log::error!("stopping: {reason}");
        return ExitCode::from(EXIT_FAILURE);
    }
    daemon.stop().await;
    ExitCode::SUCCESS
}

/// Returns the addresses as one JSON line, so that whoever started the process on port 0 learns
/// them.
fn ready_line(daemon: &Daemon) -> String {
    let a = daemon.addresses();
    format!(
        r#"{{"callers":"{}","peers":"{}","upstream":"{}","operators":"{}","metrics":"{}"}}"#,
        a.callers, a.peers, a.upstream, a.operators, a.metrics
    )
}

/// Waits for SIGTERM or SIGINT.
async fn terminated() {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::warn!("signals cannot be received; use a leave call to stop the daemon");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
