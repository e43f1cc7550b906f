//! Runs the scripted scenarios in `tests/scenarios` and compares their output with the expected
//! one.

use std::error::Error;
use std::fmt::Write as _;
use std::time::Duration;

use cornelvalve_membership::Event;
use cornelvalve_model::{Region, Revision};
use goldenscript::{Command, Context, Runner};

use crate::mesh::Mesh;

/// Executes the commands of a scenario on a simulated mesh.
struct Script {
    mesh: Mesh,
}

impl Script {
    fn new() -> Self {
        Self { mesh: Mesh::new(7) }
    }

    /// Returns the records of all members as one daemon has them.
    fn view(&self, observer: usize) -> String {
        let view = self.mesh.membership(observer);
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
            "restart" => self.mesh.start(self.mesh.index_of(next()?)),
            "crash" => self.mesh.crash(self.mesh.index_of(next()?)),
            "leaving" => self
                .mesh
                .handle_event(self.mesh.index_of(next()?), Event::Leave),
            "leave" => self.mesh.stop_gracefully(self.mesh.index_of(next()?)),
            "pause" => {
                let index = self.mesh.index_of(next()?);
                self.mesh.daemons[index].paused = true;
            }
            "wake" => self.mesh.wake(self.mesh.index_of(next()?)),
            "cut" => {
                let region = Region::new(next()?)?;
                let all = self.mesh.daemons.iter().enumerate();
                let inside = all.filter(|(_, d)| d.record.region == region);
                self.mesh.partition = inside.map(|(i, _)| i).collect();
            }
            "heal" => self.mesh.partition.clear(),
            "run" => self.mesh.run_for(Duration::from_secs(next()?.parse()?)),
            "view" => output = self.view(self.mesh.index_of(next()?)),
            "reachable" => {
                let view = self.mesh.membership(self.mesh.index_of(next()?));
                output = format!("{}\n", view.is_region_reachable(&Region::new(next()?)?));
            }
            "revision" => {
                let index = self.mesh.index_of(next()?);
                let revision = Revision(next()?.parse()?);
                self.mesh
                    .handle_event(index, Event::SetRevision(revision.into()));
                self.mesh.handle_event(index, Event::NotifyRevision);
            }
            "agree" => output = self.agreement(),
            "changes" => output = self.changes(self.mesh.index_of(next()?)),
            other => return Err(format!("unknown command {other}").into()),
        }
        Ok(output)
    }

    /// Returns whether all running daemons agree, and otherwise the first difference.
    fn agreement(&self) -> String {
        match self.mesh.disagreement() {
            None => "all agree\n".to_owned(),
            Some(difference) => format!("{difference}\n"),
        }
    }

    /// Returns the actions of one daemon since the last call other than sends, without repetitions.
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

/// Guards against members that know only the seeds, or only their own region, after they joined.
#[test]
fn join() {
    run("join");
}

/// Guards against a crash that is not detected, and against a restarted process that is mistaken
/// for the earlier one.
#[test]
fn crash_and_restart() {
    run("crash_and_restart");
}

/// Guards against a planned departure that is announced late or reverted by stale updates.
#[test]
fn leave() {
    run("leave");
}

/// Guards against members that are declared dead because their region is unreachable.
#[test]
fn region_cut() {
    run("region_cut");
}

/// Guards against a process that declares other members dead after it was paused, and against one
/// that remains dead after the pause has ended.
#[test]
fn pause() {
    run("pause");
}

/// Guards against a revision notice that is not sent, or that a peer does not report to its owner.
#[test]
fn revision() {
    run("revision");
}
