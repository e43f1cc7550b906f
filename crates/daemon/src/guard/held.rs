//! Requests that the admission controller has started but that are held because of a suspect.
//!
//! A suspect is a request that was running when an upstream crashed. It runs alone, so that another
//! crash can be attributed to it: it waits until no other request runs, and others wait until it
//! has ended. Held requests start in order, so later requests cannot delay a suspect forever.

use std::time::Duration;

use cornelvalve_model::{Moment, Reason, Refusal, ServiceName};
use cornelvalve_policy::{AdmissionEvent, RequestId, RequestResult};

use super::state::GuardState;

/// Whether a request is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldDecision {
    /// The request need not wait: it can start, or was started or refused.
    NotHeld,
    /// The request must wait.
    Held,
}

impl GuardState {
    /// Starts a request, or holds it if it must wait or other requests are held before it.
    pub(super) fn start_or_hold(&mut self, service: &ServiceName, id: RequestId, now: Moment) {
        let first = self
            .upstreams
            .get(service)
            .is_none_or(|l| l.held.is_empty());
        if first && self.try_start(service, id, now) == HoldDecision::NotHeld {
            return;
        }
        if let Some(local) = self.upstreams.get_mut(service) {
            local.held.push_back(id);
        }
    }

    /// Starts the held requests that no longer have to wait, in order.
    pub(super) fn release_held(&mut self, now: Moment) {
        for service in self.services_with_held() {
            while let Some(id) = self.first_held(&service) {
                if self.try_start(&service, id, now) == HoldDecision::Held {
                    break;
                }
                self.remove_held(&service, id);
            }
        }
    }

    /// Refuses held requests whose deadline has passed.
    pub(super) fn refuse_expired(&mut self, now: Moment) {
        for service in self.services_with_held() {
            let late = |id: &RequestId| {
                self.requests
                    .get(*id)
                    .is_none_or(|p| p.request.deadline <= now)
            };
            let held = self.upstreams.get(&service).map(|l| l.held.iter());
            let late: Vec<RequestId> = held.into_iter().flatten().copied().filter(late).collect();
            for id in late {
                self.refuse_if_held(&service, id, Reason::Deadline, now);
            }
        }
    }

    /// Refuses all held requests of a service if `event` means that its upstream accepts no new
    /// requests.
    pub(super) fn refuse_held(
        &mut self,
        service: &ServiceName,
        event: AdmissionEvent,
        now: Moment,
    ) {
        let reason = match event {
            AdmissionEvent::UpstreamLost => Reason::NoUpstream,
            AdmissionEvent::UpstreamDraining | AdmissionEvent::DaemonLeaving => Reason::Draining,
            _ => return,
        };
        while let Some(id) = self.first_held(service) {
            self.refuse_if_held(service, id, reason, now);
        }
    }

    /// Refuses a request if it is held, and reports to the admission controller that it has ended.
    pub(super) fn refuse_if_held(
        &mut self,
        service: &ServiceName,
        id: RequestId,
        reason: Reason,
        now: Moment,
    ) {
        if self.remove_held(service, id) {
            self.refuse(id, Refusal::not_run(reason));
            self.notify_controller_finished(
                service,
                id,
                RequestResult::Cancelled,
                Duration::ZERO,
                now,
            );
        }
    }

    /// Returns the services that have held requests.
    fn services_with_held(&self) -> Vec<ServiceName> {
        let holding = self.upstreams.iter().filter(|(_, l)| !l.held.is_empty());
        holding.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the first held request of a service.
    fn first_held(&self, service: &ServiceName) -> Option<RequestId> {
        self.upstreams.get(service)?.held.front().copied()
    }

    /// Removes a request from the held ones and returns whether it was one of them.
    fn remove_held(&mut self, service: &ServiceName, id: RequestId) -> bool {
        let Some(local) = self.upstreams.get_mut(service) else {
            return false;
        };
        let before = local.held.len();
        local.held.retain(|held| *held != id);
        local.held.len() < before
    }
}
