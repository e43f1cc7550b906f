//! Starts and stops the daemons of a mesh, in this process or in separate processes.

use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;

use cornelvalve_daemon::config::Config;
use cornelvalve_daemon::{BalancingOptions, Components, Daemon};
use cornelvalve_model::{FailureDomain, Region, VmName};
use cornelvalve_policy::{BalancerSettings, LeastOutstanding, PowerOfTwo, RoundRobin};
use serde_json::Value;
use tokio::sync::oneshot;

use crate::{Error, PickerKind, Result, Variant, error};

/// Default number of worker threads of a daemon in this process. With a single one, the accept loop
/// and running exchanges would delay each other.
const DEFAULT_WORKERS: usize = 2;

/// Default name of the daemon program.
const DEFAULT_PROGRAM: &str = "cornelvalve";

/// Environment variable from which the runtime of the daemon program reads its number of workers.
const WORKERS_ENV: &str = "TOKIO_WORKER_THREADS";

/// Location of a daemon in the mesh and the addresses that it needs to join.
#[derive(Clone, Debug)]
pub(crate) struct DaemonSpec {
    pub(crate) vm: VmName,
    pub(crate) region: Region,
    pub(crate) domain: FailureDomain,
    pub(crate) log_addr: SocketAddr,
    pub(crate) seeds: Vec<SocketAddr>,
}

/// Listening addresses of a running daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DaemonAddrs {
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) upstream: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

/// Handle of a running daemon. Dropping it stops the daemon.
pub(crate) trait DaemonHandle: Send + Sync {
    /// Returns the listening addresses.
    fn addrs(&self) -> DaemonAddrs;

    /// Returns the process id, or `None` if the daemon runs in this process.
    fn pid(&self) -> Option<u32>;
}

/// Daemon in this process, on a separate runtime.
struct ThreadDaemon {
    addrs: DaemonAddrs,
    /// Stops the daemon when dropped.
    _stop: oneshot::Sender<()>,
}

impl DaemonHandle for ThreadDaemon {
    fn addrs(&self) -> DaemonAddrs {
        self.addrs
    }

    fn pid(&self) -> Option<u32> {
        None
    }
}

/// Starts a daemon on its own thread in this process and waits until it listens.
pub(crate) async fn start_thread(
    spec: &DaemonSpec,
    variant: &Variant,
) -> Result<Box<dyn DaemonHandle>> {
    let failed = |problem: String| Error::StartFailed {
        part: "daemon",
        problem,
    };
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let config = Config::builder(spec.vm.clone(), spec.region.clone(), spec.domain.clone())
        .listen_callers(any_port)
        .listen_peers(any_port)
        .listen_upstream(any_port)
        .listen_operators(any_port)
        .listen_metrics(any_port)
        .log_store_addr(spec.log_addr)
        .seeds(spec.seeds.clone())
        .build()
        .map_err(|e| failed(e.to_string()))?;
    let balancing = balancing_options(variant);
    let workers = variant.workers.unwrap_or(DEFAULT_WORKERS);
    let (ready, started) = oneshot::channel();
    let (stop, stopped) = oneshot::channel();
    std::thread::spawn(move || run_daemon(&config, balancing, workers, ready, stopped));
    let addrs = started
        .await
        .map_err(|_| failed("its thread ended".to_owned()))?
        .map_err(failed)?;
    Ok(Box::new(ThreadDaemon { addrs, _stop: stop }))
}

/// Runs a daemon until `stopped` is resolved, and sends its addresses or the error to `ready`.
fn run_daemon(
    config: &Config,
    balancing: BalancingOptions,
    workers: usize,
    ready: oneshot::Sender<std::result::Result<DaemonAddrs, String>>,
    stopped: oneshot::Receiver<()>,
) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(workers)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => {
            let _ = ready.send(Err(e.to_string()));
            return;
        }
    };
    runtime.block_on(async {
        let components = Components {
            balancing,
            ..Components::new(config)
        };
        match Daemon::start_with(config, components) {
            Ok(daemon) => {
                let a = daemon.addresses();
                let _ = ready.send(Ok(DaemonAddrs {
                    callers: a.callers,
                    peers: a.peers,
                    upstream: a.upstream,
                    operators: a.operators,
                    metrics: a.metrics,
                }));
                // The handle sends nothing; dropping it resolves this with an error.
                let _ = stopped.await;
            }
            Err(e) => {
                let _ = ready.send(Err(e.to_string()));
            }
        }
    });
    runtime.shutdown_background();
}

