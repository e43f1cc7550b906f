use cornelvalve_policy::LowestLatencyPlacement;

use super::*;
use crate::desired::DesiredState;
use crate::testing::route_spec;

const NOW: Moment = Moment(0);

/// Returns the state of a router that knows one route, `/read/` of the service `one`.
fn router() -> RouterState {
    let local = LocalDaemon {
        region: Region::new("east").unwrap(),
        domain: FailureDomain::new("east-a").unwrap(),
        addr: SocketAddr::from(([10, 0, 0, 1], 1)),
    };
    let budget = RetryBudgetSettings {
        ratio: 1.0,
        burst: 100.0,
        window: Duration::from_secs(10),
    };
    let (reports, _) = mpsc::unbounded_channel();
    let placement = Box::new(LowestLatencyPlacement::new(1));
    let mut state = RouterState::new(local, budget, placement, reports);
    let desired = DesiredState {
        routes: vec![Arc::new(route_spec("read", "/read/", "one"))],
        ..DesiredState::default()
    };
    state.set_control(Arc::new(ControlView {
        desired: Some(Arc::new(desired)),
        ..ControlView::default()
    }));
    state
}

// Guards against status 404 for a route that was added in a version that this daemon does not have
// yet.
#[test]
fn an_unknown_route_is_refused_as_not_run_while_a_later_version_exists() {
    let mut state = router();
    let cause = |state: &mut RouterState| state.resolve_route("a.example", "/new/x", NOW).err();
    assert_eq!(cause(&mut state), Some(Cause::NoRoute));
    state.set_behind(true);
    assert_eq!(cause(&mut state), Some(Cause::StaleConfiguration));
    assert!(state.resolve_route("a.example", "/read/x", NOW).is_ok());
    state.set_behind(false);
    assert_eq!(cause(&mut state), Some(Cause::NoRoute));
}

// Guards against a router that ends because a peer reports a load that cannot be.
#[test]
fn extreme_times_are_cut() {
    let longest = Duration::from_secs(3600);
    for ms in [f64::INFINITY, f64::MAX, 1e300] {
        assert_eq!(milliseconds(ms), longest);
    }
    for ms in [f64::NAN, f64::NEG_INFINITY, -1.0] {
        assert_eq!(milliseconds(ms), Duration::ZERO);
    }
}
