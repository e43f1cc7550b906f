//! Membership service: passes on what the membership finds out, within the traffic budget.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::sync::Arc;

use cornelvalve_api::Event as TimelineEvent;
use cornelvalve_budget::SendDecision;
use cornelvalve_gossip::{Gossip, OutgoingDatagram, SendLimiter};
use cornelvalve_kernel::{Context, Mailbox, ReplySender, ServiceResult};
use cornelvalve_membership::{Action, Event, Membership, MembershipSettings};
use cornelvalve_model::{FailureDomain, Member, MemberState, Moment, Region, Revision, VmName};
use futures_util::future::BoxFuture;

use crate::budget::BudgetMessage;
use crate::catalog::CatalogMessage;
use crate::guard::Upstreams;
use crate::names::{BUDGET, CATALOG, MEMBERSHIP, ROUTER};
use crate::router::RouterMessage;
use crate::timeline::{self, TIMELINE, TimelineMessage};

/// Charges each datagram to the budget of control traffic.
struct BudgetLimiter(Mailbox<BudgetMessage>);

impl SendLimiter for BudgetLimiter {
    fn allows(&self, outgoing: OutgoingDatagram) -> BoxFuture<'_, bool> {
        Box::pin(async move {
            let charged = self.0.ask(|reply| BudgetMessage::Charge {
                class: outgoing.class,
                bytes: outgoing.bytes,
                crosses_region: outgoing.crosses_region,
                reply,
            });
            // Without an account nothing is sent, so that the budget holds while it restarts.
            matches!(charged.await, Ok(SendDecision::Send))
        })
    }
}

/// Members as operators see them.
#[derive(Clone, Debug)]
pub(crate) struct MemberView {
    /// Record of the member.
    pub(crate) member: Member,
    /// Whether its region can be reached.
    pub(crate) reachable: bool,
}

/// Where a member answers configuration pulls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerAddress {
    /// Its address for operators' calls.
    pub(crate) operator_addr: SocketAddr,
    /// Whether it stands in another region.
    pub(crate) crosses_region: bool,
}

impl PeerAddress {
    fn of(member: &Member, own: &Region) -> Self {
        Self {
            operator_addr: member.operator_addr,
            crosses_region: member.region != *own,
        }
    }
}

/// Messages to the membership service.
#[derive(Debug)]
pub(crate) enum MembershipMessage {
    /// The local upstreams as they announced themselves.
    SetUpstreams(Upstreams),
    /// The configuration that this daemon has applied.
    Applied(Revision),
    /// Announces that this daemon stops; sent again, that it has stopped.
    Leave,
    /// Sends all member records to the router again.
    Republish,
    /// Adds peer addresses to contact.
    Seeds(Vec<SocketAddr>),
    /// Tells whether no other member is known to take work.
    IsAlone {
        /// Receives the answer.
        reply: ReplySender<bool>,
    },
    /// Lists the members.
    Members {
        /// Receives them.
        reply: ReplySender<Vec<MemberView>>,
    },
    /// Asks all members which revision they have applied.
    QueryRevisions,
    /// Lists the members that have not confirmed a revision.
    Unconfirmed {
        /// The revision.
        revision: Revision,
        /// Receives the number of members that confirmed and the others.
        reply: ReplySender<(u32, Vec<VmName>)>,
    },
    /// Lists a few members of the region that can confirm the configuration.
    ConfirmationPeers {
        /// Receives them.
        reply: ReplySender<Vec<PeerAddress>>,
    },
    /// Periodic tick.
    Tick,
}

