//! Run of one seed: starts the store, the daemons and the callers, injects the planned faults and
//! checks the guarantees.

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

use crate::callers::{Caller, Observation};
use crate::checks::{DrainedTarget, Violation, check};
use crate::daemon::{CALLER_PORT, DRAINING, Daemon, DaemonSpec, READY};
use crate::plan::{Fault, PlannedFault, TargetFault, plan};
use crate::proxy::ProxyMode;

/// Result of an operation of the soak.
pub(crate) type Result<T> = std::result::Result<T, SoakError>;

/// Maximum time from the start of the daemons until all are ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for the daemons to settle after the last fault has ended.
const SETTLING_TIME: Duration = Duration::from_secs(6);

/// Time after the settling time in which requests must be served.
const STABLE_PERIOD: Duration = Duration::from_secs(2);

/// Maximum time in which a daemon exits after SIGTERM or SIGKILL; longer than the grace period for
/// running requests in its settings, which is 6 s.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time from the confirmation of a target's drain until the target may no longer receive requests:
/// the timeout of the routes (2 s), within which requests may still be under way, plus 0.5 s.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_millis(2500);

/// Time for which a drained target stays after the grace period, to notice late requests.
const LATE_REQUEST_WINDOW: Duration = Duration::from_millis(500);

/// Time from the signal that ends a daemon to its restart, which also waits for the exit.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Time from a kill of all daemons to their restart.
const KILL_ALL_RESTART_DELAY: Duration = Duration::from_millis(500);

/// Interval between the check-ins of a target.
const CHECK_IN_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum fraction of the requests sent after the settling time that must be served.
const MIN_SERVED_FRACTION: f64 = 0.95;

/// Service of all daemons and routes.
const SERVICE: &str = "one";

/// Failure domain that the operator takes out of service; the other one always stays in service.
const EVACUATED_DOMAIN: &str = "east-a";

/// Number of the next run of this process; part of the loopback addresses, so that concurrent runs
/// do not share any. It wraps after 255, so fewer than 256 runs may be concurrent.
static NEXT_RUN: AtomicU8 = AtomicU8::new(1);

/// Error that prevents the soak from completing a run.
#[derive(Debug, Display, Error, From)]
pub enum SoakError {
    /// A system call failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A daemon did not exit after SIGTERM or SIGKILL.
    #[display("daemon {_0} did not exit in time after SIGTERM or SIGKILL")]
    #[from(ignore)]
    ExitTimeout(#[error(not(source))] u8),
    /// The daemons did not become ready before the first fault.
    #[display(
        "the daemons were not ready in time before the first fault; check that the program is \
         cornelvalve-platform"
    )]
    #[from(ignore)]
    StartTimeout,
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the plan.
    pub seed: u64,
    /// Time during which faults are injected.
    pub fault_period: Duration,
    /// Number of daemons.
    pub daemons: u8,
    /// Path of the daemon program, `cornelvalve-platform`.
    pub program: PathBuf,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of faults that were injected.
    pub faults: usize,
    /// Number of requests that callers sent.
    pub requests: usize,
    /// Number of requests that got a response with status 200.
    pub served: usize,
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
    /// Folder with the settings and logs of the daemons, which is kept if there are violations.
    pub folder: Option<PathBuf>,
}

/// State of a run.
struct Soak {
    store: PlatformStoreHandle,
    daemons: Vec<Daemon>,
    /// Version of the desired state that was written last.
    version: u64,
    /// Number of the newest replacement target, which is part of its process identifier.
    target_number: u32,
    /// Requests that replaced targets received, each with the identifier of the target's process.
    /// Those of the other targets are added for the report.
    received: Vec<(String, ReceivedRequest)>,
    drained: Vec<DrainedTarget>,
    violations: Vec<Violation>,
    /// Recoveries that are due at a time, each with the position of its daemon in `daemons`.
    recoveries: Vec<(Instant, usize, Recovery)>,
}

/// Action that ends a fault.
#[derive(Clone, Copy, Debug)]
enum Recovery {
    ResumeDaemon,
    RestoreTargetProxy,
    RestoreStoreProxy,
    RestoreStore,
    RestoreTarget,
    ClearSlowdown,
    RestoreDomain,
    RestartDaemon,
}

