//! Injects the planned faults and carries out the recoveries that end them.

use std::time::Duration;

use cornelvalve_standins::{Signals, StoreMode, TargetMode};
use rustix::process::Signal;
use tokio::time::Instant;

use crate::checks::{DrainedTarget, LimitedTarget};
use crate::daemon::{DRAINING, READY};
use crate::plan::{Fault, PlannedFault, TargetFault};
use crate::proxy::ProxyMode;
use crate::run::{
    EVACUATED_DOMAIN, EXIT_TIMEOUT, RESTART_DELAY, Result, Soak, desired_state_version,
};

/// Time from the confirmation of a target's drain until the target may no longer receive requests:
/// the timeout of the routes (2 s), within which requests may still be under way, plus 0.5 s.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_millis(2500);

/// Time for which a drained target stays after the grace period, to notice late requests.
const LATE_REQUEST_WINDOW: Duration = Duration::from_millis(500);

/// Time from a kill of all daemons to their restart.
const KILL_ALL_RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time from the kill of a daemon until it knows its target again; also the time for new connections
/// after the end of a pause or a proxy fault.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// Time from the moment at which a target names a limit until it must be kept: an answer that names it
/// must have been received.
const LIMIT_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Action that ends a fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Recovery {
    ResumeDaemon,
    RestoreTargetProxy,
    RestoreStoreProxy,
    RestoreStore,
    RestoreTarget,
    ClearLimit,
    ClearSlowdown,
    RestoreDomain,
    /// The operator writes again what a restored store has lost.
    RewriteState,
    RestartDaemon,
}

impl Soak {
    /// Injects a fault and schedules the recovery that ends it.
    pub(crate) async fn inject(&mut self, planned: PlannedFault) -> Result<()> {
        let now = Instant::now();
        let Some(daemon) = self.daemons.get_mut(planned.daemon) else {
            return Ok(());
        };
        let mut schedule = |after: Duration, recovery| {
            self.recoveries
                .push((now + after, planned.daemon, recovery));
        };
        if let Some(length) = disturbance(planned.fault) {
            let all = matches!(planned.fault, Fault::KillAll);
            let hit = |index: usize| all || index == planned.daemon;
            for limited in self.limited.iter_mut().filter(|l| hit(l.daemon)) {
                limited.until = limited.until.min(now);
            }
            for (index, until) in self.disturbed_until.iter_mut().enumerate() {
                if hit(index) {
                    *until = (*until).max(now + length);
                }
            }
        }
        let disturbed_until = self.disturbed_until[planned.daemon];
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
            Fault::StoreCopy => self.store.copy(),
            Fault::StoreRestore(restore) => {
                self.store.set_mode(StoreMode::Refusing(503));
                self.store.restore(restore.waiting);
                schedule(restore.down, Recovery::RestoreStore);
                schedule(restore.down + restore.rewrite, Recovery::RewriteState);
            }
            Fault::Target(fault, duration) => {
                daemon.target.set_mode(target_mode(fault));
                schedule(duration, Recovery::RestoreTarget);
            }
            Fault::ReportSlowdown(duration) => {
                // Seven times the normal processing time.
                daemon.target.set_slowdown(700);
                schedule(duration, Recovery::ClearSlowdown);
            }
            Fault::Limit(per_second, duration) => {
                // It replaces an earlier limit, whose end must not end this one.
                self.recoveries.retain(|(_, index, recovery)| {
                    *index != planned.daemon || !matches!(recovery, Recovery::ClearLimit)
                });
                let earlier = self.limited.iter_mut();
                for limited in earlier.filter(|l| l.daemon == planned.daemon) {
                    limited.until = limited.until.min(now);
                }
                daemon.target.set_signals(Signals {
                    limit: Some(per_second.to_string()),
                    leaving: false,
                });
                let cleared = (now + duration, planned.daemon, Recovery::ClearLimit);
                self.recoveries.push(cleared);
                self.limited.push(LimitedTarget {
                    daemon: planned.daemon,
                    instance: daemon.target_instance.clone(),
                    per_second: f64::from(per_second),
                    from: now.max(disturbed_until) + LIMIT_GRACE_PERIOD,
                    until: now + duration,
                });
            }
            Fault::ReplaceTarget => self.replace_target(planned.daemon).await?,
            Fault::NewDesiredState => {
                self.version += 1;
                self.write_desired_state();
            }
            Fault::DomainOut(duration) => {
                self.domain_out = true;
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
    pub(crate) fn run_recoveries(&mut self, now: Instant) -> Result<()> {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.recoveries)
            .into_iter()
            .partition(|r| r.0 <= now);
        self.recoveries = later;
        let mut rewrite = false;
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
                Recovery::ClearLimit => daemon.target.set_signals(Signals::default()),
                Recovery::ClearSlowdown => daemon.target.set_slowdown(100),
                Recovery::RestoreDomain => {
                    self.domain_out = false;
                    self.store.set_domain_out(EVACUATED_DOMAIN, false);
                }
                Recovery::RewriteState => rewrite = true,
                // Another fault that ended may have restarted the daemon already.
                Recovery::RestartDaemon if daemon.is_started() => {}
                Recovery::RestartDaemon => daemon.spawn()?,
            }
        }
        if rewrite {
            self.write_desired_state();
            let out = self.domain_out;
            self.store.set_domain_out(EVACUATED_DOMAIN, out);
        }
        Ok(())
    }

    /// Writes the latest version of the desired state as the operator.
    fn write_desired_state(&self) {
        let desired = desired_state_version(self.version, self.added_routes);
        self.store.put_desired_state(&desired);
    }
}

/// Returns the time for which a fault may keep a daemon from learning the limit of its target, or make
/// it forget it; `None` if it does not.
fn disturbance(fault: Fault) -> Option<Duration> {
    match fault {
        Fault::Kill | Fault::KillAll => Some(RESTART_TIME),
        Fault::Terminate => Some(EXIT_TIMEOUT),
        Fault::Pause(duration) | Fault::TargetProxy(_, duration) => Some(duration + RESTART_TIME),
        _ => None,
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
