//! Membership service: passes on what the membership finds out.

use std::net::UdpSocket as StdSocket;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_gossip::{Gossip, Unlimited};
use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use cornelvalve_membership::{Action, Event, Membership, MembershipSettings};
use cornelvalve_model::{Member, Moment, Revision, VmName};

use crate::desired::Version;
use crate::messages::{
    ControlMessage, DiscoveryMessage, MembersMessage, NoticesMessage, Recipient, RouterMessage,
    StatsMessage,
};
use crate::names::{CONTROL, DISCOVERY, MEMBERS, NOTICES, ROUTER, STATS};

/// Peers contacted at once after a start. After the end of many processes each one knows only
/// itself, and requests cannot wait for the news to spread.
const JOIN_FANOUT: usize = 24;

/// Settings for deployments that lose a failure domain for a few seconds.
fn settings() -> MembershipSettings {
    MembershipSettings {
        remote_period: Duration::from_secs(2),
        sync_period: Duration::from_secs(10),
        suspicion_periods: 3,
        join_fanout: JOIN_FANOUT,
        ..MembershipSettings::default()
    }
}

/// Runs the membership service.
pub(crate) async fn run_members(
    mut context: Context<MembersMessage>,
    socket: Arc<StdSocket>,
    own: Member,
    seed: u64,
) -> ServiceResult {
    let settings = settings();
    context
        .subscribe_to_ticks(MEMBERS, settings.tick_period(), |_| MembersMessage::Tick)
        .await?;
    let own_vm = own.vm.clone();
    let membership = Membership::new(settings, own, seed);
    let mut service = MembersService {
        gossip: Gossip::new(&socket, membership, Box::new(Unlimited))?,
        own_vm,
        joined: false,
        behind: false,
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
            event = service.gossip.receive() => service.on(event, context.clock.now()).await,
        }
    }
}

struct MembersService {
    gossip: Gossip,
    own_vm: VmName,
    /// Whether the registry knows that others were found.
    joined: bool,
    /// Whether the router missed a message and needs all records again.
    behind: bool,
    router: Mailbox<RouterMessage>,
    control: Mailbox<ControlMessage>,
    discovery: Mailbox<DiscoveryMessage>,
    notices: Mailbox<NoticesMessage>,
    stats: Mailbox<StatsMessage>,
}

impl MembersService {
    async fn handle(&mut self, message: MembersMessage, now: Moment) {
        match message {
            MembersMessage::Upstreams(upstreams) => {
                self.on(Event::SetUpstreams(upstreams), now).await;
            }
            MembersMessage::VersionApplied(revision) => {
                self.on(Event::SetRevision(revision), now).await;
            }
            MembersMessage::Seeds(seeds) => {
                self.on(Event::AddSeeds(seeds.into_iter().collect()), now)
                    .await;
                self.on(Event::Tick, now).await;
            }
            MembersMessage::Leave => self.on(Event::Leave, now).await,
            MembersMessage::Republish => self.publish_all(),
            MembersMessage::Tick => {
                if self.behind {
                    self.publish_all();
                }
                self.on(Event::Tick, now).await;
            }
        }
    }

    async fn on(&mut self, event: Event, now: Moment) {
        let mut changed = Vec::new();
        for action in self.gossip.handle_event(event, now).await {
            match action {
                Action::MemberChanged(vm) => changed.push(vm),
                Action::PeerRevision { vm, revision, .. } => self.report_ahead(&vm, revision),
                // Requests show at first hand whether a region can be reached.
                Action::RegionChanged(_)
                | Action::RevisionReported { .. }
                | Action::Send { .. } => {}
            }
        }
        if !changed.is_empty() {
            self.publish(changed);
        }
    }

    fn report_ahead(&self, vm: &VmName, revision: Revision) {
        let Some(member) = self.gossip.membership().get(vm) else {
            return;
        };
        let message = ControlMessage::PeerAhead {
            addr: member.peer_addr,
            version: Version(revision.0),
        };
        if let Err(e) = self.control.try_send(message) {
            log::debug!("{e}; the next probe reports the same version again");
        }
    }

    fn publish_all(&mut self) {
        let all: Vec<VmName> = self
            .gossip
            .membership()
            .members()
            .map(|m| m.vm.clone())
            .collect();
        self.behind = false;
        self.publish(all);
    }

    fn publish(&mut self, changed: Vec<VmName>) {
        let mut members = Vec::new();
        let mut removed = Vec::new();
        for vm in changed {
            match self.gossip.membership().get(&vm) {
                Some(member) => {
                    log::info!(event = "member-changed", vm = vm.as_str(), state:% = member.state, upstreams = member.upstreams.len(); "member changed");
                    members.push(member.clone());
                }
                None => removed.push(vm),
            }
        }
        let message = RouterMessage::Members { members, removed };
        if let Err(e) = self.router.try_send(message) {
            log::warn!(event = "members-not-passed-on"; "{e}; sent again with the next tick");
            self.behind = true;
        }
        self.tell_others();
    }

    /// Tells the registry that others are known, and whom to send notices.
    fn tell_others(&mut self) {
        let others = self.gossip.membership().members();
        let others = others.filter(|m| m.vm != self.own_vm && m.state.accepts_requests());
        let recipients: Vec<Recipient> = others
            .map(|m| Recipient {
                addr: m.peer_addr,
                region: m.region.clone(),
            })
            .collect();
        let count = recipients.len() as u64;
        if count > 0 && !self.joined && self.discovery.try_send(DiscoveryMessage::Joined).is_ok() {
            self.joined = true;
        }
        if let Err(e) = self.stats.try_send(StatsMessage::MemberCount(count + 1)) {
            log::debug!("{e}; the next change tells the number");
        }
        if let Err(e) = self
            .notices
            .try_send(NoticesMessage::Recipients(recipients))
        {
            log::debug!("{e}; the next change names all recipients");
        }
    }
}
