//! Admission gate in front of one upstream whose speed changes many times a second.
//!
//! The upstream shares its VM with other workloads: for fractions of a second the same call takes
//! several times as long, while callers send bursts. A call that starts during such a slow period
//! stays slow until it ends. If it would miss its latency objective, the gate therefore holds it,
//! that is, it keeps the call waiting although a slot is free, until the slow period is over or the
//! deadline allows no further wait.
//!
//! The gate never starts more calls than the upstream has slots, which is its concurrency limit, so
//! that the upstream itself never queues. It estimates when a call would end here. A call that
//! another upstream is expected to finish earlier is handed back: the gate refuses it, and the
//! daemon that sent it tries the other upstream. In effect, all daemons share one queue. Waiting
//! calls start in order of priority; among equal priorities, those that can still meet their
//! objective start first. A call that cannot end before its deadline is refused at once. A cold
//! upstream, which has started recently and runs slowly at first, gets no more starts per second
//! than it tolerates, and neither does one that may have turned cold since it was last known to be
//! warm.
//!
//! The baseline duration of a call is its duration while the upstream runs at its normal speed. The
//! slowdown is the factor by which calls currently take longer than that.
//!
//! The gate has no clock; the caller passes the current time to every method that needs it. The
//! daemon for hosted platforms (crate `relay`) uses this gate; the general daemon (crate `daemon`)
//! uses [`AdmissionController`](crate::AdmissionController).

mod duration;
mod hold;
mod start_limit;
mod types;

use std::collections::HashMap;
use std::time::Duration;

use cornelvalve_model::Moment;
use smallvec::SmallVec;

use crate::placement::LoadRateLimit;
use crate::rate_limit::RateLimit;
use start_limit::StartLimit;
pub use start_limit::{ColdRate, ColdTolerance};
pub use types::{GateAction, GateActions, GateCall, GateCallId, GateLoad, GateRefusal, WorkKey};

/// Smallest slowdown that is believed.
const MIN_SLOWDOWN: f64 = 0.1;

/// Largest slowdown that is believed. Every deadline has passed long before.
const MAX_SLOWDOWN: f64 = 1000.0;

/// Minimum remaining duration assumed for a running call, as a fraction of its baseline duration.
/// Matters for calls that take longer than expected.
const MIN_REMAINING_FRACTION: f64 = 0.25;

/// Maximum expected wait of a call that is accepted, as a fraction of the time until its deadline.
/// Calls that wait longer would mostly be refused anyway, only later.
const MAX_WAIT_FRACTION: f64 = 0.6;

/// Time constant of the moving average of the queue pressure, which is the fraction of the time
/// during which calls waited.
const PRESSURE_TIME_CONSTANT: Duration = Duration::from_millis(700);

/// Queue pressure above which a call that would miss its objective is refused at once: calls that
/// can still meet their objective start first and leave no slots for it.
const MAX_PRESSURE_FOR_LATE_CALLS: f64 = 0.6;

/// Minimum time by which another upstream must be faster for a call to be handed back.
const MIN_HAND_BACK_GAIN: Duration = Duration::from_millis(8);

/// Minimum factor by which another upstream must be faster for a call to be handed back. The
/// sender's information about the other upstream may be outdated, and a call that is handed back in
/// vain has wasted a network round trip.
const MIN_HAND_BACK_RATIO: f64 = 1.2;

/// Call in the queue.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    call: GateCall,
    arrived: Moment,
}

/// Call that runs at the upstream.
#[derive(Clone, Copy, Debug)]
struct Running {
    work: WorkKey,
    started: Moment,
    /// Slowdown of the upstream when the call started, which applies to all of the call.
    slowdown: f64,
    /// Whether the call has been sent to the upstream.
    sent: bool,
}

/// Admission gate in front of one upstream.
#[derive(Debug)]
pub struct Gate {
    slots: usize,
    /// Factor by which calls now take longer than their baseline duration.
    slowdown: f64,
    start_limit: StartLimit,
    /// Limit that the upstream itself names; `None` if it names none.
    rate_limit: Option<RateLimit>,
    running: HashMap<GateCallId, Running>,
    queue: Vec<Waiting>,
    /// Fraction of the recent time during which calls waited: an exponential moving average.
    pressure: f64,
    /// Moment up to which `pressure` accounts for the queue.
    pressure_updated: Moment,
    /// Estimated baseline duration of each kind of call, in seconds.
    baselines: HashMap<WorkKey, f64>,
}

