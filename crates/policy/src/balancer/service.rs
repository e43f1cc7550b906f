//! Endpoints of one service: eligibility, locality and the bound on ejections.

use std::time::Duration;

use cornelvalve_model::{Moment, Reason, Refusal};
use smallvec::SmallVec;

use super::endpoint::EndpointState;
use super::subset::tier_of;
use super::{
    AttemptReport, BalancerSettings, ChoiceRequest, Endpoint, EndpointView, Locality, candidate,
};
use crate::Candidate;

/// Indexes of endpoints; a subset has 24 at most by default.
pub(crate) type Indexes = SmallVec<[usize; 24]>;

/// Order in which groups of endpoints are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    OwnDomain,
    OwnRegion,
    /// Queueing in the region is preferred to the metered link while it meets the deadline.
    OwnRegionQueued,
    Remote,
    RemoteQueued,
    /// The estimate says too late, but the guard decides exactly.
    OwnRegionLate,
    RemoteLate,
}

fn preference(
    state: &EndpointState,
    request: &ChoiceRequest<'_>,
    locality: &Locality,
    settings: &BalancerSettings,
    now: Moment,
) -> Preference {
    let tier = tier_of(&state.endpoint, locality);
    let timely = state.answers_in(request.time_left, settings, now);
    let free = !state.is_saturated(settings, now);
    match (tier, timely, free) {
        (0, true, true) => Preference::OwnDomain,
        (1, true, true) => Preference::OwnRegion,
        (0 | 1, true, false) => Preference::OwnRegionQueued,
        (0 | 1, false, _) => Preference::OwnRegionLate,
        (_, true, true) => Preference::Remote,
        (_, true, false) => Preference::RemoteQueued,
        (_, false, _) => Preference::RemoteLate,
    }
}

#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    endpoints: Vec<EndpointState>,
}

impl ServiceState {
    /// Replaces the endpoints and keeps the state of those that did not restart.
    pub(crate) fn replace(
        &mut self,
        subset: &[&Endpoint],
        still_running: impl Fn(&Endpoint) -> usize,
    ) {
        let mut old = std::mem::take(&mut self.endpoints);
        for endpoint in subset {
            let same = |s: &EndpointState| {
                s.endpoint.vm == endpoint.vm && s.endpoint.incarnation == endpoint.incarnation
            };
            let state = match old.iter().position(same) {
                Some(index) => {
                    let mut state = old.swap_remove(index);
                    state.endpoint.clone_from(endpoint);
                    state
                }
                None => {
                    let running = u32::try_from(still_running(endpoint)).unwrap_or(u32::MAX);
                    EndpointState::new(endpoint, running)
                }
            };
            self.endpoints.push(state);
        }
    }

    /// Returns the endpoints to which rules and earlier attempts allow sending the request.
    pub(crate) fn eligible(&self, request: &ChoiceRequest<'_>) -> Result<Indexes, Refusal> {
        let mut reason = Reason::NoUpstream;
        let mut eligible = Indexes::new();
        for (index, state) in self.endpoints.iter().enumerate() {
            let endpoint = &state.endpoint;
            if request
                .allowed_regions
                .is_some_and(|a| !a.contains(&endpoint.region))
            {
                reason = Reason::HomeRegion;
            } else if request.excluded_domains.contains(&endpoint.domain) {
                reason = Reason::DomainOut;
            } else if !request.excluded_vms.contains(&endpoint.vm) {
                eligible.push(index);
            }
        }
        if eligible.is_empty() {
            return Err(Refusal::not_run(reason));
        }
        Ok(eligible)
    }

    /// Narrows the eligible endpoints to the nearest ones that can answer in time.
    pub(crate) fn tier(
        &self,
        eligible: &Indexes,
        request: &ChoiceRequest<'_>,
        locality: &Locality,
        settings: &BalancerSettings,
        now: Moment,
    ) -> Indexes {
        let ranks: SmallVec<[(usize, Preference); 24]> = eligible
            .iter()
            .filter(|i| self.endpoints[**i].is_usable(now))
            .map(|i| {
                let state = &self.endpoints[*i];
                (*i, preference(state, request, locality, settings, now))
            })
            .collect();
        match ranks.iter().map(|(_, rank)| *rank).min() {
            Some(best) => {
                let kept = ranks.iter().filter(|(_, rank)| *rank == best);
                kept.map(|(i, _)| *i).collect()
            }
            // All are ejected or refuse; one of them may have recovered.
            None => eligible.clone(),
        }
    }

    pub(crate) fn candidates(
        &self,
        indexes: &Indexes,
        settings: &BalancerSettings,
        now: Moment,
    ) -> SmallVec<[Candidate<'_>; 24]> {
        let median = self.median_latency();
        indexes
            .iter()
            .map(|i| candidate(&self.endpoints[*i], median, settings, now))
            .collect()
    }

    /// Counts an attempt at an endpoint and returns where it goes.
    pub(crate) fn start_attempt(&mut self, index: usize, now: Moment) -> Endpoint {
        let state = &mut self.endpoints[index];
        state.start_attempt(now);
        state.endpoint.clone()
    }

    pub(crate) fn finish(
        &mut self,
        is_at: impl Fn(&Endpoint) -> bool,
        report: &AttemptReport,
        settings: &BalancerSettings,
        now: Moment,
    ) {
        let median = self.median_latency();
        let may_eject = self.may_eject(settings, now);
        let state = self.endpoints.iter_mut().find(|s| is_at(&s.endpoint));
        if let Some(state) = state {
            state.finish(report, median, may_eject, settings, now);
        }
    }

    /// Tells whether one more endpoint may be ejected: the first one if another remains, further
    /// ones within the share.
    fn may_eject(&self, settings: &BalancerSettings, now: Moment) -> bool {
        let ejected = self.endpoints.iter().filter(|s| s.is_ejected(now)).count();
        let share = (ejected + 1) as f64 / self.endpoints.len() as f64;
        let is_first_of_several = ejected == 0 && self.endpoints.len() > 1;
        is_first_of_several || share <= settings.ejected_share
    }

    /// Returns the lower median of the latencies of endpoints that have answered.
    fn median_latency(&self) -> Option<Duration> {
        let mut latencies: SmallVec<[Duration; 24]> = self
            .endpoints
            .iter()
            .filter_map(EndpointState::latency)
            .collect();
        if latencies.is_empty() {
            return None;
        }
        let middle = (latencies.len() - 1) / 2;
        let (_, median, _) = latencies.select_nth_unstable(middle);
        Some(*median)
    }

    pub(crate) fn views(&self, now: Moment) -> Vec<EndpointView<'_>> {
        self.endpoints
            .iter()
            .map(|s| EndpointView {
                endpoint: &s.endpoint,
                outstanding: s.outstanding,
                ejected: s.is_ejected(now),
            })
            .collect()
    }
}
