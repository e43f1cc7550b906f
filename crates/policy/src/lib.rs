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
pub use breaker::{BreakerState, CircuitBreaker, ConsecutiveBreaker, NeverBreaks};
pub use crash::{Crashes, LostRequests};
pub use failures::{CallResult, FailureShare};
pub use gate::{
    ColdRate, ColdTolerance, Gate, GateAction, GateActions, GateCall, GateId, GateLoad,
    GateRefusal, WorkKey,
};
pub use picker::{Candidate, LeastOutstanding, Picker, PowerOfTwo, RoundRobin};
pub use placement::{
    Distance, ExpectedEnd, InTurn, LoadReport, Place, PlaceEnd, PlaceOrder, PlaceWork, Placement,
    Ranked,
};
pub use retry::{HedgeBudget, RetryBudget, RetryDecision, retry_decision};
pub use share::{RetryShare, ShareSettings};
pub use suspect::{HomeRegions, SharedSuspect, Start, SuspectList, SuspectSettings};
pub use ticket::{
    Arrival, CallId, Cancelled, StoredAnswer, Ticket, TicketError, TicketList, TicketSettings,
    TicketTable, Waiter,
};
