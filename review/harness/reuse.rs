//! Case `reuse`: a target ends for good, and its address goes to a target of another service.
//!
//! The platform does what the pages say: the daemon beside the target gets SIGTERM after the target
//! has ended, the address is used again once `reuseDelayS` has passed, and the daemon that has
//! exited is started again with the settings then in effect.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::daemon::{free_net, Machine, CONTROL, OUTBOUND, TARGET};
use crate::http::call;
use crate::record::Record;
use crate::store::Store;
use crate::target::{Runs, Target, TargetSpec};
use crate::{Setting, Verdict};

/// Time from the end of the target to the SIGTERM of its daemon.
const SIGTERM_AFTER: Duration = Duration::from_millis(1500);

/// Time from the end of the target to the start of the next one at its address. `reuseDelayS` is 2 s.
const REUSE_AFTER: Duration = Duration::from_millis(2050);

/// Grace time of the platform, `graceS`.
const GRACE: Duration = Duration::from_secs(6);

/// Time between two requests at each machine.
const REQUEST_PERIOD: Duration = Duration::from_millis(150);

/// Machines: zone and service. The target of the machine with index [`REUSED`] ends.
const MACHINES: [(&str, &str); 7] = [
    ("est-a", "estimateur"),
    ("est-b", "remise"),
    ("ouest-a", "remise"),
    ("ouest-b", "remise"),
    ("est-a", "flotte"),
    ("est-b", "flotte"),
    ("ouest-a", "flotte"),
];
const REUSED: usize = 1;

fn config() -> String {
    let route = |name: &str, kind: &str, homes: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutS\":2.0,\"sloS\":0.4,\"priority\":1,\"service\":\"{name}\",\"attempts\":2,\"allowedRegions\":[{homes}]}}"
        )
    };
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":260,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":38.0}}")
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{},{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}}}",
        route("remise", "unsafe", "\"qc-est\""),
        route("flotte", "safe", ""),
        service("estimateur"),
        service("remise"),
        service("flotte"),
    )
}

fn spec(machine: &Machine, id: &str, service: &str, cold: Duration) -> TargetSpec {
    TargetSpec {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: machine.zone.clone(),
        addr: machine.addr(TARGET),
        control: machine.addr(CONTROL),
        slots: 9,
        work: Duration::from_millis(78),
        cold,
        noisy: false,
        calls: None,
    }
}

