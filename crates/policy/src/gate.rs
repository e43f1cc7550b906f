//! Admission to one upstream whose speed changes many times a second.
//!
//! Answers the load of an upstream that shares its VM: for parts of a second the same work takes
//! several times as long, while callers arrive in bursts. Work that begins in a slow time takes that
//! much longer to its end, so a call that would miss its objective is held until the slow time is
//! over, as long as its deadline allows. The gate knows the exact number of running calls, so that
//! the upstream never queues. It estimates when a call would end here and
//! hands back, as not run, every call that another place could end earlier; this makes the queue
//! one of the whole system. What waits is started by priority, then by what can still meet its
//! objective, and a call that cannot end before its deadline is refused at once. A cold upstream
//! gets no more starts in a second than it tolerates.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cornelvalve_model::Moment;
use smallvec::SmallVec;

/// Estimate of a call's work before the first one of its kind has ended.
const DEFAULT_WORK: Duration = Duration::from_millis(60);

/// Step by which the estimate of a call's work follows a sample, as a share of the estimate.
const WORK_STEP: f64 = 0.06;

/// Quantile of the samples that the estimate follows. It lies below the middle, because a call that
/// waits for calls of its own holds its slot longer without more work.
const WORK_QUANTILE: f64 = 0.4;

/// Share of its usual work that a call which runs longer than usual is expected to need still.
const RESIDUAL_SHARE: f64 = 0.25;

/// Span in which the starts at a cold upstream are counted. Longer than the second that the
/// upstream counts, because starts arrive there with a jitter of some milliseconds.
const COLD_WINDOW: Duration = Duration::from_millis(1100);

/// Share of the time until its deadline that a call may be expected to wait. What waits longer
/// would mostly be refused late.
const LONGEST_WAIT_SHARE: f64 = 0.6;

/// Span over which it is remembered that calls had to wait.
const PRESSURE_SPAN: Duration = Duration::from_millis(700);

/// Share of that span above which a call that would miss its objective is refused at once: what
/// can still meet its objective goes first and leaves no room for it.
const MAX_LATE_PRESSURE: f64 = 0.6;

/// Share of its time after which a waiting call that will miss its objective is refused, so that
/// its caller may come back while there is time.
const LATE_WAIT_SHARE: f64 = 0.5;

/// Slowdown from which calls may be held.
const HOLD_FROM: f64 = 2.0;

/// Expected rest of a slow time.
const SLOW_REST: Duration = Duration::from_millis(250);

/// Shortest time for which holding a call is worth while; slow times rarely end sooner.
const MIN_HOLD: Duration = Duration::from_millis(100);

/// Time within which a slow time mostly ends. A call that has it left is held even if a slow start
/// would then miss its deadline.
const HOLD_REACH: Duration = Duration::from_millis(400);

/// Part of its slow time that a held call is given more, so that it still ends before its deadline.
const HOLD_MARGIN: f64 = 1.1;

/// Difference below which another place counts as no better.
const BETTER_BY: Duration = Duration::from_millis(8);

/// Ratio below which another place counts as no better: what the sender knows of it may be old, and
/// a call that is handed back in vain has lost the way.
const BETTER_RATIO: f64 = 1.2;

/// Identifies a call at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GateCallId(pub u64);

/// Groups calls that take about the same work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkKey(pub u64);

/// Call that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct GateCall {
    /// Identifies the call.
    pub id: GateCallId,
    /// Kind of work.
    pub work: WorkKey,
    /// Priority; lower numbers go first.
    pub priority: u8,
    /// Moment by which an answer meets the latency objective.
    pub objective: Moment,
    /// Moment after which nobody waits for the answer.
    pub deadline: Moment,
    /// Time after which the call would end at the next best place; `None` if there is no other.
    pub expected_elsewhere: Option<Duration>,
}

