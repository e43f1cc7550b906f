//! Catalog service: applies configuration records and distributes the resulting configuration to
//! the services of this daemon.
//!
//! The configuration is what operators publish: regions, failure domains, services, teams and
//! rules. It is replicated to all daemons and unrelated to the options of this process in
//! [`crate::config`].
//!
//! The two daemons of each failure domain that rendezvous hashing ranks first are its readers and
//! read the records from the log store. The others pull them from daemons that have applied a later
//! revision; so does a reader that lacks records.
//!
//! A configuration is in force once this daemon uses it for requests. That happens only after the
//! daemon has applied all records in the log, or all records that a peer with a configuration in
//! force has. Before that, it may be older than a configuration that was in force before this
//! process started.

mod confirm;
mod domains;
mod introducers;
mod log_reader;
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

use crate::membership::PullSource;
use crate::names::{BUDGET, CATALOG, GUARD, MEMBERSHIP, ROUTER};
use crate::timeline::TIMELINE;
pub(crate) use confirm::ConfirmMessage;
use introducers::CheckResult;
use state::{CatalogState, Mailboxes};

/// Name of the log stream that holds the configuration records.
pub(crate) const CONFIGURATION_STREAM: &str = "configuration";

/// Interval of [`CatalogMessage::Tick`].
const TICK_PERIOD: Duration = Duration::from_millis(500);

/// Result of one read of the log.
#[derive(Debug)]
pub(crate) enum LogRead {
    /// A page of records.
    Page(Page),
    /// Retention removed the requested records.
    Gone {
        /// Offset of the first record that the log store still has.
        first_retained: Offset,
    },
    /// The read failed or timed out.
    Failed,
}

/// Messages to the catalog service.
#[derive(Debug)]
pub(crate) enum CatalogMessage {
    /// Reports the result of a read of the log.
    LogReadFinished(LogRead),
    /// Sets whether this daemon reads the log.
    Role {
        /// Whether this daemon is a reader of its failure domain.
        is_reader: bool,
        /// Whether this daemon is ranked first of these readers. All readers may write snapshots,
        /// the first one with the shortest delay.
        is_preferred: bool,
    },
    /// Reports that a peer has applied a later revision.
    PeerAhead {
        /// Address of the peer.
        peer: PullSource,
        /// Revision that the peer has applied.
        revision: Revision,
    },
    /// Reports the result of a pull that this daemon started.
    PullFinished {
        /// The peer that was asked.
        peer: PullSource,
        /// Records that the peer returned; `None` if it did not answer, has no configuration in
        /// force, has not applied as many records as this daemon, or if the traffic budget of one
        /// of the two did not allow the transfer.
        records: Option<PeerRecords>,
    },
    /// Returns records to a peer that pulls from this daemon.
    ServePull {
        /// Offset of the first record to return.
        from: Offset,
        /// Largest number of records to return.
        max: usize,
        /// Receives the records; `None` if this daemon has no configuration in force, has not
        /// applied the records before `from`, or the traffic budget does not allow the transfer.
        reply: ReplySender<Option<PeerRecords>>,
    },
    /// Handles a step of a confirmation that the configuration is up to date. It is requested by
    /// the guard, the service that admits requests to the local upstreams.
    Confirm(ConfirmMessage),
    /// Sends the configuration in force to the guard, the router and the membership service again.
    Republish,
    /// Returns the configuration in force, or an empty one if there is none yet.
    InForce {
        /// Receives the configuration.
        reply: ReplySender<Arc<Catalog>>,
    },
    /// Returns the verdict on a change as soon as the change is applied.
    Verdict {
        /// Id of the change.
        id: ChangeId,
        /// Offset of the change in the log.
        offset: Offset,
        /// Receives the verdict, possibly later.
        reply: ReplySender<PastVerdict>,
    },
    /// Returns the state of the log store.
    LogStoreState {
        /// Receives the state.
        reply: ReplySender<LogStoreState>,
    },
    /// Reports the result of a check of the stream `introducers`.
    IntroducersChecked(CheckResult),
    /// Triggers periodic work.
    Tick,
}

/// Runs the catalog service.
///
/// `peer_addr` is the address at which other daemons reach this one.
pub(crate) async fn run_catalog(
    mut context: Context<CatalogMessage>,
    store: Arc<dyn LogStore>,
    peer_addr: SocketAddr,
) -> ServiceResult {
    let own = context.registry.mailbox(CATALOG)?;
    context
        .subscribe_to_ticks(CATALOG, TICK_PERIOD, |_| CatalogMessage::Tick)
        .await?;
    let mailboxes = Mailboxes {
        own,
        guard: context.registry.mailbox(GUARD)?,
        router: context.registry.mailbox(ROUTER)?,
        membership: context.registry.mailbox(MEMBERSHIP)?,
        budget: context.registry.mailbox(BUDGET)?,
        timeline: context.registry.mailbox(TIMELINE)?,
    };
    let mut state = CatalogState::new(mailboxes, store, peer_addr, context.clock.now());
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => break,
            message = context.inbox.recv() => message,
        };
        match message {
            Some(message) => state.handle_message(message, context.clock.now()),
            None => break,
        }
    }
    state.stop_log_reader();
    Ok(())
}
