//! Test of the logger while nobody reads its output. A process can install only one logger, so this
//! test has its own binary.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use cornelvalve_relay::logging;

/// Time after which the test fails instead of waiting for the writer for ever; long enough for a
/// heavily loaded machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest write in bytes that the writer may collect.
const MAX_WRITE_BYTES: usize = 512 * 1024;

/// Output that blocks the first write until the test releases it.
struct BlockedOutput {
    /// Tells the test that the first write has begun.
    blocked: Sender<()>,
    /// Receives a message or is closed to release the output.
    release: Receiver<()>,
    released: bool,
    /// Sends everything that is written to the test.
    written: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.released {
            let _ = self.blocked.send(());
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

// Guards against tasks that block because nobody reads the log, against dropped lines that are not
// reported, and against a batch that grows without being written while lines keep coming.
#[test]
fn blocked_output_does_not_block_logging_and_dropped_lines_are_counted() {
    let (blocked, first_write) = channel();
    let (release_sender, release) = channel();
    let (written, lines) = channel();
    let output = BlockedOutput {
        blocked,
        release,
        released: false,
        written,
    };
    let writer = logging::init_with(log::LevelFilter::Info, output).unwrap();
    // The writer must be blocked before the flood, or it could take all lines into one batch.
    log::warn!(event = "first"; "line");
    first_write.recv_timeout(WAIT_TIMEOUT).unwrap();
    const LINES: usize = 10_000;
    for number in 0..LINES {
        log::warn!(event = "test", number = number; "line");
    }
    release_sender.send(()).unwrap();
    let mut text = String::new();
    while !text.contains("lines-dropped") {
        text += &String::from_utf8(lines.recv_timeout(WAIT_TIMEOUT).unwrap()).unwrap();
        // The writer reports dropped lines only when it writes another batch.
        log::warn!(event = "more"; "line");
    }
    // Lines that come without a pause.
    const FLOOD_LINES: usize = 200_000;
    for number in 0..FLOOD_LINES {
        log::warn!(event = "flood", number = number; "line");
    }
    drop(writer);
    while let Ok(more) = lines.recv_timeout(WAIT_TIMEOUT) {
        assert!(
            more.len() <= MAX_WRITE_BYTES,
            "a write has {} bytes",
            more.len()
        );
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
