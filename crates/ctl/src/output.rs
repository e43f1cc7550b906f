//! Writes results, errors and notes, as text for people or as JSON.

use std::io::Write;

use clap::ArgMatches;
use cornelvalve_api::{
    Explanation, InForceReport, LeaveReport, MemberReport, PublishReport, Status, TimelineEvent,
};
use cornelvalve_model::{Change, VersionedEntry};
use serde::Serialize;

use crate::trace::TraceEvent;
use crate::{CtlError, Exit, Result};

mod human;

/// Output streams of a command and the format in which it writes to them.
pub(crate) struct Output<'a> {
    json: bool,
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
}

/// JSON form of a published change.
#[derive(Serialize)]
struct Published<'a> {
    change_id: String,
    report: &'a PublishReport,
}

/// JSON form of an error.
#[derive(Serialize)]
struct Failure<'a> {
    kind: Exit,
    message: &'a str,
    remedy: &'a str,
}

impl<'a> Output<'a> {
    /// Returns the output in the format that the command line names.
    pub(crate) fn new(
        matches: &ArgMatches,
        out: &'a mut dyn Write,
        err: &'a mut dyn Write,
    ) -> Self {
        let json = matches
            .get_one::<String>("output")
            .is_some_and(|f| f == "json");
        Self { json, out, err }
    }

    /// Writes bytes unchanged to the output stream.
    pub(crate) fn write_bytes(&mut self, bytes: &[u8]) -> Result<()> {
        Ok(self.out.write_all(bytes)?)
    }

    /// Writes a note, which is not part of the result, to the error stream.
    pub(crate) fn write_note(&mut self, text: &str) -> Result<()> {
        Ok(writeln!(self.err, "note: {text}")?)
    }

    /// Writes an error to the error stream and returns the exit status.
    pub(crate) fn write_error(&mut self, error: &CtlError) -> Exit {
        let failure = Failure {
            kind: error.exit,
            message: &error.message,
            remedy: &error.remedy,
        };
        // If the error stream is closed, only the exit code can report the error.
        let _ = if self.json {
            write_json(self.err, &failure)
        } else {
            human::write_error(self.err, error)
        };
        error.exit
    }

    /// Writes a change that was published and how far it got.
    pub(crate) fn write_published(
        &mut self,
        change: &Change,
        report: &PublishReport,
    ) -> Result<()> {
        if self.json {
            let published = Published {
                change_id: change.id.to_string(),
                report,
            };
            return Ok(write_json(self.out, &published)?);
        }
        Ok(human::write_published(self.out, change, report)?)
    }

    pub(crate) fn write_entries(&mut self, entries: &[VersionedEntry]) -> Result<()> {
        self.write_value(entries, human::write_entries)
    }

    pub(crate) fn write_status(&mut self, status: &Status) -> Result<()> {
        self.write_value(status, human::write_status)
    }

    pub(crate) fn write_members(&mut self, members: &[MemberReport]) -> Result<()> {
        self.write_value(members, human::write_members)
    }

    pub(crate) fn write_in_force(&mut self, report: &InForceReport) -> Result<()> {
        self.write_value(report, human::write_in_force)
    }

    pub(crate) fn write_timeline(&mut self, events: &[TimelineEvent]) -> Result<()> {
        self.write_value(events, human::write_timeline)
    }

    pub(crate) fn write_leave_reports(&mut self, reports: &[LeaveReport]) -> Result<()> {
        self.write_value(reports, human::write_leave_reports)
    }

    pub(crate) fn write_explanation(&mut self, explanation: &Explanation) -> Result<()> {
        self.write_value(explanation, human::write_explanation)
    }

    pub(crate) fn write_trace(&mut self, events: &[TraceEvent]) -> Result<()> {
        self.write_value(events, human::write_trace)
    }

    /// Writes a result as JSON or, with `write_human`, as text.
    fn write_value<T: Serialize + ?Sized>(
        &mut self,
        value: &T,
        write_human: fn(&mut dyn Write, &T) -> std::io::Result<()>,
    ) -> Result<()> {
        if self.json {
            return Ok(write_json(self.out, value)?);
        }
        Ok(write_human(self.out, value)?)
    }
}

fn write_json<T: Serialize + ?Sized>(out: &mut dyn Write, value: &T) -> std::io::Result<()> {
    serde_json::to_writer_pretty(&mut *out, value)?;
    writeln!(out)
}
