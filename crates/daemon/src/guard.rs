//! Guard service: admits requests to the upstreams on the same VM.
//!
//! No request reaches a local upstream without a [`Permit`] from the guard. A permit reports the
//! end of its request even if the task that holds it is cancelled, so the guard always knows the
//! exact number of running requests.
//!
//! Requests come from entries: the daemons that callers connect to, which route the requests. A
//! request may carry a ticket, with which it runs at most once however often it is repeated.

mod active;
mod admission;
mod confirm;
mod events;
mod held;
mod state;
mod tickets;
mod validator;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_catalog::Catalog;
use cornelvalve_kernel::{Context, ReplySender, ServiceResult, Tick};
use cornelvalve_model::{
    Fingerprint, LoadHint, Moment, Nesting, Refusal, Revision, RouteName, ServiceName, TeamName,
    Upstream, UpstreamSignals,
};
use cornelvalve_policy::{RequestId, StoredResponse, Ticket, TicketList};
use smallvec::SmallVec;
use tokio::sync::mpsc;

use crate::catalog::CatalogMessage;
use crate::names::{CATALOG, GUARD};
use crate::timeline::TIMELINE;
use cornelvalve_kernel::CompletionSender;
use events::GuardEvents;
pub(crate) use state::GuardSettings;
use state::GuardState;

/// Period of the guard's ticks, which check its timeouts.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Upstreams on the VM of the daemon.
pub(crate) type Upstreams = SmallVec<[Upstream; 1]>;

/// Request that asks for admission.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionRequest {
    /// Service that the request is for.
    pub(crate) service: ServiceName,
    /// Route of the service that the entry matched.
    pub(crate) route: Option<RouteName>,
    /// Team on whose behalf the request is made.
    pub(crate) team: Option<TeamName>,
    /// Revision of the configuration with which the entry routed the request.
    pub(crate) revision: Revision,
    /// Ticket, if the request carries one.
    pub(crate) ticket: Option<Ticket>,
    /// Fingerprint, which is the same for repeats of the request.
    pub(crate) fingerprint: Fingerprint,
    /// Moment at which the caller stops waiting.
    pub(crate) deadline: Moment,
    /// Trace and nesting depth of the request, if it carries a trace.
    pub(crate) nesting: Option<Nesting>,
}

/// Decision on a request for admission.
#[derive(Debug)]
pub(crate) enum AdmissionDecision {
    /// The request may run.
    Admitted(Permit),
    /// A request with the same ticket ran before; carries its response.
    Replay(StoredResponse),
    /// The request must not run; carries the load of the upstream.
    Refused(Refusal, LoadHint),
}

/// How a request with a permit ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PermitOutcome {
    /// The upstream responded; carries the response to store if the request has a ticket.
    Answered(Option<StoredResponse>),
    /// The upstream responded with a 5xx status; carries the response like `Answered`.
    ServerError(Option<StoredResponse>),
    /// The permit was not used.
    Unused,
    /// The upstream accepted no connection, so no byte of the request reached it.
    NotSent,
    /// The connection was lost after the request was sent.
    ConnectionLost,
    /// The connection was lost after the request was sent, and the upstream then refused a new one.
    UpstreamDied,
    /// The request was abandoned before the response was complete: the caller disconnected or a
    /// timeout expired.
    Cancelled,
}

/// Report of the end of a request with a permit.
#[derive(Clone, Debug)]
pub(crate) struct PermitReport {
    id: RequestId,
    outcome: PermitOutcome,
    /// Time from sending the request to the response headers; `None` without a response.
    service_time: Option<Duration>,
    /// What the response says about the upstream; `None` without a response.
    signals: Option<UpstreamSignals>,
}

/// Permission to send one request to a local upstream.
#[derive(Debug)]
pub(crate) struct Permit {
    /// Address of the upstream.
    pub(crate) upstream: SocketAddr,
    /// Load of the upstream at the time of admission; a hint, since it is outdated soon.
    pub(crate) load: LoadHint,
    /// Moment at which the permit was granted; a permit that is too old must not be used, because
    /// the configuration may have changed while its holder was paused.
    pub(crate) granted: Moment,
    id: RequestId,
    service_time: Option<Duration>,
    signals: Option<UpstreamSignals>,
    report: CompletionSender<PermitReport>,
}

impl Permit {
    /// Reports how the request ended.
    pub(crate) fn finish(self, outcome: PermitOutcome) {
        let report = self.report_with(outcome);
        self.report.finish(report);
    }

