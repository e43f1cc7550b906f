//! Decisions on the request path: choice, admission, retries and deduplication.

mod suspect;
mod ticket;

pub use suspect::{HomeRegions, SharedSuspect, Start, SuspectList, SuspectSettings};
pub use ticket::{
    Arrival, CallId, Cancelled, StoredAnswer, Ticket, TicketError, TicketList, TicketSettings,
    TicketTable, Waiter,
};
