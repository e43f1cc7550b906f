//! Detection of upstream crashes and of the requests that may have caused them.
//!
//! A lost connection alone is no crash, because the upstream may have closed just that connection.
//! When, soon after the loss, a connection is refused or a new incarnation (start of the upstream
//! process) is announced, the upstream has crashed, and the requests that ran when the connection
//! was lost become suspects. Upstreams are identified by their service, because a daemon has at
//! most one upstream of each service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::suspect::{HomeRegions, SuspectList};
use cornelvalve_model::{Fingerprint, Incarnation, Moment, ServiceName};

/// Time after a lost connection within which a refused connection or a new incarnation confirms
/// that the upstream has crashed. An upstream that is restarted immediately is back within this
/// time.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(3);

/// Requests that ran when a connection was lost, with the regions to which information about them
/// may be passed.
pub type InterruptedRequests = BTreeMap<Fingerprint, HomeRegions>;

/// Lost connections of one incarnation, which may turn out to be a crash.
#[derive(Debug)]
struct PossibleCrash {
    incarnation: Incarnation,
    interrupted: InterruptedRequests,
    /// Moment from which the crash can no longer be confirmed.
    until: Moment,
}

/// Detects upstream crashes from lost connections and keeps the requests that are suspected of
/// them.
#[derive(Debug)]
pub struct CrashDetector {
    /// Requests that ran when an upstream crashed.
    pub suspects: SuspectList,
    possible_crashes: BTreeMap<ServiceName, PossibleCrash>,
    /// Latest incarnation of each service that crashed; further lost connections of it belong to
    /// the same crash.
    crashed: BTreeMap<ServiceName, Incarnation>,
}

impl CrashDetector {
    /// Creates a detector that has seen no lost connections.
    #[must_use]
    pub fn new(suspects: SuspectList) -> Self {
        Self {
            suspects,
            possible_crashes: BTreeMap::new(),
            crashed: BTreeMap::new(),
        }
    }

    /// Records that a connection was lost while the `interrupted` requests ran at the upstream.
    pub fn connection_lost(
        &mut self,
        service: &ServiceName,
        incarnation: Incarnation,
        interrupted: InterruptedRequests,
        now: Moment,
    ) {
        if self.has_crashed(service, incarnation) {
            return;
        }
        let until = now + CONFIRMATION_WINDOW;
        match self.possible_crashes.get_mut(service) {
            Some(possible) if possible.incarnation == incarnation => {
                possible.interrupted.extend(interrupted);
                possible.until = until;
            }
            _ => {
                let possible = PossibleCrash {
                    incarnation,
                    interrupted,
                    until,
                };
                self.possible_crashes.insert(service.clone(), possible);
            }
        }
    }

    /// Records that the upstream refused a connection.
    ///
    /// Returns the requests that became suspects; none if no connection was lost recently.
    pub fn connection_refused(&mut self, service: &ServiceName, now: Moment) -> Vec<Fingerprint> {
        self.confirm(service, now)
    }

    /// Records that an incarnation was announced.
    ///
    /// Returns the requests that became suspects; none if no connection of an earlier incarnation
    /// was lost recently.
    pub fn incarnation_announced(
        &mut self,
        service: &ServiceName,
        incarnation: Incarnation,
        now: Moment,
    ) -> Vec<Fingerprint> {
        let possible = self.possible_crashes.get(service);
        if possible.is_some_and(|p| p.incarnation < incarnation) {
            self.confirm(service, now)
        } else {
            Vec::new()
        }
    }

    /// Records that the upstream answered a request.
    ///
    /// An incarnation that answers has not crashed, even if it was considered crashed before.
    pub fn request_answered(&mut self, service: &ServiceName, incarnation: Incarnation) {
        if self.has_crashed(service, incarnation) {
            self.crashed.remove(service);
        }
    }

    /// Removes expired suspects and lost connections that were not confirmed as crashes.
    pub fn tick(&mut self, now: Moment) {
        self.possible_crashes
            .retain(|_, possible| possible.until > now);
        self.suspects.tick(now);
    }

    /// Returns whether an incarnation, or a later one, is known to have crashed.
    fn has_crashed(&self, service: &ServiceName, incarnation: Incarnation) -> bool {
        self.crashed
            .get(service)
            .is_some_and(|crashed| incarnation <= *crashed)
    }

    /// Confirms a crash: makes suspects of the requests of a recent loss and returns them.
    fn confirm(&mut self, service: &ServiceName, now: Moment) -> Vec<Fingerprint> {
        let Some(possible) = self
            .possible_crashes
            .remove(service)
            .filter(|p| p.until > now)
        else {
            return Vec::new();
        };
        self.crashed.insert(service.clone(), possible.incarnation);
        let interrupted: Vec<_> = possible.interrupted.into_iter().collect();
        self.suspects.record_crash(&interrupted, now);
        interrupted
            .into_iter()
            .map(|(request, _)| request)
            .collect()
    }
}
