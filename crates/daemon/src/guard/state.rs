//! State of the guard: admission, tickets, suspects and the rules that it enforces.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_catalog::{Catalog, Residency, Routed};
use cornelvalve_kernel::{Reply, Tick};
use cornelvalve_model::{
    DomainState, FailureDomain, Incarnation, LoadHint, Moment, Reason, Refusal, Region, Revision,
    ServiceName, Upstream, UpstreamState, VmName,
};
use cornelvalve_policy::{
    Admission, AdmissionAction, AdmissionActions, AdmissionEvent, Arrival, FinishResult,
    HomeRegions, RequestId, StoredAnswer, SuspectList, SuspectSettings, Ticket, TicketList,
    TicketSettings, TicketTable,
};
use tokio::sync::mpsc;

use super::calls::{Calls, call_id, request_id};
use super::{Admitted, Call, Permit, PermitEnd, PermitReport, UpstreamLoad, Upstreams};
use crate::completion::Completion;

/// Result alias of this module.
type Result<T> = std::result::Result<T, Refusal>;

/// Delay of a tick from which the process counts as paused; longer than any delay under full load.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Time after a pause for which the guard waits for a confirmed configuration before it goes on
/// without one, so that an outage of log and peers does not stop service.
const CONFIRM_WAIT: Duration = Duration::from_secs(2);

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
}

/// One local upstream with its admission.
struct Local {
    upstream: Upstream,
    admission: Admission,
}

/// Everything that the guard knows; owned by its task.
pub(super) struct GuardState {
    settings: GuardSettings,
    reports: mpsc::UnboundedSender<PermitReport>,
    catalog: Option<Arc<Catalog>>,
    locals: BTreeMap<ServiceName, Local>,
    calls: Calls,
    tickets: TicketTable,
    suspects: SuspectList,
    unconfirmed_until: Option<Moment>,
    last_tick: Moment,
    drained: Vec<Reply<()>>,
    draining: bool,
}

impl GuardState {
    /// Creates a guard that refuses everything until it has a configuration and an upstream.
    pub(super) fn new(
        settings: GuardSettings,
        reports: mpsc::UnboundedSender<PermitReport>,
        now: Moment,
    ) -> Self {
        let tickets = TicketTable::new(settings.tickets, settings.vm.clone(), settings.incarnation);
        let suspects = SuspectList::new(SuspectSettings::default(), settings.region.clone());
        Self {
            settings,
            reports,
            catalog: None,
            locals: BTreeMap::new(),
            calls: Calls::default(),
            tickets,
            suspects,
            unconfirmed_until: None,
            last_tick: now,
            drained: Vec::new(),
            draining: false,
        }
    }

    /// Decides on a request; the reply may come later, when a place is free.
    pub(super) fn admit(&mut self, call: Call, reply: Reply<Admitted>, now: Moment) {
        self.note_pause(now);
        let id = self.calls.insert(call, reply);
        if let Err(refusal) = self.arrive(id, now) {
            self.refuse(id, refusal);
        }
    }

    fn arrive(&mut self, id: RequestId, now: Moment) -> Result<()> {
        let Some(pending) = self.calls.get(id) else {
            return Ok(());
        };
        let call = pending.call.clone();
        if let Some(ticket) = &call.ticket {
            match self
                .tickets
                .arrive(ticket, call.fingerprint, call_id(id), now)
            {
                Arrival::Run => {}
                Arrival::Wait => {
                    if let Some(pending) = self.calls.get_mut(id) {
                        pending.joined = true;
                    }
                    return Ok(());
                }
                Arrival::Replay(answer) => {
                    self.calls.replay(id, answer);
                    return Ok(());
                }
                Arrival::Refuse(refusal) => return Err(refusal),
            }
        }
        self.check_rules(&call)?;
        let admission = self.admission(&call.service)?;
        let deadline = call.deadline;
        let actions = admission.on(AdmissionEvent::Arrived { id, deadline }, now);
        self.apply(&call.service, actions, now);
        Ok(())
    }

    /// Checks the rules that an entry with an older configuration may not know.
    fn check_rules(&self, call: &Call) -> Result<()> {
        if self.unconfirmed_until.is_some() {
            return Err(Refusal::not_run(Reason::StaleConfiguration));
        }
        let catalog = self.catalog.as_deref();
        let catalog = catalog
            .filter(|c| c.revision() > Revision(0))
            .ok_or(Refusal::not_run(Reason::NoConfiguration))?;
        if catalog.domain_state(&self.settings.domain) == DomainState::OutOfService {
            return Err(Refusal::not_run(Reason::DomainOut));
        }
        let routed = Routed {
            team: call.team.as_ref(),
            service: &call.service,
            route: call.route.as_ref(),
            revision: call.revision,
        };
        let objection = catalog.objection(&routed, &self.settings.region);
        objection.map_or(Ok(()), |reason| Err(Refusal::not_run(reason)))
    }

    fn admission(&mut self, service: &ServiceName) -> Result<&mut Admission> {
        let local = self.locals.get_mut(service);
        let local = local.ok_or(Refusal::not_run(Reason::NoUpstream))?;
        Ok(&mut local.admission)
    }

