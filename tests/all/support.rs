//! Processes of a small mesh: log stand-in, daemons, upstream stand-ins and the operators' client.

mod http;
mod mesh;
mod process;
mod raw;
mod standin;
mod stream;
mod tickets;

pub(crate) use http::{Answer, Client, request, send};
pub(crate) use mesh::{DaemonOptions, DaemonProcess, Mesh, VmSpec};
pub(crate) use process::{Process, eventually};
pub(crate) use raw::{RawUpstream, Stage};
pub(crate) use standin::{peak, runs, set_faults};
pub(crate) use stream::Generated;
pub(crate) use tickets::{ticket, with_ticket};
