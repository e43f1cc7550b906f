//! Checks requests against the configuration.
//!
//! The entry, the daemon that the caller connected to, has checked a request already, but its
//! configuration may be older than that of this daemon.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_catalog::{Catalog, Residency, RoutedRequest};
use cornelvalve_kernel::{Mailbox, Tick};
use cornelvalve_model::{DomainState, FailureDomain, Moment, Reason, Refusal, Region, Revision};
use cornelvalve_policy::HomeRegions;

use super::AdmissionRequest;
use super::confirm::Confirmation;
use crate::catalog::CatalogMessage;

/// Result alias of this module.
type Result<T> = std::result::Result<T, Refusal>;

/// Lateness of a tick above which the process counts as paused; longer than scheduling delays on a
/// fully loaded VM.
pub(super) const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Checks requests against the catalog, which is the configuration at one revision, and refuses all
/// of them while it may be out of date.
pub(super) struct RequestValidator {
    region: Region,
    domain: FailureDomain,
    catalog: Option<Arc<Catalog>>,
    confirmation: Confirmation,
    /// Whether [`Self::detect_pause`] has detected a pause since the last tick.
    pause_detected: bool,
    last_tick: Moment,
}

impl RequestValidator {
    /// Creates a validator, which refuses every request until it has a configuration.
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
            pause_detected: false,
            last_tick: now,
        }
    }

    /// Checks a request against the configuration.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request must not run on this VM.
    pub(super) fn check(&self, request: &AdmissionRequest) -> Result<()> {
        if self.confirmation.is_pending() {
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
            team: request.team.as_ref(),
            service: &request.service,
            route: request.route.as_ref(),
            revision: request.revision,
        };
        let refusal_reason = catalog.refusal_reason(&routed, &self.region);
        refusal_reason.map_or(Ok(()), |reason| Err(Refusal::not_run(reason)))
    }

    /// Returns the home regions of a request: those that may serve it or know about it according to
    /// the residency rules.
    pub(super) fn home_regions(&self, request: &AdmissionRequest) -> HomeRegions {
        let Some(catalog) = &self.catalog else {
            return HomeRegions::Only(Default::default());
        };
        match catalog.residency(
            request.team.as_ref(),
            &request.service,
            request.route.as_ref(),
        ) {
            Residency::Anywhere => HomeRegions::Any,
            Residency::Regions(regions) => HomeRegions::Only(regions),
            Residency::Nowhere => HomeRegions::Only(Default::default()),
        }
    }

    /// Updates the configuration and returns whether that returns the failure domain to service.
    pub(super) fn set_catalog(&mut self, catalog: Arc<Catalog>) -> bool {
        // After a restart the catalog service may publish older revisions until it has read the
        // log.
        let is_older = |held: &Arc<Catalog>| held.revision() > catalog.revision();
        if self.catalog.as_ref().is_some_and(is_older) {
            return false;
        }
        let was_out = self.is_out_of_service();
        self.catalog = Some(catalog);
        was_out && !self.is_out_of_service()
    }

    /// Returns whether operators have taken the failure domain of this VM out of service.
    fn is_out_of_service(&self) -> bool {
        let state = |c: &Arc<Catalog>| c.domain_state(&self.domain);
        self.catalog.as_ref().map(state) == Some(DomainState::OutOfService)
    }

    /// Handles a confirmation and returns whether it answers the pending confirmation query.
    pub(super) fn confirm(&mut self, confirmation_id: u64) -> bool {
        self.confirmation.complete(confirmation_id)
    }

    /// Detects a pause by the time since the last tick, and sends a confirmation query.
    ///
    /// A message may be handled before the overdue tick. `last_tick` is therefore set to `now`, so
    /// that the same pause is not detected again.
    pub(super) fn detect_pause(&mut self, now: Moment) {
        if now.since(self.last_tick) > PAUSE_THRESHOLD {
            self.last_tick = now;
            self.pause_detected = true;
            self.confirmation.query(now);
        }
    }

    /// Detects a pause by the lateness of a tick, and repeats an unanswered confirmation query.
    pub(super) fn tick(&mut self, tick: Tick) {
        self.detect_pause(tick.now);
        // The monotonic clock behind `now` can stop while a VM is paused. The timer therefore also
        // compares the wall clock, and reports such a pause only in the lateness of the tick. If
        // the pause was detected before, the query has been sent already.
        if tick.lateness > PAUSE_THRESHOLD && !self.pause_detected {
            self.confirmation.query(tick.now);
        }
        self.pause_detected = false;
        self.last_tick = tick.now;
        self.confirmation.tick(tick.now);
    }
}
