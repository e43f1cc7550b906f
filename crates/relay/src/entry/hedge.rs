//! Attempts of a request, with a second one in parallel if the first takes long.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_model::VmName;
use cornelvalve_policy::AttemptResult;
use smallvec::SmallVec;
use tokio::time::{Instant, sleep_until};

use super::forward::ForwardedRequest;
use crate::desired::IdempotencyLevel;
use crate::hop::HopOutcome;
use crate::messages::SelectedUpstream;
use crate::ports::Cause;

/// Time reserved for a hedge before the latency objective, as a multiple of the baseline (the
/// duration while the upstream is not slowed down).
const HEDGE_RESERVE_FACTOR: f64 = 1.5;

/// Minimum delay of a hedge, as a multiple of the baseline; by then, most requests have finished.
const MIN_HEDGE_DELAY_FACTOR: f64 = 2.0;

/// Minimum time that a hedge is given to finish, even if the latency objective is closer or already
/// missed.
const MIN_HEDGE_TIME: Duration = Duration::from_millis(150);

/// Reason for a second attempt while the first one is still in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SecondAttemptReason {
    /// The first attempt takes long, so the request is also sent to another upstream.
    Hedge,
    /// The daemon of the first attempt has not acknowledged the request in time.
    NotAcknowledged,
}

impl ForwardedRequest<'_> {
    /// Makes an attempt at the selected upstream and returns its outcome with the VM.
    ///
    /// If the attempt takes long or is not acknowledged in time, and the request is idempotent, a
    /// second attempt is made in parallel. The outcome is then that of the first success, or of the
    /// attempt that ended last.
    pub(super) async fn attempt(&mut self, selected: SelectedUpstream) -> (VmName, HopOutcome) {
        let vm = selected.vm.clone();
        log::info!(event = "placed", request = self.attempt_id.as_deref(), vm = vm.as_str(), expected_ms = selected.expected.as_millis() as u64, arrivals = self.attempts.upstream_attempts(); "attempt started");
        let start = Instant::now();
        let acknowledged = selected.acknowledged.subscribe();
        let delays = self.second_attempt_delays(&selected);
        let request = self.hop_request(&selected, selected.expected_elsewhere);
        let (entry, resolved) = (self.entry, Arc::clone(&self.resolved));
        let mut first = Box::pin(entry.attempt(selected, request, &resolved));
        for (after, reason) in delays {
            tokio::select! {
                outcome = &mut first => return (vm, outcome),
                () = sleep_until(start + after) => {}
            }
            if reason == SecondAttemptReason::NotAcknowledged && *acknowledged.borrow() {
                continue;
            }
            // Without another usable upstream, the first attempt continues alone.
            if let Ok(second) = self.select_second(&vm, reason).await {
                let second_vm = second.vm.clone();
                // Despite its name, the event is logged for both reasons.
                log::info!(event = "hedged", request = self.attempt_id.as_deref(), vm = second_vm.as_str(), after_ms = after.as_millis() as u64, no_sign = reason == SecondAttemptReason::NotAcknowledged; "second attempt started");
                let request = self.hop_request(&second, None);
                let second = Box::pin(entry.attempt(second, request, &resolved));
                return self.race((vm, first), (second_vm, second)).await;
            }
        }
        (vm, first.await)
    }

    /// Returns the first successful outcome of two attempts with its VM, or, if both fail, the
    /// outcome of the attempt that ends last.
    async fn race<F>(&mut self, first: (VmName, F), second: (VmName, F)) -> (VmName, HopOutcome)
    where
        F: Future<Output = HopOutcome> + Unpin,
    {
        let ((vm, mut first), (second_vm, mut second)) = (first, second);
        let (ended_vm, outcome, other_vm, other) = tokio::select! {
            outcome = &mut first => (vm, outcome, second_vm, second),
            outcome = &mut second => (second_vm, outcome, vm, first),
        };
        if matches!(&outcome, HopOutcome::Answered(response) if !response.failed) {
            return (ended_vm, outcome);
        }
        // Unless a daemon refused it, the attempt that ended first may have run, which counts
        // against the limit of the route.
        if !matches!(
            outcome,
            HopOutcome::NotRun {
                reached_upstream: false,
                ..
            }
        ) {
            self.attempts.record(ended_vm, AttemptResult::MayHaveRun);
        }
        (other_vm, other.await)
    }

    /// Returns the delays after which a second attempt is considered, in ascending order; empty if
    /// none is allowed.
    fn second_attempt_delays(
        &self,
        selected: &SelectedUpstream,
    ) -> SmallVec<[(Duration, SecondAttemptReason); 2]> {
        let attempts = u32::from(self.resolved.route.max_attempts);
        // Attempts that reached an upstream count against the limit of the route.
        let left = attempts.saturating_sub(u32::from(self.attempts.upstream_attempts()));
        let mut delays = SmallVec::new();
        if self.resolved.route.idempotency != IdempotencyLevel::Idempotent || left < 2 {
            return delays;
        }
        delays.push((self.hedge_delay(selected), SecondAttemptReason::Hedge));
        if selected.addr.is_some() {
            delays.push((selected.ack_timeout, SecondAttemptReason::NotAcknowledged));
        }
        delays.sort_by_key(|(after, _)| *after);
        delays
    }

    /// Returns the delay of a hedge: the latest time at which it is still expected to meet the
    /// latency objective, but at least [`MIN_HEDGE_DELAY_FACTOR`] times the baseline.
    fn hedge_delay(&self, selected: &SelectedUpstream) -> Duration {
        let reserve = selected.baseline.mul_f64(HEDGE_RESERVE_FACTOR);
        let in_time = self.objective_left().saturating_sub(reserve);
        in_time.max(selected.baseline.mul_f64(MIN_HEDGE_DELAY_FACTOR))
    }

    /// Selects the upstream of a second attempt, on another VM than the first one.
    async fn select_second(
        &self,
        first: &VmName,
        reason: SecondAttemptReason,
    ) -> Result<SelectedUpstream, Cause> {
        let mut query = self.selection_query();
        query.tried.push(first.clone());
        match reason {
            SecondAttemptReason::Hedge => {
                query.hedge_within = Some(self.objective_left().max(MIN_HEDGE_TIME))
            }
            // The first attempt may have reached its upstream, so the second one is charged to the
            // retry budget like any other retry.
            SecondAttemptReason::NotAcknowledged => query.is_retry = true,
        }
        self.query_router(query).await
    }
}
