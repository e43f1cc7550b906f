//! Helpers for tests of services.

use std::time::Duration;

use cornelvalve_kernel::{Context, ServiceResult};
use cornelvalve_model::ServiceName;
use smallvec::smallvec;
use tokio::sync::mpsc;

use crate::desired::{IdempotencyLevel, RouteSpec, WeightedService};

/// Returns an idempotent route of the host `a.example` to one service, which may be served anywhere.
pub(crate) fn route_spec(name: &str, prefix: &str, service: &str) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        idempotency: IdempotencyLevel::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(300),
        priority: 1,
        max_attempts: 2,
        weighted_services: smallvec![WeightedService {
            service: ServiceName::new(service).expect("name is valid"),
            weight: 1.0,
        }],
        home_regions: smallvec![],
    }
}

/// Runs a stand-in for a service that forwards all its messages to the test.
pub(crate) async fn forward_messages<M: Send + 'static>(
    mut context: Context<M>,
    to: mpsc::UnboundedSender<M>,
) -> ServiceResult {
    while let Some(message) = context.inbox.recv().await {
        // Sending fails if the test has ended.
        let _ = to.send(message);
    }
    Ok(())
}
