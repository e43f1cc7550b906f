//! State of the guard: the upstream, the gate before it and the calls at the gate.

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
use super::crashes::CrashWatch;
use super::probing::{Probing, Sight};
use super::upstream::{CheckInEffect, UpstreamProcess};
use crate::desired::{ControlView, ServiceSpec};
use crate::messages::{
    AdmissionDecision, AdmissionRequest, DEFAULT_RETRY_AFTER, MembersMessage, MonitorMessage,
    NoticesMessage, Permit, PermitOutcome, PermitReport, RouterMessage,
};
use crate::ports::{Cause, CheckIn, HealthReport, UpstreamLoad};
use cornelvalve_kernel::CompletionSender;

/// Requests that an upstream runs at once before it has told.
const DEFAULT_SLOTS: usize = 8;

/// Path that tells the health of an upstream of a service that is not described yet.
const DEFAULT_HEALTH_PATH: &str = "/health";

/// Longest wait of a call for fresh load information.
const FRESH_WAIT: Duration = Duration::from_millis(10);

/// Slowdown from which an upstream counts as slow.
const SLOW: f64 = 1.5;

/// Longest time without work for the guard.
const MAX_SLEEP: Duration = Duration::from_secs(5);

/// Services that the guard tells of changes.
pub(super) struct Outlets {
    pub(super) reports: mpsc::UnboundedSender<PermitReport>,
    pub(super) members: Mailbox<MembersMessage>,
    pub(super) router: Mailbox<RouterMessage>,
    pub(super) notices: Mailbox<NoticesMessage>,
    pub(super) monitor: Mailbox<MonitorMessage>,
}

/// State of the guard.
pub(super) struct GuardState {
    settings: GuardSettings,
    outlets: Outlets,
    gate: Gate,
    slots: usize,
    slowdown: f64,
    failures: FailureRate,
    process: Option<UpstreamProcess>,
    /// Processes that were replaced; late check-ins of theirs are passed over.
    retired: SmallVec<[Arc<str>; 4]>,
    /// Whether the upstream took no connection at the last try.
    unreachable: bool,
    calls: Calls,
    crashes: CrashWatch,
    view: Arc<ControlView>,
    drain: Option<ReplySender<()>>,
    draining: bool,
    probing: Probing,
    told: Option<LoadReport>,
}

impl GuardState {
    pub(super) fn new(settings: GuardSettings, outlets: Outlets, now: Moment) -> Self {
        let crashes = CrashWatch::new(&settings, outlets.notices.clone());
        Self {
            settings,
            outlets,
            gate: Gate::new(DEFAULT_SLOTS),
            slots: DEFAULT_SLOTS,
            slowdown: 1.0,
            failures: FailureRate::default(),
            process: None,
            retired: SmallVec::new(),
            unreachable: false,
            calls: Calls::default(),
            crashes,
            view: Arc::default(),
            drain: None,
            draining: false,
            probing: Probing::new(now),
            told: None,
        }
    }

    /// Asks the upstream for its health, so that it is known before its next check-in.
    pub(super) fn begin(&mut self, now: Moment) {
        self.probe(now);
    }

    /// Returns the moment at which [`GuardState::advance`] is due.
    pub(super) fn next_due(&self, now: Moment) -> Moment {
        let gate = self.gate.next_due(now);
        let probe = self.next_probe();
        let judge = self.calls.judge_due();
        let due = gate.into_iter().chain(probe).chain(judge).min();
        due.unwrap_or(now + MAX_SLEEP).min(now + MAX_SLEEP)
    }

    pub(super) fn advance(&mut self, now: Moment) {
        if self.calls.judge_due().is_some_and(|due| due <= now) {
            self.judge(now);
        }
        let actions = self.gate.advance(now);
        self.carry_out(actions, now);
        if self.next_probe().is_some_and(|due| due <= now) {
            self.probe(now);
        }
    }

    fn next_probe(&self) -> Option<Moment> {
        self.probing.due(self.sight())
    }

    fn sight(&self) -> Sight {
        match &self.process {
            Some(process) if process.is_leaving() => Sight::Leaving,
            None => Sight::Lost,
            Some(_) if self.unreachable => Sight::Lost,
            Some(_) if self.gate.is_holding() => Sight::Holding,
            Some(_) if self.slowdown >= SLOW => Sight::Slow,
            Some(_) => Sight::Usual,
        }
    }

