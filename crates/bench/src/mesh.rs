//! Mesh of one variant: log stand-in, daemons and upstreams.

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
use crate::host::{self, DaemonHost, HostSpec};
use crate::nested;
use crate::script::LocalUpstream;
use crate::{Error, Experiment, Placement, Result, ServiceSpec, Variant, error};

/// Stream of the configuration.
const STREAM: &str = "configuration";

/// Time for a call to the log stand-in.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which all daemons must know all upstreams.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between two looks at a daemon.
const POLL: Duration = Duration::from_millis(50);

/// Default deadline of services; kinds state their own.
const SERVICE_TIMEOUT_MS: u32 = 10_000;

/// Running mesh; dropping it ends it.
pub(crate) struct Mesh {
    pub(crate) hosts: Vec<Box<dyn DaemonHost>>,
    pub(crate) upstreams: Vec<Option<LocalUpstream>>,
    pub(crate) store: HttpLogStore,
    _log: LogHandle,
}

impl Mesh {
    /// Starts everything and waits until each entry knows all upstreams.
    pub(crate) async fn start(experiment: &Experiment, variant: &Variant) -> Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let (log_addr, log) = LogStandIn::start(any)
            .await
            .map_err(error::start("log stand-in"))?;
        let store = HttpLogStore::new(log_addr, LOG_TIMEOUT);
        append(&store, operations(experiment)?).await?;
        let hosts = start_hosts(experiment, variant, log_addr).await?;
        let mut upstreams = Vec::new();
        for (spec, host) in experiment.vms.iter().zip(&hosts) {
            upstreams.push(start_upstream(spec, &**host).await?);
        }
        let mesh = Self {
            hosts,
            upstreams,
            store,
            _log: log,
        };
        mesh.wait_until_ready(experiment).await?;
        Ok(mesh)
    }

    /// Returns the addresses for callers.
    pub(crate) fn entries(&self, experiment: &Experiment) -> Vec<SocketAddr> {
        let hosts = experiment.vms.iter().zip(&self.hosts);
        hosts
            .filter(|(spec, _)| spec.entry)
            .map(|(_, host)| host.addresses().callers)
            .collect()
    }

    async fn wait_until_ready(&self, experiment: &Experiment) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        for host in &self.hosts {
            for service in &experiment.services {
                let of_service = |v: &&crate::VmSpec| v.service.as_ref() == Some(&service.name);
                let expected = experiment.vms.iter().filter(of_service).count();
                loop {
                    let known = candidates(host.addresses().operators, &service.host).await;
                    if known == Some(expected) {
                        break;
                    }
                    if Instant::now() > until {
                        let name = &service.name;
                        let text = format!("{known:?} of {expected} upstreams of {name}");
                        return Err(Error::NotReady(text));
                    }
                    tokio::time::sleep(POLL).await;
                }
            }
        }
        Ok(())
    }
}

async fn start_hosts(
    experiment: &Experiment,
    variant: &Variant,
    log_addr: SocketAddr,
) -> Result<Vec<Box<dyn DaemonHost>>> {
    let mut hosts: Vec<Box<dyn DaemonHost>> = Vec::new();
    for (index, vm) in experiment.vms.iter().enumerate() {
        let spec = HostSpec {
            vm: vm_name(index)?,
            region: vm.region.clone(),
            domain: vm.domain.clone(),
            log_addr,
            seeds: hosts
                .first()
                .map(|h| h.addresses().peers)
                .into_iter()
                .collect(),
        };
        let host = match experiment.placement {
            Placement::Threads => host::start_thread(&spec, variant).await?,
            Placement::Processes => host::start_process(&spec, variant)?,
        };
        hosts.push(host);
    }
    Ok(hosts)
}

fn vm_name(index: usize) -> Result<VmName> {
    VmName::new(&format!("vm-{index}")).map_err(|e| Error::NotReady(e.to_string()))
}

async fn start_upstream(
    spec: &crate::VmSpec,
    host: &dyn DaemonHost,
) -> Result<Option<LocalUpstream>> {
    let Some(service) = &spec.service else {
        return Ok(None);
    };
    let addresses = host.addresses();
    if spec.nested {
        let addr = nested::start(service, spec.slots, addresses.upstream, addresses.callers)
            .await
            .map_err(error::start("upstream"))?;
        return Ok(Some(LocalUpstream::nested(addr)));
    }
    let mut options = UpstreamOptions::new(service.clone());
    options.daemon = Some(addresses.upstream);
    options.slots = spec.slots;
    let handle = UpstreamStandIn::start(options.clone())
        .await
        .map_err(error::start("upstream"))?;
    Ok(Some(LocalUpstream::new(options, handle)))
}

/// Asks a daemon how many upstreams it knows for a host.
async fn candidates(operators: SocketAddr, host: &str) -> Option<usize> {
    let call = serde_json::json!({
        "jsonrpc": "2.0", "id": 1, "method": "explain",
        "params": { "host": host, "path": "/", "method": "GET", "team": null },
    });
    let request = Request::post("/")
        .header("host", operators.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(call.to_string())))
        .ok()?;
    let (answer, _) = exchange(operators, None, request).await.ok()?;
    let document: Value = serde_json::from_slice(&answer.body).ok()?;
    Some(document["result"]["candidates"].as_array()?.len())
}

/// Appends operations to the configuration stream.
pub(crate) async fn append(store: &HttpLogStore, operations: Vec<Operation>) -> Result<()> {
    let failed = |e: String| Error::Start {
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
    let appended = store.append(STREAM, &records).await;
    appended.map(|_| ()).map_err(|e| failed(e.to_string()))
}

fn operations(experiment: &Experiment) -> Result<Vec<Operation>> {
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
        operations.push(Operation::PutService(service(spec)?));
    }
    Ok(operations)
}

fn service(spec: &ServiceSpec) -> Result<Service> {
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
