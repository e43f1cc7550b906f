//! Guard service: the only way on which work reaches the upstream beside the daemon.

mod calls;
mod crashes;
mod probing;
mod state;
#[cfg(test)]
mod tests;
mod upstream;

use std::net::SocketAddr;

use cornelvalve_kernel::{Context, ServiceResult};
use cornelvalve_model::{FailureDomain, Moment, Region, ServiceName};
use cornelvalve_policy::ColdTolerance;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::control::request_republish;
use crate::messages::GuardMessage;
use crate::names::{MEMBERS, MONITOR, NOTICES, ROUTER};
use state::GuardState;

/// What the guard is told at its start.
#[derive(Clone, Debug)]
pub(crate) struct GuardSettings {
    /// Region.
    pub(crate) region: Region,
    /// Failure domain.
    pub(crate) domain: FailureDomain,
    /// Service of the upstream.
    pub(crate) service: ServiceName,
    /// Address of the upstream.
    pub(crate) addr: SocketAddr,
    /// Starts that it tolerates beyond its rate while it is cold.
    pub(crate) tolerance: ColdTolerance,
}

/// Runs the guard service.
pub(crate) async fn run_guard(
    mut context: Context<GuardMessage>,
    settings: GuardSettings,
) -> ServiceResult {
    request_republish(&context.registry).await?;
    let (reports, mut ended) = mpsc::unbounded_channel();
    let outlets = state::Outlets {
        reports,
        members: context.registry.mailbox(MEMBERS)?,
        router: context.registry.mailbox(ROUTER)?,
        notices: context.registry.mailbox(NOTICES)?,
        monitor: context.registry.mailbox(MONITOR)?,
    };
    let mut state = GuardState::new(settings, outlets, context.clock.now());
    state.begin(context.clock.now());
    loop {
        let now = context.clock.now();
        let due = state.next_due(now);
        tokio::select! {
            biased;
            () = context.stop.requested() => return Ok(()),
            Some(report) = ended.recv() => state.finish(report, context.clock.now()),
            message = context.inbox.recv() => match message {
                Some(message) => handle(&mut state, message, context.clock.now()),
                None => return Ok(()),
            },
            () = sleep(due.since(now)) => state.advance(context.clock.now()),
        }
    }
}

fn handle(state: &mut GuardState, message: GuardMessage, now: Moment) {
    match message {
        GuardMessage::Admit { call, reply } => state.admit(*call, reply, now),
        GuardMessage::CheckIn { check_in, reply } => {
            state.check_in(*check_in, now);
            reply.send(());
        }
        GuardMessage::Health(report) => state.health(report, now),
        GuardMessage::Control(view) => state.set_control(view, now),
        GuardMessage::CrashSuspects(suspects) => state.learn_suspects(&suspects, now),
        GuardMessage::Drain { reply } => state.drain(reply, now),
        GuardMessage::Load { work, reply } => {
            reply.send((state.load(now), state.usual_work(work)));
        }
    }
}
