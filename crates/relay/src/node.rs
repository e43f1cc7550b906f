//! Startup and shutdown of the daemon: binds the sockets, starts the services and stops them in
//! order.

mod services;
mod sockets;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::Draining;
use cornelvalve_kernel::{Clock, Kernel, Mailbox, StopReason};
use cornelvalve_model::{FailureDomain, Fingerprint, Region, ServiceName, VmName};
use cornelvalve_policy::{ColdTolerance, RetryBudgetSettings};
use derive_more::{Debug, Display, Error};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::limits::ProcessLimits;
use crate::messages::{Activity, GuardMessage, MembersMessage, ShutdownStage, StatsMessage};
use crate::names::{GUARD, MEMBERS, STATS};
use crate::ports::{CheckInProtocol, ControlStore, Dialect};
use services::NodeBuilder;
use sockets::Sockets;

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, StartError>;

/// Time within which the services must stop when the kernel stops them.
const SERVICE_STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which a stopping daemon checks whether requests of callers are running; also the
/// timeout of each check.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Fraction of the shutdown delay after which a stopping daemon announces that it is leaving. Until
/// then, other daemons still send it requests.
const SERVING_FRACTION: f64 = 0.75;

/// Largest fraction of the grace period for which a stopping daemon takes requests; the rest is for
/// those that are running.
const MAX_DELAY_FRACTION: f64 = 0.5;

/// Time reserved before [`EXIT_RESERVE`] for the last requests of callers, after the guard has
/// drained.
const CALLERS_RESERVE: Duration = Duration::from_millis(1200);

/// Time reserved before [`EXIT_RESERVE`] for sending error responses to requests that are still
/// running.
const RESPONSE_RESERVE: Duration = Duration::from_millis(300);

/// Time reserved at the end of the grace period for stopping the services and the process.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// Error of a daemon that could not be started.
#[derive(Debug, Display, Error)]
#[display("{listener} address {addr} cannot be bound: {source}; free it or set another one")]
pub struct StartError {
    /// Name of the listener.
    pub listener: &'static str,
    /// Address that cannot be bound.
    pub addr: SocketAddr,
    /// Error of the operating system.
    pub source: std::io::Error,
}

/// Addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For requests of callers on this VM.
    pub callers: SocketAddr,
    /// For check-ins of the upstream.
    pub check_ins: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For other daemons, over TCP and UDP; notices use the next higher UDP port.
    pub peers: SocketAddr,
    /// For scrapes of the metrics.
    pub metrics: SocketAddr,
}

/// Settings of a daemon.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the daemon's VM.
    pub vm: VmName,
    /// Region of the VM.
    pub region: Region,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Time from the stop request until the process is killed.
    pub grace_period: Duration,
    /// Minimum time from the stop request until requests of callers are refused, so that callers
    /// notice that the daemon is not ready; at most half of the grace period is used.
    pub shutdown_delay: Duration,
    /// Whether the whole system starts for the first time. The daemon then waits before it looks
    /// for others in the store, because they announce themselves there at the same time.
    pub bootstrap: bool,
    /// Limits of the process.
    pub limits: ProcessLimits,
    /// Retry budget that all daemons share.
    pub retry_budget: RetryBudgetSettings,
    /// How far the number of requests started per second at a cold upstream, one that started a
    /// short time ago, may exceed the rate that its service sets for this phase.
    pub cold_tolerance: ColdTolerance,
}

/// Implementations of the interfaces to the platform.
#[derive(Clone, Debug)]
pub struct PlatformAdapters {
    /// Store of the configuration.
    #[debug(skip)]
    pub store: Arc<dyn ControlStore>,
    /// Platform-specific HTTP headers.
    #[debug(skip)]
    pub dialect: Arc<dyn Dialect>,
    /// Protocol of check-ins.
    #[debug(skip)]
    pub check_ins: Arc<dyn CheckInProtocol>,
    /// Clock of the daemon.
    #[debug(skip)]
    pub clock: Arc<dyn Clock>,
}

/// Running daemon, one on each VM.
#[derive(Debug)]
pub struct Node {
    kernel: Kernel,
    /// Set when the daemon starts to shut down; each caller connection then closes after its next
    /// response.
    draining: watch::Sender<Draining>,
    stage: watch::Sender<ShutdownStage>,
    grace_period: Duration,
    shutdown_delay: Duration,
}

