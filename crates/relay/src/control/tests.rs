//! Tests of the control service with a store and peers that do not answer.

use std::future::pending;

use cornelvalve_http1::BoxFuture;
use cornelvalve_kernel::{Kernel, ServiceOptions, SystemClock};
use cornelvalve_model::{FailureDomain, LogPosition, StoreEra};
use smallvec::smallvec;
use tokio::sync::mpsc;

use tokio::time::timeout;

use super::*;
use crate::desired::{DomainsOut, Version};
use crate::ports::{PeerRecord, StoreResult};
use crate::testing::forward_messages;

/// Longest time to wait for a message; long, because the computer may be heavily loaded.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(60);

const TIMEOUTS: SocketTimeouts = SocketTimeouts {
    connect: RECEIVE_TIMEOUT,
    unacknowledged: RECEIVE_TIMEOUT,
    keepalive: RECEIVE_TIMEOUT,
};

/// Store that never answers.
struct SilentStore;

impl ControlStore for SilentStore {
    fn view(&self, _: usize) -> BoxFuture<'_, StoreResult<ControlView>> {
        Box::pin(pending())
    }

    fn changes(
        &self,
        _: LogPosition,
        _: Duration,
        _: usize,
    ) -> BoxFuture<'_, StoreResult<ControlChanges>> {
        Box::pin(pending())
    }

    fn announce<'a>(&'a self, _: &'a PeerRecord) -> BoxFuture<'a, StoreResult<StoreEra>> {
        Box::pin(pending())
    }

    fn peers(&self) -> BoxFuture<'_, StoreResult<Vec<PeerRecord>>> {
        Box::pin(pending())
    }
}

/// Control service, and the messages that it sends to some of the others.
struct Fixture {
    control: Mailbox<ControlMessage>,
    router: mpsc::UnboundedReceiver<RouterMessage>,
    notices: mpsc::UnboundedReceiver<NoticesMessage>,
    discovery: mpsc::UnboundedReceiver<DiscoveryMessage>,
    _kernel: Kernel,
}

impl Fixture {
    fn start() -> Self {
        let (to_router, router) = mpsc::unbounded_channel();
        let (to_notices, notices) = mpsc::unbounded_channel();
        let (to_discovery, discovery) = mpsc::unbounded_channel();
        let (unused, _) = mpsc::unbounded_channel();
        let (unused_members, _) = mpsc::unbounded_channel();
        let (unused_stats, _) = mpsc::unbounded_channel();
        let options = ServiceOptions::default();
        let kernel = Kernel::builder(Arc::new(SystemClock::new()))
            .add_service(GUARD, options, move |c| forward_messages(c, unused.clone()))
            .add_service(MEMBERS, options, move |c| {
                forward_messages(c, unused_members.clone())
            })
            .add_service(STATS, options, move |c| {
                forward_messages(c, unused_stats.clone())
            })
            .add_service(ROUTER, options, move |c| {
                forward_messages(c, to_router.clone())
            })
            .add_service(NOTICES, options, move |c| {
                forward_messages(c, to_notices.clone())
            })
            .add_service(DISCOVERY, options, move |c| {
                forward_messages(c, to_discovery.clone())
            })
            .add_service(CONTROL, options, |c| {
                run_control(c, Arc::new(SilentStore), TIMEOUTS, 1)
            })
            .start();
        Self {
            control: kernel.mailbox(CONTROL).expect("service exists"),
            router,
            notices,
            discovery,
            _kernel: kernel,
        }
    }

    /// Sends a notice of a peer that nobody can connect to.
    async fn notify(&self, update: ControlUpdate) {
        let addr = SocketAddr::from(([127, 0, 0, 1], 9));
        let update = Box::new(update);
        let message = ControlMessage::Notice { addr, update };
        self.control.send(message).await.expect("service runs");
    }

    /// Waits for the next message to the router.
    async fn next_message(&mut self) -> RouterMessage {
        let received = timeout(RECEIVE_TIMEOUT, self.router.recv()).await;
        received.expect("a message is sent").expect("service runs")
    }

    /// Waits for the next configuration in force.
    async fn next_view(&mut self) -> Arc<ControlView> {
        match self.next_message().await {
            RouterMessage::Control(view) => view,
            other => panic!("unexpected {other:?}"),
        }
    }

    /// Waits until the router is told whether a later configuration exists.
    async fn next_behind(&mut self) -> bool {
        match self.next_message().await {
            RouterMessage::Behind(behind) => behind,
            other => panic!("unexpected {other:?}"),
        }
    }
}

fn desired(version: u64) -> Arc<DesiredState> {
    Arc::new(DesiredState {
        version: Version(version),
        ..DesiredState::default()
    })
}

/// Returns the updates of a daemon that applies the versions 1 to `count` at the positions 1 to
/// `count`: the first one complete, the others as changes from the one before.
fn updates(count: u64) -> Vec<ControlUpdate> {
    let mut history = History::default();
    (1..=count)
        .map(|version| {
            let base = history.current_id();
            history.push(&desired(version)).expect("state is encoded");
            ControlUpdate {
                position: LogPosition::new(1, version),
                domains_out: smallvec![],
                kept: KeptDomains::default(),
                state: history.current_id(),
                desired: history.update_from(base),
            }
        })
        .collect()
}

