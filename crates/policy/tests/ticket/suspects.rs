//! Runs the scenario files under `tests/scenarios/suspect`.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;
use std::time::Duration;

use cornelvalve_model::{Fingerprint, Moment, Region};
use cornelvalve_policy::{HomeRegions, SharedSuspect, StartDecision, SuspectList, SuspectSettings};
use goldenscript::{Command, Context, Runner};

/// Commands of the scenarios; the first argument is the daemon, the second the request.
#[derive(Command)]
enum Step {
    /// Creates the list of a daemon in a region.
    List(
        String,
        #[arg(key = "region")] String,
        #[arg(key = "max")] Option<usize>,
    ),
    /// Asks to start a request beside a number of others.
    Start(String, String, usize),
    /// The upstream dies while one or two requests run.
    Crash(
        String,
        String,
        Option<String>,
        #[arg(key = "home")] Option<String>,
    ),
    /// The upstream answers.
    Succeed(String, String),
    /// The request ends without an answer.
    Release(String, String),
    /// Prints what a daemon may tell a region, up to a limit.
    Export(String, String, usize),
    /// Sends an export for a region to another daemon.
    Forward(String, String, String),
    /// Advances the clock by milliseconds.
    Advance(u64),
    /// Removes expired suspects.
    Tick(String),
}

struct Scenario {
    lists: BTreeMap<String, SuspectList>,
    names: BTreeMap<Fingerprint, String>,
    now: Moment,
}

impl Scenario {
    fn list(&mut self, daemon: &str) -> &mut SuspectList {
        self.lists.get_mut(daemon).expect("listed daemon")
    }

    fn fingerprint(&mut self, request: &str) -> Fingerprint {
        let fingerprint = Fingerprint::of(&[request.as_bytes()]);
        self.names.insert(fingerprint, request.to_owned());
        fingerprint
    }

    fn describe(&self, suspect: &SharedSuspect) -> String {
        let name = &self.names[&suspect.fingerprint];
        let regions = match &suspect.regions {
            HomeRegions::Any => "any".to_owned(),
            HomeRegions::Only(regions) => format!("{regions:?}"),
        };
        let SharedSuspect { count, age_s, .. } = suspect;
        format!("{name} count {count} age {age_s} s regions {regions}")
    }

    fn export(&mut self, daemon: &str, to: &str, limit: usize) -> Vec<SharedSuspect> {
        let now = self.now;
        self.list(daemon).export(&region(to), limit, now)
    }

    fn add(&mut self, daemon: &str, home: &str, max: Option<usize>) -> String {
        let settings = SuspectSettings {
            max_suspects: max.unwrap_or(16),
            ..SuspectSettings::default()
        };
        let list = SuspectList::new(settings, region(home));
        self.lists.insert(daemon.to_owned(), list);
        String::new()
    }

    fn start(&mut self, daemon: &str, request: &str, running: usize) -> String {
        let (fingerprint, now) = (self.fingerprint(request), self.now);
        match self.list(daemon).try_start(fingerprint, running, now) {
            StartDecision::Run => format!("{request}: run"),
            StartDecision::Hold => format!("{request}: hold"),
            StartDecision::Refuse(refusal) => format!("{request}: refuse {refusal}"),
        }
    }

    fn crash(&mut self, daemon: &str, requests: &[&String], home: Option<&String>) -> String {
        let regions = match home {
            Some(home) => HomeRegions::Only([region(home)].into_iter().collect()),
            None => HomeRegions::Any,
        };
        let running: Vec<(Fingerprint, HomeRegions)> = requests
            .iter()
            .map(|request| (self.fingerprint(request), regions.clone()))
            .collect();
        let now = self.now;
        self.list(daemon).record_crash(&running, now);
        String::new()
    }

    fn held(&mut self, daemon: &str) -> String {
        format!("{daemon} holds {}", self.list(daemon).len())
    }

    fn apply(&mut self, step: &Step) -> String {
        let now = self.now;
        match step {
            Step::List(daemon, home, max) => return self.add(daemon, home, *max),
            Step::Start(daemon, request, running) => return self.start(daemon, request, *running),
            Step::Crash(daemon, first, second, home) => {
                let requests: Vec<&String> = std::iter::once(first).chain(second).collect();
                return self.crash(daemon, &requests, home.as_ref());
            }
            Step::Succeed(daemon, request) => {
                let fingerprint = self.fingerprint(request);
                self.list(daemon).record_success(fingerprint);
            }
            Step::Release(daemon, request) => {
                let fingerprint = self.fingerprint(request);
                self.list(daemon).record_no_answer(fingerprint);
            }
            Step::Export(daemon, to, limit) => {
                let found = self.export(daemon, to, *limit);
                let lines: Vec<String> = found.iter().map(|s| self.describe(s)).collect();
                return format!("{daemon} tells {to}: [{}]", lines.join("; "));
            }
            Step::Forward(daemon, to, receiver) => {
                let found = self.export(daemon, to, usize::MAX);
                self.list(receiver).merge(&found, now);
                return self.held(receiver);
            }
            Step::Advance(millis) => self.now = now + Duration::from_millis(*millis),
            Step::Tick(daemon) => {
                self.list(daemon).tick(now);
                return self.held(daemon);
            }
        }
        String::new()
    }
}

fn region(name: &str) -> Region {
    Region::new(name).expect("valid name")
}

impl Runner for Scenario {
    type Command = Step;

    fn run(&mut self, step: &Step, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut output = self.apply(step);
        if !output.is_empty() {
            writeln!(output)?;
        }
        Ok(output)
    }
}

fn run(name: &str) {
    let mut scenario = Scenario {
        lists: BTreeMap::new(),
        names: BTreeMap::new(),
        now: Moment::from_millis(1_000),
    };
    goldenscript::run(&mut scenario, format!("tests/scenarios/suspect/{name}"))
        .expect("readable scenario");
}

/// Guards against a request that crashes upstream after upstream.
#[test]
fn second_crash() {
    run("second-crash");
}

/// Guards against suspects told to regions that the residency rules exclude, and against counts
/// and ages that grow by sharing alone.
#[test]
fn shared() {
    run("shared");
}

/// Guards against a list that grows without bound or drops its strongest suspects.
#[test]
fn bounded() {
    run("bounded");
}
