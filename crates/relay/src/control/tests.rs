//! Tests of the control service with a store and peers that do not answer.

use std::future::pending;

use cornelvalve_http1::BoxFuture;
use cornelvalve_kernel::{Kernel, ServiceOptions, SystemClock};
use smallvec::smallvec;
use tokio::sync::mpsc;

use tokio::time::timeout;

use super::*;
use crate::desired::Version;
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

    fn changes(&self, _: u64, _: Duration, _: usize) -> BoxFuture<'_, StoreResult<ControlChanges>> {
        Box::pin(pending())
    }

    fn announce<'a>(&'a self, _: &'a PeerRecord) -> BoxFuture<'a, StoreResult<()>> {
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
    _kernel: Kernel,
}

impl Fixture {
    fn start() -> Self {
        let (to_router, router) = mpsc::unbounded_channel();
        let (to_notices, notices) = mpsc::unbounded_channel();
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
            .add_service(CONTROL, options, |c| {
                run_control(c, Arc::new(SilentStore), TIMEOUTS)
            })
            .start();
        Self {
            control: kernel.mailbox(CONTROL).expect("service exists"),
            router,
            notices,
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
                position: version,
                domains_out: smallvec![],
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
        assert_eq!((state.version, view.position), (Version(version), version));
    }
    let passed_on = timeout(RECEIVE_TIMEOUT, fixture.notices.recv()).await;
    let passed_on = passed_on.expect("notice is passed on");
    assert!(matches!(passed_on, Some(NoticesMessage::Control(u)) if u.position == 2));
}

// Guards against a daemon that misses one change and takes the next one for all that it lacks.
#[tokio::test]
async fn a_notice_after_a_missed_change_does_not_move_the_position() {
    let mut fixture = Fixture::start();
    let mut updates = updates(3);
    let last = updates.remove(2);
    let out = ControlUpdate {
        position: 4,
        desired: DesiredUpdate::Unchanged,
        ..last.clone()
    };
    fixture.notify(updates.remove(0)).await;
    fixture.notify(last).await;
    fixture.notify(out).await;
    assert_eq!(fixture.next_view().await.position, 1);
    let view = fixture.control.ask(|reply| ControlMessage::View { reply });
    assert_eq!(view.await.expect("service answers").position, 1);
}

// Guards against an answer that a route does not exist while the daemon knows that it lacks a later
// version.
#[tokio::test]
async fn the_router_is_told_while_a_later_configuration_exists() {
    let mut fixture = Fixture::start();
    let mut updates = updates(3);
    fixture.notify(updates.remove(0)).await;
    assert_eq!(fixture.next_view().await.position, 1);
    // The change before this one was missed.
    fixture.notify(updates.remove(1)).await;
    assert!(fixture.next_behind().await);
    fixture.notify(updates.remove(0)).await;
    assert_eq!(fixture.next_view().await.position, 2);
}
