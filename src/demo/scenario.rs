//! What happens to the mesh while requests go on.

use std::time::Duration;

use cornelvalve_model::DomainState;
use tokio::time::Instant;

use super::Result;
use super::mesh::{Mesh, POLL, STEP_TIMEOUT};

/// Failure domain that is taken out of service and returned.
const DOMAIN: &str = "est-a";

/// VM whose upstream leaves.
const LEAVING_VM: &str = "est-b-1";

/// Parts into which the length of the demo is divided.
const PHASES: u32 = 5;

/// Time that requests sent before a change get to reach their upstream after it is in force.
const IN_FLIGHT: Duration = Duration::from_millis(500);

/// What was seen while the mesh changed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Story {
    /// Time from the operators' call until all daemons had confirmed that the domain is out.
    pub(super) out_after: Duration,
    /// Requests that began in the failure domain while it was out of service.
    pub(super) ran_out: u64,
    /// Whether the failure domain got work again after its return.
    pub(super) worked_again: bool,
    /// Whether the leaving upstream finished all its requests.
    pub(super) left_clean: bool,
}

/// Plays the changes over the length of the demo.
pub(super) async fn play(mesh: &mut Mesh, length: Duration) -> Result<Story> {
    let end = Instant::now() + length;
    let phase = length / PHASES;
    tokio::time::sleep(phase).await;

    println!("Taking failure domain {DOMAIN} out of service.");
    let asked = Instant::now();
    mesh.set_domain(DOMAIN, DomainState::OutOfService).await?;
    let out_after = asked.elapsed();
    tokio::time::sleep(IN_FLIGHT).await;
    let before = mesh.runs_in(DOMAIN).await;
    tokio::time::sleep(phase).await;
    let ran_out = mesh.runs_in(DOMAIN).await - before;

    println!("Returning failure domain {DOMAIN} to service.");
    mesh.set_domain(DOMAIN, DomainState::InService).await?;
    let worked_again = wait_for_work(mesh, before + ran_out).await;

    println!("Letting the upstream of {LEAVING_VM} leave.");
    let left_clean = mesh.leave(LEAVING_VM).await.is_ok();
    tokio::time::sleep_until(end).await;
    Ok(Story {
        out_after,
        ran_out,
        worked_again,
        left_clean,
    })
}

async fn wait_for_work(mesh: &Mesh, before: u64) -> bool {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while Instant::now() < deadline {
        if mesh.runs_in(DOMAIN).await > before {
            return true;
        }
        tokio::time::sleep(POLL).await;
    }
    false
}
