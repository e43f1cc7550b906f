//! Table of the active requests: those that wait for admission or run.

use std::collections::HashMap;

use cornelvalve_kernel::ReplySender;
use cornelvalve_model::{Incarnation, LoadHint, Moment, Refusal};
use cornelvalve_policy::{ArrivalId, RequestId, StoredResponse};

use super::{AdmissionDecision, AdmissionRequest};

/// Request with the sender of its admission decision.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    /// The request.
    pub(super) request: AdmissionRequest,
    /// Sends the decision; `None` once it was sent.
    pub(super) reply: Option<ReplySender<AdmissionDecision>>,
    /// Moment at which the permit was granted; `None` before that.
    pub(super) granted: Option<Moment>,
    /// Incarnation of the upstream for which the permit was granted; meaningless before that.
    pub(super) incarnation: Incarnation,
    /// Whether it is a repeat that waits for the response to an earlier request with its ticket.
    pub(super) is_repeat: bool,
}

/// Active requests by id.
#[derive(Debug, Default)]
pub(super) struct ActiveRequests {
    last_id: u64,
    by_id: HashMap<RequestId, ActiveRequest>,
}

impl ActiveRequests {
    /// Adds a request and returns its id.
    pub(super) fn insert(
        &mut self,
        request: AdmissionRequest,
        reply: ReplySender<AdmissionDecision>,
    ) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let active = ActiveRequest {
            request,
            reply: Some(reply),
            granted: None,
            incarnation: Incarnation(0),
            is_repeat: false,
        };
        self.by_id.insert(id, active);
        id
    }

    /// Returns a request.
    pub(super) fn get(&self, id: RequestId) -> Option<&ActiveRequest> {
        self.by_id.get(&id)
    }

    /// Returns a mutable reference to a request.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut ActiveRequest> {
        self.by_id.get_mut(&id)
    }

    /// Removes a request that ended.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<ActiveRequest> {
        self.by_id.remove(&id)
    }

    /// Refuses a request and removes it.
    pub(super) fn refuse(&mut self, id: RequestId, refusal: Refusal, load: LoadHint) {
        self.reply(id, AdmissionDecision::Refused(refusal, load));
    }

    /// Sends a request the stored response of an earlier run and removes it.
    pub(super) fn replay(&mut self, id: RequestId, response: StoredResponse) {
        self.reply(id, AdmissionDecision::Replay(response));
    }

    /// Sends the decision on a request, if it is still awaited, and removes the request.
    fn reply(&mut self, id: RequestId, decision: AdmissionDecision) {
        if let Some(reply) = self.by_id.remove(&id).and_then(|p| p.reply) {
            reply.send(decision);
        }
    }

    /// Returns the requests with a permit.
    pub(super) fn running(&self) -> impl Iterator<Item = &ActiveRequest> {
        self.by_id.values().filter(|p| p.granted.is_some())
    }

    /// Returns the requests whose sender stopped waiting for the decision.
    pub(super) fn abandoned(&self) -> Vec<RequestId> {
        let is_abandoned =
            |p: &ActiveRequest| p.reply.as_ref().is_some_and(ReplySender::is_abandoned);
        let abandoned = self.by_id.iter().filter(|(_, p)| is_abandoned(p));
        abandoned.map(|(id, _)| *id).collect()
    }
}

/// Returns the id that a request has in the ticket table.
///
/// The ticket table does not depend on the admission controller and has an id type of its own; the
/// guard uses the same number in both.
pub(super) fn arrival_id(id: RequestId) -> ArrivalId {
    ArrivalId(id.0)
}

/// Returns the request that has an id in the ticket table.
pub(super) fn request_id(id: ArrivalId) -> RequestId {
    RequestId(id.0)
}
