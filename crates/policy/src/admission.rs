//! Admission beside the upstream: an exact count of running requests, a limit that is learned for
//! each incarnation, and a bounded queue.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use cornelvalve_model::{Incarnation, LoadHint, Moment, Nesting, Reason};
use smallvec::SmallVec;

mod limit;

use limit::Limit;

/// Identifies a request at one guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// The upstream answered.
    Success,
    /// The upstream answered with a failure of its own.
    Failure,
    /// The connection was refused or reset, a sign of a restarted upstream.
    ConnectionLost,
    /// The caller cancelled; says nothing about the upstream.
    Cancelled,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// A request asks for admission.
    Arrived {
        /// The request; must not be in use.
        id: RequestId,
        /// Moment at which its caller stops waiting.
        deadline: Moment,
        /// Its place among nested calls, if it is known.
        nesting: Option<Nesting>,
    },
    /// The caller of a queued request has gone.
    Cancelled {
        /// The request.
        id: RequestId,
    },
    /// A started request ended, in whatever way.
    Finished {
        /// The request.
        id: RequestId,
        /// How it ended.
        result: RequestResult,
        /// Time from its start to its end.
        service_time: Duration,
    },
    /// The upstream announced itself; repeats of the same incarnation change only the slots.
    UpstreamAnnounced {
        /// Start of the upstream process.
        incarnation: Incarnation,
        /// Requests that it runs at once when warm.
        slots: u16,
    },
    /// The upstream left, let its lease lapse or died.
    UpstreamLost,
    /// The upstream drains: no new work until a new incarnation starts.
    UpstreamDraining,
    /// The daemon leaves: no new work for the rest of its life.
    DaemonLeaving,
    /// Time passed.
    Tick,
}

/// What the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the request to the upstream now.
    Start(RequestId),
    /// Answer that the request was not run.
    Refuse(RequestId, Reason),
}

/// Actions that follow from one event.
pub type AdmissionActions = SmallVec<[AdmissionAction; 2]>;

/// Queue places for each slot; four service times is about what a deadline leaves.
const QUEUE_PER_SLOT: usize = 4;

/// Weight of a new service time in the estimate.
const ESTIMATE_WEIGHT: f64 = 0.1;

struct Queued {
    id: RequestId,
    deadline: Moment,
    nesting: Option<Nesting>,
}

struct Running {
    incarnation: Incarnation,
    nesting: Option<Nesting>,
}

/// Tells whether one call is nested in another, as far as trace and depth show it.
fn is_nested_in(inner: Nesting, outer: Nesting) -> bool {
    inner.trace == outer.trace && inner.depth > outer.depth
}

struct CurrentUpstream {
    incarnation: Incarnation,
    limit: Limit,
    running: u32,
    draining: bool,
}

/// Bounds that operators set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Requests that wait at most, whatever the slots.
    pub queue_capacity: usize,
    /// Connections that the upstream accepts at once.
    pub max_connections: u16,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_capacity: 64,
            max_connections: 250,
        }
    }
}

/// Admission to one upstream.
///
/// The queue is first in, first out, but for nested calls of running requests, which go first:
/// arrivals that cannot be served in time are refused, so the queue holds no other requests that a
/// later one could overtake with profit.
#[derive(Default)]
pub struct AdmissionController {
    settings: AdmissionSettings,
    upstream: Option<CurrentUpstream>,
    /// Last incarnation seen, so that a delayed announcement of an earlier one is ignored.
    newest: Option<Incarnation>,
    running: HashMap<RequestId, Running>,
    queue: VecDeque<Queued>,
    estimate: Option<Duration>,
    leaving: bool,
}

impl std::fmt::Debug for AdmissionController {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Admission")
            .field("hint", &self.load_hint())
            .finish_non_exhaustive()
    }
}

