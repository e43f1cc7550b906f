//! Admission of requests, from their arrival to the report of their end.
//!
//! A suspect is a request that was running when an upstream crashed. It runs alone, so other
//! requests may be held until it has ended; see the module `held`.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use cornelvalve_kernel::ReplySender;
use cornelvalve_model::{AnswerSignals, Moment, Reason, Refusal, ServiceName};
use cornelvalve_policy::{
    AdmissionAction, AdmissionActions, AdmissionController, AdmissionEvent, InterruptedRequests,
    RequestId, RequestResult, StartDecision,
};

use super::active::{ActiveRequest, arrival_id, request_id};
use super::held::HoldDecision;
use super::state::{GuardState, log_crash};
use super::{AdmissionDecision, AdmissionRequest, Permit, PermitOutcome, PermitReport};
use cornelvalve_kernel::CompletionSender;

/// Result alias of this module.
type Result<T> = std::result::Result<T, Refusal>;

impl GuardState {
    /// Handles the arrival of a request; the reply may be sent later if the request is queued.
    pub(super) fn admit(
        &mut self,
        request: AdmissionRequest,
        reply: ReplySender<AdmissionDecision>,
        now: Moment,
    ) {
        self.validator.detect_pause(now);
        let id = self.requests.insert(request, reply);
        if let Err(refusal) = self.process_arrival(id, now) {
            self.refuse(id, refusal);
        }
    }

    /// Checks a request and passes it to the admission controller of its service.
    fn process_arrival(&mut self, id: RequestId, now: Moment) -> Result<()> {
        let Some(active) = self.requests.get(id) else {
            return Ok(());
        };
        let request = active.request.clone();
        if let Some(ticket) = &request.ticket
            && !self.process_ticket(id, &request, ticket, now)?
        {
            return Ok(());
        }
        self.validator.check(&request)?;
        let admission = self.admission_controller(&request.service)?;
        let arrived = AdmissionEvent::Arrived {
            id,
            deadline: request.deadline,
            nesting: request.nesting,
        };
        let actions = admission.handle_event(arrived, now);
        self.apply_actions(&request.service, actions, now);
        Ok(())
    }

    /// Returns the admission controller of a service.
    fn admission_controller(&mut self, service: &ServiceName) -> Result<&mut AdmissionController> {
        let local = self.upstreams.get_mut(service);
        let local = local.ok_or(Refusal::not_run(Reason::NoUpstream))?;
        Ok(&mut local.admission)
    }

