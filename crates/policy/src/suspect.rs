//! Crash suspects: requests that ran when an upstream crashed and may have caused the crash.
//!
//! A suspect runs alone at the upstream, so that another crash while it runs can only be its own. A
//! suspect that has run during too many crashes is refused. Suspects are identified by the
//! fingerprint of the request, and daemons share them.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::{Fingerprint, Moment, Reason, Refusal, Region};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Regions to which information about a request may be passed under the data residency rules.
///
/// Several rules together can leave no region at all, so "any region" has its own variant and is
/// not represented by an empty set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomeRegions {
    /// No residency rule applies.
    #[default]
    Any,
    /// Information about the request may be passed to these regions only.
    Only(SmallVec<[Region; 2]>),
}

impl HomeRegions {
    /// Returns whether information about the request may be passed to a region.
    #[must_use]
    pub fn allows(&self, region: &Region) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => regions.contains(region),
        }
    }

    /// Restricts the regions to those that `other` allows too.
    fn restrict(&mut self, other: &Self) {
        match (&mut *self, other) {
            (_, Self::Any) => {}
            (Self::Any, Self::Only(_)) => *self = other.clone(),
            (Self::Only(own), Self::Only(other)) => own.retain(|r| other.contains(r)),
        }
    }
}

/// Settings of a [`SuspectList`].
#[derive(Clone, Copy, Debug)]
pub struct SuspectSettings {
    /// Time after the last crash at which a suspect expires.
    pub ttl: Duration,
    /// Maximum number of suspects in the list.
    pub max_suspects: usize,
    /// Number of crashes after which a suspect is refused. If it is 2 and suspects run alone, these
    /// are the crash that made the request a suspect and one while it ran alone.
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

/// Suspect in the form in which daemons share it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedSuspect {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Number of crashes that count against the request: those since it last succeeded, as far as
    /// the sender knows.
    pub count: u8,
    /// Seconds since the last crash. Rounded up to offset the time in transit, so that sharing does
    /// not postpone the expiry.
    pub age_s: u32,
    /// Regions to which information about the request may be passed.
    pub regions: HomeRegions,
}

/// Decision on whether a request may start at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// Start it now.
    Run,
    /// Keep it queued: either it must run alone and other requests are running, or another suspect
    /// is running alone.
    Hold,
    /// Refuse it.
    Refuse(Refusal),
}

/// Record of a request that ran during a crash.
#[derive(Clone, Debug)]
struct Suspect {
    /// Number of crashes while the request ran, at all daemons as far as known.
    total_crashes: u32,
    /// Number of these crashes that no longer count because the request has succeeded since.
    excused_crashes: u32,
    expires_at: Moment,
    regions: HomeRegions,
}

impl Suspect {
    /// Returns the number of crashes that count; the request is a suspect if it is not zero.
    fn active_crashes(&self) -> u32 {
        self.total_crashes.saturating_sub(self.excused_crashes)
    }
}

/// Suspects known to one daemon, and the one that runs alone at its upstream, if any.
#[derive(Debug)]
pub struct SuspectList {
    settings: SuspectSettings,
    /// Region of the daemon; suspects that may not be passed to this region are not kept.
    region: Region,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Suspect that runs alone at the upstream.
    isolated: Option<Fingerprint>,
}

impl SuspectList {
    /// Creates an empty list for a daemon in `region`.
    #[must_use]
    pub fn new(settings: SuspectSettings, region: Region) -> Self {
        Self {
            settings,
            region,
            suspects: BTreeMap::new(),
            isolated: None,
        }
    }

    /// Decides whether a request may start now, while `running` other requests run.
    ///
    /// A suspect that is held can start only once the upstream is idle. The caller therefore either
    /// starts no request that is behind it in the queue, or refuses the suspect with `NotRun`.
    ///
    /// After [`StartDecision::Run`] the caller reports the end with [`Self::record_success`],
    /// [`Self::record_no_answer`] or [`Self::record_crash`].
    pub fn try_start(
        &mut self,
        fingerprint: Fingerprint,
        running: usize,
        now: Moment,
    ) -> StartDecision {
        let crashes = self.active_crashes(fingerprint, now);
        if crashes >= self.settings.crash_limit {
            return StartDecision::Refuse(Refusal::not_run(Reason::CrashSuspect));
        }
        if self.isolated.is_some() || (crashes > 0 && running > 0) {
            return StartDecision::Hold;
        }
        if crashes > 0 {
            self.isolated = Some(fingerprint);
        }
        StartDecision::Run
    }

    /// Returns whether the request has reached the limit of crashes and must be refused.
    ///
    /// For callers that do not run suspects alone and therefore do not call [`Self::try_start`].
    #[must_use]
    pub fn must_refuse(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.active_crashes(fingerprint, now) >= self.settings.crash_limit
    }

