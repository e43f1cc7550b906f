//! Processes of a small mesh: log stand-in, daemons, upstream stand-ins and the operators' client.

mod http;
mod mesh;
mod process;
mod upstream;

pub(crate) use http::{request, send};
pub(crate) use mesh::{DaemonProcess, Mesh, VmSpec};
pub(crate) use process::{Process, eventually};
pub(crate) use upstream::{announce, runs};
