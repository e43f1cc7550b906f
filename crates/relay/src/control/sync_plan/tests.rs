mod restore;

use super::*;

const CHANGED: ReadEnd = ReadEnd::Changes {
    empty: false,
    more: false,
};

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// Returns the revision of a configuration at this offset in the first era.
fn revision(offset: u64) -> ConfigRevision {
    in_era(1, offset)
}

fn in_era(era: u64, offset: u64) -> ConfigRevision {
    ConfigRevision {
        position: LogPosition::new(era, offset),
        ..ConfigRevision::default()
    }
}

/// Returns the read with which a reader waits for changes from this position on.
fn poll_at(position: LogPosition) -> Step {
    Step::ReadChanges {
        position,
        wait: poll_wait(1, position),
        small: true,
    }
}

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Returns the plan of a daemon that has read the configuration up to position 5 at its start.
fn started(reader: bool) -> SyncPlan {
    let mut plan = SyncPlan::new(at(0), 1);
    assert_eq!(
        plan.steps(at(0)).as_slice(),
        [Step::ReadAll { small: true }]
    );
    plan.read_ended(ReadEnd::Complete, at(10));
    plan.record_applied(revision(5));
    plan.set_reader(reader);
    plan
}

/// Returns the steps of a plan at its next due moments up to `end`.
fn steps_until(plan: &mut SyncPlan, start: u64, end: u64) -> Vec<(u64, Step)> {
    let mut all = Vec::new();
    for ms in start..end {
        all.extend(plan.steps(at(ms)).into_iter().map(|step| (ms, step)));
    }
    all
}

// Guards against a daemon that holds a read of the store although others notify it.
#[test]
fn only_readers_wait_for_changes_at_the_store() {
    let poll = poll_at(LogPosition::new(1, 5));
    assert_eq!(started(true).steps(at(10)).as_slice(), [poll]);
    let mut other = started(false);
    assert_eq!(steps_until(&mut other, 10, 20_000), []);
    // A daemon that is no longer a reader ends its read.
    let mut plan = started(true);
    plan.steps(at(10));
    plan.set_reader(false);
    assert_eq!(plan.steps(at(20)).as_slice(), [Step::AbandonRead]);
}

// Guards against a change that no peer reports.
#[test]
fn a_daemon_that_hears_nothing_checks_the_store() {
    let steps = steps_until(&mut started(false), 10, 30_000);
    let check = Step::ReadChanges {
        position: LogPosition::new(1, 5),
        wait: Duration::ZERO,
        small: true,
    };
    assert_eq!(steps, [(25_010, check)]);
}

// Guards against reports that are dropped while a fetch runs, and against a fetch that fails and is
// not followed by another one.
#[test]
fn the_next_peer_is_asked_at_once_after_a_fetch_failed() {
    let mut plan = started(false);
    assert!(plan.record_peer(peer(1), revision(6), true, at(100)));
    assert_eq!(plan.steps(at(100)).as_slice(), [Step::Fetch(peer(1))]);
    assert!(!plan.record_peer(peer(2), revision(6), true, at(110)));
    assert!(plan.steps(at(110)).is_empty());
    plan.fetch_ended(peer(1));
    assert_eq!(plan.steps(at(120)).as_slice(), [Step::Fetch(peer(2))]);
}

// Guards against a daemon that waits for one peer that does not answer.
#[test]
fn a_second_peer_is_asked_while_the_first_does_not_answer() {
    let mut plan = started(false);
    plan.record_peer(peer(1), revision(6), true, at(100));
    plan.record_peer(peer(2), revision(6), true, at(100));
    plan.record_peer(peer(3), revision(6), true, at(100));
    let steps = steps_until(&mut plan, 100, 800);
    let fetches = [(100, Step::Fetch(peer(3))), (500, Step::Fetch(peer(2)))];
    assert_eq!(steps, fetches);
}

// Guards against a daemon that stays behind because its peers do not answer.
#[test]
fn the_store_is_read_if_no_peer_answers() {
    let mut plan = started(false);
    plan.record_peer(peer(1), revision(6), true, at(100));
    let steps = steps_until(&mut plan, 100, 2000);
    let read = Step::ReadChanges {
        position: LogPosition::new(1, 5),
        wait: Duration::ZERO,
        small: true,
    };
    assert_eq!(steps, [(100, Step::Fetch(peer(1))), (900, read)]);
}

// Guards against a store that is read without pause because a peer claims to have more than it.
#[test]
fn the_store_is_read_with_pauses_while_a_peer_claims_to_have_more() {
    let mut plan = started(false);
    plan.record_peer(peer(1), revision(6), true, at(100));
    let mut reads = 0;
    for ms in 100..10_000 {
        for step in plan.steps(at(ms)) {
            if matches!(step, Step::ReadChanges { .. }) {
                reads += 1;
                let end = ReadEnd::Changes {
                    empty: true,
                    more: false,
                };
                plan.read_ended(end, at(ms));
            }
        }
    }
    assert!((2..=13).contains(&reads), "{reads} reads");
}

