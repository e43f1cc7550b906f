//! Discrete-event model of entries, guards and upstreams.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use cornelvalve_model::{
    FailureDomain, Incarnation, LoadHint, Moment, Outcome, Reason, Region, RequestClass,
    ServiceName, VmName,
};
use cornelvalve_policy::{
    AdmissionAction, AdmissionActions, AdmissionController, AdmissionEvent, AdmissionSettings,
    AttemptId, AttemptOutcome, AttemptReport, Balancer, BalancerSettings, ChoiceRequest,
    CircuitBreaker, ConsecutiveBreaker, Endpoint, EndpointIncarnation, HedgeBudget,
    LeastOutstanding, Locality, NeverBreaks, Picker, PowerOfTwo, RequestId, RequestResult,
    RetryBudget, RetryDecision, RoundRobin, retry_decision,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::summary::Summary;
use crate::variant::{Fault, PickerKind, Variant};

const ENDPOINTS: usize = 6;
const SLOTS: u16 = 10;
const RUN_TIME: Duration = Duration::from_secs(20);
/// Time before which latencies are not counted, so that all limits are warm.
const WARM_UP: Moment = Moment(2_000_000_000);
/// Moment at which the fault begins.
const FAULT_AT: Moment = Moment(5_000_000_000);
const DEADLINE: Duration = Duration::from_secs(1);
const MEAN_SERVICE: Duration = Duration::from_millis(5);
/// End of an overload.
const OVERLOAD_END: Moment = Moment(10_000_000_000);
/// Load during an overload, as a share of the capacity of all slots.
const OVERLOAD: f64 = 2.0;
const ONE_WAY: Duration = Duration::from_micros(500);
const CONNECTION_FAILURE: Duration = Duration::from_micros(200);
const COLD_REQUESTS: u32 = 500;
const COLD_FACTOR: f64 = 8.0;
const STRAGGLER_FACTOR: f64 = 10.0;
const STALE_HINT: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    AtGuard(u64),
    Done(u64),
    Back(u64),
    Hedge(u64),
    Deadline(u64),
}

struct Request {
    entry: usize,
    start: Moment,
    tried: Vec<VmName>,
    running: Vec<u64>,
    done: bool,
}

struct Attempt {
    request: u64,
    id: AttemptId,
    endpoint: usize,
    started: Moment,
    service_start: Moment,
    outcome: AttemptOutcome,
    hint: LoadHint,
}

struct Entry {
    balancer: Balancer,
    breakers: Vec<Box<dyn CircuitBreaker>>,
    retries: RetryBudget,
    hedges: HedgeBudget,
}

struct Server {
    admission: AdmissionController,
    running: u32,
    cold_left: u32,
    hint: LoadHint,
    hint_at: Moment,
}

pub(crate) struct Simulation {
    variant: Variant,
    fault: Fault,
    /// Share of the capacity of all slots that arrivals ask for.
    load: f64,
    rng: SmallRng,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    sequence: u64,
    service: ServiceName,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    requests: HashMap<u64, Request>,
    attempts: HashMap<u64, Attempt>,
    latencies: Vec<(Moment, Duration)>,
    failed: u64,
    total: u64,
}

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        vm: VmName::new(&format!("vm-{index}")).expect("valid name"),
        incarnation: EndpointIncarnation::default(),
        peer_addr: ([127, 0, 0, 1], 7000).into(),
        region: Region::new("qc-est").expect("valid name"),
        domain: domain(index),
        slots: SLOTS.into(),
    }
}

fn domain(index: usize) -> FailureDomain {
    FailureDomain::new(["est-a", "est-b"][index % 2]).expect("valid name")
}

fn entry(index: usize, variant: Variant) -> Entry {
    let seed = index as u64;
    let picker: Box<dyn Picker + Send> = match variant.picker {
        PickerKind::RoundRobin => Box::new(RoundRobin::new()),
        PickerKind::LeastOutstanding => Box::new(LeastOutstanding::new()),
        PickerKind::PowerOfTwo => Box::new(PowerOfTwo::new(seed)),
    };
    let settings = BalancerSettings {
        penalize_stragglers: variant.penalty,
        eject_outliers: variant.ejection,
        failure_penalty: variant.failure_penalty,
        ..BalancerSettings::default()
    };
    let locality = Locality {
        region: Region::new("qc-est").expect("valid name"),
        domain: domain(index),
    };
    let breaker = || -> Box<dyn CircuitBreaker> {
        if variant.breaker {
            Box::new(ConsecutiveBreaker::new())
        } else {
            Box::new(NeverBreaks)
        }
    };
    Entry {
        balancer: Balancer::new(settings, locality, picker, seed),
        breakers: (0..ENDPOINTS).map(|_| breaker()).collect(),
        retries: RetryBudget::new(),
        hedges: HedgeBudget::new(),
    }
}

