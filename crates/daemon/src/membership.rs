//! Membership service: runs the gossip protocol within the traffic budget and reports changes of
//! members to the router, the catalog and the timeline.

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

/// Limits datagrams to the budget of control traffic.
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
            // While the budget service restarts nothing is sent, so that the limit holds.
            matches!(charged.await, Ok(SendDecision::Send))
        })
    }
}

/// Record of a member with the reachability of its region, for operators and metrics.
#[derive(Clone, Debug)]
pub(crate) struct MemberView {
    /// Record of the member.
    pub(crate) member: Member,
    /// Whether the region of the member can be reached.
    pub(crate) reachable: bool,
}

/// Member from which configuration records can be pulled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PullSource {
    /// Address of the member's listener for operators, which also serves configuration pulls.
    pub(crate) operator_addr: SocketAddr,
    /// Whether the member is in another region than this daemon.
    pub(crate) crosses_region: bool,
}

impl PullSource {
    fn new(member: &Member, own_region: &Region) -> Self {
        Self {
            operator_addr: member.operator_addr,
            crosses_region: member.region != *own_region,
        }
    }
}

/// Messages to the membership service.
#[derive(Debug)]
pub(crate) enum MembershipMessage {
    /// Sets the upstreams in this daemon's member record.
    SetUpstreams(Upstreams),
    /// Reports the configuration revision that this daemon has applied.
    RevisionApplied(Revision),
    /// Announces the next step of a planned stop to the other members: the first message sets the
    /// announced state of this daemon to `Leaving`, the second one to `Left`.
    Leave,
    /// Sends all member records to the router again.
    Republish,
    /// Adds addresses of other daemons to contact.
    AddSeeds(Vec<SocketAddr>),
    /// Returns whether this daemon knows no other member that accepts requests.
    IsIsolated {
        /// Receives the answer.
        reply: ReplySender<bool>,
    },
    /// Returns all members, this daemon included.
    Members {
        /// Receives the members.
        reply: ReplySender<Vec<MemberView>>,
    },
    /// Asks all members which revision they have applied.
    QueryRevisions,
    /// Returns which members have reported that they applied a revision, and which have not.
    Unconfirmed {
        /// The revision.
        revision: Revision,
        /// Receives the number of members that reported it and the names of the others.
        reply: ReplySender<(u32, Vec<VmName>)>,
    },
    /// Returns a few members of this region that can confirm that the configuration is up to date.
    ConfirmationPeers {
        /// Receives the addresses of these members.
        reply: ReplySender<Vec<PullSource>>,
    },
    /// Triggers periodic work.
    Tick,
}

/// Runs the membership service.
///
/// `own` is the member record of this daemon, `seeds` are the addresses of daemons to contact
/// first, and `random_seed` seeds the random choices of the gossip protocol.
pub(crate) async fn run_membership(
    mut context: Context<MembershipMessage>,
    socket: Arc<StdSocket>,
    own: Member,
    seeds: Vec<SocketAddr>,
    random_seed: u64,
) -> ServiceResult {
    let settings = MembershipSettings::default();
    context
        .subscribe_to_ticks(MEMBERSHIP, settings.tick_period(), |_| {
            MembershipMessage::Tick
        })
        .await?;
    let limiter = BudgetLimiter(context.registry.mailbox(BUDGET)?);
    let (own_vm, own_domain) = (own.vm.clone(), own.domain.clone());
    let membership = Membership::new(settings, own, random_seed);
    let mut service = MembershipService {
        gossip: Gossip::new(&socket, membership, Box::new(limiter))?,
        own_vm,
        own_domain,
        recorded_states: HashMap::new(),
        sent_role: None,
        router_outdated: false,
        router: context.registry.mailbox(ROUTER)?,
        catalog: context.registry.mailbox(CATALOG)?,
        timeline: context.registry.mailbox(TIMELINE)?,
    };
    let seeds = Event::AddSeeds(seeds.into_iter().collect());
    service.handle_event(seeds, context.clock.now()).await;
    service.send_all_records();
    loop {
        tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => match message {
                Some(message) => service.handle_message(message, context.clock.now()).await,
                None => return Ok(()),
            },
            event = service.gossip.receive() => {
                service.handle_event(event, context.clock.now()).await
            }
        }
    }
}

/// State of the membership service.
struct MembershipService {
    gossip: Gossip,
    own_vm: VmName,
    own_domain: FailureDomain,
    /// State of each member as last recorded in the timeline.
    recorded_states: HashMap<VmName, MemberState>,
    /// Role as last sent to the catalog: whether this daemon is a reader of the log, and whether
    /// it is ranked first of the readers of its failure domain.
    sent_role: Option<(bool, bool)>,
    /// Whether the router missed a message and needs all records again.
    router_outdated: bool,
    router: Mailbox<RouterMessage>,
    catalog: Mailbox<CatalogMessage>,
    timeline: Mailbox<TimelineMessage>,
}

