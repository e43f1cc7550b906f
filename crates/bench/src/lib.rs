//! Load generator and experiments with daemons, upstream stand-ins and scripted faults on loopback.
//!
//! The load is open-loop: requests arrive at a fixed rate, however slow the responses are. Latency
//! is measured from the scheduled time of each request, so that a stall shows up in the latencies
//! instead of in requests that were never sent. The variants of an experiment run interleaved, so
//! that other load on the machine affects all of them alike. The duration and the number of
//! requests of a run are limited.

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