    /// Carries out the actions that an admission controller returned.
    fn apply_actions(&mut self, service: &ServiceName, actions: AdmissionActions, now: Moment) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.start_or_hold(service, id, now),
                AdmissionAction::Refuse(id, reason) => self.refuse(id, Refusal::not_run(reason)),
            }
        }
    }

    /// Grants or refuses a request, or returns that it must be held because of a suspect.
    pub(super) fn try_start(
        &mut self,
        service: &ServiceName,
        id: RequestId,
        now: Moment,
    ) -> HoldDecision {
        match self.check_start(id, now) {
            Ok(HoldDecision::Held) => return HoldDecision::Held,
            Ok(HoldDecision::NotHeld) => self.grant(service, id, now),
            Err(refusal) => {
                self.refuse(id, refusal);
                self.notify_controller_finished(
                    service,
                    id,
                    RequestResult::Cancelled,
                    Duration::ZERO,
                    now,
                );
            }
        }
        HoldDecision::NotHeld
    }

    /// Sends a request its permit.
    fn grant(&mut self, service: &ServiceName, id: RequestId, now: Moment) {
        let Some(local) = self.upstreams.get(service) else {
            return;
        };
        let upstream = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), local.upstream.port);
        let load = local.admission.load_hint();
        let incarnation = local.upstream.incarnation;
        let unused = PermitReport {
            id,
            outcome: PermitOutcome::Unused,
            service_time: None,
            signals: None,
        };
        let permit = Permit {
            upstream,
            load,
            granted: now,
            id,
            service_time: None,
            signals: None,
            report: CompletionSender::new(self.reports.clone(), unused),
        };
        if let Some(active) = self.requests.get_mut(id) {
            active.granted = Some(now);
            active.incarnation = incarnation;
            if let Some(reply) = active.reply.take() {
                // If the receiver has gone, dropping the permit reports that it was not used.
                reply.send(AdmissionDecision::Admitted(permit));
            }
        }
    }

    /// Checks a request again before it starts, because it may have been queued or the process may
    /// have been paused since its arrival.
    ///
    /// Returns [`HoldDecision::NotHeld`] if the request may start now.
    fn check_start(&mut self, id: RequestId, now: Moment) -> Result<HoldDecision> {
        let Some(active) = self.requests.get(id) else {
            return Err(Refusal::not_run(Reason::Internal));
        };
        let request = &active.request;
        // The configuration may have changed while the request was queued.
        self.validator.detect_pause(now);
        self.validator.check(request)?;
        let running = self.requests.running().count();
        match self
            .crashes
            .suspects
            .try_start(request.fingerprint, running, now)
        {
            StartDecision::Run => {}
            StartDecision::Hold => return Ok(HoldDecision::Held),
            StartDecision::Refuse(refusal) => return Err(refusal),
        }
        let checked = match &request.ticket {
            Some(ticket) => self.tickets.try_dispatch(ticket, now),
            None => Ok(()),
        };
        if checked.is_err() {
            // If the request is a suspect, `try_start` has reserved the upstream for it alone. This
            // ends the reservation: the request does not start, and the others would otherwise keep
            // waiting for it.
            self.crashes.suspects.record_no_answer(request.fingerprint);
        }
        checked.map(|()| HoldDecision::NotHeld)
    }

    /// Refuses a request and the repeats with the same ticket that wait for it.
    pub(super) fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        let Some(active) = self.requests.get(id) else {
            return;
        };
        let load = self
            .upstreams
            .get(&active.request.service)
            .map(|l| l.admission.load_hint())
            .unwrap_or_default();
        let waiters = match &active.request.ticket {
            Some(ticket) => self.tickets.release_pending(ticket),
            None => Default::default(),
        };
        self.requests.refuse(id, refusal, load);
        for waiter in waiters {
            self.requests.refuse(request_id(waiter.id), refusal, load);
        }
    }

    /// Handles the report of the end of a request that had a permit.
    pub(super) fn finish(&mut self, report: PermitReport, now: Moment) {
        let PermitReport {
            id,
            outcome,
            service_time,
            signals,
        } = report;
        self.validator.detect_pause(now);
        let Some(active) = self.requests.remove(id) else {
            return;
        };
        let service = active.request.service.clone();
        let service_time = service_time.unwrap_or_default();
        self.record_crash_evidence(&active, &outcome, now);
        if let Some((sent, signals)) = active.granted.zip(signals) {
            let event = AdmissionEvent::UpstreamSignals {
                incarnation: active.incarnation,
                answer: AnswerSignals { sent, signals },
            };
            self.handle_admission_event(&service, event, now);
        }
        let result = match &outcome {
            PermitOutcome::Answered(_) => RequestResult::Success,
            PermitOutcome::ServerError(_) => RequestResult::Failure,
            PermitOutcome::NotSent
            | PermitOutcome::ConnectionLost
            | PermitOutcome::UpstreamDied => RequestResult::ConnectionLost,
            PermitOutcome::Unused | PermitOutcome::Cancelled => RequestResult::Cancelled,
        };
        if let Some(ticket) = &active.request.ticket {
            self.finish_ticket(ticket, outcome, now);
        }
        self.notify_controller_finished(&service, id, result, service_time, now);
        self.release_held(now);
        self.notify_if_drained();
    }

    /// Passes on to crash detection what the end of a request says about its upstream.
    fn record_crash_evidence(
        &mut self,
        finished: &ActiveRequest,
        outcome: &PermitOutcome,
        now: Moment,
    ) {
        let AdmissionRequest {
            service,
            fingerprint,
            ..
        } = &finished.request;
        let crashes = &mut self.crashes;
        match outcome {
            PermitOutcome::Answered(_) | PermitOutcome::ServerError(_) => {
                crashes.request_answered(service, finished.incarnation);
                crashes.suspects.record_success(*fingerprint);
            }
            PermitOutcome::Unused | PermitOutcome::Cancelled => {
                crashes.suspects.record_no_answer(*fingerprint)
            }
            PermitOutcome::NotSent => {
                log_crash(service, &crashes.connection_refused(service, now));
                crashes.suspects.record_no_answer(*fingerprint);
            }
            PermitOutcome::ConnectionLost | PermitOutcome::UpstreamDied => {
                let running = self.running_on_incarnation(finished);
                let crashes = &mut self.crashes;
                crashes.connection_lost(service, finished.incarnation, running, now);
                if *outcome == PermitOutcome::UpstreamDied {
                    log_crash(service, &crashes.connection_refused(service, now));
                }
                crashes.suspects.record_no_answer(*fingerprint);
            }
        }
    }

    /// Returns a request that ended and those that still run at the same incarnation of its
    /// upstream.
    fn running_on_incarnation(&self, finished: &ActiveRequest) -> InterruptedRequests {
        let same = |p: &&ActiveRequest| {
            p.request.service == finished.request.service && p.incarnation == finished.incarnation
        };
        std::iter::once(finished)
            .chain(self.requests.running().filter(same))
            .map(|p| {
                (
                    p.request.fingerprint,
                    self.validator.home_regions(&p.request),
                )
            })
            .collect()
    }

    /// Tells the admission controller that a request that it started has ended, and starts the
    /// requests that can run now.
    pub(super) fn notify_controller_finished(
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
        let Some(local) = self.upstreams.get_mut(service) else {
            return;
        };
        let actions = local.admission.handle_event(event, now);
        self.apply_actions(service, actions, now);
    }

    /// Passes an event to the admission controller of a service and carries out its actions.
    pub(super) fn handle_admission_event(
        &mut self,
        service: &ServiceName,
        event: AdmissionEvent,
        now: Moment,
    ) {
        if let Some(local) = self.upstreams.get_mut(service) {
            let actions = local.admission.handle_event(event, now);
            self.apply_actions(service, actions, now);
            self.refuse_held(service, event, now);
        }
    }

    /// Removes requests whose sender no longer waits for the decision.
    ///
    /// The repeats of such a request get the reason `Overloaded`: the request waited for admission
    /// until its sender gave up.
    pub(super) fn remove_abandoned(&mut self, now: Moment) {
        for id in self.requests.abandoned() {
            let Some(active) = self.requests.get(id) else {
                continue;
            };
            let service = active.request.service.clone();
            if self
                .upstreams
                .get(&service)
                .is_some_and(|l| l.held.contains(&id))
            {
                self.refuse_if_held(&service, id, Reason::Overloaded, now);
                continue;
            }
            match &active.request.ticket {
                Some(ticket) if active.is_repeat => {
                    self.tickets.cancelled(ticket, arrival_id(id));
                    self.requests.remove(id);
                }
                // Repeats that wait for this request are refused as well, because it will not run.
                _ => self.refuse(id, Refusal::not_run(Reason::Overloaded)),
            }
            self.handle_admission_event(&service, AdmissionEvent::Cancelled { id }, now);
        }
    }
}
