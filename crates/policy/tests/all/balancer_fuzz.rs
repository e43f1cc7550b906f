//! Random steps against the balancer, checked by an oracle that counts attempts.

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

const PATHS: [&str; 8] = [
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
        upstreams: Vec<u64>,
    },
    Choose {
        region_bound: bool,
        tried: Vec<usize>,
        out: Vec<usize>,
        left_ms: u64,
    },
    Finish {
        index: usize,
        outcome: AttemptOutcome,
        took_ms: u64,
        hint: Option<LoadHint>,
    },
    Advance {
        ms: u64,
    },
}

struct AnySteps;

impl ReferenceStateMachine for AnySteps {
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
            // Zero means that the endpoint is absent.
            1 => proptest::collection::vec(0_u64..4, PATHS.len())
                .prop_map(|upstreams| Step::SetEndpoints { upstreams }),
            10 => (
                any::<bool>(),
                proptest::collection::vec(0..PATHS.len(), 0..3),
                proptest::collection::vec(0..PATHS.len(), 0..2),
                0_u64..500,
            )
                .prop_map(|(region_bound, tried, out, left_ms)| {
                    Step::Choose { region_bound, tried, out, left_ms }
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

struct Observed {
    balancer: Balancer,
    now: Moment,
    endpoints: Vec<Endpoint>,
    running: BTreeMap<AttemptId, Endpoint>,
}

impl Observed {
    fn choose(&mut self, bound: bool, tried: &[usize], out: &[usize], left: Duration) {
        let all: Vec<Endpoint> = PATHS.iter().map(|p| endpoint(p, 1)).collect();
        let allowed: &[Region] = &[locality().region];
        let tried: Vec<VmName> = tried.iter().map(|i| all[*i].vm.clone()).collect();
        let out: Vec<FailureDomain> = out.iter().map(|i| all[*i].domain.clone()).collect();
        let service = service();
        let request = ChoiceRequest {
            service: &service,
            allowed_regions: bound.then_some(allowed),
            excluded_vms: &tried,
            excluded_domains: &out,
            time_left: left,
        };
        let permitted = |e: &&Endpoint| {
            !tried.contains(&e.vm)
                && !out.contains(&e.domain)
                && (!bound || allowed.contains(&e.region))
        };
        match self.balancer.choose(&request, self.now) {
            Ok(choice) => {
                assert!(permitted(&&choice.endpoint), "forbidden endpoint");
                assert!(
                    self.endpoints.contains(&choice.endpoint),
                    "endpoint is gone"
                );
                let earlier = self.running.insert(choice.attempt, choice.endpoint);
                assert!(earlier.is_none(), "attempt id used twice");
            }
            Err(_) => {
                let left = self.endpoints.iter().find(permitted);
                assert!(left.is_none(), "refused although {left:?} is permitted");
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
        // Membership may shrink while endpoints are ejected, so only new ejections are bounded.
        let after = self.ejected();
        let within = after * 100 <= self.endpoints.len() * 34;
        assert!(after <= before || within, "{after} ejected");
    }
}

struct BalancerTest;

impl StateMachineTest for BalancerTest {
    type SystemUnderTest = Observed;
    type Reference = AnySteps;

    fn init_test((): &()) -> Observed {
        let settings = BalancerSettings::default();
        let picker = Box::new(PowerOfTwo::new(3));
        Observed {
            balancer: Balancer::new(settings, locality(), picker, 3),
            now: Moment::from_millis(1),
            endpoints: Vec::new(),
            running: BTreeMap::new(),
        }
    }

    fn apply(mut sut: Observed, (): &(), step: Step) -> Observed {
        match step {
            Step::SetEndpoints { upstreams } => {
                let present = PATHS
                    .iter()
                    .zip(upstreams)
                    .filter(|(_, upstream)| *upstream > 0);
                sut.endpoints = present
                    .map(|(path, upstream)| endpoint(path, upstream))
                    .collect();
                sut.balancer.set_endpoints(&service(), &sut.endpoints);
            }
            Step::Choose {
                region_bound,
                tried,
                out,
                left_ms,
            } => {
                sut.choose(region_bound, &tried, &out, Duration::from_millis(left_ms));
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

    fn check_invariants(sut: &Observed, (): &()) {
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

    /// Guards against outstanding counts that drift, and against choices that rules forbid.
    #[test]
    fn balancer_counts_exactly(sequential 1..300 => BalancerTest);
}
