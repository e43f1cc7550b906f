//! One run: starts everything, carries out the plan and checks.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use cornelvalve_standins::{
    PlatformStoreHandle, ReceivedRequest, RouteConfig, StoreMode, TargetMode, desired_state,
};
use derive_more::{Display, Error, From};
use rustix::process::Signal;
use serde_json::Value;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::callers::{Caller, Seen};
use crate::checks::{Left, Violation, check};
use crate::daemon::{CALLER_PORT, Daemon, Spot};
use crate::plan::{Fault, Step, TargetFault, plan};
use crate::proxy::LinkState;

/// Result alias of this module.
pub(crate) type Result<T> = std::result::Result<T, SoakError>;

/// Longest wait until all daemons serve.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after the last fault in which the system recovers.
const SETTLE: Duration = Duration::from_secs(6);

/// Time after that in which requests must be served.
const CALM: Duration = Duration::from_secs(2);

/// Time in which a stopping process ends, above its grace time.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Time from the confirmation of a target's leaving to the moment after which nothing may reach it.
const DRAIN_TIME: Duration = Duration::from_millis(2500);

/// Period of check-ins.
const CHECK_IN_PERIOD: Duration = Duration::from_millis(500);

/// Share of requests that must be served when all faults have ended.
const CALM_SHARE: f64 = 0.95;

/// Numbers the runs of this process, so that their loopback addresses differ.
static RUNS: AtomicU8 = AtomicU8::new(1);

