//! Simulations of the request path in virtual time, without a network.
//!
//! An entry is the part of a daemon that accepts requests and places them at upstreams; a guard is
//! the part that admits requests to the upstream of its daemon. In the simulation, each entry
//! places its requests by the load reports that it has received. Each upstream is behind the gate
//! of its guard, runs as many requests at once as it has slots, and is slow for parts of the time.
//! Messages are delayed by the network distance. The simulation covers decisions, not the encoding
//! of messages.

mod load;
mod mesh;

use std::time::Duration;

use cornelvalve_policy::{LowestLatencyPlacement, Placement, RoundRobinPlacement};

use load::{Limits, Load, Noise, Region, Shedding};
use mesh::{Mesh, Summary};

/// Latency objective of the remote requests.
const OBJECTIVE: Duration = Duration::from_millis(600);

/// Time for which the callers of remote requests wait.
const DEADLINE: Duration = Duration::from_millis(2000);

/// Requests that may be served in their home region only, from many entries in the other region.
/// The load reports that reach these entries are outdated by the latency between the regions.
fn remote_requests(per_second: f64) -> Load {
    Load {
        entries: vec![Region::South; 90],
        upstreams: vec![Region::North; 17],
        slots: 6,
        duration: Duration::from_millis(140),
        per_second,
        objective: OBJECTIVE,
        deadline: DEADLINE,
        noise: Noise::NEIGHBOURS,
        shedding: Shedding::NONE,
        limits: Limits::NONE,
        length: Duration::from_secs(20),
    }
}

fn lowest_latency(seed: u64) -> Box<dyn Placement> {
    Box::new(LowestLatencyPlacement::new(seed))
}

fn round_robin(_: u64) -> Box<dyn Placement> {
    Box::new(RoundRobinPlacement::default())
}

fn simulate(load: &Load, placement: fn(u64) -> Box<dyn Placement>) -> Summary {
    Mesh::new(load, placement).run()
}

// Guards against entries that all choose the same upstream because they have no load reports yet.
// The other upstreams then stay idle while requests are handed back from one queue to the next.
// This happened to remote requests just after the start.
#[test]
fn entries_without_load_reports_spread_their_requests() {
    let load = Load {
        length: Duration::from_secs(3),
        ..remote_requests(250.0)
    };
    let (result, baseline) = (
        simulate(&load, lowest_latency),
        simulate(&load, round_robin),
    );
    assert!(
        result.busiest < 2.0,
        "busiest upstream gets more than twice the mean: {result:?}"
    );
    assert!(
        result.in_time >= baseline.in_time - 0.02,
        "{result:?} against {baseline:?}"
    );
    assert_eq!(
        result.refused, 0.0,
        "refused although there are free slots: {result:?}"
    );
}

// Guards against outdated load reports that make the choice worse than round robin. The rates go up
// to about the capacity: 17 upstreams with 6 slots, 140 ms per request and an average slowdown of
// 2.5 make 291 requests a second.
#[test]
fn outdated_load_reports_are_no_worse_than_round_robin() {
    for per_second in [100.0, 200.0, 300.0] {
        let load = remote_requests(per_second);
        let (result, baseline) = (
            simulate(&load, lowest_latency),
            simulate(&load, round_robin),
        );
        assert!(
            result.in_time >= baseline.in_time - 0.02,
            "{per_second}/s: {result:?} against {baseline:?}"
        );
    }
}

/// Nested calls, each of which must be answered while the request that makes it occupies a slot of
/// another upstream. Half of the entries and upstreams are in each region.
fn nested_calls(shedding: Shedding) -> Load {
    let regions = [Region::North, Region::South];
    let alternating = |count| regions.into_iter().cycle().take(count).collect();
    Load {
        entries: alternating(90),
        upstreams: alternating(30),
        slots: 6,
        duration: Duration::from_millis(26),
        per_second: 900.0,
        objective: Duration::from_millis(100),
        deadline: Duration::from_millis(300),
        noise: Noise::NEIGHBOURS,
        shedding,
        limits: Limits::NONE,
        length: Duration::from_secs(10),
    }
}

