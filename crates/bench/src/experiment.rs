//! Definition of an experiment, and the limits that each value must keep.

use std::path::Path;
use std::time::Duration;

use cornelvalve_model::{FailureDomain, Region, RequestClass, ServiceName};
use cornelvalve_standins::UpstreamFaults;
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Maximum request rate of one variant per second. Loopback connections and the single pacer thread
/// sustain this rate.
const MAX_RATE: f64 = 20_000.0;

/// Maximum measured time of one variant, in milliseconds; the warm-up has the same limit.
const MAX_DURATION_MS: u64 = 120_000;

/// Maximum number of requests in one run. Limits its duration and the memory for per-request
/// records.
const MAX_REQUESTS: f64 = 2_000_000.0;

/// Maximum number of VMs in one mesh.
const MAX_VMS: usize = 64;

/// Maximum number of callers of one variant.
const MAX_CALLERS: usize = 256;

/// Maximum number of worker threads of one daemon.
const MAX_WORKERS: usize = 64;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Mesh, load and script of an experiment, and the variants that it compares.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name in the report.
    pub name: String,
    /// Services and their host names.
    pub services: Vec<ServiceSpec>,
    /// VMs of the mesh, each with a daemon.
    pub vms: Vec<VmSpec>,
    /// Kinds of requests, drawn at random by weight.
    pub mix: Vec<RequestKind>,
    /// Variants to compare. Each has its own mesh, except those with direct calls, which use the
    /// upstreams of the first variant that has a mesh.
    pub variants: Vec<Variant>,
    /// Requests per second of each variant.
    pub rate: f64,
    /// Number of callers of each variant.
    #[serde(default = "default_callers")]
    pub callers: usize,
    /// Warm-up in milliseconds, in which requests are sent but not counted.
    #[serde(default)]
    pub warmup_ms: u64,
    /// Measured time of each variant in milliseconds.
    pub duration_ms: u64,
    /// Length of the time slices in which the variants take turns, in milliseconds. 0 runs them
    /// side by side: each request goes to the next variant.
    #[serde(default)]
    pub slice_ms: u64,
    /// Events during the measurement. They are the same for all variants.
    #[serde(default)]
    pub script: Vec<ScriptEvent>,
    /// Simulated noisy neighbours that slow down one upstream after another.
    #[serde(default)]
    pub noise: Option<Noise>,
    /// Whether the daemons run as threads or as processes.
    #[serde(default)]
    pub placement: Placement,
    /// Whether to record which requests the upstreams ran, and to compare that with the responses.
    #[serde(default)]
    pub track_runs: bool,
    /// Seed of the random number generator of the pacer.
    #[serde(default)]
    pub seed: u64,
}

fn default_callers() -> usize {
    8
}

/// Service of the mesh.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Host name in the requests of callers.
    pub host: String,
    /// Idempotency class of the requests on all paths.
    #[serde(default)]
    pub class: RequestClass,
}

/// VM with a daemon and at most one upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSpec {
    /// Region of the VM.
    pub region: Region,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Service of the upstream; `None` for a VM without one.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Number of requests that the upstream runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u16,
    /// Whether callers send requests to the daemon of this VM.
    #[serde(default)]
    pub entry: bool,
    /// Whether the upstream supports nested calls, which it makes through the daemon of this VM.
    #[serde(default)]
    pub nested: bool,
}

fn default_slots() -> u16 {
    10
}

/// Requests with the same properties.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name in the report.
    pub name: String,
    /// Weight of this kind in the random choice among all kinds.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Service that the requests are sent to.
    pub service: ServiceName,
    /// HTTP method.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Size of the request body in bytes.
    #[serde(default)]
    pub body_bytes: usize,
    /// Size of the response body in bytes; by default the request body is echoed.
    #[serde(default)]
    pub answer_bytes: Option<usize>,
    /// Mean service time of the upstream in milliseconds.
    #[serde(default)]
    pub work_ms: u64,
    /// Whether the service times are exponentially distributed instead of constant.
    #[serde(default)]
    pub spread: bool,
    /// Whether the caller fetches a ticket first. The latency includes the time for that.
    #[serde(default)]
    pub ticket: bool,
    /// Length of the chain of nested calls that the request causes.
    #[serde(default)]
    pub nested: u8,
    /// Deadline that the caller sends with the request, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

fn default_method() -> String {
    "GET".to_owned()
}

fn default_deadline() -> u64 {
    1000
}

