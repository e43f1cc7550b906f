//! Limits on the attempts of one request.
//!
//! A request is sent again only if it may be repeated or if the upstream stated that it has not run
//! it, and never to more upstreams than its route allows; otherwise retries would multiply the load
//! when upstreams fail some of their requests. Refusals by daemons cost the upstreams nothing and
//! have their own limit.

use smallvec::SmallVec;

use cornelvalve_model::VmName;

/// Number of refusals by daemons after which a request is not sent again and its caller gets a
/// refusal.
const MAX_REFUSALS: usize = 6;

/// Number of hand-backs after which the next daemon must not hand the request back, even if another
/// upstream is expected to finish it earlier.
const MAX_HAND_BACKS: usize = 3;

/// Result of an attempt, as far as it matters for further attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The request failed at an upstream, or it is unknown whether it ran there.
    MayHaveRun,
    /// An upstream refused the request and has not run it.
    RefusedByUpstream,
    /// A daemon refused the request before it reached an upstream.
    RefusedByDaemon,
    /// A daemon refused the request for a reason for which every other daemon would refuse it too.
    RefusedPermanently,
    /// A daemon returned the request without running it, because another upstream is expected to
    /// finish it earlier.
    HandedBack,
}

/// Attempts of one request so far, and whether another one is allowed.
#[derive(Clone, Debug)]
pub struct Attempts {
    /// Number of attempts that may reach an upstream.
    limit: u8,
    /// Whether the request may run more than once.
    repeatable: bool,
    /// Number of attempts that reached an upstream.
    upstream_attempts: u8,
    /// Number of refusals by daemons.
    refusals: usize,
    tried: SmallVec<[VmName; 4]>,
    handed_back: SmallVec<[VmName; 4]>,
    may_have_run: bool,
}

impl Attempts {
    /// Creates the state of a request that may be sent to `limit` upstreams.
    ///
    /// `repeatable` means that the request may run more than once.
    #[must_use]
    pub fn new(limit: u8, repeatable: bool) -> Self {
        Self {
            limit: limit.max(1),
            repeatable,
            upstream_attempts: 0,
            refusals: 0,
            tried: SmallVec::new(),
            handed_back: SmallVec::new(),
            may_have_run: false,
        }
    }

    /// Records the result of an attempt at a VM and returns whether another attempt is allowed.
    pub fn record(&mut self, vm: VmName, result: AttemptResult) -> bool {
        match result {
            AttemptResult::HandedBack => {
                self.handed_back.push(vm);
                return true;
            }
            // Allows no further attempt.
            AttemptResult::RefusedPermanently => self.refusals = MAX_REFUSALS,
            AttemptResult::RefusedByDaemon => self.refusals += 1,
            AttemptResult::RefusedByUpstream => {
                self.upstream_attempts = self.upstream_attempts.saturating_add(1)
            }
            AttemptResult::MayHaveRun => {
                self.upstream_attempts = self.upstream_attempts.saturating_add(1);
                self.may_have_run = true;
            }
        }
        self.tried.push(vm);
        let may_run_again = self.repeatable || !self.may_have_run;
        may_run_again && self.upstream_attempts < self.limit && self.refusals < MAX_REFUSALS
    }

    /// Returns the number of attempts that reached an upstream.
    #[must_use]
    pub fn upstream_attempts(&self) -> u8 {
        self.upstream_attempts
    }

    /// Returns whether the request may have run in an attempt that has ended.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the VMs to which the request must not be sent again: those at which an attempt has
    /// ended, except by a hand-back.
    #[must_use]
    pub fn tried(&self) -> &[VmName] {
        &self.tried
    }

    /// Returns the VMs whose daemons handed the request back.
    #[must_use]
    pub fn handed_back(&self) -> &[VmName] {
        &self.handed_back
    }

    /// Returns whether the request was handed back so often that the next daemon must not do so
    /// again.
    #[must_use]
    pub fn hand_back_limit_reached(&self) -> bool {
        self.handed_back.len() >= MAX_HAND_BACKS
    }
}
