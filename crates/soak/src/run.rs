//! Run of one seed: starts the store, the daemons and the callers, injects the planned faults and
//! checks the guarantees.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use cornelvalve_standins::{PlatformStoreHandle, ReceivedRequest, RouteConfig, desired_state};
use derive_more::{Display, Error, From};
use serde_json::Value;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::callers::{Caller, Observation};
use crate::checks::{DrainedTarget, LimitedTarget, Violation, check};
use crate::daemon::{CALLER_PORT, Daemon, DaemonSpec};
use crate::faults::Recovery;
use crate::plan::{PlannedFault, plan};

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
pub(crate) const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time from the signal that ends a daemon to its restart, which also waits for the exit.
pub(crate) const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Interval between the check-ins of a target.
const CHECK_IN_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum fraction of the requests sent after the settling time that must be served.
const MIN_SERVED_FRACTION: f64 = 0.95;

/// Every seed of this number has a large desired state, the last one of each such group.
const LARGE_STATE_INTERVAL: u64 = 4;

/// Number of routes that make a desired state so large that only readers read it from the store.
const LARGE_STATE_ROUTES: usize = 800;

/// Service of all daemons and routes.
const SERVICE: &str = "one";

/// Failure domain that the operator takes out of service; the other one always stays in service.
pub(crate) const EVACUATED_DOMAIN: &str = "east-a";

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
pub(crate) struct Soak {
    pub(crate) store: PlatformStoreHandle,
    pub(crate) daemons: Vec<Daemon>,
    /// Version of the desired state that was written last.
    pub(crate) version: u64,
    /// Whether the operator has taken the failure domain out of service.
    pub(crate) domain_out: bool,
    /// Number of routes that the desired state has besides those of the callers.
    pub(crate) added_routes: usize,
    /// Number of the newest replacement target, which is part of its process identifier.
    pub(crate) target_number: u32,
    /// Requests that replaced targets received, each with the identifier of the target's process.
    /// Those of the other targets are added for the report.
    pub(crate) received: Vec<(String, ReceivedRequest)>,
    pub(crate) drained: Vec<DrainedTarget>,
    pub(crate) limited: Vec<LimitedTarget>,
    /// For each daemon, the time until which it may not know the limit of its target.
    pub(crate) disturbed_until: Vec<Instant>,
    pub(crate) violations: Vec<Violation>,
    /// Recoveries that are due at a time, each with the position of its daemon in `daemons`.
    pub(crate) recoveries: Vec<(Instant, usize, Recovery)>,
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
    let added_routes = if options.seed % LARGE_STATE_INTERVAL == LARGE_STATE_INTERVAL - 1 {
        LARGE_STATE_ROUTES
    } else {
        0
    };
    store.put_desired_state(&desired_state_version(1, added_routes));
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
        domain_out: false,
        added_routes,
        target_number: 1,
        received: Vec::new(),
        drained: Vec::new(),
        limited: Vec::new(),
        disturbed_until: vec![Instant::now(); usize::from(options.daemons)],
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

/// Returns a desired state with one idempotent route, one that is not, and `added` further ones.
pub(crate) fn desired_state_version(version: u64, added: usize) -> Value {
    let route = |name, idempotent| RouteConfig {
        name,
        idempotent,
        service: SERVICE,
        timeout_s: 2.0,
    };
    let names: Vec<String> = (0..added).map(|index| format!("added-{index}")).collect();
    let mut routes = vec![route("read", true), route("file", false)];
    routes.extend(names.iter().map(|name| route(name, true)));
    desired_state(version, &routes)
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
    pub(crate) async fn maintain_until(&mut self, end: Instant) -> Result<()> {
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
        let exceeded = self.limited.iter().map(|l| l.check(&self.received));
        self.violations.extend(exceeded.flatten());
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