impl AdmissionController {
    /// Creates admission without an upstream.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Applies an event and returns what follows from it.
    pub fn handle_event(&mut self, event: AdmissionEvent, now: Moment) -> AdmissionActions {
        let mut actions = AdmissionActions::new();
        match event {
            AdmissionEvent::Arrived {
                id,
                deadline,
                nesting,
            } => self.arrive(id, deadline, nesting, now, &mut actions),
            AdmissionEvent::Cancelled { id } => self.queue.retain(|q| q.id != id),
            AdmissionEvent::Finished {
                id,
                result,
                service_time,
            } => self.finish(id, result, service_time, now),
            AdmissionEvent::UpstreamAnnounced { incarnation, slots } => {
                self.start_upstream(incarnation, slots);
            }
            AdmissionEvent::UpstreamLost => {
                self.upstream = None;
                self.refuse_queue(Reason::NoUpstream, &mut actions);
            }
            AdmissionEvent::UpstreamDraining => {
                if let Some(upstream) = &mut self.upstream {
                    upstream.draining = true;
                }
                self.refuse_queue(Reason::Draining, &mut actions);
            }
            AdmissionEvent::DaemonLeaving => {
                self.leaving = true;
                self.refuse_queue(Reason::Draining, &mut actions);
            }
            AdmissionEvent::Tick => {}
        }
        self.refuse_expired(now, &mut actions);
        self.dispatch(&mut actions);
        actions
    }

    /// Returns the load to report to entries.
    #[must_use]
    pub fn load_hint(&self) -> LoadHint {
        let clamp = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        LoadHint {
            running: clamp(self.running.len()),
            queued: clamp(self.queue.len()),
            limit: self.limit(),
        }
    }

    /// Returns the requests that run, including those of earlier incarnations.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that may run at once; zero without an upstream.
    #[must_use]
    pub fn limit(&self) -> u16 {
        self.upstream.as_ref().map_or(0, |u| u.limit.current())
    }

    fn closed_reason(&self) -> Option<Reason> {
        if self.leaving {
            return Some(Reason::Draining);
        }
        match &self.upstream {
            None => Some(Reason::NoUpstream),
            Some(upstream) if upstream.draining => Some(Reason::Draining),
            Some(_) => None,
        }
    }

    fn arrive(
        &mut self,
        id: RequestId,
        deadline: Moment,
        nesting: Option<Nesting>,
        now: Moment,
        actions: &mut AdmissionActions,
    ) {
        if let Some(reason) = self.closed_reason() {
            actions.push(AdmissionAction::Refuse(id, reason));
        } else if deadline <= now {
            actions.push(AdmissionAction::Refuse(id, Reason::Deadline));
        } else if self.is_overloaded(deadline.since(now), nesting) {
            actions.push(AdmissionAction::Refuse(id, Reason::Overloaded));
        } else {
            self.queue.push_back(Queued {
                id,
                deadline,
                nesting,
            });
        }
    }

    /// Tells whether a request that joins the queue now would be served too late.
    fn is_overloaded(&self, time_left: Duration, nesting: Option<Nesting>) -> bool {
        let Some(upstream) = &self.upstream else {
            return true;
        };
        let limit = u32::from(upstream.limit.current());
        let ahead = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let working = upstream.running.saturating_sub(self.blocked(nesting));
        if ahead < limit.saturating_sub(working) {
            return false;
        }
        let per_slots = QUEUE_PER_SLOT * usize::from(upstream.limit.slots());
        let capacity = per_slots.min(self.settings.queue_capacity);
        if self.queue.len() >= capacity {
            return true;
        }
        // The requests in front leave `limit` at a time, and this one takes one service time.
        let rounds = f64::from(ahead + 1) / f64::from(limit.max(1)) + 1.0;
        self.estimate
            .is_some_and(|estimate| estimate.mul_f64(rounds) > time_left)
    }

    fn finish(
        &mut self,
        id: RequestId,
        result: RequestResult,
        service_time: Duration,
        now: Moment,
    ) {
        let Some(Running { incarnation, .. }) = self.running.remove(&id) else {
            return;
        };
        if result == RequestResult::Success {
            self.estimate = Some(match self.estimate {
                None => service_time,
                Some(old) => {
                    old.mul_f64(1.0 - ESTIMATE_WEIGHT) + service_time.mul_f64(ESTIMATE_WEIGHT)
                }
            });
        }
        let upstream = self.upstream.as_mut();
        if let Some(upstream) = upstream.filter(|u| u.incarnation == incarnation) {
            upstream
                .limit
                .on_finished(result, service_time, upstream.running, now);
            upstream.running -= 1;
        }
    }

