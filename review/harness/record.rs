//! The record of a case, one line for each thing that was seen.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// File with the record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
    /// Whether the runs of requests are left out.
    brief: bool,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
            brief: false,
        }
    }

    /// Returns a record that leaves out the runs of requests.
    pub fn without_runs(self) -> Self {
        Self {
            brief: true,
            ..self
        }
    }

    /// Writes a line about the run of a request.
    pub fn run(&self, text: &str) {
        if !self.brief {
            self.line(text);
        }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{at:9.3} {text}");
    }
}
