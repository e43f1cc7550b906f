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
    Admission, AdmissionAction, AdmissionActions, AdmissionEvent, AdmissionSettings, FinishResult,
    RequestId,
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