// Guards against copies that cross the link between regions although a peer of the region has one.
#[test]
fn peers_of_other_regions_are_asked_last() {
    let mut plan = started(false);
    plan.record_peer(peer(1), revision(7), false, at(100));
    assert!(plan.steps(at(100)).is_empty());
    plan.record_peer(peer(2), revision(6), true, at(200));
    assert_eq!(plan.steps(at(200)).as_slice(), [Step::Fetch(peer(2))]);
    plan.fetch_ended(peer(2));
    assert!(plan.steps(at(300)).is_empty());
    assert!(plan.steps(at(900)).contains(&Step::Fetch(peer(1))));
}

// Guards against a daemon on a slow link that reads each of many large changes in turn.
#[test]
fn only_the_newest_of_several_changes_is_read() {
    let mut plan = started(true);
    plan.steps(at(10));
    let end = ReadEnd::Changes {
        empty: false,
        more: true,
    };
    plan.read_ended(end, at(500));
    plan.record_applied(revision(6));
    assert_eq!(
        plan.steps(at(500)).as_slice(),
        [Step::ReadAll { small: false }]
    );
    plan.read_ended(ReadEnd::Complete, at(900));
    plan.record_applied(revision(9));
    let poll = poll_at(LogPosition::new(1, 9));
    assert_eq!(plan.steps(at(900)).as_slice(), [poll]);
}

// Guards against reading what a peer has sent already.
#[test]
fn a_read_is_abandoned_when_a_peer_was_faster() {
    let mut plan = started(true);
    plan.steps(at(10));
    plan.record_peer(peer(1), revision(6), true, at(100));
    assert_eq!(plan.steps(at(100)).as_slice(), [Step::Fetch(peer(1))]);
    plan.record_applied(revision(6));
    plan.fetch_ended(peer(1));
    let poll = poll_at(LogPosition::new(1, 6));
    assert_eq!(plan.steps(at(120)).as_slice(), [Step::AbandonRead, poll]);
    plan.read_ended(CHANGED, at(200));
    plan.record_applied(revision(7));
    assert!(!plan.steps(at(200)).contains(&Step::AbandonRead));
}

// Guards against a restart of many daemons that fills the link to the store's region, because each
// reads a large configuration that a peer could send.
#[test]
fn a_large_configuration_is_left_to_readers() {
    let mut plan = SyncPlan::new(at(0), 1);
    assert_eq!(
        plan.steps(at(0)).as_slice(),
        [Step::ReadAll { small: true }]
    );
    plan.read_ended(ReadEnd::TooLarge, at(50));
    assert_eq!(steps_until(&mut plan, 50, 4000), []);
    plan.record_peer(peer(1), revision(4), true, at(4000));
    assert_eq!(plan.steps(at(4000)).as_slice(), [Step::Fetch(peer(1))]);
    plan.record_applied(revision(4));
    plan.fetch_ended(peer(1));
    assert_eq!(steps_until(&mut plan, 4010, 20_000), []);
}

// Guards against a daemon that never gets a large configuration, because no peer has it.
#[test]
fn a_large_configuration_is_read_if_no_peer_has_it() {
    let mut plan = SyncPlan::new(at(0), 1);
    plan.steps(at(0));
    plan.read_ended(ReadEnd::TooLarge, at(50));
    let read = (4050, Step::ReadAll { small: false });
    assert_eq!(steps_until(&mut plan, 50, 5000), [read]);
    let mut reader = SyncPlan::new(at(0), 1);
    reader.steps(at(0));
    reader.read_ended(ReadEnd::TooLarge, at(50));
    reader.set_reader(true);
    let read = (1000, Step::ReadAll { small: false });
    assert_eq!(steps_until(&mut reader, 1000, 1001), [read]);
}

// Guards against a restarted reader that keeps an older configuration of a peer that is behind.
#[test]
fn a_started_reader_asks_the_store_for_changes_beyond_those_of_a_peer() {
    let mut plan = SyncPlan::new(at(0), 1);
    plan.steps(at(0));
    plan.record_peer(peer(1), revision(4), true, at(50));
    assert_eq!(plan.steps(at(50)).as_slice(), [Step::Fetch(peer(1))]);
    plan.record_applied(revision(4));
    plan.fetch_ended(peer(1));
    assert_eq!(plan.steps(at(60)).as_slice(), [Step::AbandonRead]);
    plan.set_reader(true);
    let read = poll_at(LogPosition::new(1, 4));
    assert_eq!(plan.steps(at(1000)).as_slice(), [read]);
}

// Guards against a store that fails and is called without pause.
#[test]
fn failed_reads_are_repeated_with_growing_pauses() {
    let mut plan = SyncPlan::new(at(0), 1);
    let mut reads = Vec::new();
    for ms in 0..5000 {
        if !plan.steps(at(ms)).is_empty() {
            reads.push(ms);
            plan.read_ended(ReadEnd::Failed, at(ms));
        }
    }
    assert_eq!(reads, [0, 200, 600, 1400, 3000, 4600]);
}

