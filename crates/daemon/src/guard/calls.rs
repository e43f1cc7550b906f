//! Calls that wait for admission or run.

use std::collections::HashMap;

use cornelvalve_kernel::ReplySender;
use cornelvalve_model::{Incarnation, LoadHint, Moment, Refusal};
use cornelvalve_policy::{ArrivalId, RequestId, StoredResponse};

use super::{Admitted, Call};

/// A call with whoever waits for its admission.
#[derive(Debug)]
pub(super) struct PendingCall {
    /// The request.
    pub(super) call: Call,
    /// Waits for admission; `None` once it was answered.
    pub(super) reply: Option<ReplySender<Admitted>>,
    /// Moment at which the request started to run.
    pub(super) started: Option<Moment>,
    /// Incarnation of the upstream that runs it.
    pub(super) incarnation: Incarnation,
    /// Whether it waits for the run of another call with the same ticket.
    pub(super) joined: bool,
}

/// All calls that the guard has not seen the end of.
#[derive(Debug, Default)]
pub(super) struct Calls {
    last: u64,
    pending: HashMap<RequestId, PendingCall>,
}

impl Calls {
    /// Adds a call.
    pub(super) fn insert(&mut self, call: Call, reply: ReplySender<Admitted>) -> RequestId {
        self.last += 1;
        let id = RequestId(self.last);
        let pending = PendingCall {
            call,
            reply: Some(reply),
            started: None,
            incarnation: Incarnation(0),
            joined: false,
        };
        self.pending.insert(id, pending);
        id
    }

    /// Returns a call.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingCall> {
        self.pending.get(&id)
    }

    /// Returns a call for change.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingCall> {
        self.pending.get_mut(&id)
    }

    /// Removes a call that ended.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<PendingCall> {
        self.pending.remove(&id)
    }

    /// Refuses a call and removes it.
    pub(super) fn refuse(&mut self, id: RequestId, refusal: Refusal, hint: LoadHint) {
        self.answer(id, Admitted::Refused(refusal, hint));
    }

    /// Answers a call with the result of an earlier run and removes it.
    pub(super) fn replay(&mut self, id: RequestId, answer: StoredResponse) {
        self.answer(id, Admitted::Replay(answer));
    }

    fn answer(&mut self, id: RequestId, answer: Admitted) {
        if let Some(reply) = self.pending.remove(&id).and_then(|p| p.reply) {
            reply.send(answer);
        }
    }

    /// Lists the running calls.
    pub(super) fn running(&self) -> impl Iterator<Item = &PendingCall> {
        self.pending.values().filter(|p| p.started.is_some())
    }

    /// Lists the calls whose asker no longer waits for admission.
    pub(super) fn abandoned(&self) -> Vec<RequestId> {
        let gone = |p: &PendingCall| p.reply.as_ref().is_some_and(ReplySender::is_abandoned);
        let abandoned = self.pending.iter().filter(|(_, p)| gone(p));
        abandoned.map(|(id, _)| *id).collect()
    }
}

/// Returns the id under which the ticket table knows a call.
pub(super) fn call_id(id: RequestId) -> ArrivalId {
    ArrivalId(id.0)
}

/// Returns the call that the ticket table knows under an id.
pub(super) fn request_id(id: ArrivalId) -> RequestId {
    RequestId(id.0)
}
