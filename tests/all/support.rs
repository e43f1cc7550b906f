//! Processes of a small mesh: log stand-in, daemons, upstream stand-ins and the operators' client.

mod fixed;
mod http;
mod load;
mod log;
mod mesh;
mod meter;
mod process;
mod raw;
mod rig;
mod stream;
mod tickets;
mod upload;
mod upstream;

pub(crate) use fixed::{raw_exchange, raw_text, start_fixed_upstream};
pub(crate) use http::{Client, Response, request, send};
pub(crate) use load::{LoadGenerator, LoadSummary};
pub(crate) use mesh::{DaemonOptions, DaemonProcess, Mesh, VmSpec};
pub(crate) use meter::{Meter, Received, check_rate};
pub(crate) use process::{Process, cornelctl, ctl_json, eventually, run};
pub(crate) use raw::{FailurePoint, FaultyUpstream};
pub(crate) use rig::DaemonPair;
pub(crate) use stream::GeneratedBody;
pub(crate) use tickets::{request_ticket, request_with_ticket};
pub(crate) use upload::Upload;
pub(crate) use upstream::{announce, peak, run_counts, set_faults, try_run_counts};
