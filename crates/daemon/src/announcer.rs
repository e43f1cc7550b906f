//! Announcer service: upstreams on the same VM announce themselves over loopback HTTP.

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

/// Period in which leases are checked.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// An upstream's announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Announcement {
    /// Service that the upstream belongs to.
    pub(crate) service: ServiceName,
    /// Loopback port on which it takes requests.
    pub(crate) port: u16,
    /// Requests that it runs at once when warm.
    pub(crate) slots: u16,
    /// Start of the upstream process.
    pub(crate) incarnation: Incarnation,
    /// Time until the announcement must be renewed.
    pub(crate) lease: Duration,
}

/// What the announcer answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnnounceResult {
    /// The announcement holds for this long.
    Accepted(Duration),
    /// A later start of the same upstream was announced before.
    Superseded,
    /// This start of the upstream has left.
    Left,
    /// No such upstream is announced.
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
    /// The upstream finishes what runs and takes nothing new.
    Drain {
        /// Service of the upstream.
        service: ServiceName,
        /// Receives the result.
        reply: ReplySender<AnnounceResult>,
    },
    /// The upstream is gone.
    Leave {
        /// Service of the upstream.
        service: ServiceName,
        /// Receives the result.
        reply: ReplySender<AnnounceResult>,
    },
    /// Periodic tick.
    Tick(Tick),
}

/// Runs the announcer service.
pub(crate) async fn run_announcer(
    mut context: Context<AnnouncerMessage>,
    listener: Arc<StdListener>,
    lease_max: Duration,
) -> ServiceResult {
    let own = context.registry.mailbox(ANNOUNCER)?;
    context
        .subscribe_to_ticks(ANNOUNCER, TICK_PERIOD, AnnouncerMessage::Tick)
        .await?;
    let subscribers = Subscribers {
        guard: context.registry.mailbox(GUARD)?,
        membership: context.registry.mailbox(MEMBERSHIP)?,
        timeline: context.registry.mailbox(TIMELINE)?,
    };
    let mut published = Upstreams::new();
    let listener = TcpListener::from_std(listener.try_clone()?)?;
    let server = tokio::spawn(http_api::serve(listener, own));
    let mut leases = Leases::new(lease_max);
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
            subscribers.record(&published, &upstreams);
            published.clone_from(&upstreams);
            subscribers.publish(upstreams).await;
        }
    };
    server.abort();
    result
}

/// Handles a message and tells whether the upstreams changed.
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

/// Services that must know the local upstreams.
struct Subscribers {
    guard: Mailbox<GuardMessage>,
    membership: Mailbox<MembershipMessage>,
    timeline: Mailbox<TimelineMessage>,
}

impl Subscribers {
    fn record(&self, before: &Upstreams, after: &Upstreams) {
        for event in events::changes(before, after) {
            timeline::record(&self.timeline, event);
        }
    }

    async fn publish(&self, upstreams: Upstreams) {
        // The guard comes first, so that it admits what other daemons send on the news.
        let guard = self.guard.send(GuardMessage::Upstreams(upstreams.clone()));
        if let Err(e) = guard.await {
            log::warn!("upstreams were not passed on: {e}");
        }
        let membership = self
            .membership
            .send(MembershipMessage::SetUpstreams(upstreams));
        if let Err(e) = membership.await {
            log::warn!("upstreams were not passed on: {e}");
        }
    }
}