/// Runs the membership service.
pub(crate) async fn run_membership(
    mut context: Context<MembershipMessage>,
    socket: Arc<StdSocket>,
    own: Member,
    seeds: Vec<SocketAddr>,
    seed: u64,
) -> ServiceResult {
    let settings = MembershipSettings::default();
    context
        .subscribe_to_ticks(MEMBERSHIP, settings.tick_period(), |_| {
            MembershipMessage::Tick
        })
        .await?;
    let gate = BudgetLimiter(context.registry.mailbox(BUDGET)?);
    let (own_vm, own_domain) = (own.vm.clone(), own.domain.clone());
    let membership = Membership::new(settings, own, seed);
    let mut service = MembershipService {
        gossip: Gossip::new(&socket, membership, Box::new(gate))?,
        own_vm,
        own_domain,
        recorded: HashMap::new(),
        role: None,
        router_behind: false,
        router: context.registry.mailbox(ROUTER)?,
        catalog: context.registry.mailbox(CATALOG)?,
        timeline: context.registry.mailbox(TIMELINE)?,
    };
    let seeds = Event::AddSeeds(seeds.into_iter().collect());
    service.on(seeds, context.clock.now()).await;
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

struct MembershipService {
    gossip: Gossip,
    own_vm: VmName,
    own_domain: FailureDomain,
    recorded: HashMap<VmName, MemberState>,
    /// Reader role as last passed on: whether it is one and whether it is ranked first.
    role: Option<(bool, bool)>,
    /// Whether the router missed a message and needs all records again.
    router_behind: bool,
    router: Mailbox<RouterMessage>,
    catalog: Mailbox<CatalogMessage>,
    timeline: Mailbox<TimelineMessage>,
}

impl MembershipService {
    async fn handle(&mut self, message: MembershipMessage, now: Moment) {
        match message {
            MembershipMessage::SetUpstreams(upstreams) => {
                self.on(Event::SetUpstreams(upstreams), now).await;
            }
            MembershipMessage::Applied(revision) => {
                self.on(Event::SetRevision(revision), now).await;
                self.on(Event::NotifyRevision, now).await;
            }
            MembershipMessage::Leave => self.on(Event::Leave, now).await,
            MembershipMessage::Republish => self.publish_all(),
            MembershipMessage::Seeds(seeds) => {
                self.on(Event::AddSeeds(seeds.into_iter().collect()), now)
                    .await;
            }
            MembershipMessage::IsAlone { reply } => {
                let others = self
                    .gossip
                    .membership()
                    .members()
                    .filter(|m| m.vm != self.own_vm);
                reply.send(!others.into_iter().any(|m| m.state.accepts_requests()));
            }
            MembershipMessage::Members { reply } => reply.send(self.views()),
            MembershipMessage::QueryRevisions => self.on(Event::QueryRevisions, now).await,
            MembershipMessage::Unconfirmed { revision, reply } => {
                reply.send(self.unconfirmed(revision));
            }
            MembershipMessage::ConfirmationPeers { reply } => {
                let region = self.gossip.membership().own_record().region.clone();
                let peers = self.gossip.membership_mut().confirmation_peers();
                let peers = peers.into_iter();
                reply.send(peers.map(|m| PeerAddress::of(m, &region)).collect());
            }
            MembershipMessage::Tick => {
                if self.router_behind {
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
                Action::RegionChanged(region) => {
                    let reachable = self.gossip.membership().is_region_reachable(&region);
                    log::info!(region = region.as_str(), reachable = reachable; "region changed");
                    self.notify_router(RouterMessage::SetReachability { region, reachable });
                }
                // The state machine remembers reported revisions for `unconfirmed`.
                Action::RevisionReported { .. } | Action::Send { .. } => {}
            }
        }
        self.publish(changed);
    }

    fn report_ahead(&self, vm: &VmName, revision: Revision) {
        if let Some(member) = self.gossip.membership().get(vm) {
            let peer = PeerAddress::of(member, &self.gossip.membership().own_record().region);
            // The next probe reports the same revision again.
            let _ = self
                .catalog
                .try_send(CatalogMessage::PeerAhead { peer, revision });
        }
    }

    /// Replaces what the router knows.
    fn publish_all(&mut self) {
        let members: Vec<Member> = self.gossip.membership().members().cloned().collect();
        let unreachable = members
            .iter()
            .map(|m| m.region.clone())
            .filter(|region| !self.gossip.membership().is_region_reachable(region))
            .collect();
        let all = RouterMessage::ReplaceMembers {
            members,
            unreachable,
        };
        self.router_behind = self.router.try_send(all).is_err();
        self.publish_role();
    }

    /// Passes changed records on to the router and the reader role to the catalog.
    fn publish(&mut self, changed: Vec<VmName>) {
        let mut members = Vec::new();
        let mut removed = Vec::new();
        for vm in changed {
            match self.gossip.membership().get(&vm) {
                Some(member) => {
                    // A record also changes with its upstreams; the timeline shows states only.
                    if self.recorded.insert(vm.clone(), member.state) != Some(member.state) {
                        let event = TimelineEvent::MemberChanged {
                            member: vm,
                            state: member.state,
                        };
                        timeline::record(&self.timeline, event);
                    }
                    members.push(member.clone());
                }
                None => removed.push(vm),
            }
        }
        self.recorded.retain(|vm, _| !removed.contains(vm));
        if !members.is_empty() {
            self.notify_router(RouterMessage::UpdateMembers(members));
        }
        if !removed.is_empty() {
            self.notify_router(RouterMessage::RemoveMembers(removed));
        }
        self.publish_role();
    }

    /// Passes a change on; if that fails, the next tick passes on everything.
    fn notify_router(&mut self, message: RouterMessage) {
        if let Err(e) = self.router.try_send(message) {
            log::warn!("member records were not passed on and will be sent again: {e}");
            self.router_behind = true;
        }
    }

    fn publish_role(&mut self) {
        let is_reader = self.gossip.membership().is_reader();
        let first = self.gossip.membership().readers(&self.own_domain);
        let is_preferred = first.first().is_some_and(|m| m.vm == self.own_vm);
        let role = CatalogMessage::Role {
            is_reader,
            is_preferred,
        };
        if self.role != Some((is_reader, is_preferred)) && self.catalog.try_send(role).is_ok() {
            self.role = Some((is_reader, is_preferred));
        }
    }

    fn views(&self) -> Vec<MemberView> {
        let members = self.gossip.membership().members();
        members
            .map(|member| MemberView {
                member: member.clone(),
                reachable: self.gossip.membership().is_region_reachable(&member.region),
            })
            .collect()
    }

    fn unconfirmed(&self, revision: Revision) -> (u32, Vec<VmName>) {
        let mut confirmed = 0;
        let mut missing = Vec::new();
        for member in self
            .gossip
            .membership()
            .members()
            .filter(|m| m.state.accepts_requests())
        {
            match self.gossip.membership().revision_of(&member.vm) {
                Some(applied) if applied >= revision => confirmed += 1,
                _ => missing.push(member.vm.clone()),
            }
        }
        (confirmed, missing)
    }
}
