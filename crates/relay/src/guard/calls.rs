//! Bookkeeping of the calls that asked the guard for admission, from their arrival to their end.

use std::collections::HashMap;
use std::sync::Arc;

use cornelvalve_kernel::ReplySender;
use cornelvalve_model::{Fingerprint, Moment};
use cornelvalve_policy::{GateCallId, HomeRegions};
use smallvec::SmallVec;

use crate::messages::{AdmissionDecision, AdmissionRequest};

/// Call that waits for fresh load information before it is offered to the admission gate.
pub(super) struct CallAwaitingLoad {
    pub(super) id: GateCallId,
    pub(super) call: AdmissionRequest,
    /// Moment at which the call is offered to the gate even without fresh load information.
    until: Moment,
}

/// What the guard must know about a call until it ends.
struct CallRecord {
    /// Whether an earlier attempt of the request was sent to an upstream.
    is_retry: bool,
    fingerprint: Fingerprint,
    home_regions: HomeRegions,
    /// Process that runs it; `None` while it waits, or if the process is unknown.
    instance: Option<Arc<str>>,
    /// Start of its run; `None` while it waits.
    started: Option<Moment>,
}

/// Call that ran and has ended.
pub(super) struct EndedCall {
    pub(super) fingerprint: Fingerprint,
    pub(super) home_regions: HomeRegions,
    /// Process that ran it; `None` if it is unknown.
    pub(super) instance: Option<Arc<str>>,
    /// Start of its run.
    pub(super) started: Moment,
}

/// All calls that wait for admission or run at the upstream.
#[derive(Default)]
pub(super) struct Calls {
    last_id: u64,
    /// Channels for the decisions on the calls that have not been admitted or refused yet.
    undecided: HashMap<GateCallId, ReplySender<AdmissionDecision>>,
    awaiting_load: Vec<CallAwaitingLoad>,
    /// Records of all calls, waiting or running.
    records: HashMap<GateCallId, CallRecord>,
}

impl Calls {
    /// Adds a call that has not been decided yet and returns its identifier.
    pub(super) fn add(
        &mut self,
        call: &AdmissionRequest,
        reply: ReplySender<AdmissionDecision>,
    ) -> GateCallId {
        self.last_id += 1;
        let id = GateCallId(self.last_id);
        self.undecided.insert(id, reply);
        let home_regions = if call.home_regions.is_empty() {
            HomeRegions::Any
        } else {
            HomeRegions::Only(call.home_regions.clone())
        };
        let record = CallRecord {
            is_retry: call.is_retry,
            fingerprint: call.fingerprint,
            home_regions,
            instance: None,
            started: None,
        };
        self.records.insert(id, record);
        id
    }

    /// Sets a call aside until fresh load information arrives, at the latest until `until`.
    pub(super) fn await_load(&mut self, id: GateCallId, call: AdmissionRequest, until: Moment) {
        self.awaiting_load
            .push(CallAwaitingLoad { id, call, until });
    }

    /// Returns the earliest moment at which a call must no longer wait for load information.
    pub(super) fn load_wait_deadline(&self) -> Option<Moment> {
        self.awaiting_load.iter().map(|c| c.until).min()
    }

    /// Removes and returns the calls that wait for load information.
    pub(super) fn take_awaiting_load(&mut self) -> Vec<CallAwaitingLoad> {
        std::mem::take(&mut self.awaiting_load)
    }

    /// Marks a call as running at this process and returns the channel for its admission.
    ///
    /// Returns `None` and removes the call if its sender no longer waits.
    pub(super) fn start(
        &mut self,
        id: GateCallId,
        instance: Option<Arc<str>>,
        now: Moment,
    ) -> Option<ReplySender<AdmissionDecision>> {
        let reply = self.undecided.remove(&id).filter(|r| !r.is_abandoned());
        match self.records.get_mut(&id) {
            Some(record) if reply.is_some() => {
                record.instance = instance;
                record.started = Some(now);
            }
            _ => {
                self.records.remove(&id);
            }
        }
        reply
    }

    /// Removes a call that does not start and sends the refusal to its sender.
    pub(super) fn refuse(&mut self, id: GateCallId, refusal: AdmissionDecision) {
        self.records.remove(&id);
        if let Some(reply) = self.undecided.remove(&id) {
            reply.send(refusal);
        }
    }

    /// Removes a call and returns its record if it had started.
    pub(super) fn end(&mut self, id: GateCallId) -> Option<EndedCall> {
        let record = self.records.remove(&id)?;
        Some(EndedCall {
            fingerprint: record.fingerprint,
            home_regions: record.home_regions,
            instance: record.instance,
            started: record.started?,
        })
    }

    /// Returns the number of running calls.
    pub(super) fn running(&self) -> usize {
        self.records
            .values()
            .filter(|r| r.started.is_some())
            .count()
    }

    /// Removes the waiting calls whose senders no longer wait, and returns their identifiers.
    pub(super) fn take_abandoned(&mut self) -> SmallVec<[GateCallId; 4]> {
        let abandoned = self.undecided.iter().filter(|(_, r)| r.is_abandoned());
        let abandoned: SmallVec<[GateCallId; 4]> = abandoned.map(|(id, _)| *id).collect();
        for id in &abandoned {
            self.undecided.remove(id);
            self.records.remove(id);
            self.awaiting_load.retain(|c| c.id != *id);
        }
        abandoned
    }

    /// Returns the number of retries among the waiting and running calls.
    pub(super) fn retries(&self) -> usize {
        self.records.values().filter(|r| r.is_retry).count()
    }
}
