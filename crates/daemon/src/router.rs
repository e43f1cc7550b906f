//! Router service: resolves requests to services and chooses upstreams.

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

/// How the router chooses among upstreams; the default is power of two choices with all parts of
/// the score.
///
/// Operators cannot set it: a program that embeds the daemon can, for example to compare
/// strategies.
#[derive(Clone, Debug)]
pub struct BalancingOptions {
    /// Settings of the score and of ejection.
    pub settings: BalancerSettings,
    /// Strategy that selects one of the candidates.
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

/// Regions in which a request may be served; `None` stands for all.
pub(crate) type AllowedRegions = Option<SmallVec<[Region; 2]>>;

/// Upstreams already tried for a request.
pub(crate) type Tried = SmallVec<[VmName; 3]>;

/// What the router needs to know about a request to route it.
#[derive(Clone, Debug)]
pub(crate) struct RouteQuery {
    /// Host without port.
    pub(crate) host: String,
    /// Path without query.
    pub(crate) path: String,
    /// Method.
    pub(crate) method: String,
    /// Team on whose behalf the request is made.
    pub(crate) team: Option<TeamName>,
}

/// Decision on how a request is treated.
#[derive(Clone, Debug)]
pub(crate) struct RoutePlan {
    /// Service that the request is for.
    pub(crate) service: ServiceName,
    /// Route that matched.
    pub(crate) route: Option<RouteName>,
    /// Team on whose behalf it is made.
    pub(crate) team: Option<TeamName>,
    /// Whether it may be repeated.
    pub(crate) class: RequestClass,
    /// Regions in which it may be served.
    pub(crate) regions: AllowedRegions,
    /// Revision of the configuration on which the decision rests.
    pub(crate) revision: Revision,
    /// Deadline for requests that carry none.
    pub(crate) timeout: std::time::Duration,
}

/// Refusal with particulars for the caller.
#[derive(Clone, Debug)]
pub(crate) struct RouteRefusal {
    /// Outcome and reason.
    pub(crate) refusal: Refusal,
    /// Particulars, such as an address in a home region.
    pub(crate) detail: Option<String>,
    /// Whether it comes from the daemon that issued the request's ticket, which alone knows whether
    /// an earlier request with it ran.
    pub(crate) by_issuer: bool,
}

impl RouteRefusal {
    /// Creates a refusal with particulars.
    pub(crate) fn with_detail(refusal: Refusal, detail: Option<String>) -> Self {
        Self {
            refusal,
            detail,
            by_issuer: false,
        }
    }
}

impl From<Refusal> for RouteRefusal {
    fn from(refusal: Refusal) -> Self {
        Self::with_detail(refusal, None)
    }
}

/// Request for a first or a further attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptQuery {
    /// Treatment of the request.
    pub(crate) plan: Arc<RoutePlan>,
    /// Upstreams already tried.
    pub(crate) tried: Tried,
    /// Moment at which the caller stops waiting.
    pub(crate) deadline: Moment,
    /// Failure of the previous attempt and whether the body can be sent again; `None` for the
    /// first attempt.
    pub(crate) failure: Option<(Refusal, bool)>,
}

/// Upstream chosen for an attempt, with the obligation to report its end.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The chosen upstream.
    pub(crate) endpoint: Endpoint,
    /// Identifies the attempt in the report.
    pub(crate) id: AttemptId,
    /// Takes the report; a cancelled attempt reports itself.
    pub(crate) report: CompletionSender<(AttemptId, AttemptReport)>,
}

/// Messages to the router.
#[derive(Debug)]
pub(crate) enum RouterMessage {
    /// Routes a request.
    Route {
        /// The request.
        query: RouteQuery,
        /// Receives the decision.
        reply: ReplySender<Result<RoutePlan, RouteRefusal>>,
    },
    /// Chooses an upstream for an attempt.
    Attempt {
        /// The request and its earlier attempts.
        query: AttemptQuery,
        /// Receives the choice, or the refusal that ends the request.
        reply: ReplySender<Result<Attempt, Refusal>>,
    },
    /// Finds the upstream that issued a ticket.
    Locate {
        /// The ticket.
        ticket: Ticket,
        /// Treatment of the request that carries it.
        plan: Arc<RoutePlan>,
        /// Receives the upstream.
        reply: ReplySender<Result<Endpoint, Refusal>>,
    },
    /// Explains a routing decision to operators.
    Explain {
        /// The request.
        query: RouteQuery,
        /// Receives the candidates with their number of outstanding requests.
        reply: ReplySender<Vec<(Endpoint, u32)>>,
    },
    /// A newer configuration.
    Catalog(Arc<Catalog>),
    /// Member records that changed.
    UpdateMembers(Vec<Member>),
    /// Members that were removed.
    RemoveMembers(Vec<VmName>),
    /// All member records, in place of those known before.
    ReplaceMembers {
        /// The records.
        members: Vec<Member>,
        /// Regions that cannot be reached.
        unreachable: BTreeSet<Region>,
    },
    /// Whether a region can be reached.
    SetReachability {
        /// The region.
        region: Region,
        /// Whether it can be reached.
        reachable: bool,
    },
}

/// Runs the router service.
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
    // After a restart the router has no state, so it asks for all of it.
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

fn handle(state: &mut RouterState, message: RouterMessage, now: Moment) {
    match message {
        RouterMessage::Route { query, reply } => reply.send(state.route(&query)),
        RouterMessage::Attempt { query, reply } => reply.send(state.attempt(&query, now)),
        RouterMessage::Locate {
            ticket,
            plan,
            reply,
        } => reply.send(state.locate(&ticket, &plan)),
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

/// Computes the fingerprint of a request from what identifies a repeat of it.
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
