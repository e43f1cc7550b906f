//! Counting service: requests by end, latencies, readiness and the limits on callers in force.

use std::sync::Arc;

use cornelvalve_kernel::{Context, ServiceResult};
use derive_more::{Display, Error};
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use tokio::sync::watch;

use crate::control::request_republish;
use crate::desired::{CallerLimits, ControlView};
use crate::messages::{Activity, RequestOutcome, RequestRecord, StatsMessage};

/// Result alias of this module.
type Result<T> = std::result::Result<T, MetricsError>;

/// Bounds of the request latency in seconds.
const LATENCY_BOUNDS_S: [f64; 10] = [0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0];

/// Reports that the instruments cannot be set up.
#[derive(Debug, Display, Error)]
#[display("metrics cannot be set up: {_0}")]
struct MetricsError(#[error(not(source))] prometheus::Error);

impl From<prometheus::Error> for MetricsError {
    fn from(error: prometheus::Error) -> Self {
        Self(error)
    }
}

/// Instruments of the daemon.
struct Instruments {
    registry: Registry,
    requests: IntCounterVec,
    arrivals: IntCounter,
    hand_backs: IntCounter,
    latency: Histogram,
    version: IntGauge,
    domains_out: IntGauge,
    members: IntGauge,
}

impl Instruments {
    fn new() -> Result<Self> {
        let opts = |name: &str, help: &str| Opts::new(format!("cornelvalve_{name}"), help);
        let instruments = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                opts("requests_total", "Requests of callers by end and cause"),
                &["end", "cause"],
            )?,
            arrivals: IntCounter::with_opts(opts("repeats_total", "Attempts after a first one"))?,
            hand_backs: IntCounter::with_opts(opts("hand_backs_total", "Requests handed back"))?,
            latency: Histogram::with_opts(
                HistogramOpts::new("cornelvalve_request_seconds", "Time to the answer")
                    .buckets(LATENCY_BOUNDS_S.to_vec()),
            )?,
            version: IntGauge::with_opts(opts("version", "Version of the desired state"))?,
            domains_out: IntGauge::with_opts(opts(
                "domains_out",
                "Failure domains out of service",
            ))?,
            members: IntGauge::with_opts(opts(
                "members",
                "Daemons that take work, this one included",
            ))?,
        };
        let registry = &instruments.registry;
        registry.register(Box::new(instruments.requests.clone()))?;
        registry.register(Box::new(instruments.arrivals.clone()))?;
        registry.register(Box::new(instruments.hand_backs.clone()))?;
        registry.register(Box::new(instruments.latency.clone()))?;
        registry.register(Box::new(instruments.version.clone()))?;
        registry.register(Box::new(instruments.domains_out.clone()))?;
        registry.register(Box::new(instruments.members.clone()))?;
        Ok(instruments)
    }

    fn record(&self, record: &RequestRecord) {
        let cause = match record.outcome {
            RequestOutcome::Refused(cause) | RequestOutcome::Unknown(cause) => cause.to_string(),
            RequestOutcome::Answered
            | RequestOutcome::Failed
            | RequestOutcome::CallerDisconnected => String::new(),
        };
        let end = match record.outcome {
            RequestOutcome::Answered => "answered",
            RequestOutcome::Failed => "failed",
            RequestOutcome::Refused(_) => "refused",
            RequestOutcome::Unknown(_) => "unknown",
            RequestOutcome::CallerDisconnected => "left",
        };
        self.requests.with_label_values(&[end, &cause]).inc();
        self.arrivals.inc_by(u64::from(record.upstream_attempts));
        self.hand_backs.inc_by(u64::from(record.hand_backs));
        self.latency.observe(record.latency.as_secs_f64());
    }

    fn text(&self) -> String {
        let families = self.registry.gather();
        prometheus::TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|e| {
                log::warn!(event = "metrics-unreadable"; "{e}");
                String::new()
            })
    }
}

/// Runs the counting service.
pub(crate) async fn run_stats(
    mut context: Context<StatsMessage>,
    limits: Arc<watch::Sender<CallerLimits>>,
) -> ServiceResult {
    request_republish(&context.registry).await?;
    let mut stats = Stats {
        instruments: Instruments::new()?,
        running: 0,
        has_state: false,
        stopping: false,
    };
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => message,
        };
        let Some(message) = message else {
            return Ok(());
        };
        stats.handle(message, &limits);
    }
}

struct Stats {
    instruments: Instruments,
    running: u64,
    has_state: bool,
    stopping: bool,
}

impl Stats {
    fn handle(&mut self, message: StatsMessage, limits: &watch::Sender<CallerLimits>) {
        match message {
            StatsMessage::RequestStarted => {
                self.running += 1;
            }
            StatsMessage::RequestFinished(record) => {
                self.running = self.running.saturating_sub(1);
                self.instruments.record(&record);
            }
            StatsMessage::Scrape { reply } => reply.send(self.instruments.text()),
            StatsMessage::Ready { reply } => reply.send(self.has_state && !self.stopping),
            StatsMessage::MemberCount(count) => self.instruments.members.set(gauge(count)),
            StatsMessage::Control(view) => self.set_control(&view, limits),
            StatsMessage::Stopping => self.stopping = true,
            StatsMessage::Activity { reply } => reply.send(Activity {
                running: self.running,
            }),
        }
    }

    fn set_control(&mut self, view: &ControlView, limits: &watch::Sender<CallerLimits>) {
        let out = view.domains_out.len() as u64;
        self.instruments.domains_out.set(gauge(out));
        if let Some(desired) = &view.desired {
            self.has_state = true;
            self.instruments.version.set(gauge(desired.version.0));
            limits.send_replace(desired.limits);
        }
    }
}

fn gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
