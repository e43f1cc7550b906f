//! Command-line program of the soak: runs seeds and prints the guarantees that were violated.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use cornelvalve_soak::{Options, run};
use tokio::task::JoinSet;

/// Number of daemons of each seed if `--daemons` is not given.
const DEFAULT_DAEMONS: u8 = 5;

fn command() -> Command {
    Command::new("cornelsoak")
        .about("Runs real daemons under random faults and checks what callers and targets observe")
        .arg(number_arg("first", "First seed to run", "1"))
        .arg(number_arg(
            "count",
            "Number of consecutive seeds to run",
            "10",
        ))
        .arg(number_arg(
            "seconds",
            "Time during which each seed injects faults, in seconds",
            "8",
        ))
        .arg(number_arg(
            "parallel",
            "Number of seeds that run at the same time",
            "2",
        ))
        .arg(
            Arg::new("daemons")
                .long("daemons")
                .value_parser(value_parser!(u8).range(2..=40))
                .help("Number of daemon processes of each seed; 5 by default"),
        )
        .arg(
            Arg::new("program")
                .long("program")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Path of the daemon program, cornelvalve-platform"),
        )
}

fn number_arg(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!(
                "cannot start the async runtime: {e}; raise the limits on threads and open files"
            );
            return ExitCode::FAILURE;
        }
    };
    if runtime.block_on(run_seeds(&matches)) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs all seeds and prints their results; returns whether all ran and no guarantee was violated.
async fn run_seeds(matches: &ArgMatches) -> bool {
    let value = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let program = matches.get_one::<PathBuf>("program").cloned();
    let options = Options {
        seed: 0,
        fault_period: Duration::from_secs(value("seconds")),
        daemons: matches
            .get_one::<u8>("daemons")
            .copied()
            .unwrap_or(DEFAULT_DAEMONS),
        program: program.unwrap_or_default(),
    };
    let first = value("first");
    let mut seeds = first..first + value("count");
    let mut running = JoinSet::new();
    let mut passed = true;
    loop {
        while (running.len() as u64) < value("parallel").max(1)
            && let Some(seed) = seeds.next()
        {
            let options = Options {
                seed,
                ..options.clone()
            };
            running.spawn(async move { (seed, run(&options).await) });
        }
        match running.join_next().await {
            Some(Ok((seed, result))) => passed &= print_result(seed, &result),
            Some(Err(e)) => {
                println!("a run panicked: {e}");
                passed = false;
            }
            None => return passed,
        }
    }
}

/// Prints the result of a seed; returns whether it ran and no guarantee was violated.
fn print_result(
    seed: u64,
    result: &Result<cornelvalve_soak::Report, cornelvalve_soak::SoakError>,
) -> bool {
    match result {
        Ok(report) => {
            let (faults, requests, served) = (report.faults, report.requests, report.served);
            println!("seed {seed}: {faults} faults, {served} of {requests} requests served");
            for violation in &report.violations {
                println!("seed {seed}: BROKEN: {violation}");
            }
            if let Some(folder) = &report.folder {
                println!("seed {seed}: logs in {}", folder.display());
            }
            report.violations.is_empty()
        }
        Err(e) => {
            println!("seed {seed}: {e}");
            false
        }
    }
}
