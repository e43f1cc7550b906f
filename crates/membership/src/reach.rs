//! Reachability of other regions.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::{Incarnation, Moment, Region, VmName};

/// Latest probes of a region that count.
const WINDOW: u32 = 8;

/// Probes without which no region is called unreachable.
const MIN_PROBES: u32 = 3;

/// Age at which another reader's finding no longer counts; it is repeated more often while the
/// region is unreachable.
pub(crate) const FINDING_LIFETIME: Duration = Duration::from_secs(60);

/// Time between two repetitions of the finding that a region is unreachable.
pub(crate) const REPEAT_PERIOD: Duration = Duration::from_secs(15);

/// Results of this daemon's latest probes of a region.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// One bit a probe, latest lowest; set if the probe failed.
    failures: u32,
    probes: u32,
    unreachable: bool,
}

impl Window {
    /// Adds a result; returns whether the verdict changed.
    fn add(&mut self, answered: bool) -> bool {
        let mask = (1 << WINDOW) - 1;
        self.failures = ((self.failures << 1) | u32::from(!answered)) & mask;
        self.probes = (self.probes + 1).min(WINDOW);
        let majority = 2 * self.failures.count_ones() > self.probes;
        if self.probes < MIN_PROBES {
            return false;
        }
        std::mem::replace(&mut self.unreachable, majority) != majority
    }

    fn is_contradicted(&self) -> bool {
        self.probes > 0 && (self.failures & 1 == 1) != self.unreachable
    }
}

/// What another reader found.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Finding {
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u32,
    pub(crate) reachable: bool,
    pub(crate) seen: Moment,
}

/// Own and others' findings about other regions.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    windows: BTreeMap<Region, Window>,
    findings: BTreeMap<(Region, VmName), Finding>,
}

impl Reach {
    /// Adds the result of an own probe; returns whether the own verdict changed.
    pub(crate) fn probed(&mut self, region: &Region, answered: bool) -> bool {
        let window = self.windows.entry(region.clone()).or_default();
        window.add(answered)
    }

    /// Adds another reader's finding; returns whether it is newer than the one known.
    pub(crate) fn report(&mut self, region: Region, observer: VmName, finding: Finding) -> bool {
        let key = (region, observer);
        let newer = self.findings.get(&key).is_none_or(|known| {
            (known.incarnation, known.sequence) < (finding.incarnation, finding.sequence)
        });
        if newer {
            self.findings.insert(key, finding);
        }
        newer
    }

    /// Drops findings that have not been repeated.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.findings
            .retain(|_, finding| now.since(finding.seen) < FINDING_LIFETIME);
    }

    /// Returns this daemon's verdict if it has probed the region often enough.
    pub(crate) fn own_verdict(&self, region: &Region) -> Option<bool> {
        let window = self.windows.get(region)?;
        (window.unreachable || window.probes >= MIN_PROBES).then_some(!window.unreachable)
    }

    /// Regions that this daemon found unreachable.
    pub(crate) fn unreachable(&self) -> impl Iterator<Item = &Region> {
        let windows = self.windows.iter();
        windows.filter(|(_, w)| w.unreachable).map(|(r, _)| r)
    }

    /// Counts the observers that call a region unreachable and that `counts` accepts.
    pub(crate) fn votes_against(&self, region: &Region, counts: impl Fn(&VmName) -> bool) -> usize {
        let findings = self.findings.iter();
        findings
            .filter(|((r, observer), f)| r == region && !f.reachable && counts(observer))
            .count()
    }

    /// Tells whether the latest probe of a region contradicts its verdict.
    pub(crate) fn is_contradicted(&self) -> bool {
        self.windows.values().any(Window::is_contradicted)
    }

    /// Forgets the results of own probes but keeps the verdicts, after a pause.
    pub(crate) fn restart(&mut self) {
        for window in self.windows.values_mut() {
            window.failures = 0;
            window.probes = 0;
        }
    }

    /// Forgets own probes and verdicts, when this daemon is no longer a reader.
    pub(crate) fn clear(&mut self) {
        self.windows.clear();
    }
}
