//! Rules that the guard enforces itself, because an entry may hold an older configuration.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_catalog::{Catalog, Residency, RoutedRequest};
use cornelvalve_kernel::{Mailbox, Tick};
use cornelvalve_model::{DomainState, FailureDomain, Moment, Reason, Refusal, Region, Revision};
use cornelvalve_policy::HomeRegions;

use super::Call;
use super::confirm::Confirmation;
use crate::catalog::CatalogMessage;

/// Result alias of this module.
type Result<T> = std::result::Result<T, Refusal>;

/// Delay of a tick from which the process counts as paused; longer than any delay under full load.
pub(super) const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Configuration as far as it binds this place, and whether it may be out of date.
pub(super) struct Rules {
    region: Region,
    domain: FailureDomain,
    catalog: Option<Arc<Catalog>>,
    confirmation: Confirmation,
    /// Whether a pause since the last tick was noted before that tick.
    pause_noted: bool,
    last_tick: Moment,
}

impl Rules {
    /// Creates rules that refuse everything until there is a configuration.
    pub(super) fn new(
        region: Region,
        domain: FailureDomain,
        catalog: Mailbox<CatalogMessage>,
        now: Moment,
    ) -> Self {
        Self {
            region,
            domain,
            catalog: None,
            confirmation: Confirmation::new(catalog),
            pause_noted: false,
            last_tick: now,
        }
    }

    /// Checks a request against the configuration.
    pub(super) fn check(&self, call: &Call) -> Result<()> {
        if self.confirmation.is_open() {
            return Err(Refusal::not_run(Reason::StaleConfiguration));
        }
        let catalog = self.catalog.as_deref();
        let catalog = catalog
            .filter(|c| c.revision() > Revision(0))
            .ok_or(Refusal::not_run(Reason::NoConfiguration))?;
        if catalog.domain_state(&self.domain) == DomainState::OutOfService {
            return Err(Refusal::not_run(Reason::DomainOut));
        }
        let routed = RoutedRequest {
            team: call.team.as_ref(),
            service: &call.service,
            route: call.route.as_ref(),
            revision: call.revision,
        };
        let refusal_reason = catalog.refusal_reason(&routed, &self.region);
        refusal_reason.map_or(Ok(()), |reason| Err(Refusal::not_run(reason)))
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

    /// Takes a newer configuration and tells whether it returns the failure domain to service.
    pub(super) fn set_catalog(&mut self, catalog: Arc<Catalog>) -> bool {
        // A restarted catalog service may publish an older state until it has caught up.
        let is_older = |held: &Arc<Catalog>| held.revision() > catalog.revision();
        if self.catalog.as_ref().is_some_and(is_older) {
            return false;
        }
        let was_out = self.is_out();
        self.catalog = Some(catalog);
        was_out && !self.is_out()
    }

    fn is_out(&self) -> bool {
        let state = |c: &Arc<Catalog>| c.domain_state(&self.domain);
        self.catalog.as_ref().map(state) == Some(DomainState::OutOfService)
    }

    /// Takes an answer of the catalog and tells whether it ends the wait after a pause.
    pub(super) fn confirm(&mut self, confirmation_id: u64) -> bool {
        self.confirmation.end(confirmation_id)
    }

    /// Notices a pause before the first tick after it arrives; the moment then counts as a tick, so
    /// that one pause asks once.
    pub(super) fn note_pause(&mut self, now: Moment) {
        if now.since(self.last_tick) > PAUSE_THRESHOLD {
            self.last_tick = now;
            self.pause_noted = true;
            self.confirmation.ask(now);
        }
    }

    /// Notices a pause by the delay of a tick.
    pub(super) fn tick(&mut self, tick: Tick) {
        self.note_pause(tick.now);
        // A pause of the VM can show only as a late tick; one noted before must not ask twice.
        if tick.lateness > PAUSE_THRESHOLD && !self.pause_noted {
            self.confirmation.ask(tick.now);
        }
        self.pause_noted = false;
        self.last_tick = tick.now;
        self.confirmation.tick(tick.now);
    }
}