/// Why a call is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateRefusal {
    /// Another place is expected to end the call earlier.
    FasterElsewhere {
        /// Expected time until the call would have ended here.
        expected: Duration,
    },
    /// The call cannot end before its deadline.
    Overloaded {
        /// Expected time until the present queue is empty.
        drain_time: Duration,
    },
}

/// What the owner of the gate should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateAction {
    /// Start the call.
    Start(GateCallId),
    /// Refuse the call; it has not run.
    Refuse(GateCallId, GateRefusal),
}

/// Actions in the order in which they should be carried out.
pub type GateActions = SmallVec<[GateAction; 4]>;

/// Share of what a cold upstream tolerates beyond its rate that is used; the rest covers starts that
/// it counts in another second.
const USED_TOLERANCE: f64 = 0.6;

/// How far the starts at a cold upstream may exceed its rate, in any one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Multiple of the rate.
    pub factor: f64,
    /// Starts besides.
    pub slack: f64,
}

impl ColdTolerance {
    /// Nothing beyond the rate.
    pub const NONE: Self = Self {
        factor: 1.0,
        slack: 0.0,
    };

    /// Returns the starts in a second at an upstream with this rate.
    #[must_use]
    pub fn limit(&self, rate: f64) -> f64 {
        let beyond = rate * (self.factor - 1.0) + self.slack;
        rate + beyond.max(0.0) * USED_TOLERANCE
    }
}

/// Rate limit of a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Moment at which the upstream is warm.
    pub until: Moment,
    /// Starts that it tolerates in a second.
    pub per_second: f64,
}

/// Load of a gate, as other daemons use it to place calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateLoad {
    /// Calls that run.
    pub running: u16,
    /// Calls that wait.
    pub waiting: u16,
    /// Calls that may run at once.
    pub slots: u16,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    call: GateCall,
    since: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    work: WorkKey,
    since: Moment,
    /// How many times longer than usual it takes.
    slowdown: f64,
}

/// Admission to one upstream.
#[derive(Debug)]
pub struct Gate {
    slots: usize,
    /// How many times longer than usual work takes now.
    slowdown: f64,
    cold: Option<ColdRate>,
    starts: VecDeque<Moment>,
    running: HashMap<GateCallId, Running>,
    queue: Vec<Waiting>,
    /// Share of the recent time in which calls waited.
    pressure: f64,
    pressed: Moment,
    /// Time that work of a kind takes at usual speed, in seconds.
    usual: HashMap<WorkKey, f64>,
}

