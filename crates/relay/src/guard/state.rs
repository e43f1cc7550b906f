//! State of the guard: the upstream process, its admission gate and the calls that wait or run.
//!
//! The [`Gate`] decides when a call may start; the guard adds what the gate does not know: failure
//! domains, home regions, crash suspects and the state of the upstream process.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{Mailbox, ReplySender};
use cornelvalve_model::{Incarnation, Moment, Upstream, UpstreamState};
use cornelvalve_policy::{
    ColdRate, FailureRate, Gate, GateAction, GateActions, GateCall, GateCallId, GateRefusal,
    LoadReport, SharedSuspect, WorkKey,
};
use smallvec::SmallVec;
use tokio::sync::mpsc;

use super::GuardSettings;
use super::calls::Calls;
use super::crashes::CrashTracker;
use super::probing::{ProbeSchedule, UpstreamCondition};
use super::upstream::{CheckInEffect, UpstreamProcess};
use crate::desired::{ControlView, ServiceSpec};
use crate::messages::{
    AdmissionDecision, AdmissionRequest, DEFAULT_RETRY_AFTER, MembersMessage, MonitorMessage,
    NoticesMessage, Permit, PermitOutcome, PermitReport, RouterMessage, StatsMessage,
};
use crate::ports::{Cause, CheckIn, HealthReport, UpstreamLoad};
use cornelvalve_kernel::CompletionSender;

/// Number of requests that an upstream is assumed to run concurrently until it reports its slots.
const DEFAULT_SLOTS: usize = 8;

/// Health path of the upstream until the desired state describes its service.
const DEFAULT_HEALTH_PATH: &str = "/health";

/// Longest time for which a call waits for fresh load information before it is admitted without.
const MAX_LOAD_WAIT: Duration = Duration::from_millis(10);

/// Minimum time from the last request of a daemon to the start of the guard in the next one. A
/// process supervisor waits for 100 ms or more, and the start takes as long on a small VM. After a
/// loss of power the upstream is mostly up for less than this when the guard starts.
const MIN_RESTART_TIME: Duration = Duration::from_millis(200);

/// Memory in bytes for the response bodies of all running requests. Buffers may be twice as large as
/// their contents, and the smallest VMs leave 160 MB to the daemon.
const RESPONSE_MEMORY_BYTES: usize = 32 * 1024 * 1024;

