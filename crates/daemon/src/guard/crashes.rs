//! Detection of dead upstreams and the suspects that follow from it.
//!
//! A lost connection alone does not make suspects, because the upstream may have closed only that
//! one. The requests that ran at the moment of the loss become suspects when a connection is
//! refused or a new incarnation is announced soon after it.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::{Fingerprint, Incarnation, Moment, ServiceName};
use cornelvalve_policy::{HomeRegions, SuspectList};

/// Time after a lost connection in which a sign of death is put down to the requests that ran;
/// an upstream that is started again at once is back within it.
const WATCH_TIME: Duration = Duration::from_secs(3);

/// Requests that ran when a connection was lost.
pub(super) type Running = BTreeMap<Fingerprint, HomeRegions>;

/// Loss that may turn out to be a death.
struct Watch {
    incarnation: Incarnation,
    running: Running,
    until: Moment,
}

/// Suspects, and losses that are not yet known to be deaths.
pub(super) struct Crashes {
    pub(super) suspects: SuspectList,
    watches: BTreeMap<ServiceName, Watch>,
    /// Latest incarnation that died; its other losses are part of the same crash.
    died: BTreeMap<ServiceName, Incarnation>,
}

impl Crashes {
    /// Creates a state without suspects.
    pub(super) fn new(suspects: SuspectList) -> Self {
        Self {
            suspects,
            watches: BTreeMap::new(),
            died: BTreeMap::new(),
        }
    }

    /// Records that a connection was lost during a request.
    pub(super) fn lost(
        &mut self,
        service: &ServiceName,
        incarnation: Incarnation,
        running: Running,
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

    /// Records that the upstream refused a connection.
    pub(super) fn refused(&mut self, service: &ServiceName, now: Moment) {
        self.confirm(service, now);
    }

    /// Records that an incarnation was announced.
    pub(super) fn announced(
        &mut self,
        service: &ServiceName,
        incarnation: Incarnation,
        now: Moment,
    ) {
        let watch = self.watches.get(service);
        if watch.is_some_and(|w| w.incarnation < incarnation) {
            self.confirm(service, now);
        }
    }

    /// Records an answer; an incarnation that answers lives, whatever was seen before.
    pub(super) fn answered(&mut self, service: &ServiceName, incarnation: Incarnation) {
        if self.is_dead(service, incarnation) {
            self.died.remove(service);
        }
    }

    /// Forgets what is out of date.
    pub(super) fn tick(&mut self, now: Moment) {
        self.watches.retain(|_, watch| watch.until > now);
        self.suspects.tick(now);
    }

    fn is_dead(&self, service: &ServiceName, incarnation: Incarnation) -> bool {
        self.died.get(service).is_some_and(|d| incarnation <= *d)
    }

    fn confirm(&mut self, service: &ServiceName, now: Moment) {
        let Some(watch) = self.watches.remove(service).filter(|w| w.until > now) else {
            return;
        };
        self.died.insert(service.clone(), watch.incarnation);
        let running: Vec<_> = watch.running.into_iter().collect();
        log::warn!(service = service.as_str(), requests = running.len();
            "upstream died; the requests that ran are suspects");
        self.suspects.crashed(&running, now);
    }
}
