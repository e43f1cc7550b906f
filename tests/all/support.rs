//! Processes of a small mesh: log stand-in, daemons, upstream stand-ins and the operators' client.

mod http;
mod load;
mod mesh;
mod meter;
mod process;
mod upload;
mod upstream;

pub(crate) use http::{Answer, request, send};
pub(crate) use load::{Load, Tally};
pub(crate) use mesh::{DaemonProcess, Mesh, VmSpec};
pub(crate) use meter::{Meter, Received, check_rate};
pub(crate) use process::{Process, eventually};
pub(crate) use upload::Upload;
pub(crate) use upstream::{announce, runs};
