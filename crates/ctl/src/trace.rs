//! Runs `trace`, which collects the events of one request from the logs of several daemons.
//!
//! A nested call is a request that an upstream sends while it handles another one.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::output::Output;
use crate::{CtlError, Exit, Result};

/// Key of the request id in a log line.
const REQUEST_KEY: &str = "request";

/// Key of the event name in a log line.
const EVENT_KEY: &str = "event";

/// Line of a daemon's log. Fields that are not needed here are ignored.
#[derive(Deserialize)]
struct LogLine {
    timestamp: String,
    message: String,
    kvs: Map<String, Value>,
}

/// Event of the request, as a daemon logged it.
#[derive(Debug, Serialize)]
pub(crate) struct TraceEvent {
    /// Timestamp by the clock of the daemon's VM.
    pub(crate) at: String,
    /// Name of the log file without extension; by convention the name of the VM.
    pub(crate) log: String,
    /// Id of the request or of a nested call.
    pub(crate) request: String,
    /// Name of the event.
    pub(crate) event: String,
    /// Text of the log line.
    pub(crate) message: String,
    /// Other fields of the log line.
    pub(crate) fields: Map<String, Value>,
}

/// Prints the events of a request in the order of their timestamps.
pub(crate) fn run(args: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let empty = String::new();
    let request = args.get_one::<String>("request").unwrap_or(&empty);
    let files: Vec<&PathBuf> = args.get_many("file").into_iter().flatten().collect();
    let mut events = Vec::new();
    let mut unreadable = 0;
    for file in files {
        let text = read_log(file)?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        unreadable += collect_events(request, &name, &text, &mut events);
    }
    if unreadable > 0 {
        output.write_note(&format!("{unreadable} lines are no log lines"))?;
    }
    if events.is_empty() {
        return Err(CtlError::new(
            Exit::Usage,
            format!("no log line has the request id {request}"),
            "check the id, and that the logs cover the time of the request",
        ));
    }
    // If the clocks of two VMs differ, lines of different logs may be out of order, but the lines
    // of one log are not.
    events.sort_by(|a: &TraceEvent, b| a.at.cmp(&b.at));
    output.write_trace(&events)?;
    Ok(Exit::Success)
}

/// Returns the contents of a log file.
fn read_log(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).map_err(|e| {
        CtlError::new(
            Exit::Usage,
            format!("{}: cannot read the file: {e}", file.display()),
            "check the path and its permissions",
        )
    })
}

/// Appends the events of one log that belong to the request; returns the number of lines that are
/// not valid log lines.
fn collect_events(request: &str, log: &str, text: &str, events: &mut Vec<TraceEvent>) -> usize {
    let mut unreadable = 0;
    for line in text.lines().filter(|l| !l.trim().is_empty()) {
        // A log collector may put columns of its own before the JSON object.
        let object = line.find('{').map_or("", |start| &line[start..]);
        match serde_json::from_str::<LogLine>(object) {
            Ok(line) => events.extend(matching_event(request, log, line)),
            Err(_) => unreadable += 1,
        }
    }
    unreadable
}

/// Returns the event of a line if it belongs to the request or to a nested call.
///
/// Lines without an event name are ignored.
fn matching_event(request: &str, log: &str, mut line: LogLine) -> Option<TraceEvent> {
    let id = line.kvs.remove(REQUEST_KEY)?;
    let id = id.as_str()?;
    let suffix = id.strip_prefix(request)?;
    // The id of a nested call is the id of its parent, a dot and a suffix.
    if !suffix.is_empty() && !suffix.starts_with('.') {
        return None;
    }
    let event = line.kvs.remove(EVENT_KEY);
    Some(TraceEvent {
        at: line.timestamp,
        log: log.to_owned(),
        request: id.to_owned(),
        event: event.as_ref().and_then(Value::as_str)?.to_owned(),
        message: line.message,
        fields: line.kvs,
    })
}
