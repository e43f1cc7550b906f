//! Verdicts about other regions.
//!
//! Readers judge by their own probes; all other members follow the majority of their region's
//! readers. Members of another region are never suspected from here, so a region that cannot be
//! reached keeps its members.

use std::collections::BTreeSet;

use cornelvalve_model::{Moment, Region, VmName};

use crate::membership::Membership;
use crate::reach::{Finding, REPEAT_PERIOD};
use crate::{Action, Update};

/// Findings that wait to be sent at most; each takes up to 160 bytes of a message.
const MAX_FINDINGS: usize = 4;

impl Membership {
    pub(crate) fn region_probed(&mut self, region: &Region, answered: bool, now: Moment) {
        if self.reach.probed(region, answered) {
            self.publish_finding(region.clone());
        }
        if now >= self.due.finding {
            self.due.finding = now + REPEAT_PERIOD;
            let unreachable: Vec<Region> = self.reach.unreachable().cloned().collect();
            for region in unreachable {
                self.publish_finding(region);
            }
        }
    }

    fn publish_finding(&mut self, region: Region) {
        let Some(reachable) = self.reach.own_verdict(&region) else {
            return;
        };
        self.finding_sequence += 1;
        let own = self.table.own_record();
        let finding = Update::Reachability {
            observer: own.vm.clone(),
            incarnation: own.key.incarnation,
            sequence: self.finding_sequence,
            region,
            reachable,
        };
        self.queue_finding(finding);
    }

    fn queue_finding(&mut self, finding: Update) {
        self.findings.truncate(MAX_FINDINGS - 1);
        self.findings.insert(0, (finding, 0));
    }

    pub(crate) fn merge_finding(&mut self, update: Update, now: Moment) {
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
        let finding = Finding {
            incarnation,
            sequence,
            reachable,
            seen: now,
        };
        if self.reach.report(region, observer, finding) {
            self.queue_finding(update);
        }
    }

    pub(crate) fn refresh_readers(&mut self) {
        if self.local_readers.is_some() {
            return;
        }
        let domains = self.table.local_domains();
        let readers = domains.into_iter().flat_map(|d| self.table.readers(d));
        let names: BTreeSet<VmName> = readers.map(|reader| reader.vm.clone()).collect();
        self.local_readers = Some(names);
    }

    /// Computes which regions count as unreachable and reports differences.
    pub(crate) fn refresh_regions(&mut self) {
        let Some(readers) = &self.local_readers else {
            return;
        };
        let is_unreachable = |region: &&Region| match self.reach.own_verdict(region) {
            Some(reachable) => !reachable,
            None => {
                let votes = self.reach.votes_against(region, |vm| readers.contains(vm));
                2 * votes > readers.len()
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
