//! Membership service: runs the gossip protocol and passes membership changes on to other services.

use std::net::UdpSocket as StdSocket;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_gossip::{Gossip, Unlimited};
use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use cornelvalve_membership::{Action, Event, Membership, MembershipSettings};
use cornelvalve_model::{ConfigRevision, Member, Moment, VmName};

use crate::messages::{
    ControlMessage, DiscoveryMessage, MembersMessage, NoticesMessage, Recipient, RouterMessage,
    StatsMessage,
};
use crate::names::{CONTROL, DISCOVERY, MEMBERS, NOTICES, ROUTER, STATS};

/// Number of peers that a starting daemon contacts simultaneously. After a restart of many daemons
/// each one knows only itself, and requests cannot wait until gossip has spread the members.
const JOIN_FANOUT: usize = 24;

/// Time after the start before this daemon can be a reader of the store. Until then it may not know
/// the members that are readers already.
const ROLE_DELAY: Duration = Duration::from_secs(1);

/// The same time for a daemon that has found no other one. After a restart of many daemons, each
/// is alone until it has read the addresses of others from the store.
const LONE_ROLE_DELAY: Duration = Duration::from_secs(3);

/// Returns the settings of the gossip protocol: shorter periods than the defaults, for deployments
/// in which a failure domain may be unreachable for only a few seconds.
fn membership_settings() -> MembershipSettings {
    MembershipSettings {
        remote_period: Duration::from_secs(2),
        sync_period: Duration::from_secs(10),
        suspicion_periods: 3,
        join_fanout: JOIN_FANOUT,
        ..MembershipSettings::default()
    }
}

/// Runs the membership service until it is asked to stop.
///
/// `own` is the member record of this daemon; `seed` seeds the random choice of gossip partners.
///
/// # Errors
///
/// Returns an error if the socket cannot be set up or a service that it sends messages to does not
/// exist.
pub(crate) async fn run_members(
    mut context: Context<MembersMessage>,
    socket: Arc<StdSocket>,
    own: Member,
    seed: u64,
) -> ServiceResult {
    let settings = membership_settings();
    context
        .subscribe_to_ticks(MEMBERS, settings.tick_period(), |_| MembersMessage::Tick)
        .await?;
    let own_vm = own.vm.clone();
    let membership = Membership::new(settings, own, seed);
    let mut service = MembersService {
        gossip: Gossip::new(&socket, membership, Box::new(Unlimited))?,
        own_vm,
        joined: false,
        sent_peers: 0,
        started: context.clock.now(),
        sent_role: None,
        resend_all: false,
        router: context.registry.mailbox(ROUTER)?,
        control: context.registry.mailbox(CONTROL)?,
        discovery: context.registry.mailbox(DISCOVERY)?,
        notices: context.registry.mailbox(NOTICES)?,
        stats: context.registry.mailbox(STATS)?,
    };
    service.publish_all();
    loop {
        tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => match message {
                Some(message) => service.handle(message, context.clock.now()).await,
                None => return Ok(()),
            },
            event = service.gossip.receive() => service.apply(event, context.clock.now()).await,
        }
    }
}

/// State of the membership service.
struct MembersService {
    gossip: Gossip,
    own_vm: VmName,
    /// Whether other daemons were found.
    joined: bool,
    /// Number of other daemons, as last sent to the discovery service.
    sent_peers: u64,
    started: Moment,
    /// Whether this daemon is a reader of the store, as last sent to the control service.
    sent_role: Option<bool>,
    /// Whether the router missed a message, so that all members must be published again.
    resend_all: bool,
    router: Mailbox<RouterMessage>,
    control: Mailbox<ControlMessage>,
    discovery: Mailbox<DiscoveryMessage>,
    notices: Mailbox<NoticesMessage>,
    stats: Mailbox<StatsMessage>,
}

impl MembersService {
    /// Handles one message.
    async fn handle(&mut self, message: MembersMessage, now: Moment) {
        match message {
            MembersMessage::Upstreams(upstreams) => {
                self.apply(Event::SetUpstreams(upstreams), now).await;
            }
            MembersMessage::ConfigurationApplied(revision) => {
                self.apply(Event::SetRevision(revision), now).await;
                self.apply(Event::NotifyRevision, now).await;
            }
            MembersMessage::Seeds(seeds) => {
                self.apply(Event::AddSeeds(seeds.into_iter().collect()), now)
                    .await;
                self.apply(Event::Tick, now).await;
            }
            MembersMessage::Leave => self.apply(Event::Leave, now).await,
            MembersMessage::Republish => {
                self.sent_role = None;
                self.publish_all();
            }
            MembersMessage::Tick => {
                if self.resend_all {
                    self.publish_all();
                }
                self.apply(Event::Tick, now).await;
            }
        }
    }

