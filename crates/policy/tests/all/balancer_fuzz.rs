//! Property test that applies random steps to a balancer and checks its choices and the numbers of
//! outstanding attempts against a simple model, which is part of [`Harness`].

use std::collections::BTreeMap;
use std::time::Duration;

use cornelvalve_model::{FailureDomain, LoadHint, Moment, Reason, Region, VmName};
use cornelvalve_policy::{
    AttemptId, AttemptOutcome, AttemptReport, Balancer, BalancerSettings, ChoiceRequest, Endpoint,
    PowerOfTwo,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::balancer::{endpoint, locality, service};

/// Endpoints as `domain/vm`.
const ENDPOINT_NAMES: [&str; 8] = [
    "near-a/a0",
    "near-a/a1",
    "near-a/a2",
    "near-b/b0",
    "near-b/b1",
    "far-a/f0",
    "far-a/f1",
    "far-b/g0",
];

#[derive(Clone, Debug)]
enum Step {
    SetEndpoints {
        /// Incarnation of the upstream of each endpoint in [`ENDPOINT_NAMES`]; 0 if it is absent.
        upstreams: Vec<u64>,
    },
    Choose {
        /// Whether the request may be served only in the balancer's own region.
        own_region: bool,
        /// Indexes in [`ENDPOINT_NAMES`] of endpoints that were already tried.
        tried: Vec<usize>,
        /// Indexes in [`ENDPOINT_NAMES`] of endpoints whose failure domains are out of service.
        out: Vec<usize>,
        /// Time until the deadline.
        left_ms: u64,
    },
    Finish {
        /// Selects one of the running attempts, modulo their number.
        index: usize,
        outcome: AttemptOutcome,
        took_ms: u64,
        hint: Option<LoadHint>,
    },
    Advance {
        ms: u64,
    },
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
        let outcome = prop_oneof![
            6 => Just(AttemptOutcome::Answered),
            2 => Just(AttemptOutcome::Failed),
            1 => Just(AttemptOutcome::Cancelled),
            1 => Just(AttemptOutcome::Refused(Reason::Overloaded)),
            1 => Just(AttemptOutcome::Refused(Reason::Draining)),
        ];
        let hint =
            (0_u16..20, 0_u16..20, 0_u16..12).prop_map(|(running, queued, limit)| LoadHint {
                running,
                queued,
                limit,
            });
        prop_oneof![
            1 => proptest::collection::vec(0_u64..4, ENDPOINT_NAMES.len())
                .prop_map(|upstreams| Step::SetEndpoints { upstreams }),
            10 => (
                any::<bool>(),
                proptest::collection::vec(0..ENDPOINT_NAMES.len(), 0..3),
                proptest::collection::vec(0..ENDPOINT_NAMES.len(), 0..2),
                0_u64..500,
            )
                .prop_map(|(own_region, tried, out, left_ms)| {
                    Step::Choose { own_region, tried, out, left_ms }
                }),
            9 => (any::<usize>(), outcome, 0_u64..200, proptest::option::of(hint)).prop_map(
                |(index, outcome, took_ms, hint)| Step::Finish { index, outcome, took_ms, hint }
            ),
            3 => (0_u64..3_000).prop_map(|ms| Step::Advance { ms }),
        ]
        .boxed()
    }

    fn apply(_state: (), _step: &Step) {}
}

/// Balancer and a model of its endpoints and running attempts.
struct Harness {
    balancer: Balancer,
    now: Moment,
    endpoints: Vec<Endpoint>,
    running: BTreeMap<AttemptId, Endpoint>,
}

