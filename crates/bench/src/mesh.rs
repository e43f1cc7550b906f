//! Starts the mesh of one variant: a log stand-in, the daemons and the upstreams.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelvalve_logstore::{HttpLogStore, LogStore};
use cornelvalve_model::{
    Change, ChangeId, DomainState, LogEntry, Operation, RequestClass, Route, RouteName, Service,
    VmName,
};
use cornelvalve_standins::{LogHandle, LogStandIn, UpstreamOptions, UpstreamStandIn};
use http::Request;
use http_body_util::Full;
use serde_json::Value;

use crate::client::exchange;
use crate::daemon::{self, DaemonHandle, DaemonSpec};
use crate::nested;
use crate::script::MeshUpstream;
use crate::{Error, Experiment, Placement, Result, ServiceSpec, Variant, error};

/// Name of the log stream that holds the configuration.
const CONFIGURATION_STREAM: &str = "configuration";

/// Timeout of a call to the log stand-in.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which each daemon must have discovered all upstreams.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two queries for the upstreams that a daemon knows.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Default timeout of the services in milliseconds. It has no effect on the load, because each
/// request sends its own deadline.
const SERVICE_TIMEOUT_MS: u32 = 10_000;

/// Running mesh. Dropping it stops its parts.
pub(crate) struct Mesh {
    /// One daemon per VM, in the order of the experiment.
    pub(crate) daemons: Vec<Box<dyn DaemonHandle>>,
    /// Upstream of each VM, or `None` for a VM without one.
    pub(crate) upstreams: Vec<Option<MeshUpstream>>,
    /// Client of the log stand-in.
    pub(crate) store: HttpLogStore,
    /// Stops the log stand-in when dropped.
    _log: LogHandle,
}

impl Mesh {
    /// Starts all parts and waits until each daemon has discovered all upstreams.
    pub(crate) async fn start(experiment: &Experiment, variant: &Variant) -> Result<Self> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (log_addr, log) = LogStandIn::start(any_port)
            .await
            .map_err(error::start_error("log stand-in"))?;
        let store = HttpLogStore::new(log_addr, LOG_TIMEOUT);
        append_operations(&store, initial_operations(experiment)?).await?;
        let daemons = start_daemons(experiment, variant, log_addr).await?;
        let mut upstreams = Vec::new();
        for (spec, daemon) in experiment.vms.iter().zip(&daemons) {
            upstreams.push(start_upstream(spec, &**daemon).await?);
        }
        let mesh = Self {
            daemons,
            upstreams,
            store,
            _log: log,
        };
        mesh.wait_until_ready(experiment).await?;
        Ok(mesh)
    }

    /// Returns the addresses of the daemons that callers use.
    pub(crate) fn entry_addrs(&self, experiment: &Experiment) -> Vec<SocketAddr> {
        let daemons = experiment.vms.iter().zip(&self.daemons);
        daemons
            .filter(|(spec, _)| spec.entry)
            .map(|(_, daemon)| daemon.addrs().callers)
            .collect()
    }

    /// Waits until each daemon has discovered all upstreams of each service.
    async fn wait_until_ready(&self, experiment: &Experiment) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            for service in &experiment.services {
                let of_service = |v: &&crate::VmSpec| v.service.as_ref() == Some(&service.name);
                let expected = experiment.vms.iter().filter(of_service).count();
                loop {
                    let known = known_upstream_count(daemon.addrs().operators, &service.host).await;
                    if known == Some(expected) {
                        break;
                    }
                    if Instant::now() > until {
                        let name = &service.name;
                        let operators = daemon.addrs().operators;
                        let known = known.map_or("an unknown number".to_owned(), |k| k.to_string());
                        let text = format!(
                            "daemon {operators} knows {known} of {expected} upstreams of {name}"
                        );
                        return Err(Error::NotReady(text));
                    }
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        }
        Ok(())
    }
}

/// Starts a daemon on each VM. The first one is the seed of the others.
async fn start_daemons(
    experiment: &Experiment,
    variant: &Variant,
    log_addr: SocketAddr,
) -> Result<Vec<Box<dyn DaemonHandle>>> {
    let mut daemons: Vec<Box<dyn DaemonHandle>> = Vec::new();
    for (index, vm) in experiment.vms.iter().enumerate() {
        let spec = DaemonSpec {
            vm: vm_name(index)?,
            region: vm.region.clone(),
            domain: vm.domain.clone(),
            log_addr,
            seeds: daemons
                .first()
                .map(|d| d.addrs().peers)
                .into_iter()
                .collect(),
        };
        let daemon = match experiment.placement {
            Placement::Threads => daemon::start_thread(&spec, variant).await?,
            Placement::Processes => daemon::start_process(&spec, variant)?,
        };
        daemons.push(daemon);
    }
    Ok(daemons)
}

