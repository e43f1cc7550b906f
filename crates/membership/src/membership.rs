//! The state machine.

use cornelvalve_model::{FailureDomain, Member, Moment, Region, VmName};
use smallvec::SmallVec;

use crate::{Action, Event, MembershipSettings};

/// Membership of one daemon.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    own: Member,
    seed: u64,
}

impl Membership {
    /// Creates the state machine of a daemon that knows only itself.
    #[must_use]
    pub fn new(settings: MembershipSettings, own: Member, seed: u64) -> Self {
        Self {
            settings,
            own,
            seed,
        }
    }

    /// Handles an event.
    pub fn on(&mut self, event: Event, now: Moment) -> SmallVec<[Action; 8]> {
        let _ = (event, now, self.seed, &self.settings);
        SmallVec::new()
    }

    /// Returns all known members including this one, and those remembered as left or dead.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own)
    }

    /// Looks up a member.
    #[must_use]
    pub fn get(&self, vm: &VmName) -> Option<&Member> {
        (self.own.vm == *vm).then_some(&self.own)
    }

    /// Returns the record of this daemon.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Tells whether most of a region's members that were probed answered.
    #[must_use]
    pub fn is_region_reachable(&self, region: &Region) -> bool {
        let _ = region;
        true
    }

    /// Returns the two alive members of a failure domain that rendezvous hashing ranks first.
    #[must_use]
    pub fn readers(&self, domain: &FailureDomain) -> SmallVec<[&Member; 2]> {
        self.members().filter(|m| m.domain == *domain).collect()
    }

    /// Tells whether this daemon is a reader of its failure domain.
    #[must_use]
    pub fn is_own_reader(&self) -> bool {
        true
    }
}
