//! Thin program around the library.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use cornelvalve_soak::{Options, run};
use tokio::task::JoinSet;

/// Daemons of one run unless another number is given.
const DAEMONS: u8 = 5;

fn command() -> Command {
    Command::new("cornelsoak")
        .about("Runs real daemons under random faults and checks what callers and targets see")
        .arg(number("first", "First seed", "1"))
        .arg(number("count", "Seeds, one after the other", "10"))
        .arg(number(
            "seconds",
            "Time in which faults begin, for each seed",
            "8",
        ))
        .arg(number("parallel", "Seeds that run at the same time", "2"))
        .arg(
            Arg::new("daemons")
                .long("daemons")
                .value_parser(value_parser!(u8).range(2..=40))
                .help("Daemon processes of each seed; 5 by default"),
        )
        .arg(
            Arg::new("program")
                .long("program")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The daemon program, cornelvalve-platform"),
        )
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
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
            eprintln!("runtime cannot be started: {e}");
            return ExitCode::FAILURE;
        }
    };
    if runtime.block_on(soak(&matches)) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs all seeds; tells whether no promise was broken.
async fn soak(matches: &ArgMatches) -> bool {
    let value = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let program = matches.get_one::<PathBuf>("program").cloned();
    let options = Options {
        seed: 0,
        length: Duration::from_secs(value("seconds")),
        daemons: matches.get_one::<u8>("daemons").copied().unwrap_or(DAEMONS),
        program: program.unwrap_or_default(),
    };
    let first = value("first");
    let mut seeds = first..first + value("count");
    let mut running = JoinSet::new();
    let mut good = true;
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
            Some(Ok((seed, result))) => good &= print(seed, &result),
            Some(Err(e)) => {
                println!("a run panicked: {e}");
                good = false;
            }
            None => return good,
        }
    }
}

fn print(
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
