//! Endpoints of one service: eligibility, order of preference and the limit on ejections.
//!
//! An endpoint is an upstream and its guard, the daemon beside it. The balancer runs in the entry,
//! the daemon that receives requests from callers.

use std::time::Duration;

use cornelvalve_model::{Moment, Reason, Refusal};
use smallvec::SmallVec;

use super::endpoint::EndpointState;
use super::subset::tier_of;
use super::{
    AttemptReport, BalancerSettings, ChoiceRequest, Endpoint, EndpointView, Locality, candidate,
};
use crate::Candidate;

/// Indexes into the endpoints of a service. The inline capacity is the default maximum size of the
/// subset of endpoints that an entry uses, which is 24.
pub(crate) type Indexes = SmallVec<[usize; 24]>;

/// Preference class of an endpoint, best first. Attempts go to the endpoints of the best class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    /// In the failure domain of the entry, and not saturated.
    OwnDomain,
    /// In another failure domain of the entry's region, and not saturated.
    OwnRegion,
    /// In the entry's region and saturated. Queueing there is preferred to sending the request over
    /// the metered link between regions, as long as the deadline can be met.
    OwnRegionQueued,
    /// In another region, and not saturated.
    Remote,
    /// In another region and saturated.
    RemoteQueued,
    /// In the entry's region, and probably unable to answer before the deadline. It is used as a
    /// last resort: the estimate may be wrong, and the guard, which knows the exact load, refuses
    /// what it cannot serve in time.
    OwnRegionLate,
    /// In another region, and probably unable to answer before the deadline.
    RemoteLate,
}

/// Returns the preference class of an endpoint for a request.
fn preference(
    state: &EndpointState,
    request: &ChoiceRequest<'_>,
    locality: &Locality,
    settings: &BalancerSettings,
    now: Moment,
) -> Preference {
    // 0 is the failure domain of the entry, 1 the rest of its region, 2 another region.
    let tier = tier_of(&state.endpoint, locality);
    let in_time = state.can_answer_within(request.time_left, settings, now);
    let has_capacity = !state.is_saturated(settings, now);
    match (tier, in_time, has_capacity) {
        (0, true, true) => Preference::OwnDomain,
        (1, true, true) => Preference::OwnRegion,
        (0 | 1, true, false) => Preference::OwnRegionQueued,
        (0 | 1, false, _) => Preference::OwnRegionLate,
        (_, true, true) => Preference::Remote,
        (_, true, false) => Preference::RemoteQueued,
        (_, false, _) => Preference::RemoteLate,
    }
}

/// State of the endpoints of one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    endpoints: Vec<EndpointState>,
}

impl ServiceState {
    /// Replaces the endpoints and keeps the state of those that did not restart.
    ///
    /// `count_running` returns the number of running attempts at an endpoint that has no state yet.
    pub(crate) fn replace(
        &mut self,
        subset: &[&Endpoint],
        count_running: impl Fn(&Endpoint) -> usize,
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
                    let running = u32::try_from(count_running(endpoint)).unwrap_or(u32::MAX);
                    EndpointState::new(endpoint, running)
                }
            };
            self.endpoints.push(state);
        }
    }

    /// Returns the endpoints that the request may be sent to, given its allowed regions, the
    /// excluded failure domains and the VMs already tried.
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

    /// Returns those of the eligible endpoints that are in the best preference class. Endpoints
    /// that are ejected, are being probed or recently refused requests are used only if there are
    /// no others.
    pub(crate) fn preferred(
        &self,
        eligible: &Indexes,
        request: &ChoiceRequest<'_>,
        locality: &Locality,
        settings: &BalancerSettings,
        now: Moment,
    ) -> Indexes {
        let ranked: SmallVec<[(usize, Preference); 24]> = eligible
            .iter()
            .filter(|i| self.endpoints[**i].is_available(now))
            .map(|i| {
                let state = &self.endpoints[*i];
                (*i, preference(state, request, locality, settings, now))
            })
            .collect();
        match ranked.iter().map(|(_, rank)| *rank).min() {
            Some(best) => {
                let kept = ranked.iter().filter(|(_, rank)| *rank == best);
                kept.map(|(i, _)| *i).collect()
            }
            // No endpoint is available, but one of them may have recovered by now.
            None => eligible.clone(),
        }
    }

    /// Returns the candidates for a picker, in the order of `indexes`.
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

    /// Counts an attempt as outstanding at the endpoint with this index and returns the endpoint.
    pub(crate) fn start_attempt(&mut self, index: usize, now: Moment) -> Endpoint {
        let state = &mut self.endpoints[index];
        state.start_attempt(now);
        state.endpoint.clone()
    }

    /// Updates the endpoint for which `is_target` returns true with the result of an attempt.
    pub(crate) fn finish(
        &mut self,
        is_target: impl Fn(&Endpoint) -> bool,
        report: &AttemptReport,
        settings: &BalancerSettings,
        now: Moment,
    ) {
        let median = self.median_latency();
        let may_eject = self.may_eject(settings, now);
        let state = self.endpoints.iter_mut().find(|s| is_target(&s.endpoint));
        if let Some(state) = state {
            state.finish(report, median, may_eject, settings, now);
        }
    }

    /// Returns whether one more endpoint may be ejected. The first ejection is allowed if another
    /// endpoint remains, further ones up to the maximum fraction.
    fn may_eject(&self, settings: &BalancerSettings, now: Moment) -> bool {
        let ejected = self.endpoints.iter().filter(|s| s.is_ejected(now)).count();
        let fraction = (ejected + 1) as f64 / self.endpoints.len() as f64;
        let is_first_with_others = ejected == 0 && self.endpoints.len() > 1;
        is_first_with_others || fraction <= settings.max_ejected
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

    /// Returns a snapshot of each endpoint's state.
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
