//! Tests how a daemon announces itself in the store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use cornelvalve_http1::BoxFuture;
use cornelvalve_kernel::{Kernel, ServiceOptions, SystemClock};
use cornelvalve_model::{LogPosition, VmName};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::*;
use crate::desired::ControlView;
use crate::names::DISCOVERY;
use crate::ports::{ControlChanges, StoreError, StoreResult};
use crate::testing::forward_messages;

/// Longest time to wait for an announcement; long, because the computer may be heavily loaded.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two changes of the members; shorter than any announcement takes.
const CHURN_INTERVAL: Duration = Duration::from_millis(50);

/// Store that confirms announcements in its present era and reports each of them.
struct FakeStore {
    era: AtomicU64,
    announced: mpsc::UnboundedSender<StoreEra>,
}

impl ControlStore for FakeStore {
    fn view(&self, _: usize) -> BoxFuture<'_, StoreResult<ControlView>> {
        Box::pin(async { Err(StoreError::Refused(503)) })
    }

    fn changes(
        &self,
        _: LogPosition,
        _: Duration,
        _: usize,
    ) -> BoxFuture<'_, StoreResult<ControlChanges>> {
        Box::pin(async { Err(StoreError::Refused(503)) })
    }

    fn announce<'a>(&'a self, _: &'a PeerRecord) -> BoxFuture<'a, StoreResult<StoreEra>> {
        let era = StoreEra(self.era.load(Ordering::SeqCst));
        let sender = self.announced.clone();
        Box::pin(async move {
            // Fails only if the test has ended.
            let _ = sender.send(era);
            Ok(era)
        })
    }

    fn peers(&self) -> BoxFuture<'_, StoreResult<Vec<PeerRecord>>> {
        Box::pin(async { Ok(Vec::new()) })
    }
}

// Guards against a daemon that nobody finds, because the store was restored from a copy that is
// older than the record of the daemon; and against a record that is written although the store has
// it.
#[tokio::test]
async fn a_daemon_announces_itself_again_in_a_new_era() {
    let (sender, mut announced) = mpsc::unbounded_channel();
    let store = Arc::new(FakeStore {
        era: AtomicU64::new(1),
        announced: sender,
    });
    let own = PeerRecord {
        vm: VmName::new("vm-1").expect("name is valid"),
        addr: SocketAddr::from(([10, 0, 0, 1], 7140)),
    };
    let (unused, _) = mpsc::unbounded_channel();
    let options = ServiceOptions::default();
    let service_store: Arc<dyn ControlStore> = Arc::clone(&store) as _;
    let kernel = Kernel::builder(Arc::new(SystemClock::new()))
        .add_service(MEMBERS, options, move |c| {
            forward_messages(c, unused.clone())
        })
        .add_service(DISCOVERY, options, move |c| {
            run_discovery(c, Arc::clone(&service_store), own.clone(), true, 1)
        })
        .start();
    let mailbox = kernel.mailbox(DISCOVERY).expect("service exists");
    let mut next = async || {
        let era = timeout(RECEIVE_TIMEOUT, announced.recv()).await;
        era.expect("announced").expect("service runs")
    };
    assert_eq!(next().await, StoreEra(1));
    let peers = DiscoveryMessage::Peers(3);
    mailbox.send(peers).await.expect("service runs");
    // The store confirmed the record in this era.
    let known = DiscoveryMessage::StoreEra(StoreEra(1));
    mailbox.send(known).await.expect("service runs");
    store.era.store(2, Ordering::SeqCst);
    let restored = DiscoveryMessage::StoreEra(StoreEra(2));
    mailbox.send(restored).await.expect("service runs");
    // Changes of the members must not put the announcement off.
    let churn = async {
        for count in 3.. {
            let peers = DiscoveryMessage::Peers(count);
            mailbox.send(peers).await.expect("service runs");
            sleep(CHURN_INTERVAL).await;
        }
    };
    tokio::select! {
        era = next() => assert_eq!(era, StoreEra(2)),
        () = churn => {}
    }
    assert!(announced.try_recv().is_err(), "announced once in an era");
}

// Guards against more writes than the store accepts, when all daemons announce themselves again.
#[test]
fn announcements_after_a_restore_are_spread_over_time() {
    assert_eq!(announce_time(13), Duration::from_secs(1));
    assert_eq!(announce_time(90), Duration::from_secs(1));
    assert_eq!(announce_time(15_000), Duration::from_secs(150));
    let longest = announce_time(15_000);
    let delays = (0..15_000).map(|seed| spread(seed, 2, longest).as_secs());
    let mut per_second = vec![0; 151];
    for second in delays {
        per_second[usize::try_from(second).expect("small")] += 1;
    }
    let busiest = per_second.iter().max().copied().unwrap_or_default();
    assert!(busiest <= 200, "{busiest} announcements in a second");
}