fn server(variant: Variant) -> Server {
    let mut admission = AdmissionController::new(AdmissionSettings::default());
    let incarnation = Incarnation(1);
    let started = AdmissionEvent::UpstreamAnnounced {
        incarnation,
        slots: SLOTS,
    };
    let _ = admission.handle_event(started, Moment(0));
    Server {
        admission,
        running: 0,
        // Without a fault the first start is warm, so that the fault alone makes the difference.
        cold_left: 0,
        hint: LoadHint {
            limit: if variant.admission { 2 } else { SLOTS },
            ..LoadHint::default()
        },
        hint_at: Moment(0),
    }
}

impl Simulation {
    pub(crate) fn new(variant: Variant, fault: Fault, load: f64, entries: usize) -> Self {
        let service = ServiceName::new("estimateur").expect("valid name");
        let endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(endpoint).collect();
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
            queue: BinaryHeap::new(),
            sequence: 0,
            service,
            entries,
            servers: (0..ENDPOINTS).map(|_| server(variant)).collect(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            latencies: Vec::new(),
            failed: 0,
            total: 0,
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        mean.mul_f64(-uniform.ln())
    }

    pub(crate) fn run(mut self) -> Summary {
        self.after(Duration::ZERO, Event::Arrive);
        let mut fault_pending = self.fault == Fault::Cold;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            self.now = at;
            if fault_pending && at >= FAULT_AT {
                fault_pending = false;
                self.servers[0].cold_left = COLD_REQUESTS;
            }
            match event {
                Event::Arrive => self.arrive(),
                Event::AtGuard(attempt) => self.at_guard(attempt),
                Event::Done(attempt) => self.done(attempt),
                Event::Back(attempt) => self.back(attempt),
                Event::Hedge(request) => self.hedge(request),
                Event::Deadline(request) => self.deadline(request),
            }
        }
        Summary::of(&mut self.latencies, self.failed, self.total)
    }

    fn arrive(&mut self) {
        let capacity = ENDPOINTS as f64 * f64::from(SLOTS);
        let overload =
            self.fault == Fault::Overload && (FAULT_AT..OVERLOAD_END).contains(&self.now);
        let load = if overload { OVERLOAD } else { self.load };
        let gap = self.exponential(MEAN_SERVICE.div_f64(capacity * load));
        if self.now + gap < Moment(0) + RUN_TIME {
            self.after(gap, Event::Arrive);
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
        self.total += u64::from(self.now >= WARM_UP);
        self.entries[entry].retries.on_request();
        self.entries[entry].hedges.on_request();
        self.after(DEADLINE, Event::Deadline(id));
        if self.variant.hedging {
            let delay = self.entries[entry].hedges.delay();
            self.after(delay, Event::Hedge(id));
        }
        self.send(id);
    }

    /// Starts an attempt; returns whether there was an endpoint for it.
    fn send(&mut self, id: u64) -> bool {
        let request = self.requests.get_mut(&id).expect("known request");
        let entry = &mut self.entries[request.entry];
        let mut excluded = request.tried.clone();
        let choice = loop {
            let asked = ChoiceRequest {
                service: &self.service,
                allowed_regions: None,
                excluded_vms: &excluded,
                excluded_domains: &[],
                time_left: (request.start + DEADLINE).since(self.now),
            };
            let Ok(choice) = entry.balancer.choose(&asked, self.now) else {
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
        self.after(ONE_WAY, Event::AtGuard(key));
        true
    }

    fn at_guard(&mut self, key: u64) {
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
            let actions = self.servers[index].admission.handle_event(event, self.now);
            self.carry_out(actions);
        } else {
            self.start(key);
        }
    }

    fn carry_out(&mut self, actions: AdmissionActions) {
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.start(id.0),
                AdmissionAction::Refuse(id, reason) => {
                    self.answer(id.0, AttemptOutcome::Refused(reason));
                }
            }
        }
    }