/// How requests reach the upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Via {
    /// Through the daemons.
    #[default]
    System,
    /// Directly to the upstreams of the first mesh, in round-robin order.
    Direct,
}

/// Algorithm by which a daemon picks one of the upstreams of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PickerKind {
    /// The next upstream in turn.
    RoundRobin,
    /// The upstream to which this daemon has the fewest outstanding requests.
    LeastOutstanding,
    /// The one with the better score of two upstreams chosen at random.
    #[default]
    PowerOfTwo,
}

/// One of the configurations that an experiment compares under the same load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name in the report.
    pub name: String,
    /// How requests reach the upstreams.
    #[serde(default)]
    pub via: Via,
    /// Algorithm by which a daemon picks one of the upstreams of a service.
    #[serde(default)]
    pub picker: PickerKind,
    /// Whether outlier ejection and the score penalties for stragglers and failures are disabled.
    #[serde(default)]
    pub plain: bool,
    /// Exempts the variant from the script and the noise, so that it serves as a reference.
    #[serde(default)]
    pub spared: bool,
    /// File name of the daemon program, such as an earlier build, in the folder of this program.
    /// Only for daemons in separate processes.
    #[serde(default)]
    pub program: Option<String>,
    /// Number of worker threads of each daemon. The default is 2 for daemons in this process and
    /// the default of the runtime for separate processes.
    #[serde(default)]
    pub workers: Option<usize>,
}

/// How the daemons are run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// In this process, each on a separate runtime. Required for variants that set a picker or
    /// disable penalties.
    #[default]
    Threads,
    /// As processes that run the daemon program from the folder of this program.
    Processes,
}

/// Event during the measurement.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptEvent {
    /// Time since the start of the measurement, in milliseconds.
    pub at_ms: u64,
    /// Action that is taken.
    pub action: Action,
}

/// Action of a script on a part of the mesh. VMs are identified by their index in the experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Replaces the faults of an upstream.
    Faults {
        /// Index of the VM.
        vm: usize,
        /// New faults.
        faults: UpstreamFaults,
    },
    /// Crashes an upstream and starts a new one with the given faults.
    Replace {
        /// Index of the VM.
        vm: usize,
        /// Faults of the new upstream, for example a cold start.
        faults: UpstreamFaults,
    },
    /// Announces that an upstream drains.
    Drain {
        /// Index of the VM.
        vm: usize,
    },
    /// Changes nothing. The requests after it are counted separately in the report.
    Mark,
    /// Takes a failure domain out of service by a change in the configuration log.
    DomainOut {
        /// The failure domain.
        domain: FailureDomain,
    },
    /// Returns a failure domain to service by a change in the configuration log.
    DomainIn {
        /// The failure domain.
        domain: FailureDomain,
    },
}

/// Slowdown that moves from one upstream of the mesh to the next.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Noise {
    /// Time for which each upstream is slowed down, in milliseconds.
    pub every_ms: u64,
    /// Constant time added to each request of that upstream, in milliseconds.
    pub straggle_ms: u64,
}

/// Reads an experiment from a file of JSON with comments.
///
/// # Errors
///
/// Returns [`Error::File`] if the file cannot be read or has unknown, missing or invalid keys, and
/// [`Error::OutOfBounds`] if a value is out of bounds.
pub fn read_experiment(path: &Path) -> Result<Experiment> {
    let file = path.display().to_string();
    let invalid = |problem: String| Error::File {
        file: file.clone(),
        problem,
    };
    let text = std::fs::read_to_string(path).map_err(|e| invalid(e.to_string()))?;
    let options = jsonc_parser::ParseOptions::default();
    let parsed = jsonc_parser::parse_to_serde_value::<serde_json::Value>(&text, &options)
        .map_err(|e| invalid(e.to_string()))?;
    let experiment: Experiment =
        serde_json::from_value(parsed).map_err(|e| invalid(e.to_string()))?;
    experiment.validate()?;
    Ok(experiment)
}

