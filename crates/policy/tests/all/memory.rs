//! Tests of the division of memory among messages.

use std::time::Duration;

use cornelvalve_model::Moment;
use cornelvalve_policy::{ClaimDecision, ClaimEnd, MemoryBudget, MemoryClaim, MemoryUse};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const MB: usize = 1_000_000;

/// Size in bytes of the largest body at the users' sites.
const LARGEST_BODY: usize = 64 * 1024 * 1024;

const START: Moment = Moment(0);

fn claim(purpose: MemoryUse, held: usize, bytes: usize) -> MemoryClaim {
    MemoryClaim {
        purpose,
        held,
        bytes,
    }
}

/// Claims memory for messages of this size until one is not granted; returns how many were.
fn fill(budget: &mut MemoryBudget, purpose: MemoryUse, size: usize) -> usize {
    let granted =
        |b: &mut MemoryBudget| b.claim(claim(purpose, 0, size), START) == ClaimDecision::Granted;
    std::iter::repeat_with(|| granted(budget))
        .take_while(|g| *g)
        .count()
}

// Guards against large bodies that leave no room for small ones.
#[test]
fn large_messages_leave_room_for_small_ones() {
    let mut budget = MemoryBudget::new(160 * MB);
    fill(&mut budget, MemoryUse::Caller, 10 * MB);
    fill(&mut budget, MemoryUse::Peer, 10 * MB);
    assert!(fill(&mut budget, MemoryUse::Caller, 100_000) >= 90);
}

// Guards against two daemons that are full of uploads for each other and cannot receive them.
#[test]
fn requests_of_callers_leave_room_for_those_of_other_daemons() {
    let mut budget = MemoryBudget::new(160 * MB);
    fill(&mut budget, MemoryUse::Caller, 5 * MB);
    assert!(fill(&mut budget, MemoryUse::Peer, 5 * MB) >= 1);
}

// Guards against a response that is lost, after its request has run, because bodies hold the memory.
#[test]
fn responses_may_use_what_large_bodies_leave() {
    let mut budget = MemoryBudget::new(160 * MB);
    fill(&mut budget, MemoryUse::Caller, 10 * MB);
    fill(&mut budget, MemoryUse::Peer, 10 * MB);
    assert!(fill(&mut budget, MemoryUse::Response, 3 * MB) >= 3);
}

// Guards against a budget in which the largest legal body does not fit although it is alone.
#[test]
fn the_largest_body_fits_at_both_daemons() {
    let mut budget = MemoryBudget::new(150 * MB);
    assert!(budget.largest_message(MemoryUse::Caller) >= LARGEST_BODY);
    for purpose in [MemoryUse::Caller, MemoryUse::Peer] {
        let decision = budget.claim(claim(purpose, 0, LARGEST_BODY), START);
        assert_eq!(decision, ClaimDecision::Granted, "{purpose}");
    }
}

// Guards against a body that waits for memory that there never is.
#[test]
fn a_message_that_never_fits_is_refused_at_once() {
    let mut budget = MemoryBudget::new(80 * MB);
    let claim = claim(MemoryUse::Caller, 70 * MB, MB);
    assert_eq!(budget.claim(claim, START), ClaimDecision::Refused);
    assert!(!budget.is_short());
}

// Guards against bodies that wait for each other for good when none can get the rest of its memory.
#[test]
fn messages_that_wait_for_each_other_end() {
    let mut budget = MemoryBudget::new(100 * MB);
    for _ in 0..2 {
        let first = claim(MemoryUse::Caller, 0, 40 * MB);
        assert_eq!(budget.claim(first, START), ClaimDecision::Granted);
    }
    for held in [39 * MB, 40 * MB] {
        let rest = claim(MemoryUse::Caller, held, 20 * MB);
        let decision = budget.claim(rest, START);
        assert!(matches!(decision, ClaimDecision::Waiting(_)));
    }
    assert!(budget.poll(START).is_empty());
    // Only the one that holds less is refused; the other gets its memory.
    let expiry = budget.next_expiry().expect("a claim waits");
    let ends = budget.poll(expiry);
    assert_eq!(ends.iter().map(|e| e.granted).collect::<Vec<_>>(), [false]);
    budget.release(MemoryUse::Caller, 40 * MB);
    let ends = budget.poll(expiry);
    assert_eq!(ends.iter().map(|e| e.granted).collect::<Vec<_>>(), [true]);
    assert!(!budget.is_short());
}

// Guards against claims that wait for good because others that hold less are refused before them.
#[test]
fn a_claim_does_not_wait_for_good() {
    let mut budget = MemoryBudget::new(100 * MB);
    fill(&mut budget, MemoryUse::Caller, 87 * MB);
    for held in 1..=20 {
        budget.claim(claim(MemoryUse::Caller, held * MB, 5 * MB), START);
    }
    let mut now = START;
    while let Some(expiry) = budget.next_expiry() {
        now = expiry;
        budget.poll(now);
    }
    assert!(now.since(START) <= Duration::from_secs(3));
}

// Guards against a body that has nearly arrived and waits behind those that begin.
#[test]
fn the_message_that_holds_most_goes_first() {
    let mut budget = MemoryBudget::new(100 * MB);
    fill(&mut budget, MemoryUse::Caller, 87 * MB);
    let new = budget.claim(claim(MemoryUse::Caller, 0, 10 * MB), START);
    let old = budget.claim(claim(MemoryUse::Caller, 50 * MB, 10 * MB), START);
    let ClaimDecision::Waiting(old) = old else {
        panic!("unexpected {old:?}");
    };
    assert!(matches!(new, ClaimDecision::Waiting(_)));
    budget.release(MemoryUse::Caller, 10 * MB);
    let expected = ClaimEnd {
        id: old,
        granted: true,
    };
    assert_eq!(budget.poll(START).as_slice(), &[expected]);
}

// Guards against more memory in use than there is, and against memory that is not given back.
#[test]
fn random_claims_stay_within_the_budget() {
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let total = rng.random_range(1..200) * MB;
        let mut budget = MemoryBudget::new(total);
        let (mut held, mut waiting) = (Vec::new(), std::collections::HashMap::new());
        let mut now = START;
        for _ in 0..2000 {
            now = now + Duration::from_millis(rng.random_range(0..100));
            let uses = [MemoryUse::Caller, MemoryUse::Peer, MemoryUse::Response];
            if rng.random_bool(0.6) {
                let purpose = uses[rng.random_range(0..uses.len())];
                let (before, bytes) = (rng.random_range(0..50 * MB), rng.random_range(1..9 * MB));
                match budget.claim(claim(purpose, before, bytes), now) {
                    ClaimDecision::Granted => held.push((purpose, bytes)),
                    ClaimDecision::Waiting(id) => {
                        waiting.insert(id, (purpose, bytes));
                    }
                    ClaimDecision::Refused => {}
                }
            } else if !held.is_empty() {
                let (purpose, bytes) = held.swap_remove(rng.random_range(0..held.len()));
                budget.release(purpose, bytes);
            }
            for end in budget.poll(now) {
                let claim = waiting.remove(&end.id).expect("claim waits");
                held.extend(end.granted.then_some(claim));
            }
            let used: usize = held.iter().map(|(_, bytes)| bytes).sum();
            assert_eq!(budget.used(), used, "seed {seed}");
            assert!(used <= total, "seed {seed}");
            assert_eq!(budget.is_short(), !waiting.is_empty(), "seed {seed}");
        }
    }
}
