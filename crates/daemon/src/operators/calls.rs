//! Handler of the JSON-RPC calls; it gets the answers from the services that own the state.

use std::time::Duration;

use cornelvalve_api::{
    ApiError, BadRecord, Candidate, EntryKind, ErrorKind, Explanation, InForceReport, LeaveReport,
    MemberCounts, MemberReport, OperatorsServer, PeerRecords, PublishReport, Status, TimelinePage,
    Timestamp, UpstreamStatus, Verdict, WaitFor,
};
use cornelvalve_catalog::{Catalog, PublishOutcome};
use cornelvalve_kernel::{Mailbox, Registry};
use cornelvalve_model::{
    Change, FailureDomain, MemberState, Offset, Refusal, RequestClass, Revision, TeamName,
    VersionedEntry,
};
use jsonrpsee::core::async_trait;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Identity;
use crate::catalog::CatalogMessage;
use crate::guard::GuardMessage;
use crate::membership::{MemberView, MembershipMessage};
use crate::names::{CATALOG, GUARD, MEMBERSHIP, PUBLISHER, ROUTER};
use crate::publisher::{PublishError, PublisherMessage};
use crate::router::{RouteQuery, RouterMessage};
use crate::timeline::{TIMELINE, TimelineMessage};

/// Result alias of this module.
type Result<T> = std::result::Result<T, ApiError>;

/// Interval at which the local membership service is polled for the members that have reported a
/// revision as applied.
const IN_FORCE_POLL_PERIOD: Duration = Duration::from_millis(100);

/// Number of polls after which all members are asked over the network for their revision again,
/// which is once per second.
const POLLS_PER_QUERY: u32 = 10;

/// Largest number of events in one page of the timeline.
const MAX_PAGE_EVENTS: u32 = 4096;

/// Answers the JSON-RPC calls of operators and the configuration pulls of other daemons.
pub(super) struct RpcHandler {
    identity: Identity,
    leave_sender: mpsc::Sender<()>,
    catalog: Mailbox<CatalogMessage>,
    membership: Mailbox<MembershipMessage>,
    guard: Mailbox<GuardMessage>,
    router: Mailbox<RouterMessage>,
    publisher: Mailbox<PublisherMessage>,
    timeline: Mailbox<TimelineMessage>,
}

impl RpcHandler {
    /// Creates a handler and looks up the services that it asks.
    pub(super) fn new(
        registry: &Registry,
        identity: Identity,
        leave_sender: mpsc::Sender<()>,
    ) -> cornelvalve_kernel::Result<Self> {
        Ok(Self {
            identity,
            leave_sender,
            catalog: registry.mailbox(CATALOG)?,
            membership: registry.mailbox(MEMBERSHIP)?,
            guard: registry.mailbox(GUARD)?,
            router: registry.mailbox(ROUTER)?,
            publisher: registry.mailbox(PUBLISHER)?,
            timeline: registry.mailbox(TIMELINE)?,
        })
    }

    /// Returns the configuration in force, or an empty one if there is none yet.
    async fn catalog_in_force(&self) -> Result<Arc<Catalog>> {
        let asked = self.catalog.ask(|reply| CatalogMessage::InForce { reply });
        asked.await.map_err(call_error)
    }

    /// Returns the records of all members, this daemon included.
    async fn member_views(&self) -> Result<Vec<MemberView>> {
        let asked = self
            .membership
            .ask(|reply| MembershipMessage::Members { reply });
        asked.await.map_err(call_error)
    }

    /// Returns which members have reported a revision as applied, without asking them again.
    async fn in_force_report(&self, revision: Revision) -> Result<InForceReport> {
        let asked = self
            .membership
            .ask(|reply| MembershipMessage::Unconfirmed { revision, reply });
        let (confirmed, unconfirmed) = asked.await.map_err(call_error)?;
        Ok(InForceReport {
            revision,
            confirmed,
            unconfirmed,
        })
    }

    /// Asks all members for their revision until all have reported `revision` as applied or the
    /// deadline is reached, and returns which have reported it.
    async fn wait_in_force(&self, revision: Revision, deadline: Instant) -> Result<InForceReport> {
        let mut polls = 0;
        loop {
            if polls % POLLS_PER_QUERY == 0 {
                let query = self.membership.send(MembershipMessage::QueryRevisions);
                query.await.map_err(call_error)?;
            }
            polls += 1;
            tokio::time::sleep(IN_FORCE_POLL_PERIOD).await;
            let report = self.in_force_report(revision).await?;
            if report.unconfirmed.is_empty() || Instant::now() >= deadline {
                return Ok(report);
            }
        }
    }

