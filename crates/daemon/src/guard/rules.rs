//! Rules that the guard enforces itself, because an entry may hold an older configuration.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_catalog::{Catalog, Residency};
use cornelvalve_kernel::Tick;
use cornelvalve_model::{DomainState, FailureDomain, Moment, Reason, Refusal, Region, Revision};
use cornelvalve_policy::HomeRegions;

use super::Call;

/// Result alias of this module.
type Result<T> = std::result::Result<T, Refusal>;

/// Delay of a tick from which the process counts as paused; longer than any delay under full load.
pub(super) const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Time after a pause for which the guard waits for a confirmed configuration before it goes on
/// without one, so that an outage of log and peers does not stop service.
const CONFIRM_WAIT: Duration = Duration::from_secs(2);

/// Configuration as far as it binds this place, and whether it may be out of date.
pub(super) struct Rules {
    region: Region,
    domain: FailureDomain,
    catalog: Option<Arc<Catalog>>,
    unconfirmed_until: Option<Moment>,
    last_tick: Moment,
}

impl Rules {
    /// Creates rules that refuse everything until there is a configuration.
    pub(super) fn new(region: Region, domain: FailureDomain, now: Moment) -> Self {
        Self {
            region,
            domain,
            catalog: None,
            unconfirmed_until: None,
            last_tick: now,
        }
    }

    /// Checks a request against the configuration.
    pub(super) fn check(&self, call: &Call) -> Result<()> {
        if self.unconfirmed_until.is_some() {
            return Err(Refusal::not_run(Reason::StaleConfiguration));
        }
        let catalog = self.catalog.as_deref();
        let catalog = catalog
            .filter(|c| c.revision() > Revision(0))
            .ok_or(Refusal::not_run(Reason::NoConfiguration))?;
        if catalog.domain_state(&self.domain) == DomainState::OutOfService {
            return Err(Refusal::not_run(Reason::DomainOut));
        }
        let residency = catalog.residency(call.team.as_ref(), &call.service, call.route.as_ref());
        if residency.allows(&self.region) {
            Ok(())
        } else {
            Err(Refusal::not_run(Reason::HomeRegion))
        }
    }

    /// Returns the regions that may know about a request.
    pub(super) fn home_regions(&self, call: &Call) -> HomeRegions {
        let Some(catalog) = &self.catalog else {
            return HomeRegions::Only(Default::default());
        };
        match catalog.residency(call.team.as_ref(), &call.service, call.route.as_ref()) {
            Residency::Anywhere => HomeRegions::Any,
            Residency::Regions(regions) => HomeRegions::Only(regions),
            Residency::Nowhere => HomeRegions::Only(Default::default()),
        }
    }

    /// Takes a newer configuration.
    pub(super) fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        self.catalog = Some(catalog);
    }

    /// Ends the wait after a pause.
    pub(super) fn confirm(&mut self) {
        self.unconfirmed_until = None;
    }

    /// Notices a pause before the first tick after it arrives.
    pub(super) fn note_pause(&mut self, now: Moment) {
        if now.since(self.last_tick) > PAUSE_THRESHOLD && self.unconfirmed_until.is_none() {
            self.unconfirmed_until = Some(now + CONFIRM_WAIT);
        }
    }

    /// Notices a pause by the delay of a tick, and the end of the wait after one.
    pub(super) fn tick(&mut self, tick: Tick) {
        if tick.late > PAUSE_THRESHOLD {
            self.unconfirmed_until = Some(tick.now + CONFIRM_WAIT);
        }
        self.note_pause(tick.now);
        self.last_tick = tick.now;
        let waited = |until| tick.now >= until;
        if self.unconfirmed_until.is_some_and(waited) {
            self.unconfirmed_until = None;
        }
    }
}