    /// Returns the description of the upstream's service.
    fn service(&self) -> Option<&ServiceSpec> {
        let desired = self.view.desired.as_ref()?;
        desired.service(&self.settings.service)
    }

    fn probe(&mut self, now: Moment) {
        let path = self
            .service()
            .map_or(DEFAULT_HEALTH_PATH, |s| &s.health_path);
        let probe = MonitorMessage::Probe {
            addr: self.settings.addr,
            path: path.into(),
        };
        self.probing.ask(now);
        if let Err(e) = self.outlets.monitor.try_send(probe) {
            log::debug!("{e}; asking again later");
        }
    }

    pub(super) fn set_control(&mut self, view: Arc<ControlView>, now: Moment) {
        let domain = &self.settings.domain;
        let was_out = self.view.domains_out.contains(domain);
        let is_out = view.domains_out.contains(domain);
        self.view = view;
        if is_out && !was_out {
            self.refuse_waiting(Cause::DomainOut, now);
        }
        if was_out && !is_out {
            self.expect_cold(now);
        }
        self.update_cold(now);
    }

    /// Treats the upstream as cold until its health path says otherwise.
    fn expect_cold(&mut self, now: Moment) {
        let cold_for = self.service().map_or(Duration::ZERO, |s| s.cold_duration);
        if let Some(process) = &mut self.process {
            process.cold_until = process.cold_until.max(now + cold_for);
        }
        self.probe(now);
    }

    fn update_cold(&mut self, now: Moment) {
        let cold = self.process.as_ref().zip(self.service());
        let cold = cold.map(|(p, s)| ColdRate {
            until: p.cold_until,
            per_second: self.settings.tolerance.limit(s.cold_rate),
        });
        let cold = cold.filter(|c| now < c.until);
        let actions = self.gate.set_cold_rate(cold, now);
        self.carry_out(actions, now);
        self.tell_load(now);
    }

    pub(super) fn check_in(&mut self, check_in: CheckIn, now: Moment) {
        let instance = check_in.instance.as_ref();
        let other_addr = check_in.addr.is_some_and(|a| a != self.settings.addr);
        let other_service = check_in
            .service
            .as_ref()
            .is_some_and(|s| *s != self.settings.service);
        if other_addr || other_service || self.retired.iter().any(|r| **r == *instance) {
            log::info!(event = "check-in-passed-over", instance = instance; "check-in is not of the present upstream");
            return;
        }
        let old = self.process.clone();
        let effect = match &mut self.process {
            Some(process) => process.check_in(&check_in, now),
            None => {
                self.process = Some(UpstreamProcess::announced(&check_in, now));
                CheckInEffect::Changed
            }
        };
        if effect == CheckInEffect::Stale {
            log::info!(event = "check-in-passed-over", instance = instance, sequence = check_in.sequence; "check-in is older than what is known");
            return;
        }
        if let Some(slots) = check_in.slots {
            self.set_slots(usize::from(slots), now);
        }
        if effect == CheckInEffect::Changed {
            self.retire(old, now);
            self.unreachable = false;
            log::info!(event = "upstream-changed", instance = instance, state:% = check_in.state, sequence = check_in.sequence, cold_ms = check_in.cold_remaining.as_millis() as u64; "upstream changed");
            self.upstream_changed(now);
        }
        self.update_cold(now);
    }

    /// Takes over what another daemon tells of requests that may have crashed its upstream.
    pub(super) fn learn_suspects(&mut self, suspects: &[SharedSuspect], now: Moment) {
        self.crashes.merge(suspects, now);
    }

    /// Remembers a process that another one has replaced.
    fn retire(&mut self, old: Option<UpstreamProcess>, now: Moment) {
        let current = self.process.as_ref().map(|p| Arc::clone(&p.instance));
        let old = old
            .map(|p| p.instance)
            .filter(|i| Some(i) != current.as_ref());
        if let Some(instance) = old {
            self.crashes.replaced(now);
            if self.retired.len() == self.retired.inline_size() {
                self.retired.remove(0);
            }
            self.retired.push(instance);
        }
    }

    fn set_slots(&mut self, slots: usize, now: Moment) {
        if slots > 0 && slots != self.slots {
            self.slots = slots;
            let actions = self.gate.set_slots(slots, now);
            self.carry_out(actions, now);
        }
    }

