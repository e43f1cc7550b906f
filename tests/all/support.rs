//! Test support: starts daemons and stand-ins, and sends requests to them as callers, peers and
//! operators.
//!
//! A stand-in is a test double: `standin-log` takes the place of the log store, which holds the
//! configuration of the mesh, and `standin-upstream` that of an upstream. The entry daemon is the
//! one to which a caller sends its request; it forwards the request to the daemon of an upstream.
//! Operators publish changes of the configuration through any daemon with `cornelctl`.

mod daemon_pair;
mod faulty_upstream;
mod generated_body;
mod http;
mod load;
mod log_store;
mod mesh;
mod meter;
mod process;
mod raw_http;
mod tickets;
mod upload;
mod upstream;

pub(crate) use daemon_pair::DaemonPair;
pub(crate) use faulty_upstream::{FailurePoint, FaultyUpstream, LIMIT_PER_SECOND};
pub(crate) use generated_body::GeneratedBody;
pub(crate) use http::{Client, Response, request, send};
pub(crate) use load::{LoadGenerator, LoadSummary};
pub(crate) use mesh::{DaemonOptions, DaemonProcess, Mesh, VmSpec};
pub(crate) use meter::{ReceivedData, TrafficMeter, assert_within_rate};
pub(crate) use process::{Process, cornelctl, ctl_json, eventually, run};
pub(crate) use raw_http::{raw_exchange, raw_text, start_fixed_upstream};
pub(crate) use tickets::{request_ticket, request_with_ticket};
pub(crate) use upload::Upload;
pub(crate) use upstream::{announce, concurrency_stats, run_counts, set_faults, try_run_counts};