    /// Returns whether the request is a suspect, which must not be retried at another upstream.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.active_crashes(fingerprint, now) > 0
    }

    /// Records that the upstream answered a request, which is no longer a suspect.
    pub fn record_success(&mut self, fingerprint: Fingerprint) {
        self.record_no_answer(fingerprint);
        // The record stays until it expires, so that a late report of the same crash by another
        // daemon does not make the request a suspect again.
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.excused_crashes = suspect.total_crashes;
        }
    }

    /// Records that a request ended without an answer and without a crash; a suspect remains one.
    pub fn record_no_answer(&mut self, fingerprint: Fingerprint) {
        if self.isolated == Some(fingerprint) {
            self.isolated = None;
        }
    }

    /// Makes suspects of the requests that ran when the upstream crashed.
    pub fn record_crash(&mut self, running: &[(Fingerprint, HomeRegions)], now: Moment) {
        self.isolated = None;
        let expires_at = now + self.settings.ttl;
        for (fingerprint, regions) in running {
            let suspect = self.suspects.entry(*fingerprint).or_insert(Suspect {
                total_crashes: 0,
                excused_crashes: 0,
                expires_at,
                regions: regions.clone(),
            });
            suspect.total_crashes = suspect.total_crashes.saturating_add(1);
            suspect.expires_at = expires_at;
            suspect.regions.restrict(regions);
        }
        self.trim();
    }

    /// Adds the suspects of another daemon, except those that may not be passed to this region.
    ///
    /// The larger count of crashes is kept, so a repeated message has no further effect.
    pub fn merge(&mut self, remote: &[SharedSuspect], now: Moment) {
        for shared in remote {
            self.merge_one(shared, now);
        }
        self.trim();
    }

    /// Returns at most `limit` suspects that may be passed to a daemon in `region`, the latest
    /// crash first.
    #[must_use]
    pub fn export(&self, region: &Region, limit: usize, now: Moment) -> Vec<SharedSuspect> {
        let mut found: Vec<(&Fingerprint, &Suspect)> = self
            .suspects
            .iter()
            .filter(|(_, s)| {
                s.active_crashes() > 0 && s.expires_at > now && s.regions.allows(region)
            })
            .collect();
        found.sort_by_key(|(_, s)| std::cmp::Reverse(s.expires_at));
        found
            .into_iter()
            .take(limit)
            .map(|(fingerprint, s)| self.to_shared(*fingerprint, s, now))
            .collect()
    }

    /// Removes expired suspects.
    pub fn tick(&mut self, now: Moment) {
        self.suspects.retain(|_, s| s.expires_at > now);
    }

    /// Returns the number of records, including those of requests that have succeeded since.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of crashes that count against a request.
    fn active_crashes(&self, fingerprint: Fingerprint, now: Moment) -> u32 {
        match self.suspects.get(&fingerprint) {
            Some(suspect) if suspect.expires_at > now => suspect.active_crashes(),
            _ => 0,
        }
    }

    /// Returns a suspect in the form in which daemons share it.
    fn to_shared(&self, fingerprint: Fingerprint, suspect: &Suspect, now: Moment) -> SharedSuspect {
        let age = self
            .settings
            .ttl
            .saturating_sub(suspect.expires_at.since(now));
        let age_s = age.as_millis().div_ceil(1000);
        SharedSuspect {
            fingerprint,
            count: u8::try_from(suspect.active_crashes()).unwrap_or(u8::MAX),
            age_s: u32::try_from(age_s).unwrap_or(u32::MAX),
            regions: suspect.regions.clone(),
        }
    }

    /// Adds one suspect of another daemon.
    fn merge_one(&mut self, shared: &SharedSuspect, now: Moment) {
        let age = Duration::from_secs(shared.age_s.into());
        let remaining = self.settings.ttl.saturating_sub(age);
        if remaining.is_zero() || shared.count == 0 || !shared.regions.allows(&self.region) {
            return;
        }
        let suspect = self.suspects.entry(shared.fingerprint).or_insert(Suspect {
            total_crashes: 0,
            excused_crashes: 0,
            expires_at: now + remaining,
            regions: shared.regions.clone(),
        });
        // Only a larger count postpones the expiry; otherwise two daemons could keep the record
        // alive by sending it to each other.
        let count = u32::from(shared.count);
        if count > suspect.total_crashes {
            suspect.total_crashes = count;
            suspect.expires_at = suspect.expires_at.max(now + remaining);
        }
        suspect.regions.restrict(&shared.regions);
    }

    /// Removes records beyond the maximum: those with the fewest crashes that count first, and
    /// among these the oldest first.
    fn trim(&mut self) {
        while self.suspects.len() > self.settings.max_suspects {
            let least_severe = self
                .suspects
                .iter()
                .min_by_key(|(_, s)| (s.active_crashes(), s.expires_at))
                .map(|(fingerprint, _)| *fingerprint);
            let Some(fingerprint) = least_severe else {
                return;
            };
            self.suspects.remove(&fingerprint);
        }
    }
}
