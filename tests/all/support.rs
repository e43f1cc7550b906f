//! Test support: starts daemons and stand-ins of their log store and upstreams, and sends them the
//! requests of callers, peers and operators.

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

pub(crate) use fixed::{raw_exchange, raw_text, raw_upstream};
pub(crate) use http::{Answer, Client, request, send};
pub(crate) use load::{Load, Tally};
pub(crate) use mesh::{DaemonOptions, DaemonProcess, Mesh, VmSpec};
pub(crate) use meter::{ReceivedData, TrafficMeter, assert_within_rate};
pub(crate) use process::{Process, cornelctl, ctl_json, eventually, run};
pub(crate) use raw::{RawUpstream, Stage};
pub(crate) use rig::Rig;
pub(crate) use stream::Generated;
pub(crate) use tickets::{ticket, with_ticket};
pub(crate) use upload::Upload;
pub(crate) use upstream::{announce, peak_concurrency, runs, set_faults, try_runs};
