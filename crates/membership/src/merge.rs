//! Merging of updates into the table.
//!
//! Records of a member are ordered by key and then by state. Only the owner raises the key, so
//! merging gives the same table in whatever order updates arrive.

use cornelvalve_model::{Incarnation, Member, MemberKey, MemberState, Moment, VmName};

use crate::membership::{MAX_UPSTREAMS, Membership, Suspicion};
use crate::news::Form;
use crate::table::{OWN, is_tombstone};
use crate::{Action, Update};

impl Membership {
    pub(crate) fn merge_all(&mut self, updates: Vec<Update>, spread: bool, now: Moment) {
        for update in updates {
            self.merge(update, spread, now);
        }
    }

    fn merge(&mut self, update: Update, spread: bool, now: Moment) {
        match update {
            Update::Record(record) => self.merge_record(*record, spread, now),
            Update::State { vm, key, state } => self.merge_state(&vm, key, state, now),
            finding @ Update::Reachability { .. } => self.merge_finding(finding, now),
        }
    }

    pub(crate) fn merge_record(&mut self, mut record: Member, spread: bool, now: Moment) {
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
            // A tombstone of an unknown member is not needed: nothing here can be stale.
            None => !is_tombstone(record.state),
        };
        if newer {
            let vm = record.vm.clone();
            self.table.put(record, now);
            self.changed(&vm, Form::Record, spread, now);
        }
    }

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
        // The content of a record is not known from its state, so that only a tombstone may come
        // with a key that has not been seen.
        let fits = key == known.key || is_tombstone(state);
        if fits && (key, state) > (known.key, known.state) {
            self.table.set_state(index, key, state, now);
            self.changed(vm, Form::State, true, now);
        }
    }

    /// Raises the own key above one that others hold for this daemon.
    ///
    /// An earlier process of this VM may have had a later incarnation if the clock that gives
    /// incarnations went back; the incarnation is then raised, because observers tell restarts
    /// by it.
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
        self.revise(|own| own.key = next, now);
    }

    /// Changes the own record and raises its version.
    pub(crate) fn revise(&mut self, edit: impl FnOnce(&mut Member), now: Moment) {
        let mut own = self.table.own_record().clone();
        edit(&mut own);
        own.key.version = own.key.version.saturating_add(1);
        let vm = own.vm.clone();
        self.table.put(own, now);
        self.changed(&vm, Form::Record, true, now);
    }

    /// Follows up a change of a record or state in the table.
    pub(crate) fn changed(&mut self, vm: &VmName, form: Form, spread: bool, now: Moment) {
        self.actions.push(Action::MemberChanged(vm.clone()));
        self.local_readers = None;
        let Some(index) = self.table.find(vm) else {
            return;
        };
        let member = &self.table.entries()[index].member;
        let local = self.table.is_local(member);
        let key = member.key;
        let suspected = member.state == MemberState::Suspect;
        if spread {
            self.updates.push(vm, form);
        }
        if local && spread {
            self.remote_news.push(vm, form);
        }
        if local && suspected && index != OWN {
            let deadline = now + self.suspicion_timeout();
            self.suspicions.push(Suspicion {
                vm: vm.clone(),
                key,
                deadline,
            });
        }
    }

    fn suspicion_timeout(&self) -> std::time::Duration {
        // Spreading a suspicion and its refutation takes a number of periods that grows with the
        // logarithm of the members.
        let magnitude = (self.table.local_live() as f64 + 1.0).log10().max(1.0);
        let base = self.settings.probe_period * self.settings.suspicion_periods;
        base.mul_f64(magnitude)
    }

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
                self.find_state(index, MemberState::Dead, now);
            }
        }
    }

    /// Records this daemon's own finding about another member.
    pub(crate) fn find_state(&mut self, index: usize, state: MemberState, now: Moment) {
        let member = &self.table.entries()[index].member;
        let vm = member.vm.clone();
        let key = member.key;
        self.table.set_state(index, key, state, now);
        self.changed(&vm, Form::State, true, now);
    }
}
