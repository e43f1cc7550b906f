//! Processes of a small mesh: log stand-in, daemons, upstream stand-ins and the operators' client.

mod http;
mod mesh;
mod process;
mod raw;
mod standin;
mod tickets;

pub(crate) use http::{Answer, request, send};
pub(crate) use mesh::{DaemonOptions, DaemonProcess, Mesh, VmSpec};
pub(crate) use process::eventually;
pub(crate) use raw::{RawUpstream, Stage};
pub(crate) use standin::{runs, set_faults};
pub(crate) use tickets::{ticket, with_ticket};
