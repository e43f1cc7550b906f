//! Output for people and for programs.

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

/// Where results go and in which form.
pub(crate) struct Output<'a> {
    json: bool,
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
}

#[derive(Serialize)]
struct Published<'a> {
    change_id: String,
    report: &'a PublishReport,
}

#[derive(Serialize)]
struct Failure<'a> {
    kind: Exit,
    message: &'a str,
    remedy: &'a str,
}

impl<'a> Output<'a> {
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

    /// Writes bytes as they are.
    pub(crate) fn raw(&mut self, bytes: &[u8]) -> Result<()> {
        Ok(self.out.write_all(bytes)?)
    }

    /// Writes a note that is no part of the result.
    pub(crate) fn note(&mut self, text: &str) -> Result<()> {
        Ok(writeln!(self.err, "note: {text}")?)
    }

    /// Writes an error and returns how the process ends.
    pub(crate) fn fail(&mut self, error: &CtlError) -> Exit {
        let failure = Failure {
            kind: error.exit,
            message: &error.message,
            remedy: &error.remedy,
        };
        // Nothing is left to report to if this stream is closed too; the exit code remains.
        let _ = if self.json {
            write_json(self.err, &failure)
        } else {
            human::failure(self.err, error)
        };
        error.exit
    }

    pub(crate) fn published(&mut self, change: &Change, report: &PublishReport) -> Result<()> {
        if self.json {
            let published = Published {
                change_id: change.id.to_string(),
                report,
            };
            return Ok(write_json(self.out, &published)?);
        }
        Ok(human::published(self.out, change, report)?)
    }

    pub(crate) fn entries(&mut self, entries: &[VersionedEntry]) -> Result<()> {
        self.write(entries, human::entries)
    }

    pub(crate) fn status(&mut self, status: &Status) -> Result<()> {
        self.write(status, human::status)
    }

    pub(crate) fn members(&mut self, members: &[MemberReport]) -> Result<()> {
        self.write(members, human::members)
    }

    pub(crate) fn in_force(&mut self, report: &InForceReport) -> Result<()> {
        self.write(report, human::in_force)
    }

    pub(crate) fn timeline(&mut self, events: &[TimelineEvent]) -> Result<()> {
        self.write(events, human::timeline)
    }

    pub(crate) fn left(&mut self, reports: &[LeaveReport]) -> Result<()> {
        self.write(reports, human::left)
    }

    pub(crate) fn explanation(&mut self, explanation: &Explanation) -> Result<()> {
        self.write(explanation, human::explanation)
    }

    pub(crate) fn trace(&mut self, events: &[TraceEvent]) -> Result<()> {
        self.write(events, human::trace)
    }

    fn write<T: Serialize + ?Sized>(
        &mut self,
        value: &T,
        human: fn(&mut dyn Write, &T) -> std::io::Result<()>,
    ) -> Result<()> {
        if self.json {
            return Ok(write_json(self.out, value)?);
        }
        Ok(human(self.out, value)?)
    }
}

fn write_json<T: Serialize + ?Sized>(out: &mut dyn Write, value: &T) -> std::io::Result<()> {
    serde_json::to_writer_pretty(&mut *out, value)?;
    writeln!(out)
}
