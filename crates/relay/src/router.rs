//! Router service: finds the route of a request and a place for each attempt.

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

/// Where this daemon stands.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    /// Region.
    pub(crate) region: Region,
    /// Failure domain.
    pub(crate) domain: FailureDomain,
    /// Address for other daemons.
    pub(crate) addr: std::net::SocketAddr,
}

/// Runs the router service.
pub(crate) async fn run_router(
    mut context: Context<RouterMessage>,
    site: Site,
    share: RetryBudgetSettings,
    seed: u64,
) -> ServiceResult {
    // After a restart of this service both publish all they know again.
    request_republish(&context.registry).await?;
    context
        .registry
        .mailbox(MEMBERS)?
        .send(MembersMessage::Republish)
        .await?;
    let (reports, mut ended) = mpsc::unbounded_channel();
    let mut state = RouterState::new(
        site,
        share,
        Box::new(LowestLatencyPlacement::new(seed)),
        reports,
    );
    loop {
        tokio::select! {
            biased;
            () = context.stop.requested() => return Ok(()),
            Some(report) = ended.recv() => state.ended(report, context.clock.now()),
            message = context.inbox.recv() => match message {
                Some(message) => handle(&mut state, message, context.clock.now()),
                None => return Ok(()),
            },
        }
    }
}

fn handle(state: &mut RouterState, message: RouterMessage, now: cornelvalve_model::Moment) {
    match message {
        RouterMessage::Plan {
            host,
            target,
            reply,
        } => reply.send(state.plan(&host, &target, now)),
        RouterMessage::Place { query, reply } => reply.send(state.place(&query, now)),
        RouterMessage::Members { members, removed } => state.set_members(members, &removed),
        RouterMessage::PeerLoad { addr, load } => state.report(addr, load, now),
        RouterMessage::LocalLoad {
            load,
            retry_fraction: repeats,
        } => state.report_own(load, repeats, now),
        RouterMessage::Control(view) => state.set_control(view),
    }
}
