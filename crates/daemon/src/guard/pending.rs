//! Calls that wait for admission or run.

use std::collections::HashMap;

use cornelvalve_kernel::ReplySender;
use cornelvalve_model::{Incarnation, LoadHint, Moment, Refusal};
use cornelvalve_policy::{CallId, RequestId, StoredResponse};

use super::{AdmissionDecision, AdmissionRequest};

/// A call with whoever waits for its admission.
#[derive(Debug)]
pub(super) struct PendingRequest {
    /// The request.
    pub(super) request: AdmissionRequest,
    /// Waits for admission; `None` once it was answered.
    pub(super) reply: Option<ReplySender<AdmissionDecision>>,
    /// Moment at which the request started to run.
    pub(super) started: Option<Moment>,
    /// Incarnation of the upstream that runs it.
    pub(super) incarnation: Incarnation,
    /// Whether it waits for the run of another call with the same ticket.
    pub(super) joined: bool,
}

/// All calls that the guard has not seen the end of.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    last_id: u64,
    by_id: HashMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    /// Adds a call.
    pub(super) fn insert(
        &mut self,
        request: AdmissionRequest,
        reply: ReplySender<AdmissionDecision>,
    ) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let pending = PendingRequest {
            request,
            reply: Some(reply),
            started: None,
            incarnation: Incarnation(0),
            joined: false,
        };
        self.by_id.insert(id, pending);
        id
    }

    /// Returns a call.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.by_id.get(&id)
    }

    /// Returns a call for change.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.by_id.get_mut(&id)
    }

    /// Removes a call that ended.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.by_id.remove(&id)
    }

    /// Refuses a call and removes it.
    pub(super) fn refuse(&mut self, id: RequestId, refusal: Refusal, hint: LoadHint) {
        self.reply(id, AdmissionDecision::Refused(refusal, hint));
    }

    /// Answers a call with the result of an earlier run and removes it.
    pub(super) fn replay(&mut self, id: RequestId, response: StoredResponse) {
        self.reply(id, AdmissionDecision::Replay(response));
    }

    fn reply(&mut self, id: RequestId, decision: AdmissionDecision) {
        if let Some(reply) = self.by_id.remove(&id).and_then(|p| p.reply) {
            reply.send(decision);
        }
    }

    /// Lists the running calls.
    pub(super) fn running(&self) -> impl Iterator<Item = &PendingRequest> {
        self.by_id.values().filter(|p| p.started.is_some())
    }

    /// Lists the calls whose asker no longer waits for admission.
    pub(super) fn abandoned(&self) -> Vec<RequestId> {
        let is_abandoned =
            |p: &PendingRequest| p.reply.as_ref().is_some_and(ReplySender::is_abandoned);
        let abandoned = self.by_id.iter().filter(|(_, p)| is_abandoned(p));
        abandoned.map(|(id, _)| *id).collect()
    }
}

/// Returns the id under which the ticket table knows a call.
pub(super) fn call_id(id: RequestId) -> CallId {
    CallId(id.0)
}

/// Returns the call that the ticket table knows under an id.
pub(super) fn request_id(id: CallId) -> RequestId {
    RequestId(id.0)
}