    /// Returns how the router would route a request, or why it would refuse it.
    async fn explain_route(&self, query: RouteQuery) -> Result<Explanation> {
        let asked = self.router.ask(|reply| RouterMessage::Route {
            query: query.clone(),
            reply,
        });
        let plan = match asked.await.map_err(call_error)? {
            Ok(plan) => plan,
            Err(e) => return Ok(refused_explanation(e.refusal)),
        };
        let asked = self
            .router
            .ask(|reply| RouterMessage::Explain { query, reply });
        let candidates = asked.await.map_err(call_error)?;
        Ok(Explanation {
            service: Some(plan.service),
            route: plan.route,
            class: plan.class,
            home_regions: plan.regions.map(|r| r.into_vec()),
            candidates: candidates
                .into_iter()
                .map(|(endpoint, outstanding)| Candidate {
                    vm: endpoint.vm,
                    domain: endpoint.domain,
                    region: endpoint.region,
                    score: outstanding.into(),
                })
                .collect(),
            refusal: None,
        })
    }
}

/// Returns the explanation for a request that would be refused.
fn refused_explanation(refusal: Refusal) -> Explanation {
    Explanation {
        service: None,
        route: None,
        class: RequestClass::ByMethod,
        home_regions: None,
        candidates: Vec::new(),
        refusal: Some(refusal),
    }
}

/// Converts the error of a call to another service.
fn call_error(error: cornelvalve_kernel::Error) -> ApiError {
    let kind = match error {
        cornelvalve_kernel::Error::Full(_) => ErrorKind::Overloaded,
        _ => ErrorKind::Internal,
    };
    ApiError::new(kind, error.to_string())
}

/// Converts the error of a change that the publisher refused.
fn publish_error(error: PublishError) -> ApiError {
    let kind = match error {
        PublishError::Overloaded => ErrorKind::Overloaded,
        PublishError::NotEncodable(_) => ErrorKind::BadRequest,
    };
    ApiError::new(kind, error.to_string())
}

/// Counts members by state; a member whose region cannot be reached is only counted as unreachable.
fn count_members(members: &[MemberView]) -> MemberCounts {
    let mut counts = MemberCounts::default();
    for view in members {
        let counter = match view.member.state {
            _ if !view.reachable => &mut counts.unreachable,
            MemberState::Alive => &mut counts.alive,
            MemberState::Suspect => &mut counts.suspect,
            MemberState::Leaving => &mut counts.leaving,
            MemberState::Left => &mut counts.left,
            MemberState::Dead => &mut counts.dead,
        };
        *counter += 1;
    }
    counts
}

/// Converts the outcome of a publication to a report, or to an error if nothing was published.
fn publish_report(outcome: PublishOutcome) -> Result<PublishReport> {
    let (verdict, revision) = match outcome {
        PublishOutcome::NotPublished => {
            let message = "the change was not published: the log store did not accept it before \
                           the timeout, or the catalog service was down";
            return Err(ApiError::new(ErrorKind::LogUnavailable, message));
        }
        PublishOutcome::Published(_) => (Verdict::Published, None),
        PublishOutcome::Accepted(revision) => (Verdict::Accepted, Some(revision)),
        PublishOutcome::Rejected(reason) => (Verdict::Rejected { reason }, None),
        PublishOutcome::StillUnknown => (Verdict::Unknown, None),
    };
    Ok(PublishReport {
        verdict,
        revision,
        unconfirmed: Vec::new(),
    })
}

#[async_trait]
impl OperatorsServer for RpcHandler {
    async fn publish(
        &self,
        change: Change,
        wait: WaitFor,
        timeout_ms: u64,
    ) -> Result<PublishReport> {
        let timeout = Duration::from_millis(timeout_ms);
        let deadline = Instant::now() + timeout;
        let asked = self.publisher.ask(|reply| PublisherMessage::Publish {
            change: Box::new(change),
            await_verdict: wait != WaitFor::Published,
            timeout,
            reply,
        });
        let outcome = asked.await.map_err(call_error)?.map_err(publish_error)?;
        let mut report = publish_report(outcome)?;
        if wait == WaitFor::InForce
            && let Some(revision) = report.revision
        {
            let in_force = self.wait_in_force(revision, deadline).await?;
            if in_force.unconfirmed.is_empty() {
                report.verdict = Verdict::InForce;
            }
            report.unconfirmed = in_force.unconfirmed;
        }
        Ok(report)
    }

