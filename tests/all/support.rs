//! Processes of a small mesh: log stand-in, daemons, upstream stand-ins and the operators' client.

mod http;
mod mesh;
mod process;
mod raw;
mod rig;

pub(crate) use http::{request, send};
pub(crate) use mesh::{DaemonProcess, Mesh, VmSpec};
pub(crate) use process::{cornelctl, ctl_json, eventually, run};
pub(crate) use raw::{raw_exchange, raw_text, raw_upstream};
pub(crate) use rig::Rig;
