//! Helpers for tests of services.

use cornelvalve_kernel::{Context, ServiceResult};
use tokio::sync::mpsc;

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