impl Gate {
    /// Creates a gate for an upstream that runs `slots` calls at once.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots: slots.max(1),
            slowdown: 1.0,
            start_limit: StartLimit::unlimited(),
            rate_limit: None,
            running: HashMap::new(),
            queue: Vec::new(),
            pressure: 0.0,
            pressure_updated: Moment::default(),
            baselines: HashMap::new(),
        }
    }

    /// Returns the load of the upstream.
    #[must_use]
    pub fn load(&self) -> GateLoad {
        let count = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        GateLoad {
            running: count(self.running.len()),
            waiting: count(self.queue.len()),
            slots: count(self.slots),
        }
    }

    /// Returns the limit that the upstream names, with the time until it allows another call after
    /// those that wait; `None` if there is none.
    #[must_use]
    pub fn load_rate_limit(&self, now: Moment) -> Option<LoadRateLimit> {
        let limit = self.rate_limit.as_ref()?;
        Some(LoadRateLimit {
            per_second: limit.per_second(),
            wait_ms: limit.wait(self.queue.len(), now).as_secs_f64() * 1000.0,
        })
    }

    /// Sets the number of calls that may run at once, and returns the actions that follow.
    pub fn set_slots(&mut self, slots: usize, now: Moment) -> GateActions {
        self.slots = slots.max(1);
        self.advance(now)
    }

    /// Sets what is known about an upstream that is or may be cold, and returns the actions that
    /// follow.
    pub fn set_cold_rate(&mut self, cold: ColdRate, now: Moment) -> GateActions {
        self.start_limit.set_cold_rate(cold);
        self.advance(now)
    }

    /// Sets the number of starts per second that the upstream accepts, or that it names no limit, and
    /// returns the actions that follow.
    ///
    /// Waiting calls that another upstream would now finish earlier are handed back.
    pub fn set_rate_limit(&mut self, per_second: Option<f64>, now: Moment) -> GateActions {
        match (&mut self.rate_limit, per_second) {
            (Some(limit), Some(per_second)) => limit.set(per_second, now),
            (limit, per_second) => *limit = per_second.map(|p| RateLimit::new(p, now)),
        }
        let mut actions = GateActions::new();
        self.hand_back_calls(now, &mut actions);
        actions.extend(self.advance(now));
        actions
    }

    /// Returns the time until the limit that the upstream names allows another start after `ahead`
    /// others.
    fn rate_wait(&self, ahead: usize, now: Moment) -> Duration {
        let limit = self.rate_limit.as_ref();
        limit.map_or(Duration::ZERO, |l| l.wait(ahead, now))
    }

    /// Returns whether the limits on starts allow one now.
    fn allows_start(&self, now: Moment) -> bool {
        let limit = self.rate_limit.as_ref();
        self.start_limit.allows_start(now) && limit.is_none_or(|l| l.allows_start(now))
    }

    /// Returns whether the upstream should be asked if it is warm, because the starts since it last
    /// confirmed that will soon reach the limit of a cold upstream.
    #[must_use]
    pub fn needs_warm_confirmation(&self, now: Moment) -> bool {
        self.start_limit.needs_confirmation(now)
    }

    /// Returns whether the upstream is known to be cold.
    #[must_use]
    pub fn is_cold(&self, now: Moment) -> bool {
        self.start_limit.is_cold(now)
    }

    /// Sets the factor by which calls that start now take longer than their baseline duration, cut
    /// to a plausible range.
    ///
    /// Returns the actions that follow: if the slowdown has grown, waiting calls that another
    /// upstream would now finish earlier are handed back; if it has shrunk or is unchanged, held
    /// calls may start.
    pub fn set_slowdown(&mut self, slowdown: f64, now: Moment) -> GateActions {
        let worse = slowdown > self.slowdown;
        // Durations are multiplied and divided by it.
        self.slowdown = if slowdown.is_nan() {
            MIN_SLOWDOWN
        } else {
            slowdown.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN)
        };
        let mut actions = GateActions::new();
        if worse {
            self.hand_back_calls(now, &mut actions);
        } else {
            self.start_ready_calls(now, &mut actions);
        }
        actions
    }

    /// Handles a call that requests admission: starts, queues, refuses or hands it back.
    ///
    /// Returns the actions to carry out; a queued call causes none yet.
    pub fn offer(&mut self, call: GateCall, now: Moment) -> GateActions {
        let mut actions = GateActions::new();
        self.update_pressure(now);
        let wait = self.expected_wait(&call, now);
        let expected = wait + self.expected_duration(call.work);
        let time_left = call.deadline.since(now);
        let max_wait = time_left.mul_f64(MAX_WAIT_FRACTION);
        let misses_objective = !wait.is_zero() && now + expected > call.objective;
        let congested = misses_objective && self.pressure > MAX_PRESSURE_FOR_LATE_CALLS;
        if let Some(elsewhere) = call.expected_elsewhere
            && is_worth_hand_back(elsewhere, expected)
        {
            let refusal = GateRefusal::FasterElsewhere { expected };
            actions.push(GateAction::Refuse(call.id, refusal));
        } else if congested
            || wait > max_wait
            || wait + self.baseline_duration(call.work) > time_left
        {
            let refusal = self.late_refusal(now);
            actions.push(GateAction::Refuse(call.id, refusal));
        } else {
            self.queue.push(Waiting { call, arrived: now });
            self.start_ready_calls(now, &mut actions);
        }
        actions
    }

    /// Updates the moving average of the time during which calls waited.
    fn update_pressure(&mut self, now: Moment) {
        let span = now.since(self.pressure_updated).as_secs_f64();
        let keep = (-span / PRESSURE_TIME_CONSTANT.as_secs_f64()).exp();
        let sample = if self.queue.is_empty() { 0.0 } else { 1.0 };
        self.pressure = self.pressure * keep + sample * (1.0 - keep);
        self.pressure_updated = now;
    }

    /// Records that a started call is being sent to the upstream.
    ///
    /// Until then it may still arrive at any moment and counts in full towards the limit of a cold
    /// upstream. A call that ends without this counts as sent at its end.
    pub fn record_sent(&mut self, id: GateCallId, now: Moment) {
        if let Some(running) = self.running.get_mut(&id)
            && !std::mem::replace(&mut running.sent, true)
        {
            self.start_limit.record_sent(now);
        }
    }

    /// Removes a call that has ended after it was started, or was cancelled while it waited.
    ///
    /// `answered` means that the upstream ran the call to its end, so that its duration is a sample
    /// for the baseline estimate. Returns the actions to carry out, such as starts in the free
    /// slot.
    pub fn finish(&mut self, id: GateCallId, answered: bool, now: Moment) -> GateActions {
        self.record_sent(id, now);
        match self.running.remove(&id) {
            Some(running) if answered => self.update_baseline(running, now),
            Some(_) => {}
            None => {
                self.update_pressure(now);
                self.queue.retain(|w| w.call.id != id);
            }
        }
        self.advance(now)
    }

    /// Refuses waiting calls that are now too late, starts those that may run, and returns these
    /// actions.
    ///
    /// Must be called again at the moment that [`Gate::next_due`] returns.
    pub fn advance(&mut self, now: Moment) -> GateActions {
        let mut actions = GateActions::new();
        self.update_pressure(now);
        let refusal = self.late_refusal(now);
        let waiting = std::mem::take(&mut self.queue);
        let (too_late, kept): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|w| self.latest_start(w) < now);
        self.queue = kept;
        for Waiting { call, .. } in too_late {
            actions.push(GateAction::Refuse(call.id, refusal));
        }
        self.start_ready_calls(now, &mut actions);
        actions
    }

    /// Removes and returns all waiting calls, for example when the upstream is shut down.
    pub fn refuse_waiting(&mut self) -> SmallVec<[GateCallId; 8]> {
        self.queue.drain(..).map(|w| w.call.id).collect()
    }

    /// Returns the moment at which [`Gate::advance`] is due, or `None` if no call waits.
    #[must_use]
    pub fn next_due(&self, now: Moment) -> Option<Moment> {
        let due = self.queue.iter().map(|w| {
            let held = self.hold_until(w).filter(|until| now < *until);
            let latest = self.latest_start(w);
            held.map_or(latest, |until| until.min(latest))
        });
        // A call is refused only after its latest start, so without the extra millisecond the gate
        // would still be due after it was advanced.
        let first = due.min()? + Duration::from_millis(1);
        let cold_release = self.start_limit.next_release(now);
        let limit_release = self.rate_limit.as_ref().and_then(|l| l.next_release(now));
        // If both limits hold calls back, the later one decides.
        let next_release = cold_release.max(limit_release);
        let next_start = next_release.filter(|_| self.running.len() < self.slots);
        Some(next_start.map_or(first, |start| start.min(first)))
    }

    /// Returns the time for which a new call would wait at the current speed.
    fn expected_wait(&self, call: &GateCall, now: Moment) -> Duration {
        let free = self.running.len() < self.slots && self.queue.is_empty();
        if free && self.allows_start(now) {
            return Duration::ZERO;
        }
        let key = self.sort_key(call, now);
        let waiting = self.queue.iter().map(|w| &w.call);
        let ahead = waiting.filter(|c| self.sort_key(c, now) <= key);
        let ahead: SmallVec<[Duration; 16]> =
            ahead.map(|c| self.baseline_duration(c.work)).collect();
        let slot_wait = self.completion_time(self.remaining_time(now), ahead.iter().sum());
        let limit_wait = self.rate_wait(ahead.len(), now);
        slot_wait.max(limit_wait.max(self.start_limit.wait(ahead.len(), now)))
    }

    /// Returns the number of starts within the window that the limit of a cold upstream covers.
    #[must_use]
    pub fn recent_starts(&self, now: Moment) -> usize {
        self.start_limit.recent_starts(now)
    }

    /// Returns the refusal of a call that cannot start in time.
    fn late_refusal(&self, now: Moment) -> GateRefusal {
        let drain_time = self.drain_time(now);
        let wait = self.rate_wait(self.queue.len(), now);
        if !wait.is_zero() && wait >= drain_time {
            GateRefusal::Limited { wait }
        } else {
            GateRefusal::Overloaded { drain_time }
        }
    }

    /// Returns the time until all calls that now run or wait have ended.
    fn drain_time(&self, now: Moment) -> Duration {
        let waiting = self
            .queue
            .iter()
            .map(|w| self.baseline_duration(w.call.work));
        let waiting: Duration = waiting.sum();
        let slot_time = self.completion_time(self.remaining_time(now), waiting);
        let limit_time = self.rate_wait(self.queue.len(), now);
        slot_time.max(limit_time.max(self.start_limit.wait(self.queue.len(), now)))
    }

    /// Returns the time in which all slots together finish the given remaining time of running
    /// calls and the given baseline durations of waiting ones.
    fn completion_time(&self, remaining_time: Duration, waiting: Duration) -> Duration {
        let slots = self.slots as f64;
        (remaining_time + waiting.mul_f64(self.slowdown)).div_f64(slots)
    }

    /// Returns the sum of the expected remaining durations of the running calls.
    fn remaining_time(&self, now: Moment) -> Duration {
        let remaining = self.running.values().map(|r| {
            let baseline = self.baseline_duration(r.work);
            let expected = baseline.mul_f64(r.slowdown);
            expected
                .saturating_sub(now.since(r.started))
                .max(baseline.mul_f64(MIN_REMAINING_FRACTION))
        });
        remaining.sum()
    }

    /// Returns the key by which the queue is sorted; the lowest starts first.
    ///
    /// Orders by priority, then calls that can still meet their objective before those that cannot,
    /// then by the objective of the former and the deadline of the latter.
    fn sort_key(&self, call: &GateCall, now: Moment) -> (u8, bool, Moment) {
        let end = now + self.baseline_duration(call.work);
        let misses_objective = end > call.objective;
        let due = if misses_objective {
            call.deadline
        } else {
            call.objective
        };
        (call.priority, misses_objective, due)
    }

    /// Starts waiting calls in queue order while slots and the limit of a cold upstream allow it.
    fn start_ready_calls(&mut self, now: Moment, actions: &mut GateActions) {
        while self.running.len() < self.slots && self.allows_start(now) {
            let ready = self
                .queue
                .iter()
                .enumerate()
                .filter(|(_, w)| !self.is_held(w, now));
            let best = ready.map(|(index, w)| (index, self.sort_key(&w.call, now)));
            let best = best.min_by_key(|(_, key)| *key);
            let Some((best, _)) = best else {
                return;
            };
            let call = self.queue.swap_remove(best).call;
            let running = Running {
                work: call.work,
                started: now,
                slowdown: self.slowdown,
                sent: false,
            };
            self.running.insert(call.id, running);
            self.start_limit.record_start();
            if let Some(limit) = &mut self.rate_limit {
                limit.record_start(now);
            }
            actions.push(GateAction::Start(call.id));
        }
    }

    /// Hands back the waiting calls that another upstream is expected to finish earlier.
    fn hand_back_calls(&mut self, now: Moment, actions: &mut GateActions) {
        let waiting = std::mem::take(&mut self.queue);
        for entry in waiting {
            let call = entry.call;
            let wait = self.expected_wait(&call, now);
            let expected = wait + self.expected_duration(call.work);
            match call.expected_elsewhere {
                Some(elsewhere) if is_worth_hand_back(elsewhere, expected) => {
                    let refusal = GateRefusal::FasterElsewhere { expected };
                    actions.push(GateAction::Refuse(call.id, refusal));
                }
                _ => self.queue.push(entry),
            }
        }
    }
}

/// Returns whether a call should be handed back that is expected to end here after `expected`, and
/// at another upstream after `elsewhere`.
fn is_worth_hand_back(elsewhere: Duration, expected: Duration) -> bool {
    expected > elsewhere.mul_f64(MIN_HAND_BACK_RATIO) + MIN_HAND_BACK_GAIN
}
