//! Command line of the experiment tool.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use cornelvalve_bench::{
    BUILTIN_EXPERIMENTS, Error, Experiment, Placement, Report, Variant, builtin_experiment,
    read_experiment, render_table, run_experiment,
};

/// Maximum number of times that one invocation runs the experiment.
const MAX_REPEAT: u32 = 20;

fn command() -> Command {
    Command::new("cornelbench")
        .about("Open-loop load and experiments with daemons and stand-ins on loopback")
        .after_help(format!(
            "Built-in experiments: {}",
            BUILTIN_EXPERIMENTS.join(", ")
        ))
        .arg(
            Arg::new("experiment")
                .required(true)
                .help("Name of a built-in experiment or a file of JSON with comments"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_parser(value_parser!(f64))
                .help("Requests per second of each variant"),
        )
        .arg(
            Arg::new("duration-ms")
                .long("duration-ms")
                .value_parser(value_parser!(u64))
                .help("Measured time of each variant"),
        )
        .arg(
            Arg::new("warmup-ms")
                .long("warmup-ms")
                .value_parser(value_parser!(u64))
                .help("Time before the measurement"),
        )
        .arg(
            Arg::new("repeat")
                .long("repeat")
                .default_value("1")
                .value_parser(value_parser!(u32).range(1..=i64::from(MAX_REPEAT)))
                .help("Runs one after the other"),
        )
        .arg(
            Arg::new("processes")
                .long("processes")
                .action(ArgAction::SetTrue)
                .help("Runs the daemons as processes of the program beside this one"),
        )
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("PROGRAM")
                .help("Adds a variant with another daemon program beside this one"),
        )
        .arg(
            Arg::new("workers")
                .long("workers")
                .value_name("COUNT")
                .action(ArgAction::Append)
                .value_parser(value_parser!(usize))
                .help("Adds a variant with so many worker threads in each daemon"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the reports to this file, one JSON document a line"),
        )
        .arg(
            Arg::new("print")
                .long("print")
                .action(ArgAction::SetTrue)
                .help("Prints the experiment as JSON instead of running it"),
        )
}

/// Returns the experiment that the arguments name, with the values that they override.
fn experiment_from_args(matches: &ArgMatches) -> Result<Experiment, Error> {
    let name = matches
        .get_one::<String>("experiment")
        .map_or("", String::as_str);
    let mut experiment = match builtin_experiment(name) {
        Some(experiment) => experiment,
        None => read_experiment(Path::new(name))?,
    };
    if let Some(rate) = matches.get_one("rate") {
        experiment.rate = *rate;
    }
    if let Some(duration) = matches.get_one("duration-ms") {
        experiment.duration_ms = *duration;
    }
    if let Some(warmup) = matches.get_one("warmup-ms") {
        experiment.warmup_ms = *warmup;
    }
    if matches.get_flag("processes") {
        experiment.placement = Placement::Processes;
    }
    add_variants(&mut experiment, matches);
    experiment.validate()?;
    Ok(experiment)
}

/// Adds the variants that the arguments ask for, as modified copies of the experiment's last one.
fn add_variants(experiment: &mut Experiment, matches: &ArgMatches) {
    let Some(last) = experiment.variants.last().cloned() else {
        return;
    };
    if let Some(program) = matches.get_one::<String>("against") {
        experiment.variants.push(Variant {
            name: program.clone(),
            program: Some(program.clone()),
            ..last.clone()
        });
    }
    for workers in matches.get_many::<usize>("workers").unwrap_or_default() {
        experiment.variants.push(Variant {
            name: format!("{workers} workers"),
            workers: Some(*workers),
            ..last.clone()
        });
    }
}

/// Runs the experiment as often as asked, prints each report, and returns the reports.
async fn run_all(matches: &ArgMatches) -> Result<Vec<Report>, Error> {
    let experiment = experiment_from_args(matches)?;
    if matches.get_flag("print") {
        let text = serde_json::to_string_pretty(&experiment);
        println!("{}", text.unwrap_or_default());
        return Ok(Vec::new());
    }
    let repeat = matches.get_one::<u32>("repeat").copied().unwrap_or(1);
    let mut reports = Vec::new();
    for _ in 0..repeat {
        let report = run_experiment(experiment.clone()).await?;
        println!("{}", render_table(&report));
        reports.push(report);
    }
    Ok(reports)
}

/// Writes one JSON document per report and line.
fn write_json(file: &Path, reports: &[Report]) -> std::io::Result<()> {
    let mut text = String::new();
    for report in reports {
        text.push_str(&serde_json::to_string(report)?);
        text.push('\n');
    }
    std::fs::write(file, text)
}

#[tokio::main]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    let reports = match run_all(&matches).await {
        Ok(reports) => reports,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    if let Some(file) = matches.get_one::<PathBuf>("json")
        && let Err(e) = write_json(file, &reports)
    {
        eprintln!(
            "cannot write reports to {}: {e}; choose a writable file",
            file.display()
        );
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
