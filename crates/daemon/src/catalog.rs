//! Catalog service: applies configuration records and publishes the accepted configuration.

mod confirm;
mod domains;
mod follower;
mod introducers;
mod pulls;
mod recent;
mod snapshots;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_api::{LogStoreState, PeerRecords};
use cornelvalve_catalog::{Catalog, PastVerdict};
use cornelvalve_kernel::{Context, ReplySender, ServiceResult};
use cornelvalve_logstore::{LogStore, Page};
use cornelvalve_model::{ChangeId, Offset, Revision};

use crate::membership::PeerAddress;
use crate::names::{BUDGET, CATALOG, GUARD, MEMBERSHIP, ROUTER};
use crate::timeline::TIMELINE;
pub(crate) use confirm::ConfirmMessage;
use introducers::Checked;
use state::{CatalogState, Outbound};

/// Name of the stream that carries the configuration.
pub(crate) const STREAM: &str = "configuration";

/// Period of housekeeping.
const TICK_PERIOD: Duration = Duration::from_millis(500);

/// What a read of the log brought.
#[derive(Debug)]
pub(crate) enum LogRead {
    /// A page of records.
    Page(Page),
    /// The records asked for are gone.
    Gone {
        /// Offset of the first record that is still there.
        first_retained: Offset,
    },
    /// The log could not be read.
    Failed,
}

/// Messages to the catalog.
#[derive(Debug)]
pub(crate) enum CatalogMessage {
    /// Result of a read of the log.
    Read(LogRead),
    /// Whether this daemon reads the log.
    Role {
        /// Whether it does.
        is_reader: bool,
        /// Whether it is ranked first in its failure domain, and so writes snapshots first.
        is_preferred: bool,
    },
    /// A peer has applied a later revision.
    PeerAhead {
        /// Where it answers.
        peer: PeerAddress,
        /// Its revision.
        revision: Revision,
    },
    /// Result of a pull.
    Pulled {
        /// The peer that was asked.
        peer: PeerAddress,
        /// What it handed over; `None` if it did not answer or has nothing in force.
        records: Option<PeerRecords>,
    },
    /// A peer asks for records.
    Pull {
        /// First offset that the peer has not applied.
        after: Offset,
        /// Most records that it takes.
        max: usize,
        /// Receives them; `None` if they are no longer kept.
        reply: ReplySender<Option<PeerRecords>>,
    },
    /// Concerns a confirmation for the guard.
    Confirm(ConfirmMessage),
    /// Sends the configuration to the services that need it again.
    Republish,
    /// Returns the configuration in force, or an empty one if there is none yet.
    Current {
        /// Receives it.
        reply: ReplySender<Arc<Catalog>>,
    },
    /// Returns the verdict on a change once it was applied.
    Verdict {
        /// The change.
        id: ChangeId,
        /// Offset at which it stands in the log.
        offset: Offset,
        /// Receives the verdict, possibly later.
        reply: ReplySender<PastVerdict>,
    },
    /// Returns the state of the log store.
    LogStore {
        /// Receives it.
        reply: ReplySender<LogStoreState>,
    },
    /// Result of a look at the stream of introducers.
    Introduced(Checked),
    /// Periodic tick.
    Tick,
}

/// Runs the catalog service.
pub(crate) async fn run_catalog(
    mut context: Context<CatalogMessage>,
    store: Arc<dyn LogStore>,
    peer_addr: SocketAddr,
) -> ServiceResult {
    let own = context.registry.mailbox(CATALOG)?;
    context
        .subscribe_to_ticks(CATALOG, TICK_PERIOD, |_| CatalogMessage::Tick)
        .await?;
    let outbound = Outbound {
        own,
        guard: context.registry.mailbox(GUARD)?,
        router: context.registry.mailbox(ROUTER)?,
        membership: context.registry.mailbox(MEMBERSHIP)?,
        budget: context.registry.mailbox(BUDGET)?,
        timeline: context.registry.mailbox(TIMELINE)?,
    };
    let mut state = CatalogState::new(outbound, store, peer_addr, context.clock.now());
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => break,
            message = context.inbox.recv() => message,
        };
        match message {
            Some(message) => state.handle(message, context.clock.now()),
            None => break,
        }
    }
    state.stop();
    Ok(())
}
