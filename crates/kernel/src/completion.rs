//! Reports that arrive even if the task that owes them is cancelled.

use tokio::sync::mpsc;

/// Obligation to report the end of one piece of work; a default report is sent on drop.
///
/// The channel is unbounded, because a lost report would leak a running count. The number of
/// messages in it is bounded by the number of obligations that were handed out.
#[derive(Debug)]
pub struct CompletionSender<T> {
    sender: mpsc::UnboundedSender<T>,
    on_drop: Option<T>,
}

impl<T> CompletionSender<T> {
    /// Creates an obligation that reports `on_drop` unless it is finished otherwise.
    pub fn new(sender: mpsc::UnboundedSender<T>, on_drop: T) -> Self {
        Self {
            sender,
            on_drop: Some(on_drop),
        }
    }

    /// Reports the end of the work.
    pub fn finish(mut self, report: T) {
        self.on_drop = None;
        // The receiver is gone only if the service restarted and forgot the work.
        let _ = self.sender.send(report);
    }

    /// Replaces the report that is sent on drop.
    pub fn set_on_drop(&mut self, report: T) {
        self.on_drop = Some(report);
    }
}

impl<T> Drop for CompletionSender<T> {
    fn drop(&mut self) {
        if let Some(report) = self.on_drop.take() {
            let _ = self.sender.send(report);
        }
    }
}
