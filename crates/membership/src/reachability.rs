//! Reachability of other regions.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::{Incarnation, Moment, Region, VmName};

/// Latest probes of a region that count.
const WINDOW_PROBES: u32 = 8;

/// Probes without which no region is called unreachable.
const MIN_PROBES: u32 = 3;

/// Age at which another reader's finding no longer counts; it is repeated more often while the
/// region is unreachable.
pub(crate) const REPORT_TTL: Duration = Duration::from_secs(60);

/// Time between two repetitions of the finding that a region is unreachable.
pub(crate) const REPORT_REPEAT_PERIOD: Duration = Duration::from_secs(15);

/// Results of this daemon's latest probes of a region.
#[derive(Clone, Copy, Debug, Default)]
struct ProbeWindow {
    /// One bit a probe, latest lowest; set if the probe failed.
    failures: u32,
    probes: u32,
    unreachable: bool,
}

impl ProbeWindow {
    /// Adds a result; returns whether the verdict changed.
    fn add(&mut self, answered: bool) -> bool {
        let mask = (1 << WINDOW_PROBES) - 1;
        self.failures = ((self.failures << 1) | u32::from(!answered)) & mask;
        self.probes = (self.probes + 1).min(WINDOW_PROBES);
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
pub(crate) struct ReachabilityReport {
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u32,
    pub(crate) reachable: bool,
    pub(crate) received_at: Moment,
}

/// Own and others' findings about other regions.
#[derive(Debug, Default)]
pub(crate) struct RegionReachability {
    windows: BTreeMap<Region, ProbeWindow>,
    reports: BTreeMap<(Region, VmName), ReachabilityReport>,
}

impl RegionReachability {
    /// Adds the result of an own probe; returns whether the own verdict changed.
    pub(crate) fn record_probe(&mut self, region: &Region, answered: bool) -> bool {
        let window = self.windows.entry(region.clone()).or_default();
        window.add(answered)
    }

    /// Adds another reader's finding; returns whether it is newer than the one known.
    pub(crate) fn record_report(
        &mut self,
        region: Region,
        observer: VmName,
        report: ReachabilityReport,
    ) -> bool {
        let key = (region, observer);
        let newer = self.reports.get(&key).is_none_or(|known| {
            (known.incarnation, known.sequence) < (report.incarnation, report.sequence)
        });
        if newer {
            self.reports.insert(key, report);
        }
        newer
    }

    /// Drops findings that have not been repeated.
    pub(crate) fn expire_reports(&mut self, now: Moment) {
        self.reports
            .retain(|_, report| now.since(report.received_at) < REPORT_TTL);
    }

    /// Returns this daemon's verdict if it has probed the region often enough.
    pub(crate) fn is_reachable(&self, region: &Region) -> Option<bool> {
        let window = self.windows.get(region)?;
        (window.unreachable || window.probes >= MIN_PROBES).then_some(!window.unreachable)
    }

    /// Regions that this daemon found unreachable.
    pub(crate) fn unreachable_regions(&self) -> impl Iterator<Item = &Region> {
        let windows = self.windows.iter();
        windows.filter(|(_, w)| w.unreachable).map(|(r, _)| r)
    }

    /// Counts the observers that call a region unreachable and that `counts` accepts.
    pub(crate) fn count_unreachable_reports(
        &self,
        region: &Region,
        is_counted: impl Fn(&VmName) -> bool,
    ) -> usize {
        let reports = self.reports.iter();
        reports
            .filter(|((r, observer), f)| r == region && !f.reachable && is_counted(observer))
            .count()
    }

    /// Tells whether the latest probe of a region contradicts its verdict.
    pub(crate) fn is_any_status_contradicted(&self) -> bool {
        self.windows.values().any(ProbeWindow::is_contradicted)
    }

    /// Forgets the results of own probes but keeps the verdicts, after a pause.
    pub(crate) fn reset_probes(&mut self) {
        for window in self.windows.values_mut() {
            window.failures = 0;
            window.probes = 0;
        }
    }

    /// Forgets own probes and verdicts, when this daemon is no longer a reader.
    pub(crate) fn clear_probes(&mut self) {
        self.windows.clear();
    }
}
