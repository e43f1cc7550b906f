//! Decisions on the request path: choice, admission, retries and deduplication.
//!
//! Each decision is a state machine without I/O and without a clock: the caller passes the current
//! [`Moment`](cornelvalve_model::Moment) and carries out the result.

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
mod retry_share;
mod suspect;
mod ticket;

pub use admission::{
    AdmissionAction, AdmissionActions, AdmissionController, AdmissionEvent, AdmissionSettings,
    RequestId, RequestResult,
};
pub use attempts::{AttemptResult, Attempts};
pub use balancer::{
    AttemptId, AttemptOutcome, AttemptReport, Balancer, BalancerSettings, Choice, ChoiceRequest,
    Endpoint, EndpointIncarnation, EndpointView, Locality,
};
pub use breaker::{BreakerState, CircuitBreaker, ConsecutiveBreaker, NeverBreaks};
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
pub use retry_share::{RetryBudgetSettings, RetryBudgetShare};
pub use suspect::{HomeRegions, SharedSuspect, StartDecision, SuspectList, SuspectSettings};
pub use ticket::{
    ArrivalDecision, ArrivalId, CancelOutcome, StoredResponse, Ticket, TicketError, TicketList,
    TicketSettings, TicketTable, Waiter,
};