/// Reports that the soak itself could not go on.
#[derive(Debug, Display, Error, From)]
pub enum SoakError {
    /// A call of the operating system failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A process did not end after SIGTERM.
    #[display("daemon {_0} did not end in time after SIGTERM")]
    #[from(ignore)]
    Stuck(#[error(not(source))] u8),
    /// The daemons did not serve before the first fault.
    #[display("the daemons did not serve in time before the first fault")]
    #[from(ignore)]
    NoStart,
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the plan.
    pub seed: u64,
    /// Time in which faults begin.
    pub length: Duration,
    /// Number of daemons.
    pub daemons: u8,
    /// The daemon program.
    pub program: PathBuf,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Faults that were injected.
    pub faults: usize,
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests that were answered with success.
    pub served: usize,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Folder with settings and logs, kept if a promise was broken.
    pub folder: Option<PathBuf>,
}

struct Soak {
    store: PlatformStoreHandle,
    daemons: Vec<Daemon>,
    version: u64,
    targets: u32,
    /// Arrivals at targets that were replaced.
    arrivals: Vec<(String, ReceivedRequest)>,
    left: Vec<Left>,
    violations: Vec<Violation>,
    /// What is to be undone, and when.
    undo: Vec<(Instant, usize, Undo)>,
}

#[derive(Clone, Copy, Debug)]
enum Undo {
    Resume,
    TargetLink,
    StoreLink,
    Store,
    Target,
    Slow,
    DomainOut,
    Spawn,
}

/// Runs one seed.
///
/// # Errors
///
/// Returns [`SoakError`] if the soak itself could not go on; broken promises are in the report.
pub async fn run(options: &Options) -> std::result::Result<Report, SoakError> {
    let folder = tempfile::Builder::new().prefix("soak-").tempdir()?;
    let number = RUNS.fetch_add(1, Ordering::SeqCst);
    let process = u8::try_from(std::process::id() % 200).unwrap_or_default();
    let net = (30 + process, number);
    let store = PlatformStoreHandle::start().await?;
    store.put_desired_state(&desired(1));
    let mut daemons = Vec::new();
    for index in 1..=options.daemons {
        let spot = spot(index);
        let daemon = Daemon::start(spot, net, folder.path(), &options.program, store.addr());
        daemons.push(daemon.await?);
    }
    let mut soak = Soak {
        store,
        daemons,
        version: 1,
        targets: 1,
        arrivals: Vec::new(),
        left: Vec::new(),
        violations: Vec::new(),
        undo: Vec::new(),
    };
    soak.wait_until_serving().await?;
    let (stop, stopped) = watch::channel(false);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let mut callers = JoinSet::new();
    for (index, daemon) in soak.daemons.iter().enumerate() {
        for number in 0..2 {
            let caller = Caller {
                name: format!("s{}-d{index}-c{number}", options.seed),
                addr: daemon.addr(CALLER_PORT),
                seen: sender.clone(),
                stop: stopped.clone(),
            };
            callers.spawn(caller.run());
        }
    }
    drop(sender);
    let steps = plan(options.seed, soak.daemons.len(), options.length);
    soak.inject(&steps, options.length).await?;
    soak.idle_until(Instant::now() + SETTLE).await?;
    let calm = Instant::now();
    soak.idle_until(calm + CALM).await?;
    soak.check_daemons().await;
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    let mut seen = Vec::new();
    while let Some(request) = receiver.recv().await {
        seen.push(request);
    }
    soak.report(&seen, calm, steps.len(), folder).await
}

fn spot(index: u8) -> Spot {
    Spot {
        index,
        service: "one",
        domain: if index.is_multiple_of(2) {
            "east-a"
        } else {
            "east-b"
        },
    }
}

fn desired(version: u64) -> Value {
    let route = |name, idempotent| RouteConfig {
        name,
        idempotent,
        service: "one",
        timeout_s: 2.0,
    };
    desired_state(version, &[route("read", true), route("file", false)])
}

impl Soak {
    async fn wait_until_serving(&mut self) -> Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        let members = format!("cornelvalve_members {}", self.daemons.len());
        for daemon in &mut self.daemons {
            while !(daemon.is_ready().await && daemon.metrics().await.contains(&members)) {
                if Instant::now() > end {
                    return Err(SoakError::NoStart);
                }
                daemon.check_in("ready").await;
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn inject(&mut self, steps: &[Step], length: Duration) -> Result<()> {
        let begun = Instant::now();
        for step in steps {
            self.idle_until(begun + step.at).await?;
            self.begin(*step).await?;
        }
        self.idle_until(begun + length).await?;
        while let Some(due) = self.undo.iter().map(|u| u.0).max() {
            self.idle_until(due).await?;
        }
        Ok(())
    }

    /// Waits, sends check-ins and ends faults meanwhile.
    async fn idle_until(&mut self, end: Instant) -> Result<()> {
        loop {
            self.end_faults(Instant::now())?;
            if Instant::now() >= end {
                return Ok(());
            }
            for daemon in &mut self.daemons {
                if daemon.has_ended() {
                    let daemon = daemon.spot.index;
                    self.violations.push(Violation::EndedAlone { daemon });
                } else if !daemon.paused {
                    daemon.check_in("ready").await;
                }
            }
            let due = self.undo.iter().map(|u| u.0).min().unwrap_or(end);
            let next = Instant::now() + CHECK_IN_PERIOD;
            sleep_until(next.min(due).min(end)).await;
        }
    }

    async fn begin(&mut self, step: Step) -> Result<()> {
        let now = Instant::now();
        let Some(daemon) = self.daemons.get_mut(step.daemon) else {
            return Ok(());
        };
        let mut undo = |after: Duration, what| self.undo.push((now + after, step.daemon, what));
        match step.fault {
            Fault::Kill => {
                daemon.signal(Signal::KILL)?;
                daemon.wait(STOP_TIMEOUT).await?;
                undo(Duration::from_millis(300), Undo::Spawn);
            }
            Fault::Stop => {
                daemon.signal(Signal::CONT)?;
                daemon.signal(Signal::TERM)?;
                daemon.wait(STOP_TIMEOUT).await?;
                undo(Duration::from_millis(300), Undo::Spawn);
            }
            Fault::Pause(span) => {
                daemon.signal(Signal::STOP)?;
                undo(span, Undo::Resume);
            }
            Fault::KillAll => {
                for (index, daemon) in self.daemons.iter_mut().enumerate() {
                    daemon.signal(Signal::KILL)?;
                    daemon.wait(STOP_TIMEOUT).await?;
                    let again = now + Duration::from_millis(500);
                    self.undo.push((again, index, Undo::Spawn));
                }
            }
            Fault::TargetLink(state, span) => {
                daemon.target_link.set(state);
                undo(span, Undo::TargetLink);
            }
            Fault::StoreLink(state, span) => {
                daemon.store_link.set(state);
                undo(span, Undo::StoreLink);
            }
            Fault::StoreDown(span) => {
                self.store.set_mode(StoreMode::Refusing(503));
                undo(span, Undo::Store);
            }
            Fault::StoreCompact => self.store.compact(),
            Fault::Target(fault, span) => {
                daemon.target.set_mode(mode(fault));
                undo(span, Undo::Target);
            }
            Fault::Slow(span) => {
                daemon.target.set_slowdown(700);
                undo(span, Undo::Slow);
            }
            Fault::Replace => self.replace(step.daemon).await?,
            Fault::Desired => {
                self.version += 1;
                self.store.put_desired_state(&desired(self.version));
            }
            Fault::DomainOut(span) => {
                self.store.set_domain_out("east-a", true);
                undo(span, Undo::DomainOut);
            }
        }
        Ok(())
    }

    /// Lets a target announce that it leaves and puts another one in its place.
    async fn replace(&mut self, index: usize) -> Result<()> {
        self.targets += 1;
        let number = self.targets;
        let Some(daemon) = self.daemons.get_mut(index) else {
            return Ok(());
        };
        if daemon.paused || !daemon.check_in("draining").await {
            return Ok(());
        }
        let left = Left {
            instance: daemon.instance.clone(),
            after: Instant::now() + DRAIN_TIME,
        };
        sleep_until(left.after + Duration::from_millis(500)).await;
        let arrivals = daemon.target.received_requests().await;
        let instance = daemon.instance.clone();
        daemon.replace_target(number).await?;
        self.arrivals
            .extend(arrivals.into_iter().map(|a| (instance.clone(), a)));
        self.left.push(left);
        Ok(())
    }

    fn end_faults(&mut self, now: Instant) -> Result<()> {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.undo)
            .into_iter()
            .partition(|u| u.0 <= now);
        self.undo = later;
        for (_, index, what) in due {
            let Some(daemon) = self.daemons.get_mut(index) else {
                continue;
            };
            match what {
                Undo::Resume => daemon.signal(Signal::CONT)?,
                Undo::TargetLink => daemon.target_link.set(LinkState::Open),
                Undo::StoreLink => daemon.store_link.set(LinkState::Open),
                Undo::Store => self.store.set_mode(StoreMode::Serving),
                Undo::Target => daemon.target.set_mode(TargetMode::Serving),
                Undo::Slow => daemon.target.set_slowdown(100),
                Undo::DomainOut => self.store.set_domain_out("east-a", false),
                Undo::Spawn if daemon.is_running() => {}
                Undo::Spawn => daemon.spawn()?,
            }
        }
        Ok(())
    }

    /// Checks that every daemon is ready and on the last version.
    async fn check_daemons(&mut self) {
        let version = format!("cornelvalve_version {}\n", self.version);
        for daemon in &self.daemons {
            let current = daemon.metrics().await.contains(&version);
            if !current || !daemon.is_ready().await {
                self.violations.push(Violation::Behind {
                    daemon: daemon.spot.index,
                    version: self.version,
                });
            }
        }
    }

    async fn report(
        mut self,
        seen: &[Seen],
        calm: Instant,
        faults: usize,
        folder: tempfile::TempDir,
    ) -> Result<Report> {
        for daemon in &self.daemons {
            let arrivals = daemon.target.received_requests().await;
            let named = arrivals.into_iter().map(|a| (daemon.instance.clone(), a));
            self.arrivals.extend(named);
        }
        self.violations
            .extend(check(seen, &self.arrivals, &self.left));
        let is_served = |s: &&Seen| s.answer.as_ref().is_some_and(|(status, ..)| *status == 200);
        let asked = seen.iter().filter(|s| s.sent >= calm).count();
        let served = seen
            .iter()
            .filter(|s| s.sent >= calm)
            .filter(is_served)
            .count();
        if (served as f64) < asked as f64 * CALM_SHARE {
            self.violations
                .push(Violation::NotRecovered { served, asked });
        }
        self.violations.dedup();
        let kept = (!self.violations.is_empty()).then(|| folder.keep());
        Ok(Report {
            faults,
            requests: seen.len(),
            served: seen.iter().filter(is_served).count(),
            violations: self.violations,
            folder: kept,
        })
    }
}

fn mode(fault: TargetFault) -> TargetMode {
    match fault {
        TargetFault::Shedding => TargetMode::Shedding,
        TargetFault::Failing => TargetMode::Failing,
        TargetFault::Unsigned => TargetMode::Unsigned,
        TargetFault::Hanging => TargetMode::Hanging,
    }
}