    fn start_upstream(&mut self, incarnation: Incarnation, slots: u16) {
        if self.newest.is_some_and(|newest| incarnation < newest) {
            return;
        }
        self.newest = Some(incarnation);
        let slots = slots.min(self.settings.max_connections);
        match &mut self.upstream {
            Some(upstream) if upstream.incarnation == incarnation => {
                upstream.limit.set_slots(slots);
            }
            current => {
                let running = self.running.values();
                let running = running.filter(|r| r.incarnation == incarnation).count();
                *current = Some(CurrentUpstream {
                    incarnation,
                    limit: Limit::new(slots),
                    running: u32::try_from(running).unwrap_or(u32::MAX),
                    draining: false,
                });
                self.estimate = None;
            }
        }
    }

    fn refuse_queue(&mut self, reason: Reason, actions: &mut AdmissionActions) {
        let refused = self.queue.drain(..);
        actions.extend(refused.map(|q| AdmissionAction::Refuse(q.id, reason)));
    }

    /// Refuses queued requests whose deadline passed, for example during a pause of the process.
    fn refuse_expired(&mut self, now: Moment, actions: &mut AdmissionActions) {
        self.queue.retain(|q| {
            let expired = q.deadline <= now;
            if expired {
                actions.push(AdmissionAction::Refuse(q.id, Reason::Deadline));
            }
            !expired
        });
    }

    /// Counts the running requests that wait for a call nested in them: for each queued call of the
    /// same trace at most one on each level above it. `arriving` counts as queued.
    fn blocked(&self, arriving: Option<Nesting>) -> u32 {
        let Some(upstream) = &self.upstream else {
            return 0;
        };
        let mut levels: BTreeMap<Nesting, u32> = BTreeMap::new();
        for running in self.running.values() {
            if running.incarnation == upstream.incarnation
                && let Some(nesting) = running.nesting
            {
                *levels.entry(nesting).or_default() += 1;
            }
        }
        let queued = self.queue.iter().filter_map(|q| q.nesting);
        let queued: SmallVec<[Nesting; 8]> = queued.chain(arriving).collect();
        let waiting = |level: &Nesting| {
            let nested = queued.iter().filter(|q| is_nested_in(**q, *level));
            u32::try_from(nested.count()).unwrap_or(u32::MAX)
        };
        levels
            .iter()
            .map(|(level, n)| (*n).min(waiting(level)))
            .sum()
    }

    /// Takes the next request from the queue: a nested call of a running request, which ends the
    /// wait of that one, or else the first.
    fn take_next(&mut self) -> Option<Queued> {
        let is_nested = |q: &Queued| {
            let running = self.running.values().filter_map(|r| r.nesting);
            q.nesting
                .is_some_and(|nested| running.into_iter().any(|r| is_nested_in(nested, r)))
        };
        let index = self.queue.iter().position(is_nested).unwrap_or(0);
        self.queue.remove(index)
    }

    /// Starts queued requests while fewer than the limit work. Requests that wait for a nested call
    /// of theirs do not count, or a chain of calls through few upstreams could never end; they are
    /// still bounded by the slots.
    fn dispatch(&mut self, actions: &mut AdmissionActions) {
        loop {
            let blocked = self.blocked(None);
            let Some(upstream) = &self.upstream else {
                return;
            };
            let working = upstream.running.saturating_sub(blocked);
            let is_full = working >= u32::from(upstream.limit.current())
                || upstream.running >= u32::from(upstream.limit.slots());
            if is_full {
                return;
            }
            let Some(next) = self.take_next() else {
                return;
            };
            self.start(&next);
            actions.push(AdmissionAction::Start(next.id));
        }
    }

    fn start(&mut self, next: &Queued) {
        if let Some(upstream) = &mut self.upstream {
            upstream.running += 1;
            let running = Running {
                incarnation: upstream.incarnation,
                nesting: next.nesting,
            };
            self.running.insert(next.id, running);
        }
    }
}
