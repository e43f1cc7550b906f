//! Guard service: the only way on which work reaches the local upstreams.
//!
//! The guard knows the exact number of running requests because every one of them holds a
//! [`Permit`], which reports its end even if the task that holds it is cancelled.

mod admission;
mod calls;
mod confirm;
mod events;
mod held;
mod rules;
mod state;
mod tickets;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_catalog::Catalog;
use cornelvalve_kernel::{Context, ReplySender, ServiceResult, Tick};
use cornelvalve_model::{
    Fingerprint, LoadHint, Moment, Nesting, Refusal, Revision, RouteName, ServiceName, TeamName,
    Upstream,
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

/// Period of housekeeping.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Upstreams beside the daemon.
pub(crate) type Upstreams = SmallVec<[Upstream; 1]>;

/// Request that asks for admission.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Service that the request is for.
    pub(crate) service: ServiceName,
    /// Route of the service that matched at the entry.
    pub(crate) route: Option<RouteName>,
    /// Team on whose behalf it is made.
    pub(crate) team: Option<TeamName>,
    /// Revision of the configuration by which the entry routed it.
    pub(crate) revision: Revision,
    /// Ticket, if the request carries one.
    pub(crate) ticket: Option<Ticket>,
    /// Fingerprint of the request.
    pub(crate) fingerprint: Fingerprint,
    /// Moment at which the caller stops waiting.
    pub(crate) deadline: Moment,
    /// Place of the request among nested calls.
    pub(crate) nesting: Option<Nesting>,
}

/// Answer to a request for admission.
#[derive(Debug)]
pub(crate) enum Admitted {
    /// The request may run.
    Run(Permit),
    /// The request ran before; this is its answer.
    Replay(StoredResponse),
    /// The request does not run.
    Refused(Refusal, LoadHint),
}

/// How a permitted request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PermitEnd {
    /// The upstream answered; for a request with a ticket the answer is kept for repeats.
    Answered(Option<StoredResponse>),
    /// The upstream answered with a server error.
    Failed(Option<StoredResponse>),
    /// The permit was not used.
    Unused,
    /// The upstream took no connection, so no byte of the request reached it.
    NotSent,
    /// The connection was lost after the request was sent.
    Lost,
    /// The connection was lost after the request was sent, and the upstream refused the next one.
    Died,
    /// The caller went away before the answer was complete.
    Cancelled,
}

/// Report of the end of a permitted request.
#[derive(Clone, Debug)]
pub(crate) struct PermitReport {
    id: RequestId,
    end: PermitEnd,
    /// Time that the upstream took to answer; `None` if it did not.
    service_time: Option<Duration>,
}

/// Right to send one request to the local upstream.
#[derive(Debug)]
pub(crate) struct Permit {
    /// Address of the upstream.
    pub(crate) upstream: SocketAddr,
    /// Load at the time of admission.
    pub(crate) hint: LoadHint,
    /// Moment at which the permit was given; a holder that was paused must not use it any more.
    pub(crate) granted: Moment,
    id: RequestId,
    service_time: Option<Duration>,
    report: CompletionSender<PermitReport>,
}

impl Permit {
    /// Reports the end of the request.
    pub(crate) fn finish(self, end: PermitEnd) {
        let report = self.report_of(end);
        self.report.finish(report);
    }

    /// Sets how the request ends if the task that holds the permit is cancelled.
    pub(crate) fn set_on_drop(&mut self, end: PermitEnd) {
        let report = self.report_of(end);
        self.report.set_on_drop(report);
    }

    /// Notes how long the upstream took to answer. The time of slow callers is not part of it, so
    /// that they do not make the upstream look overloaded.
    pub(crate) fn set_service_time(&mut self, service_time: Duration) {
        self.service_time = Some(service_time);
    }

    fn report_of(&self, end: PermitEnd) -> PermitReport {
        PermitReport {
            id: self.id,
            end,
            service_time: self.service_time,
        }
    }
}

/// Load of one local upstream, for operators.
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
        call: Box<Call>,
        /// Receives the answer, possibly after queueing.
        reply: ReplySender<Admitted>,
    },
    /// Issues tickets.
    Issue {
        /// Service for which they are valid.
        service: ServiceName,
        /// How many are wanted.
        count: usize,
        /// Receives the tickets.
        reply: ReplySender<Result<TicketList, Refusal>>,
    },
    /// The local upstreams as they announced themselves.
    Upstreams(Upstreams),
    /// A newer configuration.
    Catalog(Arc<Catalog>),
    /// The configuration as the log or peers confirmed it after a pause of the process.
    CatalogConfirmed {
        /// Number of the guard's question.
        confirmation_id: u64,
        /// The configuration.
        catalog: Arc<Catalog>,
    },
    /// Refuses new work; replies when nothing runs any more.
    Drain {
        /// Receives the end of the drain.
        reply: ReplySender<()>,
    },
    /// Reports the load.
    Load {
        /// Receives the load of each upstream.
        reply: ReplySender<Vec<UpstreamLoad>>,
    },
    /// Periodic tick.
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

fn handle(state: &mut GuardState, message: GuardMessage, now: Moment) {
    match message {
        GuardMessage::Admit { call, reply } => state.admit(*call, reply, now),
        GuardMessage::Issue {
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