/// Returns the name of a VM. Names of this form are always valid, so that it does not fail.
fn vm_name(index: usize) -> Result<VmName> {
    VmName::new(&format!("vm-{index}")).map_err(|e| Error::NotReady(e.to_string()))
}

/// Starts the upstream of a VM, if the VM has one.
async fn start_upstream(
    spec: &crate::VmSpec,
    daemon: &dyn DaemonHandle,
) -> Result<Option<MeshUpstream>> {
    let Some(service) = &spec.service else {
        return Ok(None);
    };
    let addrs = daemon.addrs();
    if spec.nested {
        let addr = nested::start(service, spec.slots, addrs.upstream, addrs.callers)
            .await
            .map_err(error::start_error("upstream"))?;
        return Ok(Some(MeshUpstream::nested(addr)));
    }
    let mut options = UpstreamOptions::new(service.clone());
    options.daemon = Some(addrs.upstream);
    options.slots = spec.slots;
    let handle = UpstreamStandIn::start(options.clone())
        .await
        .map_err(error::start_error("upstream"))?;
    Ok(Some(MeshUpstream::new(options, handle)))
}

/// Returns how many upstreams a daemon knows for the service of a host name, or `None` if the query
/// fails.
///
/// Calls the method `explain`, which lists the upstreams that are candidates for a request.
async fn known_upstream_count(operators: SocketAddr, host: &str) -> Option<usize> {
    let call = serde_json::json!({
        "jsonrpc": "2.0", "id": 1, "method": "explain",
        "params": { "host": host, "path": "/", "method": "GET", "team": null },
    });
    let request = Request::post("/")
        .header("host", operators.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(call.to_string())))
        .ok()?;
    let (response, _) = exchange(operators, None, request).await.ok()?;
    let document: Value = serde_json::from_slice(&response.body).ok()?;
    Some(document["result"]["candidates"].as_array()?.len())
}

/// Appends operations to the configuration stream. Scripts also use it while the mesh runs.
pub(crate) async fn append_operations(
    store: &HttpLogStore,
    operations: Vec<Operation>,
) -> Result<()> {
    let failed = |e: String| Error::StartFailed {
        part: "configuration",
        problem: e,
    };
    let mut records = Vec::new();
    for operation in operations {
        let entry = LogEntry::Change(Change {
            id: ChangeId(uuid::Uuid::new_v4()),
            author: "cornelbench".to_owned(),
            expects: None,
            operation,
        });
        let record = cornelvalve_wire::log::encode_entry(&entry);
        records.push(Bytes::from(record.map_err(|e| failed(e.to_string()))?));
    }
    let appended = store.append(CONFIGURATION_STREAM, &records).await;
    appended.map(|_| ()).map_err(|e| failed(e.to_string()))
}

/// Returns the operations that create the regions, failure domains and services.
fn initial_operations(experiment: &Experiment) -> Result<Vec<Operation>> {
    let regions: BTreeSet<_> = experiment.vms.iter().map(|v| v.region.clone()).collect();
    let domains: BTreeSet<_> = experiment
        .vms
        .iter()
        .map(|v| (v.domain.clone(), v.region.clone()))
        .collect();
    let regions = regions
        .into_iter()
        .map(|region| Operation::PutRegion { region });
    let domains = domains
        .into_iter()
        .map(|(domain, region)| Operation::PutDomain {
            domain,
            region,
            state: DomainState::InService,
        });
    let mut operations: Vec<Operation> = regions.chain(domains).collect();
    for spec in &experiment.services {
        operations.push(Operation::PutService(service_definition(spec)?));
    }
    Ok(operations)
}

/// Returns the configuration of a service.
fn service_definition(spec: &ServiceSpec) -> Result<Service> {
    // The name is valid, so that this does not fail.
    let name = RouteName::new("all").map_err(|e| Error::NotReady(e.to_string()))?;
    let route = Route {
        name,
        prefix: "/".to_owned(),
        class: spec.class,
    };
    Ok(Service {
        name: spec.name.clone(),
        hosts: vec![spec.host.clone()],
        routes: if spec.class == RequestClass::ByMethod {
            Vec::new()
        } else {
            vec![route]
        },
        timeout_ms: SERVICE_TIMEOUT_MS,
    })
}
