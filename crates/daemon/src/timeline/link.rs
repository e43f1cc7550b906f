//! Hybrid logical clock on HTTP messages between processes.

use cornelvalve_api::Timestamp;
use cornelvalve_kernel::Mailbox;
use cornelvalve_wire::hop;
use http::{HeaderMap, HeaderValue};

use super::TimelineMessage;

/// Carries the clock of this daemon to others and theirs to it.
#[derive(Clone, Debug)]
pub(crate) struct ClockPropagator {
    timeline: Mailbox<TimelineMessage>,
}

impl ClockPropagator {
    /// Creates the link over the timeline, which owns the clock.
    pub(crate) fn new(timeline: Mailbox<TimelineMessage>) -> Self {
        Self { timeline }
    }

    /// Writes the present reading, which exceeds those of all events recorded before.
    ///
    /// Without a timeline, as during its restart, no reading is written: the clock serves only
    /// diagnosis and must not delay a request.
    pub(crate) async fn inject(&self, headers: &mut HeaderMap) {
        let asked = self.timeline.ask(TimelineMessage::Stamp);
        if let Ok(at) = asked.await
            && let Ok(value) = HeaderValue::try_from(at.to_string())
        {
            headers.insert(hop::CLOCK, value);
        }
    }

    /// Makes all events recorded from now on later than the reading in the headers.
    pub(crate) fn extract(&self, headers: &HeaderMap) {
        if let Some(at) = decode(headers) {
            // Without room the order of some events is lost, which is acceptable.
            let _ = self.timeline.try_send(TimelineMessage::Observe(at));
        }
    }
}

/// Reads the clock; a malformed reading is treated as absent.
fn decode(headers: &HeaderMap) -> Option<Timestamp> {
    let text = headers.get(&hop::CLOCK)?.to_str().ok()?;
    let (wall_ms, logical) = text.split_once('.')?;
    Some(Timestamp {
        wall_ms: wall_ms.parse().ok()?,
        logical: logical.parse().ok()?,
    })
}
