//! Publisher service: appends configuration changes to the log and determines their outcome.

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

/// Largest number of changes that are published at a time.
///
/// Each change holds a connection to the operators' listener. The JSON-RPC server accepts 100
/// connections by default; the remaining 36 stay free for status calls and for configuration pulls
/// of other daemons.
pub(crate) const MAX_IN_FLIGHT: usize = 64;

/// Result alias of this module.
pub(crate) type Result<T> = std::result::Result<T, PublishError>;

/// Reports why a change was refused before an attempt to append it.
#[derive(Debug, Display, Error)]
pub(crate) enum PublishError {
    /// Too many changes are being published.
    #[display("the change was not published because {MAX_IN_FLIGHT} others are being published")]
    Overloaded,
    /// The change cannot be encoded as a record, for example because it is too large.
    #[display("{_0}")]
    NotEncodable(RecordError),
}

/// Messages to the publisher service.
#[derive(Debug)]
pub(crate) enum PublisherMessage {
    /// Publishes a change and returns its outcome.
    Publish {
        /// The change.
        change: Box<Change>,
        /// Whether to wait for the verdict of the catalog after the append.
        await_verdict: bool,
        /// Time after which the outcome known by then is returned.
        timeout: Duration,
        /// Receives the outcome.
        reply: ReplySender<Result<PublishOutcome>>,
    },
}

/// Runs the publisher service.
///
/// Each change has its own task, so that one whose append got no answer does not delay the others.
/// All tasks send their records to one appender.
pub(crate) async fn run_publisher(
    mut context: Context<PublisherMessage>,
    store: Arc<dyn LogStore>,
) -> ServiceResult {
    let catalog = context.registry.mailbox(CATALOG)?;
    let (append_sender, append_receiver) = mpsc::channel(MAX_IN_FLIGHT);
    // Dropping a set aborts its tasks, so none outlives the service.
    let mut appender = JoinSet::new();
    appender.spawn(run_appender(Arc::clone(&store), append_receiver));
    let mut publications = JoinSet::new();
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => return Ok(()),
            Some(_) = publications.join_next() => continue,
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
        if publications.len() >= MAX_IN_FLIGHT {
            reply.send(Err(PublishError::Overloaded));
            continue;
        }
        let id = change.id;
        let record = match encode_entry(&LogEntry::Change(*change)) {
            Ok(record) => Bytes::from(record),
            Err(e) => {
                reply.send(Err(PublishError::NotEncodable(e)));
                continue;
            }
        };
        let publication = Publication {
            store: Arc::clone(&store),
            append_sender: append_sender.clone(),
            catalog: catalog.clone(),
            id,
            record,
            await_verdict,
            deadline: Instant::now() + timeout,
        };
        publications.spawn(async move { reply.send(Ok(publication.run().await)) });
    }
}
