//! Statistics of one request, from its start to its end.

use cornelvalve_model::Moment;
use cornelvalve_policy::Attempts;

use super::EntryContext;
use crate::messages::{RequestOutcome, RequestRecord, StatsMessage};

/// Counts the outcome of a request, even if the caller disconnects and the request is dropped.
pub(super) struct RequestRecorder<'a> {
    entry: &'a EntryContext,
    started: Moment,
    ended: bool,
}

impl<'a> RequestRecorder<'a> {
    /// Counts the start of a request.
    pub(super) fn begin(entry: &'a EntryContext, started: Moment) -> Self {
        send_stats(entry, StatsMessage::RequestStarted);
        Self {
            entry,
            started,
            ended: false,
        }
    }

    /// Counts the outcome of the request.
    pub(super) fn end(&mut self, outcome: RequestOutcome, attempts: Option<&Attempts>) {
        self.ended = true;
        let hand_backs = attempts.map_or(0, |a| a.handed_back().len());
        let record = RequestRecord {
            outcome,
            latency: self.entry.clock.now().since(self.started),
            upstream_attempts: attempts.map_or(0, |a| u32::from(a.upstream_attempts())),
            hand_backs: u32::try_from(hand_backs).unwrap_or(u32::MAX),
        };
        send_stats(self.entry, StatsMessage::RequestFinished(record));
    }
}

impl Drop for RequestRecorder<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(RequestOutcome::CallerDisconnected, None);
        }
    }
}

fn send_stats(entry: &EntryContext, message: StatsMessage) {
    if let Err(e) = entry.stats.try_send(message) {
        log::debug!("statistics of a request were dropped: {e}");
    }
}
