//! Admission of requests: from their arrival to the end of their run.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use cornelvalve_kernel::ReplySender;
use cornelvalve_model::{Moment, Reason, Refusal, ServiceName};
use cornelvalve_policy::{
    AdmissionAction, AdmissionActions, AdmissionController, AdmissionEvent, InterruptedRequests,
    RequestId, RequestResult, StartDecision,
};

use super::calls::{PendingCall, call_id, request_id};
use super::held::Started;
use super::state::{GuardState, log_crash};
use super::{Admitted, Call, Permit, PermitEnd, PermitReport};
use cornelvalve_kernel::CompletionSender;

/// Result alias of this module.
type Result<T> = std::result::Result<T, Refusal>;

impl GuardState {
    /// Decides on a request; the reply may come later, when a place is free.
    pub(super) fn admit(&mut self, call: Call, reply: ReplySender<Admitted>, now: Moment) {
        self.rules.note_pause(now);
        let id = self.calls.insert(call, reply);
        if let Err(refusal) = self.arrive(id, now) {
            self.refuse(id, refusal);
        }
    }

    fn arrive(&mut self, id: RequestId, now: Moment) -> Result<()> {
        let Some(pending) = self.calls.get(id) else {
            return Ok(());
        };
        let call = pending.call.clone();
        if let Some(ticket) = &call.ticket
            && !self.arrive_ticket(id, &call, ticket, now)?
        {
            return Ok(());
        }
        self.rules.check(&call)?;
        let admission = self.admission(&call.service)?;
        let arrived = AdmissionEvent::Arrived {
            id,
            deadline: call.deadline,
            nesting: call.nesting,
        };
        let actions = admission.handle_event(arrived, now);
        self.apply(&call.service, actions, now);
        Ok(())
    }

    fn admission(&mut self, service: &ServiceName) -> Result<&mut AdmissionController> {
        let local = self.locals.get_mut(service);
        let local = local.ok_or(Refusal::not_run(Reason::NoUpstream))?;
        Ok(&mut local.admission)
    }

