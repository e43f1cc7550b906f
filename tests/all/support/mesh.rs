//! A mesh of separate processes on loopback.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;

use super::http::{request, send};
use super::process::{Process, cornelctl, eventually};

/// Where a VM stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VmSpec {
    pub(crate) vm: &'static str,
    pub(crate) region: &'static str,
    pub(crate) domain: &'static str,
}

/// Running daemon.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    pub(crate) process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) upstream: SocketAddr,
    pub(crate) operators: SocketAddr,
}

/// Log stand-in with a folder for settings files.
#[derive(Debug)]
pub(crate) struct Mesh {
    pub(crate) log: Process,
    pub(crate) log_addr: SocketAddr,
    folder: PathBuf,
}

impl Mesh {
    /// Starts the log stand-in.
    pub(crate) fn start(name: &str) -> Self {
        let (log, ready) = Process::start("standin-log", &["--listen", "127.0.0.1:0"]);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("folder can be created");
        Self {
            log,
            log_addr: addr(&ready, "listen"),
            folder,
        }
    }

    /// Replaces the faults of the log stand-in.
    pub(crate) async fn set_log_faults(&self, faults: &'static str) {
        let headers = [("content-type", "application/json")];
        let put = request("PUT", "standin", "/faults", &headers, faults);
        let answer = send(self.log_addr, put)
            .await
            .expect("log stand-in answers");
        assert_eq!(answer.status, 204, "{answer:?}");
    }

    /// Starts a daemon that knows nothing but the log and one peer.
    pub(crate) fn daemon(&self, spec: VmSpec, seeds: &[SocketAddr]) -> DaemonProcess {
        let seeds: Vec<String> = seeds
            .iter()
            .map(|s| format!("{:?}", s.to_string()))
            .collect();
        let settings = format!(
            r#"{{
                // Written by a test.
                "vm": "{}", "region": "{}", "failure_domain": "{}",
                "listen": {{
                    "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "upstream": "127.0.0.1:0",
                    "operators": "127.0.0.1:0", "metrics": "127.0.0.1:0",
                }},
                "log_store": {{ "addr": "{}" }},
                "seeds": [{}],
                "drain_timeout_ms": 20000,
            }}"#,
            spec.vm,
            spec.region,
            spec.domain,
            self.log_addr,
            seeds.join(",")
        );
        let file = self.folder.join(format!("{}.jsonc", spec.vm));
        std::fs::write(&file, settings).expect("settings can be written");
        let path = file.to_str().expect("path is UTF-8");
        let (process, ready) = Process::start("cornelvalve", &["run", path]);
        DaemonProcess {
            process,
            callers: addr(&ready, "callers"),
            peers: addr(&ready, "peers"),
            upstream: addr(&ready, "upstream"),
            operators: addr(&ready, "operators"),
        }
    }
}

fn addr(ready: &Value, key: &str) -> SocketAddr {
    ready[key]
        .as_str()
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(|| panic!("ready line {ready} has no address {key:?}"))
}

impl DaemonProcess {
    /// Starts an upstream stand-in beside the daemon.
    pub(crate) fn start_upstream(&self, service: &str, slots: u16) -> (Process, SocketAddr) {
        self.start_leased(service, slots, 10_000)
    }

    /// Starts an upstream stand-in that renews a lease of the given length.
    pub(crate) fn start_leased(
        &self,
        service: &str,
        slots: u16,
        lease_ms: u32,
    ) -> (Process, SocketAddr) {
        let daemon = self.upstream.to_string();
        let (slots, lease) = (slots.to_string(), lease_ms.to_string());
        let mut args = vec!["--daemon", &daemon, "--service", service];
        args.extend(["--slots", &slots, "--lease-ms", &lease]);
        let (process, ready) = Process::start("standin-upstream", &args);
        let port = ready["port"].as_u64().and_then(|p| u16::try_from(p).ok());
        let port = port.unwrap_or_else(|| panic!("ready line {ready} has no port"));
        (process, SocketAddr::from(([127, 0, 0, 1], port)))
    }

    /// Runs the operators' client against the daemon and expects success.
    pub(crate) fn ctl(&self, args: &[&str]) -> String {
        let output = cornelctl(&self.operators.to_string(), args);
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.success(),
            "cornelctl {args:?}: {stdout} {stderr}"
        );
        stdout
    }

    /// Returns what the operators' client prints as JSON.
    pub(crate) fn ctl_json(&self, args: &[&str]) -> Value {
        let mut full = vec!["--output", "json"];
        full.extend(args);
        let text = self.ctl(&full);
        serde_json::from_str(&text).unwrap_or_else(|e| panic!("{text:?} is not JSON: {e}"))
    }

    /// Creates a service whose host is its name in the domain `test`, in the region `qc-est`.
    pub(crate) fn put_service(&self, name: &str) {
        let host = format!("{name}.test");
        self.ctl(&["region", "put", "qc-est"]);
        self.ctl(&["service", "put", "--name", name, "--host", &host]);
    }

    /// Lists the VMs to which the daemon would send a request for a host.
    pub(crate) fn candidates(&self, host: &str) -> Vec<String> {
        let args = ["explain", "--host", host, "--path", "/", "--method", "GET"];
        let explained = self.ctl_json(&args);
        let listed = explained["candidates"].as_array().into_iter().flatten();
        let vms = listed.filter_map(|c| c["vm"].as_str().map(str::to_owned));
        let mut vms: Vec<String> = vms.collect();
        vms.sort_unstable();
        vms
    }

    /// Waits until the daemon would send requests for a host to exactly these VMs.
    pub(crate) async fn wait_for_candidates(&self, host: &str, vms: &[&str]) {
        eventually("candidates", || async {
            let candidates = self.candidates(host);
            if candidates == vms {
                Ok(())
            } else {
                Err(format!("{candidates:?} instead of {vms:?}"))
            }
        })
        .await;
    }

    /// Waits until the daemon sees so many members alive.
    pub(crate) async fn wait_for_members(&self, alive: u64) {
        eventually("members", || async {
            let status = self.ctl_json(&["status"]);
            match status["members"]["alive"].as_u64() {
                Some(n) if n == alive => Ok(()),
                other => Err(format!("{other:?} of {alive} members are alive")),
            }
        })
        .await;
    }
}
