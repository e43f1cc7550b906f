//! Requests that may have crashed the upstream: found by the guard, told to other daemons.
//!
//! Only requests that had just begun when the upstream died are suspects: such a request crashes it
//! as soon as it runs, and what ran longer beside it is innocent.

use std::time::Duration;

use cornelvalve_kernel::Mailbox;
use cornelvalve_model::{Fingerprint, Incarnation, Moment, Region, ServiceName};
use cornelvalve_policy::{
    CrashDetector, InterruptedRequests, SharedSuspect, SuspectList, SuspectSettings,
};

use super::GuardSettings;
use super::calls::Ended;
use crate::messages::{NoticesMessage, PermitOutcome};

/// Time after its start in which a request counts as one that crashed the upstream.
const BEGUN_WITHIN: Duration = Duration::from_millis(250);

/// Time for which a suspect is remembered after its last crash.
const MEMORY: Duration = Duration::from_secs(600);

/// Crashes after which a request is refused: one more than chance brings together often.
const REFUSED_AT: u32 = 3;

/// Suspects told at once.
const MAX_TOLD: usize = 8;

/// Crashes of the upstream and the requests behind them.
pub(super) struct CrashWatch {
    crashes: CrashDetector,
    service: ServiceName,
    /// Number of the present process of the upstream.
    process: Incarnation,
    region: Region,
    notices: Mailbox<NoticesMessage>,
}

impl CrashWatch {
    pub(super) fn new(settings: &GuardSettings, notices: Mailbox<NoticesMessage>) -> Self {
        let bounds = SuspectSettings {
            ttl: MEMORY,
            crash_limit: REFUSED_AT,
            ..SuspectSettings::default()
        };
        let suspects = SuspectList::new(bounds, settings.region.clone());
        Self {
            crashes: CrashDetector::new(suspects),
            service: settings.service.clone(),
            process: Incarnation(1),
            region: settings.region.clone(),
            notices,
        }
    }

    /// Notes the end of a request that ran.
    pub(super) fn ended(&mut self, call: Ended, end: PermitOutcome, now: Moment) {
        match end {
            PermitOutcome::Answered | PermitOutcome::Failed => {
                self.crashes.request_answered(&self.service, self.process);
                self.crashes.suspects.record_success(call.fingerprint);
            }
            PermitOutcome::Lost if now.since(call.started) <= BEGUN_WITHIN => {
                let lost: InterruptedRequests = [(call.fingerprint, call.homes)].into();
                self.crashes
                    .connection_lost(&self.service, self.process, lost, now);
            }
            _ => {}
        }
    }

    /// Notes that the upstream takes no connection.
    pub(super) fn died(&mut self, now: Moment) {
        let suspects = self.crashes.connection_refused(&self.service, now);
        self.tell(&suspects, now);
    }

    /// Notes that another process has taken the place of the upstream.
    pub(super) fn replaced(&mut self, now: Moment) {
        self.process.0 += 1;
        let suspects = self
            .crashes
            .incarnation_announced(&self.service, self.process, now);
        self.tell(&suspects, now);
    }

    /// Tells whether a request has crashed too many upstreams to run again.
    pub(super) fn refuses(&self, request: Fingerprint, now: Moment) -> bool {
        self.crashes.suspects.must_refuse(request, now)
    }

    /// Takes over what another daemon tells.
    pub(super) fn merge(&mut self, suspects: &[SharedSuspect], now: Moment) {
        self.crashes.tick(now);
        self.crashes.suspects.merge(suspects, now);
    }

    /// Tells other daemons of the latest crash.
    fn tell(&mut self, found: &[Fingerprint], now: Moment) {
        if found.is_empty() {
            return;
        }
        self.crashes.tick(now);
        log::warn!(event = "upstream-crashed", suspects = found.len(); "upstream died right after requests began");
        let suspects = self.crashes.suspects.export(&self.region, MAX_TOLD, now);
        if let Err(e) = self
            .notices
            .try_send(NoticesMessage::CrashSuspects(suspects))
        {
            log::warn!(event = "suspects-not-told"; "{e}; the next crash tells of them again");
        }
    }
}