    /// Carries out what the admission of a service decided.
    fn apply(&mut self, service: &ServiceName, actions: AdmissionActions, now: Moment) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.start(service, id, now),
                AdmissionAction::Refuse(id, reason) => self.refuse(id, Refusal::not_run(reason)),
            }
        }
    }

    fn start(&mut self, service: &ServiceName, id: RequestId, now: Moment) {
        let Some(local) = self.locals.get(service) else {
            return;
        };
        let upstream = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), local.upstream.port);
        let hint = local.admission.hint();
        if let Err(refusal) = self.check_start(id, now) {
            self.refuse(id, refusal);
            self.free_place(service, id, FinishResult::Cancelled, Duration::ZERO, now);
            return;
        }
        let unused = PermitReport {
            id,
            end: PermitEnd::Unused,
        };
        let permit = Permit {
            upstream,
            hint,
            granted: now,
            id,
            report: Completion::new(self.reports.clone(), unused),
        };
        if let Some(pending) = self.calls.get_mut(id) {
            pending.started = Some(now);
            if let Some(reply) = pending.reply.take() {
                // If the asker has gone, dropping the permit reports that nothing was sent.
                reply.send(Admitted::Run(permit));
            }
        }
    }

    /// Checks the right to run at the moment of dispatch, after any queueing or pause.
    fn check_start(&mut self, id: RequestId, now: Moment) -> Result<()> {
        let Some(pending) = self.calls.get(id) else {
            return Err(Refusal::not_run(Reason::Internal));
        };
        let call = pending.call.clone();
        // A rule may have come into force while the request waited.
        self.check_rules(&call)?;
        let running = self.calls.running().count();
        match self.suspects.start(call.fingerprint, running, now) {
            cornelvalve_policy::Start::Run => {}
            cornelvalve_policy::Start::Hold => {
                return Err(Refusal::not_run(Reason::Overloaded));
            }
            cornelvalve_policy::Start::Refuse(refusal) => return Err(refusal),
        }
        match &call.ticket {
            Some(ticket) => self.tickets.at_dispatch(ticket, now),
            None => Ok(()),
        }
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        let Some(pending) = self.calls.get(id) else {
            return;
        };
        let hint = self
            .locals
            .get(&pending.call.service)
            .map(|l| l.admission.hint())
            .unwrap_or_default();
        let waiters = match &pending.call.ticket {
            Some(ticket) => self.tickets.not_run(ticket),
            None => Default::default(),
        };
        self.calls.refuse(id, refusal, hint);
        for waiter in waiters {
            self.calls.refuse(request_id(waiter.id), refusal, hint);
        }
    }

    /// Takes the end of a request that had a permit.
    pub(super) fn finish(&mut self, id: RequestId, end: PermitEnd, now: Moment) {
        let Some(pending) = self.calls.remove(id) else {
            return;
        };
        let service = pending.call.service.clone();
        let service_time = pending.started.map(|at| now.since(at)).unwrap_or_default();
        let fingerprint = pending.call.fingerprint;
        match end {
            PermitEnd::Answered(_) | PermitEnd::Failed(_) => self.suspects.succeeded(fingerprint),
            PermitEnd::Lost => self.suspect_running(&pending.call, now),
            PermitEnd::Unused | PermitEnd::NotSent | PermitEnd::Cancelled => {
                self.suspects.released(fingerprint);
            }
        }
        let result = match &end {
            PermitEnd::Answered(_) => FinishResult::Success,
            PermitEnd::Failed(_) => FinishResult::Failure,
            PermitEnd::NotSent | PermitEnd::Lost => FinishResult::ConnectionLost,
            PermitEnd::Unused | PermitEnd::Cancelled => FinishResult::Cancelled,
        };
        if let Some(ticket) = &pending.call.ticket {
            self.finish_ticket(ticket, end, now);
        }
        self.free_place(&service, id, result, service_time, now);
        self.report_drained();
    }

    fn finish_ticket(&mut self, ticket: &Ticket, end: PermitEnd, now: Moment) {
        let (waiters, answer) = match end {
            PermitEnd::Answered(Some(answer)) | PermitEnd::Failed(Some(answer)) => {
                let waiters = self.tickets.completed(ticket, answer.clone(), now);
                (waiters, Some(answer))
            }
            _ => (self.tickets.unknown(ticket, now), None),
        };
        for waiter in waiters {
            self.answer_waiter(request_id(waiter.id), answer.as_ref());
        }
    }

    fn answer_waiter(&mut self, id: RequestId, answer: Option<&StoredAnswer>) {
        match answer {
            Some(answer) => self.calls.replay(id, answer.clone()),
            None => {
                let refusal = Refusal::unknown(Reason::Connection);
                self.calls.refuse(id, refusal, LoadHint::default());
            }
        }
    }

    /// Marks the requests that ran when the connection to the upstream broke.
    fn suspect_running(&mut self, lost: &Call, now: Moment) {
        let running: Vec<_> = std::iter::once(lost)
            .chain(self.calls.running().map(|p| &p.call))
            .filter(|c| c.service == lost.service)
            .map(|c| (c.fingerprint, self.home_regions(c)))
            .collect();
        self.suspects.crashed(&running, now);
    }

    fn home_regions(&self, call: &Call) -> HomeRegions {
        let Some(catalog) = &self.catalog else {
            return HomeRegions::Only(Default::default());
        };
        match catalog.residency(call.team.as_ref(), &call.service, call.route.as_ref()) {
            Residency::Anywhere => HomeRegions::Any,
            Residency::Regions(regions) => HomeRegions::Only(regions),
            Residency::Nowhere => HomeRegions::Only(Default::default()),
        }
    }

    fn free_place(
        &mut self,
        service: &ServiceName,
        id: RequestId,
        result: FinishResult,
        service_time: Duration,
        now: Moment,
    ) {
        let event = AdmissionEvent::Finished {
            id,
            result,
            service_time,
        };
        let Some(local) = self.locals.get_mut(service) else {
            return;
        };
        let actions = local.admission.on(event, now);
        self.apply(service, actions, now);
    }

    /// Issues tickets for a service beside this daemon.
    pub(super) fn issue(
        &mut self,
        service: &ServiceName,
        count: usize,
        now: Moment,
    ) -> Result<TicketList> {
        if !self.locals.contains_key(service) {
            return Err(Refusal::not_run(Reason::NoUpstream));
        }
        self.tickets.issue(service, count, now)
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
            let event = match upstream.state {
                UpstreamState::Ready => AdmissionEvent::UpstreamStarted {
                    incarnation: upstream.incarnation,
                    slots: upstream.slots,
                },
                UpstreamState::Draining => AdmissionEvent::Draining,
                UpstreamState::Lost => AdmissionEvent::UpstreamLost,
            };
            match self.locals.get_mut(&service) {
                Some(local) => local.upstream = upstream,
                None => {
                    let admission = Admission::new();
                    let local = Local {
                        upstream,
                        admission,
                    };
                    self.locals.insert(service.clone(), local);
                }
            }
            self.admission_event(&service, event, now);
        }
    }

    fn admission_event(&mut self, service: &ServiceName, event: AdmissionEvent, now: Moment) {
        if let Some(local) = self.locals.get_mut(service) {
            let actions = local.admission.on(event, now);
            self.apply(service, actions, now);
        }
    }

    fn every_admission(&mut self, event: AdmissionEvent, now: Moment) {
        let services: Vec<ServiceName> = self.locals.keys().cloned().collect();
        for service in services {
            self.admission_event(&service, event, now);
        }
    }

    /// Takes a newer configuration.
    pub(super) fn set_catalog(&mut self, catalog: Arc<Catalog>, _now: Moment) {
        // A restarted catalog service may publish an older state until it has caught up.
        let is_older = |held: &Arc<Catalog>| held.revision() > catalog.revision();
        if !self.catalog.as_ref().is_some_and(is_older) {
            self.catalog = Some(catalog);
        }
    }

    /// Ends the wait after a pause.
    pub(super) fn confirm(&mut self) {
        self.unconfirmed_until = None;
    }

    /// Stops admission and remembers whom to tell when nothing runs any more.
    pub(super) fn drain(&mut self, reply: Reply<()>, now: Moment) {
        self.draining = true;
        self.tickets.drain();
        self.every_admission(AdmissionEvent::Leaving, now);
        self.drained.push(reply);
        self.report_drained();
    }

    fn report_drained(&mut self) {
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
                load: l.admission.hint(),
            })
            .collect()
    }

    /// Does the periodic work.
    pub(super) fn tick(&mut self, tick: Tick) {
        if tick.late > PAUSE_THRESHOLD {
            self.unconfirmed_until = Some(tick.now + CONFIRM_WAIT);
        }
        self.note_pause(tick.now);
        self.last_tick = tick.now;
        if self
            .unconfirmed_until
            .is_some_and(|until| tick.now >= until)
        {
            self.unconfirmed_until = None;
        }
        self.tickets.tick(tick.now);
        self.forget_abandoned(tick.now);
        self.every_admission(AdmissionEvent::Tick, tick.now);
    }

    /// Notices a pause before the first tick after it arrives.
    fn note_pause(&mut self, now: Moment) {
        if now.since(self.last_tick) > PAUSE_THRESHOLD && self.unconfirmed_until.is_none() {
            self.unconfirmed_until = Some(now + CONFIRM_WAIT);
        }
    }

    fn forget_abandoned(&mut self, now: Moment) {
        for id in self.calls.abandoned() {
            let Some(pending) = self.calls.get(id) else {
                continue;
            };
            let service = pending.call.service.clone();
            match &pending.call.ticket {
                Some(ticket) if pending.joined => {
                    self.tickets.cancelled(ticket, call_id(id));
                    self.calls.remove(id);
                }
                // Calls that joined this one are told that it did not run.
                _ => self.refuse(id, Refusal::not_run(Reason::Overloaded)),
            }
            self.admission_event(&service, AdmissionEvent::Cancelled { id }, now);
        }
    }
}
