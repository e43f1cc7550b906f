//! Discrete-event simulation of requests from several daemons to the upstreams of one service.
//!
//! An entry is a daemon that receives requests from callers and selects an upstream for each. A
//! guard is a daemon beside an upstream; it admits the requests sent there.

mod endpoints;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use cornelvalve_model::{LoadHint, Moment, Outcome, Reason, RequestClass, ServiceName, VmName};
use cornelvalve_policy::{
    AdmissionAction, AdmissionActions, AdmissionEvent, AttemptId, AttemptOutcome, AttemptReport,
    ChoiceRequest, Endpoint, RequestId, RequestResult, RetryDecision, retry_decision,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::summary::Summary;
use crate::variant::{Fault, Variant};
use endpoints::{Entry, SLOTS, SimulatedUpstream, UPSTREAMS, endpoint, entry, simulated_upstream};

/// Time during which requests arrive.
const RUN_TIME: Duration = Duration::from_secs(20);
/// Requests that start before 2 s are not counted, because admission limits are still growing.
const WARM_UP_END: Moment = Moment(2_000_000_000);
/// Moment at which the fault starts, 5 s.
const FAULT_START: Moment = Moment(5_000_000_000);
/// Time from the arrival of a request until it fails.
const DEADLINE: Duration = Duration::from_secs(1);
/// Mean time that an upstream takes for a request; the times are exponentially distributed.
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(5);
/// Moment at which an overload ends, 10 s.
const OVERLOAD_END: Moment = Moment(10_000_000_000);
/// Load during an overload, as a fraction of the total capacity.
const OVERLOAD_FACTOR: f64 = 2.0;
/// Network delay between two daemons, in one direction.
const ONE_WAY_DELAY: Duration = Duration::from_micros(500);
/// Time that an attempt takes to fail at an upstream that fails fast.
const FAST_FAILURE_TIME: Duration = Duration::from_micros(200);
/// Number of requests after which a cold upstream is warm.
const COLD_REQUESTS: u32 = 500;
/// Factor by which service times are longer at a cold upstream.
const COLD_FACTOR: f64 = 8.0;
/// Factor by which service times are longer at a straggler.
const STRAGGLER_FACTOR: f64 = 10.0;
/// Interval at which reported loads are updated if they are stale.
const STALE_HINT_INTERVAL: Duration = Duration::from_millis(200);

/// Simulated event. Requests and attempts are identified by their keys in [`Simulation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A new request arrives at a random entry.
    RequestArrived,
    /// An attempt arrives at the guard.
    AttemptArrived(u64),
    /// The upstream finishes an attempt.
    ServiceDone(u64),
    /// The response of an attempt arrives at the entry.
    ResponseArrived(u64),
    /// A hedge of the request is due.
    HedgeDue(u64),
    /// The deadline of the request passes.
    DeadlinePassed(u64),
}

struct Request {
    /// Index of the entry that received the request.
    entry: usize,
    start: Moment,
    /// VMs that attempts were sent to.
    tried: Vec<VmName>,
    /// Keys of the attempts that have not ended.
    running: Vec<u64>,
    done: bool,
}

struct Attempt {
    /// Key of the request.
    request: u64,
    id: AttemptId,
    /// Index of the endpoint.
    endpoint: usize,
    started: Moment,
    service_start: Moment,
    outcome: AttemptOutcome,
    hint: LoadHint,
}

/// State of a simulation run.
pub(crate) struct Simulation {
    variant: Variant,
    fault: Fault,
    /// Offered load, as a fraction of the total capacity.
    load: f64,
    rng: SmallRng,
    now: Moment,
    /// Scheduled events, ordered by moment and then by the order in which they were scheduled.
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    /// Number of events scheduled so far; also the key of the next request or attempt, which is
    /// unique because each of them schedules an event.
    sequence: u64,
    service: ServiceName,
    entries: Vec<Entry>,
    upstreams: Vec<SimulatedUpstream>,
    /// Requests by key.
    requests: HashMap<u64, Request>,
    /// Attempts by key.
    attempts: HashMap<u64, Attempt>,
    /// Start and latency of each successful request.
    latencies: Vec<(Moment, Duration)>,
    /// Number of failed requests.
    failed: u64,
    /// Number of requests.
    total: u64,
}

