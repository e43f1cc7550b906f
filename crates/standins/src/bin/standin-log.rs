//! Program that runs the stand-in for the log service.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use cornelvalve_standins::{LogOptions, LogStandIn};

fn command() -> Command {
    let defaults = LogOptions::default();
    Command::new("standin-log")
        .about("Stand-in for the log service; prints its address as a line of JSON")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDR")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:0")
                .help("Address to listen on; port 0 selects a free port"),
        )
        .arg(
            Arg::new("retain-records")
                .long("retain-records")
                .value_name("COUNT")
                .value_parser(value_parser!(usize))
                .default_value(defaults.retain_records.to_string())
                .help("Maximum number of records retained in each stream"),
        )
        .arg(
            Arg::new("retain-secs")
                .long("retain-secs")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64))
                .default_value(defaults.retain_age.as_secs().to_string())
                .help("Maximum age of a retained record, in seconds"),
        )
        .arg(
            Arg::new("append-rate")
                .long("append-rate")
                .value_name("PER_SECOND")
                .value_parser(value_parser!(u32))
                .default_value(defaults.append_rate.to_string())
                .help("Append calls accepted per second; further calls get status 429"),
        )
}

fn options(matches: &ArgMatches) -> LogOptions {
    let mut options = LogOptions::default();
    if let Some(records) = matches.get_one::<usize>("retain-records") {
        options.retain_records = *records;
    }
    if let Some(seconds) = matches.get_one::<u64>("retain-secs") {
        options.retain_age = Duration::from_secs(*seconds);
    }
    if let Some(rate) = matches.get_one::<u32>("append-rate") {
        options.append_rate = *rate;
    }
    options
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let matches = command().get_matches();
    let Some(addr) = matches.get_one::<SocketAddr>("listen") else {
        return Err(io::Error::other("--listen is missing"));
    };
    let (addr, handle) = LogStandIn::start_with(*addr, options(&matches)).await?;
    let line = serde_json::json!({ "listen": addr });
    let mut out = io::stdout();
    writeln!(out, "{line}")?;
    out.flush()?;
    handle.wait().await
}
