//! Stores the evidence for the reachability of other regions: the results of this daemon's probes
//! and the reports of other readers.

use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::{Incarnation, Moment, Region, VmName};

/// Number of latest probes of a region that determine its status. With the default period of 5 s
/// they cover 40 s.
const WINDOW_PROBES: u32 = 8;

/// Minimum number of probes before the status of a region may change. With 3, a single lost
/// datagram does not change the status.
const MIN_PROBES: u32 = 3;

/// Time for which another reader's report is valid. Readers repeat the report that a region is
/// unreachable every [`REPORT_REPEAT_PERIOD`], so it does not expire while it holds.
pub(crate) const REPORT_TTL: Duration = Duration::from_secs(60);

/// Time between two repetitions of the report that a region is unreachable.
pub(crate) const REPORT_REPEAT_PERIOD: Duration = Duration::from_secs(15);

/// Results of this daemon's latest probes of a region, and the region's status derived from them.
#[derive(Clone, Copy, Debug, Default)]
struct ProbeWindow {
    /// One bit per probe, with the latest probe in the lowest bit; set if the probe failed.
    failures: u32,
    /// Number of probes in the window.
    probes: u32,
    /// Status of the region.
    unreachable: bool,
}

impl ProbeWindow {
    /// Adds the result of a probe and returns whether the status of the region changed.
    fn add(&mut self, answered: bool) -> bool {
        let mask = (1 << WINDOW_PROBES) - 1;
        self.failures = ((self.failures << 1) | u32::from(!answered)) & mask;
        self.probes = (self.probes + 1).min(WINDOW_PROBES);
        let majority_failed = 2 * self.failures.count_ones() > self.probes;
        if self.probes < MIN_PROBES {
            return false;
        }
        std::mem::replace(&mut self.unreachable, majority_failed) != majority_failed
    }

    /// Returns whether the result of the latest probe differs from the status of the region.
    fn latest_probe_disagrees(&self) -> bool {
        self.probes > 0 && (self.failures & 1 == 1) != self.unreachable
    }
}

/// Another reader's report whether it can reach a region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReachabilityReport {
    /// Incarnation of the reader's process.
    pub(crate) incarnation: Incarnation,
    /// Sequence number of the report within the incarnation.
    pub(crate) sequence: u32,
    pub(crate) reachable: bool,
    pub(crate) received_at: Moment,
}

/// Evidence for the reachability of other regions.
#[derive(Debug, Default)]
pub(crate) struct RegionReachability {
    /// This daemon's probes; empty unless it is a reader.
    windows: BTreeMap<Region, ProbeWindow>,
    /// Latest report of each other reader about each region.
    reports: BTreeMap<(Region, VmName), ReachabilityReport>,
}

impl RegionReachability {
    /// Adds the result of a probe by this daemon and returns whether it changed the region's
    /// status.
    pub(crate) fn record_probe(&mut self, region: &Region, answered: bool) -> bool {
        let window = self.windows.entry(region.clone()).or_default();
        window.add(answered)
    }

    /// Stores another reader's report if it is newer than the stored one, and returns whether it
    /// is.
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

    /// Removes reports that have not been repeated within [`REPORT_TTL`].
    pub(crate) fn expire_reports(&mut self, now: Moment) {
        self.reports
            .retain(|_, report| now.since(report.received_at) < REPORT_TTL);
    }

    /// Returns whether this daemon's probes reach the region, or `None` if it has not sent enough
    /// probes to tell.
    pub(crate) fn is_reachable(&self, region: &Region) -> Option<bool> {
        let window = self.windows.get(region)?;
        (window.unreachable || window.probes >= MIN_PROBES).then_some(!window.unreachable)
    }

    /// Returns the regions that this daemon's probes do not reach.
    pub(crate) fn unreachable_regions(&self) -> impl Iterator<Item = &Region> {
        let windows = self.windows.iter();
        windows.filter(|(_, w)| w.unreachable).map(|(r, _)| r)
    }

    /// Returns the number of observers accepted by `is_counted` that report the region as
    /// unreachable.
    pub(crate) fn count_unreachable_reports(
        &self,
        region: &Region,
        is_counted: impl Fn(&VmName) -> bool,
    ) -> usize {
        let reports = self.reports.iter();
        reports
            .filter(|((r, vm), report)| r == region && !report.reachable && is_counted(vm))
            .count()
    }

    /// Returns whether the latest probe of any region differs from the region's status.
    pub(crate) fn any_latest_probe_disagrees(&self) -> bool {
        self.windows
            .values()
            .any(ProbeWindow::latest_probe_disagrees)
    }

    /// Discards the results of this daemon's probes but keeps the status of each region. Used after
    /// this process was paused, because replies may have been lost meanwhile.
    pub(crate) fn reset_probes(&mut self) {
        for window in self.windows.values_mut() {
            window.failures = 0;
            window.probes = 0;
        }
    }

    /// Discards this daemon's probes and the status of each region. Used when this daemon is not a
    /// reader.
    pub(crate) fn clear_probes(&mut self) {
        self.windows.clear();
    }
}
