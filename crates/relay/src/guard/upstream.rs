//! What the guard believes of the process beside it.

use cornelvalve_model::{Moment, UpstreamState};
use std::sync::Arc;

use crate::ports::{AnnouncedState, CheckIn, HealthReport};

/// Upstream process as last heard of.
#[derive(Clone, Debug)]
pub(super) struct UpstreamProcess {
    /// Identifier of the process.
    pub(super) instance: Arc<str>,
    /// Start in Unix milliseconds; zero if it is known from its health path only.
    pub(super) started_ms: u64,
    /// Number of its last check-in.
    sequence: u64,
    /// State.
    pub(super) state: UpstreamState,
    /// Whether it announced that it leaves; nothing takes that back.
    leaving: bool,
    /// Moment until which it is cold.
    pub(super) cold_until: Moment,
}

/// What a check-in changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CheckInEffect {
    /// It is older than what is known.
    Stale,
    /// It renews what is known.
    Renewed,
    /// It changes the state of the process or names another process.
    Changed,
}

impl UpstreamProcess {
    /// Creates the process of a first check-in.
    pub(super) fn announced(check_in: &CheckIn, now: Moment) -> Self {
        let leaving = check_in.state != AnnouncedState::Ready;
        Self {
            instance: Arc::from(check_in.instance.as_ref()),
            started_ms: check_in.started_ms.unwrap_or_default(),
            sequence: check_in.sequence,
            state: state_of(check_in.state),
            leaving,
            cold_until: now + check_in.cold_remaining,
        }
    }

    /// Creates a process of which only the health path is known.
    pub(super) fn probed(instance: &str, report: &HealthReport, now: Moment) -> Self {
        let state = if report.healthy {
            UpstreamState::Ready
        } else {
            UpstreamState::Draining
        };
        Self {
            instance: Arc::from(instance),
            started_ms: 0,
            sequence: 0,
            state,
            leaving: false,
            cold_until: now + report.cold_remaining.unwrap_or_default(),
        }
    }

    /// Takes a check-in into account.
    pub(super) fn check_in(&mut self, check_in: &CheckIn, now: Moment) -> CheckInEffect {
        if self.is_newer_process(check_in) {
            *self = Self::announced(check_in, now);
            return CheckInEffect::Changed;
        }
        let same = *self.instance == *check_in.instance;
        let gone = check_in.state == AnnouncedState::Gone;
        if !same || (!gone && check_in.sequence <= self.sequence) {
            return CheckInEffect::Stale;
        }
        if let Some(started_ms) = check_in.started_ms {
            self.started_ms = started_ms;
        }
        self.sequence = self.sequence.max(check_in.sequence);
        self.cold_until = self.cold_until.max(now + check_in.cold_remaining);
        self.leaving |= check_in.state != AnnouncedState::Ready;
        let state = match check_in.state {
            AnnouncedState::Gone => UpstreamState::Lost,
            _ if self.leaving => UpstreamState::Draining,
            other => state_of(other),
        };
        if state == self.state {
            return CheckInEffect::Renewed;
        }
        self.state = state;
        CheckInEffect::Changed
    }

    /// Tells whether a check-in comes from a process that started later.
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

    /// Tells whether the process takes requests.
    pub(super) fn is_ready(&self) -> bool {
        self.state == UpstreamState::Ready
    }

    /// Tells whether the process announced that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }
}

fn state_of(state: AnnouncedState) -> UpstreamState {
    match state {
        AnnouncedState::Ready => UpstreamState::Ready,
        AnnouncedState::Draining => UpstreamState::Draining,
        AnnouncedState::Gone => UpstreamState::Lost,
    }
}
