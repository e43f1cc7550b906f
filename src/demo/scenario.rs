//! Scenario of the demo: the changes made to the configuration and the upstreams while requests are
//! sent.

use std::time::Duration;

use cornelvalve_model::DomainState;
use tokio::time::Instant;

use super::Result;
use super::mesh::{Mesh, POLL_INTERVAL, STEP_TIMEOUT};

/// Failure domain that is taken out of service and returned.
const DOMAIN: &str = "est-a";

/// VM whose upstream is shut down.
const SHUTDOWN_VM: &str = "est-b-1";

/// Divides the duration of the demo into phases. The scenario waits for one phase before the first
/// change and for one while the failure domain is out of service; the others are for the changes.
const PHASES: u32 = 5;

/// Time allowed for requests that were sent before a change came into force to reach their
/// upstream.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Observations for the checks of the report.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observations {
    /// Time from the call that takes the failure domain out of service until all daemons had
    /// confirmed it.
    pub(super) removal_time: Duration,
    /// Requests that ran in the failure domain while it was out of service.
    pub(super) unexpected_runs: u64,
    /// Whether the failure domain got requests again after its return to service.
    pub(super) traffic_resumed: bool,
    /// Whether the upstream that was shut down finished all its requests.
    pub(super) clean_shutdown: bool,
}

/// Makes the changes one after the other, and returns when at least `duration` has passed.
pub(super) async fn run(mesh: &mut Mesh, duration: Duration) -> Result<Observations> {
    let end = Instant::now() + duration;
    let phase = duration / PHASES;
    tokio::time::sleep(phase).await;

    println!("Taking failure domain {DOMAIN} out of service.");
    let started = Instant::now();
    mesh.set_domain_state(DOMAIN, DomainState::OutOfService)
        .await?;
    let removal_time = started.elapsed();
    tokio::time::sleep(IN_FLIGHT_TIME).await;
    let before = mesh.count_runs_in(DOMAIN).await;
    tokio::time::sleep(phase).await;
    let unexpected_runs = mesh.count_runs_in(DOMAIN).await - before;

    println!("Returning failure domain {DOMAIN} to service.");
    mesh.set_domain_state(DOMAIN, DomainState::InService)
        .await?;
    let traffic_resumed = wait_for_traffic(mesh, before + unexpected_runs).await;

    println!("Letting the upstream of {SHUTDOWN_VM} leave.");
    let clean_shutdown = mesh.shut_down_upstream(SHUTDOWN_VM).await.is_ok();
    tokio::time::sleep_until(end).await;
    Ok(Observations {
        removal_time,
        unexpected_runs,
        traffic_resumed,
        clean_shutdown,
    })
}

/// Waits until more than `before` requests have run in the failure domain; returns `false` on
/// timeout.
async fn wait_for_traffic(mesh: &Mesh, before: u64) -> bool {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while Instant::now() < deadline {
        if mesh.count_runs_in(DOMAIN).await > before {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}
