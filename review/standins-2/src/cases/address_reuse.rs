//! A target ends, and its address is assigned to a target of another service. Rule ROUTE.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::{Deployment, Limits, REUSE_DELAY};
use crate::machine::SIGHUP;
use crate::target::Run;
use crate::{CaseResult, Context};

/// Machine whose target ends.
const REASSIGNED: usize = 1;

/// Time for which requests are sent after the address has changed hands.
const TRAFFIC_AFTER: Duration = Duration::from_secs(25);

const DEADLINE: Duration = Duration::from_millis(2500);

/// Time between two requests of a requester.
const PAUSE: Duration = Duration::from_millis(50);

/// Requesters on each machine that send to the service whose target ends.
const FILERS: usize = 3;

/// Least number of served requests for the case to say anything.
const MIN_SERVED: usize = 100;

/// Runs the case.
pub fn run(context: &Context) -> CaseResult {
    let record = &context.record;
    let mut deployment = Deployment::start(
        context,
        Limits {
            body_bytes: 67_108_864,
        },
    )?;
    // Requesters on all machines send to both services.
    let stop = Arc::new(AtomicBool::new(false));
    let paths = ["/remit/2f"; FILERS].into_iter().chain(["/upload/2f"]);
    let senders = (0..deployment.machines.len()).flat_map(|m| paths.clone().map(move |p| (m, p)));
    let requesters: Vec<_> = senders
        .map(|(machine, path)| {
            let mut requester = deployment.requester(machine);
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                let mut served = 0;
                while !stop.load(Ordering::SeqCst) {
                    let exchange = requester.send("POST", path, DEADLINE, b"form");
                    served += usize::from(exchange.status() == 200);
                    thread::sleep(PAUSE);
                }
                served
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if context.trouble {
        deployment.targets[REASSIGNED].crash();
        thread::sleep(REUSE_DELAY);
        let machine = &mut deployment.machines[REASSIGNED];
        machine.service = "flotte".to_owned();
        machine.write_settings(false).map_err(|e| e.to_string())?;
        machine.signal(SIGHUP);
        record.line(&format!(
            "settings of {} now name the service flotte; SIGHUP sent",
            machine.name
        ));
        deployment.start_target(REASSIGNED, "i-02d9e6b4")?;
    } else {
        thread::sleep(REUSE_DELAY);
    }
    thread::sleep(TRAFFIC_AFTER);
    stop.store(true, Ordering::SeqCst);
    let served = requesters.into_iter().filter_map(|r| r.join().ok()).sum();
    judge(context, &deployment.runs.lock().expect("lock"), served)
}

/// ROUTE: a request is run by a service to which no desired state ever sent allows it to go.
fn judge(context: &Context, runs: &[Run], served: usize) -> CaseResult {
    let record = &context.record;
    let is_allowed = |run: &&Run| {
        let service = if run.path.starts_with("/remit/") {
            "remise"
        } else {
            "flotte"
        };
        run.service == service
    };
    let foreign: Vec<&Run> = runs.iter().filter(|r| !is_allowed(r)).collect();
    for run in foreign.iter().take(3) {
        record.print(&format!(
            "{:.3} s: request {} {} was run by {} of service {}",
            run.at, run.attempt, run.path, run.id, run.service
        ));
    }
    record.print(&format!(
        "{served} requests served, {} runs, {} by a service that no desired state allows",
        runs.len(),
        foreign.len()
    ));
    if served < MIN_SERVED {
        return Err("too few requests were served".to_owned());
    }
    Ok(!foreign.is_empty())
}
