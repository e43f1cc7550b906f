//! Stateful fuzzing of the publisher against a log that loses, delays and refuses appends.

use cornelvalve_catalog::{
    Catalog, ChangeRecord, PastVerdict, PublishOutcome, Publisher, PublisherAction,
    PublisherActions, PublisherEvent,
};
use cornelvalve_model::{Change, ChangeId, LogEntry, Offset, Operation};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use crate::operation::change_id;

/// Cases per run; bounds the run to a few seconds.
const CASES: u32 = 512;

/// Records in one page of a read; small, so that a search takes several reads.
const PAGE: usize = 2;

/// What the log does with the next append or read.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The append has no effect and says so; a read fails.
    Refuse,
    /// The append has an effect, but its answer is lost.
    LoseAnswer,
    /// The append has no effect, and its answer is lost.
    LoseAppend,
    /// The append has an effect only after all others, and its answer is lost.
    Late,
}

#[derive(Clone, Copy, Debug)]
struct Turn {
    fault: Fault,
    /// Other changes that are appended before the action.
    others: u8,
    /// Whether the local catalog follows the log after the action.
    follows: bool,
    /// Records that the log keeps from now on.
    keeps: Option<u8>,
}

fn turn() -> impl Strategy<Value = Turn> {
    let fault = prop_oneof![
        Just(Fault::None),
        Just(Fault::Refuse),
        Just(Fault::LoseAnswer),
        Just(Fault::LoseAppend),
        Just(Fault::Late),
    ];
    let keeps = proptest::option::weighted(0.1, 0..6u8);
    (fault, 0..4u8, any::<bool>(), keeps).prop_map(|(fault, others, follows, keeps)| Turn {
        fault,
        others,
        follows,
        keeps,
    })
}

fn change(id: ChangeId) -> LogEntry {
    LogEntry::Change(Change {
        id,
        author: "fuzz".to_owned(),
        expects: None,
        operation: Operation::PutRegion {
            region: "east".parse().expect("valid"),
        },
    })
}

struct World {
    log: Vec<ChangeId>,
    first_retained: usize,
    /// Whether a search met removed records.
    met_gap: bool,
    late: usize,
    others: u32,
    catalog: Catalog,
    mine: ChangeId,
}

impl World {
    fn append_others(&mut self, count: u8) {
        for _ in 0..count {
            self.others += 1;
            self.log.push(change_id(&self.others.to_string()));
        }
    }

    fn follow(&mut self) {
        let from = usize::try_from(self.catalog.next_offset().0).expect("small offset");
        for (i, id) in self.log.iter().enumerate().skip(from) {
            self.catalog.apply(Offset(i as u64), Ok(&change(*id)));
        }
    }

