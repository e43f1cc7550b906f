//! Starts the processes of a mesh on loopback: log stand-in, daemons and upstream stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;

use cornelvalve_model::Change;
use serde_json::Value;

use super::http::{request, send};
use super::log_store::LogStoreClient;
use super::process::{Process, cornelctl, eventually};

/// Name, region and failure domain of the VM of a daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VmSpec {
    pub(crate) vm: &'static str,
    pub(crate) region: &'static str,
    pub(crate) domain: &'static str,
}

impl VmSpec {
    /// Creates the specification of a VM.
    pub(crate) const fn new(vm: &'static str, region: &'static str, domain: &'static str) -> Self {
        Self { vm, region, domain }
    }
}

/// Optional settings of a daemon.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DaemonOptions<'a> {
    /// Address on which the daemon listens for announcements; a free port of loopback by default.
    /// A daemon that replaces an earlier one gets the earlier address, so that upstreams find it.
    pub(crate) upstream_addr: Option<SocketAddr>,
    /// Further members of the settings object, such as `"tickets": { ... },`.
    pub(crate) settings: &'a str,
    /// Log level; `debug` by default.
    pub(crate) log_level: Option<&'a str>,
}

/// Running daemon process with the addresses on which it listens.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    pub(crate) process: Process,
    /// Address for requests of callers.
    pub(crate) callers: SocketAddr,
    /// Address for requests and datagrams of other daemons.
    pub(crate) peers: SocketAddr,
    /// Address for announcements of upstreams.
    pub(crate) upstream: SocketAddr,
    /// Address for JSON-RPC calls of operators.
    pub(crate) operators: SocketAddr,
    /// Address for scrapes of metrics.
    pub(crate) metrics: SocketAddr,
    log_file: PathBuf,
}

/// Environment of the daemons of a test: the log stand-in that they share, and a folder for their
/// settings and log files.
#[derive(Debug)]
pub(crate) struct Mesh {
    store_process: Option<Process>,
    pub(crate) store_addr: SocketAddr,
    pub(crate) log_store: LogStoreClient,
    folder: PathBuf,
}

impl Mesh {
    /// Starts the log stand-in.
    pub(crate) fn start(name: &str) -> Self {
        Self::start_with(name, &[])
    }

    /// Starts the log stand-in with additional arguments.
    pub(crate) fn start_with(name: &str, args: &[&str]) -> Self {
        let mut all_args = vec!["--listen", "127.0.0.1:0"];
        all_args.extend(args);
        let (store_process, ready) = Process::start("standin-log", &all_args);
        Self {
            store_process: Some(store_process),
            ..Self::with_log_store(name, addr(&ready, "listen"))
        }
    }

    /// Uses a log stand-in that the test has started in its own process and whose faults it can set
    /// directly.
    pub(crate) fn with_log_store(name: &str, store_addr: SocketAddr) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("folder can be created");
        Self {
            store_process: None,
            store_addr,
            log_store: LogStoreClient::new(store_addr),
            folder,
        }
    }

    /// Returns the process of the log stand-in.
    ///
    /// # Panics
    ///
    /// Panics if the log stand-in is not a child process.
    pub(crate) fn store_process(&self) -> &Process {
        self.store_process
            .as_ref()
            .expect("log stand-in is a child process")
    }

    /// Returns the path of the file to which a daemon writes its log lines.
    pub(crate) fn log_file(&self, spec: VmSpec) -> PathBuf {
        self.folder.join(format!("{}.log", spec.vm))
    }

    /// Replaces the injected faults of the log stand-in; `faults` is JSON.
    pub(crate) async fn set_store_faults(&self, faults: &'static str) {
        let headers = [("content-type", "application/json")];
        let put = request("PUT", "standin", "/faults", &headers, faults);
        let response = send(self.store_addr, put)
            .await
            .expect("log stand-in responds");
        assert_eq!(response.status, 204, "{response:?}");
    }

    /// Starts a daemon with default options. It joins the mesh through the peers in `seeds`.
    pub(crate) fn start_daemon(&self, spec: VmSpec, seeds: &[SocketAddr]) -> DaemonProcess {
        self.start_daemon_with(spec, seeds, &DaemonOptions::default())
    }

    /// Starts a daemon with options. It joins the mesh through the peers in `seeds`.
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

/// Returns an address from the JSON line that a process prints when it is ready, such as
/// `{"callers":"127.0.0.1:1234"}`.
fn addr(ready: &Value, key: &str) -> SocketAddr {
    ready[key]
        .as_str()
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(|| panic!("ready line {ready} has no address {key:?}"))
}

impl DaemonProcess {
    /// Returns the log lines that the daemon has written so far.
    pub(crate) fn log_lines(&self) -> String {
        std::fs::read_to_string(&self.log_file).expect("log file is readable")
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) async fn scrape(&self) -> String {
        let get = request("GET", "metrics.test", "/metrics", &[], "");
        let response = send(self.metrics, get).await.expect("metrics are served");
        assert!(response.status.is_success(), "{response:?}");
        String::from_utf8(response.body.to_vec()).expect("metrics are text")
    }

