//! What the upstream reports: its check-ins and the results of health probes.

use std::sync::Arc;

use cornelvalve_model::{AnswerSignals, Moment};
use cornelvalve_policy::LimitChange;
use smallvec::SmallVec;

use super::state::GuardState;
use super::upstream::{CheckInEffect, UpstreamProcess};
use crate::messages::StatsMessage;
use crate::ports::{Cause, CheckIn, HealthReport, UpstreamLoad};

impl GuardState {
    /// Applies a check-in unless it is out of date or comes from another upstream.
    pub(super) fn handle_check_in(&mut self, check_in: CheckIn, now: Moment) {
        let instance = check_in.instance.as_ref();
        let other_addr = check_in.addr.is_some_and(|a| a != self.settings.addr);
        let other_service = check_in
            .service
            .as_ref()
            .is_some_and(|s| *s != self.settings.service);
        if other_service && !other_addr {
            self.exclude(instance, now);
        }
        if other_addr || other_service || self.replaced_instances.iter().any(|i| **i == *instance) {
            log::info!(event = "check-in-passed-over", instance = instance; "check-in ignored: other address, other service or replaced instance");
            return;
        }
        self.foreign_instances.retain(|i| **i != *instance);
        let old = self.process.clone();
        let effect = match &mut self.process {
            Some(process) => process.apply_check_in(&check_in, now),
            None => {
                self.process = Some(UpstreamProcess::from_check_in(&check_in, now));
                CheckInEffect::Changed
            }
        };
        if effect == CheckInEffect::Stale {
            log::info!(event = "check-in-passed-over", instance = instance, sequence = check_in.sequence; "check-in ignored: older than the known state, or from an older instance");
            return;
        }
        if let Some(slots) = check_in.slots {
            self.set_slots(usize::from(slots), now);
        }
        if effect == CheckInEffect::Changed {
            self.detect_replacement(old, now);
            self.unreachable = false;
            log::info!(event = "upstream-changed", instance = instance, state:% = check_in.state, sequence = check_in.sequence, cold_ms = check_in.cold_remaining.as_millis() as u64; "upstream checked in with a new state or as a new process");
            self.on_upstream_changed(now);
        }
        self.update_cold_limit(now);
        self.update_rate_limit(now);
    }

    /// Excludes a process that belongs to another service.
    ///
    /// The check-in may be late, so another process that is known stays. Requests name that one, so
    /// the excluded process does not run them.
    fn exclude(&mut self, instance: &str, now: Moment) {
        if !self.is_foreign(instance) {
            remember(&mut self.foreign_instances, Arc::from(instance));
        }
        if self
            .process
            .as_ref()
            .is_some_and(|p| *p.instance == *instance)
        {
            self.end_process(now);
        }
    }

    /// Returns whether a process said that it belongs to another service.
    fn is_foreign(&self, instance: &str) -> bool {
        self.foreign_instances.iter().any(|i| **i == *instance)
    }

    /// Records that the known process has ended, if there is one.
    fn end_process(&mut self, now: Moment) {
        let Some(old) = self.process.take() else {
            return;
        };
        log::info!(event = "upstream-changed", instance = old.instance.as_ref(), state = "gone"; "a process of another service uses the address of the upstream");
        self.detect_replacement(Some(old), now);
        self.on_upstream_changed(now);
    }

    /// Compares the current process with the previous one. If it is another one, reports the
    /// replacement to the crash tracker and makes the guard ignore late check-ins of `old`.
    fn detect_replacement(&mut self, old: Option<UpstreamProcess>, now: Moment) {
        let current = self.process.as_ref().map(|p| Arc::clone(&p.instance));
        let old = old
            .map(|p| p.instance)
            .filter(|i| Some(i) != current.as_ref());
        if let Some(instance) = old {
            self.crashes.record_replacement(now);
            remember(&mut self.replaced_instances, instance);
        }
    }

    /// Sets the number of requests that the upstream runs concurrently; zero is ignored.
    fn set_slots(&mut self, slots: usize, now: Moment) {
        if slots > 0 && slots != self.slots {
            self.slots = slots;
            let actions = self.gate.set_slots(slots, now);
            self.apply_actions(actions, now);
        }
    }

