//! Scenario tests of the catalog, with one log and any number of readers.
//!
//! Each command of a scenario appends records, lets readers apply them or looks something up. Its
//! output is the result.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;

use cornelvalve_catalog::{ApplyOutcome, Catalog, Residency, RoutedRequest};
use cornelvalve_model::{LogEntry, Offset, Revision};
use goldenscript::{Command, Context};

use crate::operation::{Result, change, change_id, positional};

#[derive(Default)]
struct Scenario {
    /// Decoded records, or the reasons why they cannot be decoded.
    log: Vec<std::result::Result<LogEntry, String>>,
    first_retained: usize,
    /// Catalogs that read the log, by name.
    readers: BTreeMap<String, Catalog>,
}

impl Scenario {
    /// Returns the reader with a name; a new one if there is none.
    fn reader(&mut self, name: &str) -> &mut Catalog {
        self.readers.entry(name.to_owned()).or_default()
    }

    /// Appends a record and returns its offset as text.
    fn push(&mut self, record: std::result::Result<LogEntry, String>) -> String {
        self.log.push(record);
        format!("offset {}\n", self.log.len() - 1)
    }

    /// Lets a reader apply records up to `end` and returns the outcomes.
    ///
    /// It starts at its next offset, or at the first retained one if retention has removed that.
    fn read(&mut self, name: &str, end: usize) -> String {
        let mut out = String::new();
        let mut catalog = self.readers.remove(name).unwrap_or_default();
        let applied = usize::try_from(catalog.next_offset().0).expect("small offset");
        let mut at = applied.max(self.first_retained);
        // A snapshot may move the reader back, but each one to a higher offset than before, so
        // there are at most `end + 1` passes of `end + 1` steps.
        let mut steps = (end + 1) * (end + 1);
        while at < end {
            steps = steps.checked_sub(1).expect("reader makes no progress");
            let record = self.log[at].as_ref().map_err(String::as_str);
            let outcome = catalog.apply(Offset(at as u64), record);
            let _ = writeln!(out, "{at} {outcome}");
            at = match outcome {
                ApplyOutcome::SnapshotRestored { next } => {
                    usize::try_from(next.0).expect("small offset")
                }
                _ => at + 1,
            };
            if at < self.first_retained {
                let _ = writeln!(out, "{at} is not retained");
                at = self.first_retained;
            }
        }
        self.readers.insert(name.to_owned(), catalog);
        out
    }

    /// Returns the position, the entries and the bad records of a reader as text.
    fn show(&mut self, name: &str) -> String {
        let catalog = self.reader(name);
        let mut out = format!(
            "next {} revision {}\n",
            catalog.next_offset(),
            catalog.revision()
        );
        for entry in catalog.entries() {
            let _ = writeln!(out, "{} @{}", entry.operation.target(), entry.revision);
        }
        for bad in catalog.bad_records() {
            let _ = writeln!(out, "bad record {}: {}", bad.offset, bad.reason);
        }
        out
    }
}

