//! Description of an experiment and its bounds.

use std::path::Path;
use std::time::Duration;

use cornelvalve_model::{FailureDomain, Region, RequestClass, ServiceName};
use cornelvalve_standins::UpstreamFaults;
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Highest rate of one variant in requests per second; loopback and one generator thread bear it.
const MAX_RATE: f64 = 20_000.0;

/// Longest measured time of one variant.
const MAX_DURATION_MS: u64 = 120_000;

/// Most requests of one run; bounds the time and the memory for per-request notes.
const MAX_REQUESTS: f64 = 2_000_000.0;

/// Most VMs of one mesh.
const MAX_VMS: usize = 64;

/// Most worker threads of one daemon.
const MAX_WORKERS: usize = 64;

/// Most bytes of one request body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// What is run, on which mesh, and which variants are compared.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name for the report.
    pub name: String,
    /// Services with their hosts.
    pub services: Vec<ServiceSpec>,
    /// VMs with a daemon each.
    pub vms: Vec<VmSpec>,
    /// Kinds of requests, drawn by weight.
    pub mix: Vec<RequestKind>,
    /// Variants that are compared; each has a mesh of its own, and direct calls use the first.
    pub variants: Vec<Variant>,
    /// Arrivals per second of each variant.
    pub rate: f64,
    /// Callers of each variant.
    #[serde(default = "default_callers")]
    pub callers: usize,
    /// Time before the measurement in which requests are sent but not counted.
    #[serde(default)]
    pub warmup_ms: u64,
    /// Measured time of each variant.
    pub duration_ms: u64,
    /// Length of the turns that variants take; 0 runs them side by side.
    #[serde(default)]
    pub slice_ms: u64,
    /// Events during the measurement, the same for every variant.
    #[serde(default)]
    pub script: Vec<ScriptEvent>,
    /// Neighbours that slow down one upstream after another.
    #[serde(default)]
    pub noise: Option<Noise>,
    /// Where the daemons run.
    #[serde(default)]
    pub placement: Placement,
    /// Whether to check what ran against what callers were told.
    #[serde(default)]
    pub track_runs: bool,
    /// Seed of all random choices of the tool.
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
    /// Name.
    pub name: ServiceName,
    /// Host under which callers reach it.
    pub host: String,
    /// Class of the requests under `/once`, `/upload` and elsewhere alike.
    #[serde(default)]
    pub class: RequestClass,
}

/// VM with a daemon and at most one upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSpec {
    /// Region.
    pub region: Region,
    /// Failure domain.
    pub domain: FailureDomain,
    /// Service of the upstream beside the daemon.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Requests that the upstream runs at once.
    #[serde(default = "default_slots")]
    pub slots: u16,
    /// Whether callers use this daemon.
    #[serde(default)]
    pub entry: bool,
    /// Whether the upstream passes nested calls on through its local entry.
    #[serde(default)]
    pub nested: bool,
}

fn default_slots() -> u16 {
    10
}

/// Kind of requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name for the report.
    pub name: String,
    /// Share among the kinds.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Service.
    pub service: ServiceName,
    /// Method.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path.
    pub path: String,
    /// Bytes of the request body.
    #[serde(default)]
    pub body_bytes: usize,
    /// Bytes of the response body; by default the request body is echoed.
    #[serde(default)]
    pub answer_bytes: Option<usize>,
    /// Mean service time at the upstream in milliseconds.
    #[serde(default)]
    pub work_ms: u64,
    /// Whether service times are exponential instead of constant.
    #[serde(default)]
    pub spread: bool,
    /// Whether a ticket is fetched first; its time counts.
    #[serde(default)]
    pub ticket: bool,
    /// Depth of nested calls that the upstream makes.
    #[serde(default)]
    pub nested: u8,
    /// Deadline that the caller states.
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

/// Way in which requests reach upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Via {
    /// Through the daemons.
    #[default]
    System,
    /// Straight to the upstreams of the first mesh, in turn.
    Direct,
}

/// Strategy of the routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PickerKind {
    /// One after the other.
    RoundRobin,
    /// Fewest outstanding requests at the entry.
    LeastOutstanding,
    /// Better of two by score.
    #[default]
    PowerOfTwo,
}

/// One of the compared variants.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name for the report.
    pub name: String,
    /// Way to the upstreams.
    #[serde(default)]
    pub via: Via,
    /// Strategy of the routers.
    #[serde(default)]
    pub picker: PickerKind,
    /// Whether penalties and ejection are switched off.
    #[serde(default)]
    pub plain: bool,
    /// Whether the script and the noise leave this variant alone, for a reference.
    #[serde(default)]
    pub spared: bool,
    /// Program of the daemons beside this one, such as an earlier build; only for processes.
    #[serde(default)]
    pub program: Option<String>,
    /// Worker threads of each daemon; the default is the runtime's for processes and 2 for
    /// threads.
    #[serde(default)]
    pub workers: Option<usize>,
}

