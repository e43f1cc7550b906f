//! Tickets: idempotency keys that the system issues in advance.
//!
//! A ticket names the daemon process that issued it, so a request that carries one runs there or
//! nowhere.

mod answer;
mod state;
mod table;
mod text;

use cornelvalve_model::{Incarnation, Moment, ServiceName, VmName};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

pub use answer::StoredResponse;
pub use table::{ArrivalDecision, CancelOutcome, TicketSettings, TicketTable};
pub use text::TicketError;

/// Tickets of one issue call; most callers ask for a few at a time.
pub type TicketList = SmallVec<[Ticket; 4]>;

/// Identifies one arrival of a request at the guard; the guard answers each exactly once.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ArrivalId(pub u64);

/// Arrival that awaits the answer of another arrival with the same ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The arrival to answer.
    pub id: ArrivalId,
}

/// Right to run one request at most once on the daemon process that issued it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// VM of the issuing daemon; entries find the daemon by it.
    pub vm: VmName,
    /// Start of the daemon process that issued it.
    pub incarnation: Incarnation,
    /// Time of issue on that daemon's monotonic clock, in milliseconds.
    pub issued_ms: u64,
    /// Number that is unique within the incarnation.
    pub nonce: u64,
    /// Service that the request is for.
    pub service: ServiceName,
}

impl Ticket {
    /// Returns the moment of issue; meaningful on the issuer's clock only.
    ///
    /// A forged number of milliseconds saturates instead of overflowing.
    pub(crate) fn issued_at(&self) -> Moment {
        Moment(self.issued_ms.saturating_mul(NANOS_PER_MILLI))
    }
}

/// Nanoseconds in a millisecond.
pub(crate) const NANOS_PER_MILLI: u64 = 1_000_000;