    /// Applies an event to the membership and reports what it changed.
    async fn apply(&mut self, event: Event, now: Moment) {
        let mut changed = Vec::new();
        for action in self.gossip.handle_event(event, now).await {
            match action {
                Action::MemberChanged(vm) => changed.push(vm),
                Action::PeerRevision { vm, revision, .. } => self.report_revision(&vm, revision),
                // The requests themselves show whether a region is reachable, this daemon never
                // queries revisions, and the gossip has sent all messages already.
                Action::RegionChanged(_)
                | Action::RevisionReported { .. }
                | Action::Send { .. } => {}
            }
        }
        if !changed.is_empty() {
            self.publish(changed);
        }
        self.publish_role(now);
    }

    /// Tells the control service whether this daemon is a reader of the store, if that has changed.
    fn publish_role(&mut self, now: Moment) {
        let reader = self.gossip.membership().is_reader();
        let delay = if self.joined {
            ROLE_DELAY
        } else {
            LONE_ROLE_DELAY
        };
        if self.sent_role == Some(reader) || now.since(self.started) < delay {
            return;
        }
        match self.control.try_send(ControlMessage::Reader(reader)) {
            Ok(()) => self.sent_role = Some(reader),
            Err(e) => log::debug!("role of this daemon was not passed on: {e}; retrying"),
        }
    }

    /// Informs the control service that a peer has a later configuration.
    fn report_revision(&self, vm: &VmName, revision: ConfigRevision) {
        let Some(member) = self.gossip.membership().get(vm) else {
            return;
        };
        let message = ControlMessage::PeerAhead {
            addr: member.peer_addr,
            revision,
            local: member.region == self.gossip.membership().own_record().region,
        };
        if let Err(e) = self.control.try_send(message) {
            log::debug!(
                "later configuration of {vm} was not passed on: {e}; the next gossip probe reports it again"
            );
        }
    }

    /// Sends all members to the router.
    fn publish_all(&mut self) {
        let all: Vec<VmName> = self
            .gossip
            .membership()
            .members()
            .map(|m| m.vm.clone())
            .collect();
        self.resend_all = false;
        self.publish(all);
    }

    /// Sends the given members to the router and the resulting set to the other services.
    fn publish(&mut self, changed: Vec<VmName>) {
        let mut members = Vec::new();
        let mut removed = Vec::new();
        for vm in changed {
            match self.gossip.membership().get(&vm) {
                Some(member) => {
                    log::info!(event = "member-changed", vm = vm.as_str(), state:% = member.state, upstreams = member.upstreams.len(); "record or state of a member changed");
                    members.push(member.clone());
                }
                None => removed.push(vm),
            }
        }
        let message = RouterMessage::Members { members, removed };
        if let Err(e) = self.router.try_send(message) {
            log::warn!(event = "members-not-passed-on"; "member changes were not passed on: {e}; all members are sent again at the next tick");
            self.resend_all = true;
        }
        self.publish_available();
    }

    /// Reports the daemons that accept requests to the discovery, stats and notices services.
    fn publish_available(&mut self) {
        let others = self.gossip.membership().members();
        let others = others.filter(|m| m.vm != self.own_vm && m.state.accepts_requests());
        let recipients: Vec<Recipient> = others
            .map(|m| Recipient {
                addr: m.peer_addr,
                region: m.region.clone(),
            })
            .collect();
        let count = recipients.len() as u64;
        if count > 0
            && count != self.sent_peers
            && self
                .discovery
                .try_send(DiscoveryMessage::Peers(count))
                .is_ok()
        {
            self.joined = true;
            self.sent_peers = count;
        }
        if let Err(e) = self.stats.try_send(StatsMessage::MemberCount(count + 1)) {
            log::debug!(
                "number of members was not passed on: {e}; it is sent again after the next change"
            );
        }
        if let Err(e) = self
            .notices
            .try_send(NoticesMessage::Recipients(recipients))
        {
            log::debug!(
                "recipients of notices were not passed on: {e}; they are sent again after the next change"
            );
        }
    }
}
