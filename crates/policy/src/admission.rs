//! Admission control in the guard, the daemon beside an upstream: decides when a request may start.
//!
//! The controller counts running requests exactly, adapts a concurrency limit to each run of the
//! upstream process, and keeps requests above the limit in a bounded queue.
//!
//! An upstream that has just started is cold: it can run only few requests concurrently and is slow
//! until it has warmed up. Therefore the limit starts low.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use cornelvalve_model::{AnswerSignals, Incarnation, LoadHint, Moment, Nesting, Reason};
use smallvec::SmallVec;

mod limit;
mod upstream;

use upstream::CurrentUpstream;

/// Identifies a request within one guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// How a request that was sent to the upstream ended, as far as the state of the upstream is
/// concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// The upstream answered.
    Success,
    /// The upstream answered with a server error.
    Failure,
    /// The connection was refused or reset, which suggests that the upstream restarted.
    ConnectionLost,
    /// The request was cancelled; this says nothing about the health of the upstream.
    Cancelled,
}

/// Input to the admission state machine.
#[derive(Clone, Copy, Debug)]
pub enum AdmissionEvent {
    /// A request arrived and needs admission.
    Arrived {
        /// The request; the id must not belong to a queued or running request.
        id: RequestId,
        /// Moment at which the caller stops waiting.
        deadline: Moment,
        /// Trace and depth of the request in its chain of nested calls, if known.
        nesting: Option<Nesting>,
    },
    /// The caller of a queued request stopped waiting.
    Cancelled {
        /// The request.
        id: RequestId,
    },
    /// A started request ended, successfully or not.
    Finished {
        /// The request.
        id: RequestId,
        /// How it ended.
        result: RequestResult,
        /// Time from its start to its end.
        service_time: Duration,
    },
    /// The upstream announced itself. A repeated announcement of the same incarnation changes only
    /// the number of slots.
    UpstreamAnnounced {
        /// Identifies the run of the upstream process; increases with each restart.
        incarnation: Incarnation,
        /// Number of requests that the upstream can run concurrently once warm.
        slots: u16,
    },
    /// The upstream shut down, crashed or did not announce itself again in time.
    UpstreamLost,
    /// The upstream is draining: no request is admitted until a new incarnation starts.
    UpstreamDraining,
    /// This daemon is leaving, that is, shutting down: no further request is admitted.
    DaemonLeaving,
    /// A response of an incarnation of the upstream said something about it.
    UpstreamSignals {
        /// The incarnation that responded.
        incarnation: Incarnation,
        /// What it said.
        answer: AnswerSignals,
    },
    /// Time passed; queued requests are checked against their deadlines.
    Tick,
}

/// Action that the caller of the state machine must carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the request to the upstream now.
    Start(RequestId),
    /// Answer that the request was not run, with this reason.
    Refuse(RequestId, Reason),
}

/// Actions that result from one event.
pub type AdmissionActions = SmallVec<[AdmissionAction; 2]>;

/// Queue capacity per slot of the upstream. With all slots in use, the last request in a full queue
/// waits for about four service times; callers' deadlines rarely leave more time than that.
const QUEUE_PER_SLOT: usize = 4;

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Request that waits for admission.
struct Queued {
    id: RequestId,
    deadline: Moment,
    nesting: Option<Nesting>,
}

/// Request that was sent to the upstream and has not ended.
struct Running {
    /// Incarnation of the upstream that the request was sent to.
    incarnation: Incarnation,
    nesting: Option<Nesting>,
}

/// Returns whether `inner` may be nested in `outer`: it is deeper in the same trace.
///
/// Trace and depth do not identify the parent call, so this can be true for unrelated branches.
fn is_nested_in(inner: Nesting, outer: Nesting) -> bool {
    inner.trace == outer.trace && inner.depth > outer.depth
}

/// Operator settings of admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Maximum number of queued requests. The queue is also limited to four requests per slot.
    pub queue_capacity: usize,
    /// Maximum number of concurrent connections that the upstream accepts; bounds its slots.
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

/// Admission controller for one upstream.
///
/// The queue is first in, first out, except that nested calls of running requests go first. No
/// other reordering is needed, because requests that are expected to miss their deadline are
/// refused on arrival.
#[derive(Default)]
pub struct AdmissionController {
    settings: AdmissionSettings,
    upstream: Option<CurrentUpstream>,
    /// Highest incarnation seen; delayed announcements of earlier ones are ignored.
    latest_incarnation: Option<Incarnation>,
    running: HashMap<RequestId, Running>,
    queue: VecDeque<Queued>,
    /// Moving average of the service time of successful requests; reset when an upstream starts.
    service_time: Option<Duration>,
    /// Whether this daemon is shutting down.
    leaving: bool,
}

