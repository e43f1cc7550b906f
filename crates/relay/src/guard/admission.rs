//! Admission of calls to the upstream, from their arrival to their end.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{CompletionSender, ReplySender};
use cornelvalve_model::Moment;
use cornelvalve_policy::{GateAction, GateActions, GateCall, GateCallId, GateRefusal};

use super::state::GuardState;
use crate::messages::{
    AdmissionDecision, AdmissionRequest, DEFAULT_RETRY_AFTER, Permit, PermitOutcome, PermitReport,
};
use crate::ports::Cause;

/// Longest time for which a call waits for fresh load information before it is admitted without.
const MAX_LOAD_WAIT: Duration = Duration::from_millis(10);

/// Memory in bytes for the response bodies of all running requests. Buffers may be twice as large
/// as their contents, and the smallest VMs leave 160 MB to the daemon.
const RESPONSE_MEMORY_BYTES: usize = 32 * 1024 * 1024;

/// Maximum size in bytes of a response body, however few requests run.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Size in bytes of a response body that is always allowed, however many requests run.
const MIN_RESPONSE_BYTES: usize = 1024 * 1024;

impl GuardState {
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
    pub(super) fn offer_awaiting_load(&mut self, now: Moment) {
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
        if !self.is_allowed_by_later_version(call) {
            return Err(Cause::StaleConfiguration);
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

    /// Returns whether this guard may run a call whose route was taken from an earlier version than
    /// the one that it knows. The route may have moved to another service or region since, or have
    /// been removed.
    fn is_allowed_by_later_version(&self, call: &AdmissionRequest) -> bool {
        let later = self.view.desired.as_ref();
        let Some(later) = later.filter(|d| call.version < d.version) else {
            return true;
        };
        let Some((_, route)) = later.route(&call.host, &call.target) else {
            return false;
        };
        let mut services = route.weighted_services.iter();
        let homes = &route.home_regions;
        services.any(|s| s.service == self.settings.service)
            && (homes.is_empty() || homes.contains(&self.settings.region))
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
            if let Some(answer) = report.signals {
                self.apply_signals(answer, call.instance.as_deref(), now);
            }
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
    pub(super) fn apply_actions(&mut self, actions: GateActions, now: Moment) {
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
                let Some(reply) = self.calls.start(id, instance.clone(), now) else {
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
                    signals: None,
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
            GateAction::Refuse(id, GateRefusal::Limited { wait }) => {
                self.refuse(id, Cause::UpstreamLimit, wait, now);
            }
            GateAction::Refuse(id, GateRefusal::Overloaded { drain_time }) => {
                self.refuse(id, Cause::Overloaded, drain_time, now);
            }
        }
        GateActions::new()
    }

    /// Refuses all calls that have not started: those at the gate and those that wait for load
    /// information.
    pub(super) fn refuse_unstarted(&mut self, cause: Cause, now: Moment) {
        let awaiting_load = self.calls.take_awaiting_load();
        let awaiting_load = awaiting_load.into_iter().map(|c| c.id);
        for id in self.gate.refuse_waiting().into_iter().chain(awaiting_load) {
            self.refuse(id, cause, DEFAULT_RETRY_AFTER, now);
        }
    }

    /// Returns the maximum size in bytes of a response body.
    fn response_limit(&self) -> usize {
        (RESPONSE_MEMORY_BYTES / self.slots).clamp(MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES)
    }
}
