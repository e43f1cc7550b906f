//! A burst of uploads, each within the operator's limits, on one machine. Rule LOST.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::{Deployment, Limits};
use crate::machine::MEMORY_MB;
use crate::requester::Exchange;
use crate::{CaseResult, Context};

/// Size of an upload: a quarter of the operator's limit.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;

/// Requesters that upload at the same time, as usual and in the burst, which is 1.67 times that.
const UPLOADERS: usize = 3;
const UPLOADERS_IN_BURST: usize = 5;

/// Requesters that file small requests over kept connections meanwhile.
const FILERS: usize = 8;

/// Time for which requests are sent.
const TRAFFIC: Duration = Duration::from_secs(12);

/// Pause of the platform before it starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Interval at which the platform checks the memory of the processes.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

const DEADLINE: Duration = Duration::from_millis(2500);

/// Number of lost requests up to which the rule holds.
const MAX_LOST: usize = 3;

/// Runs the case.
pub fn run(context: &Context) -> CaseResult {
    let record = &context.record;
    let mut deployment = Deployment::start(
        context,
        Limits {
            body_bytes: 67_108_864,
        },
    )?;
    let stop = Arc::new(AtomicBool::new(false));
    let uploaders = if context.trouble {
        UPLOADERS_IN_BURST
    } else {
        UPLOADERS
    };
    record.line(&format!(
        "{uploaders} requesters upload {UPLOAD_BYTES} bytes each"
    ));
    let senders = (0..uploaders).map(|_| ("/upload/2f", UPLOAD_BYTES));
    let senders = senders.chain((0..FILERS).map(|_| ("/remit/2f", 1200)));
    let requesters: Vec<_> = senders
        .map(|(path, bytes)| {
            let mut requester = deployment.requester(0);
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                let body = vec![b'x'; bytes];
                let mut exchanges = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let exchange = requester.send("POST", path, DEADLINE, &body);
                    if exchange.answer.is_none() {
                        thread::sleep(Duration::from_millis(100));
                    }
                    exchanges.push(exchange);
                }
                exchanges
            })
        })
        .collect();
    let ends = watch_memory(context, &mut deployment)?;
    stop.store(true, Ordering::SeqCst);
    let exchanges: Vec<Exchange> = requesters
        .into_iter()
        .filter_map(|r| r.join().ok())
        .flatten()
        .collect();
    let runs = deployment.runs.lock().expect("lock");
    // LOST: a machine in touch passes a request from a kept connection on to a sound target and closes
    // that connection without an answer. A process that ends by itself counts as running.
    let is_lost =
        |e: &&Exchange| e.kept && e.answer.is_none() && runs.iter().any(|r| r.attempt == e.attempt);
    let lost: Vec<&Exchange> = exchanges.iter().filter(is_lost).collect();
    for exchange in lost.iter().take(3) {
        record.print(&format!(
            "{:.3} s: request {} was run, and its kept connection closed without an answer",
            exchange.sent, exchange.attempt
        ));
    }
    let served = exchanges.iter().filter(|e| e.status() == 200).count();
    record.print(&format!(
        "{served} requests served, {ends} processes exceeded {MEMORY_MB} MB, {} requests lost",
        lost.len()
    ));
    if served < 50 {
        return Err("too few requests were served".to_owned());
    }
    Ok(lost.len() > MAX_LOST)
}

/// Does what the platform does: kills processes that exceed their memory and starts them again.
/// Returns how many were killed.
fn watch_memory(context: &Context, deployment: &mut Deployment) -> Result<usize, String> {
    let record = &context.record;
    let end = Instant::now() + TRAFFIC;
    let mut ends = 0;
    let mut peak: f64 = 0.0;
    while Instant::now() < end {
        for machine in &mut deployment.machines {
            let memory = machine.memory_mb().unwrap_or_default();
            peak = peak.max(memory);
            if memory > f64::from(MEMORY_MB) {
                machine.kill_daemon();
                ends += 1;
                record.line(&format!(
                    "process on {} has {memory:.0} MB and is killed by the platform",
                    machine.name
                ));
                thread::sleep(RESTART_DELAY);
                machine.start_daemon().map_err(|e| e.to_string())?;
            }
        }
        thread::sleep(CHECK_INTERVAL);
    }
    record.print(&format!("largest process: {peak:.0} MB"));
    Ok(ends)
}
