//! Runs the stand-in of an upstream as a process; leaves gracefully on SIGTERM.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use clap::{Arg, ArgMatches, Command, value_parser};
use cornelvalve_model::{Incarnation, ServiceName};
use cornelvalve_standins::{ColdStart, UpstreamEnd, UpstreamOptions, UpstreamStandIn};
use tokio::signal::unix::{SignalKind, signal};

/// Time for which running requests may delay the end.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

fn command() -> Command {
    Command::new("standin-upstream")
        .about("Stand-in of an upstream; prints its port as a line of JSON")
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("NAME")
                .value_parser(value_parser!(ServiceName))
                .required(true)
                .help("Service that it belongs to"),
        )
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .value_name("ADDR")
                .value_parser(value_parser!(SocketAddr))
                .help("Address for announcements of the daemon; without it none are made"),
        )
        .arg(
            Arg::new("port")
                .long("port")
                .value_name("PORT")
                .value_parser(value_parser!(u16))
                .default_value("0")
                .help("Loopback port to listen on; 0 selects a free port"),
        )
        .arg(
            Arg::new("slots")
                .long("slots")
                .value_name("COUNT")
                .value_parser(value_parser!(u16))
                .default_value("10")
                .help("Requests that it runs at once when warm"),
        )
        .arg(
            Arg::new("lease-ms")
                .long("lease-ms")
                .value_name("MILLISECONDS")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("3000")
                .help("Lease of its announcement"),
        )
        .arg(
            Arg::new("cold-requests")
                .long("cold-requests")
                .value_name("COUNT")
                .value_parser(value_parser!(u32))
                .default_value("0")
                .help("Requests that the cold start lasts"),
        )
        .arg(
            Arg::new("cold-factor")
                .long("cold-factor")
                .value_name("FACTOR")
                .value_parser(value_parser!(u32))
                .default_value("8")
                .help("Factor on their service time"),
        )
}

fn options(matches: &ArgMatches) -> io::Result<UpstreamOptions> {
    let service = matches
        .get_one::<ServiceName>("service")
        .ok_or_else(|| io::Error::other("--service is missing"))?;
    let mut options = UpstreamOptions::new(service.clone());
    options.daemon = matches.get_one("daemon").copied();
    options.port = matches.get_one("port").copied().unwrap_or(options.port);
    options.slots = matches.get_one("slots").copied().unwrap_or(options.slots);
    options.incarnation = incarnation();
    if let Some(lease) = matches.get_one("lease-ms") {
        options.lease = Duration::from_millis(*lease);
    }
    let requests = matches
        .get_one::<u32>("cold-requests")
        .copied()
        .unwrap_or(0);
    let factor = matches.get_one::<u32>("cold-factor").copied().unwrap_or(1);
    options.faults.cold = (requests > 0).then_some(ColdStart {
        requests,
        factor: factor.into(),
    });
    Ok(options)
}

/// Returns the time of the start, which rises from one start on a VM to the next.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let matches = command().get_matches();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut handle = UpstreamStandIn::start(options(&matches)?).await?;
    let line = serde_json::json!({ "port": handle.addr().port() });
    let mut out = io::stdout();
    writeln!(out, "{line}")?;
    out.flush()?;
    let crashed = tokio::select! {
        end = handle.wait() => end == UpstreamEnd::Crashed,
        _ = terminate.recv() => false,
    };
    if crashed {
        return Err(io::Error::other(
            "crashed by a request, as its faults asked",
        ));
    }
    handle.shut_down(DRAIN_TIMEOUT).await
}
