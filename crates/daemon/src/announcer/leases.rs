//! Leases of the local upstreams.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::{Moment, ServiceName, Upstream, UpstreamState};

use super::{AnnounceResult, Announcement};
use crate::guard::Upstreams;

/// Shortest lease; a shorter one would lapse between two checks.
const LEASE_MIN: Duration = Duration::from_millis(200);

/// Time for which a lost upstream is listed, so that its state reaches other daemons.
const LOST_RETENTION: Duration = Duration::from_secs(60);

/// Result of a message with whether the upstreams changed by it.
pub(super) struct Change {
    pub(super) result: AnnounceResult,
    pub(super) changed: bool,
}

impl Change {
    fn unchanged(result: AnnounceResult) -> Self {
        Self {
            result,
            changed: false,
        }
    }
}

/// What an incarnation has asked for; it holds until the next incarnation, also across a lapse of
/// the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Intent {
    Serve,
    Drain,
    Leave,
}

struct Lease {
    upstream: Upstream,
    expires_at: Moment,
    intent: Intent,
}

/// Upstreams by service with the end of their leases.
pub(super) struct Leases {
    lease_max: Duration,
    leases: BTreeMap<ServiceName, Lease>,
}

impl Leases {
    /// Creates an empty table.
    pub(super) fn new(lease_max: Duration) -> Self {
        Self {
            lease_max,
            leases: BTreeMap::new(),
        }
    }

    /// Takes an announcement or a renewal.
    pub(super) fn announce(&mut self, announcement: &Announcement, now: Moment) -> Change {
        let lease = announcement
            .lease
            .clamp(LEASE_MIN, self.lease_max.max(LEASE_MIN));
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
            // A pause past the lease must not end a drain.
            Intent::Drain => upstream.state = UpstreamState::Draining,
            // A renewal that was under way may arrive after the withdrawal.
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

    /// Marks an upstream as gone.
    pub(super) fn leave(&mut self, service: &ServiceName) -> Change {
        self.apply_intent(service, Intent::Leave)
    }

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

    /// Marks upstreams whose lease lapsed and tells whether anything changed.
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

    /// Lists the upstreams.
    pub(super) fn upstreams(&self) -> Upstreams {
        self.leases.values().map(|l| l.upstream.clone()).collect()
    }
}