/// Runs one seed and returns its report.
///
/// # Errors
///
/// Returns [`SoakError`] if the run cannot be completed. Violations are no error; they are in the
/// report.
pub async fn run(options: &Options) -> std::result::Result<Report, SoakError> {
    let folder = tempfile::Builder::new().prefix("soak-").tempdir()?;
    let run_number = NEXT_RUN.fetch_add(1, Ordering::SeqCst);
    // Concurrent soak processes get different loopback addresses, unless their process identifiers
    // are equal modulo 200; then binding the ports fails.
    let process = u8::try_from(std::process::id() % 200).unwrap_or_default();
    let loopback_net = (30 + process, run_number);
    let store = PlatformStoreHandle::start().await?;
    store.put_desired_state(&desired_state_version(1));
    let mut daemons = Vec::new();
    for index in 1..=options.daemons {
        let spec = daemon_spec(index);
        let daemon = Daemon::start(
            spec,
            loopback_net,
            folder.path(),
            &options.program,
            store.addr(),
        );
        daemons.push(daemon.await?);
    }
    let mut soak = Soak {
        store,
        daemons,
        version: 1,
        target_number: 1,
        received: Vec::new(),
        drained: Vec::new(),
        violations: Vec::new(),
        recoveries: Vec::new(),
    };
    soak.wait_until_ready().await?;
    let (stop, stopped) = watch::channel(false);
    let (sender, mut observations) = mpsc::unbounded_channel();
    let mut callers = JoinSet::new();
    for (index, daemon) in soak.daemons.iter().enumerate() {
        for number in 0..2 {
            let caller = Caller {
                name: format!("s{}-d{index}-c{number}", options.seed),
                daemon: index,
                addr: daemon.addr(CALLER_PORT),
                observations: sender.clone(),
                stop: stopped.clone(),
            };
            callers.spawn(caller.run());
        }
    }
    drop(sender);
    let faults = plan(options.seed, soak.daemons.len(), options.fault_period);
    soak.inject_all(&faults, options.fault_period).await?;
    soak.maintain_until(Instant::now() + SETTLING_TIME).await?;
    let stable_since = Instant::now();
    soak.maintain_until(stable_since + STABLE_PERIOD).await?;
    soak.check_daemons().await;
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    let mut observed = Vec::new();
    while let Some(observation) = observations.recv().await {
        observed.push(observation);
    }
    soak.report(&observed, stable_since, faults.len(), folder)
        .await
}

/// Returns the specification of a daemon; daemons alternate between two failure domains.
fn daemon_spec(index: u8) -> DaemonSpec {
    DaemonSpec {
        index,
        service: SERVICE,
        domain: if index.is_multiple_of(2) {
            EVACUATED_DOMAIN
        } else {
            "east-b"
        },
    }
}

/// Returns a desired state with one idempotent route and one that is not.
fn desired_state_version(version: u64) -> Value {
    let route = |name, idempotent| RouteConfig {
        name,
        idempotent,
        service: SERVICE,
        timeout_s: 2.0,
    };
    desired_state(version, &[route("read", true), route("file", false)])
}

