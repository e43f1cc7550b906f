//! State of the local upstream process, derived from its check-ins and its health path.
//!
//! A check-in is a report that the upstream sends to its daemon: its state, its address and how
//! long it stays cold after its start.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_model::{Moment, UpstreamState};
use cornelvalve_policy::NamedLimit;

use crate::ports::{AnnouncedState, CheckIn, HealthReport};

/// Upstream process, as last reported.
#[derive(Clone, Debug)]
pub(super) struct UpstreamProcess {
    /// Identifier that the process chose for itself.
    pub(super) instance: Arc<str>,
    /// Start of the process in Unix milliseconds; zero if unknown, for example because only the
    /// health path has reported the process.
    pub(super) started_ms: u64,
    /// Sequence number of its last check-in.
    sequence: u64,
    /// State that other daemons see.
    pub(super) state: UpstreamState,
    /// Whether it announced its shutdown. A later check-in of the same process cannot undo that.
    leaving: bool,
    /// Moment until which the process is known to be cold; in the past if it is not.
    pub(super) cold_until: Moment,
    /// Latest moment at which the process was certainly warm. Check-ins do not tell that, because
    /// they may arrive seconds late.
    pub(super) warm_at: Option<Moment>,
    /// Lower bound of the moment at which the process becomes warm, from the responses of its
    /// health path that said that it was cold.
    pub(super) earliest_warm: Option<Moment>,
    /// Moment at which something other than the health path last told that the process is cold.
    /// Only a response to a later probe may say otherwise.
    cold_learned: Moment,
    /// Limit on its requests per second that its responses name.
    pub(super) limit: NamedLimit,
}

/// Effect of a check-in on the known process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CheckInEffect {
    /// The check-in is older than the known state and was ignored.
    Stale,
    /// The check-in confirms the known state.
    Renewed,
    /// The state of the process changed, or another process took its place.
    Changed,
}

impl UpstreamProcess {
    /// Creates the process that a check-in describes.
    pub(super) fn from_check_in(check_in: &CheckIn, now: Moment) -> Self {
        let leaving = check_in.state != AnnouncedState::Ready;
        let mut process = Self {
            instance: Arc::from(check_in.instance.as_ref()),
            started_ms: check_in.started_ms.unwrap_or_default(),
            sequence: check_in.sequence,
            state: upstream_state(check_in.state),
            leaving,
            cold_until: Moment::default(),
            warm_at: None,
            earliest_warm: None,
            cold_learned: Moment::default(),
            limit: NamedLimit::default(),
        };
        process.extend_cold(check_in.cold_remaining, now);
        process
    }

    /// Creates a process that has been seen through its health path only. An unhealthy process
    /// counts as draining: it may finish its requests but gets no new ones. The probe was requested
    /// at `requested`.
    pub(super) fn from_probe(
        instance: &str,
        report: &HealthReport,
        requested: Moment,
        now: Moment,
    ) -> Self {
        let state = if report.healthy {
            UpstreamState::Ready
        } else {
            UpstreamState::Draining
        };
        let mut process = Self {
            instance: Arc::from(instance),
            started_ms: 0,
            sequence: 0,
            state,
            leaving: false,
            cold_until: Moment::default(),
            warm_at: None,
            earliest_warm: None,
            cold_learned: Moment::default(),
            limit: NamedLimit::default(),
        };
        process.apply_health(report, requested, now);
        process
    }

    /// Applies what the health path reported about the coldness of the process, in response to a
    /// probe that was requested at `requested`.
    ///
    /// A healthy process that names no remaining time is warm. An unhealthy one that names none has
    /// said nothing.
    pub(super) fn apply_health(&mut self, report: &HealthReport, requested: Moment, now: Moment) {
        let unsaid = report.healthy.then_some(Duration::ZERO);
        let Some(remaining) = report.cold_remaining.or(unsaid) else {
            return;
        };
        if !remaining.is_zero() {
            self.earliest_warm = self.earliest_warm.max(Some(requested + remaining));
        }
        if requested < self.cold_learned {
            // The response may be older than what is known.
            self.cold_until = self.cold_until.max(now + remaining);
            return;
        }
        self.cold_until = now + remaining;
        if remaining.is_zero() {
            self.warm_at = self.warm_at.max(Some(requested));
        }
    }

    /// Records that the process said in a response that it is leaving; returns whether that was not
    /// known. A later check-in cannot undo it.
    pub(super) fn set_leaving(&mut self) -> bool {
        if self.state == UpstreamState::Ready {
            self.state = UpstreamState::Draining;
        }
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Treats the process as cold for at least this time from now on.
    pub(super) fn extend_cold(&mut self, remaining: Duration, now: Moment) {
        if !remaining.is_zero() {
            self.cold_until = self.cold_until.max(now + remaining);
            self.cold_learned = now;
        }
    }

    /// Applies a check-in and returns its effect.
    pub(super) fn apply_check_in(&mut self, check_in: &CheckIn, now: Moment) -> CheckInEffect {
        if self.is_newer_process(check_in) {
            *self = Self::from_check_in(check_in, now);
            return CheckInEffect::Changed;
        }
        let same = *self.instance == *check_in.instance;
        let gone = check_in.state == AnnouncedState::Gone;
        // The last check-in of a process is always applied, whatever its sequence number.
        if !same || (!gone && check_in.sequence <= self.sequence) {
            return CheckInEffect::Stale;
        }
        if let Some(started_ms) = check_in.started_ms {
            self.started_ms = started_ms;
        }
        self.sequence = self.sequence.max(check_in.sequence);
        self.extend_cold(check_in.cold_remaining, now);
        self.leaving |= check_in.state != AnnouncedState::Ready;
        let state = match check_in.state {
            AnnouncedState::Gone => UpstreamState::Lost,
            _ if self.leaving => UpstreamState::Draining,
            other => upstream_state(other),
        };
        if state == self.state {
            return CheckInEffect::Renewed;
        }
        self.state = state;
        CheckInEffect::Changed
    }

    /// Returns whether a check-in comes from a process that started later than this one. If a start
    /// time is unknown, any other process counts as later, because it checked in later.
    fn is_newer_process(&self, check_in: &CheckIn) -> bool {
        if check_in.state == AnnouncedState::Gone {
            return false;
        }
        let same = *self.instance == *check_in.instance;
        match check_in.started_ms {
            Some(started_ms) if self.started_ms > 0 => started_ms > self.started_ms,
            _ => !same,
        }
    }

    /// Returns whether the process accepts requests.
    pub(super) fn is_ready(&self) -> bool {
        self.state == UpstreamState::Ready
    }

    /// Returns whether the process announced its shutdown.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }
}

/// Maps an announced state to the state that other daemons see. They do not distinguish a process
/// that has exited from one that cannot be reached.
fn upstream_state(state: AnnouncedState) -> UpstreamState {
    match state {
        AnnouncedState::Ready => UpstreamState::Ready,
        AnnouncedState::Draining => UpstreamState::Draining,
        AnnouncedState::Gone => UpstreamState::Lost,
    }
}
