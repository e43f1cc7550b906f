//! Stateful fuzzing of the publisher with a log that loses, delays and refuses appends.

use cornelvalve_catalog::{
    Catalog, ChangeRecord, PastVerdict, PublishOutcome, Publisher, PublisherAction,
    PublisherActions, PublisherEvent,
};
use cornelvalve_model::{Change, ChangeId, LogEntry, Offset, Operation};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use crate::operation::change_id;

/// Number of cases in a run; limits the run to a few seconds.
const CASES: u32 = 512;

/// Largest number of records in one read; small, so that a search takes several reads.
const MAX_READ_RECORDS: usize = 2;

/// Fault of the log during the next append or read. Each of them makes a read fail.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The append is refused without effect.
    Refuse,
    /// The append takes effect, but its response is lost.
    LoseResponse,
    /// The append is lost and has no effect.
    LoseAppend,
    /// The append takes effect only after the publisher has finished, and its response is lost.
    Delay,
}

/// One action of the publisher and what happens around it.
#[derive(Clone, Copy, Debug)]
struct Step {
    fault: Fault,
    /// Number of other changes that are appended before the action.
    others: u8,
    /// Whether the local catalog reads the log after the action.
    catalog_reads: bool,
    /// Number of latest records that the log retains; the others are removed before the action.
    retained: Option<u8>,
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        Just(Fault::None),
        Just(Fault::Refuse),
        Just(Fault::LoseResponse),
        Just(Fault::LoseAppend),
        Just(Fault::Delay),
    ];
    let retained = proptest::option::weighted(0.1, 0..6u8);
    (fault, 0..4u8, any::<bool>(), retained).prop_map(|(fault, others, catalog_reads, retained)| {
        Step {
            fault,
            others,
            catalog_reads,
            retained,
        }
    })
}

/// Returns a record with the given change id that every catalog accepts.
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

/// Log with the changes of several publishers, and the catalog that reads it.
struct Simulation {
    log: Vec<ChangeId>,
    first_retained: usize,
    /// Whether a search reached removed records.
    has_gap: bool,
    /// Number of delayed appends.
    delayed: usize,
    /// Number of changes of other publishers; the latest one is its change id.
    other_changes: u32,
    catalog: Catalog,
    /// Id of the change that is published.
    published: ChangeId,
}

impl Simulation {
    /// Appends changes of other publishers.
    fn append_others(&mut self, count: u8) {
        for _ in 0..count {
            self.other_changes += 1;
            self.log.push(change_id(&self.other_changes.to_string()));
        }
    }

    /// Lets the catalog apply all records.
    fn update_catalog(&mut self) {
        let from = usize::try_from(self.catalog.next_offset().0).expect("small offset");
        for (i, id) in self.log.iter().enumerate().skip(from) {
            self.catalog.apply(Offset(i as u64), Ok(&change(*id)));
        }
    }

    /// Appends the published change and returns the resulting event.
    fn append(&mut self, fault: Fault) -> PublisherEvent<'static> {
        match fault {
            Fault::None | Fault::LoseResponse => self.log.push(self.published),
            Fault::Delay => self.delayed += 1,
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
                assert!(!self.has_gap, "appended again after records were removed");
                let event = self.append(fault);
                publisher.handle_event(event)
            }
            PublisherAction::Read { .. } if !matches!(fault, Fault::None) => {
                publisher.handle_event(PublisherEvent::ReadFailed)
            }
            PublisherAction::Read { from } => {
                let from = usize::try_from(from.0).expect("small offset");
                if from < self.first_retained {
                    self.has_gap = true;
                    let first_retained = Offset(self.first_retained as u64);
                    return publisher.handle_event(PublisherEvent::RecordsGone { first_retained });
                }
                let page = self
                    .log
                    .iter()
                    .enumerate()
                    .skip(from)
                    .take(MAX_READ_RECORDS);
                let record = |(i, id): (usize, &ChangeId)| ChangeRecord {
                    offset: Offset(i as u64),
                    id: *id,
                };
                let changes: Vec<ChangeRecord> = page.map(record).collect();
                let next = from + changes.len();
                publisher.handle_event(PublisherEvent::Read {
                    changes: &changes,
                    next: Offset(next as u64),
                    at_end: next >= self.log.len(),
                })
            }
            PublisherAction::WaitBeforeRetry => publisher.handle_event(PublisherEvent::RetryDue),
            // The catalog reports the verdict after it has read the log.
            PublisherAction::AwaitVerdict { .. }
            | PublisherAction::AskCatalog { .. }
            | PublisherAction::Finish(_) => PublisherActions::new(),
        }
    }

    /// Checks that an outcome agrees with the log, also after delayed appends have taken effect.
    fn check(&mut self, outcome: &PublishOutcome) {
        let is_published = self.log.contains(&self.published);
        self.log
            .extend(std::iter::repeat_n(self.published, self.delayed));
        self.update_catalog();
        let accepted = (0u64..)
            .zip(&self.log)
            .find(|(_, id)| **id == self.published)
            .map(|(offset, _)| offset + 1);
        match outcome {
            PublishOutcome::NotPublished => assert_eq!(accepted, None),
            PublishOutcome::Accepted(revision) => assert_eq!(accepted, Some(revision.0)),
            PublishOutcome::Published(offset) => {
                assert!(is_published);
                let index = usize::try_from(offset.0).expect("small offset");
                assert_eq!(self.log[index], self.published);
            }
            PublishOutcome::Rejected(rejection) => panic!("rejected: {rejection}"),
            PublishOutcome::StillUnknown => {}
        }
    }
}

