//! Tests of a process of another service at the address of the upstream.

use std::time::Duration;

use cornelvalve_model::{Fingerprint, ServiceName};

use super::Fixture;
use crate::messages::{AdmissionDecision, GuardMessage};
use crate::ports::{AnnouncedState, CheckIn};

impl Fixture {
    /// Reports a check-in of a ready process of a service.
    async fn check_in_for(&self, instance: &str, service: &str) {
        let check_in = CheckIn {
            instance: instance.into(),
            started_ms: None,
            addr: None,
            service: Some(ServiceName::new(service).expect("name is valid")),
            slots: None,
            state: AnnouncedState::Ready,
            sequence: 1,
            cold_remaining: Duration::ZERO,
        };
        let applied = self.guard.ask(|reply| GuardMessage::CheckIn {
            check_in: Box::new(check_in),
            reply,
        });
        applied.await.expect("the guard is running");
    }

    /// Returns whether a request is admitted.
    async fn admits(&self) -> bool {
        let admitted = self.admit(Fingerprint(1)).await;
        matches!(admitted, AdmissionDecision::Admitted(_))
    }
}

// Guards against requests that a process of another service runs because it uses the address of an
// upstream that has ended: its health path does not tell the service.
#[tokio::test(start_paused = true)]
async fn a_process_of_another_service_gets_no_requests() {
    let fixture = Fixture::start_with_healthy_upstream().await;
    assert!(fixture.admits().await);
    fixture.check_in_for("i-2", "two").await;
    fixture.report_healthy_as("i-2").await;
    assert!(!fixture.admits().await);
    fixture.report_healthy_as("i-3").await;
    assert!(fixture.admits().await);
}

// Guards against a late check-in of an earlier process of another service that ends the process
// which is there now.
#[tokio::test(start_paused = true)]
async fn a_late_check_in_for_another_service_does_not_end_the_process() {
    let fixture = Fixture::start_with_healthy_upstream().await;
    fixture.check_in_for("i-0", "two").await;
    assert!(fixture.admits().await);
}

// Guards against a process that was taken for one of the service before its first check-in.
#[tokio::test(start_paused = true)]
async fn a_check_in_for_another_service_ends_what_the_health_path_reported() {
    let fixture = Fixture::start_with_healthy_upstream().await;
    fixture.report_healthy_as("i-2").await;
    assert!(fixture.admits().await);
    fixture.check_in_for("i-2", "two").await;
    assert!(!fixture.admits().await);
}

// Guards against a process that stays excluded although it belongs to the service now.
#[tokio::test(start_paused = true)]
async fn a_process_that_checks_in_for_the_service_is_used_again() {
    let fixture = Fixture::start_with_healthy_upstream().await;
    fixture.check_in_for("i-2", "two").await;
    fixture.check_in_for("i-2", "one").await;
    fixture.report_healthy_as("i-2").await;
    assert!(fixture.admits().await);
}