    /// Returns the value of a sample, given by its name and labels, or 0 if it is absent, as a
    /// counter is before its first increment.
    pub(crate) async fn metric(&self, sample: &str) -> f64 {
        let text = self.scrape().await;
        let values = text.lines().filter_map(|line| line.strip_prefix(sample));
        let value = values.filter_map(|rest| rest.trim().parse().ok()).next();
        value.unwrap_or(0.0)
    }

    /// Publishes the region `qc-est` and a service `name` with the host `name.test`.
    pub(crate) fn put_service(&self, name: &str, routes: &[&str]) {
        self.ctl(&["region", "put", "qc-est"]);
        let host = format!("{name}.test");
        let mut args = vec!["service", "put", "--name", name, "--host", &host];
        for route in routes {
            args.extend(["--route", route]);
        }
        self.ctl(&args);
    }

    /// Sends requests to the host `name.test` until one succeeds.
    pub(crate) async fn wait_for_service(&self, name: &str) {
        let host = format!("{name}.test");
        eventually("first answer", || async {
            let response = send(self.callers, request("GET", &host, "/", &[], "")).await?;
            let answered = response.status.is_success();
            answered.then_some(()).ok_or(format!("{response:?}"))
        })
        .await;
    }

    /// Starts an upstream stand-in that announces itself to the daemon; returns its process and its
    /// address.
    pub(crate) fn start_upstream(&self, service: &str, slots: u16) -> (Process, SocketAddr) {
        self.start_upstream_with(service, slots, &[])
    }

    /// Starts an upstream stand-in with additional arguments.
    pub(crate) fn start_upstream_with(
        &self,
        service: &str,
        slots: u16,
        extra_args: &[&str],
    ) -> (Process, SocketAddr) {
        let daemon = self.upstream.to_string();
        let slots = slots.to_string();
        let mut args = vec!["--daemon", &daemon, "--service", service, "--slots", &slots];
        args.extend(extra_args);
        let (process, ready) = Process::start("standin-upstream", &args);
        let port = ready["port"].as_u64().and_then(|p| u16::try_from(p).ok());
        let port = port.unwrap_or_else(|| panic!("ready line {ready} has no port"));
        (process, SocketAddr::from(([127, 0, 0, 1], port)))
    }

    /// Runs `cornelctl` against the daemon and returns its standard output.
    ///
    /// # Panics
    ///
    /// Panics if `cornelctl` reports a failure.
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

    /// Publishes a change through the JSON-RPC interface for operators and returns the report.
    ///
    /// # Errors
    ///
    /// Returns the error object of the daemon, or a text if the request itself failed.
    pub(crate) async fn publish(&self, change: &Change) -> Result<Value, Value> {
        let call = serde_json::json!({
            "jsonrpc": "2.0", "id": 1, "method": "publish",
            "params": { "change": change, "wait": "accepted", "timeout_ms": 50_000 },
        });
        let headers = [("content-type", "application/json")];
        let host = self.operators.to_string();
        let post = request("POST", &host, "/", &headers, call.to_string());
        let response = send(self.operators, post).await.map_err(Value::from)?;
        let mut response = response.json();
        match response["result"].take() {
            Value::Null => Err(response["error"].take()),
            report => Ok(report),
        }
    }

    /// Returns the output of `cornelctl status`.
    pub(crate) fn status(&self) -> Value {
        self.ctl_json(&["status"])
    }

    /// Returns the configuration revision in force at the daemon, or 0 if there is none.
    pub(crate) fn revision(&self) -> u64 {
        self.status()["revision"].as_u64().unwrap_or_default()
    }

    /// Waits until a configuration revision is in force at the daemon.
    pub(crate) async fn wait_for_revision(&self, revision: u64) {
        eventually("revision in force", || async {
            match self.revision() {
                found if found == revision => Ok(()),
                found => Err(format!("revision {found} is in force, not {revision}")),
            }
        })
        .await;
    }

    /// Runs `cornelctl` with JSON output against the daemon and returns the output.
    pub(crate) fn ctl_json(&self, args: &[&str]) -> Value {
        let mut all_args = vec!["--output", "json"];
        all_args.extend(args);
        let text = self.ctl(&all_args);
        serde_json::from_str(&text).unwrap_or_else(|e| panic!("{text:?} is not JSON: {e}"))
    }

    /// Returns the sorted names of the VMs to which the daemon would send a request for a host.
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

    /// Waits until the daemon counts exactly `alive` members as alive.
    pub(crate) async fn wait_for_members(&self, alive: u64) {
        eventually("members", || async {
            let status = self.ctl_json(&["status"]);
            match status["members"]["alive"].as_u64() {
                Some(n) if n == alive => Ok(()),
                other => Err(format!("{other:?} members are alive instead of {alive}")),
            }
        })
        .await;
    }
}
