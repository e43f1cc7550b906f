//! Processes of a small mesh: log stand-in, daemons, upstream stand-ins and the operators' client.

mod http;
mod log;
mod mesh;
mod process;

pub(crate) use http::{request, send};
pub(crate) use mesh::{DaemonProcess, Mesh, VmSpec};
pub(crate) use process::{Process, eventually};
