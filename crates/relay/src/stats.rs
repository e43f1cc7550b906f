//! Stats service: counts requests for the metrics and determines the readiness of the daemon.
//!
//! It also passes the limits on callers to the connections, because it receives every new
//! configuration.

use std::sync::Arc;

use cornelvalve_kernel::{Context, ServiceResult};
use derive_more::{Display, Error};
use prometheus::{
    Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};
use tokio::sync::watch;

use crate::control::request_republish;
use crate::desired::{CallerLimits, ControlView};
use crate::messages::{Activity, RequestOutcome, RequestRecord, StatsMessage};

/// Result alias of this module.
type Result<T> = std::result::Result<T, MetricsError>;

/// Upper bounds of the buckets of the request latency, in seconds.
const LATENCY_BOUNDS_S: [f64; 10] = [0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0];

/// Error of setting up the metrics.
#[derive(Debug, Display, Error)]
#[display("metrics cannot be set up: {_0}")]
struct MetricsError(#[error(not(source))] prometheus::Error);

impl From<prometheus::Error> for MetricsError {
    fn from(error: prometheus::Error) -> Self {
        Self(error)
    }
}

/// Metrics of the daemon.
struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    /// Attempts that reached an upstream without a successful response. Most of them are followed
    /// by a retry, so they are exported as `cornelvalve_repeats_total`.
    failed_attempts: IntCounter,
    /// Requests that a daemon handed back unrun, because another upstream was expected to finish
    /// them sooner.
    hand_backs: IntCounter,
    latency: Histogram,
    /// Requests admitted to the upstream while it was cold, by whether its rate was known.
    cold_starts: IntCounterVec,
    /// Requests per second that the upstream accepts; infinite if it names no limit.
    upstream_limit: Gauge,
    /// Messages for which there was no memory, by what the memory is used for.
    memory_refused: IntCounterVec,
    /// Connections that were closed or not opened because there were too many, by kind.
    connections_refused: IntCounterVec,
    /// Version of the desired state in force.
    version: IntGauge,
    domains_out: IntGauge,
    /// Reads of the configuration, by source and result.
    control_reads: IntCounterVec,
    /// Daemons that accept requests, this one included.
    members: IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError`] if a metric cannot be created or registered.
    fn new() -> Result<Self> {
        let opts = |name: &str, help: &str| Opts::new(format!("cornelvalve_{name}"), help);
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                opts("requests_total", "Requests of callers by end and cause"),
                &["end", "cause"],
            )?,
            failed_attempts: IntCounter::with_opts(opts(
                "repeats_total",
                "Attempts after a first one",
            ))?,
            hand_backs: IntCounter::with_opts(opts("hand_backs_total", "Requests handed back"))?,
            latency: Histogram::with_opts(
                HistogramOpts::new("cornelvalve_request_seconds", "Time to the answer")
                    .buckets(LATENCY_BOUNDS_S.to_vec()),
            )?,
            cold_starts: IntCounterVec::new(
                opts("cold_starts_total", "Requests admitted to a cold upstream"),
                &["rate"],
            )?,
            upstream_limit: Gauge::with_opts(opts(
                "upstream_limit",
                "Requests per second that the upstream accepts",
            ))?,
            memory_refused: IntCounterVec::new(
                opts("memory_refused_total", "Messages without memory"),
                &["use"],
            )?,
            connections_refused: IntCounterVec::new(
                opts("connections_refused_total", "Connections above their bound"),
                &["kind"],
            )?,
            version: IntGauge::with_opts(opts("version", "Version of the desired state"))?,
            domains_out: IntGauge::with_opts(opts(
                "domains_out",
                "Failure domains out of service",
            ))?,
            control_reads: IntCounterVec::new(
                opts("control_reads_total", "Reads of the configuration"),
                &["source", "result"],
            )?,
            members: IntGauge::with_opts(opts(
                "members",
                "Daemons that take work, this one included",
            ))?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.failed_attempts.clone()))?;
        registry.register(Box::new(metrics.hand_backs.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.cold_starts.clone()))?;
        registry.register(Box::new(metrics.upstream_limit.clone()))?;
        registry.register(Box::new(metrics.memory_refused.clone()))?;
        registry.register(Box::new(metrics.connections_refused.clone()))?;
        registry.register(Box::new(metrics.version.clone()))?;
        registry.register(Box::new(metrics.domains_out.clone()))?;
        registry.register(Box::new(metrics.control_reads.clone()))?;
        registry.register(Box::new(metrics.members.clone()))?;
        metrics.upstream_limit.set(f64::INFINITY);
        Ok(metrics)
    }

    /// Counts a request of a caller that ended.
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
        self.failed_attempts
            .inc_by(u64::from(record.upstream_attempts));
        self.hand_backs.inc_by(u64::from(record.hand_backs));
        self.latency.observe(record.latency.as_secs_f64());
    }

    /// Returns the metrics in the Prometheus text format; logs a failure and returns an empty text.
    fn text(&self) -> String {
        let families = self.registry.gather();
        prometheus::TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|e| {
                log::warn!(event = "metrics-unreadable"; "encoding the metrics failed: {e}");
                String::new()
            })
    }
}

/// Runs the stats service until it is asked to stop.
///
/// Publishes the limits on callers of each new configuration through `limits`.
///
/// # Errors
///
/// Returns an error if the control service does not exist or the metrics cannot be set up.
pub(crate) async fn run_stats(
    mut context: Context<StatsMessage>,
    limits: Arc<watch::Sender<CallerLimits>>,
) -> ServiceResult {
    request_republish(&context.registry).await?;
    let mut stats = Stats {
        metrics: Metrics::new()?,
        running: 0,
        configured: false,
        behind: false,
        caught_up: false,
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

/// State of the stats service.
struct Stats {
    metrics: Metrics,
    /// Number of callers' requests that are running.
    running: u64,
    /// Whether a desired state has been received.
    configured: bool,
    /// Whether a later configuration exists that this daemon does not have.
    behind: bool,
    /// Whether this daemon has had a desired state and no peer a later one. The first state that a
    /// restarted daemon reads may be older than the one that it had before.
    caught_up: bool,
    /// Whether the daemon is stopping.
    stopping: bool,
}

impl Stats {
    /// Handles one message.
    fn handle(&mut self, message: StatsMessage, limits: &watch::Sender<CallerLimits>) {
        match message {
            StatsMessage::RequestStarted => {
                self.running += 1;
            }
            StatsMessage::RequestFinished(record) => {
                self.running = self.running.saturating_sub(1);
                self.metrics.record(&record);
            }
            StatsMessage::MemoryRefused(purpose) => {
                let purpose = purpose.to_string();
                let counter = self.metrics.memory_refused.with_label_values(&[&purpose]);
                counter.inc();
            }
            StatsMessage::ConnectionRefused(kind) => {
                let refused = &self.metrics.connections_refused;
                refused.with_label_values(&[&kind.to_string()]).inc();
            }
            StatsMessage::ColdStart { rate_known } => {
                let rate = if rate_known { "known" } else { "unknown" };
                self.metrics.cold_starts.with_label_values(&[rate]).inc();
            }
            StatsMessage::ControlRead { source, ok } => {
                let result = if ok { "ok" } else { "failed" };
                let labels = [&*source.to_string(), result];
                self.metrics.control_reads.with_label_values(&labels).inc();
            }
            StatsMessage::UpstreamLimit(limit) => {
                let limit = limit.unwrap_or(f64::INFINITY);
                self.metrics.upstream_limit.set(limit);
            }
            StatsMessage::Scrape { reply } => reply.send(self.metrics.text()),
            StatsMessage::Ready { reply } => reply.send(self.is_ready()),
            StatsMessage::Behind(behind) => {
                self.behind = behind;
                self.caught_up |= self.configured && !behind;
            }
            StatsMessage::MemberCount(count) => self.metrics.members.set(gauge(count)),
            StatsMessage::Control(view) => self.apply_configuration(&view, limits),
            StatsMessage::Stopping => self.stopping = true,
            StatsMessage::Activity { reply } => reply.send(Activity {
                running: self.running,
            }),
        }
    }

    /// Returns whether the daemon is ready to serve callers.
    fn is_ready(&self) -> bool {
        self.caught_up && !self.stopping
    }

    /// Updates the metrics and the limits on callers from the operators' current configuration.
    fn apply_configuration(&mut self, view: &ControlView, limits: &watch::Sender<CallerLimits>) {
        let out = view.domains_out.len() as u64;
        self.metrics.domains_out.set(gauge(out));
        if let Some(desired) = &view.desired {
            self.configured = true;
            self.caught_up |= !self.behind;
            self.metrics.version.set(gauge(desired.version.0));
            limits.send_replace(desired.limits);
        }
    }
}

/// Converts a count to the value of a gauge.
fn gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
