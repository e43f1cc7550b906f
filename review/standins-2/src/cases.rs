//! The cases, and the deployment that they have in common.

mod changed_limits;
mod large_answers;
mod store_moved;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::machine::Machine;
use crate::record::Record;
use crate::requester::{HOST, Requester};
use crate::store::Store;
use crate::target::{Run, Target, TargetOptions};
use crate::{CaseResult, Context};

/// `configApplyS` of the site.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2500);

/// `stableWindowS` of the site, after which a machine is in touch.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// Longest time until the daemons are ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Services of the machines of a deployment, each with its zone.
const MACHINES: [(&str, &str); 7] = [
    ("remise", "est-a"),
    ("remise", "est-a"),
    ("remise", "est-b"),
    ("remise", "est-b"),
    ("flotte", "est-a"),
    ("flotte", "est-a"),
    ("flotte", "est-b"),
];

/// Runs the case with this name.
pub fn run(name: &str, context: &Context) -> CaseResult {
    match name {
        "store-moved" => store_moved::run(context),
        "changed-limits" => changed_limits::run(context),
        "large-answers" => large_answers::run(context),
        _ => Err("no such case".to_owned()),
    }
}

/// Service of the route `/remit/` and limit on bodies of a desired state.
#[derive(Clone, Copy)]
pub struct Desired {
    pub remit_service: &'static str,
    pub body_bytes: u64,
}

/// Desired state with the limit of the site.
pub const USUAL: Desired = Desired {
    remit_service: "remise",
    body_bytes: 67_108_864,
};

/// Returns a desired state as the operator writes it, with the routes `/remit/` and `/upload/`.
fn desired_state(version: u64, desired: Desired) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout_s: f64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeoutS\":{timeout_s},\"sloS\":0.4,\"priority\":1,\
             \"service\":\"{service}\",\"attempts\":2,\"allowedRegions\":[]}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":260,\
             \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":29.0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{},{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{},\"headerTimeoutS\":3,\
         \"idleTimeoutS\":15}}}}",
        route("remit", "unsafe", desired.remit_service, 1.2),
        route("upload", "upload", "flotte", 5.0),
        service("remise"),
        service("flotte"),
        desired.body_bytes
    )
}

/// Running deployment.
pub struct Deployment {
    pub store: Store,
    /// Address to which the store may move.
    pub other_store: SocketAddr,
    pub machines: Vec<Machine>,
    /// Requests that the targets began to run.
    pub runs: Arc<Mutex<Vec<Run>>>,
    record: Arc<Record>,
}

impl Deployment {
    /// Starts the store, the targets and the daemons, writes the first desired state and waits until
    /// all machines are in touch.
    pub fn start(context: &Context, desired: Desired) -> Result<Self, String> {
        let io = |e: std::io::Error| e.to_string();
        let record = &context.record;
        let site = context.site(MACHINES.len() as u8)?;
        let mut deployment = Self {
            store: Store::start(site.store).map_err(io)?,
            other_store: site.other_store,
            machines: Vec::new(),
            runs: Arc::default(),
            record: Arc::clone(record),
        };
        deployment.write_desired_state(1, desired);
        for (index, (service, zone)) in MACHINES.into_iter().enumerate() {
            let number = index as u8 + 1;
            let mut machine = Machine::new(&site, number, zone, "qc-est", service).map_err(io)?;
            machine.start_daemon().map_err(io)?;
            deployment.machines.push(machine);
            deployment.start_target(index, &format!("i-7f3a91{number:02x}"))?;
        }
        let deadline = Instant::now() + START_TIMEOUT;
        while !deployment.machines.iter().all(Machine::is_ready) {
            if Instant::now() > deadline {
                return Err("daemons did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(STABLE_WINDOW);
        Ok(deployment)
    }

    /// Writes a desired state as the operator.
    pub fn write_desired_state(&self, version: u64, desired: Desired) {
        let state = desired_state(version, desired);
        self.store.put("config", state.as_bytes());
        self.record.line(&format!(
            "desired state {version} confirmed: /remit/ to {}, maxBodyBytes {}",
            desired.remit_service, desired.body_bytes
        ));
    }

    /// Starts a target of the service that the settings of a machine name.
    fn start_target(&self, index: usize, id: &str) -> Result<(), String> {
        let machine = &self.machines[index];
        let options = TargetOptions {
            addr: machine.target(),
            control: machine.control(),
            id: id.to_owned(),
            service: machine.service.clone(),
            zone: machine.zone().to_owned(),
            slots: 9,
            work: Duration::from_millis(72),
        };
        Target::start(options, &self.record, &self.runs).map_err(|e| e.to_string())
    }

    /// Returns a requester on a machine.
    pub fn requester(&self, index: usize) -> Requester {
        let machine = &self.machines[index];
        Requester::new(&machine.name, machine.outbound(), &self.record)
    }
}
