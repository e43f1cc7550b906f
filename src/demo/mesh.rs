//! Starts and controls the components of the demo: the log stand-in, the daemons, the upstream
//! stand-ins and the configuration.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cornelvalve_api::{OperatorsClient, Verdict, WaitFor};
use cornelvalve_daemon::Daemon;
use cornelvalve_daemon::config::Config;
use cornelvalve_model::{
    Change, ChangeId, DomainState, FailureDomain, MemberState, Operation, Region, RequestClass,
    Route, Rule, Service, ServiceName,
};
use cornelvalve_standins::{
    LogHandle, LogStandIn, UpstreamHandle, UpstreamOptions, UpstreamStandIn,
};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use tokio::task::JoinSet;
use tokio::time::Instant;
use uuid::Uuid;

use super::Result;

/// Timeout of each publication and of each wait for a condition; long enough for a busy machine.
pub(super) const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a condition is checked.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Loopback address with a port that the system assigns.
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// VM, region, failure domain and service of each upstream. Each failure domain has two VMs.
const VMS: [(&str, &str, &str, &str); 8] = [
    ("est-a-1", "qc-est", "est-a", "estimateur"),
    ("est-a-2", "qc-est", "est-a", "remise"),
    ("est-b-1", "qc-est", "est-b", "estimateur"),
    ("est-b-2", "qc-est", "est-b", "flotte"),
    ("ouest-a-1", "qc-ouest", "ouest-a", "estimateur"),
    ("ouest-a-2", "qc-ouest", "ouest-a", "flotte"),
    ("ouest-b-1", "qc-ouest", "ouest-b", "estimateur"),
    ("ouest-b-2", "qc-ouest", "ouest-b", "remise"),
];

/// Simulated VM: a daemon and the upstream beside it.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) name: &'static str,
    pub(super) region: &'static str,
    pub(super) domain: &'static str,
    pub(super) service: &'static str,
    /// Address at which the daemon accepts requests from callers.
    pub(super) caller_addr: SocketAddr,
    /// `None` after the upstream has been shut down.
    pub(super) upstream: Option<UpstreamHandle>,
    daemon: Daemon,
    /// Number of runs of each request id at the upstream, saved when it was shut down.
    run_counts: BTreeMap<String, u64>,
}

/// Number of runs of each request id at the upstream of one VM.
#[derive(Clone, Debug)]
pub(super) struct VmRunCounts {
    pub(super) region: &'static str,
    pub(super) service: &'static str,
    pub(super) run_counts: BTreeMap<String, u64>,
}

/// Environment of the demo: all its components, in this process.
#[derive(Debug)]
pub(super) struct Mesh {
    pub(super) vms: Vec<Vm>,
    /// Client of the operators' API of one daemon.
    client: HttpClient,
    /// Keeps the log stand-in running.
    _log_store: LogHandle,
}

impl Mesh {
    /// Starts all components and waits until the daemons know each other and the configuration.
    pub(super) async fn start() -> Result<Self> {
        let (log_addr, log_store) = LogStandIn::start(LOOPBACK).await?;
        let mut vms: Vec<Vm> = Vec::new();
        for (name, region, domain, service) in VMS {
            // The first daemon is the seed: the others join the membership through it.
            let seed = vms.first().map(|vm| vm.daemon.addresses().peers);
            let config = build_config(name, region, domain, log_addr, seed)?;
            let daemon = Daemon::start(&config)?;
            let mut options = UpstreamOptions::new(ServiceName::new(service)?);
            options.daemon = Some(daemon.addresses().upstream);
            vms.push(Vm {
                name,
                region,
                domain,
                service,
                caller_addr: daemon.addresses().callers,
                upstream: Some(UpstreamStandIn::start(options).await?),
                daemon,
                run_counts: BTreeMap::new(),
            });
        }
        // The last daemon is in a failure domain that is never taken out of service, so its
        // operators' API can be used throughout.
        let client = operators_client(vms.last().ok_or("there are no VMs")?)?;
        let mesh = Self {
            vms,
            client,
            _log_store: log_store,
        };
        mesh.wait_for_members().await?;
        mesh.publish_configuration().await?;
        Ok(mesh)
    }

