//! Completion reports that are sent even if the task that does the work is cancelled.

use tokio::sync::mpsc;

/// Sender of exactly one report about the end of a piece of work.
///
/// If it is dropped before [`Self::finish`] is called, it sends a report that was chosen in
/// advance, the drop report.
///
/// The channel is unbounded because a report that is lost to a full channel would leave the
/// receiver's count of running work too high permanently. The number of queued reports is limited
/// by the number of senders that were created.
#[derive(Debug)]
pub struct CompletionSender<T> {
    sender: mpsc::UnboundedSender<T>,
    on_drop: Option<T>,
}

impl<T> CompletionSender<T> {
    /// Creates a sender with `on_drop` as its drop report.
    pub fn new(sender: mpsc::UnboundedSender<T>, on_drop: T) -> Self {
        Self {
            sender,
            on_drop: Some(on_drop),
        }
    }

    /// Reports the end of the work, in place of the drop report.
    pub fn finish(mut self, report: T) {
        self.on_drop = None;
        // Sending fails only if the receiving service has ended or was restarted, and then it no
        // longer tracks the work.
        let _ = self.sender.send(report);
    }

    /// Replaces the drop report.
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