impl Gate {
    /// Creates a gate for an upstream that runs `slots` calls at once.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots: slots.max(1),
            slowdown: 1.0,
            cold: None,
            starts: VecDeque::new(),
            running: HashMap::new(),
            queue: Vec::new(),
            pressure: 0.0,
            pressed: Moment::default(),
            usual: HashMap::new(),
        }
    }

    /// Returns the load.
    #[must_use]
    pub fn load(&self) -> GateLoad {
        let count = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        GateLoad {
            running: count(self.running.len()),
            waiting: count(self.queue.len()),
            slots: count(self.slots),
        }
    }

    /// Sets the number of calls that may run at once.
    pub fn set_slots(&mut self, slots: usize, now: Moment) -> GateActions {
        self.slots = slots.max(1);
        self.advance(now)
    }

    /// Sets the rate limit of a cold upstream, or removes it.
    pub fn set_cold_rate(&mut self, cold: Option<ColdRate>, now: Moment) -> GateActions {
        self.cold = cold;
        self.advance(now)
    }

    /// Tells whether the upstream is cold.
    #[must_use]
    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold.is_some_and(|c| now < c.until)
    }

    /// Sets how many times longer than usual work takes at this moment.
    ///
    /// Waiting calls that another place would now end earlier are handed back; held calls start when
    /// the slow time is over.
    pub fn set_slowdown(&mut self, slowdown: f64, now: Moment) -> GateActions {
        let worse = slowdown > self.slowdown;
        self.slowdown = slowdown.max(0.1);
        let mut actions = GateActions::new();
        if worse {
            self.hand_back(now, &mut actions);
        } else {
            self.start_waiting(now, &mut actions);
        }
        actions
    }

    /// Handles a call that asks for admission.
    pub fn offer(&mut self, call: GateCall, now: Moment) -> GateActions {
        let mut actions = GateActions::new();
        self.note_pressure(now);
        let wait = self.expected_wait(&call, now);
        let expected = wait + self.expected_work(call.work);
        let left = call.deadline.since(now);
        let limit = left.mul_f64(LONGEST_WAIT_SHARE);
        let late = !wait.is_zero() && now + expected > call.objective;
        let crowded = late && self.pressure > MAX_LATE_PRESSURE;
        if let Some(elsewhere) = call.expected_elsewhere
            && is_better(elsewhere, expected)
        {
            let refusal = GateRefusal::FasterElsewhere { expected };
            actions.push(GateAction::Refuse(call.id, refusal));
        } else if crowded || wait > limit || wait + self.baseline_duration(call.work) > left {
            let drain = self.drain_time(now);
            let refusal = GateRefusal::Overloaded { drain_time: drain };
            actions.push(GateAction::Refuse(call.id, refusal));
        } else {
            self.queue.push(Waiting { call, since: now });
            self.start_waiting(now, &mut actions);
        }
        actions
    }

    /// Updates the share of the recent time in which calls waited.
    fn note_pressure(&mut self, now: Moment) {
        let span = now.since(self.pressed).as_secs_f64();
        let keep = (-span / PRESSURE_SPAN.as_secs_f64()).exp();
        let waited = if self.queue.is_empty() { 0.0 } else { 1.0 };
        self.pressure = self.pressure * keep + waited * (1.0 - keep);
        self.pressed = now;
    }

    /// Handles the end of a call that was started, or its cancellation while it waited.
    ///
    /// `answered` tells that the upstream did all of the work, so that its time may be learned.
    pub fn finish(&mut self, id: GateCallId, answered: bool, now: Moment) -> GateActions {
        match self.running.remove(&id) {
            Some(running) if answered => self.learn(running, now),
            Some(_) => {}
            None => {
                self.note_pressure(now);
                self.queue.retain(|w| w.call.id != id);
            }
        }
        self.advance(now)
    }

    /// Refuses what cannot end before its deadline any more and starts what may run.
    pub fn advance(&mut self, now: Moment) -> GateActions {
        let mut actions = GateActions::new();
        self.note_pressure(now);
        let drain = self.drain_time(now);
        let waiting = std::mem::take(&mut self.queue);
        let (hopeless, kept): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|w| self.last_start(w) < now);
        self.queue = kept;
        for Waiting { call, .. } in hopeless {
            let refusal = GateRefusal::Overloaded { drain_time: drain };
            actions.push(GateAction::Refuse(call.id, refusal));
        }
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Refuses everything that waits, as when the upstream leaves.
    pub fn refuse_waiting(&mut self) -> SmallVec<[GateCallId; 8]> {
        self.queue.drain(..).map(|w| w.call.id).collect()
    }

    /// Returns the moment at which [`Gate::advance`] is due, if calls wait.
    #[must_use]
    pub fn next_due(&self, now: Moment) -> Option<Moment> {
        let last = self.queue.iter().map(|w| {
            let held = self.hold_until(w).filter(|until| now < *until);
            let last = self.last_start(w);
            held.map_or(last, |until| until.min(last))
        });
        let first = last.min()? + Duration::from_millis(1);
        let rate_limited = self.is_cold(now) && self.running.len() < self.slots;
        let mut recent = self.starts.iter().filter(|s| now.since(**s) < COLD_WINDOW);
        let oldest = recent.next().filter(|_| rate_limited);
        let free = oldest.map(|s| *s + COLD_WINDOW);
        Some(free.map_or(first, |f| f.min(first)))
    }

    /// Returns the moment after which a waiting call is refused.
    fn last_start(&self, waiting: &Waiting) -> Moment {
        let call = &waiting.call;
        let work = self.baseline_duration(call.work);
        let before = |end: Moment| Moment(end.0.saturating_sub(nanos(work)));
        if self.slowdown >= HOLD_FROM {
            return before(call.deadline);
        }
        let time = call.deadline.since(waiting.since);
        let patience = waiting.since + time.mul_f64(LATE_WAIT_SHARE);
        let in_time = before(call.objective);
        before(call.deadline).min(patience.max(in_time))
    }

    /// Tells whether calls are held because the upstream is slow.
    #[must_use]
    pub fn is_holding(&self) -> bool {
        self.slowdown >= HOLD_FROM && !self.queue.is_empty()
    }

    /// Returns the moment until which a waiting call is held while the upstream is slow.
    fn hold_until(&self, waiting: &Waiting) -> Option<Moment> {
        if self.slowdown < HOLD_FROM {
            return None;
        }
        let call = &waiting.call;
        let slow_work = self.baseline_duration(call.work).mul_f64(self.slowdown);
        if waiting.since + slow_work <= call.objective {
            return None;
        }
        if waiting.since + slow_work > call.deadline {
            return Some(self.last_start(waiting));
        }
        let slow_work = slow_work.mul_f64(HOLD_MARGIN);
        let until = Moment(call.deadline.0.saturating_sub(nanos(slow_work)));
        let last = self.last_start(waiting);
        if waiting.since + MIN_HOLD <= until {
            Some(until)
        } else {
            (waiting.since + HOLD_REACH <= last).then_some(last)
        }
    }

    /// Returns the time from the start of a call to its end at the present speed, or after the
    /// present slow time if that is sooner.
    fn expected_work(&self, key: WorkKey) -> Duration {
        let work = self.baseline_duration(key);
        work.mul_f64(self.slowdown).min(work + SLOW_REST)
    }

    fn learn(&mut self, running: Running, now: Moment) {
        let sample = now.since(running.since).as_secs_f64() / running.slowdown;
        let usual = self.usual.entry(running.work);
        let usual = usual.or_insert(DEFAULT_WORK.as_secs_f64());
        let step = if sample > *usual {
            WORK_QUANTILE
        } else {
            WORK_QUANTILE - 1.0
        };
        *usual *= 1.0 + WORK_STEP * step;
    }

    /// Returns the time that work of a kind takes at usual speed.
    #[must_use]
    pub fn baseline_duration(&self, key: WorkKey) -> Duration {
        let seconds = self.usual.get(&key);
        seconds.map_or(DEFAULT_WORK, |s| Duration::from_secs_f64(*s))
    }

    /// Returns the time for which a call would wait at the present speed.
    fn expected_wait(&self, call: &GateCall, now: Moment) -> Duration {
        let free = self.running.len() < self.slots && self.queue.is_empty();
        if free && self.may_start(now) {
            return Duration::ZERO;
        }
        let order = self.order(call, now);
        let waiting = self.queue.iter().map(|w| &w.call);
        let ahead = waiting.filter(|c| self.order(c, now) <= order);
        let ahead: SmallVec<[Duration; 16]> =
            ahead.map(|c| self.baseline_duration(c.work)).collect();
        let for_slot = self.time_for(self.residual(now), ahead.iter().sum());
        for_slot.max(self.cold_wait(ahead.len(), now))
    }

    /// Returns the time until a cold upstream tolerates one more start after `ahead` others.
    fn cold_wait(&self, ahead: usize, now: Moment) -> Duration {
        let Some(cold) = self.cold.filter(|c| now < c.until) else {
            return Duration::ZERO;
        };
        let recent = self.recent_starts(now);
        let limit = cold.per_second.max(1.0) as usize;
        let over = (recent + ahead + 1).saturating_sub(limit);
        let wait = match over {
            0 => Duration::ZERO,
            over if over <= recent => {
                let leaves_window = self.starts[self.starts.len() - recent + over - 1];
                (leaves_window + COLD_WINDOW).since(now)
            }
            over => COLD_WINDOW.mul_f64(over as f64 / limit as f64),
        };
        wait.min(cold.until.since(now))
    }

    /// Returns the number of starts in the span that counts for a cold upstream.
    fn recent_starts(&self, now: Moment) -> usize {
        let recent = self.starts.iter().rev();
        recent.take_while(|s| now.since(**s) < COLD_WINDOW).count()
    }

    /// Returns the time until everything that is here now has ended.
    fn drain_time(&self, now: Moment) -> Duration {
        let waiting = self
            .queue
            .iter()
            .map(|w| self.baseline_duration(w.call.work));
        let waiting: Duration = waiting.sum();
        let for_slots = self.time_for(self.residual(now), waiting);
        for_slots.max(self.cold_wait(self.queue.len(), now))
    }

    /// Returns the time in which all slots together end what runs and what waits.
    fn time_for(&self, residual: Duration, waiting: Duration) -> Duration {
        let slots = self.slots as f64;
        (residual + waiting.mul_f64(self.slowdown)).div_f64(slots)
    }

    /// Returns the time that the running calls still need, all together.
    fn residual(&self, now: Moment) -> Duration {
        let rest = self.running.values().map(|r| {
            let work = self.baseline_duration(r.work);
            let whole = work.mul_f64(r.slowdown);
            whole
                .saturating_sub(now.since(r.since))
                .max(work.mul_f64(RESIDUAL_SHARE))
        });
        rest.sum()
    }

    /// Returns the place of a call in the queue; smaller ones go first.
    fn order(&self, call: &GateCall, now: Moment) -> (u8, bool, Moment) {
        let end = now + self.baseline_duration(call.work);
        let late = end > call.objective;
        let due = if late { call.deadline } else { call.objective };
        (call.priority, late, due)
    }

    fn may_start(&self, now: Moment) -> bool {
        match self.cold {
            Some(cold) if now < cold.until => {
                (self.recent_starts(now) as f64) < cold.per_second.max(1.0)
            }
            _ => true,
        }
    }

    fn start_waiting(&mut self, now: Moment, actions: &mut GateActions) {
        while self.running.len() < self.slots && self.may_start(now) {
            let ready = self
                .queue
                .iter()
                .enumerate()
                .filter(|(_, w)| !self.holds(w, now));
            let best = ready.map(|(index, w)| (index, self.order(&w.call, now)));
            let best = best.min_by_key(|(_, order)| *order);
            let Some((best, _)) = best else {
                return;
            };
            let call = self.queue.swap_remove(best).call;
            let running = Running {
                work: call.work,
                since: now,
                slowdown: self.slowdown,
            };
            self.running.insert(call.id, running);
            self.note_start(now);
            actions.push(GateAction::Start(call.id));
        }
    }

    fn holds(&self, waiting: &Waiting, now: Moment) -> bool {
        self.hold_until(waiting).is_some_and(|until| now < until)
    }

    fn note_start(&mut self, now: Moment) {
        while self
            .starts
            .front()
            .is_some_and(|s| now.since(*s) >= COLD_WINDOW)
        {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    fn hand_back(&mut self, now: Moment, actions: &mut GateActions) {
        let waiting = std::mem::take(&mut self.queue);
        for entry in waiting {
            let call = entry.call;
            let wait = self.expected_wait(&call, now);
            let expected = wait + self.expected_work(call.work);
            match call.expected_elsewhere {
                Some(elsewhere) if is_better(elsewhere, expected) => {
                    let refusal = GateRefusal::FasterElsewhere { expected };
                    actions.push(GateAction::Refuse(call.id, refusal));
                }
                _ => self.queue.push(entry),
            }
        }
    }
}

/// Tells whether a call that would end here after `expected` should be handed back.
fn is_better(elsewhere: Duration, expected: Duration) -> bool {
    expected > elsewhere.mul_f64(BETTER_RATIO) + BETTER_BY
}

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
