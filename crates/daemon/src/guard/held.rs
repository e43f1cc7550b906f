//! Requests that have a place and wait because a suspect runs alone, or is about to.
//!
//! A suspect at the front starts when nothing runs any more. Nothing behind it starts before it,
//! so others cannot keep it waiting.

use std::time::Duration;

use cornelvalve_model::{Moment, Reason, Refusal, ServiceName};
use cornelvalve_policy::{AdmissionEvent, RequestId, RequestResult};

use super::state::GuardState;

/// What became of a request that was about to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Started {
    /// It runs or was refused.
    Settled,
    /// It must wait.
    Held,
}

impl GuardState {
    /// Starts a request that got a place, unless others wait in front of it.
    pub(super) fn start(&mut self, service: &ServiceName, id: RequestId, now: Moment) {
        let first = self.locals.get(service).is_none_or(|l| l.held.is_empty());
        if first && self.try_start(service, id, now) == Started::Settled {
            return;
        }
        if let Some(local) = self.locals.get_mut(service) {
            local.held.push_back(id);
        }
    }

    /// Starts the held requests that need not wait any longer.
    pub(super) fn release_held(&mut self, now: Moment) {
        for service in self.holding() {
            while let Some(id) = self.first_held(&service) {
                if self.try_start(&service, id, now) == Started::Held {
                    break;
                }
                self.unhold(&service, id);
            }
        }
    }

    /// Refuses held requests whose deadline passed.
    pub(super) fn refuse_late(&mut self, now: Moment) {
        for service in self.holding() {
            let late = |id: &RequestId| self.calls.get(*id).is_none_or(|p| p.call.deadline <= now);
            let held = self.locals.get(&service).map(|l| l.held.iter());
            let late: Vec<RequestId> = held.into_iter().flatten().copied().filter(late).collect();
            for id in late {
                self.drop_held(&service, id, Reason::Deadline, now);
            }
        }
    }

    /// Refuses all held requests of a service whose upstream takes nothing new.
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
            self.drop_held(service, id, reason, now);
        }
    }

    /// Takes a request out of the held ones, if it is there, and frees its place.
    pub(super) fn drop_held(
        &mut self,
        service: &ServiceName,
        id: RequestId,
        reason: Reason,
        now: Moment,
    ) {
        if self.unhold(service, id) {
            self.refuse(id, Refusal::not_run(reason));
            self.free_place(service, id, RequestResult::Cancelled, Duration::ZERO, now);
        }
    }

    fn holding(&self) -> Vec<ServiceName> {
        let holding = self.locals.iter().filter(|(_, l)| !l.held.is_empty());
        holding.map(|(service, _)| service.clone()).collect()
    }

    fn first_held(&self, service: &ServiceName) -> Option<RequestId> {
        self.locals.get(service)?.held.front().copied()
    }

    fn unhold(&mut self, service: &ServiceName, id: RequestId) -> bool {
        let Some(local) = self.locals.get_mut(service) else {
            return false;
        };
        let before = local.held.len();
        local.held.retain(|held| *held != id);
        local.held.len() < before
    }
}
