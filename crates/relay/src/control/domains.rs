//! Tracks the failure domains out of service across restores of the store.
//!
//! A restored store may lack the record that took a domain out of service, which operators write
//! again some time later. Until then the domain stays out of service, but not without limit: its
//! return may be among the lost records too, and is not written again if no record needs it.

use std::time::Duration;

use cornelvalve_model::{FailureDomain, LogPosition, Moment, StoreEra};
use serde::{Deserialize, Serialize};

use crate::desired::DomainsOut;

/// Longest time for which a failure domain stays out of service that a restored store does not
/// list. Operators write lost records again within seconds.
const KEEP_TIME: Duration = Duration::from_secs(30);

/// Failure domains that a daemon keeps out of service, as sent to other daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeptDomains {
    /// Domains that were out of service in the previous era.
    pub(crate) kept: DomainsOut,
    /// Domains that records of the present era have named, which are therefore not kept.
    pub(crate) named: DomainsOut,
    /// Time for which the domains are kept.
    pub(crate) time_left: Duration,
}

/// Failure domains out of service, and up to which position of the log they are known.
#[derive(Debug, Default)]
pub(super) struct DomainTracker {
    position: LogPosition,
    /// Domains that the records up to `position` take out of service.
    listed: DomainsOut,
    /// Domains that were out of service in the previous era, and that no record of the era of
    /// `position` has named.
    kept: DomainsOut,
    /// Domains that records of the era of `position` have named.
    named: DomainsOut,
    /// Moment at which `kept` ends; `None` if the era has not changed recently.
    keep_until: Option<Moment>,
}

impl DomainTracker {
    /// Returns the position up to which the domains are known.
    pub(super) fn position(&self) -> LogPosition {
        self.position
    }

    /// Returns all domains out of service, in ascending order.
    pub(super) fn domains_out(&self) -> DomainsOut {
        let kept = self.kept.iter().filter(|d| !self.listed.contains(d));
        let mut out: DomainsOut = self.listed.iter().chain(kept).cloned().collect();
        out.sort_unstable();
        out
    }

    /// Returns the domains that the records of the store take out of service.
    pub(super) fn listed(&self) -> &DomainsOut {
        &self.listed
    }

    /// Returns whether domains are kept out of service that the store does not list.
    pub(super) fn keeps_domains(&self) -> bool {
        !self.kept.is_empty()
    }

    /// Returns the moment at which [`DomainTracker::expire`] has an effect.
    pub(super) fn next_due(&self) -> Option<Moment> {
        self.keep_until
    }

    /// Returns the kept domains, for another daemon.
    pub(super) fn kept(&self, now: Moment) -> KeptDomains {
        KeptDomains {
            kept: self.kept.clone(),
            named: self.named.clone(),
            time_left: self.keep_until.map_or(Duration::ZERO, |k| k.since(now)),
        }
    }

    /// Applies the complete list of domains that records up to `position` take out of service. An
    /// older list than the known one has no effect.
    pub(super) fn set_listed(&mut self, position: LogPosition, listed: DomainsOut, now: Moment) {
        if position < self.position {
            return;
        }
        if position.era > self.position.era {
            self.enter_era(now);
        }
        self.position = position;
        self.kept.retain(|d| !listed.contains(d));
        self.listed = listed;
    }

    /// Keeps all domains out of service until records of the new era name them.
    fn enter_era(&mut self, now: Moment) {
        self.kept = self.domains_out();
        self.named.clear();
        self.keep_until = Some(now + KEEP_TIME);
    }

    /// Applies the kept domains of a daemon whose position has this era.
    pub(super) fn merge_kept(&mut self, era: StoreEra, other: &KeptDomains, now: Moment) {
        if era != self.position.era || other.time_left.is_zero() {
            return;
        }
        for domain in &other.named {
            self.record_named(domain);
        }
        let known = |d: &&FailureDomain| {
            self.named.contains(d) || self.listed.contains(d) || self.kept.contains(d)
        };
        let added: DomainsOut = other.kept.iter().filter(|d| !known(d)).cloned().collect();
        if added.is_empty() {
            return;
        }
        let until = Some(now + other.time_left);
        self.keep_until = if self.kept.is_empty() {
            until
        } else {
            self.keep_until.max(until)
        };
        self.kept.extend(added);
    }

    /// Applies a record that takes a domain out of service or returns it.
    pub(super) fn apply_record(&mut self, domain: FailureDomain, out: bool) {
        self.record_named(&domain);
        self.listed.retain(|d| *d != domain);
        if out {
            self.listed.push(domain);
        }
    }

    /// Moves the position after the records up to it were applied.
    pub(super) fn advance(&mut self, position: LogPosition) {
        self.position = self.position.max(position);
    }

    fn record_named(&mut self, domain: &FailureDomain) {
        self.kept.retain(|d| d != domain);
        if self.keep_until.is_some() && !self.named.contains(domain) {
            self.named.push(domain.clone());
        }
    }

    /// Ends the time for which domains are kept, if it has passed.
    pub(super) fn expire(&mut self, now: Moment) {
        if self.keep_until.is_some_and(|until| until <= now) {
            self.keep_until = None;
            self.kept.clear();
            self.named.clear();
        }
    }
}

#[cfg(test)]
mod tests;
