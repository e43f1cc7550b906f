//! `cornelvalve`, the load balancer daemon that runs beside each upstream.

#[cfg(feature = "demo")]
mod demo;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use cornelvalve_daemon::{Daemon, logging, settings};
use tokio::signal::unix::{SignalKind, signal};

/// Number of worker threads of the runtime. With one thread, a long task would delay all requests.
/// Ten threads on ten cores take 3 to 18% more CPU time for the same requests, because they
/// wake each other up, and do not lower the added latency.
const WORKER_THREADS: usize = 2;

/// Exit code of a daemon that could not start or that failed.
const EXIT_FAILURE: u8 = 1;

/// Exit code for settings that are not valid.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("run", args)) => run_daemon(settings_file(args)),
        Some(("check", args)) => check_settings(settings_file(args)),
        #[cfg(feature = "demo")]
        Some(("demo", args)) => demo::main(args),
        // Not reached: the parser requires a subcommand.
        _ => ExitCode::from(EXIT_INVALID_SETTINGS),
    }
}

/// Returns the definition of the command line.
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

/// Returns the path of the settings file that the command line names.
fn settings_file(args: &clap::ArgMatches) -> &Path {
    args.get_one::<PathBuf>("FILE")
        .map_or(Path::new(""), PathBuf::as_path)
}

/// Runs `check`: reads a settings file and reports whether it is valid.
fn check_settings(file: &Path) -> ExitCode {
    match settings::check(file) {
        Ok(_) => {
            println!("{}: settings are valid", file.display());
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

/// Runs `run`: starts the logger and the runtime, and then the daemon.
fn run_daemon(file: &Path) -> ExitCode {
    let config = match settings::check(file) {
        Ok(config) => config,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if let Err(e) = logging::init(config.log_level) {
        eprintln!("{e}");
        return ExitCode::from(EXIT_FAILURE);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!(
                "cannot start the async runtime: {e}; raise the limits on threads and open files"
            );
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    runtime.block_on(serve(&config))
}

/// Runs the daemon until it fails, operators ask it to leave, or the process gets SIGTERM or
/// SIGINT.
async fn serve(config: &cornelvalve_daemon::config::Config) -> ExitCode {
    let mut daemon = match Daemon::start(config) {
        Ok(daemon) => daemon,
        Err(e) => {
            log::error!("{e}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    println!("{}", ready_line(&daemon));
    let failure = tokio::select! {
        failure = daemon.wait() => failure,
        () = termination_signal() => None,
    };
    if let Some(reason) = failure {
        log::error!("daemon failed: {reason}");
        return ExitCode::from(EXIT_FAILURE);
    }
    daemon.stop().await;
    ExitCode::SUCCESS
}

/// Returns the listen addresses as one JSON line. A process that starts the daemon on port 0 reads
/// the ports that were assigned from it.
fn ready_line(daemon: &Daemon) -> String {
    let addrs = daemon.addresses();
    format!(
        r#"{{"callers":"{}","peers":"{}","upstream":"{}","operators":"{}","metrics":"{}"}}"#,
        addrs.callers, addrs.peers, addrs.upstream, addrs.operators, addrs.metrics
    )
}

/// Waits for SIGTERM or SIGINT.
async fn termination_signal() {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::warn!(
            "cannot install signal handlers; call `leave` of the operators' API to stop the daemon"
        );
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
