//! Router service: resolves the route of each request and selects an upstream for each attempt.

mod split;
mod state;

use cornelvalve_kernel::{Context, ServiceResult};
use cornelvalve_model::{FailureDomain, Region};
use cornelvalve_policy::{LowestLatencyPlacement, RetryBudgetSettings};
use tokio::sync::mpsc;

use crate::control::request_republish;
use crate::messages::{MembersMessage, RouterMessage};
use crate::names::MEMBERS;
use state::RouterState;

/// Location and address of this daemon, from which the distance to other daemons follows.
#[derive(Clone, Debug)]
pub(crate) struct LocalDaemon {
    /// Region of this VM.
    pub(crate) region: Region,
    /// Failure domain of this VM.
    pub(crate) domain: FailureDomain,
    /// Address on which it listens for other daemons.
    pub(crate) addr: std::net::SocketAddr,
}

/// Runs the router service until it is asked to stop.
///
/// `seed` seeds the random choice among upstreams.
pub(crate) async fn run_router(
    mut context: Context<RouterMessage>,
    local: LocalDaemon,
    retry_budget: RetryBudgetSettings,
    seed: u64,
) -> ServiceResult {
    // A restarted router has no state, so it asks the control service and the membership service to
    // send theirs again.
    request_republish(&context.registry).await?;
    context
        .registry
        .mailbox(MEMBERS)?
        .send(MembersMessage::Republish)
        .await?;
    let (report_sender, mut reports) = mpsc::unbounded_channel();
    let mut state = RouterState::new(
        local,
        retry_budget,
        Box::new(LowestLatencyPlacement::new(seed)),
        report_sender,
    );
    loop {
        tokio::select! {
            biased;
            () = context.stop.requested() => return Ok(()),
            Some(report) = reports.recv() => state.record_attempt(report, context.clock.now()),
            message = context.inbox.recv() => match message {
                Some(message) => handle(&mut state, message, context.clock.now()),
                None => return Ok(()),
            },
        }
    }
}

fn handle(state: &mut RouterState, message: RouterMessage, now: cornelvalve_model::Moment) {
    match message {
        RouterMessage::ResolveRoute {
            host,
            target,
            reply,
        } => reply.send(state.resolve_route(&host, &target, now)),
        RouterMessage::SelectUpstream { query, reply } => {
            reply.send(state.select_upstream(&query, now))
        }
        RouterMessage::Members { members, removed } => state.update_members(members, &removed),
        RouterMessage::PeerLoad { addr, load } => state.record_load(addr, load, now),
        RouterMessage::LocalLoad {
            load,
            retry_fraction,
        } => state.record_local_load(load, retry_fraction, now),
        RouterMessage::Control(view) => state.set_control(view),
        RouterMessage::Behind(behind) => state.set_behind(behind),
    }
}
