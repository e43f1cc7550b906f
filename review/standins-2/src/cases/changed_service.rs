//! A machine gets a target of another service, and its settings file says so. Rule UNASKED.

use std::thread;
use std::time::Duration;

use super::{CONFIG_APPLY, Deployment, Limits, REUSE_DELAY};
use crate::machine::SIGHUP;
use crate::{CaseResult, Context};

/// Machine whose target is replaced.
const REASSIGNED: usize = 1;

/// Time for which a leaving target serves after the confirmation; `drainS` is 2.5.
const STAY: Duration = Duration::from_millis(3500);

/// Number of requests that are judged.
const REQUESTS: usize = 40;

const DEADLINE: Duration = Duration::from_millis(2500);

/// Runs the case.
pub fn run(context: &Context) -> CaseResult {
    let record = &context.record;
    let mut deployment = Deployment::start(
        context,
        Limits {
            body_bytes: 67_108_864,
        },
    )?;
    if context.trouble {
        deployment.targets[REASSIGNED].leave(STAY);
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
    }
    // More than the time in which a desired state must be in force.
    thread::sleep(2 * CONFIG_APPLY);
    let service = deployment.machines[REASSIGNED].service.clone();
    let mut requester = deployment.requester(REASSIGNED);
    let mut attempts = Vec::new();
    for index in 0..REQUESTS {
        let path = if index % 2 == 0 {
            "/remit/2f"
        } else {
            "/upload/2f"
        };
        attempts.push(requester.send("POST", path, DEADLINE, b"form").attempt);
        thread::sleep(Duration::from_millis(50));
    }
    let runs = deployment.runs.lock().expect("lock");
    let judged = runs.iter().filter(|r| attempts.contains(&r.attempt));
    let judged: Vec<_> = judged.collect();
    let wrong: Vec<_> = judged.iter().filter(|r| r.caller != service).collect();
    for run in wrong.iter().take(3) {
        record.print(&format!(
            "{:.3} s: {} ran {} with X-Caller-Service {}; the machine where it began runs {service}",
            run.at, run.id, run.attempt, run.caller
        ));
    }
    record.print(&format!(
        "{} of {REQUESTS} requests were run, {} with the name of a service that does not run there",
        judged.len(),
        wrong.len()
    ));
    if judged.len() < REQUESTS / 2 {
        return Err("too few requests were run".to_owned());
    }
    Ok(!wrong.is_empty())
}