impl goldenscript::Runner for Scenario {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _context: &Context,
    ) -> std::result::Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let out = match command.name.as_str() {
            "append" => {
                let change = change(&mut args)?;
                self.push(Ok(LogEntry::Change(change)))
            }
            "bad" => {
                let reason = positional(&mut args, "reason")?.to_owned();
                self.push(Err(reason))
            }
            // Appends a snapshot of a reader. To make it inconsistent, `covers=OFFSET` replaces the
            // covered offset and `drop=1` removes the first entry.
            "snapshot" => {
                let mut snapshot = self.reader(positional(&mut args, "reader")?).snapshot();
                if let Some(covers) = args.take_key("covers") {
                    snapshot.covers = Offset(covers.parse()?);
                }
                if args.take_key("drop").is_some() {
                    snapshot.entries.remove(0);
                }
                self.push(Ok(LogEntry::Snapshot(snapshot)))
            }
            "retain" => {
                self.first_retained = positional(&mut args, "offset")?.parse()?;
                String::new()
            }
            "read" => {
                let name = positional(&mut args, "reader")?;
                let end = args.take_key("to").map(str::parse).transpose()?;
                self.read(name, end.unwrap_or(self.log.len()))
            }
            "reapply" => {
                let name = positional(&mut args, "reader")?;
                let offset: usize = positional(&mut args, "offset")?.parse()?;
                let record = self.log[offset].clone();
                let record = record.as_ref().map_err(String::as_str);
                let outcome = self.reader(name).apply(Offset(offset as u64), record);
                format!("{outcome}\n")
            }
            "show" => self.show(positional(&mut args, "reader")?),
            "equal" => {
                let one = self.reader(positional(&mut args, "reader")?).snapshot();
                let other = self.reader(positional(&mut args, "reader")?).snapshot();
                format!("{}\n", one == other)
            }
            "verdict" => {
                let catalog = self.reader(positional(&mut args, "reader")?);
                match catalog.verdict_of(change_id(positional(&mut args, "id")?)) {
                    Some(verdict) => format!("{verdict}\n"),
                    None => "not applied\n".to_owned(),
                }
            }
            "resolve" => {
                let catalog = self.reader(positional(&mut args, "reader")?);
                let host = positional(&mut args, "host")?;
                let path = positional(&mut args, "path")?;
                match catalog.resolve(host, path, args.next_pos().unwrap_or("GET")) {
                    Some(matched) => {
                        let route = matched.route.map_or("no route", |r| r.name.as_str());
                        format!("{} {route} {}\n", matched.service.name, matched.class)
                    }
                    None => "no service\n".to_owned(),
                }
            }
            "residency" => {
                let catalog = self.reader(positional(&mut args, "reader")?);
                let service = positional(&mut args, "service")?.parse()?;
                let team = args.take_key("team").map(str::parse).transpose()?;
                let route = args.take_key("route").map(str::parse).transpose()?;
                let residency = match catalog.residency(team.as_ref(), &service, route.as_ref()) {
                    Residency::Anywhere => "anywhere".to_owned(),
                    Residency::Nowhere => "nowhere".to_owned(),
                    Residency::Regions(regions) => format!("{regions:?}"),
                };
                let required = catalog.requires_team(&service);
                format!("{residency}, team required: {required}\n")
            }
            // Checks whether a region may serve a request that was routed by a given revision.
            "guard" => {
                let catalog = self.reader(positional(&mut args, "reader")?);
                let region = positional(&mut args, "region")?.parse()?;
                let service = positional(&mut args, "service")?.parse()?;
                let revision = positional(&mut args, "revision")?.parse()?;
                let team = args.take_key("team").map(str::parse).transpose()?;
                let route = args.take_key("route").map(str::parse).transpose()?;
                let routed = RoutedRequest {
                    team: team.as_ref(),
                    service: &service,
                    route: route.as_ref(),
                    revision: Revision(revision),
                };
                match catalog.refusal_reason(&routed, &region) {
                    Some(reason) => format!("{reason}\n"),
                    None => "serve\n".to_owned(),
                }
            }
            "domain" => {
                let catalog = self.reader(positional(&mut args, "reader")?);
                let state = catalog.domain_state(&positional(&mut args, "domain")?.parse()?);
                format!("{state}\n")
            }
            other => return Err(format!("unknown command {other}").into()),
        };
        args.reject_next()?;
        Ok(out)
    }
}

fn run(name: &str) -> Result<()> {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios/catalog");
    goldenscript::run(&mut Scenario::default(), format!("{dir}/{name}"))?;
    Ok(())
}

/// Guards against operators that overwrite each other's changes, and against entries that refer to
/// missing ones.
#[test]
fn racing_operators() -> Result<()> {
    run("racing-operators")
}

/// Guards against a change that takes effect twice, or after it was reported as rejected.
#[test]
fn duplicate_changes() -> Result<()> {
    run("duplicate-changes")
}

/// Guards against readers whose states differ after a record that cannot be decoded or applied.
#[test]
fn bad_records() -> Result<()> {
    run("bad-records")
}

/// Guards against a reader that goes back to an old configuration because a paused daemon appends
/// an outdated snapshot.
#[test]
fn stale_snapshot() -> Result<()> {
    run("stale-snapshot")
}

/// Guards against a new reader that silently skips records removed by retention.
#[test]
fn retention_gap() -> Result<()> {
    run("retention-gap")
}

/// Guards against a request that is served in a region although a residency rule forbids it,
/// because the daemon that routed the request had a configuration without the rule.
#[test]
fn racing_rules() -> Result<()> {
    run("racing-rules")
}

/// Guards against data that leaves its home region, also if a request omits its team or its path is
/// percent-encoded to evade a route.
#[test]
fn residency() -> Result<()> {
    run("residency")
}