    async fn entries(&self, kind: Option<EntryKind>) -> Result<Vec<VersionedEntry>> {
        let catalog = self.catalog_in_force().await?;
        let has_kind =
            |entry: &VersionedEntry| kind.is_none_or(|k| k == EntryKind::of(&entry.operation));
        Ok(catalog.entries().filter(has_kind).collect())
    }

    async fn status(&self) -> Result<Status> {
        let catalog = self.catalog_in_force().await?;
        let members = self.member_views().await?;
        let loads = self.guard.ask(|reply| GuardMessage::Load { reply });
        let loads = loads.await.map_err(call_error)?;
        let log_store = self
            .catalog
            .ask(|reply| CatalogMessage::LogStoreState { reply });
        let revision = catalog.revision();
        Ok(Status {
            vm: self.identity.vm.clone(),
            region: self.identity.region.clone(),
            domain: self.identity.domain.clone(),
            incarnation: self.identity.incarnation,
            revision: (revision > Revision(0)).then_some(revision),
            next_offset: catalog.next_offset(),
            log_store: log_store.await.map_err(call_error)?,
            members: count_members(&members),
            upstreams: loads
                .into_iter()
                .map(|l| UpstreamStatus {
                    service: l.upstream.service,
                    port: l.upstream.port,
                    slots: l.upstream.slots,
                    incarnation: l.upstream.incarnation,
                    state: l.upstream.state,
                    limit: l.load.limit.into(),
                    running: l.load.running.into(),
                    queued: l.load.queued.into(),
                })
                .collect(),
            bad_records: catalog
                .bad_records()
                .map(|bad| BadRecord {
                    offset: bad.offset,
                    reason: bad.reason.clone(),
                })
                .collect(),
        })
    }

    async fn members(&self) -> Result<Vec<MemberReport>> {
        let views = self.member_views().await?;
        Ok(views
            .into_iter()
            .map(|view| MemberReport {
                member: view.member,
                reachable: view.reachable,
            })
            .collect())
    }

    async fn in_force(&self, revision: Revision) -> Result<InForceReport> {
        // Long enough to ask all members once.
        let deadline = Instant::now() + IN_FORCE_POLL_PERIOD * POLLS_PER_QUERY;
        self.wait_in_force(revision, deadline).await
    }

    async fn timeline(&self, after: Option<Timestamp>, limit: u32) -> Result<TimelinePage> {
        let limit = usize::try_from(limit.min(MAX_PAGE_EVENTS)).unwrap_or(usize::MAX);
        let asked = self.timeline.ask(|reply| TimelineMessage::Read {
            after,
            limit,
            reply,
        });
        asked.await.map_err(call_error)
    }

    async fn leave(&self, domain: FailureDomain) -> Result<LeaveReport> {
        if domain != self.identity.domain {
            let message = format!("this daemon is in failure domain {}", self.identity.domain);
            return Err(ApiError::new(ErrorKind::WrongDomain, message));
        }
        let loads = self.guard.ask(|reply| GuardMessage::Load { reply });
        let loads = loads.await.map_err(call_error)?;
        // A full channel means that a stop was already requested.
        let _ = self.leave_sender.try_send(());
        Ok(LeaveReport {
            vm: self.identity.vm.clone(),
            domain,
            state: MemberState::Leaving,
            running: loads.iter().map(|l| u32::from(l.load.running)).sum(),
        })
    }

    async fn explain(
        &self,
        host: String,
        path: String,
        method: String,
        team: Option<TeamName>,
    ) -> Result<Explanation> {
        self.explain_route(RouteQuery {
            host,
            path,
            method,
            team,
        })
        .await
    }

    // In the call, the offset is named `after`, although the record at this offset is included.
    async fn peer_records(&self, from: Offset, max: u32) -> Result<PeerRecords> {
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let asked = self
            .catalog
            .ask(|reply| CatalogMessage::ServePull { from, max, reply });
        let records = asked.await.map_err(call_error)?;
        // The error kind is the same for all three causes, because the requesting daemon does not
        // distinguish them.
        let message = "this daemon has no configuration in force, has not applied the records \
                       before that offset, or has used up its traffic budget";
        records.ok_or_else(|| ApiError::new(ErrorKind::RecordsGone, message))
    }
}
