//! A mesh of separate processes on loopback.

use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;

use cornelvalve_model::Change;
use serde_json::Value;

use super::http::{request, send};
use super::log::LogAccess;
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
    pub(crate) metrics: SocketAddr,
}

/// Log stand-in with a folder for settings files.
#[derive(Debug)]
pub(crate) struct Mesh {
    _log: Process,
    pub(crate) log_addr: SocketAddr,
    pub(crate) log: LogAccess,
    folder: PathBuf,
}

impl Mesh {
    /// Starts the log stand-in.
    pub(crate) fn start(name: &str) -> Self {
        Self::start_with(name, &[])
    }

    /// Starts the log stand-in with further arguments.
    pub(crate) fn start_with(name: &str, args: &[&str]) -> Self {
        let mut full = vec!["--listen", "127.0.0.1:0"];
        full.extend(args);
        let (log, ready) = Process::start("standin-log", &full);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("folder can be created");
        let log_addr = addr(&ready, "listen");
        Self {
            _log: log,
            log_addr,
            log: LogAccess::new(log_addr),
            folder,
        }
    }

    /// Starts a daemon that knows nothing but the log and one peer.
    pub(crate) fn daemon(&self, spec: VmSpec, seeds: &[SocketAddr]) -> DaemonProcess {
        self.daemon_with(spec, seeds, "")
    }

    /// Returns the file that receives the log lines of a daemon.
    pub(crate) fn log_file(&self, spec: VmSpec) -> PathBuf {
        self.folder.join(format!("{}.log", spec.vm))
    }

    /// Starts a daemon with further settings.
    pub(crate) fn daemon_with(
        &self,
        spec: VmSpec,
        seeds: &[SocketAddr],
        further: &str,
    ) -> DaemonProcess {
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
                {further}
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
        let stderr = File::create(self.log_file(spec)).expect("log file can be created");
        let args = ["run", path];
        let (process, ready) = Process::start_logging("cornelvalve", &args, stderr.into());
        DaemonProcess {
            process,
            callers: addr(&ready, "callers"),
            peers: addr(&ready, "peers"),
            upstream: addr(&ready, "upstream"),
            operators: addr(&ready, "operators"),
            metrics: addr(&ready, "metrics"),
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
        let daemon = self.upstream.to_string();
        let slots = slots.to_string();
        let args = ["--daemon", &daemon, "--service", service, "--slots", &slots];
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

    /// Publishes a change by the operators' interface and returns its report or its error.
    pub(crate) async fn publish(&self, change: &Change) -> Result<Value, Value> {
        let call = serde_json::json!({
            "jsonrpc": "2.0", "id": 1, "method": "publish",
            "params": { "change": change, "wait": "accepted", "timeout_ms": 50_000 },
        });
        let headers = [("content-type", "application/json")];
        let host = self.operators.to_string();
        let post = request("POST", &host, "/", &headers, call.to_string());
        let answer = send(self.operators, post).await.map_err(Value::from)?;
        let mut answer = answer.json();
        match answer["result"].take() {
            Value::Null => Err(answer["error"].take()),
            report => Ok(report),
        }
    }

    /// Returns what `cornelctl status` reports.
    pub(crate) fn status(&self) -> Value {
        self.ctl_json(&["status"])
    }

    /// Returns the revision in force at the daemon, or zero if there is none.
    pub(crate) fn revision(&self) -> u64 {
        self.status()["revision"].as_u64().unwrap_or_default()
    }

    /// Waits until the daemon has a revision in force.
    pub(crate) async fn wait_for_revision(&self, revision: u64) {
        eventually("revision", || async {
            match self.revision() {
                found if found == revision => Ok(()),
                found => Err(format!("revision {found} is in force, not {revision}")),
            }
        })
        .await;
    }

    /// Returns what the operators' client prints as JSON.
    pub(crate) fn ctl_json(&self, args: &[&str]) -> Value {
        let mut full = vec!["--output", "json"];
        full.extend(args);
        let text = self.ctl(&full);
        serde_json::from_str(&text).unwrap_or_else(|e| panic!("{text:?} is not JSON: {e}"))
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