/// Returns the load balancing options of a variant.
fn balancing_options(variant: &Variant) -> BalancingOptions {
    let defaults = BalancerSettings::default();
    let settings = if variant.plain {
        BalancerSettings {
            penalize_stragglers: false,
            eject_outliers: false,
            failure_penalty: 0.0,
            ..defaults
        }
    } else {
        defaults
    };
    let kind = variant.picker;
    BalancingOptions {
        settings,
        picker: Arc::new(move |seed| match kind {
            PickerKind::RoundRobin => Box::new(RoundRobin::new()),
            PickerKind::LeastOutstanding => Box::new(LeastOutstanding::new()),
            PickerKind::PowerOfTwo => Box::new(PowerOfTwo::new(seed)),
        }),
    }
}

/// Daemon in a separate process.
struct ProcessDaemon {
    addrs: DaemonAddrs,
    child: Child,
    settings_file: PathBuf,
}

impl DaemonHandle for ProcessDaemon {
    fn addrs(&self) -> DaemonAddrs {
        self.addrs
    }

    fn pid(&self) -> Option<u32> {
        Some(self.child.id())
    }
}

impl Drop for ProcessDaemon {
    fn drop(&mut self) {
        // Killing and waiting fail only if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_file);
    }
}

/// Starts a daemon program from the folder of this program.
///
/// Blocks without a time limit until the program has printed its addresses or has exited.
pub(crate) fn start_process(spec: &DaemonSpec, variant: &Variant) -> Result<Box<dyn DaemonHandle>> {
    let failed = || error::start_error("daemon process");
    let settings_file = std::env::temp_dir().join(format!(
        "cornelbench-{}-{}-{}.jsonc",
        std::process::id(),
        spec.log_addr.port(),
        spec.vm
    ));
    let mut settings = std::fs::File::create(&settings_file).map_err(failed())?;
    settings
        .write_all(settings_json(spec).as_bytes())
        .map_err(failed())?;
    let program = std::env::current_exe()
        .map_err(failed())?
        .with_file_name(variant.program.as_deref().unwrap_or(DEFAULT_PROGRAM));
    let mut command = Command::new(program);
    if let Some(workers) = variant.workers {
        command.env(WORKERS_ENV, workers.to_string());
    }
    let mut child = command
        .arg("run")
        .arg(&settings_file)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .map_err(failed())?;
    let mut line = String::new();
    if let Some(stdout) = child.stdout.take() {
        BufReader::new(stdout)
            .read_line(&mut line)
            .map_err(failed())?;
    }
    let ready: Value = serde_json::from_str(&line).unwrap_or_default();
    let addr = |key: &str| -> Option<SocketAddr> { ready[key].as_str()?.parse().ok() };
    let addrs = (|| {
        Some(DaemonAddrs {
            callers: addr("callers")?,
            peers: addr("peers")?,
            upstream: addr("upstream")?,
            operators: addr("operators")?,
            metrics: addr("metrics")?,
        })
    })();
    let Some(addrs) = addrs else {
        let _ = child.kill();
        let _ = child.wait();
        return Err(Error::StartFailed {
            part: "daemon process",
            problem: format!("it exited or printed {line:?} instead of its addresses"),
        });
    };
    Ok(Box::new(ProcessDaemon {
        addrs,
        child,
        settings_file,
    }))
}

/// Returns the settings file of a daemon.
fn settings_json(spec: &DaemonSpec) -> String {
    let any_port = "127.0.0.1:0";
    let settings = serde_json::json!({
        "vm": spec.vm.as_str(),
        "region": spec.region.as_str(),
        "failure_domain": spec.domain.as_str(),
        "listen": {
            "callers": any_port, "peers": any_port, "upstream": any_port, "operators": any_port,
            "metrics": any_port,
        },
        "log_store": { "addr": spec.log_addr },
        "seeds": spec.seeds,
    });
    settings.to_string()
}
