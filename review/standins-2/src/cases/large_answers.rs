//! More requesters keep connections that have carried a large answer. Rule LOST.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::{Deployment, USUAL};
use crate::machine::MEMORY_MB;
use crate::requester::{Exchange, Requester};
use crate::{CaseResult, Context};

/// Path with the size of the large answers.
const LARGE: &str = "/remit/bytes-3600000";

/// Requesters that get large answers, as usual and in the burst, which is 1.68 times that.
const READERS: usize = 44;
const READERS_IN_BURST: usize = 74;

/// Pause between the large answers, which don't overlap.
const PAUSE: Duration = Duration::from_millis(20);

/// Requesters that file small requests over kept connections meanwhile.
const FILERS: usize = 16;

const DEADLINE: Duration = Duration::from_millis(2500);

/// Longest time for which a requester keeps a connection idle: four fifths of `idleTimeoutS`.
const MAX_IDLE_S: f64 = 12.0;

/// Number of lost requests up to which the rule holds.
const MAX_LOST: usize = 3;

/// Runs the case.
pub fn run(context: &Context) -> CaseResult {
    let record = &context.record;
    let mut deployment = Deployment::start(context, USUAL)?;
    let stop = Arc::new(AtomicBool::new(false));
    let filers: Vec<_> = (0..FILERS)
        .map(|_| {
            let requester = deployment.requester(0);
            let stop = Arc::clone(&stop);
            thread::spawn(move || file(requester, &stop))
        })
        .collect();
    let count = if context.trouble {
        READERS_IN_BURST
    } else {
        READERS
    };
    let mut readers: Vec<_> = (0..count).map(|_| deployment.requester(0)).collect();
    let (mut served, mut peak, mut ends) = (0, 0.0f64, 0);
    let first = record.now();
    let mut span = 0.0;
    for reader in &mut readers {
        // One after the other; each keeps its connection.
        let exchange = reader.send("POST", LARGE, DEADLINE, b"form");
        served += usize::from(exchange.status() == 200);
        let until = Instant::now() + PAUSE;
        while Instant::now() < until {
            let machine = &mut deployment.machines[0];
            let memory = machine.memory_mb().unwrap_or_default();
            peak = peak.max(memory);
            if memory > f64::from(MEMORY_MB) {
                // The platform kills a process that exceeds its memory and starts it again.
                machine.kill_daemon();
                if ends == 0 {
                    span = record.now() - first;
                }
                ends += 1;
                record.line(&format!(
                    "process with {memory:.0} MB is killed by the platform"
                ));
                thread::sleep(Duration::from_millis(500));
                machine.start_daemon().map_err(|e| e.to_string())?;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
    if ends == 0 {
        span = record.now() - first;
    }
    stop.store(true, Ordering::SeqCst);
    let filed: Vec<Exchange> = filers
        .into_iter()
        .filter_map(|f| f.join().ok())
        .flatten()
        .collect();
    let runs = deployment.runs.lock().expect("lock");
    let is_lost =
        |e: &&Exchange| e.kept && e.answer.is_none() && runs.iter().any(|r| r.attempt == e.attempt);
    let lost = filed.iter().filter(is_lost).count();
    record.print(&format!(
        "{served} large answers, one at a time, over {count} kept connections: largest process \
         {peak:.0} MB, {ends} ended by the platform after {span:.1} s, {lost} requests lost"
    ));
    if span > MAX_IDLE_S {
        return Err("the first connection was idle for too long".to_owned());
    }
    Ok(lost > MAX_LOST)
}

/// Files small requests until it is stopped.
fn file(mut requester: Requester, stop: &AtomicBool) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let exchange = requester.send("POST", "/remit/2f", DEADLINE, &[b'x'; 1200]);
        if exchange.answer.is_none() {
            thread::sleep(Duration::from_millis(100));
        }
        exchanges.push(exchange);
    }
    exchanges
}
