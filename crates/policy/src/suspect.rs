//! Suspects: requests that ran when an upstream died.
//!
//! A suspect runs alone, so that a second crash is known to be its own; after that it is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::{Fingerprint, Moment, Reason, Refusal, Region};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Regions that may know about a request.
///
/// Several rules can leave no region at all, so "any" is not written as an empty set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeRegions {
    /// No residency rule applies.
    #[default]
    Any,
    /// These regions only.
    Only(SmallVec<[Region; 2]>),
}

impl HomeRegions {
    /// Tells whether a region may know about the request.
    #[must_use]
    pub fn allows(&self, region: &Region) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.contains(region),
        }
    }

    /// Narrows the regions to those that both sets allow.
    fn restrict(&mut self, other: &Self) {
        match (&mut *self, other) {
            (_, Self::Any) => {}
            (Self::Any, Self::Only(_)) => *self = other.clone(),
            (Self::Only(own), Self::Only(other)) => own.retain(|r| other.contains(r)),
        }
    }
}

/// Bounds of a [`SuspectList`].
#[derive(Clone, Copy, Debug)]
pub struct SuspectSettings {
    /// Time from the last crash to expiry.
    pub ttl: Duration,
    /// Most suspects that the list holds.
    pub max_suspects: usize,
    /// Crashes after which a suspect is refused.
    pub crash_limit: u32,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(600),
            max_suspects: 1024,
            crash_limit: 2,
        }
    }
}

/// Suspect as daemons share it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedSuspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Crashes while it ran.
    pub count: u8,
    /// Seconds since the last crash, rounded up to offset the time in transit, so that sharing does
    /// not prolong it.
    pub age_s: u32,
    /// Regions that may know about it.
    pub regions: HomeRegions,
}

/// Decision on starting a request at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// Start it now.
    Run,
    /// Keep it queued: it must run alone and others run, or a suspect runs alone.
    Hold,
    /// Refuse it.
    Refuse(Refusal),
}

#[derive(Clone, Debug)]
struct Suspect {
    /// Crashes, over all daemons as far as known.
    count: u32,
    /// Crashes that a later success has excused.
    excused: u32,
    expires: Moment,
    regions: HomeRegions,
}

impl Suspect {
    fn level(&self) -> u32 {
        self.count.saturating_sub(self.excused)
    }
}

/// Suspects known to one daemon, and whether one runs alone at its upstream.
#[derive(Debug)]
pub struct SuspectList {
    settings: SuspectSettings,
    /// Region of the daemon; suspects bound to other regions are not kept.
    region: Region,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Suspect that runs alone.
    isolated: Option<Fingerprint>,
}

impl SuspectList {
    /// Creates an empty list of a daemon in `region`.
    #[must_use]
    pub fn new(settings: SuspectSettings, region: Region) -> Self {
        Self {
            settings,
            region,
            suspects: BTreeMap::new(),
            isolated: None,
        }
    }

    /// Decides on a request that would start now beside `running` others.
    ///
    /// A suspect that is held needs the upstream to become idle, so the caller starts no request
    /// behind it in the queue, or refuses it `NotRun`.
    ///
    /// After [`StartDecision::Run`] the caller reports the end with [`Self::record_success`],
    /// [`Self::record_no_answer`] or [`Self::record_crash`].
    pub fn try_start(
        &mut self,
        fingerprint: Fingerprint,
        running: usize,
        now: Moment,
    ) -> StartDecision {
        let level = self.level(fingerprint, now);
        if level >= self.settings.crash_limit {
            return StartDecision::Refuse(Refusal::not_run(Reason::CrashSuspect));
        }
        if self.isolated.is_some() || (level > 0 && running > 0) {
            return StartDecision::Hold;
        }
        if level > 0 {
            self.isolated = Some(fingerprint);
        }
        StartDecision::Run
    }

    /// Returns whether the request is refused, for callers that do not let suspects run alone.
    #[must_use]
    pub fn must_refuse(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.level(fingerprint, now) >= self.settings.crash_limit
    }

