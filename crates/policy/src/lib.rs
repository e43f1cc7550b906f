//! Policies of the request path: upstream selection, admission control, retries and deduplication.
//!
//! Each policy is a state machine that performs no I/O and reads no clock: the caller passes in the
//! current [`Moment`](cornelvalve_model::Moment) and carries out the actions that are returned.
//!
//! A request passes through two daemons. The *entry* is the daemon that receives the request from
//! its caller and selects an upstream. The *guard* is the daemon on the VM of that upstream; it
//! admits the request and forwards it to the upstream.

mod admission;
mod attempts;
mod balancer;
mod breaker;
mod crash;
mod failures;
mod gate;
mod picker;
mod placement;
mod retry;
mod share;
mod suspect;
mod ticket;

pub use admission::{
    AdmissionAction, AdmissionActions, AdmissionController, AdmissionEvent, AdmissionSettings,
    FinishResult, RequestId,
};
pub use attempts::{AttemptResult, Attempts};
pub use balancer::{
    AttemptEnd, AttemptId, AttemptReport, Balancer, BalancerSettings, Choice, ChoiceRequest,
    Endpoint, EndpointIncarnation, EndpointView, Locality,
};
pub use breaker::{BreakerState, CircuitBreaker, ConsecutiveFailureBreaker, NoopBreaker};
pub use crash::{CrashDetector, InterruptedRequests};
pub use failures::{CallResult, FailureRate};
pub use gate::{
    ColdRate, ColdTolerance, Gate, GateAction, GateActions, GateCall, GateCallId, GateLoad,
    GateRefusal, WorkKey,
};
pub use picker::{Candidate, LeastOutstanding, Picker, PowerOfTwo, RoundRobin};
pub use placement::{
    CallCost, Distance, LoadReport, LowestLatencyPlacement, Placement, PlacementTarget,
    RankedTarget, RoundRobinPlacement, TargetOutcome, TargetRanking,
};
pub use retry::{HedgeBudget, RetryBudget, RetryDecision, retry_decision};
pub use share::{RetryBudgetSettings, RetryBudgetShare};
pub use suspect::{HomeRegions, SharedSuspect, StartDecision, SuspectList, SuspectSettings};
pub use ticket::{
    ArrivalDecision, CallId, CancelOutcome, StoredResponse, Ticket, TicketError, TicketList,
    TicketSettings, TicketTable, Waiter,
};
