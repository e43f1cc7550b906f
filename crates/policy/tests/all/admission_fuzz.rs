//! Random events against admission, checked by an oracle that counts.

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

/// Required limit of an upstream that has just started.
const COLD_LIMIT: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    Arrive {
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
        newer: u64,
        slots: u16,
    },
    Lost,
    Drain,
    Advance {
        ms: u64,
    },
    Tick,
}

struct AnySteps;

impl ReferenceStateMachine for AnySteps {
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
            2 => (0_u64..3, 0_u16..12).prop_map(|(newer, slots)| Step::Upstream { newer, slots }),
            1 => Just(Step::Lost),
            1 => Just(Step::Drain),
            10 => (0_u64..50).prop_map(|ms| Step::Advance { ms }),
            // A pause of the process.
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

/// Admission with everything that an observer can count.
struct Observed {
    admission: AdmissionController,
    now: Moment,
    next_id: u64,
    deadlines: HashMap<RequestId, Moment>,
    queued: VecDeque<RequestId>,
    running: Vec<Running>,
    answered: HashSet<RequestId>,
    incarnation: Incarnation,
    slots: u16,
    open: bool,
    successes: usize,
}

impl Observed {
    fn running_here(&self) -> usize {
        let here = |r: &&Running| r.incarnation == self.incarnation;
        self.running.iter().filter(here).count()
    }

    fn on(&mut self, event: AdmissionEvent) {
        let actions = self.admission.handle_event(event, self.now);
        for action in actions {
            match action {
                AdmissionAction::Start(id) => self.started(id),
                AdmissionAction::Refuse(id, reason) => self.refused(id, reason),
            }
        }
        self.check_counts();
    }

    fn started(&mut self, id: RequestId) {
        assert!(self.open, "started without an upstream that takes work");
        assert!(self.answered.insert(id), "answered twice");
        assert!(self.deadlines[&id] > self.now, "started after the deadline");
        assert_eq!(self.queued.pop_front(), Some(id), "started out of order");
        let incarnation = self.incarnation;
        self.running.push(Running { id, incarnation });
        let limit = usize::from(self.admission.limit());
        assert!(self.running_here() <= limit, "more running than the limit");
        assert!(
            limit <= usize::from(self.slots.max(1)),
            "limit above the slots"
        );
        // Each success raises the limit by less than one.
        assert!(
            limit <= COLD_LIMIT + self.successes,
            "limit grew without successes"
        );
    }

    fn refused(&mut self, id: RequestId, reason: Reason) {
        assert!(self.answered.insert(id), "answered twice");
        let before = self.queued.len();
        self.queued.retain(|q| *q != id);
        assert_eq!(
            self.queued.len() + 1,
            before,
            "refused a request that did not wait"
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
            "a request is lost"
        );
        let limit = usize::from(hint.limit);
        let idle = self.open && self.running_here() < limit;
        assert!(
            !idle || self.queued.is_empty(),
            "requests wait beside free capacity"
        );
    }

    fn start_upstream(&mut self, newer: u64, slots: u16) {
        let incarnation = Incarnation(self.incarnation.0 + newer);
        let limit = self.admission.limit();
        if newer > 0 || limit == 0 {
            self.successes = 0;
            self.open = true;
        }
        self.incarnation = incarnation;
        self.slots = slots;
        self.on(AdmissionEvent::UpstreamAnnounced { incarnation, slots });
        if newer > 0 {
            assert!(
                usize::from(self.admission.limit()) <= COLD_LIMIT,
                "not cold"
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
        self.on(AdmissionEvent::Finished {
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
        self.on(AdmissionEvent::Arrived {
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
            self.answered.insert(id);
            self.on(AdmissionEvent::Cancelled { id });
        }
    }
}

struct AdmissionTest;

impl StateMachineTest for AdmissionTest {
    type SystemUnderTest = Observed;
    type Reference = AnySteps;

    fn init_test((): &()) -> Observed {
        Observed {
            admission: AdmissionController::new(AdmissionSettings::default()),
            now: Moment::from_millis(1),
            next_id: 0,
            deadlines: HashMap::new(),
            queued: VecDeque::new(),
            running: Vec::new(),
            answered: HashSet::new(),
            incarnation: Incarnation(0),
            slots: 0,
            open: false,
            successes: 0,
        }
    }

    fn apply(mut sut: Observed, (): &(), step: Step) -> Observed {
        match step {
            Step::Arrive { within_ms } => sut.arrive(within_ms),
            Step::CancelQueued { index } => sut.cancel(index),
            Step::Finish {
                index,
                result,
                took_ms,
            } => sut.finish(index, result, took_ms),
            Step::Upstream { newer, slots } => sut.start_upstream(newer, slots),
            Step::Lost => {
                sut.open = false;
                sut.on(AdmissionEvent::UpstreamLost);
            }
            Step::Drain => {
                sut.open = false;
                sut.on(AdmissionEvent::UpstreamDraining);
            }
            Step::Advance { ms } => sut.now = sut.now + Duration::from_millis(ms),
            Step::Tick => sut.on(AdmissionEvent::Tick),
        }
        sut
    }

    fn teardown(mut sut: Observed, (): ()) {
        sut.open = false;
        sut.on(AdmissionEvent::UpstreamLost);
        assert!(sut.queued.is_empty(), "requests left in the queue");
        assert_eq!(
            sut.answered.len() as u64,
            sut.next_id,
            "a request was never answered"
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

    /// Guards against lost or doubled answers, starts beyond the limit or after the deadline, and
    /// warm limits for cold upstreams.
    #[test]
    fn admission_keeps_its_promises(sequential 1..300 => AdmissionTest);
}
