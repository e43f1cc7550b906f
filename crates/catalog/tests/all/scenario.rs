//! Runner of the catalog scenarios: one log, any number of readers.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write as _;

use cornelvalve_catalog::{ApplyOutcome, Catalog, Residency, RoutedRequest};
use cornelvalve_model::{LogEntry, Offset, Revision};
use goldenscript::{Command, Context};

use crate::operation::{Result, change, change_id, positional};

#[derive(Default)]
struct Scenario {
    log: Vec<std::result::Result<LogEntry, String>>,
    first_retained: usize,
    readers: BTreeMap<String, Catalog>,
}

impl Scenario {
    fn reader(&mut self, name: &str) -> &mut Catalog {
        self.readers.entry(name.to_owned()).or_default()
    }

    fn push(&mut self, entry: std::result::Result<LogEntry, String>) -> String {
        self.log.push(entry);
        format!("offset {}\n", self.log.len() - 1)
    }

    /// Reads from the next offset, or from the first retained one if retention removed it.
    fn read(&mut self, name: &str, end: usize) -> String {
        let mut out = String::new();
        let mut catalog = self.readers.remove(name).unwrap_or_default();
        let applied = usize::try_from(catalog.next_offset().0).expect("small offset");
        let mut at = applied.max(self.first_retained);
        // A snapshot may send the reader back, each time further ahead than it was.
        let mut steps = (end + 1) * (end + 1);
        while at < end {
            steps = steps.checked_sub(1).expect("the reader makes progress");
            let entry = self.log[at].as_ref().map_err(String::as_str);
            let verdict = catalog.apply(Offset(at as u64), entry);
            let _ = writeln!(out, "{at} {verdict}");
            at = match verdict {
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
            // Appends a snapshot of a reader, optionally with a field falsified.
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
                let entry = self.log[offset].clone();
                let entry = entry.as_ref().map_err(String::as_str);
                let verdict = self.reader(name).apply(Offset(offset as u64), entry);
                format!("{verdict}\n")
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
                    Some(found) => {
                        let route = found.route.map_or("no route", |r| r.name.as_str());
                        format!("{} {route} {}\n", found.service.name, found.class)
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
            // Judges a request that an entry routed by an earlier or later revision.
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

/// Guards against two operators overwriting each other's edit, and against broken references.
#[test]
fn racing_operators() -> Result<()> {
    run("racing-operators")
}

/// Guards against a change that takes effect twice, or late after it was reported as rejected.
#[test]
fn duplicate_changes() -> Result<()> {
    run("duplicate-changes")
}

/// Guards against readers that treat an unusable record differently.
#[test]
fn bad_records() -> Result<()> {
    run("bad-records")
}

/// Guards against a reverted configuration after a paused writer wakes up.
#[test]
fn stale_snapshot() -> Result<()> {
    run("stale-snapshot")
}

/// Guards against a fresh reader that silently misses records.
#[test]
fn retention_gap() -> Result<()> {
    run("retention-gap")
}

/// Guards against a guard that serves what a rule newer than the entry's configuration forbids.
#[test]
fn racing_rules() -> Result<()> {
    run("racing-rules")
}

/// Guards against data that leaves a home region, also by an omitted team or a disguised path.
#[test]
fn residency() -> Result<()> {
    run("residency")
}