// Guards against a reader that follows a restored store from a position of the time before.
#[test]
fn a_reader_reads_the_complete_configuration_of_a_new_era() {
    let mut plan = started(true);
    plan.steps(at(10));
    plan.read_ended(ReadEnd::OtherEra(StoreEra(2)), at(1000));
    let steps = steps_until(&mut plan, 1000, 2001);
    let [(due, Step::ReadAll { small: false })] = steps.as_slice() else {
        panic!("unexpected {steps:?}");
    };
    assert!(*due <= 2000, "read at {due} ms");
    plan.read_ended(ReadEnd::Complete, at(2001));
    plan.record_applied(in_era(2, 3));
    let poll = poll_at(LogPosition::new(2, 3));
    assert_eq!(plan.steps(at(2001)).as_slice(), [poll]);
}

// Guards against all daemons that read a large configuration of a restored store, although the
// first of them could send the others what they lack.
#[test]
fn a_peer_that_was_faster_saves_the_complete_read_of_a_new_era() {
    let mut plan = started(true);
    plan.steps(at(10));
    plan.record_peer(peer(1), in_era(2, 3), true, at(1000));
    let steps = plan.steps(at(1000));
    assert!(steps.contains(&Step::Fetch(peer(1))), "{steps:?}");
    plan.read_ended(ReadEnd::OtherEra(StoreEra(2)), at(1001));
    plan.record_applied(in_era(2, 3));
    plan.fetch_ended(peer(1));
    let steps = steps_until(&mut plan, 1001, 2000);
    let poll = poll_at(LogPosition::new(2, 3));
    assert!(
        matches!(steps.as_slice(), [(_, step)] if *step == poll),
        "{steps:?}"
    );
}

// Guards against a reader that waits for a restored store which never answers its read, while a
// peer knows the new era.
#[test]
fn a_read_of_an_earlier_era_is_abandoned_when_a_peer_has_the_new_one() {
    let mut plan = started(true);
    plan.steps(at(10));
    plan.record_peer(peer(1), in_era(2, 1), true, at(100));
    assert_eq!(plan.steps(at(100)).as_slice(), [Step::Fetch(peer(1))]);
    plan.record_applied(in_era(2, 1));
    plan.fetch_ended(peer(1));
    assert!(plan.steps(at(110)).contains(&Step::AbandonRead));
}

// Guards against a late answer, or one of an old proxy, that makes a daemon read again and again.
#[test]
fn answers_of_an_earlier_era_are_followed_by_growing_pauses() {
    let mut plan = started(true);
    plan.record_applied(in_era(2, 3));
    let mut reads = Vec::new();
    for ms in 10..5000 {
        for step in plan.steps(at(ms)) {
            assert!(matches!(step, Step::ReadChanges { .. }), "{step:?}");
            reads.push(ms);
            plan.read_ended(ReadEnd::OtherEra(StoreEra(1)), at(ms));
        }
    }
    assert_eq!(reads, [10, 210, 610, 1410, 3010, 4610]);
}

// Guards against a store whose log is shorter than it was although its era is the same, and which
// is therefore read without end.
#[test]
fn a_log_that_shrinks_within_an_era_is_read_with_growing_pauses() {
    let mut plan = started(true);
    let mut reads = 0;
    for ms in 10..10_000 {
        for step in plan.steps(at(ms)) {
            reads += 1;
            let end = match step {
                Step::ReadAll { .. } => ReadEnd::Complete,
                _ => ReadEnd::HistoryLost,
            };
            plan.read_ended(end, at(ms));
        }
    }
    assert!(reads <= 24, "{reads} reads in ten seconds");
}

// Guards against a started daemon that takes the copy in a restored store for the latest state,
// because its peers have read the store up to the same position.
#[test]
fn a_peer_with_a_later_version_at_the_same_position_is_asked() {
    let mut plan = started(false);
    let later = ConfigRevision {
        version: 7,
        ..revision(5)
    };
    assert!(plan.record_peer(peer(1), later, true, at(100)));
    assert_eq!(plan.steps(at(100)).as_slice(), [Step::Fetch(peer(1))]);
    plan.record_applied(later);
    assert!(!plan.is_behind());
}

// Guards against readers that all wait until the same moment for a store that does not answer.
#[test]
fn readers_wait_differently_long() {
    let position = LogPosition::new(1, 5);
    let mut waits: Vec<Duration> = (0..8).map(|seed| poll_wait(seed, position)).collect();
    waits.sort_unstable();
    waits.dedup();
    assert_eq!(waits.len(), 8);
    assert!(waits[0] >= POLL_WAIT / 2 && waits[7] <= POLL_WAIT);
}

// Guards against a reader that cannot read a large change, because it waits for small ones.
#[test]
fn a_reader_reads_a_large_change_at_once() {
    let mut plan = started(true);
    plan.steps(at(10));
    plan.read_ended(ReadEnd::TooLarge, at(100));
    let steps = plan.steps(at(100));
    let [Step::ReadChanges { small: false, .. }] = steps.as_slice() else {
        panic!("unexpected {steps:?}");
    };
    plan.read_ended(CHANGED, at(400));
    plan.record_applied(revision(6));
    let poll = poll_at(LogPosition::new(1, 6));
    assert_eq!(plan.steps(at(400)).as_slice(), [poll]);
}
