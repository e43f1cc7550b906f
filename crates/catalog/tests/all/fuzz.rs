//! Stateful fuzzing of catalogs that read one log at different speeds.
//!
//! Each is compared with an oracle, a catalog that applies every record once in order.

use cornelvalve_catalog::{ApplyOutcome, Catalog};
use cornelvalve_model::{
    Change, DomainState, LogEntry, Offset, Operation, Revision, Rule, Service,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use smallvec::smallvec;

use crate::operation::change_id;

/// Number of catalogs that read the log, not counting the oracle.
const READERS: usize = 3;

/// Number of cases in a run; limits the run to a few seconds.
const CASES: u32 = 256;

/// Number of steps in a case.
const STEPS: std::ops::Range<usize> = 1..120;

#[derive(Clone, Debug)]
enum Step {
    /// Appends a change to the log.
    Append {
        id: u8,
        expects: Option<u64>,
        operation: Operation,
    },
    /// Appends a record that cannot be decoded.
    AppendBad,
    /// Appends a snapshot of a reader.
    AppendSnapshot { reader: usize },
    /// Lets a reader apply up to `count` records.
    Read { reader: usize, count: usize },
    /// Applies a record again that the reader has applied.
    Reapply { reader: usize, offset: usize },
    /// Replaces a reader with an empty one.
    Restart { reader: usize },
    /// Lets a reader restore a snapshot of the reader `from`.
    RestoreFromPeer { reader: usize, from: usize },
    /// Removes all but the last `keep` records.
    Trim { keep: usize },
}

/// Generates one of three names of a kind, so that operations often refer to the same entries.
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
            .prop_map(|(reader, offset)| Step::Reapply { reader, offset }),
        1 => reader.clone().prop_map(|reader| Step::Restart { reader }),
        1 => (reader.clone(), reader.clone())
            .prop_map(|(reader, from)| Step::RestoreFromPeer { reader, from }),
        1 => (1..30usize).prop_map(|keep| Step::Trim { keep }),
    ]
}

/// Log, readers and oracle.
struct Simulation {
    log: Vec<Result<LogEntry, String>>,
    first_retained: usize,
    oracle: Catalog,
    /// States of the oracle, by next offset.
    oracle_states: Vec<cornelvalve_model::Snapshot>,
    readers: Vec<Catalog>,
}

/// Returns an offset as an index into the log.
fn index(offset: Offset) -> usize {
    usize::try_from(offset.0).expect("small offset")
}

impl Simulation {
    fn new() -> Self {
        let oracle = Catalog::new();
        Self {
            log: Vec::new(),
            first_retained: 0,
            oracle_states: vec![oracle.snapshot()],
            oracle,
            readers: vec![Catalog::new(); READERS],
        }
    }

    /// Appends a record and applies it to the oracle.
    fn push(&mut self, record: Result<LogEntry, String>) {
        let offset = Offset(self.log.len() as u64);
        self.oracle
            .apply(offset, record.as_ref().map_err(String::as_str));
        self.oracle_states.push(self.oracle.snapshot());
        self.log.push(record);
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
            Step::Reapply { reader, offset } => {
                if offset < index(self.readers[reader].next_offset()) {
                    self.apply(reader, offset);
                }
            }
            Step::Restart { reader } => self.readers[reader] = Catalog::new(),
            Step::RestoreFromPeer { reader, from } => {
                let snapshot = self.readers[from].snapshot();
                self.check_call(reader, |catalog| catalog.restore(&snapshot));
            }
            Step::Trim { keep } => {
                let first = self.log.len().saturating_sub(keep);
                self.first_retained = self.first_retained.max(first);
            }
        }
    }

    /// Lets a reader apply up to `count` records, from the first retained one if retention has
    /// removed those that it needs.
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

    /// Applies the record at an offset to a reader.
    fn apply(&mut self, reader: usize, offset: usize) -> ApplyOutcome {
        let record = self.log[offset].clone();
        let record = record.as_ref().map_err(String::as_str);
        self.check_call(reader, |catalog| {
            catalog.apply(Offset(offset as u64), record)
        })
    }

    /// Calls a reader and compares its state with that of the oracle at the same offset.
    fn check_call(
        &mut self,
        reader: usize,
        call: impl FnOnce(&mut Catalog) -> ApplyOutcome,
    ) -> ApplyOutcome {
        let catalog = &mut self.readers[reader];
        let before = catalog.snapshot();
        let outcome = call(catalog);
        let after = catalog.snapshot();
        assert_eq!(
            after,
            self.oracle_states[index(after.covers)],
            "state differs from the oracle"
        );
        assert!(after.revision >= before.revision, "revision decreased");
        assert!(after.covers >= before.covers, "offset decreased");
        let must_not_change = matches!(
            outcome,
            ApplyOutcome::Gap(_) | ApplyOutcome::AlreadyApplied { .. }
        );
        assert!(
            !must_not_change || after == before,
            "{outcome} changed the state"
        );
        outcome
    }
}

/// Guards against daemons whose configurations differ at the same offset, and against a revision
/// that decreases, when daemons restart, restore snapshots from the log or from peers, apply
/// records twice, or read a log whose first records have been removed.
#[test]
fn readers_match_oracle() {
    let config = Config {
        cases: CASES,
        // Fixed, so that runs are reproducible.
        rng_seed: RngSeed::Fixed(0x636f_726e_656c),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec(step(), STEPS);
    let result = TestRunner::new(config).run(&steps, |steps| {
        let mut simulation = Simulation::new();
        steps.into_iter().for_each(|step| simulation.run(step));
        Ok(())
    });
    result.expect("readers match the oracle");
}
