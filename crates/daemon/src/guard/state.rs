//! State of the guard, and what its upstreams, operators and the clock change in it.
//!
//! Admission, tickets and rules have modules of their own.

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

use super::pending::PendingRequests;
use super::validator::RequestValidator;
use super::{PermitReport, UpstreamLoad, Upstreams};
use crate::catalog::CatalogMessage;

/// What the guard must know about its place.
#[derive(Clone, Debug)]
pub(crate) struct GuardSettings {
    /// VM on which the daemon runs.
    pub(crate) vm: VmName,
    /// Start of the daemon process.
    pub(crate) incarnation: Incarnation,
    /// Region of the VM.
    pub(crate) region: Region,
    /// Failure domain of the VM.
    pub(crate) domain: FailureDomain,
    /// Bounds on tickets.
    pub(crate) tickets: TicketSettings,
    /// Bounds on admission.
    pub(crate) limits: AdmissionSettings,
}

/// One local upstream with its admission.
pub(super) struct LocalUpstream {
    pub(super) upstream: Upstream,
    pub(super) admission: AdmissionController,
    /// Requests that have a place and wait for a suspect, or are one.
    pub(super) held: VecDeque<RequestId>,
}

/// Everything that the guard knows; owned by its task.
pub(super) struct GuardState {
    pub(super) reports: mpsc::UnboundedSender<PermitReport>,
    pub(super) validator: RequestValidator,
    pub(super) upstreams: BTreeMap<ServiceName, LocalUpstream>,
    pub(super) requests: PendingRequests,
    pub(super) tickets: TicketTable,
    pub(super) crashes: CrashDetector,
    limits: AdmissionSettings,
    drain_waiters: Vec<ReplySender<()>>,
    draining: bool,
}

impl GuardState {
    /// Creates a guard that refuses everything until it has a configuration and an upstream.
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
            requests: PendingRequests::default(),
            tickets: TicketTable::new(settings.tickets, settings.vm, settings.incarnation),
            crashes: CrashDetector::new(SuspectList::new(SuspectSettings::default(), region)),
            limits: settings.limits,
            drain_waiters: Vec::new(),
            draining: false,
        }
    }

    /// Takes the upstreams as they announced themselves.
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
            let suspects = self
                .crashes
                .incarnation_announced(&service, upstream.incarnation, now);
            log_crash(&service, &suspects);
            let event = match upstream.state {
                UpstreamState::Ready => AdmissionEvent::UpstreamStarted {
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

    /// Refuses what waits with a place at an incarnation that has been replaced.
    fn refuse_replaced(&mut self, upstream: &Upstream, now: Moment) {
        let service = &upstream.service;
        let old = self.upstreams.get(service).map(|l| l.upstream.incarnation);
        if old.is_some_and(|old| old != upstream.incarnation) {
            self.refuse_held(service, AdmissionEvent::UpstreamLost, now);
        }
    }

    fn notify_all_admissions(&mut self, event: AdmissionEvent, now: Moment) {
        let services: Vec<ServiceName> = self.upstreams.keys().cloned().collect();
        for service in services {
            self.handle_admission_event(&service, event, now);
        }
    }

    /// Takes a newer configuration.
    pub(super) fn set_catalog(&mut self, catalog: Arc<Catalog>, now: Moment) {
        if self.validator.set_catalog(catalog) {
            self.restart_ramp_up(now);
        }
    }

    /// Lets the load that returns with the failure domain ramp up as after a cold start.
    fn restart_ramp_up(&mut self, now: Moment) {
        self.notify_all_admissions(AdmissionEvent::UpstreamLost, now);
        let upstreams = self
            .upstreams
            .values()
            .map(|l| l.upstream.clone())
            .collect();
        self.set_upstreams(upstreams, now);
    }

    /// Takes the configuration as confirmed after a pause.
    pub(super) fn confirm(&mut self, number: u64, catalog: Arc<Catalog>, now: Moment) {
        if self.validator.confirm(number) {
            self.set_catalog(catalog, now);
        }
    }

    /// Stops admission and remembers whom to tell when nothing runs any more.
    pub(super) fn drain(&mut self, reply: ReplySender<()>, now: Moment) {
        self.draining = true;
        self.tickets.drain();
        self.notify_all_admissions(AdmissionEvent::DaemonLeaving, now);
        self.drain_waiters.push(reply);
        self.notify_if_drained();
    }

    pub(super) fn notify_if_drained(&mut self) {
        if self.draining && self.requests.running().next().is_none() {
            for reply in self.drain_waiters.drain(..) {
                reply.send(());
            }
        }
    }

    /// Lists the upstreams with their load.
    pub(super) fn load(&self) -> Vec<UpstreamLoad> {
        let upstreams = self.upstreams.values();
        upstreams
            .map(|l| UpstreamLoad {
                upstream: l.upstream.clone(),
                load: l.admission.hint(),
            })
            .collect()
    }

    /// Does the periodic work.
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

/// Logs the death of an upstream, if there are requests that ran at it.
pub(super) fn log_crash(service: &ServiceName, suspects: &[Fingerprint]) {
    if !suspects.is_empty() {
        log::warn!(service = service.as_str(), requests = suspects.len();
            "upstream died; the requests that ran are suspects");
    }
}
