//! The platform's store moves to another address, and the settings files say so. Rule CONFIG.

use std::thread;
use std::time::Duration;

use super::{CONFIG_APPLY, Deployment, Desired, STABLE_WINDOW, USUAL};
use crate::machine::SIGHUP;
use crate::{CaseResult, Context};

/// Number of requests that are judged.
const REQUESTS: usize = 42;

const DEADLINE: Duration = Duration::from_millis(2500);

/// Runs the case.
pub fn run(context: &Context) -> CaseResult {
    let io = |e: std::io::Error| e.to_string();
    let record = &context.record;
    let mut deployment = Deployment::start(context, USUAL)?;
    if context.trouble {
        deployment
            .store
            .move_to(deployment.other_store)
            .map_err(io)?;
        for machine in &mut deployment.machines {
            machine.store = deployment.other_store;
            machine.write_settings(false).map_err(io)?;
            machine.signal(SIGHUP);
        }
        record.line("the store has moved, all settings files name its new address; SIGHUP sent");
    }
    // Longer than a machine and the store need to count as undisturbed again.
    thread::sleep(2 * STABLE_WINDOW);
    deployment.write_desired_state(
        2,
        Desired {
            remit_service: "flotte",
            ..USUAL
        },
    );
    // Twice the time in which the desired state must be in force.
    thread::sleep(2 * CONFIG_APPLY);
    let ready = deployment.machines.iter().filter(|m| m.is_ready()).count();
    let mut attempts = Vec::new();
    for index in 0..REQUESTS {
        let mut requester = deployment.requester(index % deployment.machines.len());
        let exchange = requester.send("POST", "/remit/2f", DEADLINE, b"form");
        attempts.push(exchange.attempt);
    }
    let runs = deployment.runs.lock().expect("lock");
    let judged = runs.iter().filter(|r| attempts.contains(&r.attempt));
    let judged: Vec<_> = judged.collect();
    let old: Vec<_> = judged.iter().filter(|r| r.service != "flotte").collect();
    for run in old.iter().take(3) {
        record.print(&format!(
            "{:.3} s: request {} {} was run by {} of the old service {}",
            run.at, run.attempt, run.path, run.id, run.service
        ));
    }
    record.print(&format!(
        "{ready} of {} daemons say that they are ready; {} of {REQUESTS} requests were run, {} by the \
         service of the older version",
        deployment.machines.len(),
        judged.len(),
        old.len()
    ));
    if judged.len() < REQUESTS / 2 {
        return Err("too few requests were run".to_owned());
    }
    // CONFIG: a request sent later than `configApplyS` after the confirmation of a version is run by
    // the old service.
    Ok(!old.is_empty())
}