impl Node {
    /// Binds the sockets and starts all services.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if an address cannot be bound.
    pub fn start(settings: NodeSettings, adapters: PlatformAdapters) -> Result<Self> {
        let sockets = Sockets::bind(&settings.listen)?;
        let (draining, drain_receiver) = watch::channel(Draining::No);
        let (stage, stage_receiver) = watch::channel(ShutdownStage::default());
        let grace_period = settings.grace_period;
        let longest_delay = grace_period.mul_f64(MAX_DELAY_FRACTION);
        let shutdown_delay = settings.shutdown_delay.min(longest_delay);
        log::info!(event = "started", vm = settings.vm.as_str(), service = settings.service.as_str(), domain = settings.domain.as_str(), peers:% = settings.listen.peers; "daemon started");
        let seed = Fingerprint::of(&[
            settings.vm.as_str().as_bytes(),
            &adapters.clock.wall_time().0.to_le_bytes(),
        ]);
        let builder = NodeBuilder {
            seed: seed.0,
            settings,
            adapters,
            sockets,
            draining: drain_receiver,
            stage: stage_receiver,
        };
        Ok(Self {
            kernel: builder.build().start(),
            draining,
            stage,
            grace_period,
            shutdown_delay,
        })
    }

    /// Waits until the kernel stops, because a service failed permanently, and returns the reason.
    pub async fn wait(&mut self) -> StopReason {
        self.kernel.wait().await
    }

    /// Stops the daemon within its grace period, letting running requests finish.
    ///
    /// The daemon reports at once that it is not ready, but first continues to serve, so that a
    /// restart reduces capacity only briefly. Then it announces that it is leaving and accepts no
    /// more requests from other daemons. Finally it refuses the requests of callers. Requests that
    /// are still running near the end of the grace period are answered with an error.
    pub async fn stop(self) {
        let started = Instant::now();
        let end = started + self.grace_period.saturating_sub(EXIT_RESERVE);
        log::info!(event = "stopping", grace_ms = self.grace_period.as_millis() as u64; "daemon is stopping");
        self.notify(STATS, StatsMessage::Stopping).await;
        self.draining.send_replace(Draining::AfterResponse);
        let answer_by = end - RESPONSE_RESERVE;
        self.stage.send_replace(ShutdownStage::Ending(answer_by));
        sleep_until(started + self.shutdown_delay.mul_f64(SERVING_FRACTION)).await;
        self.notify(MEMBERS, MembersMessage::Leave).await;
        // Requests running at the upstream may make calls through this daemon, so callers are
        // refused only after these requests have ended.
        let drain = timeout_at(end - CALLERS_RESERVE, self.drain_guard());
        let drained = drain.await.is_ok();
        sleep_until(started + self.shutdown_delay).await;
        self.stage.send_replace(ShutdownStage::Refusing);
        let idle = timeout_at(answer_by, self.wait_until_idle()).await;
        let idle = idle.is_ok();
        if !idle {
            self.stage.send_replace(ShutdownStage::Terminating);
            sleep_until(end).await;
        }
        // The second `Leave` announces that the daemon has stopped.
        self.notify(MEMBERS, MembersMessage::Leave).await;
        // A caller may have sent a request since the last check.
        self.draining.send_replace(Draining::WhenIdle);
        log::info!(event = "stopped", drained = drained, idle = idle, took_ms = started.elapsed().as_millis() as u64; "daemon stopped");
        self.kernel.stop(SERVICE_STOP_TIMEOUT).await;
    }

    /// Sends a message to a service; logs a failure.
    async fn notify<M: Send + 'static>(&self, name: cornelvalve_kernel::Name<M>, message: M) {
        let sent = match self.kernel.mailbox(name) {
            Ok(mailbox) => mailbox.send(message).await,
            Err(e) => Err(e),
        };
        if let Err(e) = sent {
            log::warn!(event = "stop-not-told", service = name.as_str(); "service was not notified of the shutdown: {e}");
        }
    }

    /// Drains the guard and waits until no request is running at the upstream. Returns early, and
    /// logs it, if the guard fails.
    async fn drain_guard(&self) {
        if let Ok(guard) = self.kernel.mailbox(GUARD)
            && let Err(e) = guard.ask(|reply| GuardMessage::Drain { reply }).await
        {
            log::warn!(event = "guard-not-drained"; "guard was not drained: {e}");
        }
    }

    /// Waits until no request of a caller is running, or until their number cannot be determined.
    async fn wait_until_idle(&self) {
        let Ok(stats) = self.kernel.mailbox(STATS) else {
            return;
        };
        loop {
            match activity(&stats).await {
                Some(activity) if activity.running > 0 => {}
                _ => return,
            }
            sleep(IDLE_CHECK_INTERVAL).await;
        }
    }
}

/// Returns the activity of the daemon; `None` if the stats service does not answer in time.
async fn activity(stats: &Mailbox<StatsMessage>) -> Option<Activity> {
    let answer = stats.ask(|reply| StatsMessage::Activity { reply });
    timeout(IDLE_CHECK_INTERVAL, answer).await.ok()?.ok()
}