    fn start(&mut self, key: u64) {
        let index = self.attempts[&key].endpoint;
        let faulty = index == 0 && self.now >= FAULT_AT;
        let mut service = self.exponential(MEAN_SERVICE);
        let server = &mut self.servers[index];
        server.running += 1;
        // Work beyond the slots shares them.
        let slowdown = (f64::from(server.running) / f64::from(SLOTS)).max(1.0);
        service = service.mul_f64(slowdown);
        if server.cold_left > 0 {
            server.cold_left -= 1;
            // A cold upstream has room for two requests; more of them share it.
            let crowd = (f64::from(server.running) / 2.0).max(1.0);
            service = service.mul_f64(COLD_FACTOR * crowd);
        }
        let straggles = matches!(self.fault, Fault::Straggler | Fault::StaleStraggler);
        if faulty && straggles {
            service = service.mul_f64(STRAGGLER_FACTOR);
        }
        let attempt = self.attempts.get_mut(&key).expect("known attempt");
        attempt.service_start = self.now;
        if faulty && self.fault == Fault::FailsFast {
            attempt.outcome = AttemptOutcome::Failed;
            service = CONNECTION_FAILURE;
        }
        self.after(service, Event::Done(key));
    }

    fn done(&mut self, key: u64) {
        let attempt = &self.attempts[&key];
        let (index, outcome) = (attempt.endpoint, attempt.outcome);
        let service_time = self.now.since(attempt.service_start);
        self.servers[index].running -= 1;
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
            let actions = self.servers[index].admission.handle_event(event, self.now);
            self.carry_out(actions);
        }
        self.answer(key, outcome);
    }

    fn answer(&mut self, key: u64, outcome: AttemptOutcome) {
        let stale = matches!(self.fault, Fault::StaleHints | Fault::StaleStraggler);
        let attempt = self.attempts.get_mut(&key).expect("known attempt");
        let server = &mut self.servers[attempt.endpoint];
        if !stale || self.now.since(server.hint_at) >= STALE_HINT {
            server.hint = server.admission.load_hint();
            server.hint_at = self.now;
        }
        attempt.outcome = outcome;
        attempt.hint = server.hint;
        self.after(ONE_WAY, Event::Back(key));
    }

    fn back(&mut self, key: u64) {
        // An attempt that was cancelled has been reported already.
        let attempt = self.attempts.remove(&key).expect("known attempt");
        let request = self
            .requests
            .get_mut(&attempt.request)
            .expect("known request");
        if !request.running.contains(&key) {
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
        entry.breakers[attempt.endpoint].on_end(attempt.outcome, self.now);
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
        let left = (request.start + DEADLINE).since(self.now);
        let tries = u32::try_from(request.tried.len()).unwrap_or(u32::MAX);
        let class = RequestClass::Idempotent;
        let decision = retry_decision(class, outcome, reason, tries, left, true);
        let retried = decision == RetryDecision::Retry
            && entry.retries.try_take()
            && self.send(attempt.request);
        if !retried && self.requests[&attempt.request].running.is_empty() {
            self.fail(attempt.request);
        }
    }

    fn hedge(&mut self, id: u64) {
        let request = &self.requests[&id];
        let entry = &mut self.entries[request.entry];
        if !request.done && entry.hedges.try_take(RequestClass::Idempotent) {
            self.send(id);
        }
    }

    fn deadline(&mut self, id: u64) {
        if !self.requests[&id].done {
            self.fail(id);
        }
    }

    fn succeed(&mut self, id: u64) {
        let start = self.requests[&id].start;
        if start >= WARM_UP {
            self.latencies.push((start, self.now.since(start)));
        }
        self.close(id);
    }

    fn fail(&mut self, id: u64) {
        self.failed += u64::from(self.requests[&id].start >= WARM_UP);
        self.close(id);
    }

    /// Ends a request and cancels its other attempts.
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

fn index_of(vm: &VmName) -> usize {
    let digits = vm.as_str().trim_start_matches("vm-");
    digits.parse().expect("name ends in its index")
}
