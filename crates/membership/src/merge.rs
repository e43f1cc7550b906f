//! Merges updates into the member table.
//!
//! The records of a member are ordered by key and then by state, and a later record replaces an
//! earlier one. A key consists of the incarnation of the member's process and of the version of the
//! record. Only the member itself raises its key, so the table does not depend on the order in
//! which updates arrive.

use cornelvalve_model::{Incarnation, Member, MemberKey, MemberState, Moment, VmName};

use crate::membership::{MAX_UPSTREAMS, Membership, Suspicion};
use crate::table::{OWN_INDEX, is_tombstone};
use crate::update_queue::UpdateKind;
use crate::{Action, Update};

impl Membership {
    /// Merges updates from another daemon. If `propagate` is false, changed records are not passed
    /// on to other members.
    pub(crate) fn merge_updates(&mut self, updates: Vec<Update>, propagate: bool, now: Moment) {
        for update in updates {
            self.merge(update, propagate, now);
        }
    }

    fn merge(&mut self, update: Update, propagate: bool, now: Moment) {
        match update {
            Update::Record(record) => self.merge_record(*record, propagate, now),
            Update::State { vm, key, state } => self.merge_state(&vm, key, state, now),
            report @ Update::Reachability { .. } => self.merge_report(report, now),
        }
    }

    /// Merges a complete record. If it is a record of this daemon and differs from the one in the
    /// table, it is refuted.
    pub(crate) fn merge_record(&mut self, mut record: Member, propagate: bool, now: Moment) {
        record.upstreams.truncate(MAX_UPSTREAMS);
        let own = self.table.own_record();
        if record.vm == own.vm {
            if record != *own {
                self.refute(record.key, now);
            }
            return;
        }
        let known = self.table.get(&record.vm).map(|e| &e.member);
        let newer = match known {
            Some(known) => (record.key, record.state) > (known.key, known.state),
            // A tombstone of an unknown member is not needed, because there is no record that it
            // could replace.
            None => !is_tombstone(record.state),
        };
        if newer {
            let vm = record.vm.clone();
            self.table.upsert(record, now);
            self.handle_change(&vm, UpdateKind::Record, propagate, now);
        }
    }

    /// Merges a state that another member observed. If it is a state of this daemon and differs
    /// from the one in the table, it is refuted.
    fn merge_state(&mut self, vm: &VmName, key: MemberKey, state: MemberState, now: Moment) {
        let own = self.table.own_record();
        if *vm == own.vm {
            if state != own.state {
                self.refute(key, now);
            }
            return;
        }
        let Some(index) = self.table.find(vm) else {
            return;
        };
        let known = &self.table.entries()[index].member;
        // An update of the state does not contain the rest of the record, so a new key is only
        // accepted with a tombstone, whose content does not matter.
        let applicable = key == known.key || is_tombstone(state);
        if applicable && (key, state) > (known.key, known.state) {
            self.table.set_state(index, key, state, now);
            self.handle_change(vm, UpdateKind::State, true, now);
        }
    }

    /// Raises this daemon's key above a key that other members have for it. Does nothing if the key
    /// is lower than this daemon's already.
    ///
    /// That key may have a higher incarnation than this process: incarnations come from a clock,
    /// which may have been set back since an earlier process of this VM started. The incarnation is
    /// then raised, because other members detect restarts by it.
    fn refute(&mut self, key: MemberKey, now: Moment) {
        let own = self.table.own_record().key;
        if key < own {
            return;
        }
        let next = if key.incarnation > own.incarnation {
            MemberKey {
                incarnation: Incarnation(key.incarnation.0.saturating_add(1)),
                version: 0,
            }
        } else {
            key
        };
        // This also raises the version by one, and thereby the key above the other one.
        self.update_own_record(|own| own.key = next, now);
    }

    /// Changes this daemon's record and raises its version.
    pub(crate) fn update_own_record(&mut self, edit: impl FnOnce(&mut Member), now: Moment) {
        let mut own = self.table.own_record().clone();
        edit(&mut own);
        own.key.version = own.key.version.saturating_add(1);
        let vm = own.vm.clone();
        self.table.upsert(own, now);
        self.handle_change(&vm, UpdateKind::Record, true, now);
    }

    /// Handles a change of a record or state in the table: adds [`Action::MemberChanged`], queues
    /// an update for other members if `propagate` is true, and starts the timeout of a suspicion.
    pub(crate) fn handle_change(
        &mut self,
        vm: &VmName,
        kind: UpdateKind,
        propagate: bool,
        now: Moment,
    ) {
        self.actions.push(Action::MemberChanged(vm.clone()));
        self.local_readers = None;
        let Some(index) = self.table.find(vm) else {
            return;
        };
        let member = &self.table.entries()[index].member;
        let local = self.table.is_local(member);
        let key = member.key;
        let suspected = member.state == MemberState::Suspect;
        if propagate {
            self.updates.push(vm, kind);
        }
        if local && propagate {
            self.remote_updates.push(vm, kind);
        }
        if local && suspected && index != OWN_INDEX {
            let deadline = now + self.suspicion_timeout();
            self.suspicions.push(Suspicion {
                vm: vm.clone(),
                key,
                deadline,
            });
        }
    }

    /// Returns the time after which a suspect member of this region is declared dead.
    fn suspicion_timeout(&self) -> std::time::Duration {
        // The number of probe periods in which a suspicion and its refutation reach all members
        // grows with the logarithm of the number of members.
        let scale = (self.table.local_live_count() as f64 + 1.0)
            .log10()
            .max(1.0);
        let base = self.settings.probe_period * self.settings.suspicion_periods;
        base.mul_f64(scale)
    }

    /// Declares members dead whose suspicion was not refuted in time.
    pub(crate) fn expire_suspicions(&mut self, now: Moment) {
        let (due, waiting) = std::mem::take(&mut self.suspicions)
            .into_iter()
            .partition(|s| s.deadline <= now);
        self.suspicions = waiting;
        let due: Vec<Suspicion> = due;
        for suspicion in due {
            let Some(index) = self.table.find(&suspicion.vm) else {
                continue;
            };
            let member = &self.table.entries()[index].member;
            if member.state == MemberState::Suspect && member.key == suspicion.key {
                self.set_observed_state(index, MemberState::Dead, now);
            }
        }
    }

    /// Sets the state of another member as observed by this daemon.
    pub(crate) fn set_observed_state(&mut self, index: usize, state: MemberState, now: Moment) {
        let member = &self.table.entries()[index].member;
        let vm = member.vm.clone();
        let key = member.key;
        self.table.set_state(index, key, state, now);
        self.handle_change(&vm, UpdateKind::State, true, now);
    }
}
