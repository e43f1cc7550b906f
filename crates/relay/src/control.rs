//! Control service: follows what operators decide and publishes it.
//!
//! The version in force never falls. The store is read by one long poll; if it rejects this daemon
//! or is away, a peer that has a later version is asked for its view.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::SocketTimeouts;
use cornelvalve_kernel::{Context, Mailbox, Registry, ServiceResult};
use cornelvalve_model::Revision;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::desired::{ControlView, DesiredState};
use crate::hop::{self, FrameConnection, HopCall, HopReply};
use crate::messages::{ControlMessage, GuardMessage, MembersMessage, RouterMessage, StatsMessage};
use crate::names::{CONTROL, GUARD, MEMBERS, ROUTER, STATS};
use crate::ports::{ControlChange, ControlChanges, ControlStore, StoreError};

/// Longest wait of one read for a change.
const POLL_WAIT: Duration = Duration::from_secs(25);

/// First pause after a failed read.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Longest pause after failed reads.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);

/// Pause after a read that brought nothing although it ended at once, so that a store which does not
/// wait is not asked without pause.
const EMPTY_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for the view of a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// What one read of the store brought.
#[derive(Debug)]
pub(crate) enum StoreRead {
    /// Everything that operators have decided.
    View(ControlView),
    /// What changed.
    Changes(ControlChanges),
    /// Nothing.
    Failed(StoreError),
}

/// Runs the control service.
pub(crate) async fn run_control(
    mut context: Context<ControlMessage>,
    store: Arc<dyn ControlStore>,
    timeouts: SocketTimeouts,
) -> ServiceResult {
    let own = context.registry.mailbox(CONTROL)?;
    let mut service = ControlService {
        view: Arc::new(ControlView::default()),
        reachable: true,
        asking: None,
        timeouts,
        router: context.registry.mailbox(ROUTER)?,
        guard: context.registry.mailbox(GUARD)?,
        members: context.registry.mailbox(MEMBERS)?,
        stats: context.registry.mailbox(STATS)?,
        own: own.clone(),
    };
    let reader = tokio::spawn(follow(store, own));
    let reader = AbortOnDrop(reader);
    loop {
        tokio::select! {
            () = context.stop.requested() => break,
            message = context.inbox.recv() => match message {
                Some(message) => service.handle(message).await,
                None => break,
            },
        }
    }
    drop(reader);
    Ok(())
}

/// Asks the control service to publish all it knows again, as after the start of a service.
pub(crate) async fn request_republish(registry: &Registry) -> cornelvalve_kernel::Result<()> {
    let control = registry.mailbox(CONTROL)?;
    control.send(ControlMessage::Republish).await
}

/// Ends a task together with the service that it belongs to.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Reads the store for ever.
async fn follow(store: Arc<dyn ControlStore>, control: Mailbox<ControlMessage>) {
    let mut position = None;
    let mut backoff = MIN_BACKOFF;
    loop {
        let begun = Instant::now();
        let result = match position {
            None => store.view().await.map(StoreRead::View),
            Some(at) => store.changes(at, POLL_WAIT).await.map(StoreRead::Changes),
        };
        let result = result.unwrap_or_else(StoreRead::Failed);
        let mut pause = Duration::ZERO;
        match &result {
            StoreRead::View(view) => position = Some(view.position),
            StoreRead::Changes(changes) => {
                position = Some(changes.position);
                if changes.changes.is_empty() && begun.elapsed() < EMPTY_PAUSE {
                    pause = EMPTY_PAUSE;
                }
            }
            StoreRead::Failed(StoreError::HistoryLost) => {
                position = None;
                pause = EMPTY_PAUSE;
            }
            StoreRead::Failed(_) => pause = backoff,
        }
        backoff = match &result {
            StoreRead::Failed(_) => (backoff * 2).min(MAX_BACKOFF),
            _ => MIN_BACKOFF,
        };
        if control
            .send(ControlMessage::Read(Box::new(result)))
            .await
            .is_err()
        {
            return;
        }
        sleep(pause).await;
    }
}

struct ControlService {
    view: Arc<ControlView>,
    /// Whether the last read of the store succeeded.
    reachable: bool,
    /// Task that asks a peer.
    asking: Option<AbortOnDrop>,
    timeouts: SocketTimeouts,
    router: Mailbox<RouterMessage>,
    guard: Mailbox<GuardMessage>,
    members: Mailbox<MembersMessage>,
    stats: Mailbox<StatsMessage>,
    own: Mailbox<ControlMessage>,
}