    pub(super) fn health(&mut self, report: Option<HealthReport>, now: Moment) {
        self.probing.answered(now);
        let Some(report) = report else {
            self.set_unreachable(true, now);
            self.judge(now);
            return;
        };
        self.set_unreachable(false, now);
        if let Some(instance) = report.instance.as_deref() {
            self.probed(instance, &report, now);
        }
        if let Some(load) = report.load {
            self.observe(load, now);
        }
        self.update_cold(now);
        self.judge(now);
    }

    fn probed(&mut self, instance: &str, report: &HealthReport, now: Moment) {
        match &mut self.process {
            Some(process) if *process.instance == *instance => {
                process.cold_until = now + report.cold_remaining.unwrap_or_default();
            }
            _ => {
                let old = self.process.take();
                self.process = Some(UpstreamProcess::probed(instance, report, now));
                self.retire(old, now);
                log::info!(event = "upstream-changed", instance = instance, healthy = report.healthy; "health path names another process");
                self.upstream_changed(now);
            }
        }
    }

    fn set_unreachable(&mut self, unreachable: bool, now: Moment) {
        if unreachable == self.unreachable {
            return;
        }
        self.unreachable = unreachable;
        if unreachable {
            self.crashes.died(now);
            self.refuse_waiting(Cause::Unreachable, now);
        }
        log::info!(event = "upstream-reachable", reachable = !unreachable; "upstream reachable or not");
        self.upstream_changed(now);
    }

    /// Notes load that the upstream reported.
    fn observe(&mut self, load: UpstreamLoad, now: Moment) {
        self.probing.informed(now);
        self.set_slots(usize::from(load.slots), now);
        if let Some(slowdown) = load.slowdown {
            self.slowdown = slowdown;
            let actions = self.gate.set_slowdown(slowdown, now);
            self.carry_out(actions, now);
        }
        self.tell_load(now);
    }

