//! Metrics of the daemon, exported in the Prometheus text format.

use std::time::Duration;

use cornelvalve_model::{LoadHint, MemberState, Outcome, Reason, Revision, ServiceName};
use derive_more::{Debug, Display, Error};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, MetricsError>;

/// Upper bounds of the histogram buckets for the added latency, in seconds.
///
/// The buckets are narrow around the goal of 1.1 ms for the 99th percentile.
const LATENCY_BOUNDS_S: [f64; 12] = [
    0.000_1, 0.000_2, 0.000_4, 0.000_6, 0.000_8, 0.001, 0.001_1, 0.001_5, 0.002, 0.005, 0.02, 0.1,
];

/// Value of the label `reason` for requests that were not refused: those that completed, and those
/// whose caller disconnected.
const NO_REASON: &str = "none";

/// Reports that the metrics cannot be set up or written.
#[derive(Debug, Display, Error)]
pub enum MetricsError {
    /// The exporter cannot be registered.
    #[display("cannot register the metrics exporter: {_0}; report this as a bug")]
    Exporter(OTelSdkError),
    /// The metrics cannot be written as text.
    #[display("cannot write the metrics as text: {_0}; report this as a bug")]
    Text(prometheus::Error),
}

/// Metrics of one daemon; clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    #[debug(skip)]
    registry: Registry,
    /// Keeps the instruments connected to the exporter, until the last clone is dropped.
    #[debug(skip)]
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    added_latency: Histogram<f64>,
    admission_limit: Gauge<u64>,
    admission_running: Gauge<u64>,
    admission_queue: Gauge<u64>,
    control_sent: Counter<u64>,
    control_dropped: Counter<u64>,
    revision: Gauge<u64>,
    members: Gauge<u64>,
}

impl Metrics {
    /// Creates the metrics and registers their exporter.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Exporter`] if the exporter cannot be registered.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .map_err(MetricsError::Exporter)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("cornelvalve");
        Ok(Self::with_meter(registry, provider, &meter))
    }

    fn with_meter(registry: Registry, provider: SdkMeterProvider, meter: &Meter) -> Self {
        let counter = |name, help| meter.u64_counter(name).with_description(help).build();
        let gauge = |name, help| meter.u64_gauge(name).with_description(help).build();
        Self {
            registry,
            _provider: provider,
            requests: counter(
                "cornelvalve_requests",
                "Requests of callers by outcome and reason",
            ),
            attempts: counter(
                "cornelvalve_attempts",
                "Requests sent to a daemon or upstream",
            ),
            retries: counter("cornelvalve_retries", "Attempts after the first"),
            added_latency: meter
                .f64_histogram("cornelvalve_added_latency_seconds")
                .with_description("Latency beyond that of the upstream")
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build(),
            admission_limit: gauge("cornelvalve_admission_limit", "Requests admitted at once"),
            admission_running: gauge("cornelvalve_admission_running", "Requests that run"),
            admission_queue: gauge("cornelvalve_admission_queue", "Requests that wait"),
            control_sent: counter("cornelvalve_control_sent_bytes", "Control traffic sent"),
            control_dropped: counter(
                "cornelvalve_control_dropped_bytes",
                "Control traffic dropped over budget",
            ),
            revision: gauge("cornelvalve_configuration_revision", "Revision in force"),
            members: gauge("cornelvalve_members", "Members by state"),
        }
    }

    /// Counts a request of a caller by its outcome and the reason for a refusal.
    pub fn count_request(&self, outcome: Outcome, reason: Option<Reason>) {
        let outcome = match outcome {
            Outcome::NotRun => "not-run",
            Outcome::Completed => "completed",
            Outcome::Unknown => "unknown",
        };
        let reason = reason.map_or_else(|| NO_REASON.to_owned(), |r| r.to_string());
        let labels = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.requests.add(1, &labels);
    }

    /// Counts an attempt to send a request to a daemon or upstream.
    ///
    /// `is_retry` tells whether an earlier attempt of the same request failed.
    pub fn count_attempt(&self, is_retry: bool) {
        self.attempts.add(1, &[]);
        if is_retry {
            self.retries.add(1, &[]);
        }
    }

    /// Records the latency that the load balancer added to that of the upstream.
    pub fn record_added_latency(&self, added: Duration) {
        self.added_latency.record(added.as_secs_f64(), &[]);
    }

    /// Sets the admission limit of the local upstream of a service, and the number of its running
    /// and queued requests.
    pub fn set_admission(&self, service: &ServiceName, load: LoadHint) {
        let labels = [KeyValue::new("service", service.as_str().to_owned())];
        self.admission_limit.record(load.limit.into(), &labels);
        self.admission_running.record(load.running.into(), &labels);
        self.admission_queue.record(load.queued.into(), &labels);
    }

    /// Counts bytes of control traffic of a class that were sent.
    pub fn count_control_sent(&self, class: &'static str, bytes: u64) {
        self.control_sent
            .add(bytes, &[KeyValue::new("class", class)]);
    }

    /// Counts bytes of control traffic of a class that were dropped because the budget was used up.
    pub fn count_control_dropped(&self, class: &'static str, bytes: u64) {
        self.control_dropped
            .add(bytes, &[KeyValue::new("class", class)]);
    }

    /// Sets the revision of the configuration in force.
    pub fn set_revision(&self, revision: Revision) {
        self.revision.record(revision.0, &[]);
    }

    /// Sets the number of members in a state.
    pub fn set_members(&self, state: MemberState, count: u64) {
        let label = match state {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Left => "left",
            MemberState::Dead => "dead",
        };
        self.members.record(count, &[KeyValue::new("state", label)]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError::Text`] if a metric cannot be written.
    pub fn render(&self) -> Result<String> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(MetricsError::Text)
    }
}
