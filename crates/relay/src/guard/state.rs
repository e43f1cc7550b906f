//! State of the guard: the upstream process, its admission gate and the calls that wait or run.
//!
//! What the upstream reports is handled in the module `reports`, its coldness in `cold`, and calls
//! in `admission`.
//!
//! The [`Gate`] decides when a call may start; the guard adds what the gate does not know: failure
//! domains, home regions, crash suspects and the state of the upstream process.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{Mailbox, ReplySender};
use cornelvalve_model::{Incarnation, Moment, Upstream, UpstreamState};
use cornelvalve_policy::{FailureRate, Gate, LoadReport, SharedSuspect, WorkKey};
use smallvec::SmallVec;
use tokio::sync::mpsc;

use super::GuardSettings;
use super::calls::Calls;
use super::crashes::CrashTracker;
use super::probing::{ProbeSchedule, UpstreamCondition};
use super::upstream::UpstreamProcess;
use crate::desired::{ControlView, ServiceSpec};
use crate::messages::{
    MembersMessage, MonitorMessage, NoticesMessage, PermitReport, RouterMessage, StatsMessage,
};
use crate::ports::Cause;

/// Number of requests that an upstream is assumed to run concurrently until it reports its slots.
const DEFAULT_SLOTS: usize = 8;

/// Health path of the upstream until the desired state describes its service.
const DEFAULT_HEALTH_PATH: &str = "/health";

/// Slowdown at which an upstream counts as slow; 1.0 is normal speed.
const SLOW_THRESHOLD: f64 = 1.5;

/// Longest time between two wake-ups of the guard; bounds the wait when nothing is due.
const MAX_SLEEP: Duration = Duration::from_secs(5);

/// Channels on which the guard sends messages.
pub(super) struct Channels {
    /// Returns the end of each admitted request to the guard itself.
    pub(super) reports: mpsc::UnboundedSender<PermitReport>,
    pub(super) members: Mailbox<MembersMessage>,
    pub(super) router: Mailbox<RouterMessage>,
    pub(super) notices: Mailbox<NoticesMessage>,
    pub(super) monitor: Mailbox<MonitorMessage>,
    pub(super) stats: Mailbox<StatsMessage>,
}

/// State and decisions of the guard.
pub(super) struct GuardState {
    pub(super) settings: GuardSettings,
    pub(super) channels: Channels,
    /// Start of this guard. An earlier daemon may have sent requests to the same upstream.
    pub(super) started: Moment,
    pub(super) gate: Gate,
    /// Number of requests that the upstream runs concurrently.
    pub(super) slots: usize,
    /// How many times longer than normal requests take at the upstream, as last reported.
    pub(super) slowdown: f64,
    /// Limit on the starts per second that was last set at the gate; `None` if there is none.
    pub(super) rate_limit: Option<f64>,
    /// Share of recent requests that failed.
    pub(super) failures: FailureRate,
    /// Current upstream process; `None` until a check-in or probe reports one.
    pub(super) process: Option<UpstreamProcess>,
    /// The latest four instances that were replaced by another process; late check-ins of theirs
    /// are ignored.
    pub(super) replaced_instances: SmallVec<[Arc<str>; 4]>,
    /// The latest four instances at the upstream's address that said that they belong to another
    /// service. Their health path does not tell that.
    pub(super) foreign_instances: SmallVec<[Arc<str>; 4]>,
    /// Whether the last attempt to connect to the upstream failed.
    pub(super) unreachable: bool,
    /// Whether the upstream was cold when that was last logged.
    pub(super) logged_cold: bool,
    pub(super) calls: Calls,
    pub(super) crashes: CrashTracker,
    /// The operators' current configuration.
    pub(super) view: Arc<ControlView>,
    /// Reply to send once no call is running any more.
    pub(super) drain_reply: Option<ReplySender<()>>,
    /// Whether this daemon is stopping, so that no new call is admitted.
    pub(super) draining: bool,
    pub(super) probes: ProbeSchedule,
    /// Load that was last sent to other daemons.
    pub(super) sent_load: Option<LoadReport>,
}

