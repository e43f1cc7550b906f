//! Detection of requests that crash the upstream, called suspects, and their exchange with other
//! daemons.
//!
//! Only requests that started shortly before the upstream died become suspects: a request that
//! crashes its upstream does so soon after it starts, so a request that had been running for longer
//! is not the cause.

use std::time::Duration;

use cornelvalve_kernel::Mailbox;
use cornelvalve_model::{Fingerprint, Incarnation, Moment, Region, ServiceName};
use cornelvalve_policy::{
    CrashDetector, InterruptedRequests, SharedSuspect, SuspectList, SuspectSettings,
};

use super::GuardSettings;
use super::calls::EndedCall;
use crate::messages::{NoticesMessage, PermitOutcome};

/// A request that loses its connection within this time after its start may have caused the crash.
const CRASH_WINDOW: Duration = Duration::from_millis(250);

/// Time for which a suspect is remembered after its last crash.
const SUSPECT_TTL: Duration = Duration::from_secs(600);

/// Number of crashes after which a request is refused. The same harmless request is often involved
/// in two crashes by chance, but rarely in three.
const CRASH_LIMIT: u32 = 3;

/// Maximum number of suspects that are sent to other daemons after a crash. Lower than the number
/// that fits into one datagram.
const MAX_SHARED_SUSPECTS: usize = 8;

/// Tracks crashes of the upstream and the requests that may have caused them.
pub(super) struct CrashTracker {
    crashes: CrashDetector,
    service: ServiceName,
    /// Number of the current upstream process, counted by this daemon. Unrelated to the incarnation
    /// that other daemons see, which is the start time of the process.
    process_number: Incarnation,
    region: Region,
    notices: Mailbox<NoticesMessage>,
}

impl CrashTracker {
    /// Creates a tracker without suspects.
    pub(super) fn new(settings: &GuardSettings, notices: Mailbox<NoticesMessage>) -> Self {
        let suspect_settings = SuspectSettings {
            ttl: SUSPECT_TTL,
            crash_limit: CRASH_LIMIT,
            ..SuspectSettings::default()
        };
        let suspects = SuspectList::new(suspect_settings, settings.region.clone());
        Self {
            crashes: CrashDetector::new(suspects),
            service: settings.service.clone(),
            process_number: Incarnation(1),
            region: settings.region.clone(),
            notices,
        }
    }

    /// Records the end of a request that ran.
    pub(super) fn record_end(&mut self, call: EndedCall, outcome: PermitOutcome, now: Moment) {
        match outcome {
            PermitOutcome::Answered | PermitOutcome::Failed => {
                self.crashes
                    .request_answered(&self.service, self.process_number);
                self.crashes.suspects.record_success(call.fingerprint);
            }
            PermitOutcome::Lost if now.since(call.started) <= CRASH_WINDOW => {
                let lost: InterruptedRequests = [(call.fingerprint, call.home_regions)].into();
                self.crashes
                    .connection_lost(&self.service, self.process_number, lost, now);
            }
            _ => {}
        }
    }

    /// Records that the upstream accepts no connections.
    pub(super) fn record_unreachable(&mut self, now: Moment) {
        let suspects = self.crashes.connection_refused(&self.service, now);
        self.share_suspects(&suspects, now);
    }

    /// Records that another process has replaced the upstream.
    pub(super) fn record_replacement(&mut self, now: Moment) {
        self.process_number.0 += 1;
        let suspects = self
            .crashes
            .incarnation_announced(&self.service, self.process_number, now);
        self.share_suspects(&suspects, now);
    }

    /// Returns whether a request has been involved in too many crashes to run again.
    pub(super) fn is_refused(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.crashes.suspects.must_refuse(fingerprint, now)
    }

    /// Adds the suspects that another daemon reported, after removing expired ones.
    pub(super) fn merge(&mut self, suspects: &[SharedSuspect], now: Moment) {
        self.crashes.tick(now);
        self.crashes.suspects.merge(suspects, now);
    }

    /// Sends the suspects that have not expired to other daemons if a crash was found, that is, if
    /// `found` is not empty.
    fn share_suspects(&mut self, found: &[Fingerprint], now: Moment) {
        if found.is_empty() {
            return;
        }
        self.crashes.tick(now);
        log::warn!(event = "upstream-crashed", suspects = found.len(); "upstream crashed shortly after requests started; they are now suspects");
        let suspects = self
            .crashes
            .suspects
            .export(&self.region, MAX_SHARED_SUSPECTS, now);
        if let Err(e) = self
            .notices
            .try_send(NoticesMessage::CrashSuspects(suspects))
        {
            log::warn!(event = "suspects-not-told"; "suspects were not sent: {e}; they are sent again after the next crash");
        }
    }
}
