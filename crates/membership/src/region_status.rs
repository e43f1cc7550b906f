//! Determines which other regions are unreachable and exchanges reachability reports.
//!
//! A reader uses the results of its own probes once it has sent enough of them. Every other member
//! considers a region unreachable if the majority of the readers of its own region report it as
//! unreachable. Members of another region are never suspected, so a region that becomes unreachable
//! keeps its members.

use std::collections::BTreeSet;

use cornelvalve_model::{Moment, Region, VmName};

use crate::membership::Membership;
use crate::reachability::{REPORT_REPEAT_PERIOD, ReachabilityReport};
use crate::{Action, Update};

/// Maximum number of reports that wait to be sent. Each takes up to 160 bytes, so together they
/// fill about half of a message of 1200 bytes.
const MAX_QUEUED_REPORTS: usize = 4;

impl Membership {
    /// Records the result of a probe of another region. Publishes a report if the region's status
    /// changed, and repeats the reports about unreachable regions when they are due.
    pub(crate) fn record_region_probe(&mut self, region: &Region, answered: bool, now: Moment) {
        if self.reachability.record_probe(region, answered) {
            self.publish_report(region.clone());
        }
        if now >= self.due.report_repeat {
            self.due.report_repeat = now + REPORT_REPEAT_PERIOD;
            let unreachable: Vec<Region> =
                self.reachability.unreachable_regions().cloned().collect();
            for region in unreachable {
                self.publish_report(region);
            }
        }
    }

    fn publish_report(&mut self, region: Region) {
        let Some(reachable) = self.reachability.is_reachable(&region) else {
            return;
        };
        self.report_sequence += 1;
        let own = self.table.own_record();
        let report = Update::Reachability {
            observer: own.vm.clone(),
            incarnation: own.key.incarnation,
            sequence: self.report_sequence,
            region,
            reachable,
        };
        self.queue_report(report);
    }

    /// Queues a report before older ones, and drops the oldest report if the queue is full.
    fn queue_report(&mut self, report: Update) {
        self.queued_reports.truncate(MAX_QUEUED_REPORTS - 1);
        self.queued_reports.insert(0, (report, 0));
    }

    /// Stores and passes on a report of another reader of this region, if it is newer than the
    /// reader's stored report about the same region. Ignores all other reports.
    pub(crate) fn merge_report(&mut self, update: Update, now: Moment) {
        let Update::Reachability {
            observer,
            incarnation,
            sequence,
            region,
            reachable,
        } = update.clone()
        else {
            return;
        };
        let is_local = |vm: &VmName| {
            let entry = self.table.get(vm);
            entry.is_some_and(|e| self.table.is_local(&e.member))
        };
        let own = self.table.own_record();
        if observer == own.vm || region == own.region || !is_local(&observer) {
            return;
        }
        let report = ReachabilityReport {
            incarnation,
            sequence,
            reachable,
            received_at: now,
        };
        if self.reachability.record_report(region, observer, report) {
            self.queue_report(update);
        }
    }

    /// Computes the readers of this region if they may have changed.
    pub(crate) fn refresh_readers(&mut self) {
        if self.local_readers.is_some() {
            return;
        }
        let domains = self.table.local_domains();
        let readers = domains.into_iter().flat_map(|d| self.table.readers(d));
        let names: BTreeSet<VmName> = readers.map(|reader| reader.vm.clone()).collect();
        self.local_readers = Some(names);
    }

    /// Computes which regions are unreachable and adds an action for each region whose reachability
    /// changed.
    pub(crate) fn refresh_unreachable_regions(&mut self) {
        let Some(readers) = &self.local_readers else {
            return;
        };
        let is_unreachable = |region: &&Region| match self.reachability.is_reachable(region) {
            Some(reachable) => !reachable,
            None => {
                let unreachable_reports = self
                    .reachability
                    .count_unreachable_reports(region, |vm| readers.contains(vm));
                2 * unreachable_reports > readers.len()
            }
        };
        let unreachable: BTreeSet<Region> = self
            .table
            .other_regions()
            .filter(is_unreachable)
            .cloned()
            .collect();
        for region in unreachable.symmetric_difference(&self.unreachable) {
            self.actions.push(Action::RegionChanged(region.clone()));
        }
        self.unreachable = unreachable;
    }
}
