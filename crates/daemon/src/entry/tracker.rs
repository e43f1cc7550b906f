//! Counts callers' requests in the metrics and records refusals in the timeline.

use std::time::Duration;

use cornelvalve_api::Event;
use cornelvalve_kernel::Mailbox;
use cornelvalve_model::{Outcome, Reason, Refusal, ServiceName};
use http::Response;
use http_body_util::BodyExt;

use crate::body::{Body, BodyEnd, BodyObserver, ObservedBody};
use crate::metrics::Metrics;
use crate::timeline::{self, TimelineMessage};

/// Tracks one request and counts its outcome exactly once, even if its caller disconnects.
pub(super) struct RequestTracker {
    metrics: Metrics,
    timeline: Mailbox<TimelineMessage>,
    service: Option<ServiceName>,
    attempts: u32,
    counted: bool,
}

impl RequestTracker {
    /// Creates the tracker of a request that has just arrived.
    pub(super) fn new(metrics: Metrics, timeline: Mailbox<TimelineMessage>) -> Self {
        Self {
            metrics,
            timeline,
            service: None,
            attempts: 0,
            counted: false,
        }
    }

    /// Sets the service that the request was routed to.
    pub(super) fn set_service(&mut self, service: &ServiceName) {
        self.service = Some(service.clone());
    }

    /// Counts an attempt; every attempt after the first counts as a retry.
    pub(super) fn record_attempt(&mut self) {
        self.metrics.count_attempt(self.attempts > 0);
        self.attempts += 1;
    }

    /// Records the latency that the daemons added to an attempt: the latency of the attempt without
    /// the time that the upstream took, if that is known.
    pub(super) fn record_added_latency(&self, latency: Duration, upstream_time: Option<Duration>) {
        if let Some(upstream_time) = upstream_time {
            let added = latency.saturating_sub(upstream_time);
            self.metrics.record_added_latency(added);
        }
    }

    /// Counts the request as refused.
    pub(super) fn record_refusal(mut self, refusal: Refusal) {
        self.finish(refusal.outcome, Some(refusal.reason));
    }

    /// Returns the response with a body that counts the request once its last byte has been passed
    /// to the caller's connection.
    pub(super) fn observe_response(self, response: Response<Body>) -> Response<Body> {
        response.map(|body| ObservedBody::new(body, self).boxed_unsync())
    }

    /// Counts the outcome, unless the request was counted before, and records a refusal in the
    /// timeline.
    fn finish(&mut self, outcome: Outcome, reason: Option<Reason>) {
        if std::mem::replace(&mut self.counted, true) {
            return;
        }
        self.metrics.count_request(outcome, reason);
        if let Some(reason) = reason {
            let service = self.service.clone();
            let event = Event::RequestRefused {
                service,
                outcome,
                reason,
            };
            timeline::record(&self.timeline, event);
        }
    }
}

impl BodyObserver for RequestTracker {
    fn on_end(&mut self, end: BodyEnd) {
        match end {
            BodyEnd::Complete => Self::finish(self, Outcome::Completed, None),
            BodyEnd::Failed => Self::finish(self, Outcome::Unknown, Some(Reason::Connection)),
            BodyEnd::Dropped => Self::finish(self, Outcome::Unknown, None),
        }
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        // The caller disconnected before there was a response.
        Self::finish(self, Outcome::Unknown, None);
    }
}