    /// Waits until every daemon sees every other one with its upstream.
    async fn wait_for_members(&self) -> Result<()> {
        let deadline = Instant::now() + STEP_TIMEOUT;
        for vm in &self.vms {
            let client = operators_client(vm)?;
            loop {
                let members = client.members().await?;
                let complete = members.iter().filter(|m| {
                    m.member.state == MemberState::Alive && !m.member.upstreams.is_empty()
                });
                if complete.count() == VMS.len() {
                    break;
                }
                if Instant::now() >= deadline {
                    return Err(format!("{} does not see all members", vm.name).into());
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Publishes the configuration and waits until all daemons have applied it.
    async fn publish_configuration(&self) -> Result<()> {
        let mut last = None;
        for operation in configuration_operations()? {
            last = Some(self.publish(operation, WaitFor::Accepted).await?);
        }
        let revision = last.ok_or("there is no configuration")?;
        let deadline = Instant::now() + STEP_TIMEOUT;
        while !self.client.in_force(revision).await?.unconfirmed.is_empty() {
            if Instant::now() >= deadline {
                return Err("not all daemons confirmed the configuration in time".into());
            }
        }
        Ok(())
    }

    /// Publishes a change, waits until it reaches a stage and returns its revision.
    async fn publish(
        &self,
        operation: Operation,
        wait: WaitFor,
    ) -> Result<cornelvalve_model::Revision> {
        let change = Change {
            id: ChangeId(Uuid::new_v4()),
            author: "demo".to_owned(),
            expects: None,
            operation,
        };
        let timeout = u64::try_from(STEP_TIMEOUT.as_millis())?;
        let report = self.client.publish(change, wait, timeout).await?;
        let reached_stage = match report.verdict {
            Verdict::InForce => true,
            Verdict::Accepted => wait != WaitFor::InForce,
            _ => false,
        };
        match report.revision {
            Some(revision) if reached_stage => Ok(revision),
            _ => Err(format!(
                "a change was {} instead of {wait}; not confirmed by {:?}",
                report.verdict, report.unconfirmed
            )
            .into()),
        }
    }

    /// Takes a failure domain out of service or returns it to service, and waits until the change
    /// is in force.
    pub(super) async fn set_domain_state(&self, domain: &str, state: DomainState) -> Result<()> {
        let region = self.vms.iter().find(|vm| vm.domain == domain);
        let region = region.map_or("", |vm| vm.region);
        let operation = Operation::PutDomain {
            domain: FailureDomain::new(domain)?,
            region: Region::new(region)?,
            state,
        };
        self.publish(operation, WaitFor::InForce).await?;
        Ok(())
    }

    /// Counts the requests that ran at the upstreams of a failure domain.
    pub(super) async fn count_runs_in(&self, domain: &str) -> u64 {
        let mut runs = 0;
        for vm in self.vms.iter().filter(|vm| vm.domain == domain) {
            if let Some(upstream) = &vm.upstream {
                runs += upstream.run_counts().await.values().sum::<u64>();
            }
        }
        runs
    }

    /// Drains the upstream of a VM, waits until its requests have finished, and shuts it down.
    pub(super) async fn shut_down_upstream(&mut self, name: &str) -> Result<()> {
        let vm = self.vms.iter_mut().find(|vm| vm.name == name);
        let vm = vm.ok_or("there is no such VM")?;
        let upstream = vm
            .upstream
            .take()
            .ok_or("the upstream has already been shut down")?;
        upstream.drain().await?;
        // The run counts cannot be read after the upstream has ended, so this waits for the last
        // request first. It may still be on its way when the drain is announced.
        tokio::time::sleep(POLL_INTERVAL).await;
        let deadline = Instant::now() + STEP_TIMEOUT;
        while upstream.concurrency_stats().await.running > 0 && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        vm.run_counts = upstream.run_counts().await;
        upstream.shut_down(STEP_TIMEOUT).await?;
        Ok(())
    }

    /// Returns the run counts of all VMs, including those whose upstream was shut down.
    pub(super) async fn run_counts(&self) -> Vec<VmRunCounts> {
        let mut all = Vec::new();
        for vm in &self.vms {
            let run_counts = match &vm.upstream {
                Some(upstream) => upstream.run_counts().await,
                None => vm.run_counts.clone(),
            };
            all.push(VmRunCounts {
                region: vm.region,
                service: vm.service,
                run_counts,
            });
        }
        all
    }

    /// Stops all daemons concurrently.
    pub(super) async fn stop(self) {
        let mut stops: JoinSet<()> = self.vms.into_iter().map(|vm| vm.daemon.stop()).collect();
        while stops.join_next().await.is_some() {}
    }
}

/// Returns a client for the operators' API of a VM's daemon.
fn operators_client(vm: &Vm) -> Result<HttpClient> {
    let addr = vm.daemon.addresses().operators;
    Ok(HttpClientBuilder::default().build(format!("http://{addr}"))?)
}

/// Returns the configuration of a daemon that listens on loopback.
fn build_config(
    vm: &str,
    region: &str,
    domain: &str,
    log_addr: SocketAddr,
    seed: Option<SocketAddr>,
) -> Result<Config> {
    let builder = Config::builder(vm.parse()?, region.parse()?, domain.parse()?);
    Ok(builder
        .listen_callers(LOOPBACK)
        .listen_peers(LOOPBACK)
        .listen_upstream(LOOPBACK)
        .listen_operators(LOOPBACK)
        .listen_metrics(LOOPBACK)
        .log_store_addr(log_addr)
        .seeds(seed.into_iter().collect())
        .build()?)
}

/// Returns the operations that create the configuration. Each one refers only to entries that
/// earlier ones create.
fn configuration_operations() -> Result<Vec<Operation>> {
    let mut operations = Vec::new();
    for region in ["qc-est", "qc-ouest"] {
        let region = Region::new(region)?;
        operations.push(Operation::PutRegion { region });
    }
    for (domain, region) in [
        ("est-a", "qc-est"),
        ("est-b", "qc-est"),
        ("ouest-a", "qc-ouest"),
        ("ouest-b", "qc-ouest"),
    ] {
        operations.push(Operation::PutDomain {
            domain: FailureDomain::new(domain)?,
            region: Region::new(region)?,
            state: DomainState::InService,
        });
    }
    let classes = [
        ("estimateur", "/", RequestClass::Idempotent),
        ("remise", "/file", RequestClass::AtMostOnce),
        ("flotte", "/upload", RequestClass::ByMethod),
    ];
    for (name, prefix, class) in classes {
        operations.push(Operation::PutService(build_service(name, prefix, class)?));
    }
    operations.push(Operation::PutRule(Rule {
        name: "flotte-home".parse()?,
        team: None,
        service: Some(ServiceName::new("flotte")?),
        route: None,
        regions: [Region::new("qc-est")?].into_iter().collect(),
    }));
    Ok(operations)
}

/// Returns a service with one route, whose host is the service name followed by `.test`.
fn build_service(name: &str, prefix: &str, class: RequestClass) -> Result<Service> {
    Ok(Service {
        name: ServiceName::new(name)?,
        hosts: vec![format!("{name}.test")],
        routes: vec![Route {
            name: "main".parse()?,
            prefix: prefix.to_owned(),
            class,
        }],
        timeout_ms: 10_000,
    })
}
