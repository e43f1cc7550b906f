//! Load generator and experiments with daemons, upstream stand-ins and scripted faults on loopback.
//!
//! An experiment compares variants, for example two balancing strategies. Each variant whose
//! requests go through daemons has its own mesh: a log stand-in that holds the configuration, the
//! daemons and the upstreams. The variants run interleaved, so that other load on the machine
//! affects all of them alike: either side by side, with requests to each variant in turn, or in
//! time slices, with only one variant at a time. Callers send their requests to the daemons of the
//! VMs that are marked as entries.
//!
//! A run of an experiment is one execution of it; the runs of a request are its executions by
//! upstreams.
//!
//! The load is open-loop: requests arrive at a fixed rate, however slow the responses are. Latency
//! is measured from the scheduled time of each request, so that a stall shows up in the latencies
//! instead of in requests that were never sent. The duration and the number of requests of an
//! experiment are limited.

mod builtin;
mod caller;
mod client;
mod daemon;
mod error;
mod experiment;
mod mesh;
mod nested;
mod pacer;
mod report;
mod run;
mod script;
mod stats;
mod table;
mod usage;

pub use builtin::{BUILTIN_EXPERIMENTS, builtin_experiment};
pub use error::{Error, Result};
pub use experiment::{
    Action, Experiment, Noise, PickerKind, Placement, RequestKind, ScriptEvent, ServiceSpec,
    Variant, Via, VmSpec, read_experiment,
};
pub use report::{
    ControlReport, Counts, EventReport, KindReport, Latency, Machine, Report, UpstreamReport,
    VariantReport, Window,
};
pub use run::run_experiment;
pub use table::render_table;