    /// Applies the result of a probe; `None` means that the upstream gave no answer.
    pub(super) fn handle_health(
        &mut self,
        requested: Moment,
        report: Option<HealthReport>,
        now: Moment,
    ) {
        self.probes.probe_ended(now);
        let Some(report) = report else {
            self.set_unreachable(true, now);
            self.offer_awaiting_load(now);
            return;
        };
        self.set_unreachable(false, now);
        if let Some(instance) = report.instance.as_deref() {
            self.apply_probed_instance(instance, &report, requested, now);
        }
        if let Some(load) = report.load {
            self.apply_load(load, now);
        }
        self.update_cold_limit(now);
        self.offer_awaiting_load(now);
    }

    /// Applies the instance that the health path named, which may be a new process.
    fn apply_probed_instance(
        &mut self,
        instance: &str,
        report: &HealthReport,
        requested: Moment,
        now: Moment,
    ) {
        if self.is_foreign(instance) {
            self.end_process(now);
            return;
        }
        match &mut self.process {
            Some(process) if *process.instance == *instance => {
                process.apply_health(report, requested, now);
            }
            _ => {
                let old = self.process.take();
                self.process = Some(UpstreamProcess::from_probe(
                    instance, report, requested, now,
                ));
                self.detect_replacement(old, now);
                log::info!(event = "upstream-changed", instance = instance, healthy = report.healthy; "health path reported a new upstream process");
                self.on_upstream_changed(now);
            }
        }
        let answer = AnswerSignals {
            sent: requested,
            signals: report.signals,
        };
        self.apply_signals(answer, Some(instance), now);
    }

    /// Applies what a response of the process `instance` says about it.
    pub(super) fn apply_signals(
        &mut self,
        answer: AnswerSignals,
        instance: Option<&str>,
        now: Moment,
    ) {
        let Some(process) = &mut self.process else {
            return;
        };
        if instance != Some(process.instance.as_ref()) {
            return;
        }
        let instance = process.instance.as_ref();
        let limit_before = process.limit.named();
        match process.limit.apply(&answer) {
            LimitChange::Unchanged => {}
            LimitChange::Changed => {
                log::info!(event = "upstream-limit", instance = instance, limit = process.limit.named(), limit_before = limit_before, recent_starts = self.gate.recent_starts(now); "upstream named another limit on its requests per second, or none");
            }
            LimitChange::Invalid => {
                log::warn!(event = "upstream-limit-invalid", instance = instance, limit_before = limit_before; "upstream named a limit that is not a number of requests per second; the previous one stays in force");
            }
        }
        let was_ready = process.is_ready();
        if answer.signals.leaving && process.set_leaving() {
            log::info!(event = "upstream-leaving", instance = process.instance.as_ref(), was_ready = was_ready; "upstream said in a response that it is leaving");
            self.on_upstream_changed(now);
        }
        self.update_rate_limit(now);
    }

    /// Tells the gate which limit on starts is in force, if that has changed.
    pub(super) fn update_rate_limit(&mut self, now: Moment) {
        let limit = self.process.as_ref().and_then(|p| p.limit.enforced());
        if limit == self.rate_limit {
            return;
        }
        self.rate_limit = limit;
        let actions = self.gate.set_rate_limit(limit, now);
        self.apply_actions(actions, now);
        let message = StatsMessage::UpstreamLimit(limit);
        if let Err(e) = self.channels.stats.try_send(message) {
            log::debug!("limit of the upstream is missing in the metrics: {e}");
        }
    }

    /// Records whether the upstream accepts connections and reacts to a change.
    pub(super) fn set_unreachable(&mut self, unreachable: bool, now: Moment) {
        if unreachable == self.unreachable {
            return;
        }
        self.unreachable = unreachable;
        if unreachable {
            self.crashes.record_unreachable(now);
            self.refuse_unstarted(Cause::Unreachable, now);
        }
        log::info!(event = "upstream-reachable", reachable = !unreachable; "upstream became unreachable or reachable again");
        self.on_upstream_changed(now);
    }

    /// Applies the load that the upstream reported.
    pub(super) fn apply_load(&mut self, load: UpstreamLoad, now: Moment) {
        self.probes.load_reported(now);
        self.set_slots(usize::from(load.slots), now);
        if let Some(slowdown) = load.slowdown {
            self.slowdown = slowdown;
            let actions = self.gate.set_slowdown(slowdown, now);
            self.apply_actions(actions, now);
        }
        self.publish_load(now);
    }
}

/// Adds an instance to a list of the latest ones; the oldest makes way.
fn remember(list: &mut SmallVec<[Arc<str>; 4]>, instance: Arc<str>) {
    if list.len() == list.inline_size() {
        list.remove(0);
    }
    list.push(instance);
}
