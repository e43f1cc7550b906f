//! Calls that have asked for admission and have not started.

use std::collections::{HashMap, HashSet};

use cornelvalve_kernel::Reply;
use cornelvalve_model::Moment;
use cornelvalve_policy::GateId;
use smallvec::SmallVec;

use crate::messages::{AdmitCall, Admitted};

/// Call that waits for fresh load information before it is offered to the gate.
pub(super) struct Unjudged {
    pub(super) id: GateId,
    pub(super) call: AdmitCall,
    /// Longest wait.
    until: Moment,
}

/// Calls with the replies that they wait for, and which calls are repeats.
#[derive(Default)]
pub(super) struct Calls {
    last_id: u64,
    waiting: HashMap<GateId, Reply<Admitted>>,
    unjudged: Vec<Unjudged>,
    /// Calls, waiting or running, that were sent to an upstream before.
    repeats: HashSet<GateId>,
}

impl Calls {
    /// Adds a call.
    pub(super) fn add(&mut self, call: &AdmitCall, reply: Reply<Admitted>) -> GateId {
        self.last_id += 1;
        let id = GateId(self.last_id);
        self.waiting.insert(id, reply);
        if call.again {
            self.repeats.insert(id);
        }
        id
    }

    /// Keeps a call until fresh load information has come.
    pub(super) fn keep_unjudged(&mut self, id: GateId, call: AdmitCall, until: Moment) {
        self.unjudged.push(Unjudged { id, call, until });
    }

    /// Returns the moment at which the first call has waited long enough for load information.
    pub(super) fn judge_due(&self) -> Option<Moment> {
        self.unjudged.iter().map(|u| u.until).min()
    }

    /// Takes out the calls that waited for load information.
    pub(super) fn take_unjudged(&mut self) -> Vec<Unjudged> {
        std::mem::take(&mut self.unjudged)
    }

    /// Returns the reply for a call that may start; `None` if its sender has gone.
    pub(super) fn start(&mut self, id: GateId) -> Option<Reply<Admitted>> {
        let reply = self.waiting.remove(&id).filter(|r| !r.is_abandoned());
        if reply.is_none() {
            self.repeats.remove(&id);
        }
        reply
    }

    /// Ends a call that does not start.
    pub(super) fn refuse(&mut self, id: GateId, refusal: Admitted) {
        self.repeats.remove(&id);
        if let Some(reply) = self.waiting.remove(&id) {
            reply.send(refusal);
        }
    }

    /// Notes the end of a call that had started.
    pub(super) fn ended(&mut self, id: GateId) {
        self.repeats.remove(&id);
    }

    /// Takes out the calls whose senders have gone.
    pub(super) fn take_abandoned(&mut self) -> SmallVec<[GateId; 4]> {
        let abandoned = self.waiting.iter().filter(|(_, r)| r.is_abandoned());
        let abandoned: SmallVec<[GateId; 4]> = abandoned.map(|(id, _)| *id).collect();
        for id in &abandoned {
            self.waiting.remove(id);
            self.repeats.remove(id);
            self.unjudged.retain(|u| u.id != *id);
        }
        abandoned
    }

    /// Returns the number of repeats among the calls.
    pub(super) fn repeats(&self) -> usize {
        self.repeats.len()
    }
}
