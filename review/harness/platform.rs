//! The platform's part: ends a daemon whose resident memory exceeds `limits.memoryMb` and starts it
//! again after a short delay.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::daemon::Machine;
use crate::record::Record;
use crate::steady::Steady;
use crate::target::Runs;
use crate::Verdict;

/// Memory of a daemon, `limits.memoryMb` = 260, read as mebibytes.
const MEMORY_BYTES: u64 = 260 * 1024 * 1024;

/// Delay before a daemon that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// `stableWindowS`: a machine is not judged for so long after its daemon has started.
const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// Time after the last request for its answer.
const REST: Duration = Duration::from_secs(3);

/// Requests on kept connections that a day may lose; more break the rule.
const TOLERATED: usize = 3;

/// Machine under the platform's eye.
pub struct Watched {
    name: String,
    machine: Arc<Mutex<Machine>>,
    /// Starts of the daemon.
    starts: Arc<Mutex<Vec<Instant>>>,
}

/// Watches a machine until told to stop.
pub fn watch(machine: Machine, stop: &Arc<AtomicBool>, record: &Record) -> Watched {
    let name = machine.name.clone();
    let machine = Arc::new(Mutex::new(machine));
    let starts = Arc::new(Mutex::new(vec![Instant::now()]));
    let (watched, started) = (Arc::clone(&machine), Arc::clone(&starts));
    let (stop, record) = (Arc::clone(stop), record.clone());
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(2));
            let mut machine = watched.lock().expect("machine");
            let memory = machine.memory("VmHWM");
            if memory <= MEMORY_BYTES {
                continue;
            }
            machine.kill();
            record.line(&format!(
                "daemon of {} had {memory} bytes resident, more than {MEMORY_BYTES}: ended",
                machine.name
            ));
            sleep(RESTART_DELAY);
            machine.start_again();
            started.lock().expect("starts").push(Instant::now());
        }
    });
    Watched {
        name,
        machine,
        starts,
    }
}

/// Ends all daemons and judges LOST: the requests on kept connections that a target ran, whose
/// connection ended without an answer while the machine was in touch.
///
/// A process that ends by itself counts as running, so its machine stays in touch; to be safe, the
/// time after each start is left out.
pub fn judge_lost(watched: &[Watched], steady: &Steady, runs: &Runs, record: &Record) -> Verdict {
    // The requesters have been told to stop; what they have sent is answered meanwhile.
    sleep(REST);
    let unanswered = steady.unanswered();
    for watched in watched {
        let mut machine = watched.machine.lock().expect("machine");
        let ends = watched.starts.lock().expect("starts").len() - 1;
        let peak = machine.memory("VmHWM");
        record.line(&format!(
            "{}: ended {ends} times; peak of the present process {peak} bytes",
            watched.name
        ));
        machine.kill();
    }
    let runs = runs.lock().expect("runs");
    let run: HashSet<&str> = runs.iter().map(|r| r.attempt.as_str()).collect();
    let in_touch = |name: &str, at: Instant| {
        let starts = watched.iter().filter(|w| w.name == name);
        starts
            .flat_map(|w| w.starts.lock().expect("starts").clone())
            .all(|start| at < start || at.duration_since(start) >= STABLE_WINDOW)
    };
    let lost: Vec<_> = unanswered
        .iter()
        .filter(|u| run.contains(u.attempt.as_str()) && in_touch(&u.machine, u.at))
        .collect();
    for lost in &lost {
        record.line(&format!(
            "lost: {} was passed on and run, and its kept connection ended without an answer",
            lost.attempt
        ));
    }
    record.line(&format!(
        "on kept connections: {} requests answered, {} connections ended without an answer, {} of them lost by the rule ({TOLERATED} are tolerated)",
        steady.answered(),
        unanswered.len(),
        lost.len()
    ));
    if lost.len() > TOLERATED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