/// Publishes a change and checks the outcome.
///
/// If `expires` is set, the caller stops waiting after the steps; otherwise steps without faults
/// follow until there is an outcome.
fn run(steps: &[Step], expires: bool) {
    let published = change_id("mine");
    let mut simulation = Simulation {
        log: Vec::new(),
        first_retained: 0,
        has_gap: false,
        delayed: 0,
        other_changes: 0,
        catalog: Catalog::new(),
        published,
    };
    let mut publisher = Publisher::new(published, Offset(0));
    let mut actions = publisher.start();
    let healthy = Step {
        fault: Fault::None,
        others: 0,
        catalog_reads: true,
        retained: None,
    };
    // More than enough steps to search the log, to which each step has added at most four records.
    let tail = if expires { 0 } else { steps.len() * 4 + 16 };
    for step in steps.iter().chain(std::iter::repeat_n(&healthy, tail)) {
        simulation.append_others(step.others);
        if let Some(retained) = step.retained {
            let first = simulation.log.len().saturating_sub(usize::from(retained));
            simulation.first_retained = simulation.first_retained.max(first);
        }
        let mut asks_catalog = false;
        // There is never more than one action.
        if let Some(action) = actions.pop() {
            asks_catalog = matches!(action, PublisherAction::AskCatalog { .. });
            actions = simulation.perform(&mut publisher, &action, step.fault);
        }
        if step.catalog_reads {
            simulation.update_catalog();
            if let Some(verdict) = simulation.catalog.verdict_of(published) {
                actions = publisher.handle_event(PublisherEvent::CatalogVerdict(verdict));
            } else if asks_catalog {
                actions = publisher
                    .handle_event(PublisherEvent::CatalogVerdict(&PastVerdict::NotRetained));
            }
        } else if asks_catalog {
            // The catalog has not read the log; the action stays pending.
            actions.push(PublisherAction::AskCatalog { offset: Offset(0) });
        }
        if let Some(PublisherAction::Finish(outcome)) = actions.first() {
            return simulation.check(outcome);
        }
    }
    assert!(expires, "no outcome although the log has no more faults");
    match publisher
        .handle_event(PublisherEvent::CallerTimedOut)
        .first()
    {
        Some(PublisherAction::Finish(outcome)) => simulation.check(outcome),
        other => panic!("no outcome after the caller stopped waiting: {other:?}"),
    }
}

/// Guards against an outcome that contradicts the log, and against a publisher that never finishes.
#[test]
fn outcome_matches_log() {
    let config = Config {
        cases: CASES,
        // Fixed, so that runs are reproducible.
        rng_seed: RngSeed::Fixed(0x7661_6c76),
        failure_persistence: None,
        ..Config::default()
    };
    let input = (proptest::collection::vec(step(), 0..24), any::<bool>());
    let result = TestRunner::new(config).run(&input, |(steps, expires)| {
        run(&steps, expires);
        Ok(())
    });
    result.expect("outcome matches the log");
}
