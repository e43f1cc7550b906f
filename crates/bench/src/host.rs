//! Daemons in this process or in processes of their own.

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

/// Workers of the runtime of a daemon in this process; with one, the accept loop and a running
/// exchange would wait for each other.
const WORKERS: usize = 2;

/// Program of the daemon.
const PROGRAM: &str = "cornelvalve";

/// Variable from which the runtime of the daemon program reads its number of workers.
const WORKERS_VARIABLE: &str = "TOKIO_WORKER_THREADS";

/// Place of a daemon.
#[derive(Clone, Debug)]
pub(crate) struct HostSpec {
    pub(crate) vm: VmName,
    pub(crate) region: Region,
    pub(crate) domain: FailureDomain,
    pub(crate) log_addr: SocketAddr,
    pub(crate) seeds: Vec<SocketAddr>,
}

/// Addresses of a running daemon that the tool uses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostAddresses {
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) upstream: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

/// Running daemon; dropping it ends it.
pub(crate) trait DaemonHost: Send + Sync {
    /// Returns its addresses.
    fn addresses(&self) -> HostAddresses;

    /// Returns its process if it is not this one.
    fn pid(&self) -> Option<u32>;
}

/// Daemon on a runtime of its own in this process.
struct ThreadHost {
    addresses: HostAddresses,
    /// Dropping it stops the daemon.
    _stop: oneshot::Sender<()>,
}

impl DaemonHost for ThreadHost {
    fn addresses(&self) -> HostAddresses {
        self.addresses
    }

    fn pid(&self) -> Option<u32> {
        None
    }
}

/// Starts a daemon in this process.
pub(crate) async fn start_thread(
    spec: &HostSpec,
    variant: &Variant,
) -> Result<Box<dyn DaemonHost>> {
    let failed = |problem: String| Error::Start {
        part: "daemon",
        problem,
    };
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let config = Config::builder(spec.vm.clone(), spec.region.clone(), spec.domain.clone())
        .listen_callers(any)
        .listen_peers(any)
        .listen_upstream(any)
        .listen_operators(any)
        .listen_metrics(any)
        .log_store_addr(spec.log_addr)
        .seeds(spec.seeds.clone())
        .build()
        .map_err(|e| failed(e.to_string()))?;
    let balancing = balancing(variant);
    let workers = variant.workers.unwrap_or(WORKERS);
    let (ready, started) = oneshot::channel();
    let (stop, stopped) = oneshot::channel();
    std::thread::spawn(move || serve(&config, balancing, workers, ready, stopped));
    let addresses = started
        .await
        .map_err(|_| failed("its thread ended".to_owned()))?
        .map_err(failed)?;
    Ok(Box::new(ThreadHost {
        addresses,
        _stop: stop,
    }))
}

fn serve(
    config: &Config,
    balancing: BalancingOptions,
    workers: usize,
    ready: oneshot::Sender<std::result::Result<HostAddresses, String>>,
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
                let _ = ready.send(Ok(HostAddresses {
                    callers: a.callers,
                    peers: a.peers,
                    upstream: a.upstream,
                    operators: a.operators,
                    metrics: a.metrics,
                }));
                // An error means that the host was dropped, which also asks for the end.
                let _ = stopped.await;
            }
            Err(e) => {
                let _ = ready.send(Err(e.to_string()));
            }
        }
    });
    runtime.shutdown_background();
}

fn balancing(variant: &Variant) -> BalancingOptions {
    let full = BalancerSettings::default();
    let settings = if variant.plain {
        BalancerSettings {
            penalize_stragglers: false,
            eject_outliers: false,
            failure_penalty: 0.0,
            ..full
        }
    } else {
        full
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

/// Daemon in a process of its own.
struct ProcessHost {
    addresses: HostAddresses,
    child: Child,
    file: PathBuf,
}

impl DaemonHost for ProcessHost {
    fn addresses(&self) -> HostAddresses {
        self.addresses
    }

    fn pid(&self) -> Option<u32> {
        Some(self.child.id())
    }
}

impl Drop for ProcessHost {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Starts the daemon program that stands beside this one.
pub(crate) fn start_process(spec: &HostSpec, variant: &Variant) -> Result<Box<dyn DaemonHost>> {
    let start = || error::start("daemon process");
    let file = std::env::temp_dir().join(format!(
        "cornelbench-{}-{}-{}.jsonc",
        std::process::id(),
        spec.log_addr.port(),
        spec.vm
    ));
    let mut settings = std::fs::File::create(&file).map_err(start())?;
    settings
        .write_all(settings_text(spec).as_bytes())
        .map_err(start())?;
    let program = std::env::current_exe()
        .map_err(start())?
        .with_file_name(variant.program.as_deref().unwrap_or(PROGRAM));
    let mut command = Command::new(program);
    if let Some(workers) = variant.workers {
        command.env(WORKERS_VARIABLE, workers.to_string());
    }
    let mut child = command
        .arg("run")
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .map_err(start())?;
    let mut line = String::new();
    if let Some(stdout) = child.stdout.take() {
        BufReader::new(stdout)
            .read_line(&mut line)
            .map_err(start())?;
    }
    let ready: Value = serde_json::from_str(&line).unwrap_or_default();
    let addr = |key: &str| -> Option<SocketAddr> { ready[key].as_str()?.parse().ok() };
    let addresses = (|| {
        Some(HostAddresses {
            callers: addr("callers")?,
            peers: addr("peers")?,
            upstream: addr("upstream")?,
            operators: addr("operators")?,
            metrics: addr("metrics")?,
        })
    })();
    let Some(addresses) = addresses else {
        let _ = child.kill();
        let _ = child.wait();
        return Err(Error::Start {
            part: "daemon process",
            problem: format!("it printed {line:?} instead of its addresses"),
        });
    };
    Ok(Box::new(ProcessHost {
        addresses,
        child,
        file,
    }))
}

fn settings_text(spec: &HostSpec) -> String {
    let any = "127.0.0.1:0";
    let settings = serde_json::json!({
        "vm": spec.vm.as_str(),
        "region": spec.region.as_str(),
        "failure_domain": spec.domain.as_str(),
        "listen": {
            "callers": any, "peers": any, "upstream": any, "operators": any, "metrics": any,
        },
        "log_store": { "addr": spec.log_addr },
        "seeds": spec.seeds,
    });
    settings.to_string()
}
