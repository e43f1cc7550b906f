//! `cornelvalve demo`: a mesh of daemons with stand-ins in one process, traffic through it, and a
//! report of the promises that held.

mod caller;
mod mesh;
mod report;
mod scenario;
mod tally;
mod traffic;

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

/// Error of the demo as a sentence; it is printed and ends the demo.
type Error = Box<dyn std::error::Error + Send + Sync>;

/// Result alias of the demo.
type Result<T> = std::result::Result<T, Error>;

/// Default length of the traffic.
const DEFAULT_SECONDS: &str = "5";

/// Describes the command line.
pub(crate) fn command() -> Command {
    Command::new("demo")
        .about("Runs daemons with stand-ins in one process, sends requests and checks the promises")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..=3600))
                .default_value(DEFAULT_SECONDS)
                .help("Least time for which requests are sent"),
        )
}

/// Runs the demo; succeeds only if every promise that it checks held.
pub(crate) fn main(args: &ArgMatches) -> ExitCode {
    let seconds = args.get_one::<u64>("seconds").copied().unwrap_or_default();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("runtime cannot be started: {e}; raise the limits of the process");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(Duration::from_secs(seconds))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("the demo could not be run to its end: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(length: Duration) -> Result<bool> {
    println!("Starting a log stand-in, 8 daemons and 8 upstreams on loopback.");
    let mut mesh = mesh::Mesh::start().await?;
    let (tally, samples) = tally::Tally::start();
    let traffic = traffic::Traffic::start(&mesh, samples);
    let story = scenario::play(&mut mesh, length).await;
    traffic.stop().await;
    let tally = tally.finish().await?;
    let runs = mesh.runs().await;
    mesh.stop().await;
    let report = report::Report::new(&tally, &runs, &story?);
    print!("{report}");
    Ok(report.all_held())
}
