//! The log while nobody reads the output. The logger is one for the process, so this test has a
//! binary of its own.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

use cornelvalve_relay::logging;

/// Output whose reader stands still until it is told to go on.
struct Blocked {
    go_on: Receiver<()>,
    released: bool,
    written: Sender<Vec<u8>>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.released {
            // The sender is dropped at the end of the test at the latest.
            let _ = self.go_on.recv();
            self.released = true;
        }
        // The test may have ended.
        let _ = self.written.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Guards against tasks that wait because nobody reads the log, and against lines that are lost
// without a word.
#[test]
fn a_reader_that_stands_still_blocks_nobody_and_lost_lines_are_counted() {
    let (release, go_on) = channel();
    let (written, lines) = channel();
    let output = Blocked {
        go_on,
        released: false,
        written,
    };
    let writer = logging::init_with(log::LevelFilter::Info, output).unwrap();
    const LINES: usize = 10_000;
    for number in 0..LINES {
        log::warn!(event = "test", number = number; "line");
    }
    release.send(()).unwrap();
    let mut text = String::new();
    while !text.contains("lines-dropped") {
        text += &String::from_utf8(lines.recv().unwrap()).unwrap();
        log::warn!(event = "more"; "the writer adds the count to its next lines");
    }
    drop(writer);
    while let Ok(more) = lines.recv() {
        text += &String::from_utf8(more).unwrap();
    }
    let dropped = text.lines().filter(|l| l.contains("lines-dropped"));
    let count: usize = dropped.map(count_of).sum();
    let kept = text.lines().filter(|l| l.contains("\"test\"")).count();
    assert!(count + kept >= LINES, "{count} dropped and {kept} written");
    assert!(kept >= 1000, "only {kept} written");
}

/// Reads the number of lost lines.
fn count_of(line: &str) -> usize {
    let (_, rest) = line.split_once("\"count\":").expect("line has a count");
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next();
    let count = digits.and_then(|d| d.parse().ok());
    count.expect("count is a number")
}