impl std::fmt::Debug for AdmissionController {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The shorter name is part of existing debug output.
        f.debug_struct("Admission")
            .field("hint", &self.load_hint())
            .finish_non_exhaustive()
    }
}

impl AdmissionController {
    /// Creates a controller without an upstream; it refuses all requests until one starts.
    #[must_use]
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Applies an event and returns the resulting actions.
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
                self.on_announcement(incarnation, slots);
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
            AdmissionEvent::UpstreamSignals {
                incarnation,
                answer,
            } => {
                let upstream = self.upstream.as_mut();
                let upstream = upstream.filter(|u| u.incarnation == incarnation);
                if upstream.is_some_and(|u| u.apply_signals(&answer, now)) {
                    self.refuse_queue(Reason::Draining, &mut actions);
                }
            }
            AdmissionEvent::Tick => {}
        }
        self.refuse_expired(now, &mut actions);
        self.dispatch(now, &mut actions);
        actions
    }

    /// Returns the load to report to the daemons that send requests here.
    #[must_use]
    pub fn load_hint(&self) -> LoadHint {
        let clamp = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        LoadHint {
            running: clamp(self.running.len()),
            queued: clamp(self.queue.len()),
            limit: self.limit(),
        }
    }

    /// Returns the number of running requests, including those sent to earlier incarnations.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that may run concurrently; zero without an upstream.
    #[must_use]
    pub fn limit(&self) -> u16 {
        self.upstream.as_ref().map_or(0, |u| u.limit.current())
    }

    /// Returns why no request is admitted at the moment, or `None` if requests are admitted.
    fn refusal_reason(&self) -> Option<Reason> {
        if self.leaving {
            return Some(Reason::Draining);
        }
        match &self.upstream {
            None => Some(Reason::NoUpstream),
            Some(upstream) if upstream.draining => Some(Reason::Draining),
            Some(_) => None,
        }
    }

    /// Refuses an arriving request if it cannot be served in time, otherwise queues it.
    fn arrive(
        &mut self,
        id: RequestId,
        deadline: Moment,
        nesting: Option<Nesting>,
        now: Moment,
        actions: &mut AdmissionActions,
    ) {
        if let Some(reason) = self.refusal_reason() {
            actions.push(AdmissionAction::Refuse(id, reason));
        } else if deadline <= now {
            actions.push(AdmissionAction::Refuse(id, Reason::Deadline));
        } else if self.is_overloaded(deadline.since(now), nesting, now) {
            actions.push(AdmissionAction::Refuse(id, Reason::Overloaded));
        } else {
            self.queue.push_back(Queued {
                id,
                deadline,
                nesting,
            });
        }
    }

    /// Returns whether the queue is full or a request that joins it now would miss its deadline.
    fn is_overloaded(&self, time_left: Duration, nesting: Option<Nesting>, now: Moment) -> bool {
        let Some(upstream) = &self.upstream else {
            return true;
        };
        if upstream.rate_wait(self.queue.len(), now) >= time_left {
            return true;
        }
        let limit = u32::from(upstream.limit.current());
        let ahead = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let active = upstream
            .in_flight
            .saturating_sub(self.count_blocked(nesting));
        if ahead < limit.saturating_sub(active) {
            // There is free capacity, so the request starts at once.
            return false;
        }
        let slot_capacity = QUEUE_PER_SLOT * usize::from(upstream.limit.slots());
        let capacity = slot_capacity.min(self.settings.queue_capacity);
        if self.queue.len() >= capacity {
            return true;
        }
        // Time until the request is answered, in service times: the queue advances by `limit`
        // requests per service time, and the request itself takes one more.
        let service_times = f64::from(ahead + 1) / f64::from(limit.max(1)) + 1.0;
        self.service_time
            .is_some_and(|mean| mean.mul_f64(service_times) > time_left)
    }

    /// Records the end of a running request and adjusts the limit of its upstream.
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
            self.service_time = Some(match self.service_time {
                None => service_time,
                Some(old) => {
                    old.mul_f64(1.0 - SERVICE_TIME_WEIGHT)
                        + service_time.mul_f64(SERVICE_TIME_WEIGHT)
                }
            });
        }
        let upstream = self.upstream.as_mut();
        if let Some(upstream) = upstream.filter(|u| u.incarnation == incarnation) {
            upstream
                .limit
                .on_finished(result, service_time, upstream.in_flight, now);
            upstream.in_flight -= 1;
        }
    }

    /// Applies an announcement of the upstream. A new incarnation starts with a cold limit.
    fn on_announcement(&mut self, incarnation: Incarnation, slots: u16) {
        if self
            .latest_incarnation
            .is_some_and(|latest| incarnation < latest)
        {
            return;
        }
        self.latest_incarnation = Some(incarnation);
        let slots = slots.min(self.settings.max_connections);
        match &mut self.upstream {
            Some(upstream) if upstream.incarnation == incarnation => {
                upstream.limit.set_slots(slots);
            }
            current => {
                let running = self.running.values();
                let running = running.filter(|r| r.incarnation == incarnation).count();
                let in_flight = u32::try_from(running).unwrap_or(u32::MAX);
                *current = Some(CurrentUpstream::new(incarnation, slots, in_flight));
                self.service_time = None;
            }
        }
    }

    /// Refuses all queued requests.
    fn refuse_queue(&mut self, reason: Reason, actions: &mut AdmissionActions) {
        let refused = self.queue.drain(..);
        actions.extend(refused.map(|q| AdmissionAction::Refuse(q.id, reason)));
    }

    /// Refuses queued requests whose deadline has passed, for example while the process was paused.
    fn refuse_expired(&mut self, now: Moment, actions: &mut AdmissionActions) {
        self.queue.retain(|q| {
            let expired = q.deadline <= now;
            if expired {
                actions.push(AdmissionAction::Refuse(q.id, Reason::Deadline));
            }
            !expired
        });
    }

    /// Returns the number of running requests that are waiting for a queued call nested in them.
    ///
    /// A queued call blocks at most one running request at each smaller depth of the same trace.
    /// `arriving` is counted as if it were queued.
    fn count_blocked(&self, arriving: Option<Nesting>) -> u32 {
        let Some(upstream) = &self.upstream else {
            return 0;
        };
        let mut counts: BTreeMap<Nesting, u32> = BTreeMap::new();
        for running in self.running.values() {
            if running.incarnation == upstream.incarnation
                && let Some(nesting) = running.nesting
            {
                *counts.entry(nesting).or_default() += 1;
            }
        }
        let queued = self.queue.iter().filter_map(|q| q.nesting);
        let queued: SmallVec<[Nesting; 8]> = queued.chain(arriving).collect();
        let queued_deeper = |nesting: &Nesting| {
            let nested = queued.iter().filter(|q| is_nested_in(**q, *nesting));
            u32::try_from(nested.count()).unwrap_or(u32::MAX)
        };
        counts
            .iter()
            .map(|(nesting, running)| (*running).min(queued_deeper(nesting)))
            .sum()
    }

    /// Removes and returns the next request to start: the first nested call of a running request,
    /// because that request cannot finish without it, or else the head of the queue.
    fn take_next(&mut self) -> Option<Queued> {
        let is_nested = |q: &Queued| {
            let running = self.running.values().filter_map(|r| r.nesting);
            q.nesting
                .is_some_and(|nested| running.into_iter().any(|r| is_nested_in(nested, r)))
        };
        let index = self.queue.iter().position(is_nested).unwrap_or(0);
        self.queue.remove(index)
    }

    /// Starts queued requests while fewer requests than the limit are active.
    ///
    /// Running requests that wait for a nested call are not active. If they counted, a chain of
    /// calls that returns to this upstream could deadlock. The number of slots still bounds all
    /// running requests.
    fn dispatch(&mut self, now: Moment, actions: &mut AdmissionActions) {
        loop {
            let blocked = self.count_blocked(None);
            let Some(upstream) = &self.upstream else {
                return;
            };
            let active = upstream.in_flight.saturating_sub(blocked);
            let is_full = active >= u32::from(upstream.limit.current())
                || upstream.in_flight >= u32::from(upstream.limit.slots());
            if is_full || !upstream.allows_start(now) {
                return;
            }
            let Some(next) = self.take_next() else {
                return;
            };
            self.start(&next, now);
            actions.push(AdmissionAction::Start(next.id));
        }
    }

    /// Counts the request as running at the current upstream.
    fn start(&mut self, next: &Queued, now: Moment) {
        if let Some(upstream) = &mut self.upstream {
            upstream.record_start(now);
            let running = Running {
                incarnation: upstream.incarnation,
                nesting: next.nesting,
            };
            self.running.insert(next.id, running);
        }
    }
}
