//! The platform's part: ends a daemon whose resident memory exceeds `limits.memoryMb` and starts it
//! again after a short delay.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

use crate::daemon::Machine;
use crate::record::Record;

/// Memory of a daemon, `limits.memoryMb` = 260, read as mebibytes.
const MEMORY_BYTES: u64 = 260 * 1024 * 1024;

/// Delay before a daemon that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Machine under the platform's eye.
pub struct Watched {
    pub machine: Arc<Mutex<Machine>>,
    /// Times that the daemon was ended because of its memory.
    pub ends: Arc<AtomicUsize>,
}

/// Watches a machine until told to stop.
pub fn watch(machine: Machine, stop: &Arc<AtomicBool>, record: &Record) -> Watched {
    let machine = Arc::new(Mutex::new(machine));
    let ends = Arc::new(AtomicUsize::new(0));
    let (watched, counted) = (Arc::clone(&machine), Arc::clone(&ends));
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
            counted.fetch_add(1, Ordering::SeqCst);
            record.line(&format!(
                "daemon of {} had {memory} bytes resident, more than {MEMORY_BYTES}: ended",
                machine.name
            ));
            sleep(RESTART_DELAY);
            machine.start_again();
        }
    });
    Watched { machine, ends }
}
