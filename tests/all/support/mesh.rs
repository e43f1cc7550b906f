//! A mesh of separate processes on loopback.

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

impl VmSpec {
    /// Creates the place of a VM.
    pub(crate) const fn new(vm: &'static str, region: &'static str, domain: &'static str) -> Self {
        Self { vm, region, domain }
    }
}

/// What a test sets for one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DaemonOptions<'a> {
    /// Address for announcements; needed by a daemon that takes the place of an earlier one.
    pub(crate) upstream_addr: Option<SocketAddr>,
    /// Further settings, such as `"tickets": { ... },`.
    pub(crate) settings: &'a str,
    /// Level of the log lines; `debug` by default.
    pub(crate) log_level: Option<&'a str>,
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
    log_file: PathBuf,
}

/// Log stand-in with a folder for settings files.
#[derive(Debug)]
pub(crate) struct Mesh {
    store_process: Option<Process>,
    pub(crate) store_addr: SocketAddr,
    pub(crate) log_store: LogAccess,
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
        let (store_process, ready) = Process::start("standin-log", &full);
        Self {
            store_process: Some(store_process),
            ..Self::with_log_store(name, addr(&ready, "listen"))
        }
    }

    /// Uses a log stand-in that the test runs itself, so that it can set faults.
    pub(crate) fn with_log_store(name: &str, store_addr: SocketAddr) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("folder can be created");
        Self {
            store_process: None,
            store_addr,
            log_store: LogAccess::new(store_addr),
            folder,
        }
    }

    /// Returns the process of the log stand-in.
    pub(crate) fn store_process(&self) -> &Process {
        self.store_process
            .as_ref()
            .expect("log stand-in is a process")
    }

    /// Returns the file that receives the log lines of a daemon.
    pub(crate) fn log_file(&self, spec: VmSpec) -> PathBuf {
        self.folder.join(format!("{}.log", spec.vm))
    }

    /// Replaces the faults of the log stand-in.
    pub(crate) async fn set_log_faults(&self, faults: &'static str) {
        let headers = [("content-type", "application/json")];
        let put = request("PUT", "standin", "/faults", &headers, faults);
        let answer = send(self.store_addr, put)
            .await
            .expect("log stand-in answers");
        assert_eq!(answer.status, 204, "{answer:?}");
    }

    /// Starts a daemon that knows nothing but the log and one peer.
    pub(crate) fn start_daemon(&self, spec: VmSpec, seeds: &[SocketAddr]) -> DaemonProcess {
        self.start_daemon_with(spec, seeds, &DaemonOptions::default())
    }

    /// Starts a daemon with options of its own.
    pub(crate) fn start_daemon_with(
        &self,
        spec: VmSpec,
        seeds: &[SocketAddr],
        options: &DaemonOptions<'_>,
    ) -> DaemonProcess {
        let seeds: Vec<String> = seeds
            .iter()
            .map(|s| format!("{:?}", s.to_string()))
            .collect();
        let upstream_port = options.upstream_addr.map_or(0, |addr| addr.port());
        let settings = format!(
            r#"{{
                // Written by a test.
                "vm": "{}", "region": "{}", "failure_domain": "{}",
                "listen": {{
                    "callers": "127.0.0.1:0", "peers": "127.0.0.1:0",
                    "upstream": "127.0.0.1:{}",
                    "operators": "127.0.0.1:0", "metrics": "127.0.0.1:0",
                }},
                "log_store": {{ "addr": "{}" }},
                "seeds": [{}],
                "drain_timeout_ms": 20000,
                {}
                "logging": {{ "level": "{}" }},
            }}"#,
            spec.vm,
            spec.region,
            spec.domain,
            upstream_port,
            self.store_addr,
            seeds.join(","),
            options.settings,
            options.log_level.unwrap_or("debug")
        );
        let file = self.folder.join(format!("{}.jsonc", spec.vm));
        std::fs::write(&file, settings).expect("settings can be written");
        let path = file.to_str().expect("path is UTF-8");
        let log_file = self.log_file(spec);
        let stderr = std::fs::File::create(&log_file).expect("log file can be created");
        let (process, ready) = Process::start_logged("cornelvalve", &["run", path], stderr.into());
        DaemonProcess {
            process,
            callers: addr(&ready, "callers"),
            peers: addr(&ready, "peers"),
            upstream: addr(&ready, "upstream"),
            operators: addr(&ready, "operators"),
            metrics: addr(&ready, "metrics"),
            log_file,
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
    /// Returns the log lines that the daemon has written, at debug level.
    pub(crate) fn log_lines(&self) -> String {
        std::fs::read_to_string(&self.log_file).expect("log file is readable")
    }

    /// Returns the metrics as text.
    pub(crate) async fn scrape(&self) -> String {
        let get = request("GET", "metrics.test", "/metrics", &[], "");
        let answer = send(self.metrics, get).await.expect("metrics are served");
        assert!(answer.status.is_success(), "{answer:?}");
        String::from_utf8(answer.body.to_vec()).expect("metrics are text")
    }

    /// Returns the value of a metric, or 0 if it is absent.
    pub(crate) async fn metric(&self, sample: &str) -> f64 {
        let text = self.scrape().await;
        let values = text.lines().filter_map(|line| line.strip_prefix(sample));
        let value = values.filter_map(|rest| rest.trim().parse().ok()).next();
        value.unwrap_or(0.0)
    }

    /// Creates the region and a service `NAME` with the host `NAME.test`.
    pub(crate) fn put_service(&self, name: &str, routes: &[&str]) {
        self.ctl(&["region", "put", "qc-est"]);
        let host = format!("{name}.test");
        let mut args = vec!["service", "put", "--name", name, "--host", &host];
        for route in routes {
            args.extend(["--route", route]);
        }
        self.ctl(&args);
    }

    /// Sends requests until one is answered by an upstream.
    pub(crate) async fn wait_for_service(&self, name: &str) {
        let host = format!("{name}.test");
        eventually("first answer", || async {
            let answer = send(self.callers, request("GET", &host, "/", &[], "")).await?;
            let answered = answer.status.is_success();
            answered.then_some(()).ok_or(format!("{answer:?}"))
        })
        .await;
    }

    /// Starts an upstream stand-in beside the daemon.
    pub(crate) fn start_upstream(&self, service: &str, slots: u16) -> (Process, SocketAddr) {
        self.start_upstream_with(service, slots, &[])
    }

    /// Starts an upstream stand-in with further arguments.
    pub(crate) fn start_upstream_with(
        &self,
        service: &str,
        slots: u16,
        more: &[&str],
    ) -> (Process, SocketAddr) {
        let daemon = self.upstream.to_string();
        let slots = slots.to_string();
        let mut args = vec!["--daemon", &daemon, "--service", service, "--slots", &slots];
        args.extend(more);
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
