//! Publisher service: appends configuration changes to the log and finds out what became of them.

mod appender;
mod publication;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_catalog::PublishOutcome;
use cornelvalve_kernel::{Context, ReplySender, ServiceResult};
use cornelvalve_logstore::LogStore;
use cornelvalve_model::{Change, LogEntry};
use cornelvalve_wire::log::{RecordError, encode_entry};
use derive_more::{Display, Error};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::names::CATALOG;
use appender::run_appender;
use publication::Publication;

/// Changes in flight at once. The operators' listener takes 100 connections, of which the others
/// stay free for status calls and for peers.
pub(crate) const MAX_IN_FLIGHT: usize = 64;

/// Result alias of this module.
pub(crate) type Result<T> = std::result::Result<T, PublishError>;

/// Reports why a change was not taken.
#[derive(Debug, Display, Error)]
pub(crate) enum PublishError {
    /// Too many changes wait for the log.
    #[display("{MAX_IN_FLIGHT} changes are in flight already")]
    Overloaded,
    /// The change does not fit into a record.
    #[display("{_0}")]
    Unusable(RecordError),
}

/// Messages to the publisher.
#[derive(Debug)]
pub(crate) enum PublisherMessage {
    /// Publishes a change.
    Publish {
        /// The change.
        change: Box<Change>,
        /// Whether to wait for the verdict after the append.
        await_verdict: bool,
        /// Time after which the outcome so far is reported.
        timeout: Duration,
        /// Receives the outcome.
        reply: ReplySender<Result<PublishOutcome>>,
    },
}

/// Runs the publisher service.
///
/// Each change has a task of its own, so that one whose answer was lost does not delay others;
/// all of them hand their records to one appender.
pub(crate) async fn run_publisher(
    mut context: Context<PublisherMessage>,
    store: Arc<dyn LogStore>,
) -> ServiceResult {
    let catalog = context.registry.mailbox(CATALOG)?;
    let (appends, waiting) = mpsc::channel(MAX_IN_FLIGHT);
    // Both sets end with the service, because dropping them aborts their tasks.
    let mut appender = JoinSet::new();
    appender.spawn(run_appender(Arc::clone(&store), waiting));
    let mut running = JoinSet::new();
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => return Ok(()),
            Some(_) = running.join_next() => continue,
            message = context.inbox.recv() => message,
        };
        let Some(PublisherMessage::Publish {
            change,
            await_verdict,
            timeout,
            reply,
        }) = message
        else {
            return Ok(());
        };
        if running.len() >= MAX_IN_FLIGHT {
            reply.send(Err(PublishError::Overloaded));
            continue;
        }
        let id = change.id;
        let record = match encode_entry(&LogEntry::Change(*change)) {
            Ok(record) => Bytes::from(record),
            Err(e) => {
                reply.send(Err(PublishError::Unusable(e)));
                continue;
            }
        };
        let publication = Publication {
            store: Arc::clone(&store),
            appends: appends.clone(),
            catalog: catalog.clone(),
            id,
            record,
            await_verdict,
            deadline: Instant::now() + timeout,
        };
        running.spawn(async move { reply.send(Ok(publication.run().await)) });
    }
}
