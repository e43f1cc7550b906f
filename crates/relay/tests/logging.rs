//! Test of the logger while nobody reads its output. A process can install only one logger, so this
//! test has its own binary.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use cornelvalve_relay::logging;

/// Output that blocks the first write until the test releases it.
struct BlockedOutput {
    /// Receives a message or is closed to release the output.
    release: Receiver<()>,
    released: bool,
    /// Sends everything that is written to the test.
    written: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.released {
            // An error means that the test has ended, which also releases the output.
            let _ = self.release.recv();
            self.released = true;
        }
        // Sending fails if the test has ended.
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against tasks that block because nobody reads the log, and against dropped lines that are
// not reported.
#[test]
fn blocked_output_does_not_block_logging_and_dropped_lines_are_counted() {
    let (release_sender, release) = channel();
    let (written, lines) = channel();
    let output = BlockedOutput {
        release,
        released: false,
        written,
    };
    let writer = logging::init_with(log::LevelFilter::Info, output).unwrap();
    const LINES: usize = 10_000;
    for number in 0..LINES {
        log::warn!(event = "test", number = number; "line");
    }
    release_sender.send(()).unwrap();
    let mut text = String::new();
    while !text.contains("lines-dropped") {
        text += &String::from_utf8(lines.recv().unwrap()).unwrap();
        // The writer reports dropped lines only when it writes another batch.
        log::warn!(event = "more"; "line");
    }
    drop(writer);
    while let Ok(more) = lines.recv() {
        text += &String::from_utf8(more).unwrap();
    }
    let dropped = text.lines().filter(|l| l.contains("lines-dropped"));
    let count: usize = dropped.map(dropped_count).sum();
    let written_count = text.lines().filter(|l| l.contains("\"test\"")).count();
    assert!(
        count + written_count >= LINES,
        "{count} dropped and {written_count} written"
    );
    // The queue holds more lines than this.
    assert!(written_count >= 1000, "only {written_count} written");
}

/// Returns the number of dropped lines that a log line reports.
fn dropped_count(line: &str) -> usize {
    let (_, rest) = line.split_once("\"count\":").expect("the line has a count");
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next();
    let count = digits.and_then(|d| d.parse().ok());
    count.expect("the count is a number")
}
