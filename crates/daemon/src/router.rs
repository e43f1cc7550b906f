//! Router service: matches requests to services and chooses an upstream for each attempt.
//!
//! A request may need several attempts. A residency rule in the configuration can limit a request
//! to its home regions: only they may serve it or know about it. A ticket limits a request to the
//! daemon that issued the ticket.

mod endpoints;
mod state;

use std::collections::BTreeSet;
use std::sync::Arc;

use cornelvalve_catalog::Catalog;
use cornelvalve_kernel::{Context, ReplySender, ServiceResult};
use cornelvalve_model::{
    Fingerprint, Member, Moment, Refusal, Region, RequestClass, Revision, RouteName, ServiceName,
    TeamName, VmName,
};
use cornelvalve_policy::{
    AttemptId, AttemptReport, BalancerSettings, Endpoint, Locality, Picker, PowerOfTwo, Ticket,
};
use derive_more::Debug;
use smallvec::SmallVec;
use tokio::sync::mpsc;

use crate::catalog::CatalogMessage;
use crate::membership::MembershipMessage;
use crate::names::{CATALOG, MEMBERSHIP};
use cornelvalve_kernel::CompletionSender;
use state::RouterState;

/// Creates the picker of a router from a seed; called once for each start of the service.
pub type PickerFactory = Arc<dyn Fn(u64) -> Box<dyn Picker + Send> + Send + Sync>;

/// Options of the choice among the upstreams of a service.
///
/// The default is the power of two choices with all parts of the load score enabled.
///
/// Operators cannot set these; a program that embeds the daemon can, for example to compare
/// strategies.
#[derive(Clone, Debug)]
pub struct BalancingOptions {
    /// Settings of the load score and of outlier ejection.
    pub settings: BalancerSettings,
    /// Creates the strategy that picks one of the candidates.
    #[debug(skip)]
    pub picker: PickerFactory,
}

impl Default for BalancingOptions {
    fn default() -> Self {
        Self {
            settings: BalancerSettings::default(),
            picker: Arc::new(|seed| Box::new(PowerOfTwo::new(seed))),
        }
    }
}

/// Home regions of a request; `None` allows all regions.
pub(crate) type AllowedRegions = Option<SmallVec<[Region; 2]>>;

/// VMs whose upstreams have been tried for a request.
pub(crate) type TriedVms = SmallVec<[VmName; 3]>;

/// Properties of a request by which it is routed.
#[derive(Clone, Debug)]
pub(crate) struct RouteQuery {
    /// Host without port.
    pub(crate) host: String,
    /// Path without query.
    pub(crate) path: String,
    /// HTTP method.
    pub(crate) method: String,
    /// Team on whose behalf the request is made.
    pub(crate) team: Option<TeamName>,
}

/// Result of routing: how a request must be treated.
#[derive(Clone, Debug)]
pub(crate) struct RoutePlan {
    /// Service that the request is for.
    pub(crate) service: ServiceName,
    /// Route that matched.
    pub(crate) route: Option<RouteName>,
    /// Team on whose behalf the request is made.
    pub(crate) team: Option<TeamName>,
    /// Whether the request may be sent more than once.
    pub(crate) class: RequestClass,
    /// Regions in which the request may be served (its home regions).
    pub(crate) regions: AllowedRegions,
    /// Revision of the configuration with which the request was routed.
    pub(crate) revision: Revision,
    /// Time allowed for a request that carries no deadline.
    pub(crate) timeout: std::time::Duration,
}

/// Refusal with details for the caller.
#[derive(Clone, Debug)]
pub(crate) struct DetailedRefusal {
    /// Outcome and reason.
    pub(crate) refusal: Refusal,
    /// Text that helps the caller, such as an address in a home region.
    pub(crate) detail: Option<String>,
    /// Whether it comes from the daemon that issued the request's ticket. Only that daemon knows
    /// whether an earlier request with the ticket ran.
    pub(crate) from_issuer: bool,
}

impl DetailedRefusal {
    /// Creates a refusal that does not come from the issuer of a ticket.
    pub(crate) fn with_detail(refusal: Refusal, detail: Option<String>) -> Self {
        Self {
            refusal,
            detail,
            from_issuer: false,
        }
    }
}

impl From<Refusal> for DetailedRefusal {
    fn from(refusal: Refusal) -> Self {
        Self::with_detail(refusal, None)
    }
}

/// Query for an upstream for the first or a further attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptQuery {
    /// Result of routing the request.
    pub(crate) plan: Arc<RoutePlan>,
    /// VMs whose upstreams have been tried.
    pub(crate) tried: TriedVms,
    /// Moment at which the caller stops waiting.
    pub(crate) deadline: Moment,
    /// Refusal of the previous attempt, and whether the body of the request can be replayed.
    ///
    /// `None` for the first attempt. Requests for tickets always set `None`, so the retry budget
    /// does not limit them.
    pub(crate) failure: Option<(Refusal, bool)>,
}

