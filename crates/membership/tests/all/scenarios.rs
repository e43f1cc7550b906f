//! Scripted scenarios; see `tests/scenarios`.

use std::error::Error;
use std::fmt::Write as _;
use std::time::Duration;

use cornelvalve_membership::Event;
use cornelvalve_model::{Region, Revision};
use goldenscript::{Command, Context, Runner};

use crate::mesh::Mesh;

struct Script {
    mesh: Mesh,
}

impl Script {
    fn new() -> Self {
        Self { mesh: Mesh::new(7) }
    }

    /// Lists states as one observer sees them.
    fn view(&self, observer: usize) -> String {
        let view = self.mesh.machine(observer);
        let mut members: Vec<_> = view.members().collect();
        members.sort_by(|a, b| a.vm.cmp(&b.vm));
        let mut text = String::new();
        for member in members {
            let start = member.key.incarnation;
            let version = member.key.version;
            writeln!(
                text,
                "{} {} start {start} version {version}",
                member.vm, member.state
            )
            .expect("writing to a string cannot fail");
        }
        text
    }

    fn dispatch(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut next = || args.next_pos().ok_or("argument missing");
        let mut output = String::new();
        match command.name.as_str() {
            "start" => {
                let (name, region, domain) = (next()?, next()?, next()?);
                let index = self.mesh.add(name, region, domain);
                self.mesh.start(index);
            }
            "restart" => self.mesh.start(self.mesh.find(next()?)),
            "crash" => self.mesh.crash(self.mesh.find(next()?)),
            "leaving" => self.mesh.event(self.mesh.find(next()?), Event::Leave),
            "leave" => self.mesh.leave(self.mesh.find(next()?)),
            "pause" => {
                let index = self.mesh.find(next()?);
                self.mesh.daemons[index].paused = true;
            }
            "wake" => self.mesh.wake(self.mesh.find(next()?)),
            "cut" => {
                let region = Region::new(next()?)?;
                let all = self.mesh.daemons.iter().enumerate();
                let inside = all.filter(|(_, d)| d.record.region == region);
                self.mesh.cut = inside.map(|(i, _)| i).collect();
            }
            "heal" => self.mesh.cut.clear(),
            "run" => self.mesh.run(Duration::from_secs(next()?.parse()?)),
            "view" => output = self.view(self.mesh.find(next()?)),
            "reachable" => {
                let view = self.mesh.machine(self.mesh.find(next()?));
                output = format!("{}\n", view.is_region_reachable(&Region::new(next()?)?));
            }
            "revision" => {
                let index = self.mesh.find(next()?);
                let revision = Revision(next()?.parse()?);
                self.mesh.event(index, Event::SetRevision(revision));
                self.mesh.event(index, Event::NotifyRevision);
            }
            "agree" => output = self.agreement(),
            "changes" => output = self.changes(self.mesh.find(next()?)),
            other => return Err(format!("unknown command {other}").into()),
        }
        Ok(output)
    }

    fn agreement(&self) -> String {
        match self.mesh.disagreement() {
            None => "all agree\n".to_owned(),
            Some(difference) => format!("{difference}\n"),
        }
    }

    /// Reports what one daemon told its owner since the last call, without repetitions.
    fn changes(&mut self, observer: usize) -> String {
        let actions = std::mem::take(&mut self.mesh.actions);
        let own = actions.into_iter().filter(|(index, _)| *index == observer);
        let mut lines: Vec<String> = own.map(|(_, action)| format!("{action:?}\n")).collect();
        lines.dedup();
        lines.concat()
    }
}

impl Runner for Script {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        self.dispatch(command)
    }
}

fn run(name: &str) {
    let path = format!("tests/scenarios/{name}");
    goldenscript::run(&mut Script::new(), path).expect("scenario failed");
}

/// Guards against members that do not hear of each other.
#[test]
fn join() {
    run("join");
}

/// Guards against a crash that stays unnoticed, and against a restart that is taken for the
/// earlier process.
#[test]
fn crash_and_restart() {
    run("crash_and_restart");
}

/// Guards against a planned leave that is late or is undone by stale news.
#[test]
fn leave() {
    run("leave");
}

/// Guards against members declared dead because their region cannot be reached.
#[test]
fn region_cut() {
    run("region_cut");
}

/// Guards against a process that wakes and declares everyone dead, and against one that stays
/// dead after it woke.
#[test]
fn pause() {
    run("pause");
}

/// Guards against a revision that peers do not learn of.
#[test]
fn revision() {
    run("revision");
}
