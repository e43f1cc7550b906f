//! Guard service: admission control for the local upstream, the one beside this daemon.
//!
//! Every request that is sent to the upstream, whether it arrived from a local caller or from
//! another daemon, is admitted here first. The guard also tracks the upstream's health and load
//! and publishes both to the other services.

mod admission;
mod calls;
mod cold;
mod crashes;
mod probing;
mod reports;
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
use crate::names::{MEMBERS, MONITOR, NOTICES, ROUTER, STATS};
use state::GuardState;

/// Settings of the guard service.
#[derive(Clone, Debug)]
pub(crate) struct GuardSettings {
    /// Region of the VM.
    pub(crate) region: Region,
    /// Failure domain of the VM.
    pub(crate) domain: FailureDomain,
    /// Service that the upstream runs.
    pub(crate) service: ServiceName,
    /// Address of the upstream.
    pub(crate) addr: SocketAddr,
    /// Allowed excess over the rate limit of a cold upstream. An upstream is cold for some time
    /// after its start and can handle only a limited rate of requests until then.
    pub(crate) tolerance: ColdTolerance,
}

/// Runs the guard service until it is asked to stop.
///
/// # Errors
///
/// Returns an error if a service that the guard sends messages to does not exist.
pub(crate) async fn run_guard(
    mut context: Context<GuardMessage>,
    settings: GuardSettings,
) -> ServiceResult {
    request_republish(&context.registry).await?;
    let (reports, mut ended_requests) = mpsc::unbounded_channel();
    let channels = state::Channels {
        reports,
        members: context.registry.mailbox(MEMBERS)?,
        router: context.registry.mailbox(ROUTER)?,
        notices: context.registry.mailbox(NOTICES)?,
        monitor: context.registry.mailbox(MONITOR)?,
        stats: context.registry.mailbox(STATS)?,
    };
    let mut state = GuardState::new(settings, channels, context.clock.now());
    state.start(context.clock.now());
    loop {
        let now = context.clock.now();
        let wakeup = state.next_wakeup(now);
        tokio::select! {
            biased;
            () = context.stop.requested() => return Ok(()),
            Some(report) = ended_requests.recv() => state.finish(report, context.clock.now()),
            message = context.inbox.recv() => match message {
                Some(message) => handle(&mut state, message, context.clock.now()),
                None => return Ok(()),
            },
            () = sleep(wakeup.since(now)) => state.on_timer(context.clock.now()),
        }
    }
}

/// Handles one message.
fn handle(state: &mut GuardState, message: GuardMessage, now: Moment) {
    match message {
        GuardMessage::Admit { call, reply } => state.admit(*call, reply, now),
        GuardMessage::CheckIn { check_in, reply } => {
            state.handle_check_in(*check_in, now);
            reply.send(());
        }
        GuardMessage::Sent(id) => state.record_sent(id, now),
        GuardMessage::Health { requested, report } => state.handle_health(requested, report, now),
        GuardMessage::Control(view) => state.apply_configuration(view, now),
        GuardMessage::CrashSuspects(suspects) => state.merge_suspects(&suspects, now),
        GuardMessage::Drain { reply } => state.start_drain(reply, now),
        GuardMessage::Load { work, reply } => {
            reply.send((state.load(now), state.baseline_duration(work)));
        }
    }
}
