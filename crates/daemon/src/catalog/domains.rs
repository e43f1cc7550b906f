//! Events of failure domains that leave or return to service.

use cornelvalve_api::Event;
use cornelvalve_catalog::Catalog;
use cornelvalve_model::{Change, DomainState, FailureDomain, LogEntry, Operation};

/// State of the failure domain that a record edits.
#[derive(Clone, Copy, Debug)]
pub(super) struct DomainView<'a> {
    domain: &'a FailureDomain,
    state: DomainState,
}

impl<'a> DomainView<'a> {
    /// Returns the present state if the record edits a failure domain.
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

/// Returns the event if the state of the failure domain changed.
pub(super) fn domain_event(
    before: Option<DomainView<'_>>,
    after: Option<DomainView<'_>>,
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