    /// Returns whether the request is a suspect, which entries must not retry elsewhere.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.level(fingerprint, now) > 0
    }

    /// Clears a request that the upstream answered.
    pub fn record_success(&mut self, fingerprint: Fingerprint) {
        self.record_no_answer(fingerprint);
        // The record stays until it expires, so that the same crash reported late by another
        // daemon does not bring the suspicion back.
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.excused = suspect.count;
        }
    }

    /// Records that a request ended without an answer and without a crash.
    pub fn record_no_answer(&mut self, fingerprint: Fingerprint) {
        if self.isolated == Some(fingerprint) {
            self.isolated = None;
        }
    }

    /// Makes suspects of the requests that ran when the upstream died.
    pub fn record_crash(&mut self, running: &[(Fingerprint, HomeRegions)], now: Moment) {
        self.isolated = None;
        let expires = now + self.settings.ttl;
        for (fingerprint, regions) in running {
            let suspect = self.suspects.entry(*fingerprint).or_insert(Suspect {
                count: 0,
                excused: 0,
                expires,
                regions: regions.clone(),
            });
            suspect.count = suspect.count.saturating_add(1);
            suspect.expires = expires;
            suspect.regions.restrict(regions);
        }
        self.trim();
    }

    /// Takes over suspects of another daemon, except those that may not be kept in this region.
    ///
    /// The larger count wins, so a repeated message has no further effect.
    pub fn merge(&mut self, remote: &[SharedSuspect], now: Moment) {
        for shared in remote {
            self.merge_one(shared, now);
        }
        self.trim();
    }

    /// Returns the suspects that a daemon in `region` may know, the latest crash first.
    #[must_use]
    pub fn export(&self, region: &Region, limit: usize, now: Moment) -> Vec<SharedSuspect> {
        let mut found: Vec<(&Fingerprint, &Suspect)> = self
            .suspects
            .iter()
            .filter(|(_, s)| s.level() > 0 && s.expires > now && s.regions.allows(region))
            .collect();
        found.sort_by_key(|(_, s)| std::cmp::Reverse(s.expires));
        found
            .into_iter()
            .take(limit)
            .map(|(fingerprint, s)| self.share(*fingerprint, s, now))
            .collect()
    }

    /// Removes expired suspects.
    pub fn tick(&mut self, now: Moment) {
        self.suspects.retain(|_, s| s.expires > now);
    }

    /// Returns the number of records, excused ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Tells whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn level(&self, fingerprint: Fingerprint, now: Moment) -> u32 {
        match self.suspects.get(&fingerprint) {
            Some(suspect) if suspect.expires > now => suspect.level(),
            _ => 0,
        }
    }

    fn share(&self, fingerprint: Fingerprint, suspect: &Suspect, now: Moment) -> SharedSuspect {
        let age = self.settings.ttl.saturating_sub(suspect.expires.since(now));
        let age_s = age.as_millis().div_ceil(1000);
        SharedSuspect {
            fingerprint,
            count: u8::try_from(suspect.level()).unwrap_or(u8::MAX),
            age_s: u32::try_from(age_s).unwrap_or(u32::MAX),
            regions: suspect.regions.clone(),
        }
    }

    fn merge_one(&mut self, shared: &SharedSuspect, now: Moment) {
        let age = Duration::from_secs(shared.age_s.into());
        let left = self.settings.ttl.saturating_sub(age);
        if left.is_zero() || shared.count == 0 || !shared.regions.allows(&self.region) {
            return;
        }
        let suspect = self.suspects.entry(shared.fingerprint).or_insert(Suspect {
            count: 0,
            excused: 0,
            expires: now + left,
            regions: shared.regions.clone(),
        });
        // Only news prolongs the record; otherwise two daemons could keep it alive between them.
        let count = u32::from(shared.count);
        if count > suspect.count {
            suspect.count = count;
            suspect.expires = suspect.expires.max(now + left);
        }
        suspect.regions.restrict(&shared.regions);
    }

    /// Drops records over the bound: excused ones first, then the lowest count, then the oldest.
    fn trim(&mut self) {
        while self.suspects.len() > self.settings.max_suspects {
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, s)| (s.level(), s.expires))
                .map(|(fingerprint, _)| *fingerprint);
            let Some(fingerprint) = least else { return };
            self.suspects.remove(&fingerprint);
        }
    }
}
