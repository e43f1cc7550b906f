//! Property test that applies random events to an admission controller and checks its actions and
//! counts against a simple model, which is part of [`Harness`].

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use cornelvalve_model::{Incarnation, Moment, Reason};
use cornelvalve_policy::{
    AdmissionAction, AdmissionController, AdmissionEvent, AdmissionSettings, RequestId,
    RequestResult,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Maximum limit for an upstream that has just started.
const COLD_LIMIT: usize = 2;

/// Random step. An index selects one of the queued or running requests, modulo their number.
#[derive(Clone, Debug)]
enum Step {
    Arrive {
        /// Time until the deadline of the request.
        within_ms: u64,
    },
    CancelQueued {
        index: usize,
    },
    Finish {
        index: usize,
        result: RequestResult,
        took_ms: u64,
    },
    Upstream {
        /// Increase of the incarnation; 0 announces the same one again.
        increase: u64,
        slots: u16,
    },
    Lost,
    Drain,
    Advance {
        ms: u64,
    },
    Tick,
}

/// Generates steps at random. It has no state; the model is updated by [`Harness`].
struct RandomSteps;

impl ReferenceStateMachine for RandomSteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let result = prop_oneof![
            8 => Just(RequestResult::Success),
            1 => Just(RequestResult::Failure),
            1 => Just(RequestResult::ConnectionLost),
            1 => Just(RequestResult::Cancelled),
        ];
        prop_oneof![
            30 => (0_u64..400).prop_map(|within_ms| Step::Arrive { within_ms }),
            2 => any::<usize>().prop_map(|index| Step::CancelQueued { index }),
            25 => (any::<usize>(), result, 0_u64..60).prop_map(|(index, result, took_ms)| {
                Step::Finish { index, result, took_ms }
            }),
            2 => (0_u64..3, 0_u16..12)
                .prop_map(|(increase, slots)| Step::Upstream { increase, slots }),
            1 => Just(Step::Lost),
            1 => Just(Step::Drain),
            10 => (0_u64..50).prop_map(|ms| Step::Advance { ms }),
            // The process is paused.
            1 => (1_000_u64..5_000).prop_map(|ms| Step::Advance { ms }),
            3 => Just(Step::Tick),
        ]
        .boxed()
    }

    fn apply(_state: (), _step: &Step) {}
}

struct Running {
    id: RequestId,
    incarnation: Incarnation,
}

/// Admission controller and a model of it, updated from its events and actions.
struct Harness {
    admission: AdmissionController,
    now: Moment,
    next_id: u64,
    deadlines: HashMap<RequestId, Moment>,
    queued: VecDeque<RequestId>,
    running: Vec<Running>,
    /// Requests that were started, refused or cancelled.
    resolved: HashSet<RequestId>,
    /// Incarnation and slots of the last announcement.
    incarnation: Incarnation,
    slots: u16,
    /// Whether there is an upstream that is not draining.
    accepting: bool,
    /// Number of successes since the last announcement of a new upstream.
    successes: usize,
}

impl Harness {
    /// Returns the number of requests running at the current incarnation.
    fn running_at_current(&self) -> usize {
        let at_current = |r: &&Running| r.incarnation == self.incarnation;
        self.running.iter().filter(at_current).count()
    }