impl Simulation {
    /// Creates a run with the given number of entries. The random seed is fixed, so that runs with
    /// the same arguments are identical.
    pub(crate) fn new(variant: Variant, fault: Fault, load: f64, entries: usize) -> Self {
        let service = ServiceName::new("estimateur").expect("valid name");
        let endpoints: Vec<Endpoint> = (0..UPSTREAMS).map(endpoint).collect();
        let mut entries: Vec<Entry> = (0..entries).map(|i| entry(i, variant)).collect();
        for entry in &mut entries {
            entry.balancer.set_endpoints(&service, &endpoints);
        }
        Self {
            variant,
            fault,
            load,
            rng: SmallRng::seed_from_u64(42),
            now: Moment(0),
            events: BinaryHeap::new(),
            sequence: 0,
            service,
            entries,
            upstreams: (0..UPSTREAMS)
                .map(|_| simulated_upstream(variant))
                .collect(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            latencies: Vec::new(),
            failed: 0,
            total: 0,
        }
    }

    /// Schedules an event.
    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    /// Returns a random duration from an exponential distribution.
    fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        mean.mul_f64(-uniform.ln())
    }

    /// Runs the simulation until no event is left.
    pub(crate) fn run(mut self) -> Summary {
        self.schedule(Duration::ZERO, Event::RequestArrived);
        let mut fault_pending = self.fault == Fault::Cold;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if fault_pending && at >= FAULT_START {
                fault_pending = false;
                self.upstreams[0].cold_left = COLD_REQUESTS;
            }
            match event {
                Event::RequestArrived => self.on_request(),
                Event::AttemptArrived(attempt) => self.on_attempt(attempt),
                Event::ServiceDone(attempt) => self.on_service_done(attempt),
                Event::ResponseArrived(attempt) => self.on_response(attempt),
                Event::HedgeDue(request) => self.on_hedge_due(request),
                Event::DeadlinePassed(request) => self.on_deadline(request),
            }
        }
        Summary::of(&mut self.latencies, self.failed, self.total)
    }

    fn on_request(&mut self) {
        let capacity = UPSTREAMS as f64 * f64::from(SLOTS);
        let overloaded =
            self.fault == Fault::Overload && (FAULT_START..OVERLOAD_END).contains(&self.now);
        let load = if overloaded {
            OVERLOAD_FACTOR
        } else {
            self.load
        };
        let interval = self.exponential(MEAN_SERVICE_TIME.div_f64(capacity * load));
        if self.now + interval < Moment(0) + RUN_TIME {
            self.schedule(interval, Event::RequestArrived);
        }
        let entry = self.rng.random_range(0..self.entries.len());
        let id = self.sequence;
        let request = Request {
            entry,
            start: self.now,
            tried: Vec::new(),
            running: Vec::new(),
            done: false,
        };
        self.requests.insert(id, request);
        self.total += u64::from(self.now >= WARM_UP_END);
        self.entries[entry].retries.on_request();
        self.entries[entry].hedges.on_request();
        self.schedule(DEADLINE, Event::DeadlinePassed(id));
        if self.variant.hedging {
            let delay = self.entries[entry].hedges.delay();
            self.schedule(delay, Event::HedgeDue(id));
        }
        self.start_attempt(id);
    }

    /// Starts an attempt of the request and returns whether there was an endpoint for it.
    fn start_attempt(&mut self, id: u64) -> bool {
        let request = self.requests.get_mut(&id).expect("known request");
        let entry = &mut self.entries[request.entry];
        let mut excluded = request.tried.clone();
        let choice = loop {
            let choice_request = ChoiceRequest {
                service: &self.service,
                allowed_regions: None,
                excluded_vms: &excluded,
                excluded_domains: &[],
                time_left: (request.start + DEADLINE).since(self.now),
            };
            let Ok(choice) = entry.balancer.choose(&choice_request, self.now) else {
                return false;
            };
            let index = index_of(&choice.endpoint.vm);
            if entry.breakers[index].allows(self.now) {
                break choice;
            }
            let report = AttemptReport {
                outcome: AttemptOutcome::Cancelled,
                latency: Duration::ZERO,
                hint: None,
            };
            entry.balancer.finish(choice.attempt, &report, self.now);
            excluded.push(choice.endpoint.vm);
        };
        let key = self.sequence;
        request.tried.push(choice.endpoint.vm.clone());
        request.running.push(key);
        let attempt = Attempt {
            request: id,
            id: choice.attempt,
            endpoint: index_of(&choice.endpoint.vm),
            started: self.now,
            service_start: self.now,
            outcome: AttemptOutcome::Answered,
            hint: LoadHint::default(),
        };
        self.attempts.insert(key, attempt);
        self.schedule(ONE_WAY_DELAY, Event::AttemptArrived(key));
        true
    }

    fn on_attempt(&mut self, key: u64) {
        let attempt = &self.attempts[&key];
        let request = &self.requests[&attempt.request];
        let deadline = request.start + DEADLINE;
        let index = attempt.endpoint;
        if request.done {
            self.answer(key, AttemptOutcome::Cancelled);
        } else if self.variant.admission {
            let event = AdmissionEvent::Arrived {
                id: RequestId(key),
                deadline,
                nesting: None,
            };
            let actions = self.upstreams[index]
                .admission
                .handle_event(event, self.now);
            self.execute(actions);
        } else {
            self.start_service(key);
        }
    }

    /// Carries out the actions of an admission controller.
    fn execute(&mut self, actions: AdmissionActions) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.start_service(id.0),
                AdmissionAction::Refuse(id, reason) => {
                    self.answer(id.0, AttemptOutcome::Refused(reason));
                }
            }
        }
    }

    /// Starts an attempt at the upstream.
    fn start_service(&mut self, key: u64) {
        let index = self.attempts[&key].endpoint;
        let faulty = index == 0 && self.now >= FAULT_START;
        let mut service_time = self.exponential(MEAN_SERVICE_TIME);
        let upstream = &mut self.upstreams[index];
        upstream.running += 1;
        // Requests beyond the number of slots slow down all requests.
        let slowdown = (f64::from(upstream.running) / f64::from(SLOTS)).max(1.0);
        service_time = service_time.mul_f64(slowdown);
        if upstream.cold_left > 0 {
            upstream.cold_left -= 1;
            // A cold upstream can run two requests concurrently; more slow each other down.
            let cold_slowdown = (f64::from(upstream.running) / 2.0).max(1.0);
            service_time = service_time.mul_f64(COLD_FACTOR * cold_slowdown);
        }
        let is_straggler = matches!(self.fault, Fault::Straggler | Fault::StaleStraggler);
        if faulty && is_straggler {
            service_time = service_time.mul_f64(STRAGGLER_FACTOR);
        }
        let attempt = self.attempts.get_mut(&key).expect("known attempt");
        attempt.service_start = self.now;
        if faulty && self.fault == Fault::FailsFast {
            attempt.outcome = AttemptOutcome::Failed;
            service_time = FAST_FAILURE_TIME;
        }
        self.schedule(service_time, Event::ServiceDone(key));
    }

    fn on_service_done(&mut self, key: u64) {
        let attempt = &self.attempts[&key];
        let (index, outcome) = (attempt.endpoint, attempt.outcome);
        let service_time = self.now.since(attempt.service_start);
        self.upstreams[index].running -= 1;
        if self.variant.admission {
            let result = match outcome {
                AttemptOutcome::Answered => RequestResult::Success,
                _ => RequestResult::Failure,
            };
            let id = RequestId(key);
            let event = AdmissionEvent::Finished {
                id,
                result,
                service_time,
            };
            let actions = self.upstreams[index]
                .admission
                .handle_event(event, self.now);
            self.execute(actions);
        }
        self.answer(key, outcome);
    }

    /// Sends the response of an attempt to the entry, with the load that the guard reports.
    fn answer(&mut self, key: u64, outcome: AttemptOutcome) {
        let stale = matches!(self.fault, Fault::StaleHints | Fault::StaleStraggler);
        let attempt = self.attempts.get_mut(&key).expect("known attempt");
        let upstream = &mut self.upstreams[attempt.endpoint];
        if !stale || self.now.since(upstream.hint_at) >= STALE_HINT_INTERVAL {
            upstream.hint = upstream.admission.load_hint();
            upstream.hint_at = self.now;
        }
        attempt.outcome = outcome;
        attempt.hint = upstream.hint;
        self.schedule(ONE_WAY_DELAY, Event::ResponseArrived(key));
    }

    fn on_response(&mut self, key: u64) {
        let attempt = self.attempts.remove(&key).expect("known attempt");
        let request = self
            .requests
            .get_mut(&attempt.request)
            .expect("known request");
        if !request.running.contains(&key) {
            // The attempt was cancelled, and its end has been reported to the balancer.
            return;
        }
        request.running.retain(|k| *k != key);
        let entry = &mut self.entries[request.entry];
        let latency = self.now.since(attempt.started);
        let hint = self.variant.hints.then_some(attempt.hint);
        let report = AttemptReport {
            outcome: attempt.outcome,
            latency,
            hint,
        };
        entry.balancer.finish(attempt.id, &report, self.now);
        entry.breakers[attempt.endpoint].record_outcome(attempt.outcome, self.now);
        let (outcome, reason) = match attempt.outcome {
            AttemptOutcome::Answered => {
                entry.hedges.on_latency(latency);
                self.succeed(attempt.request);
                return;
            }
            AttemptOutcome::Refused(reason) => (Outcome::NotRun, reason),
            AttemptOutcome::Failed => (Outcome::Unknown, Reason::Connection),
            AttemptOutcome::Cancelled => return,
        };
        let time_left = (request.start + DEADLINE).since(self.now);
        let attempts = u32::try_from(request.tried.len()).unwrap_or(u32::MAX);
        let class = RequestClass::Idempotent;
        let decision = retry_decision(class, outcome, reason, attempts, time_left, true);
        let retried = decision == RetryDecision::Retry
            && entry.retries.try_take()
            && self.start_attempt(attempt.request);
        if !retried && self.requests[&attempt.request].running.is_empty() {
            self.fail(attempt.request);
        }
    }

    fn on_hedge_due(&mut self, id: u64) {
        let request = &self.requests[&id];
        let entry = &mut self.entries[request.entry];
        if !request.done && entry.hedges.try_take(RequestClass::Idempotent) {
            self.start_attempt(id);
        }
    }

    fn on_deadline(&mut self, id: u64) {
        if !self.requests[&id].done {
            self.fail(id);
        }
    }

    fn succeed(&mut self, id: u64) {
        let start = self.requests[&id].start;
        if start >= WARM_UP_END {
            self.latencies.push((start, self.now.since(start)));
        }
        self.close(id);
    }

    fn fail(&mut self, id: u64) {
        self.failed += u64::from(self.requests[&id].start >= WARM_UP_END);
        self.close(id);
    }

    /// Ends a request and cancels its running attempts.
    fn close(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("known request");
        request.done = true;
        for key in std::mem::take(&mut request.running) {
            let attempt = &self.attempts[&key];
            let report = AttemptReport {
                outcome: AttemptOutcome::Cancelled,
                latency: self.now.since(attempt.started),
                hint: None,
            };
            let balancer = &mut self.entries[request.entry].balancer;
            balancer.finish(attempt.id, &report, self.now);
        }
    }
}

/// Returns the index of the endpoint on the VM.
fn index_of(vm: &VmName) -> usize {
    let digits = vm.as_str().trim_start_matches("vm-");
    digits.parse().expect("name ends in its index")
}
