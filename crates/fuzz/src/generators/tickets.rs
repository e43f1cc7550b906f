//! Generates event sequences for a simulation of ticket tables.
//!
//! An index in an event selects one of the matching items, such as packets or queued requests, that
//! exist when the event is applied. It is taken modulo their number; if there are none, the event
//! has no effect.

use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};

/// Body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// The same body in every request with this ticket.
    Original,
    /// A different body, as if the caller reused the ticket for another request.
    Changed,
}

/// Step of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller requests a ticket of a daemon.
    Issue(usize),
    /// A caller sends a request with one of the latest tickets.
    Send {
        /// Ticket, counted back from the latest, which is 0.
        ticket: usize,
        /// Body of the request.
        body: Body,
    },
    /// The network delivers a packet.
    Deliver {
        /// Index of the packet.
        packet: usize,
        /// Whether the receiver handles the packet with the time from before the latest pause, like
        /// a task that was paused after it had read the clock.
        stale_clock: bool,
    },
    /// The network delivers a copy of a packet; the packet itself stays in flight.
    Duplicate(usize),
    /// The network loses a packet.
    Drop(usize),
    /// A daemon is about to send the first byte of a queued request to its upstream.
    Dispatch(usize),
    /// A daemon refuses a queued request.
    Reject(usize),
    /// A daemon tries to dispatch a request that it has dispatched already.
    DispatchAgain(usize),
    /// A daemon refuses a request that it has dispatched already.
    RejectDispatched(usize),
    /// An upstream responds to a running request.
    Complete(usize),
    /// An upstream refuses the connection for a dispatched request.
    RefuseConnection(usize),
    /// The connection to an upstream fails during a request.
    LoseConnection(usize),
    /// A caller that waits for a response disconnects.
    Cancel(usize),
    /// All processes are paused for this many milliseconds.
    Pause(u64),
    /// A daemon calls `tick` of its ticket table, which removes expired entries.
    Tick(usize),
    /// A daemon starts to drain.
    Drain(usize),
    /// A daemon process is replaced by a new one with the next incarnation.
    Restart(usize),
}

/// Exclusive upper bound on the number of events in a sequence.
const EVENT_COUNT_END: usize = 120;

/// Returns a strategy for sequences of events.
pub fn events() -> impl Strategy<Value = Vec<Event>> {
    vec(event(), 1..EVENT_COUNT_END)
}

/// Returns a strategy for events. The events by which requests make progress have the highest
/// weights.
fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        10 => index().prop_map(Event::Issue),
        24 => (0..3_usize, body()).prop_map(|(ticket, body)| Event::Send { ticket, body }),
        40 => (index(), any::<bool>())
            .prop_map(|(packet, stale_clock)| Event::Deliver { packet, stale_clock }),
        10 => index().prop_map(Event::Duplicate),
        4 => index().prop_map(Event::Drop),
        24 => index().prop_map(Event::Dispatch),
        4 => index().prop_map(Event::Reject),
        2 => index().prop_map(Event::DispatchAgain),
        2 => index().prop_map(Event::RejectDispatched),
        14 => index().prop_map(Event::Complete),
        4 => index().prop_map(Event::RefuseConnection),
        4 => index().prop_map(Event::LoseConnection),
        3 => index().prop_map(Event::Cancel),
        8 => pause().prop_map(Event::Pause),
        6 => index().prop_map(Event::Tick),
        1 => index().prop_map(Event::Drain),
        1 => index().prop_map(Event::Restart),
    ]
}

/// Returns a strategy for indices, which are taken modulo the number of items.
fn index() -> impl Strategy<Value = usize> {
    0..64_usize
}

fn body() -> impl Strategy<Value = Body> {
    prop_oneof![9 => Just(Body::Original), 1 => Just(Body::Changed)]
}

/// Returns a strategy for pauses in milliseconds. The longer ones exceed the lifetime of a ticket,
/// which is 800 ms in the simulation.
fn pause() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 1..150_u64, 1 => 900..1_500_u64]
}