impl GuardState {
    /// Creates the state of a guard that has not seen an upstream process yet.
    pub(super) fn new(settings: GuardSettings, channels: Channels, now: Moment) -> Self {
        let crashes = CrashTracker::new(&settings, channels.notices.clone());
        Self {
            settings,
            channels,
            started: now,
            gate: Gate::new(DEFAULT_SLOTS),
            slots: DEFAULT_SLOTS,
            slowdown: 1.0,
            rate_limit: None,
            failures: FailureRate::default(),
            process: None,
            replaced_instances: SmallVec::new(),
            foreign_instances: SmallVec::new(),
            unreachable: false,
            logged_cold: false,
            calls: Calls::default(),
            crashes,
            view: Arc::default(),
            drain_reply: None,
            draining: false,
            probes: ProbeSchedule::new(now),
            sent_load: None,
        }
    }

    /// Probes the upstream, so that its state is known before its next check-in.
    pub(super) fn start(&mut self, now: Moment) {
        self.probe(now);
    }

    /// Returns the moment at which [`GuardState::on_timer`] must be called next.
    pub(super) fn next_wakeup(&self, now: Moment) -> Moment {
        let gate = self.gate.next_due(now);
        let probe = self.next_probe(now);
        let load_wait = self.calls.load_wait_deadline();
        let due = gate.into_iter().chain(probe).chain(load_wait).min();
        due.unwrap_or(now + MAX_SLEEP).min(now + MAX_SLEEP)
    }

    /// Does everything that is due: ends waits for load information, advances the gate and probes
    /// the upstream.
    pub(super) fn on_timer(&mut self, now: Moment) {
        if self
            .calls
            .load_wait_deadline()
            .is_some_and(|due| due <= now)
        {
            self.offer_awaiting_load(now);
        }
        let actions = self.gate.advance(now);
        self.apply_actions(actions, now);
        if self.next_probe(now).is_some_and(|due| due <= now) {
            self.probe(now);
        }
    }

    /// Returns the moment at which the next health probe is due.
    fn next_probe(&self, now: Moment) -> Option<Moment> {
        self.probes.next_probe(self.condition(now))
    }

    /// Returns the condition of the upstream for the probe schedule.
    fn condition(&self, now: Moment) -> UpstreamCondition {
        match &self.process {
            Some(process) if process.is_leaving() => UpstreamCondition::Leaving,
            None => UpstreamCondition::Unreachable,
            Some(_) if self.unreachable => UpstreamCondition::Unreachable,
            Some(_) if self.gate.needs_warm_confirmation(now) => UpstreamCondition::Unconfirmed,
            Some(_) if self.gate.is_holding() => UpstreamCondition::Holding,
            Some(_) if self.slowdown >= SLOW_THRESHOLD => UpstreamCondition::Slow,
            Some(_) => UpstreamCondition::Normal,
        }
    }

    /// Returns the description of the upstream's service in the desired state, if there is one.
    pub(super) fn service(&self) -> Option<&ServiceSpec> {
        let desired = self.view.desired.as_ref()?;
        desired.service(&self.settings.service)
    }

    /// Asks the monitor service to probe the upstream's health path.
    pub(super) fn probe(&mut self, now: Moment) {
        let path = self
            .service()
            .map_or(DEFAULT_HEALTH_PATH, |s| &s.health_path);
        let probe = MonitorMessage::Probe {
            addr: self.settings.addr,
            path: path.into(),
            requested: now,
        };
        self.probes.probe_sent(now);
        if let Err(e) = self.channels.monitor.try_send(probe) {
            log::debug!("probe was not requested: {e}; it is retried after a timeout");
        }
    }

