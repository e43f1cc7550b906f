//! Propagation of the hybrid logical clock between daemons in an HTTP header.

use cornelvalve_api::Timestamp;
use cornelvalve_kernel::Mailbox;
use cornelvalve_wire::hop;
use http::{HeaderMap, HeaderValue};

use super::TimelineMessage;

/// Injects timestamps of this daemon into HTTP headers and extracts timestamps of other daemons
/// from them.
#[derive(Clone, Debug)]
pub(crate) struct ClockPropagator {
    timeline: Mailbox<TimelineMessage>,
}

impl ClockPropagator {
    /// Creates a propagator; `timeline` is the mailbox of the service that owns the clock.
    pub(crate) fn new(timeline: Mailbox<TimelineMessage>) -> Self {
        Self { timeline }
    }

    /// Adds a timestamp to the headers that is later than those of all events recorded so far.
    ///
    /// While the timeline service restarts, no timestamp is added: the clock is for diagnosis only
    /// and must not delay a request.
    pub(crate) async fn inject(&self, headers: &mut HeaderMap) {
        let asked = self.timeline.ask(TimelineMessage::Stamp);
        if let Ok(at) = asked.await
            && let Ok(value) = HeaderValue::try_from(at.to_string())
        {
            headers.insert(hop::CLOCK, value);
        }
    }

    /// Advances the clock past the timestamp in the headers, so that all events recorded from now
    /// on are later.
    pub(crate) fn extract(&self, headers: &HeaderMap) {
        if let Some(at) = decode(headers) {
            // If the mailbox is full, the order of some events is lost, which is acceptable.
            let _ = self.timeline.try_send(TimelineMessage::Observe(at));
        }
    }
}

/// Returns the timestamp in the headers, or `None` if it is absent or malformed.
fn decode(headers: &HeaderMap) -> Option<Timestamp> {
    let text = headers.get(&hop::CLOCK)?.to_str().ok()?;
    let (wall_ms, logical) = text.split_once('.')?;
    Some(Timestamp {
        wall_ms: wall_ms.parse().ok()?,
        logical: logical.parse().ok()?,
    })
}