/// Where daemons run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// In this process, each on a runtime of its own; needed to set a picker.
    #[default]
    Threads,
    /// As processes of the program beside this one.
    Processes,
}

/// Something that happens during the measurement.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptEvent {
    /// Time since the start of the measurement.
    pub at_ms: u64,
    /// What happens.
    pub action: Action,
}

/// What happens to a part of the mesh; VMs are counted from 0.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Replaces the faults of an upstream.
    Faults {
        /// The VM.
        vm: usize,
        /// The faults.
        faults: UpstreamFaults,
    },
    /// Ends an upstream like a crash and starts a new one with the given faults.
    Replace {
        /// The VM.
        vm: usize,
        /// Faults of the new upstream, such as a cold start.
        faults: UpstreamFaults,
    },
    /// Announces that an upstream drains.
    Drain {
        /// The VM.
        vm: usize,
    },
    /// Changes nothing; what follows is counted apart.
    Mark,
    /// Takes a failure domain out of service through the log.
    DomainOut {
        /// The failure domain.
        domain: FailureDomain,
    },
    /// Brings a failure domain back through the log.
    DomainIn {
        /// The failure domain.
        domain: FailureDomain,
    },
}

/// Straggling that moves from upstream to upstream of the mesh.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Noise {
    /// Time for which one upstream is slowed down.
    pub every_ms: u64,
    /// Time added to its requests.
    pub straggle_ms: u64,
}

/// Reads an experiment from a file of JSON with comments.
///
/// # Errors
///
/// Returns [`Error::File`] if the file cannot be read or has unknown, missing or wrong keys, and
/// [`Error::Bounds`] if a value is out of bounds.
pub fn read(path: &Path) -> Result<Experiment> {
    let file = path.display().to_string();
    let wrong = |problem: String| Error::File {
        file: file.clone(),
        problem,
    };
    let text = std::fs::read_to_string(path).map_err(|e| wrong(e.to_string()))?;
    let options = jsonc_parser::ParseOptions::default();
    let parsed = jsonc_parser::parse_to_serde_value::<serde_json::Value>(&text, &options)
        .map_err(|e| wrong(e.to_string()))?;
    let experiment: Experiment =
        serde_json::from_value(parsed).map_err(|e| wrong(e.to_string()))?;
    experiment.check()?;
    Ok(experiment)
}

impl Experiment {
    /// Checks the bounds that make a run end by itself.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Bounds`] for the first value that is out of bounds.
    pub fn check(&self) -> Result<()> {
        let requests = self.rate * self.total().as_secs_f64() * self.variants.len() as f64;
        let vm_ok = |vm: usize| self.vms.get(vm).is_some_and(|v| v.service.is_some());
        let system = self.variants.iter().any(|v| v.via == Via::System);
        let tuned = |v: &Variant| v.plain || v.picker != PickerKind::PowerOfTwo;
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
                "makes more than 2,000,000 requests; shorten the run",
            ),
            (
                self.vms.is_empty() || self.vms.len() > MAX_VMS,
                "vms",
                "must be 1 to 64",
            ),
            (
                self.callers == 0 || self.callers > 256,
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
                !system,
                "variants",
                "needs one through the system; direct calls use its upstreams",
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
                    .any(|vm| !vm_ok(vm)),
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
                self.placement == Placement::Processes && self.variants.iter().any(tuned),
                "placement",
                "must be threads for variants with their own picker",
            ),
        ];
        match checks.iter().find(|(wrong, ..)| *wrong) {
            Some((_, key, problem)) => Err(Error::Bounds { key, problem }),
            None => Ok(()),
        }
    }

    /// Returns the time from the first to the last arrival.
    #[must_use]
    pub fn total(&self) -> Duration {
        let turns = if self.slice_ms > 0 {
            u64::try_from(self.variants.len()).unwrap_or(u64::MAX)
        } else {
            1
        };
        Duration::from_millis(self.warmup_ms + self.duration_ms.saturating_mul(turns))
    }

    pub(crate) fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.iter().find(|s| s.name == *name)
    }
}

impl Action {
    pub(crate) fn vm(&self) -> Option<usize> {
        match self {
            Self::Faults { vm, .. } | Self::Replace { vm, .. } | Self::Drain { vm } => Some(*vm),
            Self::Mark | Self::DomainOut { .. } | Self::DomainIn { .. } => None,
        }
    }

    /// Returns a short name for the report.
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
