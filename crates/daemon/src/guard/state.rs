//! State of the guard, and the handling of upstream changes, configurations, drains and ticks.
//!
//! The handling of requests is in the modules `admission`, `held` and `tickets`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use cornelvalve_catalog::Catalog;
use cornelvalve_kernel::{Mailbox, ReplySender, Tick};
use cornelvalve_model::{
    FailureDomain, Fingerprint, Incarnation, Moment, Region, ServiceName, Upstream, UpstreamState,
    VmName,
};
use cornelvalve_policy::{
    AdmissionController, AdmissionEvent, AdmissionSettings, CrashDetector, RequestId, SuspectList,
    SuspectSettings, TicketSettings, TicketTable,
};
use tokio::sync::mpsc;

use super::active::ActiveRequests;
use super::validator::RequestValidator;
use super::{PermitReport, UpstreamLoad, Upstreams};
use crate::catalog::CatalogMessage;

/// Settings of the guard.
#[derive(Clone, Debug)]
pub(crate) struct GuardSettings {
    /// VM on which the daemon runs.
    pub(crate) vm: VmName,
    /// Incarnation of the daemon process.
    pub(crate) incarnation: Incarnation,
    /// Region of the VM.
    pub(crate) region: Region,
    /// Failure domain of the VM.
    pub(crate) domain: FailureDomain,
    /// Limits of the ticket table.
    pub(crate) tickets: TicketSettings,
    /// Limits of the admission controllers.
    pub(crate) limits: AdmissionSettings,
}

/// Local upstream with its admission state.
pub(super) struct LocalUpstream {
    pub(super) upstream: Upstream,
    pub(super) admission: AdmissionController,
    /// Requests that the admission controller has started but that must wait; see the module
    /// `held`.
    pub(super) held: VecDeque<RequestId>,
}

/// State of the guard, owned by its task.
pub(super) struct GuardState {
    pub(super) reports: mpsc::UnboundedSender<PermitReport>,
    pub(super) validator: RequestValidator,
    pub(super) upstreams: BTreeMap<ServiceName, LocalUpstream>,
    pub(super) requests: ActiveRequests,
    pub(super) tickets: TicketTable,
    pub(super) crashes: CrashDetector,
    limits: AdmissionSettings,
    drain_waiters: Vec<ReplySender<()>>,
    draining: bool,
}

impl GuardState {
    /// Creates the state; every request is refused until there is a configuration and an upstream.
    pub(super) fn new(
        settings: GuardSettings,
        reports: mpsc::UnboundedSender<PermitReport>,
        catalog: Mailbox<CatalogMessage>,
        now: Moment,
    ) -> Self {
        let region = settings.region.clone();
        Self {
            reports,
            validator: RequestValidator::new(settings.region, settings.domain, catalog, now),
            upstreams: BTreeMap::new(),
            requests: ActiveRequests::default(),
            tickets: TicketTable::new(settings.tickets, settings.vm, settings.incarnation),
            crashes: CrashDetector::new(SuspectList::new(SuspectSettings::default(), region)),
            limits: settings.limits,
            drain_waiters: Vec::new(),
            draining: false,
        }
    }

    /// Updates the local upstreams; those that are missing from the list count as lost.
    pub(super) fn set_upstreams(&mut self, upstreams: Upstreams, now: Moment) {
        let gone: Vec<ServiceName> = self
            .upstreams
            .keys()
            .filter(|service| upstreams.iter().all(|u| u.service != **service))
            .cloned()
            .collect();
        for service in gone {
            self.handle_admission_event(&service, AdmissionEvent::UpstreamLost, now);
        }
        for upstream in upstreams {
            let service = upstream.service.clone();
            // A new incarnation means that the previous one crashed if connections to it were lost.
            let suspects = self
                .crashes
                .incarnation_announced(&service, upstream.incarnation, now);
            log_crash(&service, &suspects);
            let event = match upstream.state {
                UpstreamState::Ready => AdmissionEvent::UpstreamAnnounced {
                    incarnation: upstream.incarnation,
                    slots: upstream.slots,
                },
                UpstreamState::Draining => AdmissionEvent::UpstreamDraining,
                UpstreamState::Lost => AdmissionEvent::UpstreamLost,
            };
            self.refuse_replaced(&upstream, now);
            match self.upstreams.get_mut(&service) {
                Some(local) => local.upstream = upstream,
                None => {
                    let admission = AdmissionController::new(self.limits);
                    let local = LocalUpstream {
                        upstream,
                        admission,
                        held: VecDeque::new(),
                    };
                    self.upstreams.insert(service.clone(), local);
                }
            }
            self.handle_admission_event(&service, event, now);
        }
    }

