//! Timeline service: the daemon's recent events, ordered by a hybrid logical clock.
//!
//! It is a leaf service and makes no calls. Senders use [`record`], which drops the event when the
//! mailbox is full, because diagnosis must not delay requests.

use cornelvalve_api::{Event, TimelinePage, Timestamp};
use cornelvalve_kernel::{Context, Mailbox, Name, ReplySender, ServiceResult};
use cornelvalve_model::VmName;

mod clock;
mod link;
mod ring;

pub use clock::HybridClock;
pub(crate) use link::ClockPropagator;
pub use ring::Ring;

/// Name of the timeline service.
pub const TIMELINE: Name<TimelineMessage> = Name::new("timeline");

/// Events that are kept; about 0.5 MB of the 64 MB that a daemon may use.
const CAPACITY: usize = 4096;

/// Messages to the timeline service.
#[derive(Debug)]
pub enum TimelineMessage {
    /// Stamps and stores an event.
    Record(Event),
    /// Advances the clock past a timestamp that another daemon sent.
    Observe(Timestamp),
    /// Returns a timestamp to send to another daemon.
    Stamp(ReplySender<Timestamp>),
    /// Returns events later than `after`, oldest first.
    Read {
        /// Timestamp of the last event already read; `None` reads from the oldest.
        after: Option<Timestamp>,
        /// Largest number of events to return.
        limit: usize,
        /// Takes the page.
        reply: ReplySender<TimelinePage>,
    },
}

/// Sends an event to the timeline and drops it if there is no room.
pub fn record(timeline: &Mailbox<TimelineMessage>, event: Event) {
    // A lost event is acceptable: the timeline is for diagnosis only.
    let _ = timeline.try_send(TimelineMessage::Record(event));
}

/// Runs the timeline service for the daemon of a VM.
///
/// # Errors
///
/// Returns no error at present; the type is that of every service.
pub async fn run_timeline(mut context: Context<TimelineMessage>, vm: VmName) -> ServiceResult {
    let mut clock = HybridClock::default();
    let mut ring = Ring::new(vm, CAPACITY);
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => message,
        };
        let wall = context.clock.wall_time();
        match message {
            Some(TimelineMessage::Record(event)) => ring.push(clock.tick(wall), event),
            Some(TimelineMessage::Observe(remote)) => clock.observe(remote, wall),
            Some(TimelineMessage::Stamp(reply)) => reply.send(clock.tick(wall)),
            Some(TimelineMessage::Read {
                after,
                limit,
                reply,
            }) => reply.send(ring.read(after, limit)),
            None => return Ok(()),
        }
    }
}
