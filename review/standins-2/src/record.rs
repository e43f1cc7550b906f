//! Record of what was sent, answered and run, written to `record.txt`.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Record of one run; each line starts with the seconds since the start.
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    /// Returns the seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let now = self.now();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{now:8.3} {text}");
            let _ = file.flush();
        }
    }

    /// Writes a line and prints it.
    pub fn print(&self, text: &str) {
        say(text);
        self.line(text);
    }
}

/// Prints a line; a closed standard output doesn't end the case.
pub fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}