/// Upstream chosen for an attempt, with the sender of the report on the attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The chosen upstream.
    pub(crate) endpoint: Endpoint,
    /// Identifies the attempt in the report.
    pub(crate) id: AttemptId,
    /// Sends the report; if it is dropped, the attempt is reported as cancelled.
    pub(crate) report: CompletionSender<(AttemptId, AttemptReport)>,
}

/// Messages to the router.
#[derive(Debug)]
pub(crate) enum RouterMessage {
    /// Routes a request.
    Route {
        /// The request.
        query: RouteQuery,
        /// Receives the result, or the refusal of the request.
        reply: ReplySender<Result<RoutePlan, DetailedRefusal>>,
    },
    /// Chooses an upstream for an attempt.
    StartAttempt {
        /// The query.
        query: AttemptQuery,
        /// Receives the choice, or the refusal of the request as a whole.
        reply: ReplySender<Result<Attempt, Refusal>>,
    },
    /// Finds the daemon that issued the ticket of a request.
    FindIssuer {
        /// The ticket.
        ticket: Ticket,
        /// Result of routing the request that carries it.
        plan: Arc<RoutePlan>,
        /// Receives the endpoint of that daemon.
        reply: ReplySender<Result<Endpoint, Refusal>>,
    },
    /// Lists the candidates for a request, for operators.
    Explain {
        /// The request.
        query: RouteQuery,
        /// Receives the candidates with their number of outstanding requests.
        reply: ReplySender<Vec<(Endpoint, u32)>>,
    },
    /// Updates the catalog, which is the configuration at one revision; a revision older than the
    /// current one is ignored.
    Catalog(Arc<Catalog>),
    /// Adds or replaces member records.
    UpdateMembers(Vec<Member>),
    /// Removes members.
    RemoveMembers(Vec<VmName>),
    /// Replaces all member records and the set of unreachable regions.
    ReplaceMembers {
        /// The records.
        members: Vec<Member>,
        /// Regions that cannot be reached.
        unreachable: BTreeSet<Region>,
    },
    /// Sets whether a region can be reached.
    SetReachability {
        /// The region.
        region: Region,
        /// Whether it can be reached.
        reachable: bool,
    },
}

/// Runs the router service; `seed` makes its random choices reproducible.
pub(crate) async fn run_router(
    mut context: Context<RouterMessage>,
    locality: Locality,
    balancing: BalancingOptions,
    seed: u64,
) -> ServiceResult {
    let (reports, mut finished) = mpsc::unbounded_channel();
    let mut state = RouterState::new(locality, balancing, seed, reports);
    let catalog = context.registry.mailbox(CATALOG)?;
    let membership = context.registry.mailbox(MEMBERSHIP)?;
    // The router starts without state, also after a restart, so it requests the complete state.
    let _ = catalog.try_send(CatalogMessage::Republish);
    let _ = membership.try_send(MembershipMessage::Republish);
    loop {
        tokio::select! {
            () = context.stop.requested() => return Ok(()),
            Some((attempt, report)) = finished.recv() => {
                state.finish(attempt, &report, context.clock.now());
            }
            message = context.inbox.recv() => match message {
                Some(message) => handle(&mut state, message, context.clock.now()),
                None => return Ok(()),
            },
        }
    }
}

/// Handles one message.
fn handle(state: &mut RouterState, message: RouterMessage, now: Moment) {
    match message {
        RouterMessage::Route { query, reply } => reply.send(state.route(&query)),
        RouterMessage::StartAttempt { query, reply } => {
            reply.send(state.start_attempt(&query, now))
        }
        RouterMessage::FindIssuer {
            ticket,
            plan,
            reply,
        } => reply.send(state.find_issuer(&ticket, &plan)),
        RouterMessage::Explain { query, reply } => reply.send(state.explain(&query, now)),
        RouterMessage::Catalog(catalog) => state.set_catalog(catalog),
        RouterMessage::UpdateMembers(members) => state.set_members(&members),
        RouterMessage::RemoveMembers(vms) => state.remove_members(&vms),
        RouterMessage::ReplaceMembers {
            members,
            unreachable,
        } => state.replace_members(&members, unreachable),
        RouterMessage::SetReachability { region, reachable } => {
            state.set_reachable(region, reachable)
        }
    }
}

/// Returns the fingerprint of a request, which is the same for each repeat of it.
pub(crate) fn fingerprint(plan: &RoutePlan, method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let team = plan.team.as_ref().map_or("", |t| t.as_str());
    Fingerprint::of(&[
        plan.service.as_str().as_bytes(),
        method.as_bytes(),
        path.as_bytes(),
        team.as_bytes(),
        body,
    ])
}