    /// Carries out what the admission of a service decided.
    fn apply(&mut self, service: &ServiceName, actions: AdmissionActions, now: Moment) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.start(service, id, now),
                AdmissionAction::Refuse(id, reason) => self.refuse(id, Refusal::not_run(reason)),
            }
        }
    }

    /// Starts a request that has a place, if it need not wait for a suspect.
    pub(super) fn try_start(
        &mut self,
        service: &ServiceName,
        id: RequestId,
        now: Moment,
    ) -> Started {
        match self.check_start(id, now) {
            Ok(Started::Held) => return Started::Held,
            Ok(Started::Settled) => self.grant(service, id, now),
            Err(refusal) => {
                self.refuse(id, refusal);
                self.free_place(service, id, RequestResult::Cancelled, Duration::ZERO, now);
            }
        }
        Started::Settled
    }

    fn grant(&mut self, service: &ServiceName, id: RequestId, now: Moment) {
        let Some(local) = self.locals.get(service) else {
            return;
        };
        let upstream = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), local.upstream.port);
        let hint = local.admission.load_hint();
        let incarnation = local.upstream.incarnation;
        let unused = PermitReport {
            id,
            end: PermitEnd::Unused,
            service_time: None,
        };
        let permit = Permit {
            upstream,
            hint,
            granted: now,
            id,
            service_time: None,
            report: CompletionSender::new(self.reports.clone(), unused),
        };
        if let Some(pending) = self.calls.get_mut(id) {
            pending.started = Some(now);
            pending.incarnation = incarnation;
            if let Some(reply) = pending.reply.take() {
                // If the asker has gone, dropping the permit reports that nothing was sent.
                reply.send(Admitted::Run(permit));
            }
        }
    }

    /// Checks the right to run at the moment of dispatch, after any queueing or pause.
    fn check_start(&mut self, id: RequestId, now: Moment) -> Result<Started> {
        let Some(pending) = self.calls.get(id) else {
            return Err(Refusal::not_run(Reason::Internal));
        };
        let call = &pending.call;
        // The rules may have changed while the request was queued.
        self.rules.note_pause(now);
        self.rules.check(call)?;
        let running = self.calls.running().count();
        match self
            .crashes
            .suspects
            .try_start(call.fingerprint, running, now)
        {
            StartDecision::Run => {}
            StartDecision::Hold => return Ok(Started::Held),
            StartDecision::Refuse(refusal) => return Err(refusal),
        }
        let checked = match &call.ticket {
            Some(ticket) => self.tickets.try_dispatch(ticket, now),
            None => Ok(()),
        };
        if checked.is_err() {
            // A suspect that does not start must not keep the others waiting.
            self.crashes.suspects.record_no_answer(call.fingerprint);
        }
        checked.map(|()| Started::Settled)
    }

    pub(super) fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        let Some(pending) = self.calls.get(id) else {
            return;
        };
        let hint = self
            .locals
            .get(&pending.call.service)
            .map(|l| l.admission.load_hint())
            .unwrap_or_default();
        let waiters = match &pending.call.ticket {
            Some(ticket) => self.tickets.release_pending(ticket),
            None => Default::default(),
        };
        self.calls.refuse(id, refusal, hint);
        for waiter in waiters {
            self.calls.refuse(request_id(waiter.id), refusal, hint);
        }
    }

    /// Takes the end of a request that had a permit.
    pub(super) fn finish(&mut self, report: PermitReport, now: Moment) {
        let PermitReport {
            id,
            end,
            service_time,
        } = report;
        self.rules.note_pause(now);
        let Some(pending) = self.calls.remove(id) else {
            return;
        };
        let service = pending.call.service.clone();
        let service_time = service_time.unwrap_or_default();
        self.judge_upstream(&pending, &end, now);
        let result = match &end {
            PermitEnd::Answered(_) => RequestResult::Success,
            PermitEnd::Failed(_) => RequestResult::Failure,
            PermitEnd::NotSent | PermitEnd::Lost | PermitEnd::Died => RequestResult::ConnectionLost,
            PermitEnd::Unused | PermitEnd::Cancelled => RequestResult::Cancelled,
        };
        if let Some(ticket) = &pending.call.ticket {
            self.finish_ticket(ticket, end, now);
        }
        self.free_place(&service, id, result, service_time, now);
        self.release_held(now);
        self.report_drained();
    }

    /// Learns from the end of a request whether the upstream lives.
    fn judge_upstream(&mut self, ended: &PendingCall, end: &PermitEnd, now: Moment) {
        let Call {
            service,
            fingerprint,
            ..
        } = &ended.call;
        let crashes = &mut self.crashes;
        match end {
            PermitEnd::Answered(_) | PermitEnd::Failed(_) => {
                crashes.request_answered(service, ended.incarnation);
                crashes.suspects.record_success(*fingerprint);
            }
            PermitEnd::Unused | PermitEnd::Cancelled => {
                crashes.suspects.record_no_answer(*fingerprint)
            }
            PermitEnd::NotSent => {
                log_crash(service, &crashes.connection_refused(service, now));
                crashes.suspects.record_no_answer(*fingerprint);
            }
            PermitEnd::Lost | PermitEnd::Died => {
                let running = self.running_beside(ended);
                let crashes = &mut self.crashes;
                crashes.connection_lost(service, ended.incarnation, running, now);
                if *end == PermitEnd::Died {
                    log_crash(service, &crashes.connection_refused(service, now));
                }
                crashes.suspects.record_no_answer(*fingerprint);
            }
        }
    }

    /// Lists a request and those that run at the same incarnation of its upstream.
    fn running_beside(&self, ended: &PendingCall) -> InterruptedRequests {
        let same = |p: &&PendingCall| {
            p.call.service == ended.call.service && p.incarnation == ended.incarnation
        };
        std::iter::once(ended)
            .chain(self.calls.running().filter(same))
            .map(|p| (p.call.fingerprint, self.rules.home_regions(&p.call)))
            .collect()
    }

    pub(super) fn free_place(
        &mut self,
        service: &ServiceName,
        id: RequestId,
        result: RequestResult,
        service_time: Duration,
        now: Moment,
    ) {
        let event = AdmissionEvent::Finished {
            id,
            result,
            service_time,
        };
        let Some(local) = self.locals.get_mut(service) else {
            return;
        };
        let actions = local.admission.handle_event(event, now);
        self.apply(service, actions, now);
    }

    /// Tells the admission of one service about an event.
    pub(super) fn admission_event(
        &mut self,
        service: &ServiceName,
        event: AdmissionEvent,
        now: Moment,
    ) {
        if let Some(local) = self.locals.get_mut(service) {
            let actions = local.admission.handle_event(event, now);
            self.apply(service, actions, now);
            self.refuse_held(service, event, now);
        }
    }

    /// Drops calls whose asker no longer waits for admission.
    pub(super) fn forget_abandoned(&mut self, now: Moment) {
        for id in self.calls.abandoned() {
            let Some(pending) = self.calls.get(id) else {
                continue;
            };
            let service = pending.call.service.clone();
            if self
                .locals
                .get(&service)
                .is_some_and(|l| l.held.contains(&id))
            {
                self.drop_held(&service, id, Reason::Overloaded, now);
                continue;
            }
            match &pending.call.ticket {
                Some(ticket) if pending.joined => {
                    self.tickets.cancelled(ticket, call_id(id));
                    self.calls.remove(id);
                }
                // Calls that joined this one are told that it did not run.
                _ => self.refuse(id, Refusal::not_run(Reason::Overloaded)),
            }
            self.admission_event(&service, AdmissionEvent::Cancelled { id }, now);
        }
    }
}
