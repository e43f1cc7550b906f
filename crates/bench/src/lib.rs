//! Open-loop load and experiments with daemons, stand-ins and scripted faults on loopback.
//!
//! Arrivals keep a fixed rate whatever the answers do, and latency counts from the intended moment
//! of each request, so that a stall is not hidden by requests that were never sent. Variants run
//! interleaved, so that noise of the machine hits all of them. Every run is bounded.

mod builtin;
mod caller;
mod client;
mod error;
mod experiment;
mod host;
mod mesh;
mod nested;
mod pacer;
mod report;
mod run;
mod script;
mod table;
mod tally;
mod usage;

pub use builtin::{BUILTINS, builtin};
pub use error::{Error, Result};
pub use experiment::{
    Action, Experiment, Noise, PickerKind, Placement, RequestKind, ScriptEvent, ServiceSpec,
    Variant, Via, VmSpec, read,
};
pub use report::{
    ControlReport, Counts, EventReport, KindReport, Latency, Machine, Report, UpstreamReport,
    VariantReport, Window,
};
pub use run::run;
pub use table::render;