impl MembershipService {
    async fn handle_message(&mut self, message: MembershipMessage, now: Moment) {
        match message {
            MembershipMessage::SetUpstreams(upstreams) => {
                self.handle_event(Event::SetUpstreams(upstreams), now).await;
            }
            MembershipMessage::RevisionApplied(revision) => {
                self.handle_event(Event::SetRevision(revision.into()), now)
                    .await;
                self.handle_event(Event::NotifyRevision, now).await;
            }
            MembershipMessage::Leave => self.handle_event(Event::Leave, now).await,
            MembershipMessage::Republish => self.send_all_records(),
            MembershipMessage::AddSeeds(seeds) => {
                self.handle_event(Event::AddSeeds(seeds.into_iter().collect()), now)
                    .await;
            }
            MembershipMessage::IsIsolated { reply } => {
                let others = self
                    .gossip
                    .membership()
                    .members()
                    .filter(|m| m.vm != self.own_vm);
                reply.send(!others.into_iter().any(|m| m.state.accepts_requests()));
            }
            MembershipMessage::Members { reply } => reply.send(self.member_views()),
            MembershipMessage::QueryRevisions => {
                self.handle_event(Event::QueryRevisions, now).await
            }
            MembershipMessage::Unconfirmed { revision, reply } => {
                reply.send(self.revision_confirmations(revision));
            }
            MembershipMessage::ConfirmationPeers { reply } => {
                let region = self.gossip.membership().own_record().region.clone();
                let peers = self.gossip.membership_mut().confirmation_peers();
                let peers = peers.into_iter();
                reply.send(peers.map(|m| PullSource::new(m, &region)).collect());
            }
            MembershipMessage::Tick => {
                if self.router_outdated {
                    self.send_all_records();
                }
                self.handle_event(Event::Tick, now).await;
            }
        }
    }

    /// Passes an event to the gossip state machine and performs the actions that it returns.
    async fn handle_event(&mut self, event: Event, now: Moment) {
        let mut changed = Vec::new();
        for action in self.gossip.handle_event(event, now).await {
            match action {
                Action::MemberChanged(vm) => changed.push(vm),
                Action::PeerRevision { vm, revision, .. } => {
                    self.report_revision(&vm, revision.log_revision())
                }
                Action::RegionChanged(region) => {
                    let reachable = self.gossip.membership().is_region_reachable(&region);
                    log::info!(
                        region = region.as_str(), reachable = reachable;
                        "reachability of a region changed"
                    );
                    self.notify_router(RouterMessage::SetReachability { region, reachable });
                }
                // `Gossip` sends datagrams itself, and the state machine stores the reported
                // revisions, which `revision_confirmations` reads.
                Action::RevisionReported { .. } | Action::Send { .. } => {}
            }
        }
        self.distribute_changes(changed);
    }

    /// Reports the revision of a member that is ahead of this daemon to the catalog.
    fn report_revision(&self, vm: &VmName, revision: Revision) {
        if let Some(member) = self.gossip.membership().get(vm) {
            let peer = PullSource::new(member, &self.gossip.membership().own_record().region);
            // If the mailbox is full, the next probe reports the revision again.
            let _ = self
                .catalog
                .try_send(CatalogMessage::PeerAhead { peer, revision });
        }
    }

    /// Sends the records of all members to the router, which replace those that it has, and the
    /// role to the catalog.
    fn send_all_records(&mut self) {
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
        self.router_outdated = self.router.try_send(all).is_err();
        self.send_role();
    }

    /// Sends changed records to the router, state changes to the timeline and the role to the
    /// catalog.
    fn distribute_changes(&mut self, changed: Vec<VmName>) {
        let mut members = Vec::new();
        let mut removed = Vec::new();
        for vm in changed {
            match self.gossip.membership().get(&vm) {
                Some(member) => {
                    // Changes of upstreams also change a record, but the timeline only has an
                    // event for a changed state.
                    if self.recorded_states.insert(vm.clone(), member.state) != Some(member.state) {
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
        self.recorded_states.retain(|vm, _| !removed.contains(vm));
        if !members.is_empty() {
            self.notify_router(RouterMessage::UpdateMembers(members));
        }
        if !removed.is_empty() {
            self.notify_router(RouterMessage::RemoveMembers(removed));
        }
        self.send_role();
    }

    /// Sends a change to the router; if its mailbox is full, the next tick sends all records.
    fn notify_router(&mut self, message: RouterMessage) {
        if let Err(e) = self.router.try_send(message) {
            log::warn!("sending member records to the router failed and will be retried: {e}");
            self.router_outdated = true;
        }
    }

    /// Sends the role of this daemon to the catalog if it changed.
    fn send_role(&mut self) {
        let is_reader = self.gossip.membership().is_reader();
        let readers = self.gossip.membership().readers(&self.own_domain);
        let is_preferred = readers.first().is_some_and(|m| m.vm == self.own_vm);
        let role = CatalogMessage::Role {
            is_reader,
            is_preferred,
        };
        if self.sent_role != Some((is_reader, is_preferred)) && self.catalog.try_send(role).is_ok()
        {
            self.sent_role = Some((is_reader, is_preferred));
        }
    }

    /// Returns all members with the reachability of their regions.
    fn member_views(&self) -> Vec<MemberView> {
        let members = self.gossip.membership().members();
        members
            .map(|member| MemberView {
                member: member.clone(),
                reachable: self.gossip.membership().is_region_reachable(&member.region),
            })
            .collect()
    }

    /// Returns how many of the members that accept requests have reported a revision as applied,
    /// and the names of those that have not.
    fn revision_confirmations(&self, revision: Revision) -> (u32, Vec<VmName>) {
        let mut confirmed = 0;
        let mut unconfirmed = Vec::new();
        for member in self
            .gossip
            .membership()
            .members()
            .filter(|m| m.state.accepts_requests())
        {
            match self.gossip.membership().revision_of(&member.vm) {
                Some(applied) if applied.log_revision() >= revision => confirmed += 1,
                _ => unconfirmed.push(member.vm.clone()),
            }
        }
        (confirmed, unconfirmed)
    }
}
