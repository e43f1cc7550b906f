//! `cornelvalve demo`: runs daemons with stand-ins in one process. A stand-in is a simulated
//! upstream or log service. The demo sends requests through the daemons, and reports which
//! guarantees held.

mod caller;
mod mesh;
mod report;
mod scenario;
mod stats;
mod traffic;

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

/// Error that ends the demo. Its text is printed.
type Error = Box<dyn std::error::Error + Send + Sync>;

/// Result alias of the demo.
type Result<T> = std::result::Result<T, Error>;

/// Default of `--seconds`.
const DEFAULT_SECONDS: &str = "5";

/// Returns the definition of the `demo` command.
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

/// Runs the demo; returns success only if every guarantee that it checks held.
pub(crate) fn main(args: &ArgMatches) -> ExitCode {
    let seconds = args.get_one::<u64>("seconds").copied().unwrap_or_default();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!(
                "cannot start the async runtime: {e}; raise the limits on threads and open files"
            );
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(Duration::from_secs(seconds))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("demo failed: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the demo with at least `duration` of traffic; returns whether every guarantee held.
async fn run(duration: Duration) -> Result<bool> {
    println!("Starting a log stand-in, 8 daemons and 8 upstreams on loopback.");
    let mut mesh = mesh::Mesh::start().await?;
    let (stats, results) = stats::Stats::start();
    let traffic = traffic::Traffic::start(&mesh, results);
    let observations = scenario::run(&mut mesh, duration).await;
    traffic.stop().await;
    let stats = stats.finish().await?;
    let run_counts = mesh.run_counts().await;
    mesh.stop().await;
    let report = report::Report::new(&stats, &run_counts, &observations?);
    print!("{report}");
    Ok(report.all_held())
}
