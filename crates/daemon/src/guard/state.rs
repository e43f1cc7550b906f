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

use super::calls::Calls;
use super::rules::Rules;
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
pub(super) struct Local {
    pub(super) upstream: Upstream,
    pub(super) admission: AdmissionController,
    /// Requests that have a place and wait for a suspect, or are one.
    pub(super) held: VecDeque<RequestId>,
}

/// Everything that the guard knows; owned by its task.
pub(super) struct GuardState {
    pub(super) reports: mpsc::UnboundedSender<PermitReport>,
    pub(super) rules: Rules,
    pub(super) locals: BTreeMap<ServiceName, Local>,
    pub(super) calls: Calls,
    pub(super) tickets: TicketTable,
    pub(super) crashes: CrashDetector,
    limits: AdmissionSettings,
    drained: Vec<ReplySender<()>>,
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
            rules: Rules::new(settings.region, settings.domain, catalog, now),
            locals: BTreeMap::new(),
            calls: Calls::default(),
            tickets: TicketTable::new(settings.tickets, settings.vm, settings.incarnation),
            crashes: CrashDetector::new(SuspectList::new(SuspectSettings::default(), region)),
            limits: settings.limits,
            drained: Vec::new(),
            draining: false,
        }
    }

    /// Takes the upstreams as they announced themselves.
    pub(super) fn set_upstreams(&mut self, upstreams: Upstreams, now: Moment) {
        let gone: Vec<ServiceName> = self
            .locals
            .keys()
            .filter(|service| upstreams.iter().all(|u| u.service != **service))
            .cloned()
            .collect();
        for service in gone {
            self.admission_event(&service, AdmissionEvent::UpstreamLost, now);
        }
        for upstream in upstreams {
            let service = upstream.service.clone();
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
            self.retire(&upstream, now);
            match self.locals.get_mut(&service) {
                Some(local) => local.upstream = upstream,
                None => {
                    let admission = AdmissionController::new(self.limits);
                    let local = Local {
                        upstream,
                        admission,
                        held: VecDeque::new(),
                    };
                    self.locals.insert(service.clone(), local);
                }
            }
            self.admission_event(&service, event, now);
        }
    }

    /// Refuses what waits with a place at an incarnation that has been replaced.
    fn retire(&mut self, upstream: &Upstream, now: Moment) {
        let service = &upstream.service;
        let old = self.locals.get(service).map(|l| l.upstream.incarnation);
        if old.is_some_and(|old| old != upstream.incarnation) {
            self.refuse_held(service, AdmissionEvent::UpstreamLost, now);
        }
    }

    fn every_admission(&mut self, event: AdmissionEvent, now: Moment) {
        let services: Vec<ServiceName> = self.locals.keys().cloned().collect();
        for service in services {
            self.admission_event(&service, event, now);
        }
    }

    /// Takes a newer configuration.
    pub(super) fn set_catalog(&mut self, catalog: Arc<Catalog>, now: Moment) {
        if self.rules.set_catalog(catalog) {
            self.restart_cold(now);
        }
    }

    /// Lets the load that returns with the failure domain ramp up as after a cold start.
    fn restart_cold(&mut self, now: Moment) {
        self.every_admission(AdmissionEvent::UpstreamLost, now);
        let upstreams = self.locals.values().map(|l| l.upstream.clone()).collect();
        self.set_upstreams(upstreams, now);
    }

    /// Takes the configuration as confirmed after a pause.
    pub(super) fn confirm(&mut self, confirmation_id: u64, catalog: Arc<Catalog>, now: Moment) {
        if self.rules.confirm(confirmation_id) {
            self.set_catalog(catalog, now);
        }
    }

    /// Stops admission and remembers whom to tell when nothing runs any more.
    pub(super) fn drain(&mut self, reply: ReplySender<()>, now: Moment) {
        self.draining = true;
        self.tickets.drain();
        self.every_admission(AdmissionEvent::DaemonLeaving, now);
        self.drained.push(reply);
        self.report_drained();
    }

    pub(super) fn report_drained(&mut self) {
        if self.draining && self.calls.running().next().is_none() {
            for reply in self.drained.drain(..) {
                reply.send(());
            }
        }
    }

    /// Lists the upstreams with their load.
    pub(super) fn load(&self) -> Vec<UpstreamLoad> {
        let locals = self.locals.values();
        locals
            .map(|l| UpstreamLoad {
                upstream: l.upstream.clone(),
                load: l.admission.load_hint(),
            })
            .collect()
    }

    /// Does the periodic work.
    pub(super) fn tick(&mut self, tick: Tick) {
        self.rules.tick(tick);
        self.tickets.tick(tick.now);
        self.crashes.tick(tick.now);
        self.forget_abandoned(tick.now);
        self.refuse_late(tick.now);
        self.release_held(tick.now);
        self.every_admission(AdmissionEvent::Tick, tick.now);
    }
}

/// Logs the death of an upstream, if there are requests that ran at it.
pub(super) fn log_crash(service: &ServiceName, suspects: &[Fingerprint]) {
    if !suspects.is_empty() {
        log::warn!(service = service.as_str(), requests = suspects.len();
            "upstream died; the requests that ran are suspects");
    }
}
