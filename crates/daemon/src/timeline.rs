//! Timeline service: stores the recent events of the daemon, ordered by a hybrid logical clock.
//!
//! Events are for diagnosis only. [`record`] therefore never waits: it drops the event if the
//! mailbox of the service is full, so that no request is delayed. The service itself sends no
//! messages to other services.

use cornelvalve_api::{Event, TimelinePage, Timestamp};
use cornelvalve_kernel::{Context, Mailbox, Name, ReplySender, ServiceResult};
use cornelvalve_model::VmName;

mod buffer;
mod clock;
mod propagator;

pub use buffer::EventBuffer;
pub use clock::HybridClock;
pub(crate) use propagator::ClockPropagator;

/// Name of the timeline service.
pub const TIMELINE: Name<TimelineMessage> = Name::new("timeline");

/// Largest number of stored events; they take about 0.5 MB of the 64 MB that a daemon may use.
const MAX_EVENTS: usize = 4096;

/// Messages to the timeline service.
#[derive(Debug)]
pub enum TimelineMessage {
    /// Stores an event with the current timestamp.
    Record(Event),
    /// Advances the clock past a timestamp that another daemon sent.
    Observe(Timestamp),
    /// Returns a timestamp to send to another daemon.
    Stamp(ReplySender<Timestamp>),
    /// Returns events later than `after`, oldest first.
    Read {
        /// Timestamp of the last event that was already read; `None` starts at the oldest event.
        after: Option<Timestamp>,
        /// Largest number of events to return.
        limit: usize,
        /// Receives the events.
        reply: ReplySender<TimelinePage>,
    },
}

/// Sends an event to the timeline service, or drops it if the mailbox is full.
pub fn record(timeline: &Mailbox<TimelineMessage>, event: Event) {
    // A lost event is acceptable: the timeline is for diagnosis only.
    let _ = timeline.try_send(TimelineMessage::Record(event));
}

/// Runs the timeline service of the daemon on a VM.
///
/// # Errors
///
/// Never returns an error; all services have the same return type.
pub async fn run_timeline(mut context: Context<TimelineMessage>, vm: VmName) -> ServiceResult {
    let mut clock = HybridClock::default();
    let mut buffer = EventBuffer::new(vm, MAX_EVENTS);
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => message,
        };
        let wall = context.clock.wall_time();
        match message {
            Some(TimelineMessage::Record(event)) => buffer.push(clock.tick(wall), event),
            Some(TimelineMessage::Observe(remote)) => clock.observe(remote, wall),
            Some(TimelineMessage::Stamp(reply)) => reply.send(clock.tick(wall)),
            Some(TimelineMessage::Read {
                after,
                limit,
                reply,
            }) => reply.send(buffer.read(after, limit)),
            None => return Ok(()),
        }
    }
}
