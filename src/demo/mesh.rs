//! The parts of the demo: log stand-in, daemons, upstream stand-ins and their configuration.

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

/// Time for a step of the set-up on a busy machine.
pub(super) const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two looks at a condition.
pub(super) const POLL: Duration = Duration::from_millis(50);

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// VM, region, failure domain and service of each upstream.
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

/// A VM: a daemon and the upstream beside it.
#[derive(Debug)]
pub(super) struct Vm {
    pub(super) name: &'static str,
    pub(super) region: &'static str,
    pub(super) domain: &'static str,
    pub(super) service: &'static str,
    pub(super) callers: SocketAddr,
    pub(super) upstream: Option<UpstreamHandle>,
    daemon: Daemon,
    /// Runs of the upstream, if it left.
    runs: BTreeMap<String, u64>,
}

/// How often each request ran at the upstream of one VM.
#[derive(Clone, Debug)]
pub(super) struct VmRuns {
    pub(super) region: &'static str,
    pub(super) service: &'static str,
    pub(super) runs: BTreeMap<String, u64>,
}

/// All parts of the demo.
#[derive(Debug)]
pub(super) struct Mesh {
    pub(super) vms: Vec<Vm>,
    operators: HttpClient,
    _log: LogHandle,
}

impl Mesh {
    /// Starts all parts and waits until the daemons know each other and the configuration.
    pub(super) async fn start() -> Result<Self> {
        let (log_addr, log) = LogStandIn::start(LOOPBACK).await?;
        let mut vms: Vec<Vm> = Vec::new();
        for (name, region, domain, service) in VMS {
            let seeds = vms.first().map(|vm| vm.daemon.addresses().peers);
            let config = config(name, region, domain, log_addr, seeds)?;
            let daemon = Daemon::start(&config)?;
            let mut options = UpstreamOptions::new(ServiceName::new(service)?);
            options.daemon = Some(daemon.addresses().upstream);
            vms.push(Vm {
                name,
                region,
                domain,
                service,
                callers: daemon.addresses().callers,
                upstream: Some(UpstreamStandIn::start(options).await?),
                daemon,
                runs: BTreeMap::new(),
            });
        }
        // The last daemon is in the failure domain that stays in service.
        let operators = operators(vms.last().ok_or("there are no VMs")?)?;
        let mesh = Self {
            vms,
            operators,
            _log: log,
        };
        mesh.wait_for_members().await?;
        mesh.configure().await?;
        Ok(mesh)
    }

    /// Waits until every daemon sees every other one with its upstream.
    async fn wait_for_members(&self) -> Result<()> {
        let deadline = Instant::now() + STEP_TIMEOUT;
        for vm in &self.vms {
            let client = operators(vm)?;
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
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(())
    }

    async fn configure(&self) -> Result<()> {
        let mut last = None;
        for operation in configuration()? {
            last = Some(self.publish(operation, WaitFor::Accepted).await?);
        }
        let revision = last.ok_or("there is no configuration")?;
        let deadline = Instant::now() + STEP_TIMEOUT;
        while !self
            .operators
            .in_force(revision)
            .await?
            .unconfirmed
            .is_empty()
        {
            if Instant::now() >= deadline {
                return Err("the configuration did not come into force everywhere".into());
            }
        }
        Ok(())
    }

    /// Publishes a change and returns the revision that it made.
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
        let report = self.operators.publish(change, wait, timeout).await?;
        let reached = match report.verdict {
            Verdict::InForce => true,
            Verdict::Accepted => wait != WaitFor::InForce,
            _ => false,
        };
        match report.revision {
            Some(revision) if reached => Ok(revision),
            _ => Err(format!(
                "a change was {} instead of {wait}; not confirmed by {:?}",
                report.verdict, report.unconfirmed
            )
            .into()),
        }
    }

    /// Takes a failure domain out of service or returns it, and waits until this is in force.
    pub(super) async fn set_domain(&self, domain: &str, state: DomainState) -> Result<()> {
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
    pub(super) async fn runs_in(&self, domain: &str) -> u64 {
        let mut runs = 0;
        for vm in self.vms.iter().filter(|vm| vm.domain == domain) {
            if let Some(upstream) = &vm.upstream {
                runs += upstream.run_counts().await.values().sum::<u64>();
            }
        }
        runs
    }

    /// Lets the upstream of a VM finish its work and leave.
    pub(super) async fn leave(&mut self, name: &str) -> Result<()> {
        let vm = self.vms.iter_mut().find(|vm| vm.name == name);
        let vm = vm.ok_or("there is no such VM")?;
        let upstream = vm.upstream.take().ok_or("the upstream left before")?;
        upstream.drain().await?;
        // Its counts cannot be read after its end, so the last request must have ended.
        tokio::time::sleep(POLL).await;
        let deadline = Instant::now() + STEP_TIMEOUT;
        while upstream.concurrency_stats().await.running > 0 && Instant::now() < deadline {
            tokio::time::sleep(POLL).await;
        }
        vm.runs = upstream.run_counts().await;
        upstream.shut_down(STEP_TIMEOUT).await?;
        Ok(())
    }

    /// Returns how often each request ran, by VM.
    pub(super) async fn runs(&self) -> Vec<VmRuns> {
        let mut all = Vec::new();
        for vm in &self.vms {
            let runs = match &vm.upstream {
                Some(upstream) => upstream.run_counts().await,
                None => vm.runs.clone(),
            };
            all.push(VmRuns {
                region: vm.region,
                service: vm.service,
                runs,
            });
        }
        all
    }

    /// Stops all daemons at once.
    pub(super) async fn stop(self) {
        let mut stops: JoinSet<()> = self.vms.into_iter().map(|vm| vm.daemon.stop()).collect();
        while stops.join_next().await.is_some() {}
    }
}

fn operators(vm: &Vm) -> Result<HttpClient> {
    let addr = vm.daemon.addresses().operators;
    Ok(HttpClientBuilder::default().build(format!("http://{addr}"))?)
}

fn config(
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

/// Returns the operations that make the configuration, in an order that refers only backwards.
fn configuration() -> Result<Vec<Operation>> {
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
        operations.push(Operation::PutService(service(name, prefix, class)?));
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

fn service(name: &str, prefix: &str, class: RequestClass) -> Result<Service> {
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
