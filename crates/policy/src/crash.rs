//! Detection of dead upstreams and the suspects that follow from it.
//!
//! A lost connection alone does not make suspects, because the upstream may have closed only that
//! one. The requests that ran at the moment of the loss become suspects when a connection is
//! refused or a new incarnation is announced soon after it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::suspect::{HomeRegions, SuspectList};
use cornelvalve_model::{Fingerprint, Incarnation, Moment, ServiceName};

/// Time after a lost connection in which a sign of death is put down to the requests that ran;
/// an upstream that is started again at once is back within it.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// Requests that ran when a connection was lost, with the regions that may know about them.
pub type InterruptedRequests = BTreeMap<Fingerprint, HomeRegions>;

/// Loss that may turn out to be a death.
#[derive(Debug)]
struct Watch {
    incarnation: Incarnation,
    running: InterruptedRequests,
    until: Moment,
}

/// Suspects, and losses that are not yet known to be deaths.
#[derive(Debug)]
pub struct CrashDetector {
    /// Requests that ran when an upstream died.
    pub suspects: SuspectList,
    watches: BTreeMap<ServiceName, Watch>,
    /// Latest incarnation that died; its other losses are part of the same crash.
    died: BTreeMap<ServiceName, Incarnation>,
}

impl CrashDetector {
    /// Creates a state without losses.
    #[must_use]
    pub fn new(suspects: SuspectList) -> Self {
        Self {
            suspects,
            watches: BTreeMap::new(),
            died: BTreeMap::new(),
        }
    }

    /// Records that a connection was lost during a request.
    pub fn connection_lost(
        &mut self,
        service: &ServiceName,
        incarnation: Incarnation,
        running: InterruptedRequests,
        now: Moment,
    ) {
        if self.is_dead(service, incarnation) {
            return;
        }
        let until = now + WATCH_TIME;
        match self.watches.get_mut(service) {
            Some(watch) if watch.incarnation == incarnation => {
                watch.running.extend(running);
                watch.until = until;
            }
            _ => {
                let watch = Watch {
                    incarnation,
                    running,
                    until,
                };
                self.watches.insert(service.clone(), watch);
            }
        }
    }

    /// Records that the upstream refused a connection; returns the requests that are suspects now.
    pub fn connection_refused(&mut self, service: &ServiceName, now: Moment) -> Vec<Fingerprint> {
        self.confirm(service, now)
    }

    /// Records that an incarnation was announced; returns the requests that are suspects now.
    pub fn incarnation_announced(
        &mut self,
        service: &ServiceName,
        incarnation: Incarnation,
        now: Moment,
    ) -> Vec<Fingerprint> {
        let watch = self.watches.get(service);
        if watch.is_some_and(|w| w.incarnation < incarnation) {
            self.confirm(service, now)
        } else {
            Vec::new()
        }
    }

    /// Records an answer; an incarnation that answers lives, whatever was seen before.
    pub fn request_answered(&mut self, service: &ServiceName, incarnation: Incarnation) {
        if self.is_dead(service, incarnation) {
            self.died.remove(service);
        }
    }

    /// Forgets what is out of date.
    pub fn tick(&mut self, now: Moment) {
        self.watches.retain(|_, watch| watch.until > now);
        self.suspects.tick(now);
    }

    fn is_dead(&self, service: &ServiceName, incarnation: Incarnation) -> bool {
        self.died.get(service).is_some_and(|d| incarnation <= *d)
    }

    fn confirm(&mut self, service: &ServiceName, now: Moment) -> Vec<Fingerprint> {
        let Some(watch) = self.watches.remove(service).filter(|w| w.until > now) else {
            return Vec::new();
        };
        self.died.insert(service.clone(), watch.incarnation);
        let running: Vec<_> = watch.running.into_iter().collect();
        self.suspects.record_crash(&running, now);
        running.into_iter().map(|(request, _)| request).collect()
    }
}