    fn append(&mut self, fault: Fault) -> PublisherEvent<'static> {
        match fault {
            Fault::None | Fault::LoseAnswer => self.log.push(self.mine),
            Fault::Late => self.late += 1,
            Fault::Refuse | Fault::LoseAppend => {}
        }
        match fault {
            Fault::None => PublisherEvent::Appended {
                offset: Offset(self.log.len() as u64 - 1),
            },
            Fault::Refuse => PublisherEvent::AppendFailed,
            _ => PublisherEvent::AppendOutcomeUnknown,
        }
    }

    /// Performs an action and returns the actions that follow.
    fn perform(
        &mut self,
        publisher: &mut Publisher,
        action: &PublisherAction,
        fault: Fault,
    ) -> PublisherActions {
        match action {
            PublisherAction::Append => {
                assert!(!self.met_gap, "appended again after records were removed");
                let event = self.append(fault);
                publisher.handle_event(event)
            }
            PublisherAction::Read { .. } if !matches!(fault, Fault::None) => {
                publisher.handle_event(PublisherEvent::ReadFailed)
            }
            PublisherAction::Read { from } => {
                let from = usize::try_from(from.0).expect("small offset");
                if from < self.first_retained {
                    self.met_gap = true;
                    let first_retained = Offset(self.first_retained as u64);
                    return publisher.handle_event(PublisherEvent::RecordsGone { first_retained });
                }
                let page = self.log.iter().enumerate().skip(from).take(PAGE);
                let seen = |(i, id): (usize, &ChangeId)| ChangeRecord {
                    offset: Offset(i as u64),
                    id: *id,
                };
                let changes: Vec<ChangeRecord> = page.map(seen).collect();
                let next = from + changes.len();
                publisher.handle_event(PublisherEvent::Read {
                    changes: &changes,
                    next: Offset(next as u64),
                    at_end: next >= self.log.len(),
                })
            }
            PublisherAction::WaitBeforeRetry => publisher.handle_event(PublisherEvent::RetryDue),
            // Both are answered when the catalog follows the log.
            PublisherAction::AwaitVerdict { .. }
            | PublisherAction::AskCatalog { .. }
            | PublisherAction::Finish(_) => PublisherActions::new(),
        }
    }

    fn check(&mut self, outcome: &PublishOutcome) {
        let known = self.log.contains(&self.mine);
        // Everything that may still take effect does so now.
        self.log.extend(std::iter::repeat_n(self.mine, self.late));
        self.follow();
        let accepted = (0u64..)
            .zip(&self.log)
            .find(|(_, id)| **id == self.mine)
            .map(|(offset, _)| offset + 1);
        match outcome {
            PublishOutcome::NotPublished => assert_eq!(accepted, None),
            PublishOutcome::Accepted(revision) => assert_eq!(accepted, Some(revision.0)),
            PublishOutcome::Published(offset) => {
                assert!(known);
                let index = usize::try_from(offset.0).expect("small offset");
                assert_eq!(self.log[index], self.mine);
            }
            PublishOutcome::Rejected(rejection) => panic!("rejected: {rejection}"),
            PublishOutcome::StillUnknown => {}
        }
    }
}

fn run(turns: &[Turn], expires: bool) {
    let mine = change_id("mine");
    let mut world = World {
        log: Vec::new(),
        first_retained: 0,
        met_gap: false,
        late: 0,
        others: 0,
        catalog: Catalog::new(),
        mine,
    };
    let mut publisher = Publisher::new(mine, Offset(0));
    let mut actions = publisher.start();
    let healthy = Turn {
        fault: Fault::None,
        others: 0,
        follows: true,
        keeps: None,
    };
    let tail = if expires { 0 } else { turns.len() * 4 + 16 };
    for turn in turns.iter().chain(std::iter::repeat_n(&healthy, tail)) {
        world.append_others(turn.others);
        if let Some(keeps) = turn.keeps {
            let first = world.log.len().saturating_sub(usize::from(keeps));
            world.first_retained = world.first_retained.max(first);
        }
        let mut asks = false;
        if let Some(action) = actions.pop() {
            asks = matches!(action, PublisherAction::AskCatalog { .. });
            actions = world.perform(&mut publisher, &action, turn.fault);
        }
        if turn.follows {
            world.follow();
            if let Some(verdict) = world.catalog.verdict_of(mine) {
                actions = publisher.handle_event(PublisherEvent::CatalogVerdict(verdict));
            } else if asks {
                actions = publisher
                    .handle_event(PublisherEvent::CatalogVerdict(&PastVerdict::NotRetained));
            }
        } else if asks {
            // The catalog answers later.
            actions.push(PublisherAction::AskCatalog { offset: Offset(0) });
        }
        if let Some(PublisherAction::Finish(outcome)) = actions.first() {
            return world.check(outcome);
        }
    }
    assert!(expires, "a log without faults must lead to a verdict");
    match publisher
        .handle_event(PublisherEvent::CallerTimedOut)
        .first()
    {
        Some(PublisherAction::Finish(outcome)) => world.check(outcome),
        other => panic!("no outcome at expiry: {other:?}"),
    }
}

/// Guards against an outcome that the log contradicts, and against a publisher that never ends.
#[test]
fn outcome_agrees_with_log() {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(0x7661_6c76),
        failure_persistence: None,
        ..Config::default()
    };
    let input = (proptest::collection::vec(turn(), 0..24), any::<bool>());
    let result = TestRunner::new(config).run(&input, |(turns, expires)| {
        run(&turns, expires);
        Ok(())
    });
    result.expect("outcome agrees with the log");
}
