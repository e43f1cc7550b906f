//! Leases of the local upstreams.

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

struct Lease {
    upstream: Upstream,
    until: Moment,
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
        let until = now + lease;
        let mut upstream = Upstream {
            service: announcement.service.clone(),
            port: announcement.port,
            slots: announcement.slots,
            incarnation: announcement.incarnation,
            state: UpstreamState::Ready,
        };
        let result = AnnounceResult::Accepted(lease);
        match self.leases.get_mut(&announcement.service) {
            Some(current) if upstream.incarnation < current.upstream.incarnation => Change {
                result: AnnounceResult::Superseded,
                changed: false,
            },
            Some(current) => {
                // A renewal does not end a drain; only a new incarnation does.
                if upstream.incarnation == current.upstream.incarnation
                    && current.upstream.state == UpstreamState::Draining
                {
                    upstream.state = UpstreamState::Draining;
                }
                let changed = current.upstream != upstream;
                *current = Lease { upstream, until };
                Change { result, changed }
            }
            None => {
                let lease = Lease { upstream, until };
                self.leases.insert(announcement.service.clone(), lease);
                Change {
                    result,
                    changed: true,
                }
            }
        }
    }

    /// Marks an upstream as draining.
    pub(super) fn drain(&mut self, service: &ServiceName) -> Change {
        self.set_state(service, UpstreamState::Draining)
    }

    /// Marks an upstream as gone.
    pub(super) fn leave(&mut self, service: &ServiceName) -> Change {
        self.set_state(service, UpstreamState::Lost)
    }

    fn set_state(&mut self, service: &ServiceName, state: UpstreamState) -> Change {
        match self.leases.get_mut(service) {
            Some(lease) => {
                let changed = lease.upstream.state != state;
                lease.upstream.state = state;
                let left = Duration::ZERO;
                Change {
                    result: AnnounceResult::Accepted(left),
                    changed,
                }
            }
            None => Change {
                result: AnnounceResult::Unknown,
                changed: false,
            },
        }
    }

    /// Marks upstreams whose lease lapsed and tells whether anything changed.
    pub(super) fn expire(&mut self, now: Moment) -> bool {
        let mut changed = false;
        for lease in self.leases.values_mut() {
            if now >= lease.until && lease.upstream.state != UpstreamState::Lost {
                lease.upstream.state = UpstreamState::Lost;
                changed = true;
            }
        }
        let before = self.leases.len();
        self.leases.retain(|_, lease| {
            lease.upstream.state != UpstreamState::Lost || now < lease.until + LOST_RETENTION
        });
        changed || self.leases.len() != before
    }

    /// Lists the upstreams.
    pub(super) fn upstreams(&self) -> Upstreams {
        self.leases.values().map(|l| l.upstream.clone()).collect()
    }
}
