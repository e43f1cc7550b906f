//! How often one request may be offered to upstreams.
//!
//! Answers upstreams that fail a part of their requests: only a request that may be repeated, or
//! that an upstream said it did not run, is sent again, and never to more upstreams than its route
//! allows. Refusals by daemons cost nothing at an upstream and are bounded separately.

use smallvec::SmallVec;

use cornelvalve_model::VmName;

/// Daemons that may refuse a request before it is refused to its caller.
const MAX_REFUSALS: usize = 6;

/// Times that a request may be handed back before the next place keeps it.
const MAX_HAND_BACKS: usize = 3;

/// What an attempt means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// An upstream failed it, or it is not known whether it ran.
    MayHaveRun,
    /// An upstream refused to run it.
    RefusedByUpstream,
    /// A daemon refused it before it reached an upstream.
    RefusedByDaemon,
    /// A daemon refused it, as every other one would.
    RefusedPermanently,
    /// A daemon handed it back because another place should end it sooner.
    HandedBack,
}

/// Attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    limit: u8,
    repeatable: bool,
    upstream_attempts: u8,
    refusals: usize,
    tried: SmallVec<[VmName; 4]>,
    handed_back: SmallVec<[VmName; 4]>,
    may_have_run: bool,
}

impl Attempts {
    /// Creates the account of a request that may be sent to `limit` upstreams.
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

    /// Notes the result of an attempt at a VM; tells whether a further attempt is allowed.
    pub fn record(&mut self, vm: VmName, result: AttemptResult) -> bool {
        match result {
            AttemptResult::HandedBack => {
                self.handed_back.push(vm);
                return true;
            }
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
        let allowed = self.repeatable || !self.may_have_run;
        allowed && self.upstream_attempts < self.limit && self.refusals < MAX_REFUSALS
    }

    /// Returns the number of attempts that reached an upstream.
    #[must_use]
    pub fn upstream_attempts(&self) -> u8 {
        self.upstream_attempts
    }

    /// Tells whether an attempt that has ended may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the VMs where it need not be tried again.
    #[must_use]
    pub fn tried(&self) -> &[VmName] {
        &self.tried
    }

    /// Returns the VMs that handed it back.
    #[must_use]
    pub fn handed_back(&self) -> &[VmName] {
        &self.handed_back
    }

    /// Tells whether the next place should keep it even if it must wait.
    #[must_use]
    pub fn hand_back_limit_reached(&self) -> bool {
        self.handed_back.len() >= MAX_HAND_BACKS
    }
}
