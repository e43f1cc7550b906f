//! Calls that request admission at a gate, and the actions that it returns.

use std::time::Duration;

use cornelvalve_model::Moment;
use smallvec::SmallVec;

/// Identifies a call at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GateCallId(pub u64);

/// Identifies a kind of call, whose calls have similar durations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkKey(pub u64);

/// Call that requests admission.
#[derive(Clone, Copy, Debug)]
pub struct GateCall {
    /// Identifies the call.
    pub id: GateCallId,
    /// Kind of the call, by which its duration is estimated.
    pub work: WorkKey,
    /// Priority; lower numbers go first.
    pub priority: u8,
    /// Moment by which an answer meets the latency objective.
    pub objective: Moment,
    /// Moment after which the caller no longer waits for the answer.
    pub deadline: Moment,
    /// Expected time from now until the call would end at the best other upstream; `None` if there
    /// is no other.
    pub expected_elsewhere: Option<Duration>,
}

/// Reason why a call is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateRefusal {
    /// Another upstream is expected to finish the call earlier; the call is handed back to the
    /// daemon that sent it.
    FasterElsewhere {
        /// Expected time until the call would have ended at this upstream.
        expected: Duration,
    },
    /// The limit that the upstream names leaves no start for the call in time.
    Limited {
        /// Time until the limit allows a start after the waiting calls.
        wait: Duration,
    },
    /// The call would wait too long to be answered in time, or already has.
    Overloaded {
        /// Expected time until all calls that now run or wait have ended.
        drain_time: Duration,
    },
}

/// Action that the owner of the gate must carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// Start the call.
    Start(GateCallId),
    /// Refuse the call, which has not run.
    Refuse(GateCallId, GateRefusal),
}

/// Actions in the order in which they must be carried out.
pub type GateActions = SmallVec<[GateAction; 4]>;

/// Load of the upstream behind a gate: the part of a load report that the gate knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateLoad {
    /// Number of running calls.
    pub running: u16,
    /// Number of waiting calls.
    pub waiting: u16,
    /// Number of calls that may run at once.
    pub slots: u16,
}
