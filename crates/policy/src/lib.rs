//! Policies of the request path, such as choosing an upstream, admission control and retries.
//!
//! Each policy is a state machine that performs no I/O and reads no clock: the caller passes in the
//! current [`Moment`](cornelvalve_model::Moment), a point on the monotonic clock of its process,
//! and carries out the actions that are returned.
//!
//! A request passes through two daemons. The *entry* is the daemon that receives the request from
//! its caller and chooses an upstream. The *guard* is the daemon on the VM of that upstream; it
//! admits the request and forwards it to the upstream.
//!
//! Two daemons are built on this crate. The crate `cornelvalve-daemon` uses:
//!
//! - `balancer` and `picker`: the entry chooses an upstream by load, latency and failures;
//! - `retry`: the entry decides whether to send a request again;
//! - `admission`: the guard adapts a concurrency limit and queues requests above it;
//! - `ticket`: the guard runs a request at most once per idempotency key.
//!
//! The crate `cornelvalve-relay`, for platforms where the speed of an upstream changes many times a
//! second, uses:
//!
//! - `placement`: the entry chooses the upstream that is expected to answer first;
//! - `attempts` and `retry_share`: the entry limits how often a request is sent again;
//! - `gate`: the guard admits requests according to the current speed of the upstream;
//! - `failures`: estimates the fraction of calls that fail;
//! - `memory`: both divide the daemon's memory among the messages that they hold.
//!
//! Both use `named_limit` and `rate_limit` for upstreams that name a limit in their responses, and
//! `crash` and `suspect`, with which the guard finds requests that crash upstreams. The
//! module `breaker` is used only by the simulation in `examples/choice`.

mod admission;
mod attempts;
mod balancer;
mod breaker;
mod crash;
mod failures;
mod gate;
mod memory;
mod named_limit;
mod picker;
mod placement;
mod rate_limit;
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
pub use breaker::{BreakerState, CircuitBreaker, ConsecutiveFailureBreaker, NoopBreaker};
pub use crash::{CrashDetector, InterruptedRequests};
pub use failures::{CallResult, FailureRate};
pub use gate::{
    ColdRate, ColdTolerance, Gate, GateAction, GateActions, GateCall, GateCallId, GateLoad,
    GateRefusal, WorkKey,
};
pub use memory::{ClaimDecision, ClaimEnd, ClaimId, MemoryBudget, MemoryClaim, MemoryUse};
pub use named_limit::{LimitChange, NamedLimit};
pub use picker::{Candidate, LeastOutstanding, Picker, PowerOfTwo, RoundRobin};
pub use placement::{
    CallCost, Distance, LoadRateLimit, LoadReport, LowestLatencyPlacement, Placement,
    PlacementTarget, RankedTarget, RoundRobinPlacement, TargetOutcome, TargetRanking,
};
pub use retry::{HedgeBudget, RetryBudget, RetryDecision, retry_decision};
pub use retry_share::{RetryBudgetSettings, RetryBudgetShare};
pub use suspect::{HomeRegions, SharedSuspect, StartDecision, SuspectList, SuspectSettings};
pub use ticket::{
    ArrivalDecision, ArrivalId, CancelOutcome, StoredResponse, Ticket, TicketError, TicketList,
    TicketSettings, TicketTable, Waiter,
};