    /// Acts on a change of the process or its state.
    fn upstream_changed(&mut self, now: Moment) {
        if !self.takes_work() {
            self.refuse_waiting(Cause::Leaving, now);
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
        if let Err(e) = self.outlets.members.try_send(message) {
            log::warn!(event = "upstream-not-passed-on"; "{e}");
        }
        self.tell_load(now);
    }

    fn takes_work(&self) -> bool {
        let ready = self.process.as_ref().is_some_and(UpstreamProcess::is_ready);
        ready && !self.unreachable && !self.draining
    }

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

    /// Returns the time that work of a kind takes at usual speed.
    pub(super) fn usual_work(&self, work: WorkKey) -> Duration {
        self.gate.baseline_duration(work)
    }

    /// Tells the router the load, and neighbours if it changed much.
    fn tell_load(&mut self, now: Moment) {
        let Some(load) = self.load(now) else {
            return;
        };
        let repeats = self.calls.repeats() as f64 / self.calls.running().max(1) as f64;
        let own = RouterMessage::LocalLoad {
            load,
            retry_fraction: repeats,
        };
        if let Err(e) = self.outlets.router.try_send(own) {
            log::debug!("{e}; the next change tells the load");
        }
        let news = self
            .told
            .is_none_or(|told| load.is_significant_change_from(&told));
        if news
            && self
                .outlets
                .notices
                .try_send(NoticesMessage::Load(load))
                .is_ok()
        {
            self.told = Some(load);
        }
    }

    pub(super) fn admit(
        &mut self,
        call: AdmissionRequest,
        reply: ReplySender<AdmissionDecision>,
        now: Moment,
    ) {
        let id = self.calls.add(&call, reply);
        if self.probing.is_fresh(now) {
            self.offer(id, &call, now);
            return;
        }
        self.calls.keep_unjudged(id, call, now + FRESH_WAIT);
        if !self.probing.is_pending() {
            self.probe(now);
        }
    }

    /// Offers a call to the gate unless it may not run at all.
    fn offer(&mut self, id: GateCallId, call: &AdmissionRequest, now: Moment) {
        if let Err(cause) = self.check(call, now) {
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
        self.carry_out(actions, now);
        self.drop_abandoned(now);
        self.tell_load(now);
    }

    /// Offers the calls to the gate that waited for fresh load information.
    fn judge(&mut self, now: Moment) {
        for waited in self.calls.take_unjudged() {
            self.offer(waited.id, &waited.call, now);
        }
    }

    fn refuse(&mut self, id: GateCallId, cause: Cause, wait: Duration, now: Moment) {
        let load = self.load(now);
        self.calls.refuse(
            id,
            AdmissionDecision::Refused {
                cause,
                retry_after: wait,
                load,
            },
        );
    }

    /// Checks what no wait would change.
    fn check(&self, call: &AdmissionRequest, now: Moment) -> Result<(), Cause> {
        if self.view.domains_out.contains(&self.settings.domain) {
            return Err(Cause::DomainOut);
        }
        if !call.home_regions.is_empty() && !call.home_regions.contains(&self.settings.region) {
            return Err(Cause::NoUpstream);
        }
        if call.service != self.settings.service || !self.takes_work() {
            return Err(Cause::Leaving);
        }
        if self.crashes.refuses(call.fingerprint, now) {
            return Err(Cause::CrashSuspect);
        }
        Ok(())
    }

    /// Removes calls from the gate whose senders have gone.
    fn drop_abandoned(&mut self, now: Moment) {
        for id in self.calls.take_abandoned() {
            let actions = self.gate.finish(id, false, now);
            self.carry_out(actions, now);
        }
    }

    pub(super) fn finish(&mut self, report: PermitReport, now: Moment) {
        if let Some(ended) = self.calls.end(report.id) {
            self.crashes.ended(ended, report.outcome, now);
        }
        if let Some(load) = report.load {
            self.observe(load, now);
        }
        if let Some(result) = report.outcome.call_result() {
            self.failures.record(result, now);
        }
        match report.outcome {
            PermitOutcome::Unreachable => self.set_unreachable(true, now),
            PermitOutcome::OtherInstance => self.probe(now),
            PermitOutcome::Lost if !self.probing.is_pending() => self.probe(now),
            _ => {}
        }
        let answered = report.outcome == PermitOutcome::Answered;
        let actions = self.gate.finish(report.id, answered, now);
        self.carry_out(actions, now);
        self.tell_load(now);
        self.report_drained();
    }

    fn carry_out(&mut self, actions: GateActions, now: Moment) {
        let mut pending = actions;
        while !pending.is_empty() {
            let mut further = GateActions::new();
            for action in std::mem::take(&mut pending) {
                further.extend(self.act(action, now));
            }
            pending = further;
        }
    }

    fn act(&mut self, action: GateAction, now: Moment) -> GateActions {
        match action {
            GateAction::Start(id) => {
                let instance = self.process.as_ref().map(|p| Arc::clone(&p.instance));
                let Some(reply) = self.calls.start(id, now) else {
                    return self.gate.finish(id, false, now);
                };
                let cancelled = PermitReport {
                    id,
                    outcome: PermitOutcome::Cancelled,
                    load: None,
                };
                reply.send(AdmissionDecision::Admitted(Permit {
                    addr: self.settings.addr,
                    instance,
                    slowdown: self.slowdown,
                    report: CompletionSender::new(self.outlets.reports.clone(), cancelled),
                    id,
                }));
            }
            GateAction::Refuse(id, GateRefusal::FasterElsewhere { expected }) => {
                self.refuse(id, Cause::Elsewhere, expected, now);
            }
            GateAction::Refuse(id, GateRefusal::Overloaded { drain_time: drain }) => {
                self.refuse(id, Cause::Overloaded, drain, now);
            }
        }
        GateActions::new()
    }

    /// Refuses all calls that have not started.
    fn refuse_waiting(&mut self, cause: Cause, now: Moment) {
        let unjudged = self.calls.take_unjudged();
        let unjudged = unjudged.into_iter().map(|u| u.id);
        for id in self.gate.refuse_waiting().into_iter().chain(unjudged) {
            self.refuse(id, cause, DEFAULT_RETRY_AFTER, now);
        }
    }

    pub(super) fn drain(&mut self, reply: ReplySender<()>, now: Moment) {
        self.draining = true;
        self.drain = Some(reply);
        self.refuse_waiting(Cause::Leaving, now);
        self.tell_load(now);
        self.report_drained();
    }

    fn report_drained(&mut self) {
        if self.calls.running() == 0
            && let Some(reply) = self.drain.take()
        {
            reply.send(());
        }
    }
}
