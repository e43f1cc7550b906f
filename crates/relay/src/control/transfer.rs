//! Reads of the store and fetches from peers, each of which runs in a task of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{PerMessageLimit, SocketTimeouts};
use cornelvalve_kernel::Mailbox;
use cornelvalve_model::LogPosition;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::ControlService;
use super::sync_plan::ReadEnd;
use crate::desired::ControlView;
use crate::desired::changes::StateId;
use crate::hop::{self, ControlUpdate, FrameConnection, HopCall, HopReply};
use crate::messages::ControlMessage;
use crate::ports::{ControlChanges, StoreError};

/// Longest time that fetching the configuration from a peer may take.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Size in bytes of an answer of the store that is small.
const SMALL_READ_BYTES: usize = 64 * 1024;

/// Maximum size in bytes of an answer of the store.
const MAX_READ_BYTES: usize = 16 * 1024 * 1024;

/// Maximum size in bytes of what a peer sends of its configuration.
const MAX_UPDATE_BYTES: usize = 16 * 1024 * 1024;

/// Result of one read of the store.
#[derive(Debug)]
pub(crate) enum StoreRead {
    /// The complete configuration.
    View(ControlView),
    /// The changes since the previous read.
    Changes(ControlChanges),
    /// The read failed.
    Failed(StoreError),
}

impl StoreRead {
    /// Replaces a complete configuration of an earlier era than `position` by an error. It is a late
    /// answer, or one of a copy of the store.
    pub(super) fn reject_earlier_era(self, position: LogPosition) -> Self {
        match self {
            Self::View(view) if view.position.era < position.era => {
                Self::Failed(StoreError::OtherEra(view.position.era))
            }
            read => read,
        }
    }

    /// Returns how the read ended.
    pub(super) fn end(&self) -> ReadEnd {
        match self {
            Self::View(_) => ReadEnd::Complete,
            Self::Changes(changes) => ReadEnd::Changes {
                empty: changes.changes.is_empty(),
                more: changes.end > changes.position,
            },
            Self::Failed(StoreError::HistoryLost) => ReadEnd::HistoryLost,
            Self::Failed(StoreError::OtherEra(era)) => ReadEnd::OtherEra(*era),
            Self::Failed(StoreError::TooLarge(_)) => ReadEnd::TooLarge,
            Self::Failed(_) => ReadEnd::Failed,
        }
    }
}

/// Aborts its task when dropped, so that the task ends with the service that owns it.
pub(super) struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl ControlService {
    /// Reads the changes from a position on, or the complete configuration, only if the answer is
    /// `small`.
    pub(super) fn start_read(&mut self, changes: Option<(LogPosition, Duration)>, small: bool) {
        let max_bytes = if small {
            SMALL_READ_BYTES
        } else {
            MAX_READ_BYTES
        };
        self.read_number += 1;
        let (number, store, own) = (self.read_number, Arc::clone(&self.store), self.own.clone());
        let task = tokio::spawn(async move {
            let result = match changes {
                None => store.view(max_bytes).await.map(StoreRead::View),
                Some((at, wait)) => {
                    let changes = store.changes(at, wait, max_bytes).await;
                    changes.map(StoreRead::Changes)
                }
            };
            let result = Box::new(result.unwrap_or_else(StoreRead::Failed));
            send_own(&own, ControlMessage::Read { number, result }).await;
        });
        self.read = Some(AbortOnDrop(task));
    }

    /// Fetches from a peer what this daemon lacks of its configuration.
    pub(super) fn start_fetch(&mut self, addr: SocketAddr) {
        let (own, timeouts) = (self.own.clone(), self.timeouts);
        let base = self.history.current_id();
        let task = tokio::spawn(async move {
            let fetch = timeout(FETCH_TIMEOUT, fetch_update(addr, base, timeouts)).await;
            let update = match fetch {
                Ok(Ok(update)) => Some(update),
                Ok(Err(e)) => {
                    log::info!(event = "peer-view-failed", peer:% = addr; "fetching the configuration from a peer failed: {e}");
                    None
                }
                Err(_) => {
                    log::info!(event = "peer-view-failed", peer:% = addr; "fetching the configuration from a peer timed out");
                    None
                }
            };
            send_own(&own, ControlMessage::FetchEnded { addr, update }).await;
        });
        self.fetches.push((addr, AbortOnDrop(task)));
    }
}

/// Sends a message of a task to the control service, which owns the task.
async fn send_own(own: &Mailbox<ControlMessage>, message: ControlMessage) {
    if let Err(e) = own.send(message).await {
        log::warn!(event = "read-dropped"; "result of a read of the configuration was dropped: {e}");
    }
}

/// Fetches what the daemon at `addr` has beyond the desired state `base`.
async fn fetch_update(
    addr: SocketAddr,
    base: Option<StateId>,
    timeouts: SocketTimeouts,
) -> hop::Result<Box<ControlUpdate>> {
    let memory = Arc::new(PerMessageLimit(MAX_UPDATE_BYTES));
    let mut connection = FrameConnection::open(addr, timeouts, memory).await?;
    connection
        .send(&hop::encode(HopCall::ControlSince(base))?)
        .await?;
    match connection.receive().await? {
        HopReply::ControlUpdate(update) => Ok(update),
        other => Err(hop::HopError::Malformed(format!("unexpected {other:?}"))),
    }
}