impl Experiment {
    /// Checks that the values are consistent and within the limits on duration and size, so that
    /// each run ends by itself.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OutOfBounds`] for the first value that is out of bounds.
    pub fn validate(&self) -> Result<()> {
        let requests = self.rate * self.total_duration().as_secs_f64() * self.variants.len() as f64;
        let has_upstream = |vm: usize| self.vms.get(vm).is_some_and(|v| v.service.is_some());
        let any_system = self.variants.iter().any(|v| v.via == Via::System);
        let needs_threads = |v: &Variant| v.plain || v.picker != PickerKind::PowerOfTwo;
        // Each check holds the condition under which the value is invalid, its key and the problem.
        let checks = [
            (
                !(self.rate > 0.0 && self.rate <= MAX_RATE),
                "rate",
                "must be above 0 and at most 20,000 per second",
            ),
            (
                self.duration_ms == 0 || self.duration_ms > MAX_DURATION_MS,
                "duration_ms",
                "must be 1 to 120,000",
            ),
            (
                self.warmup_ms > MAX_DURATION_MS,
                "warmup_ms",
                "must be at most 120,000",
            ),
            (
                requests > MAX_REQUESTS,
                "rate",
                "results in more than 2,000,000 requests; lower it or shorten the run",
            ),
            (
                self.vms.is_empty() || self.vms.len() > MAX_VMS,
                "vms",
                "must have 1 to 64 entries",
            ),
            (
                self.callers == 0 || self.callers > MAX_CALLERS,
                "callers",
                "must be 1 to 256",
            ),
            (
                !self.vms.iter().any(|v| v.entry),
                "vms",
                "needs one with \"entry\": true",
            ),
            (self.variants.is_empty(), "variants", "must not be empty"),
            (
                !any_system,
                "variants",
                "needs one with \"via\": \"system\"; direct calls use its upstreams",
            ),
            (
                self.mix.is_empty()
                    || self
                        .mix
                        .iter()
                        .any(|k| k.weight.is_nan() || k.weight <= 0.0),
                "mix",
                "needs kinds with weights above 0",
            ),
            (
                self.mix.iter().any(|k| k.body_bytes > MAX_BODY_BYTES),
                "mix.body_bytes",
                "must be at most 4 MiB",
            ),
            (
                self.mix.iter().any(|k| self.service(&k.service).is_none()),
                "mix.service",
                "must be listed in services",
            ),
            (
                self.slice_ms > 0 && !self.script.is_empty(),
                "slice_ms",
                "must be 0 with a script, which acts on all variants at once",
            ),
            (
                self.script
                    .iter()
                    .filter_map(|e| e.action.vm())
                    .any(|vm| !has_upstream(vm)),
                "script.vm",
                "must be a VM with an upstream",
            ),
            (
                self.variants
                    .iter()
                    .any(|v| v.workers.is_some_and(|w| w == 0 || w > MAX_WORKERS)),
                "variants.workers",
                "must be 1 to 64",
            ),
            (
                self.variants.iter().any(|v| {
                    let program = v.program.as_deref();
                    program.is_some_and(|p| p.contains(std::path::is_separator))
                }),
                "variants.program",
                "must be the name of a program beside this one, without a folder",
            ),
            (
                self.placement == Placement::Processes && self.variants.iter().any(needs_threads),
                "placement",
                "must be \"threads\" if a variant sets \"picker\" or \"plain\"",
            ),
        ];
        match checks.iter().find(|(invalid, ..)| *invalid) {
            Some((_, key, problem)) => Err(Error::OutOfBounds { key, problem }),
            None => Ok(()),
        }
    }

    /// Returns the time in which requests arrive: the warm-up and the measured time of all
    /// variants.
    #[must_use]
    pub fn total_duration(&self) -> Duration {
        let sequential = if self.slice_ms > 0 {
            u64::try_from(self.variants.len()).unwrap_or(u64::MAX)
        } else {
            1
        };
        Duration::from_millis(self.warmup_ms + self.duration_ms.saturating_mul(sequential))
    }

    /// Returns the service with the given name.
    pub(crate) fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.iter().find(|s| s.name == *name)
    }
}

impl Action {
    /// Returns the index of the VM that the action applies to, if it applies to one.
    pub(crate) fn vm(&self) -> Option<usize> {
        match self {
            Self::Faults { vm, .. } | Self::Replace { vm, .. } | Self::Drain { vm } => Some(*vm),
            Self::Mark | Self::DomainOut { .. } | Self::DomainIn { .. } => None,
        }
    }

    /// Returns a short description for the report.
    pub(crate) fn label(&self) -> String {
        match self {
            Self::Faults { vm, .. } => format!("faults vm {vm}"),
            Self::Replace { vm, .. } => format!("replace vm {vm}"),
            Self::Drain { vm } => format!("drain vm {vm}"),
            Self::Mark => "mark".to_owned(),
            Self::DomainOut { domain } => format!("{domain} out"),
            Self::DomainIn { domain } => format!("{domain} in"),
        }
    }
}
