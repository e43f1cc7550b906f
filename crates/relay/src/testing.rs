//! Helpers of the tests of services.

use cornelvalve_kernel::{Context, ServiceResult};
use tokio::sync::mpsc;

/// Runs a service that passes its messages on to the test.
pub(crate) async fn pass_on<M: Send + 'static>(
    mut context: Context<M>,
    to: mpsc::UnboundedSender<M>,
) -> ServiceResult {
    while let Some(message) = context.inbox.recv().await {
        // The test may have ended.
        let _ = to.send(message);
    }
    Ok(())
}