    /// Applies an event and checks the resulting actions and counts.
    fn apply_event(&mut self, event: AdmissionEvent) {
        let actions = self.admission.handle_event(event, self.now);
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.check_start(id),
                AdmissionAction::Refuse(id, reason) => self.check_refusal(id, reason),
            }
        }
        self.check_counts();
    }

    fn check_start(&mut self, id: RequestId) {
        assert!(
            self.accepting,
            "started although no upstream accepts requests"
        );
        assert!(self.resolved.insert(id), "started or refused twice");
        assert!(self.deadlines[&id] > self.now, "started after the deadline");
        assert_eq!(
            self.queued.pop_front(),
            Some(id),
            "not started in queue order"
        );
        let incarnation = self.incarnation;
        self.running.push(Running { id, incarnation });
        let limit = usize::from(self.admission.limit());
        assert!(
            self.running_at_current() <= limit,
            "more running than the limit"
        );
        assert!(
            limit <= usize::from(self.slots.max(1)),
            "limit above the slots"
        );
        // Each success raises the limit by less than one.
        assert!(
            limit <= COLD_LIMIT + self.successes,
            "limit grew by more than the successes allow"
        );
    }

    fn check_refusal(&mut self, id: RequestId, reason: Reason) {
        assert!(self.resolved.insert(id), "started or refused twice");
        let before = self.queued.len();
        self.queued.retain(|q| *q != id);
        assert_eq!(
            self.queued.len() + 1,
            before,
            "refused a request that was not queued"
        );
        if reason == Reason::Deadline {
            assert!(
                self.deadlines[&id] <= self.now,
                "refused before the deadline"
            );
        }
    }

    fn check_counts(&self) {
        let hint = self.admission.load_hint();
        assert_eq!(usize::from(hint.running), self.running.len());
        assert_eq!(
            usize::from(hint.queued),
            self.queued.len(),
            "the number of queued requests differs"
        );
        let limit = usize::from(hint.limit);
        let has_capacity = self.accepting && self.running_at_current() < limit;
        assert!(
            !has_capacity || self.queued.is_empty(),
            "requests are queued although capacity is free"
        );
    }

    fn start_upstream(&mut self, increase: u64, slots: u16) {
        let incarnation = Incarnation(self.incarnation.0 + increase);
        let limit = self.admission.limit();
        // The limit is zero if there is no upstream.
        if increase > 0 || limit == 0 {
            self.successes = 0;
            self.accepting = true;
        }
        self.incarnation = incarnation;
        self.slots = slots;
        self.apply_event(AdmissionEvent::UpstreamAnnounced { incarnation, slots });
        if increase > 0 {
            assert!(
                usize::from(self.admission.limit()) <= COLD_LIMIT,
                "the limit is not reset by a restart"
            );
        }
    }

    fn finish(&mut self, index: usize, result: RequestResult, took_ms: u64) {
        if self.running.is_empty() {
            return;
        }
        let ended = self.running.swap_remove(index % self.running.len());
        let success = result == RequestResult::Success;
        if success && ended.incarnation == self.incarnation {
            self.successes += 1;
        }
        let service_time = Duration::from_millis(took_ms);
        self.apply_event(AdmissionEvent::Finished {
            id: ended.id,
            result,
            service_time,
        });
    }

    fn arrive(&mut self, within_ms: u64) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let deadline = self.now + Duration::from_millis(within_ms);
        self.deadlines.insert(id, deadline);
        self.queued.push_back(id);
        self.apply_event(AdmissionEvent::Arrived {
            id,
            deadline,
            nesting: None,
        });
    }

    fn cancel(&mut self, index: usize) {
        if self.queued.is_empty() {
            return;
        }
        let index = index % self.queued.len();
        if let Some(id) = self.queued.remove(index) {
            self.resolved.insert(id);
            self.apply_event(AdmissionEvent::Cancelled { id });
        }
    }
}

struct AdmissionTest;

impl StateMachineTest for AdmissionTest {
    type SystemUnderTest = Harness;
    type Reference = RandomSteps;

    fn init_test((): &()) -> Harness {
        Harness {
            admission: AdmissionController::new(AdmissionSettings::default()),
            now: Moment::from_millis(1),
            next_id: 0,
            deadlines: HashMap::new(),
            queued: VecDeque::new(),
            running: Vec::new(),
            resolved: HashSet::new(),
            incarnation: Incarnation(0),
            slots: 0,
            accepting: false,
            successes: 0,
        }
    }

    fn apply(mut sut: Harness, (): &(), step: Step) -> Harness {
        match step {
            Step::Arrive { within_ms } => sut.arrive(within_ms),
            Step::CancelQueued { index } => sut.cancel(index),
            Step::Finish {
                index,
                result,
                took_ms,
            } => sut.finish(index, result, took_ms),
            Step::Upstream { increase, slots } => sut.start_upstream(increase, slots),
            Step::Lost => {
                sut.accepting = false;
                sut.apply_event(AdmissionEvent::UpstreamLost);
            }
            Step::Drain => {
                sut.accepting = false;
                sut.apply_event(AdmissionEvent::UpstreamDraining);
            }
            Step::Advance { ms } => sut.now = sut.now + Duration::from_millis(ms),
            Step::Tick => sut.apply_event(AdmissionEvent::Tick),
        }
        sut
    }

    fn teardown(mut sut: Harness, (): ()) {
        sut.accepting = false;
        sut.apply_event(AdmissionEvent::UpstreamLost);
        assert!(sut.queued.is_empty(), "requests are left in the queue");
        assert_eq!(
            sut.resolved.len() as u64,
            sut.next_id,
            "a request was neither started nor refused"
        );
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(0x0ad3_1551),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against requests that are lost or started twice, against starts above the limit or
    /// after the deadline, and against high limits for upstreams that have just started.
    #[test]
    fn admission_matches_model(sequential 1..300 => AdmissionTest);
}
