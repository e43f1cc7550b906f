//! Choice of an upstream by the expected latency of a call.

use cornelvalve_model::Moment;
use cornelvalve_policy::{
    CallCost, CallResult, Distance, LoadReport, LowestLatencyPlacement, Placement, PlacementTarget,
    RoundRobinPlacement, TargetOutcome,
};

/// Call with small bodies.
const READ: CallCost = CallCost {
    work_ms: 60.0,
    bytes: 600,
};

/// Returns the moment this many milliseconds after the start.
fn ms(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Creates an idle target that reported this slowdown at `now`.
fn target(distance: Distance, slowdown: f64, now: Moment) -> PlacementTarget {
    let mut target = PlacementTarget::new(distance);
    let report = LoadReport {
        slots: 9,
        slowdown,
        ..LoadReport::default()
    };
    target.record_report(report, now);
    target
}

/// Returns the index of the target that is ranked first.
fn best(targets: &[PlacementTarget], cost: &CallCost, now: Moment) -> usize {
    LowestLatencyPlacement::new(1).order(targets, cost, now)[0].index
}

// Guards against calls that leave the failure domain although an equal upstream is in it.
#[test]
fn nearest_of_equal_upstreams_is_preferred() {
    let now = ms(1000);
    let targets = [
        target(Distance::OtherRegion, 1.0, now),
        target(Distance::SameRegion, 1.0, now),
        target(Distance::SameDomain, 1.0, now),
    ];
    assert_eq!(best(&targets, &READ, now), 2);
}

// Guards against reads that leave the failure domain, which costs metered bytes, for an upstream
// that is only a little less busy.
#[test]
fn read_stays_in_its_domain_if_load_is_only_a_little_higher() {
    let now = ms(1000);
    let mut busy = target(Distance::SameDomain, 1.0, now);
    let load = LoadReport {
        running: 6,
        slots: 9,
        slowdown: 1.0,
        ..LoadReport::default()
    };
    busy.record_report(load, now);
    let targets = [target(Distance::SameRegion, 1.0, now), busy];
    assert_eq!(best(&targets, &READ, now), 1);
}

// Guards against calls that go to the nearest upstream during its slow period.
#[test]
fn upstream_in_the_region_is_preferred_to_a_slow_local_one() {
    let now = ms(1000);
    let targets = [
        target(Distance::Local, 7.0, now),
        target(Distance::SameRegion, 1.0, now),
    ];
    assert_eq!(best(&targets, &READ, now), 1);
}

// Guards against uploads that leave the failure domain for a small gain.
#[test]
fn large_body_stays_in_its_domain_if_the_upstream_is_a_little_slower() {
    let now = ms(1000);
    let upload = CallCost {
        bytes: 60_000,
        ..READ
    };
    let targets = [
        target(Distance::SameDomain, 2.0, now),
        target(Distance::SameRegion, 1.0, now),
    ];
    assert_eq!(best(&targets, &upload, now), 0);
    assert_eq!(best(&targets, &READ, now), 1);
}

// Guards against uploads that miss their objective because the penalty for their bytes outweighs a
// much higher latency.
#[test]
fn large_body_leaves_its_domain_if_it_would_be_late_there() {
    let now = ms(1000);
    let upload = CallCost {
        bytes: 60_000,
        work_ms: 72.0,
    };
    let mut slow = target(Distance::SameDomain, 7.0, now);
    let load = LoadReport {
        running: 9,
        waiting: 3,
        slots: 9,
        slowdown: 7.0,
        ..LoadReport::default()
    };
    slow.record_report(load, now);
    let targets = [slow, target(Distance::SameRegion, 1.0, now)];
    assert_eq!(best(&targets, &upload, now), 1);
}

// Guards against an upstream that attracts load because its calls fail quickly, and against one
// that is avoided forever after failures.
#[test]
fn failing_upstream_is_avoided_until_its_failures_are_old() {
    let now = ms(1000);
    let mut targets = [
        target(Distance::SameDomain, 1.0, now),
        target(Distance::SameRegion, 1.0, now),
    ];
    for _ in 0..4 {
        targets[0].record_sent();
        targets[0].record_outcome(TargetOutcome::Finished(CallResult::Failed), now);
    }
    assert_eq!(best(&targets, &READ, now), 1);
    let later = ms(30_000);
    for target in &mut targets {
        let report = LoadReport {
            slots: 9,
            slowdown: 1.0,
            ..LoadReport::default()
        };
        target.record_report(report, later);
    }
    assert_eq!(best(&targets, &READ, later), 0);
}

// Guards against further requests to a VM that no longer responds, for example after a power
// failure.
#[test]
fn unresponsive_vm_is_ranked_last_for_some_time() {
    let now = ms(1000);
    let mut targets = [
        target(Distance::SameDomain, 1.0, now),
        target(Distance::OtherRegion, 7.0, now),
    ];
    targets[0].record_sent();
    targets[0].record_outcome(TargetOutcome::Unresponsive, now);
    assert_eq!(best(&targets, &READ, now), 1);
    assert!(!targets[0].is_avoided(ms(60_000)));
}

/// Simulates reads against six upstreams in one region and returns the fraction that ends within
/// the objective of 300 ms.
///
/// Each upstream is slow for a quarter of the time, in periods of half a second. Each load
/// report describes the state `report_age_ms` ago.
fn simulate(placement: &mut dyn Placement, report_age_ms: u64) -> f64 {
    let slow = |upstream: u64, now: u64| {
        let period = now / 500 + upstream * 977;
        // A hash instead of a random number, so that all runs are equal.
        let mixed = period.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
        if mixed.is_multiple_of(4) { 7.0 } else { 1.0 }
    };
    let mut targets = [PlacementTarget::new(Distance::SameRegion); 6];
    let (mut in_time, mut total) = (0.0, 0.0);
    for now in (1000..61_000).step_by(5) {
        for (upstream, target) in targets.iter_mut().enumerate() {
            let reported = slow(upstream as u64, now - report_age_ms);
            let report = LoadReport {
                slots: 9,
                slowdown: reported,
                ..LoadReport::default()
            };
            target.record_report(report, ms(now));
        }
        let index = placement.order(&targets, &READ, ms(now))[0].index;
        let latency = 60.0 * slow(index as u64, now) + 3.0;
        total += 1.0;
        if latency <= 300.0 {
            in_time += 1.0;
        }
    }
    in_time / total
}

// Guards against reads that go to upstreams in their slow periods although these are known. Each of
// the six upstreams is slow with a probability of one quarter, so there is nearly always one that
// serves a read in time.
#[test]
fn lowest_latency_placement_avoids_slow_periods() {
    let fresh = simulate(&mut LowestLatencyPlacement::new(1), 0);
    let stale = simulate(&mut LowestLatencyPlacement::new(1), 50);
    let round_robin = simulate(&mut RoundRobinPlacement::default(), 0);
    assert!(fresh > 0.99, "{fresh} in time with fresh reports");
    assert!(stale > 0.9, "{stale} in time with reports 50 ms old");
    // About three quarters are expected, so the simulation tells the policies apart.
    assert!(round_robin < 0.85, "{round_robin} in time with round robin");
}
