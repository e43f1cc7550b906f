//! Record of a caller's request for metrics and timeline.

use std::time::Duration;

use cornelvalve_api::Event;
use cornelvalve_kernel::Mailbox;
use cornelvalve_model::{Outcome, Reason, Refusal, ServiceName};
use http::Response;
use http_body_util::BodyExt;

use crate::body::{Body, BodyEnd, BodyObserver, ObservedBody};
use crate::metrics::Metrics;
use crate::timeline::{self, TimelineMessage};

/// Counts one request exactly once, also if its caller goes away.
pub(super) struct RequestRecord {
    metrics: Metrics,
    timeline: Mailbox<TimelineMessage>,
    service: Option<ServiceName>,
    attempts: u32,
    counted: bool,
}

impl RequestRecord {
    /// Starts the record of a request.
    pub(super) fn new(metrics: Metrics, timeline: Mailbox<TimelineMessage>) -> Self {
        Self {
            metrics,
            timeline,
            service: None,
            attempts: 0,
            counted: false,
        }
    }

    /// Notes the service that host and path led to.
    pub(super) fn set_service(&mut self, service: &ServiceName) {
        self.service = Some(service.clone());
    }

    /// Counts an attempt.
    pub(super) fn record_attempt(&mut self) {
        self.metrics.count_attempt(self.attempts > 0);
        self.attempts += 1;
    }

    /// Notes how long the attempt that was answered took, and how much of it the upstream.
    pub(super) fn record_latency(&self, latency: Duration, upstream: Option<Duration>) {
        if let Some(upstream) = upstream {
            let added = latency.saturating_sub(upstream);
            self.metrics.record_added_latency(added);
        }
    }

    /// Counts a refusal.
    pub(super) fn record_refusal(mut self, refusal: Refusal) {
        self.finish(refusal.outcome, Some(refusal.reason));
    }

    /// Counts an answer when its last byte is handed to the connection.
    pub(super) fn observe_response(self, response: Response<Body>) -> Response<Body> {
        response.map(|body| ObservedBody::new(body, self).boxed_unsync())
    }

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

impl BodyObserver for RequestRecord {
    fn on_end(&mut self, end: BodyEnd) {
        match end {
            BodyEnd::Complete => Self::finish(self, Outcome::Completed, None),
            BodyEnd::Failed => Self::finish(self, Outcome::Unknown, Some(Reason::Connection)),
            BodyEnd::Dropped => Self::finish(self, Outcome::Unknown, None),
        }
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        // The caller went away before there was an answer.
        Self::finish(self, Outcome::Unknown, None);
    }
}