    /// Refuses the held requests of an upstream whose incarnation has been replaced by `upstream`.
    fn refuse_replaced(&mut self, upstream: &Upstream, now: Moment) {
        let service = &upstream.service;
        let old = self.upstreams.get(service).map(|l| l.upstream.incarnation);
        if old.is_some_and(|old| old != upstream.incarnation) {
            self.refuse_held(service, AdmissionEvent::UpstreamLost, now);
        }
    }

    /// Passes an event to the admission controllers of all upstreams.
    fn notify_all_admissions(&mut self, event: AdmissionEvent, now: Moment) {
        let services: Vec<ServiceName> = self.upstreams.keys().cloned().collect();
        for service in services {
            self.handle_admission_event(&service, event, now);
        }
    }

    /// Updates the configuration.
    pub(super) fn set_catalog(&mut self, catalog: Arc<Catalog>, now: Moment) {
        if self.validator.set_catalog(catalog) {
            self.restart_ramp_up(now);
        }
    }

    /// Reports every upstream to its admission controller as lost and announced again, after the
    /// failure domain has returned to service.
    ///
    /// This resets the admission limits to those of a cold start, so that the load ramps up slowly.
    /// Waiting requests are refused.
    fn restart_ramp_up(&mut self, now: Moment) {
        self.notify_all_admissions(AdmissionEvent::UpstreamLost, now);
        let upstreams = self
            .upstreams
            .values()
            .map(|l| l.upstream.clone())
            .collect();
        self.set_upstreams(upstreams, now);
    }

    /// Updates the configuration if it is the confirmation that was requested last.
    pub(super) fn confirm(&mut self, confirmation_id: u64, catalog: Arc<Catalog>, now: Moment) {
        if self.validator.confirm(confirmation_id) {
            self.set_catalog(catalog, now);
        }
    }

    /// Stops admission; `reply` is sent when no request runs any more.
    pub(super) fn drain(&mut self, reply: ReplySender<()>, now: Moment) {
        self.draining = true;
        self.tickets.drain();
        self.notify_all_admissions(AdmissionEvent::DaemonLeaving, now);
        self.drain_waiters.push(reply);
        self.notify_if_drained();
    }

    /// Sends the replies to drain messages if the guard drains and no request runs.
    pub(super) fn notify_if_drained(&mut self) {
        if self.draining && self.requests.running().next().is_none() {
            for reply in self.drain_waiters.drain(..) {
                reply.send(());
            }
        }
    }

    /// Returns the load of each upstream.
    pub(super) fn load(&self) -> Vec<UpstreamLoad> {
        let upstreams = self.upstreams.values();
        upstreams
            .map(|l| UpstreamLoad {
                upstream: l.upstream.clone(),
                load: l.admission.load_hint(),
            })
            .collect()
    }

    /// Detects pauses, expires tickets, crash suspects and requests, and starts the held requests
    /// that can run now.
    pub(super) fn tick(&mut self, tick: Tick) {
        self.validator.tick(tick);
        self.tickets.tick(tick.now);
        self.crashes.tick(tick.now);
        self.remove_abandoned(tick.now);
        self.refuse_expired(tick.now);
        self.release_held(tick.now);
        self.notify_all_admissions(AdmissionEvent::Tick, tick.now);
    }
}

/// Logs the crash of an upstream if requests became suspects because of it, which means that
/// repeats of them run alone.
pub(super) fn log_crash(service: &ServiceName, suspects: &[Fingerprint]) {
    if !suspects.is_empty() {
        log::warn!(service = service.as_str(), requests = suspects.len();
            "upstream crashed; repeats of the requests that it was running will run alone");
    }
}