/// Maximum size in bytes of a response body, however few requests run.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Size in bytes of a response body that is always allowed, however many requests run.
const MIN_RESPONSE_BYTES: usize = 1024 * 1024;

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
    settings: GuardSettings,
    channels: Channels,
    /// Start of this guard. An earlier daemon may have sent requests to the same upstream.
    started: Moment,
    gate: Gate,
    /// Number of requests that the upstream runs concurrently.
    slots: usize,
    /// How many times longer than normal requests take at the upstream, as last reported.
    slowdown: f64,
    /// Share of recent requests that failed.
    failures: FailureRate,
    /// Current upstream process; `None` until a check-in or probe reports one.
    process: Option<UpstreamProcess>,
    /// The latest four instances that were replaced by another process; late check-ins of theirs
    /// are ignored.
    replaced_instances: SmallVec<[Arc<str>; 4]>,
    /// Whether the last attempt to connect to the upstream failed.
    unreachable: bool,
    /// Whether the upstream was cold when that was last logged.
    logged_cold: bool,
    calls: Calls,
    crashes: CrashTracker,
    /// The operators' current configuration.
    view: Arc<ControlView>,
    /// Reply to send once no call is running any more.
    drain_reply: Option<ReplySender<()>>,
    /// Whether this daemon is stopping, so that no new call is admitted.
    draining: bool,
    probes: ProbeSchedule,
    /// Load that was last sent to other daemons.
    sent_load: Option<LoadReport>,
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
            failures: FailureRate::default(),
            process: None,
            replaced_instances: SmallVec::new(),
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
    fn service(&self) -> Option<&ServiceSpec> {
        let desired = self.view.desired.as_ref()?;
        desired.service(&self.settings.service)
    }

    /// Asks the monitor service to probe the upstream's health path.
    fn probe(&mut self, now: Moment) {
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

    /// Treats the upstream as cold until its health path reports otherwise.
    fn assume_cold(&mut self, now: Moment) {
        let cold_duration = self.service().map_or(Duration::ZERO, |s| s.cold_duration);
        if let Some(process) = &mut self.process {
            process.extend_cold(cold_duration, now);
        }
        self.probe(now);
    }

    /// Tells the gate what is known about the coldness of the upstream.
    ///
    /// While the desired state does not describe the upstream's service, its rate counts as zero, so
    /// that only the starts that it tolerates at any rate are allowed.
    fn update_cold_limit(&mut self, now: Moment) {
        let Some(process) = &self.process else {
            return;
        };
        let rate = self.service().map_or(0.0, |s| s.cold_rate);
        let cold = ColdRate {
            until: process.cold_until,
            warm_at: process.warm_at,
            per_second: self.settings.tolerance.limit(rate),
            spare: self.settings.tolerance.spare(rate),
            unrecorded_until: self
                .may_lack_starts(process)
                .then_some(self.started - MIN_RESTART_TIME),
        };
        self.log_cold_change(&cold, now);
        let actions = self.gate.set_cold_rate(cold, now);
        self.apply_actions(actions, now);
        self.publish_load(now);
    }

    /// Returns whether an earlier daemon may have sent requests to the process since it turned cold.
    fn may_lack_starts(&self, process: &UpstreamProcess) -> bool {
        let cold_duration = self.service().map(|s| s.cold_duration);
        let turned_cold = process.earliest_warm.zip(cold_duration);
        turned_cold.is_none_or(|(end, duration)| {
            // Nothing is subtracted, as the clock may have started with this process.
            duration.is_zero() || end + MIN_RESTART_TIME < self.started + duration
        })
    }

    /// Logs that the upstream has become cold or warm.
    fn log_cold_change(&mut self, cold: &ColdRate, now: Moment) {
        let Some(process) = self.process.as_ref() else {
            return;
        };
        let is_cold = now < cold.until;
        if is_cold == self.logged_cold {
            return;
        }
        self.logged_cold = is_cold;
        let instance = process.instance.as_ref();
        let recent_starts = self.gate.recent_starts(now);
        if is_cold {
            log::info!(event = "upstream-cold", instance = instance, cold_ms = process.cold_until.since(now).as_millis() as u64, limit = cold.per_second, rate_known = self.service().is_some(), recent_starts = recent_starts; "upstream is cold; starts are limited");
        } else {
            log::info!(event = "upstream-warm", instance = instance, recent_starts = recent_starts; "upstream is no longer cold");
        }
    }

    /// Returns the maximum size in bytes of a response body.
    fn response_limit(&self) -> usize {
        (RESPONSE_MEMORY_BYTES / self.slots).clamp(MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES)
    }

    /// Counts a start at a cold upstream in the metrics.
    fn count_cold_start(&self) {
        let rate_known = self.service().is_some();
        let message = StatsMessage::ColdStart { rate_known };
        if let Err(e) = self.channels.stats.try_send(message) {
            log::debug!("start at a cold upstream is missing in the metrics: {e}");
        }
    }

    /// Applies a check-in unless it is out of date or comes from another upstream.
    pub(super) fn handle_check_in(&mut self, check_in: CheckIn, now: Moment) {
        let instance = check_in.instance.as_ref();
        let other_addr = check_in.addr.is_some_and(|a| a != self.settings.addr);
        let other_service = check_in
            .service
            .as_ref()
            .is_some_and(|s| *s != self.settings.service);
        if other_addr || other_service || self.replaced_instances.iter().any(|i| **i == *instance) {
            log::info!(event = "check-in-passed-over", instance = instance; "check-in ignored: other address, other service or replaced instance");
            return;
        }
        let old = self.process.clone();
        let effect = match &mut self.process {
            Some(process) => process.apply_check_in(&check_in, now),
            None => {
                self.process = Some(UpstreamProcess::from_check_in(&check_in, now));
                CheckInEffect::Changed
            }
        };
        if effect == CheckInEffect::Stale {
            log::info!(event = "check-in-passed-over", instance = instance, sequence = check_in.sequence; "check-in ignored: older than the known state, or from an older instance");
            return;
        }
        if let Some(slots) = check_in.slots {
            self.set_slots(usize::from(slots), now);
        }
        if effect == CheckInEffect::Changed {
            self.detect_replacement(old, now);
            self.unreachable = false;
            log::info!(event = "upstream-changed", instance = instance, state:% = check_in.state, sequence = check_in.sequence, cold_ms = check_in.cold_remaining.as_millis() as u64; "upstream checked in with a new state or as a new process");
            self.on_upstream_changed(now);
        }
        self.update_cold_limit(now);
    }

    /// Adds requests that may have crashed the upstream of another daemon.
    pub(super) fn merge_suspects(&mut self, suspects: &[SharedSuspect], now: Moment) {
        self.crashes.merge(suspects, now);
    }

    /// Compares the current process with the previous one. If it is another one, reports the
    /// replacement to the crash tracker and makes the guard ignore late check-ins of `old`.
    fn detect_replacement(&mut self, old: Option<UpstreamProcess>, now: Moment) {
        let current = self.process.as_ref().map(|p| Arc::clone(&p.instance));
        let old = old
            .map(|p| p.instance)
            .filter(|i| Some(i) != current.as_ref());
        if let Some(instance) = old {
            self.crashes.record_replacement(now);
            if self.replaced_instances.len() == self.replaced_instances.inline_size() {
                self.replaced_instances.remove(0);
            }
            self.replaced_instances.push(instance);
        }
    }

    /// Sets the number of requests that the upstream runs concurrently; zero is ignored.
    fn set_slots(&mut self, slots: usize, now: Moment) {
        if slots > 0 && slots != self.slots {
            self.slots = slots;
            let actions = self.gate.set_slots(slots, now);
            self.apply_actions(actions, now);
        }
    }

    /// Applies the result of a probe; `None` means that the upstream gave no answer.
    pub(super) fn handle_health(
        &mut self,
        requested: Moment,
        report: Option<HealthReport>,
        now: Moment,
    ) {
        self.probes.probe_ended(now);
        let Some(report) = report else {
            self.set_unreachable(true, now);
            self.offer_awaiting_load(now);
            return;
        };
        self.set_unreachable(false, now);
        if let Some(instance) = report.instance.as_deref() {
            self.apply_probed_instance(instance, &report, requested, now);
        }
        if let Some(load) = report.load {
            self.apply_load(load, now);
        }
        self.update_cold_limit(now);
        self.offer_awaiting_load(now);
    }

    /// Applies the instance that the health path named, which may be a new process.
    fn apply_probed_instance(
        &mut self,
        instance: &str,
        report: &HealthReport,
        requested: Moment,
        now: Moment,
    ) {
        match &mut self.process {
            Some(process) if *process.instance == *instance => {
                process.apply_health(report, requested, now);
            }
            _ => {
                let old = self.process.take();
                self.process = Some(UpstreamProcess::from_probe(
                    instance, report, requested, now,
                ));
                self.detect_replacement(old, now);
                log::info!(event = "upstream-changed", instance = instance, healthy = report.healthy; "health path reported a new upstream process");
                self.on_upstream_changed(now);
            }
        }
    }

    /// Records whether the upstream accepts connections and reacts to a change.
    fn set_unreachable(&mut self, unreachable: bool, now: Moment) {
        if unreachable == self.unreachable {
            return;
        }
        self.unreachable = unreachable;
        if unreachable {
            self.crashes.record_unreachable(now);
            self.refuse_unstarted(Cause::Unreachable, now);
        }
        log::info!(event = "upstream-reachable", reachable = !unreachable; "upstream became unreachable or reachable again");
        self.on_upstream_changed(now);
    }

    /// Applies the load that the upstream reported.
    fn apply_load(&mut self, load: UpstreamLoad, now: Moment) {
        self.probes.load_reported(now);
        self.set_slots(usize::from(load.slots), now);
        if let Some(slowdown) = load.slowdown {
            self.slowdown = slowdown;
            let actions = self.gate.set_slowdown(slowdown, now);
            self.apply_actions(actions, now);
        }
        self.publish_load(now);
    }

    /// Publishes a change of the process or its state, and refuses the calls that have not started
    /// if the upstream no longer accepts requests.
    fn on_upstream_changed(&mut self, now: Moment) {
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
    fn accepts_requests(&self) -> bool {
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
        })
    }

    /// Returns the estimated duration of a kind of request at normal speed of the upstream.
    pub(super) fn baseline_duration(&self, work: WorkKey) -> Duration {
        self.gate.baseline_duration(work)
    }

    /// Sends the load to the router and, after a significant change, to other daemons.
    fn publish_load(&mut self, now: Moment) {
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

    /// Offers a call to the gate, after a probe if the load information is out of date.
    pub(super) fn admit(
        &mut self,
        call: AdmissionRequest,
        reply: ReplySender<AdmissionDecision>,
        now: Moment,
    ) {
        let id = self.calls.add(&call, reply);
        if self.probes.is_load_fresh(now) {
            self.offer(id, &call, now);
            return;
        }
        self.calls.await_load(id, call, now + MAX_LOAD_WAIT);
        if !self.probes.is_pending() {
            self.probe(now);
        }
    }

    /// Offers a call to the gate, or refuses it if [`GuardState::check_admissible`] rules it out.
    fn offer(&mut self, id: GateCallId, call: &AdmissionRequest, now: Moment) {
        if let Err(cause) = self.check_admissible(call, now) {
            self.refuse(id, cause, DEFAULT_RETRY_AFTER, now);
            return;
        }
        let call = GateCall {
            id,
            work: call.work,
            priority: call.priority,
            objective: call.objective,
            deadline: call.deadline,
            expected_elsewhere: call.expected_elsewhere,
        };
        let actions = self.gate.offer(call, now);
        self.apply_actions(actions, now);
        self.remove_abandoned(now);
        self.publish_load(now);
    }

    /// Offers the calls that waited for fresh load information to the gate.
    fn offer_awaiting_load(&mut self, now: Moment) {
        for waiting in self.calls.take_awaiting_load() {
            self.offer(waiting.id, &waiting.call, now);
        }
    }

    /// Refuses a call; its sender may expect to be admitted after `retry_after`.
    fn refuse(&mut self, id: GateCallId, cause: Cause, retry_after: Duration, now: Moment) {
        let load = self.load(now);
        self.calls.refuse(
            id,
            AdmissionDecision::Refused {
                cause,
                retry_after,
                load,
            },
        );
    }

    /// Checks the conditions under which a call cannot run here, however long it waits.
    ///
    /// # Errors
    ///
    /// Returns why the call must not run here.
    fn check_admissible(&self, call: &AdmissionRequest, now: Moment) -> Result<(), Cause> {
        if self.view.domains_out.contains(&self.settings.domain) {
            return Err(Cause::DomainOut);
        }
        if !call.home_regions.is_empty() && !call.home_regions.contains(&self.settings.region) {
            return Err(Cause::NoUpstream);
        }
        // Every reason for which the upstream cannot take this call now; the sender tries another
        // upstream.
        if call.service != self.settings.service || !self.accepts_requests() {
            return Err(Cause::Leaving);
        }
        if self.crashes.is_refused(call.fingerprint, now) {
            return Err(Cause::CrashSuspect);
        }
        Ok(())
    }

    /// Removes calls whose senders no longer wait.
    fn remove_abandoned(&mut self, now: Moment) {
        for id in self.calls.take_abandoned() {
            let actions = self.gate.finish(id, false, now);
            self.apply_actions(actions, now);
        }
    }

    /// Records that an admitted request is being sent to the upstream.
    pub(super) fn record_sent(&mut self, id: GateCallId, now: Moment) {
        self.gate.record_sent(id, now);
    }

    /// Records the end of an admitted request and starts the calls that may now run.
    pub(super) fn finish(&mut self, report: PermitReport, now: Moment) {
        if let Some(call) = self.calls.end(report.id) {
            self.crashes.record_end(call, report.outcome, now);
        }
        if let Some(load) = report.load {
            self.apply_load(load, now);
        }
        if let Some(result) = report.outcome.call_result() {
            self.failures.record(result, now);
        }
        match report.outcome {
            PermitOutcome::Unreachable => self.set_unreachable(true, now),
            PermitOutcome::OtherInstance => self.probe(now),
            PermitOutcome::Lost if !self.probes.is_pending() => self.probe(now),
            _ => {}
        }
        let answered = report.outcome == PermitOutcome::Answered;
        let actions = self.gate.finish(report.id, answered, now);
        self.apply_actions(actions, now);
        self.publish_load(now);
        self.complete_drain_if_idle();
    }

    /// Performs the gate's actions and the actions that follow from them.
    fn apply_actions(&mut self, actions: GateActions, now: Moment) {
        let mut pending = actions;
        while !pending.is_empty() {
            let mut further = GateActions::new();
            for action in std::mem::take(&mut pending) {
                further.extend(self.apply_action(action, now));
            }
            pending = further;
        }
    }

    /// Performs one action and returns the actions that follow from it.
    fn apply_action(&mut self, action: GateAction, now: Moment) -> GateActions {
        match action {
            GateAction::Start(id) => {
                let instance = self.process.as_ref().map(|p| Arc::clone(&p.instance));
                let Some(reply) = self.calls.start(id, now) else {
                    return self.gate.finish(id, false, now);
                };
                let cold = self.gate.is_cold(now);
                if cold {
                    self.count_cold_start();
                }
                let cancelled = PermitReport {
                    id,
                    outcome: PermitOutcome::Cancelled,
                    load: None,
                };
                reply.send(AdmissionDecision::Admitted(Permit {
                    addr: self.settings.addr,
                    instance,
                    slowdown: self.slowdown,
                    admitted: now,
                    cold,
                    recent_starts: self.gate.recent_starts(now),
                    response_bytes: self.response_limit(),
                    report: CompletionSender::new(self.channels.reports.clone(), cancelled),
                    id,
                }));
            }
            // `expected` is the time until the call would have ended here.
            GateAction::Refuse(id, GateRefusal::FasterElsewhere { expected }) => {
                self.refuse(id, Cause::Elsewhere, expected, now);
            }
            GateAction::Refuse(id, GateRefusal::Overloaded { drain_time }) => {
                self.refuse(id, Cause::Overloaded, drain_time, now);
            }
        }
        GateActions::new()
    }

    /// Refuses all calls that have not started: those at the gate and those that wait for load
    /// information.
    fn refuse_unstarted(&mut self, cause: Cause, now: Moment) {
        let awaiting_load = self.calls.take_awaiting_load();
        let awaiting_load = awaiting_load.into_iter().map(|c| c.id);
        for id in self.gate.refuse_waiting().into_iter().chain(awaiting_load) {
            self.refuse(id, cause, DEFAULT_RETRY_AFTER, now);
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
    fn complete_drain_if_idle(&mut self) {
        if self.calls.running() == 0
            && let Some(reply) = self.drain_reply.take()
        {
            reply.send(());
        }
    }
}
