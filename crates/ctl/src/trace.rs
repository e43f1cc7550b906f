//! `trace`: the way of one request from the logs of several daemons.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::output::Output;
use crate::{CtlError, Exit, Result};

/// Field of a log line that names the request.
const REQUEST_FIELD: &str = "request";

/// Field of a log line that names the event.
const EVENT_FIELD: &str = "event";

/// Log line of a daemon.
#[derive(Deserialize)]
struct LogLine {
    timestamp: String,
    message: String,
    kvs: Map<String, Value>,
}

/// What a daemon logged of the request.
#[derive(Debug, Serialize)]
pub(crate) struct TraceEvent {
    /// Time by the clock of the VM.
    pub(crate) at: String,
    /// Log in which it stands.
    pub(crate) log: String,
    /// Request: the one asked for, or a call that it made.
    pub(crate) request: String,
    /// Event.
    pub(crate) event: String,
    /// Message.
    pub(crate) message: String,
    /// Further fields.
    pub(crate) fields: Map<String, Value>,
}

pub(crate) fn run(sub: &ArgMatches, output: &mut Output<'_>) -> Result<Exit> {
    let empty = String::new();
    let request = sub.get_one::<String>("request").unwrap_or(&empty);
    let files: Vec<&PathBuf> = sub.get_many("file").into_iter().flatten().collect();
    let mut events = Vec::new();
    let mut unreadable = 0;
    for file in files {
        let text = read(file)?;
        let name = file.file_stem().unwrap_or_default().to_string_lossy();
        unreadable += collect(request, &name, &text, &mut events);
    }
    if unreadable > 0 {
        output.note(&format!("{unreadable} lines are no log lines"))?;
    }
    if events.is_empty() {
        return Err(CtlError::new(
            Exit::Usage,
            format!("no line names the request {request}"),
            "check the id and whether the logs cover its time",
        ));
    }
    // Times of one log keep their order even if the clocks of two VMs differ.
    events.sort_by(|a: &TraceEvent, b| a.at.cmp(&b.at));
    output.trace(&events)?;
    Ok(Exit::Success)
}

fn read(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).map_err(|e| {
        CtlError::new(
            Exit::Usage,
            format!("{}: cannot read the file: {e}", file.display()),
            "check the path and its permissions",
        )
    })
}

/// Adds the lines of one log that name the request; returns the number of those that cannot be read.
fn collect(request: &str, log: &str, text: &str, events: &mut Vec<TraceEvent>) -> usize {
    let mut unreadable = 0;
    for line in text.lines().filter(|l| !l.trim().is_empty()) {
        // A collector may put its own columns before the object.
        let object = line.find('{').map_or("", |start| &line[start..]);
        match serde_json::from_str::<LogLine>(object) {
            Ok(line) => events.extend(event(request, log, line)),
            Err(_) => unreadable += 1,
        }
    }
    unreadable
}

/// Returns the event of a line if it concerns the request or a call that it made.
fn event(request: &str, log: &str, mut line: LogLine) -> Option<TraceEvent> {
    let named = line.kvs.remove(REQUEST_FIELD)?;
    let named = named.as_str()?;
    let rest = named.strip_prefix(request)?;
    // The id of a nested call continues that of its parent.
    if !rest.is_empty() && !rest.starts_with('.') {
        return None;
    }
    let event = line.kvs.remove(EVENT_FIELD);
    Some(TraceEvent {
        at: line.timestamp,
        log: log.to_owned(),
        request: named.to_owned(),
        event: event.as_ref().and_then(Value::as_str)?.to_owned(),
        message: line.message,
        fields: line.kvs,
    })
}