/// Requester on a machine: sends filings on the route `remise` while it is on and the machine counts
/// as ready: two readiness checks in a row without 200 take it out.
struct Requesters {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
    answered: Arc<AtomicUsize>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Requesters {
    fn start(machines: &[Machine], record: &Record) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (sent, answered) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let threads = machines.iter().map(|machine| {
            let (outbound, ready) = (machine.addr(OUTBOUND), machine.ready_addr());
            let (stop, record) = (Arc::clone(&stop), record.clone());
            let (sent, answered) = (Arc::clone(&sent), Arc::clone(&answered));
            let name = machine.name.clone();
            let taken_out = Arc::new(AtomicBool::new(false));
            let (checked, check_stop) = (Arc::clone(&taken_out), Arc::clone(&stop));
            thread::spawn(move || {
                let mut misses = 0;
                while !check_stop.load(Ordering::SeqCst) {
                    let headers = [("Host", "ready".to_owned())];
                    let answer = call(ready, "GET", "/v1/ready", &headers, b"", Duration::from_secs(1));
                    misses = if answer.is_ok_and(|a| a.status() == 200) { 0 } else { misses + 1 };
                    checked.store(misses >= 2, Ordering::SeqCst);
                    sleep(Duration::from_secs(1));
                }
            });
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    sleep(REQUEST_PERIOD);
                    if taken_out.load(Ordering::SeqCst) {
                        continue;
                    }
                    let id = format!("attempt-{}", sent.fetch_add(1, Ordering::SeqCst) + 1);
                    let headers = [
                        ("Host", "a.example".to_owned()),
                        ("X-Attempt-Id", id.clone()),
                        ("X-Deadline-Ms", "2500".to_owned()),
                    ];
                    let answer = call(outbound, "POST", "/remise/f", &headers, b"filing", Duration::from_secs(3));
                    let status = answer.as_ref().map_or(0, |a| a.status());
                    let signed = answer.as_ref().map_or("", |a| a.header("x-server-signature"));
                    if status == 200 {
                        answered.fetch_add(1, Ordering::SeqCst);
                    }
                    record.line(&format!("request {id} to route remise at {name}: status {status}, signature {signed:?}"));
                }
            })
        });
        Self {
            threads: threads.collect(),
            stop,
            sent,
            answered,
        }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    store.put("config", &config());
    let net = free_net(MACHINES.len() as u8);
    let mut machines: Vec<Machine> = MACHINES
        .iter()
        .enumerate()
        .map(|(i, (zone, service))| {
            let region = if zone.starts_with("est") {
                "qc-est"
            } else {
                "qc-ouest"
            };
            Machine::new(
                net,
                i as u8 + 1,
                zone,
                region,
                service,
                store.addr,
                &setting.folder,
            )
        })
        .collect();
    let runs = Runs::default();
    let mut targets = Vec::new();
    for (i, machine) in machines.iter_mut().enumerate() {
        machine.start();
        let target = spec(
            machine,
            &format!("i-{}", i + 1),
            MACHINES[i].1,
            Duration::ZERO,
        );
        match Target::start(target, record, &runs) {
            Ok(target) => targets.push(target),
            Err(e) => return Verdict::Failed(format!("target: {e}")),
        }
    }
    if !machines
        .iter()
        .all(|m| m.wait_ready(Duration::from_secs(15)))
    {
        return Verdict::Failed("a daemon is not ready".to_owned());
    }
    // Traffic starts some seconds after the machines do.
    sleep(Duration::from_secs(5));
    let requesters = Requesters::start(&machines, record);
    sleep(Duration::from_secs(3));
    if requesters.answered.load(Ordering::SeqCst) < 20 {
        requesters.stop();
        return Verdict::Failed("requests were not answered before the disruption".to_owned());
    }
    if setting.trouble {
        let end = Instant::now();
        targets[REUSED].crash();
        sleep(SIGTERM_AFTER.saturating_sub(end.elapsed()));
        machines[REUSED].signal("TERM");
        record.line(&format!(
            "SIGTERM to the daemon of {}",
            machines[REUSED].name
        ));
        sleep(REUSE_AFTER.saturating_sub(end.elapsed()));
        machines[REUSED].service = "flotte".to_owned();
        machines[REUSED].write_settings();
        machines[REUSED].signal("HUP");
        record.line(&format!(
            "settings of {} name service flotte; SIGHUP to its daemon",
            machines[REUSED].name
        ));
        let next = spec(&machines[REUSED], "i-8", "flotte", Duration::from_secs(3));
        match Target::start(next, record, &runs) {
            Ok(target) => targets.push(target),
            Err(e) => return Verdict::Failed(format!("next target: {e}")),
        }
        let exited = machines[REUSED].wait_exit(GRACE);
        record.line(&format!(
            "daemon of {} has ended: {exited}",
            machines[REUSED].name
        ));
        machines[REUSED].kill();
        sleep(Duration::from_millis(200));
        machines[REUSED].start_again();
        record.line(&format!(
            "daemon of {} is started again",
            machines[REUSED].name
        ));
    }
    sleep(Duration::from_secs(6));
    let (sent, answered) = (
        Arc::clone(&requesters.sent),
        Arc::clone(&requesters.answered),
    );
    requesters.stop();
    let runs = runs.lock().expect("runs");
    let foreign = runs.iter().filter(|r| r.service != "remise").count();
    record.line(&format!(
        "{} requests on route remise, which leads to service remise only; {} answered with 200; {} runs, {foreign} of them at a target of another service",
        sent.load(Ordering::SeqCst),
        answered.load(Ordering::SeqCst),
        runs.len()
    ));
    if foreign > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
