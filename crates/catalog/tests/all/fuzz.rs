//! Stateful fuzzing: readers at different speeds against an oracle that reads everything once.

use cornelvalve_catalog::{ApplyOutcome, Catalog};
use cornelvalve_model::{
    Change, DomainState, LogEntry, Offset, Operation, Revision, Rule, Service,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use smallvec::smallvec;

use crate::operation::change_id;

/// Readers that follow the log besides the oracle.
const READERS: usize = 3;

/// Cases per run; bounds the run to a few seconds.
const CASES: u32 = 256;

/// Steps of one case.
const STEPS: std::ops::Range<usize> = 1..120;

#[derive(Clone, Debug)]
enum Step {
    Append {
        id: u8,
        expects: Option<u64>,
        operation: Operation,
    },
    AppendBad,
    AppendSnapshot {
        reader: usize,
    },
    Read {
        reader: usize,
        count: usize,
    },
    Reread {
        reader: usize,
        offset: usize,
    },
    Restart {
        reader: usize,
    },
    Pull {
        reader: usize,
        from: usize,
    },
    Retain {
        keep: usize,
    },
}

fn name(kind: &str) -> impl Strategy<Value = String> + use<> {
    let kind = kind.to_owned();
    (0..3u8).prop_map(move |n| format!("{kind}{n}"))
}

fn operation() -> impl Strategy<Value = Operation> {
    let region = || name("region").prop_map(|n| n.parse().expect("valid"));
    let domain = || name("domain").prop_map(|n| n.parse().expect("valid"));
    let service = || name("service").prop_map(|n| n.parse().expect("valid"));
    let team = || name("team").prop_map(|n| n.parse().expect("valid"));
    let rule = || name("rule").prop_map(|n| n.parse().expect("valid"));
    let state = prop_oneof![
        Just(DomainState::InService),
        Just(DomainState::OutOfService)
    ];
    prop_oneof![
        region().prop_map(|region| Operation::PutRegion { region }),
        region().prop_map(|region| Operation::RemoveRegion { region }),
        (domain(), region(), state).prop_map(|(domain, region, state)| Operation::PutDomain {
            domain,
            region,
            state
        }),
        domain().prop_map(|domain| Operation::RemoveDomain { domain }),
        (service(), name("host")).prop_map(|(name, host)| Operation::PutService(Service {
            name,
            hosts: vec![host],
            routes: vec![],
            timeout_ms: 1000,
        })),
        service().prop_map(|service| Operation::RemoveService { service }),
        team().prop_map(|team| Operation::PutTeam { team }),
        team().prop_map(|team| Operation::RemoveTeam { team }),
        (
            rule(),
            proptest::option::of(team()),
            proptest::option::of(service()),
            region()
        )
            .prop_map(|(name, team, service, region)| Operation::PutRule(Rule {
                name,
                team,
                service,
                route: None,
                regions: smallvec![region],
            })),
        rule().prop_map(|rule| Operation::RemoveRule { rule }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let reader = 0..READERS;
    prop_oneof![
        8 => (any::<u8>(), proptest::option::weighted(0.2, 0..20u64), operation())
            .prop_map(|(id, expects, operation)| Step::Append { id, expects, operation }),
        1 => Just(Step::AppendBad),
        2 => reader.clone().prop_map(|reader| Step::AppendSnapshot { reader }),
        6 => (reader.clone(), 1..12usize).prop_map(|(reader, count)| Step::Read { reader, count }),
        1 => (reader.clone(), 0..40usize)
            .prop_map(|(reader, offset)| Step::Reread { reader, offset }),
        1 => reader.clone().prop_map(|reader| Step::Restart { reader }),
        1 => (reader.clone(), reader.clone()).prop_map(|(reader, from)| Step::Pull { reader, from }),
        1 => (1..30usize).prop_map(|keep| Step::Retain { keep }),
    ]
}

/// The log, the readers and the oracle's state after each offset.
struct World {
    log: Vec<Result<LogEntry, String>>,
    first_retained: usize,
    oracle: Catalog,
    history: Vec<cornelvalve_model::Snapshot>,
    readers: Vec<Catalog>,
}

fn index(offset: Offset) -> usize {
    usize::try_from(offset.0).expect("small offset")
}

impl World {
    fn new() -> Self {
        let oracle = Catalog::new();
        Self {
            log: Vec::new(),
            first_retained: 0,
            history: vec![oracle.snapshot()],
            oracle,
            readers: vec![Catalog::new(); READERS],
        }
    }

    fn push(&mut self, entry: Result<LogEntry, String>) {
        let offset = Offset(self.log.len() as u64);
        self.oracle
            .apply(offset, entry.as_ref().map_err(String::as_str));
        self.history.push(self.oracle.snapshot());
        self.log.push(entry);
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Append {
                id,
                expects,
                operation,
            } => self.push(Ok(LogEntry::Change(Change {
                id: change_id(&id.to_string()),
                author: "fuzz".to_owned(),
                expects: expects.map(Revision),
                operation,
            }))),
            Step::AppendBad => self.push(Err("not JSON".to_owned())),
            Step::AppendSnapshot { reader } => {
                let snapshot = self.readers[reader].snapshot();
                self.push(Ok(LogEntry::Snapshot(snapshot)));
            }
            Step::Read { reader, count } => self.read(reader, count),
            Step::Reread { reader, offset } => {
                if offset < index(self.readers[reader].next_offset()) {
                    self.apply(reader, offset);
                }
            }
            Step::Restart { reader } => self.readers[reader] = Catalog::new(),
            Step::Pull { reader, from } => {
                let snapshot = self.readers[from].snapshot();
                self.checked(reader, |catalog| catalog.restore(&snapshot));
            }
            Step::Retain { keep } => {
                let first = self.log.len().saturating_sub(keep);
                self.first_retained = self.first_retained.max(first);
            }
        }
    }

    fn read(&mut self, reader: usize, count: usize) {
        let next = index(self.readers[reader].next_offset());
        let mut at = next.max(self.first_retained);
        for _ in 0..count {
            if at >= self.log.len() {
                return;
            }
            at = match self.apply(reader, at) {
                ApplyOutcome::SnapshotRestored { next } => index(next).max(self.first_retained),
                _ => at + 1,
            };
        }
    }

    fn apply(&mut self, reader: usize, offset: usize) -> ApplyOutcome {
        let entry = self.log[offset].clone();
        let entry = entry.as_ref().map_err(String::as_str);
        self.checked(reader, |catalog| {
            catalog.apply(Offset(offset as u64), entry)
        })
    }

    /// Runs one call and compares the reader with the oracle at the same offset.
    fn checked(
        &mut self,
        reader: usize,
        call: impl FnOnce(&mut Catalog) -> ApplyOutcome,
    ) -> ApplyOutcome {
        let catalog = &mut self.readers[reader];
        let before = catalog.snapshot();
        let verdict = call(catalog);
        let after = catalog.snapshot();
        assert_eq!(after, self.history[index(after.covers)], "state differs");
        assert!(after.revision >= before.revision, "revision fell");
        assert!(after.covers >= before.covers, "offset fell");
        let inert = matches!(
            verdict,
            ApplyOutcome::Gap(_) | ApplyOutcome::AlreadyApplied { .. }
        );
        assert!(!inert || after == before, "{verdict} changed the state");
        verdict
    }
}

/// Guards against daemons that disagree on the configuration at the same offset, and against a
/// revision that falls.
#[test]
fn readers_agree_with_oracle() {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(0x636f_726e_656c),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec(step(), STEPS);
    let result = TestRunner::new(config).run(&steps, |steps| {
        let mut world = World::new();
        steps.into_iter().for_each(|step| world.run(step));
        Ok(())
    });
    result.expect("readers agree");
}
