//! Announcer service: accepts announcements from upstreams on the same VM over loopback HTTP and
//! publishes the list of local upstreams to the other services.

mod events;
mod http_api;
mod leases;

use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{Context, Mailbox, ReplySender, ServiceResult, Tick};
use cornelvalve_model::{Incarnation, ServiceName};
use tokio::net::TcpListener;

use crate::guard::{GuardMessage, Upstreams};
use crate::membership::MembershipMessage;
use crate::names::{ANNOUNCER, GUARD, MEMBERSHIP};
use crate::timeline::{self, TIMELINE, TimelineMessage};
use leases::Leases;

/// Period of the check for expired leases.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Announcement of one upstream process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Announcement {
    /// Service that the upstream belongs to.
    pub(crate) service: ServiceName,
    /// Loopback port on which it accepts requests.
    pub(crate) port: u16,
    /// Number of requests that it can run concurrently once it is warm.
    pub(crate) slots: u16,
    /// Distinguishes successive starts of the upstream; a later start has a larger incarnation.
    pub(crate) incarnation: Incarnation,
    /// Requested lease: time after which the upstream counts as lost unless it renews.
    pub(crate) lease: Duration,
}

/// Result of a message to the announcer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnnounceResult {
    /// The message was accepted; carries the granted lease, or zero for drain and leave messages.
    Accepted(Duration),
    /// A newer incarnation of the upstream is already announced.
    Superseded,
    /// This incarnation of the upstream has already left.
    Left,
    /// No upstream of the service is announced.
    Unknown,
}

/// Messages to the announcer.
#[derive(Debug)]
pub(crate) enum AnnouncerMessage {
    /// Announces an upstream or renews its lease.
    Announce {
        /// The announcement.
        announcement: Announcement,
        /// Receives the result.
        reply: ReplySender<AnnounceResult>,
    },
    /// Marks the upstream as draining: it finishes running requests and gets no new ones.
    Drain {
        /// Service of the upstream.
        service: ServiceName,
        /// Receives the result.
        reply: ReplySender<AnnounceResult>,
    },
    /// Marks the upstream as lost because it shuts down.
    Leave {
        /// Service of the upstream.
        service: ServiceName,
        /// Receives the result.
        reply: ReplySender<AnnounceResult>,
    },
    /// Triggers the check for expired leases.
    Tick(Tick),
}

/// Runs the announcer service; leases are limited to `max_lease`.
pub(crate) async fn run_announcer(
    mut context: Context<AnnouncerMessage>,
    listener: Arc<StdListener>,
    max_lease: Duration,
) -> ServiceResult {
    let own = context.registry.mailbox(ANNOUNCER)?;
    context
        .subscribe_to_ticks(ANNOUNCER, TICK_PERIOD, AnnouncerMessage::Tick)
        .await?;
    let outputs = Outputs {
        guard: context.registry.mailbox(GUARD)?,
        membership: context.registry.mailbox(MEMBERSHIP)?,
        timeline: context.registry.mailbox(TIMELINE)?,
    };
    let mut published = Upstreams::new();
    let listener = TcpListener::from_std(listener.try_clone()?)?;
    let server = tokio::spawn(http_api::serve(listener, own));
    let mut leases = Leases::new(max_lease);
    let result = loop {
        let message = tokio::select! {
            () = context.stop.requested() => break Ok(()),
            message = context.inbox.recv() => message,
        };
        let Some(message) = message else {
            break Ok(());
        };
        if handle(&mut leases, message, context.clock.now()) {
            let upstreams = leases.upstreams();
            outputs.record(&published, &upstreams);
            published.clone_from(&upstreams);
            outputs.publish(upstreams).await;
        }
    };
    server.abort();
    result
}

/// Handles a message and returns whether the list of upstreams changed.
fn handle(leases: &mut Leases, message: AnnouncerMessage, now: cornelvalve_model::Moment) -> bool {
    let (change, reply) = match message {
        AnnouncerMessage::Announce {
            announcement,
            reply,
        } => (leases.announce(&announcement, now), reply),
        AnnouncerMessage::Drain { service, reply } => (leases.drain(&service), reply),
        AnnouncerMessage::Leave { service, reply } => (leases.leave(&service), reply),
        AnnouncerMessage::Tick(tick) => return leases.expire(tick.now),
    };
    reply.send(change.result);
    change.changed
}

/// Services that are notified of changes to the local upstreams.
struct Outputs {
    guard: Mailbox<GuardMessage>,
    membership: Mailbox<MembershipMessage>,
    timeline: Mailbox<TimelineMessage>,
}

impl Outputs {
    /// Records the changes between two lists of upstreams in the timeline.
    fn record(&self, before: &Upstreams, after: &Upstreams) {
        for event in events::changes(before, after) {
            timeline::record(&self.timeline, event);
        }
    }

    /// Sends the list of upstreams to the guard and to the membership service.
    async fn publish(&self, upstreams: Upstreams) {
        // The guard is notified first: once the membership service has announced an upstream,
        // other daemons forward requests to it, which the guard must admit.
        let guard = self.guard.send(GuardMessage::Upstreams(upstreams.clone()));
        if let Err(e) = guard.await {
            log::warn!(
                "upstreams not sent to the guard: {e}; they are sent with their next change"
            );
        }
        let membership = self
            .membership
            .send(MembershipMessage::SetUpstreams(upstreams));
        if let Err(e) = membership.await {
            log::warn!(
                "upstreams not sent to membership: {e}; they are sent with their next change"
            );
        }
    }
}
