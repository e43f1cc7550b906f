//! Sequences of events around ticket tables.
//!
//! Numbers select among what exists when the event takes place, modulo its count; an event that
//! finds nothing has no effect.

use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};

/// Bodies that a caller may send with the same ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// The body that belongs to the ticket.
    Original,
    /// Another one.
    Changed,
}

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller requests a ticket of a daemon.
    Issue(usize),
    /// A caller sends a request with one of the latest tickets through an entry.
    Send {
        /// Selects a ticket, counted from the latest.
        ticket: usize,
        /// Body of the request.
        body: Body,
    },
    /// The network delivers a packet in flight.
    Deliver {
        /// Selects the packet.
        packet: usize,
        /// The receiver read its clock before the latest pause.
        stale: bool,
    },
    /// The network delivers a packet and keeps a copy.
    Duplicate(usize),
    /// The network loses a packet.
    Drop(usize),
    /// A guard is about to send the first byte of a queued request.
    Dispatch(usize),
    /// A guard refuses a queued request.
    Reject(usize),
    /// A late task dispatches a request that runs already.
    DispatchAgain(usize),
    /// A late task refuses a request that runs already.
    RejectLate(usize),
    /// An upstream answers a running request.
    Complete(usize),
    /// An upstream refuses the connection for a dispatched request.
    ConnectRefused(usize),
    /// The connection to an upstream fails during a request.
    Lose(usize),
    /// The caller of a queued or running request leaves.
    Cancel(usize),
    /// All processes stand still for some milliseconds.
    Pause(u64),
    /// The table of a daemon ticks.
    Tick(usize),
    /// A daemon drains.
    Drain(usize),
    /// A daemon process is replaced.
    Restart(usize),
}

/// Longest sequence.
const MAX_EVENTS: usize = 120;

/// Returns sequences of events.
pub fn events() -> impl Strategy<Value = Vec<Event>> {
    vec(event(), 1..MAX_EVENTS)
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        10 => index().prop_map(Event::Issue),
        24 => (0..3_usize, body()).prop_map(|(ticket, body)| Event::Send { ticket, body }),
        40 => (index(), any::<bool>()).prop_map(|(packet, stale)| Event::Deliver { packet, stale }),
        10 => index().prop_map(Event::Duplicate),
        4 => index().prop_map(Event::Drop),
        24 => index().prop_map(Event::Dispatch),
        4 => index().prop_map(Event::Reject),
        2 => index().prop_map(Event::DispatchAgain),
        2 => index().prop_map(Event::RejectLate),
        14 => index().prop_map(Event::Complete),
        4 => index().prop_map(Event::ConnectRefused),
        4 => index().prop_map(Event::Lose),
        3 => index().prop_map(Event::Cancel),
        8 => pause().prop_map(Event::Pause),
        6 => index().prop_map(Event::Tick),
        1 => index().prop_map(Event::Drain),
        1 => index().prop_map(Event::Restart),
    ]
}

fn index() -> impl Strategy<Value = usize> {
    0..64_usize
}

fn body() -> impl Strategy<Value = Body> {
    prop_oneof![9 => Just(Body::Original), 1 => Just(Body::Changed)]
}

/// Returns pauses in milliseconds; some are longer than the time to live used in the tests.
fn pause() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 1..150_u64, 1 => 900..1_500_u64]
}