// Guards against a daemon that cannot connect to others, because its link is full, and therefore
// keeps an older version; and against a notice that is not passed on.
#[tokio::test]
async fn a_change_in_a_notice_is_applied_without_a_connection() {
    let mut fixture = Fixture::start();
    for update in updates(2) {
        fixture.notify(update).await;
    }
    for version in 1..=2 {
        let view = fixture.next_view().await;
        let state = view.desired.as_ref().expect("a desired state");
        let position = LogPosition::new(1, version);
        assert_eq!((state.version, view.position), (Version(version), position));
    }
    let passed_on = timeout(RECEIVE_TIMEOUT, fixture.notices.recv()).await;
    let passed_on = passed_on.expect("notice is passed on");
    assert!(matches!(passed_on, Some(NoticesMessage::Control(u)) if u.position.offset.0 == 2));
}

// Guards against a daemon that misses one change and takes the next one for all that it lacks.
#[tokio::test]
async fn a_notice_after_a_missed_change_does_not_move_the_position() {
    let mut fixture = Fixture::start();
    let mut updates = updates(3);
    let last = updates.remove(2);
    let out = ControlUpdate {
        position: LogPosition::new(1, 4),
        desired: DesiredUpdate::Unchanged,
        ..last.clone()
    };
    fixture.notify(updates.remove(0)).await;
    fixture.notify(last).await;
    fixture.notify(out).await;
    assert_eq!(fixture.next_view().await.position, LogPosition::new(1, 1));
    let view = fixture.control.ask(|reply| ControlMessage::View { reply });
    assert_eq!(
        view.await.expect("service answers").position,
        LogPosition::new(1, 1)
    );
}

// Guards against an answer that a route does not exist while the daemon knows that it lacks a later
// version.
#[tokio::test]
async fn the_router_is_told_while_a_later_configuration_exists() {
    let mut fixture = Fixture::start();
    let mut updates = updates(3);
    fixture.notify(updates.remove(0)).await;
    assert_eq!(fixture.next_view().await.position, LogPosition::new(1, 1));
    // The change before this one was missed.
    fixture.notify(updates.remove(1)).await;
    assert!(fixture.next_behind().await);
    fixture.notify(updates.remove(0)).await;
    assert_eq!(fixture.next_view().await.position, LogPosition::new(1, 2));
}

/// Returns an update of a daemon with this position and version, and without the routes of either.
fn update_at(position: LogPosition, version: u64, out: DomainsOut) -> ControlUpdate {
    let mut history = History::default();
    history.push(&desired(version)).expect("state is encoded");
    ControlUpdate {
        position,
        domains_out: out,
        kept: KeptDomains::default(),
        state: history.current_id(),
        desired: history.update_from(None),
    }
}

// Guards against a daemon that takes what a peer read from a restored store for older than what it
// has itself, and against a record of this daemon that the restored store lacks.
#[tokio::test]
async fn an_update_of_a_new_era_is_applied_and_keeps_the_later_version() {
    let domain = FailureDomain::new("east-b").expect("name is valid");
    let mut fixture = Fixture::start();
    let before = update_at(LogPosition::new(1, 9), 7, smallvec![]);
    fixture.notify(before).await;
    assert_eq!(fixture.next_view().await.position, LogPosition::new(1, 9));
    let restored = update_at(LogPosition::new(2, 3), 5, smallvec![domain.clone()]);
    fixture.notify(restored).await;
    let view = fixture.next_view().await;
    assert_eq!(view.position, LogPosition::new(2, 3));
    assert_eq!(view.domains_out.as_slice(), [domain]);
    assert_eq!(view.desired.as_ref().expect("a state").version, Version(7));
    let mut eras = Vec::new();
    while eras.len() < 2 {
        let message = timeout(RECEIVE_TIMEOUT, fixture.discovery.recv()).await;
        match message.expect("discovery is told").expect("service runs") {
            DiscoveryMessage::StoreEra(era) => eras.push(era),
            other => panic!("unexpected {other:?}"),
        }
    }
    assert_eq!(eras, [StoreEra(1), StoreEra(2)]);
}

// Guards against a daemon that was cut off during the restore and brings the old positions back.
#[tokio::test]
async fn an_update_of_an_earlier_era_changes_no_failure_domain() {
    let domain = FailureDomain::new("east-b").expect("name is valid");
    let mut fixture = Fixture::start();
    let restored = update_at(LogPosition::new(2, 3), 5, smallvec![domain.clone()]);
    fixture.notify(restored).await;
    fixture.next_view().await;
    let stale = update_at(LogPosition::new(1, 9), 6, smallvec![]);
    fixture.notify(stale).await;
    let view = fixture.next_view().await;
    assert_eq!(view.desired.as_ref().expect("a state").version, Version(6));
    assert_eq!(view.position, LogPosition::new(2, 3));
    assert_eq!(view.domains_out.as_slice(), [domain]);
}
