//! Tests of calls whose route was taken from an earlier version of the desired state.

use std::sync::Arc;

use cornelvalve_model::{Fingerprint, Region};

use super::{Fixture, region};
use crate::desired::{ControlView, DesiredState, Version};
use crate::messages::{AdmissionDecision, GuardMessage};
use crate::ports::Cause;
use crate::testing::route_spec;

/// Returns a configuration whose only route has this prefix and service, and may be served in this
/// region. The calls of the tests have the target `/read/x` and version 1.
fn configuration(version: u64, prefix: &str, to: &str, home: Region) -> GuardMessage {
    let mut route = route_spec("read", prefix, to);
    route.home_regions.push(home);
    let desired = DesiredState {
        version: Version(version),
        routes: vec![Arc::new(route)],
        ..DesiredState::default()
    };
    GuardMessage::Control(Arc::new(ControlView {
        desired: Some(Arc::new(desired)),
        ..ControlView::default()
    }))
}

/// Returns the reason for which a guard with this configuration refuses a call of version 1; `None`
/// if it admits it.
async fn refusal(configuration: GuardMessage) -> Option<Cause> {
    let fixture = Fixture::start_with_healthy_upstream().await;
    fixture.send(configuration).await;
    match fixture.admit(Fingerprint(1)).await {
        AdmissionDecision::Admitted(_) => None,
        AdmissionDecision::Refused { cause, .. } => Some(cause),
    }
}

// Guards against running what a later version has moved to another service or region, or dropped,
// because the daemon that sent the request has an older version.
#[tokio::test(start_paused = true)]
async fn calls_that_a_later_version_rules_out_are_refused() {
    let south = Region::new("south").expect("name is valid");
    for later in [
        configuration(2, "/read/", "other", region()),
        configuration(2, "/dropped/", "one", region()),
        configuration(2, "/read/", "one", south),
    ] {
        assert_eq!(refusal(later).await, Some(Cause::StaleConfiguration));
    }
}

// Guards against refusing all requests of daemons that learn of a change a moment later.
#[tokio::test(start_paused = true)]
async fn calls_that_a_later_version_allows_are_admitted() {
    let later = configuration(2, "/read/", "one", region());
    assert_eq!(refusal(later).await, None);
}

// Guards against refusing requests of a daemon that has a later version than the guard.
#[tokio::test(start_paused = true)]
async fn calls_of_the_same_or_a_later_version_are_not_checked() {
    for version in [0, 1] {
        let own = configuration(version, "/dropped/", "one", region());
        assert_eq!(refusal(own).await, None);
    }
}
