//! Table of the local upstreams and their leases.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::{Moment, ServiceName, Upstream, UpstreamState};

use super::{AnnounceResult, Announcement};
use crate::guard::Upstreams;

/// Shortest lease that is granted: twice the announcer's `TICK_PERIOD`. A shorter one could expire
/// between two checks.
const MIN_LEASE: Duration = Duration::from_millis(200);

/// Time for which a lost upstream stays in the table, so that its state reaches other daemons.
const LOST_RETENTION: Duration = Duration::from_secs(60);

/// Result of a message, and whether the message changed the table.
pub(super) struct Change {
    pub(super) result: AnnounceResult,
    pub(super) changed: bool,
}

impl Change {
    /// Returns a result without a change.
    fn unchanged(result: AnnounceResult) -> Self {
        Self {
            result,
            changed: false,
        }
    }
}

/// State that an upstream process requested for itself.
///
/// It is kept until the next incarnation; a renewal after the lease has expired does not reset it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Intent {
    /// Accept requests.
    Serve,
    /// Finish running requests and accept no new ones.
    Drain,
    /// Shut down.
    Leave,
}

/// Upstream with its lease.
struct Lease {
    upstream: Upstream,
    expires_at: Moment,
    intent: Intent,
}

/// Leases by service; there is at most one local upstream for each service.
pub(super) struct Leases {
    max_lease: Duration,
    leases: BTreeMap<ServiceName, Lease>,
}

impl Leases {
    /// Creates an empty table.
    pub(super) fn new(max_lease: Duration) -> Self {
        Self {
            max_lease,
            leases: BTreeMap::new(),
        }
    }

    /// Handles an announcement or a renewal, with the lease clamped to the allowed range.
    pub(super) fn announce(&mut self, announcement: &Announcement, now: Moment) -> Change {
        let lease = announcement
            .lease
            .clamp(MIN_LEASE, self.max_lease.max(MIN_LEASE));
        let expires_at = now + lease;
        let mut upstream = Upstream {
            service: announcement.service.clone(),
            port: announcement.port,
            slots: announcement.slots,
            incarnation: announcement.incarnation,
            state: UpstreamState::Ready,
        };
        let result = AnnounceResult::Accepted(lease);
        let known = self.leases.get(&announcement.service);
        let known =
            known.map(|lease| (lease.upstream.incarnation.cmp(&upstream.incarnation), lease));
        let intent = match known {
            Some((Ordering::Greater, _)) => return Change::unchanged(AnnounceResult::Superseded),
            Some((Ordering::Equal, lease)) => lease.intent,
            Some((Ordering::Less, _)) | None => Intent::Serve,
        };
        match intent {
            Intent::Serve => {}
            // An upstream that was paused until its lease expired must stay draining.
            Intent::Drain => upstream.state = UpstreamState::Draining,
            // A renewal sent before the upstream left may arrive after the withdrawal.
            Intent::Leave => return Change::unchanged(AnnounceResult::Left),
        }
        let changed = known.is_none_or(|(_, lease)| lease.upstream != upstream);
        let lease = Lease {
            upstream,
            expires_at,
            intent,
        };
        self.leases.insert(announcement.service.clone(), lease);
        Change { result, changed }
    }

    /// Marks an upstream as draining.
    pub(super) fn drain(&mut self, service: &ServiceName) -> Change {
        self.apply_intent(service, Intent::Drain)
    }

    /// Marks an upstream as lost because it left.
    pub(super) fn leave(&mut self, service: &ServiceName) -> Change {
        self.apply_intent(service, Intent::Leave)
    }

    /// Records what the upstream requested and changes its state accordingly.
    fn apply_intent(&mut self, service: &ServiceName, intent: Intent) -> Change {
        let Some(lease) = self.leases.get_mut(service) else {
            return Change::unchanged(AnnounceResult::Unknown);
        };
        lease.intent = lease.intent.max(intent);
        let state = match (intent, lease.upstream.state) {
            (Intent::Drain, UpstreamState::Ready) => UpstreamState::Draining,
            (Intent::Leave, _) => UpstreamState::Lost,
            (_, state) => state,
        };
        let changed = lease.upstream.state != state;
        lease.upstream.state = state;
        Change {
            result: AnnounceResult::Accepted(Duration::ZERO),
            changed,
        }
    }

    /// Marks upstreams with an expired lease as lost, removes those lost for longer than
    /// [`LOST_RETENTION`], and returns whether the table changed.
    pub(super) fn expire(&mut self, now: Moment) -> bool {
        let mut changed = false;
        for lease in self.leases.values_mut() {
            if now >= lease.expires_at && lease.upstream.state != UpstreamState::Lost {
                lease.upstream.state = UpstreamState::Lost;
                changed = true;
            }
        }
        let before = self.leases.len();
        self.leases.retain(|_, lease| {
            lease.upstream.state != UpstreamState::Lost || now < lease.expires_at + LOST_RETENTION
        });
        changed || self.leases.len() != before
    }

    /// Returns all upstreams in the table.
    pub(super) fn upstreams(&self) -> Upstreams {
        self.leases.values().map(|l| l.upstream.clone()).collect()
    }
}