impl Soak {
    /// Sends check-ins until every daemon is ready and knows all the others.
    async fn wait_until_ready(&mut self) -> Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        let members = format!("cornelvalve_members {}", self.daemons.len());
        for daemon in &mut self.daemons {
            while !(daemon.is_ready().await && daemon.metrics().await.contains(&members)) {
                if Instant::now() > deadline {
                    return Err(SoakError::StartTimeout);
                }
                daemon.check_in().await;
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Injects all planned faults; returns when `period` is over and all faults have ended.
    async fn inject_all(&mut self, faults: &[PlannedFault], period: Duration) -> Result<()> {
        let start = Instant::now();
        for fault in faults {
            self.maintain_until(start + fault.start).await?;
            self.inject(*fault).await?;
        }
        self.maintain_until(start + period).await?;
        while self.has_faults() {
            self.maintain_until(Instant::now() + CHECK_IN_INTERVAL)
                .await?;
        }
        Ok(())
    }

    /// Returns whether a fault has not ended yet.
    fn has_faults(&self) -> bool {
        !self.recoveries.is_empty() || self.daemons.iter().any(Daemon::is_terminating)
    }

    /// Waits until `end`; meanwhile carries out recoveries, sends check-ins and watches for daemons
    /// that exit unexpectedly.
    async fn maintain_until(&mut self, end: Instant) -> Result<()> {
        loop {
            self.run_recoveries(Instant::now())?;
            if Instant::now() >= end {
                return Ok(());
            }
            for (index, daemon) in self.daemons.iter_mut().enumerate() {
                if daemon.is_terminating() {
                    if daemon.poll_exit()? {
                        let due = Instant::now() + RESTART_DELAY;
                        self.recoveries.push((due, index, Recovery::RestartDaemon));
                    }
                } else if daemon.exited_unexpectedly() {
                    let daemon = daemon.spec.index;
                    self.violations.push(Violation::UnexpectedExit { daemon });
                } else if !daemon.is_paused() {
                    daemon.check_in().await;
                }
            }
            let next_recovery = self.recoveries.iter().map(|r| r.0).min().unwrap_or(end);
            let next_check_in = Instant::now() + CHECK_IN_INTERVAL;
            sleep_until(next_check_in.min(next_recovery).min(end)).await;
        }
    }

    /// Injects a fault and schedules the recovery that ends it.
    async fn inject(&mut self, planned: PlannedFault) -> Result<()> {
        let now = Instant::now();
        let Some(daemon) = self.daemons.get_mut(planned.daemon) else {
            return Ok(());
        };
        let mut schedule = |after: Duration, recovery| {
            self.recoveries
                .push((now + after, planned.daemon, recovery));
        };
        match planned.fault {
            Fault::Kill => {
                daemon.signal(Signal::KILL)?;
                daemon.wait(EXIT_TIMEOUT).await?;
                schedule(RESTART_DELAY, Recovery::RestartDaemon);
            }
            Fault::Terminate => daemon.terminate(EXIT_TIMEOUT)?,
            Fault::Pause(duration) => {
                daemon.signal(Signal::STOP)?;
                schedule(duration, Recovery::ResumeDaemon);
            }
            Fault::KillAll => {
                for (index, daemon) in self.daemons.iter_mut().enumerate() {
                    daemon.signal(Signal::KILL)?;
                    daemon.wait(EXIT_TIMEOUT).await?;
                    let due = now + KILL_ALL_RESTART_DELAY;
                    self.recoveries.push((due, index, Recovery::RestartDaemon));
                }
            }
            Fault::TargetProxy(mode, duration) => {
                daemon.target_proxy.set_mode(mode);
                schedule(duration, Recovery::RestoreTargetProxy);
            }
            Fault::StoreProxy(mode, duration) => {
                daemon.store_proxy.set_mode(mode);
                schedule(duration, Recovery::RestoreStoreProxy);
            }
            Fault::StoreDown(duration) => {
                self.store.set_mode(StoreMode::Refusing(503));
                schedule(duration, Recovery::RestoreStore);
            }
            Fault::StoreCompact => self.store.compact(),
            Fault::Target(fault, duration) => {
                daemon.target.set_mode(target_mode(fault));
                schedule(duration, Recovery::RestoreTarget);
            }
            Fault::ReportSlowdown(duration) => {
                // Seven times the normal processing time.
                daemon.target.set_slowdown(700);
                schedule(duration, Recovery::ClearSlowdown);
            }
            Fault::ReplaceTarget => self.replace_target(planned.daemon).await?,
            Fault::NewDesiredState => {
                self.version += 1;
                self.store
                    .put_desired_state(&desired_state_version(self.version));
            }
            Fault::DomainOut(duration) => {
                self.store.set_domain_out(EVACUATED_DOMAIN, true);
                schedule(duration, Recovery::RestoreDomain);
            }
        }
        Ok(())
    }

    /// Drains the target of a daemon and replaces it with another process.
    ///
    /// Returns after the drain, about 3 s later. Until then other faults are delayed, but those
    /// that were injected before end in time. The target stays if the daemon is paused or does not
    /// confirm the drain.
    async fn replace_target(&mut self, index: usize) -> Result<()> {
        self.target_number += 1;
        let number = self.target_number;
        let Some(daemon) = self.daemons.get_mut(index) else {
            return Ok(());
        };
        if daemon.is_paused() {
            return Ok(());
        }
        daemon.target_state = DRAINING;
        if !daemon.check_in().await {
            daemon.target_state = READY;
            return Ok(());
        }
        daemon.target.set_leaving();
        let drained = DrainedTarget {
            instance: daemon.target_instance.clone(),
            deadline: Instant::now() + DRAIN_GRACE_PERIOD,
        };
        self.maintain_until(drained.deadline + LATE_REQUEST_WINDOW)
            .await?;
        let Some(daemon) = self.daemons.get_mut(index) else {
            return Ok(());
        };
        let received = daemon.target.received_requests().await;
        let instance = daemon.target_instance.clone();
        daemon.replace_target(number).await?;
        self.received
            .extend(received.into_iter().map(|r| (instance.clone(), r)));
        self.drained.push(drained);
        Ok(())
    }

    /// Carries out the recoveries that are due at the time `now`.
    fn run_recoveries(&mut self, now: Instant) -> Result<()> {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.recoveries)
            .into_iter()
            .partition(|r| r.0 <= now);
        self.recoveries = later;
        for (_, index, recovery) in due {
            let Some(daemon) = self.daemons.get_mut(index) else {
                continue;
            };
            match recovery {
                Recovery::ResumeDaemon => daemon.signal(Signal::CONT)?,
                Recovery::RestoreTargetProxy => daemon.target_proxy.set_mode(ProxyMode::Forward),
                Recovery::RestoreStoreProxy => daemon.store_proxy.set_mode(ProxyMode::Forward),
                Recovery::RestoreStore => self.store.set_mode(StoreMode::Serving),
                Recovery::RestoreTarget => daemon.target.set_mode(TargetMode::Serving),
                Recovery::ClearSlowdown => daemon.target.set_slowdown(100),
                Recovery::RestoreDomain => self.store.set_domain_out(EVACUATED_DOMAIN, false),
                // Another fault that ended may have restarted the daemon already.
                Recovery::RestartDaemon if daemon.is_started() => {}
                Recovery::RestartDaemon => daemon.spawn()?,
            }
        }
        Ok(())
    }

    /// Checks that every daemon is ready with the newest version of the desired state.
    async fn check_daemons(&mut self) {
        let version = format!("cornelvalve_version {}\n", self.version);
        for daemon in &self.daemons {
            let is_current = daemon.metrics().await.contains(&version);
            if !is_current || !daemon.is_ready().await {
                self.violations.push(Violation::NotCurrent {
                    daemon: daemon.spec.index,
                    version: self.version,
                });
            }
        }
    }

    /// Checks the guarantees for all requests and returns the report of the run.
    ///
    /// Keeps `folder` if there are violations.
    async fn report(
        mut self,
        observations: &[Observation],
        stable_since: Instant,
        faults: usize,
        folder: tempfile::TempDir,
    ) -> Result<Report> {
        for daemon in &self.daemons {
            let received = daemon.target.received_requests().await;
            let received = received
                .into_iter()
                .map(|r| (daemon.target_instance.clone(), r));
            self.received.extend(received);
        }
        let pauses: Vec<_> = self.daemons.iter().map(|d| d.pauses.as_slice()).collect();
        self.violations
            .extend(check(observations, &self.received, &self.drained, &pauses));
        let is_served = |o: &&Observation| {
            let response = o.response.as_ref();
            response.is_some_and(|(status, ..)| *status == 200)
        };
        let stable_sent = observations
            .iter()
            .filter(|o| o.sent_at >= stable_since)
            .count();
        let stable_served = observations
            .iter()
            .filter(|o| o.sent_at >= stable_since)
            .filter(is_served)
            .count();
        if (stable_served as f64) < stable_sent as f64 * MIN_SERVED_FRACTION {
            self.violations.push(Violation::NotRecovered {
                served: stable_served,
                sent: stable_sent,
            });
        }
        // Drops adjacent repetitions: a daemon that exited unexpectedly is reported on each pass.
        self.violations.dedup();
        let kept_folder = (!self.violations.is_empty()).then(|| folder.keep());
        Ok(Report {
            faults,
            requests: observations.len(),
            served: observations.iter().filter(is_served).count(),
            violations: self.violations,
            folder: kept_folder,
        })
    }
}

fn target_mode(fault: TargetFault) -> TargetMode {
    match fault {
        TargetFault::Shedding => TargetMode::Shedding,
        TargetFault::Failing => TargetMode::Failing,
        TargetFault::Unsigned => TargetMode::Unsigned,
        TargetFault::Hanging => TargetMode::Hanging,
    }
}