    /// Applies the operators' current configuration.
    ///
    /// When the failure domain of this VM goes out of service, all calls that have not started are
    /// refused. When it returns, the upstream is treated as cold.
    pub(super) fn apply_configuration(&mut self, view: Arc<ControlView>, now: Moment) {
        let domain = &self.settings.domain;
        let was_out = self.view.domains_out.contains(domain);
        let is_out = view.domains_out.contains(domain);
        self.view = view;
        if is_out && !was_out {
            self.refuse_unstarted(Cause::DomainOut, now);
        }
        if was_out && !is_out {
            self.assume_cold(now);
        }
        self.update_cold_limit(now);
    }

    /// Adds requests that may have crashed the upstream of another daemon.
    pub(super) fn merge_suspects(&mut self, suspects: &[SharedSuspect], now: Moment) {
        self.crashes.merge(suspects, now);
    }

    /// Publishes a change of the process or its state, and refuses the calls that have not started
    /// if the upstream no longer accepts requests.
    pub(super) fn on_upstream_changed(&mut self, now: Moment) {
        if !self.accepts_requests() {
            self.refuse_unstarted(Cause::Leaving, now);
        }
        let upstreams = self.process.iter().map(|p| Upstream {
            service: self.settings.service.clone(),
            port: self.settings.addr.port(),
            slots: u16::try_from(self.slots).unwrap_or(u16::MAX),
            incarnation: Incarnation(p.started_ms),
            state: if self.unreachable && p.is_ready() {
                UpstreamState::Lost
            } else {
                p.state
            },
        });
        let message = MembersMessage::Upstreams(upstreams.collect());
        if let Err(e) = self.channels.members.try_send(message) {
            log::warn!(event = "upstream-not-passed-on"; "new state of the upstream was not passed on: {e}; other daemons see the previous one until the next change");
        }
        self.publish_load(now);
    }

    /// Returns whether the upstream accepts requests and this daemon is not stopping.
    pub(super) fn accepts_requests(&self) -> bool {
        let ready = self.process.as_ref().is_some_and(UpstreamProcess::is_ready);
        ready && !self.unreachable && !self.draining
    }

    /// Returns the load of the upstream; `None` if no process is known.
    pub(super) fn load(&self, now: Moment) -> Option<LoadReport> {
        self.process.as_ref()?;
        let load = self.gate.load();
        Some(LoadReport {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            slowdown: self.slowdown,
            failure_rate: self.failures.rate(0.0, now),
            cold: self.gate.is_cold(now),
            rate_limit: self.gate.load_rate_limit(now),
        })
    }

    /// Returns the estimated duration of a kind of request at normal speed of the upstream.
    pub(super) fn baseline_duration(&self, work: WorkKey) -> Duration {
        self.gate.baseline_duration(work)
    }

    /// Sends the load to the router and, after a significant change, to other daemons.
    pub(super) fn publish_load(&mut self, now: Moment) {
        let Some(load) = self.load(now) else {
            return;
        };
        // Waiting retries count too, so the ratio may exceed 1.
        let retry_fraction = self.calls.retries() as f64 / self.calls.running().max(1) as f64;
        let own = RouterMessage::LocalLoad {
            load,
            retry_fraction,
        };
        if let Err(e) = self.channels.router.try_send(own) {
            log::debug!(
                "load was not sent to the router: {e}; it is sent again after its next change"
            );
        }
        let changed = self
            .sent_load
            .is_none_or(|last| load.is_significant_change_from(&last));
        if changed
            && self
                .channels
                .notices
                .try_send(NoticesMessage::Load(load))
                .is_ok()
        {
            self.sent_load = Some(load);
        }
    }

    /// Refuses all new calls and all that have not started; sends `reply` once no call is running.
    pub(super) fn start_drain(&mut self, reply: ReplySender<()>, now: Moment) {
        self.draining = true;
        self.drain_reply = Some(reply);
        self.refuse_unstarted(Cause::Leaving, now);
        self.publish_load(now);
        self.complete_drain_if_idle();
    }

    /// Completes a drain if no call is running.
    pub(super) fn complete_drain_if_idle(&mut self) {
        if self.calls.running() == 0
            && let Some(reply) = self.drain_reply.take()
        {
            reply.send(());
        }
    }
}
