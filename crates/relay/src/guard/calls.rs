//! Calls that have asked for admission, until their end.

use std::collections::HashMap;

use cornelvalve_kernel::ReplySender;
use cornelvalve_model::{Fingerprint, Moment};
use cornelvalve_policy::{GateCallId, HomeRegions};
use smallvec::SmallVec;

use crate::messages::{AdmissionDecision, AdmissionRequest};

/// Call that waits for fresh load information before it is offered to the gate.
pub(super) struct Unjudged {
    pub(super) id: GateCallId,
    pub(super) call: AdmissionRequest,
    /// Longest wait.
    until: Moment,
}

/// What is kept of a call until its end.
struct Kept {
    /// Whether it was sent to an upstream before.
    again: bool,
    fingerprint: Fingerprint,
    homes: HomeRegions,
    started: Option<Moment>,
}

/// Call that has ended.
pub(super) struct Ended {
    pub(super) fingerprint: Fingerprint,
    pub(super) homes: HomeRegions,
    /// Start of its run.
    pub(super) started: Moment,
}

/// Calls with the replies that they wait for.
#[derive(Default)]
pub(super) struct Calls {
    last_id: u64,
    waiting: HashMap<GateCallId, ReplySender<AdmissionDecision>>,
    unjudged: Vec<Unjudged>,
    /// All calls, waiting or running.
    kept: HashMap<GateCallId, Kept>,
}

impl Calls {
    /// Adds a call.
    pub(super) fn add(
        &mut self,
        call: &AdmissionRequest,
        reply: ReplySender<AdmissionDecision>,
    ) -> GateCallId {
        self.last_id += 1;
        let id = GateCallId(self.last_id);
        self.waiting.insert(id, reply);
        let homes = if call.home_regions.is_empty() {
            HomeRegions::Any
        } else {
            HomeRegions::Only(call.home_regions.clone())
        };
        let kept = Kept {
            again: call.is_retry,
            fingerprint: call.fingerprint,
            homes,
            started: None,
        };
        self.kept.insert(id, kept);
        id
    }

    /// Keeps a call until fresh load information has come.
    pub(super) fn keep_unjudged(&mut self, id: GateCallId, call: AdmissionRequest, until: Moment) {
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
    pub(super) fn start(
        &mut self,
        id: GateCallId,
        now: Moment,
    ) -> Option<ReplySender<AdmissionDecision>> {
        let reply = self.waiting.remove(&id).filter(|r| !r.is_abandoned());
        match self.kept.get_mut(&id) {
            Some(kept) if reply.is_some() => kept.started = Some(now),
            _ => {
                self.kept.remove(&id);
            }
        }
        reply
    }

    /// Ends a call that does not start.
    pub(super) fn refuse(&mut self, id: GateCallId, refusal: AdmissionDecision) {
        self.kept.remove(&id);
        if let Some(reply) = self.waiting.remove(&id) {
            reply.send(refusal);
        }
    }

    /// Notes the end of a call that had started.
    pub(super) fn end(&mut self, id: GateCallId) -> Option<Ended> {
        let kept = self.kept.remove(&id)?;
        Some(Ended {
            fingerprint: kept.fingerprint,
            homes: kept.homes,
            started: kept.started?,
        })
    }

    /// Returns the number of calls that run.
    pub(super) fn running(&self) -> usize {
        self.kept.values().filter(|k| k.started.is_some()).count()
    }

    /// Takes out the calls whose senders have gone.
    pub(super) fn take_abandoned(&mut self) -> SmallVec<[GateCallId; 4]> {
        let abandoned = self.waiting.iter().filter(|(_, r)| r.is_abandoned());
        let abandoned: SmallVec<[GateCallId; 4]> = abandoned.map(|(id, _)| *id).collect();
        for id in &abandoned {
            self.waiting.remove(id);
            self.kept.remove(id);
            self.unjudged.retain(|u| u.id != *id);
        }
        abandoned
    }

    /// Returns the number of repeats among the calls.
    pub(super) fn repeats(&self) -> usize {
        self.kept.values().filter(|k| k.again).count()
    }
}