    /// Sets the outcome that is reported if the permit is dropped.
    pub(crate) fn set_on_drop(&mut self, outcome: PermitOutcome) {
        let report = self.report_with(outcome);
        self.report.set_on_drop(report);
    }

    /// Sets the time that the upstream took to respond.
    ///
    /// It must not include time spent waiting for the caller, so that slow callers do not make the
    /// upstream look overloaded.
    pub(crate) fn set_service_time(&mut self, service_time: Duration) {
        self.service_time = Some(service_time);
    }

    /// Sets what the response says about the upstream.
    pub(crate) fn set_signals(&mut self, signals: UpstreamSignals) {
        self.signals = Some(signals);
    }

    /// Creates the report with the given outcome.
    fn report_with(&self, outcome: PermitOutcome) -> PermitReport {
        PermitReport {
            id: self.id,
            outcome,
            service_time: self.service_time,
            signals: self.signals,
        }
    }
}

/// Load of one local upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamLoad {
    /// The upstream.
    pub(crate) upstream: Upstream,
    /// Its load.
    pub(crate) load: LoadHint,
}

/// Messages to the guard.
#[derive(Debug)]
pub(crate) enum GuardMessage {
    /// Asks for admission.
    Admit {
        /// The request.
        request: Box<AdmissionRequest>,
        /// Receives the decision, possibly after the request was queued.
        reply: ReplySender<AdmissionDecision>,
    },
    /// Issues tickets for a local upstream.
    IssueTickets {
        /// Service for which they are valid.
        service: ServiceName,
        /// Number of tickets.
        count: usize,
        /// Receives the tickets or the refusal.
        reply: ReplySender<Result<TicketList, Refusal>>,
    },
    /// Updates the local upstreams; those that are missing from the list count as lost.
    Upstreams(Upstreams),
    /// Updates the catalog, which is the configuration at one revision; a revision older than the
    /// current one is ignored.
    Catalog(Arc<Catalog>),
    /// Reply of the catalog service to a confirmation query, which the guard sends after a pause of
    /// the process.
    CatalogConfirmed {
        /// Identifies the query.
        confirmation_id: u64,
        /// The configuration that the log or other daemons confirmed.
        catalog: Arc<Catalog>,
    },
    /// Refuses new requests; replies when no request runs any more.
    Drain {
        /// Notified when the drain has finished.
        reply: ReplySender<()>,
    },
    /// Returns the load of the local upstreams.
    Load {
        /// Receives the load of each upstream.
        reply: ReplySender<Vec<UpstreamLoad>>,
    },
    /// Triggers the checks for a pause of the process and for everything that expires.
    Tick(Tick),
}

/// Runs the guard service.
pub(crate) async fn run_guard(
    mut context: Context<GuardMessage>,
    settings: GuardSettings,
) -> ServiceResult {
    context
        .subscribe_to_ticks(GUARD, TICK_PERIOD, GuardMessage::Tick)
        .await?;
    let catalog = context.registry.mailbox(CATALOG)?;
    // The guard starts without a configuration, also after a restart.
    let _ = catalog.try_send(CatalogMessage::Republish);
    let mut events = GuardEvents::new(context.registry.mailbox(TIMELINE)?);
    let (reports, mut finished) = mpsc::unbounded_channel();
    let mut state = GuardState::new(settings, reports, catalog, context.clock.now());
    loop {
        tokio::select! {
            () = context.stop.requested() => return Ok(()),
            Some(report) = finished.recv() => state.finish(report, context.clock.now()),
            message = context.inbox.recv() => match message {
                Some(message) => {
                    if let GuardMessage::Tick(tick) = &message {
                        events.tick(*tick, &state.load());
                    }
                    handle(&mut state, message, context.clock.now());
                }
                None => return Ok(()),
            },
        }
    }
}

/// Handles one message.
fn handle(state: &mut GuardState, message: GuardMessage, now: Moment) {
    match message {
        GuardMessage::Admit { request, reply } => state.admit(*request, reply, now),
        GuardMessage::IssueTickets {
            service,
            count,
            reply,
        } => reply.send(state.issue(&service, count, now)),
        GuardMessage::Upstreams(upstreams) => state.set_upstreams(upstreams, now),
        GuardMessage::Catalog(catalog) => state.set_catalog(catalog, now),
        GuardMessage::CatalogConfirmed {
            confirmation_id,
            catalog,
        } => state.confirm(confirmation_id, catalog, now),
        GuardMessage::Drain { reply } => state.drain(reply, now),
        GuardMessage::Load { reply } => reply.send(state.load()),
        GuardMessage::Tick(tick) => state.tick(tick),
    }
}
