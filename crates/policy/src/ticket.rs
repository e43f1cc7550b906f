//! Tickets: idempotency keys that daemons issue in advance, for requests that must run at most
//! once.
//!
//! A ticket names the daemon process that issued it. A request that carries a ticket runs at that
//! process or nowhere, so this process alone can ensure that it runs at most once.

mod response;
mod state;
mod table;
mod text;

use cornelvalve_model::{Incarnation, Moment, ServiceName, VmName};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

pub use response::StoredResponse;
pub use table::{ArrivalDecision, CancelOutcome, TicketSettings, TicketTable};
pub use text::TicketError;

/// Tickets that one call issues; most callers request a few at a time.
pub type TicketList = SmallVec<[Ticket; 4]>;

/// Identifies one arrival of a request with a ticket.
///
/// A request that is sent again with the same ticket is another arrival. Each arrival is answered
/// exactly once.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ArrivalId(pub u64);

/// Arrival that waits for the response to another arrival with the same ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Identifies the arrival to answer.
    pub id: ArrivalId,
}

/// Idempotency key that lets one request run at most once. Only the daemon process that issued the
/// ticket accepts it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// VM of the issuing daemon, to which other daemons forward the request.
    pub vm: VmName,
    /// Incarnation of the issuing daemon process.
    pub incarnation: Incarnation,
    /// Time of issue on the issuing daemon's monotonic clock, in milliseconds.
    pub issued_ms: u64,
    /// Number that is unique within the incarnation.
    pub nonce: u64,
    /// Service to which the request is sent.
    pub service: ServiceName,
}

impl Ticket {
    /// Returns the moment of issue, which is meaningful on the issuing daemon's clock only.
    ///
    /// A forged ticket may hold any time; the result saturates instead of overflowing.
    pub(crate) fn issued_at(&self) -> Moment {
        Moment(self.issued_ms.saturating_mul(NANOS_PER_MILLI))
    }
}

/// Number of nanoseconds in a millisecond.
pub(crate) const NANOS_PER_MILLI: u64 = 1_000_000;