impl Harness {
    fn choose(&mut self, own_region: bool, tried: &[usize], out: &[usize], remaining: Duration) {
        let all: Vec<Endpoint> = ENDPOINT_NAMES.iter().map(|p| endpoint(p, 1)).collect();
        let allowed: &[Region] = &[locality().region];
        let tried: Vec<VmName> = tried.iter().map(|i| all[*i].vm.clone()).collect();
        let out: Vec<FailureDomain> = out.iter().map(|i| all[*i].domain.clone()).collect();
        let service = service();
        let request = ChoiceRequest {
            service: &service,
            allowed_regions: own_region.then_some(allowed),
            excluded_vms: &tried,
            excluded_domains: &out,
            time_left: remaining,
        };
        let is_eligible = |e: &&Endpoint| {
            !tried.contains(&e.vm)
                && !out.contains(&e.domain)
                && (!own_region || allowed.contains(&e.region))
        };
        match self.balancer.choose(&request, self.now) {
            Ok(choice) => {
                assert!(is_eligible(&&choice.endpoint), "endpoint is not eligible");
                assert!(
                    self.endpoints.contains(&choice.endpoint),
                    "endpoint does not exist"
                );
                let previous = self.running.insert(choice.attempt, choice.endpoint);
                assert!(previous.is_none(), "attempt id used twice");
            }
            Err(_) => {
                let eligible = self.endpoints.iter().find(is_eligible);
                assert!(
                    eligible.is_none(),
                    "refused although {eligible:?} is eligible"
                );
            }
        }
    }

    fn ejected(&self) -> usize {
        let views = self.balancer.endpoints(&service(), self.now);
        views.iter().filter(|v| v.ejected).count()
    }

    fn finish(&mut self, index: usize, report: &AttemptReport) {
        let ids: Vec<AttemptId> = self.running.keys().copied().collect();
        if ids.is_empty() {
            return;
        }
        let id = ids[index % ids.len()];
        self.running.remove(&id);
        let before = self.ejected();
        self.balancer.finish(id, report, self.now);
        // Endpoints may be removed while others are ejected, so the maximum fraction holds only for
        // new ejections.
        let after = self.ejected();
        let within_limit = after * 100 <= self.endpoints.len() * 34;
        assert!(
            after <= before || within_limit,
            "{after} endpoints ejected, more than 34%"
        );
    }
}

struct BalancerTest;

impl StateMachineTest for BalancerTest {
    type SystemUnderTest = Harness;
    type Reference = RandomSteps;

    fn init_test((): &()) -> Harness {
        let settings = BalancerSettings::default();
        let picker = Box::new(PowerOfTwo::new(3));
        Harness {
            balancer: Balancer::new(settings, locality(), picker, 3),
            now: Moment::from_millis(1),
            endpoints: Vec::new(),
            running: BTreeMap::new(),
        }
    }

    fn apply(mut sut: Harness, (): &(), step: Step) -> Harness {
        match step {
            Step::SetEndpoints { upstreams } => {
                let present = ENDPOINT_NAMES
                    .iter()
                    .zip(upstreams)
                    .filter(|(_, upstream)| *upstream > 0);
                sut.endpoints = present
                    .map(|(path, upstream)| endpoint(path, upstream))
                    .collect();
                sut.balancer.set_endpoints(&service(), &sut.endpoints);
            }
            Step::Choose {
                own_region,
                tried,
                out,
                left_ms,
            } => {
                sut.choose(own_region, &tried, &out, Duration::from_millis(left_ms));
            }
            Step::Finish {
                index,
                outcome,
                took_ms,
                hint,
            } => {
                let latency = Duration::from_millis(took_ms);
                sut.finish(
                    index,
                    &AttemptReport {
                        outcome,
                        latency,
                        hint,
                    },
                );
            }
            Step::Advance { ms } => sut.now = sut.now + Duration::from_millis(ms),
        }
        sut
    }

    fn check_invariants(sut: &Harness, (): &()) {
        let views = sut.balancer.endpoints(&service(), sut.now);
        assert_eq!(views.len(), sut.endpoints.len());
        for view in &views {
            let running = sut.running.values().filter(|e| *e == view.endpoint).count();
            assert_eq!(view.outstanding as usize, running, "{}", view.endpoint.vm);
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(0xba1a),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against wrong numbers of outstanding attempts, against the choice of endpoints that
    /// the request excludes, against refusals although an endpoint is eligible, and against
    /// ejecting more than 34% of the endpoints.
    #[test]
    fn balancer_matches_model(sequential 1..300 => BalancerTest);
}