// Guards against calls that go to ever more distant upstreams when all upstreams of the service
// refuse 45% of their requests, because upstreams that were not tried yet seem better. The requests
// that make these nested calls would occupy their slots for longer round trips, which overloads the
// service of these requests as well.
#[test]
fn calls_stay_in_their_region_when_all_upstreams_shed_load() {
    let shedding = Shedding {
        fraction: 0.45,
        one_in: 1,
    };
    let healthy = simulate(&nested_calls(Shedding::NONE), lowest_latency);
    let result = simulate(&nested_calls(shedding), lowest_latency);
    // With two attempts, all but 0.45 * 0.45 of the calls can be answered.
    let possible = 1.0 - shedding.fraction * shedding.fraction;
    assert!(result.in_time > 0.9 * possible, "{result:?}");
    // The latency between the regions alone exceeds this bound.
    assert!(
        result.mean < 2 * healthy.mean,
        "{result:?} against {healthy:?}"
    );
}

// Guards against refusals that weigh too little for the upstream to be avoided, which would use up
// the retry budget. One in four upstreams refuses 45% of its requests.
#[test]
fn upstreams_that_shed_load_are_avoided_if_others_do_not() {
    let shedding = Shedding {
        fraction: 0.45,
        one_in: 4,
    };
    let (result, baseline) = (
        simulate(&nested_calls(shedding), lowest_latency),
        simulate(&nested_calls(shedding), round_robin),
    );
    assert!(
        result.refused < baseline.refused / 4.0,
        "{result:?} against {baseline:?}"
    );
    assert!(result.in_time > 0.97, "{result:?}");
}

/// Requests to twelve upstreams of one region, some of which name a limit of 8 a second for the first
/// 20 s. Without a limit, an upstream can end 60 requests a second.
fn limited_requests(per_second: f64, one_in: usize) -> Load {
    Load {
        entries: vec![Region::North; 12],
        upstreams: vec![Region::North; 12],
        slots: 6,
        duration: Duration::from_millis(100),
        per_second,
        objective: Duration::from_millis(400),
        deadline: Duration::from_millis(2000),
        noise: Noise {
            fraction: 0.0,
            slowdown: 1.0,
            period: Duration::from_millis(500),
        },
        shedding: Shedding::NONE,
        limits: Limits {
            per_second: 8.0,
            one_in,
            until: Duration::from_secs(20),
        },
        length: Duration::from_secs(20),
    }
}

/// Requests in 4 s that the users allow at a limit of 8 a second: one and a half times as many, and
/// five more.
const ALLOWED_STARTS: usize = 53;

// Guards against an upstream in need that is overrun, and against callers who wait or are refused
// because of it although other upstreams have room.
#[test]
fn requests_beyond_the_limit_of_one_upstream_are_served_elsewhere() {
    for (one_in, per_second) in [(12, 200.0), (4, 200.0), (2, 200.0)] {
        let load = limited_requests(per_second, one_in);
        let result = simulate(&load, lowest_latency);
        assert!(result.limited_starts <= ALLOWED_STARTS, "{result:?}");
        assert_eq!(result.refused, 0.0, "{one_in}: {result:?}");
        assert!(result.in_time > 0.99, "{one_in}: {result:?}");
        // Few requests are sent to an upstream in vain.
        assert!(result.offers < 1.3, "{one_in}: {result:?}");
    }
}

// Guards against a limit that is left unused although the other upstreams are busy.
#[test]
fn a_limit_is_used_while_other_upstreams_are_busy() {
    // The other half can end 360 requests a second.
    let result = simulate(&limited_requests(400.0, 2), lowest_latency);
    assert!(result.limited_starts <= ALLOWED_STARTS, "{result:?}");
    assert!(result.limit_use > 0.9, "{result:?}");
}

// Guards against callers who wait behind limits that leave no start for them, and against limits that
// are not used while callers are refused.
#[test]
fn requests_beyond_the_limits_of_all_upstreams_are_refused_at_once() {
    // The upstreams accept 96 requests a second together.
    let result = simulate(&limited_requests(200.0, 1), lowest_latency);
    assert!(result.limited_starts <= ALLOWED_STARTS, "{result:?}");
    assert!(result.limit_use > 0.95, "{result:?}");
    assert!(result.refusal < Duration::from_millis(250), "{result:?}");
}

// Guards against a limit that is remembered after its end.
#[test]
fn upstreams_are_used_again_after_the_end_of_their_limits() {
    let load = Load {
        limits: Limits {
            per_second: 0.0,
            one_in: 1,
            until: Duration::from_secs(5),
        },
        ..limited_requests(200.0, 1)
    };
    let result = simulate(&load, lowest_latency);
    assert_eq!(result.limited_starts, 0, "{result:?}");
    // A quarter of the time nobody can be served.
    assert!(result.refused < 0.3, "{result:?}");
    assert!(result.in_time > 0.7, "{result:?}");
}
