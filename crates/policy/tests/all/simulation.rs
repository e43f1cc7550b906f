//! Plays a load against entries and guards in virtual time, without a network.
//!
//! Every entry places its requests by what it has heard; every upstream stands behind a gate, runs
//! as many requests at once as it has slots, and is slowed for parts of the time. A message takes the
//! time of its distance. The player models what the product decides, not the product's encoding.

mod load;
mod mesh;

use std::time::Duration;

use cornelvalve_policy::{LowestLatencyPlacement, Placement, RoundRobinPlacement};

use load::{Load, Noise, Region, Shed};
use mesh::{Mesh, Result};

/// Objective of the requests that are played.
const OBJECTIVE: Duration = Duration::from_millis(600);

/// Time for which the callers wait.
const DEADLINE: Duration = Duration::from_millis(2000);

/// Filings that may be served in the region of their home only, with many entries in the other
/// region: what these hear of the upstreams is old by the time of the link between the regions.
fn remote_filings(per_second: f64) -> Load {
    Load {
        entries: vec![Region::South; 90],
        upstreams: vec![Region::North; 17],
        slots: 6,
        work: Duration::from_millis(140),
        per_second,
        objective: OBJECTIVE,
        deadline: DEADLINE,
        noise: Noise::NEIGHBOURS,
        shed: Shed::NONE,
        length: Duration::from_secs(20),
    }
}

fn expected_end(seed: u64) -> Box<dyn Placement> {
    Box::new(LowestLatencyPlacement::new(seed))
}

fn in_turn(_: u64) -> Box<dyn Placement> {
    Box::new(RoundRobinPlacement::default())
}

fn play(load: &Load, placement: fn(u64) -> Box<dyn Placement>) -> Result {
    Mesh::new(load, placement).play()
}

// Load: callers of one region whose requests have their home in the other, just after the start.
// Guards against entries that all choose the same upstream because they know nothing of any: the
// others then stay idle while requests are handed back from one queue to the next.
#[test]
fn entries_that_know_nothing_spread_their_requests() {
    let load = Load {
        length: Duration::from_secs(3),
        ..remote_filings(250.0)
    };
    let (chosen, turns) = (play(&load, expected_end), play(&load, in_turn));
    assert!(chosen.busiest < 2.0, "more than twice the mean: {chosen:?}");
    assert!(
        chosen.in_time >= turns.in_time - 0.02,
        "{chosen:?} against {turns:?}"
    );
    assert_eq!(chosen.refused, 0.0, "there are free slots: {chosen:?}");
}

// Load: as above, up to the bound of about 300 a second: seventeen upstreams with six slots, each
// slow for a quarter of the time, do that much if no slot is ever idle. Guards against a choice by
// what was heard too long ago.
#[test]
fn what_is_heard_late_harms_no_more_than_knowing_nothing() {
    for per_second in [100.0, 200.0, 300.0] {
        let load = remote_filings(per_second);
        let (chosen, turns) = (play(&load, expected_end), play(&load, in_turn));
        assert!(
            chosen.in_time >= turns.in_time - 0.02,
            "{per_second}/s: {chosen:?} against {turns:?}"
        );
    }
}

/// Nested calls of half of the entries in each region, which must answer while their caller holds a
/// slot.
fn nested_calls(shed: Shed) -> Load {
    let regions = [Region::North, Region::South];
    let alternating = |count| regions.into_iter().cycle().take(count).collect();
    Load {
        entries: alternating(90),
        upstreams: alternating(30),
        slots: 6,
        work: Duration::from_millis(26),
        per_second: 900.0,
        objective: Duration::from_millis(100),
        deadline: Duration::from_millis(300),
        noise: Noise::NEIGHBOURS,
        shed,
        length: Duration::from_secs(10),
    }
}

// Load: all upstreams of a service refuse 45% of what they get. Guards against calls that go ever
// farther away because the places that were not tried yet seem better: their callers hold their
// slots meanwhile, and the service of the callers is overloaded as well.
#[test]
fn a_fault_of_all_upstreams_keeps_calls_near_by() {
    let shed = Shed {
        share: 0.45,
        one_in: 1,
    };
    let usual = play(&nested_calls(Shed::NONE), expected_end);
    let result = play(&nested_calls(shed), expected_end);
    // Two attempts bring an answer to all but 0.45 * 0.45 of the calls.
    let possible = 1.0 - shed.share * shed.share;
    assert!(result.in_time > 0.9 * possible, "{result:?}");
    // The link between the regions alone takes longer than that.
    assert!(result.mean < 2 * usual.mean, "{result:?} against {usual:?}");
}

// Load: one in four upstreams refuses 45% of what it gets. Guards against a refusal that counts for
// too little to be avoided: the retry budget would be used up.
#[test]
fn upstreams_that_refuse_get_little_while_others_do_not() {
    let shed = Shed {
        share: 0.45,
        one_in: 4,
    };
    let (chosen, turns) = (
        play(&nested_calls(shed), expected_end),
        play(&nested_calls(shed), in_turn),
    );
    assert!(
        chosen.refused < turns.refused / 4.0,
        "{chosen:?} against {turns:?}"
    );
    assert!(chosen.in_time > 0.97, "{chosen:?}");
}