impl ControlService {
    async fn handle(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Read(result) => self.read(*result).await,
            ControlMessage::PeerView(view) => {
                self.asking = None;
                self.merge(*view, "peer").await;
            }
            ControlMessage::PeerAhead { addr, version } => self.ask_peer(addr, version),
            ControlMessage::View { reply } => reply.send(Arc::clone(&self.view)),
            ControlMessage::Republish => self.publish().await,
        }
    }

    async fn read(&mut self, result: StoreRead) {
        let failed = matches!(&result, StoreRead::Failed(e) if *e != StoreError::HistoryLost);
        if failed == self.reachable {
            self.reachable = !failed;
            match &result {
                StoreRead::Failed(e) => {
                    log::warn!(event = "store-lost", version = self.version(); "{e}");
                }
                _ => {
                    log::info!(event = "store-regained", version = self.version(); "store answers")
                }
            }
        }
        match result {
            StoreRead::View(view) => self.merge(view, "store").await,
            StoreRead::Changes(changes) => self.apply(changes).await,
            StoreRead::Failed(StoreError::HistoryLost) => {
                log::info!(event = "history-lost"; "store keeps no records at this position; reading everything");
            }
            StoreRead::Failed(_) => {}
        }
    }

    fn version(&self) -> u64 {
        self.view.desired.as_ref().map_or(0, |d| d.version.0)
    }

    /// Takes over whatever of a complete view is newer than what is known.
    async fn merge(&mut self, other: ControlView, source: &str) {
        let mut view = ControlView::clone(&self.view);
        if other.position >= view.position {
            view.domains_out = other.domains_out;
            view.position = other.position;
        }
        take_newer(&mut view, other.desired);
        self.replace(view, source).await;
    }

    async fn apply(&mut self, changes: ControlChanges) {
        let mut view = ControlView::clone(&self.view);
        for change in changes.changes {
            match change {
                ControlChange::Desired(desired) => take_newer(&mut view, Some(*desired)),
                ControlChange::DomainOut(domain) => {
                    if !view.domains_out.contains(&domain) {
                        view.domains_out.push(domain);
                    }
                }
                ControlChange::DomainReturned(domain) => view.domains_out.retain(|d| *d != domain),
                ControlChange::Unreadable(reason) => {
                    log::warn!(event = "record-skipped", reason = reason.as_str(); "record cannot be read; the state before it holds");
                }
            }
        }
        view.position = view.position.max(changes.position);
        self.replace(view, "store").await;
    }

    async fn replace(&mut self, view: ControlView, source: &str) {
        let same = view.desired == self.view.desired && view.domains_out == self.view.domains_out;
        self.view = Arc::new(view);
        if same {
            return;
        }
        let out = self.view.domains_out.len();
        log::info!(event = "control-changed", version = self.version(), position = self.view.position, domains_out = out, source = source; "operators' decisions are in force");
        self.publish().await;
    }

    async fn publish(&self) {
        let view = || Arc::clone(&self.view);
        // The guard comes first: it is the last to decide whether a request runs.
        let sent = [
            self.guard.send(GuardMessage::Control(view())).await,
            self.router.send(RouterMessage::Control(view())).await,
            self.stats.send(StatsMessage::Control(view())).await,
            self.members
                .send(MembersMessage::VersionApplied(Revision(self.version())))
                .await,
        ];
        for error in sent.into_iter().filter_map(Result::err) {
            log::error!(event = "publish-failed"; "{error}; the service asks again when it restarts");
        }
    }

    /// Asks a peer for its view, unless one is being asked already.
    fn ask_peer(&mut self, addr: std::net::SocketAddr, version: crate::desired::Version) {
        let busy = self.asking.as_ref().is_some_and(|a| !a.0.is_finished());
        if version.0 <= self.version() || busy {
            return;
        }
        let (own, timeouts) = (self.own.clone(), self.timeouts);
        let task = tokio::spawn(async move {
            match timeout(PEER_TIMEOUT, fetch_view(addr, timeouts)).await {
                Ok(Ok(view)) => {
                    let sent = own.send(ControlMessage::PeerView(view)).await;
                    if let Err(e) = sent {
                        log::warn!(event = "peer-view-dropped"; "{e}");
                    }
                }
                Ok(Err(e)) => log::info!(event = "peer-view-failed", peer:% = addr; "{e}"),
                Err(_) => log::info!(event = "peer-view-failed", peer:% = addr; "timed out"),
            }
        });
        self.asking = Some(AbortOnDrop(task));
    }
}

fn take_newer(view: &mut ControlView, other: Option<DesiredState>) {
    let known = view.desired.as_ref().map(|d| d.version);
    if let Some(desired) = other
        && known.is_none_or(|k| k < desired.version)
    {
        view.desired = Some(desired);
    }
}

async fn fetch_view(
    addr: std::net::SocketAddr,
    timeouts: SocketTimeouts,
) -> hop::Result<Box<ControlView>> {
    let mut connection = FrameConnection::open(addr, timeouts).await?;
    connection.send(&hop::encode(&HopCall::Control)?).await?;
    match connection.receive().await? {
        HopReply::Control(view) => Ok(view),
        other => Err(hop::HopError::Malformed(format!("unexpected {other:?}"))),
    }
}
