//! Detects changes that take a failure domain out of service or return it to service.

use cornelvalve_api::Event;
use cornelvalve_catalog::Catalog;
use cornelvalve_model::{Change, DomainState, FailureDomain, LogEntry, Operation};

/// State of the failure domain that a configuration record edits.
#[derive(Clone, Copy, Debug)]
pub(super) struct EditedDomain<'a> {
    domain: &'a FailureDomain,
    state: DomainState,
}

impl<'a> EditedDomain<'a> {
    /// Returns the failure domain that `entry` edits with its state in `catalog`, or `None` if
    /// `entry` edits something else.
    pub(super) fn of(catalog: &Catalog, entry: Option<&'a LogEntry>) -> Option<Self> {
        match entry {
            Some(LogEntry::Change(Change {
                operation: Operation::PutDomain { domain, .. },
                ..
            })) => Some(Self {
                domain,
                state: catalog.domain_state(domain),
            }),
            _ => None,
        }
    }
}

/// Returns the timeline event for a failure domain whose state changed, or `None` if it did not.
pub(super) fn domain_event(
    before: Option<EditedDomain<'_>>,
    after: Option<EditedDomain<'_>>,
) -> Option<Event> {
    let (before, after) = (before?, after?);
    let domain = after.domain.clone();
    match (before.state, after.state) {
        (DomainState::InService, DomainState::OutOfService) => {
            Some(Event::DomainTakenOut { domain })
        }
        (DomainState::OutOfService, DomainState::InService) => {
            Some(Event::DomainReturned { domain })
        }
        _ => None,
    }
}
