//! Notices between two daemons on loopback.

use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{Kernel, Mailbox, ServiceOptions, SystemClock};
use cornelvalve_model::{Fingerprint, Region};
use cornelvalve_policy::{HomeRegions, LoadReport, SharedSuspect};
use smallvec::smallvec;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::{MAX_LOAD_RECIPIENTS, NOTICES_PORT_OFFSET, run_notices, told_of_load};
use crate::messages::{GuardMessage, NoticesMessage, Recipient, RouterMessage};
use crate::names::{GUARD, NOTICES, ROUTER};
use crate::testing::pass_on;

/// Longest wait for a notice; a busy machine meets it.
const PATIENCE: Duration = Duration::from_secs(60);

/// Notices service of one daemon with what it passes on.
struct Fixture {
    /// Address that names the daemon; its notices arrive at the next port.
    addr: SocketAddr,
    notices: Mailbox<NoticesMessage>,
    router: mpsc::UnboundedReceiver<RouterMessage>,
    guard: mpsc::UnboundedReceiver<GuardMessage>,
    _kernel: Kernel,
}

impl Fixture {
    fn start(region: &str) -> Self {
        let region = self::region(region);
        let socket = StdSocket::bind("127.0.0.1:0").expect("socket binds");
        socket.set_nonblocking(true).expect("socket is set up");
        let mut addr = socket.local_addr().expect("socket has an address");
        addr.set_port(addr.port() - NOTICES_PORT_OFFSET);
        let socket = Arc::new(socket);
        let (to_router, router) = mpsc::unbounded_channel();
        let (to_guard, guard) = mpsc::unbounded_channel();
        let options = ServiceOptions::default();
        let kernel = Kernel::builder(Arc::new(SystemClock::new()))
            .add_service(ROUTER, options, move |context| {
                pass_on(context, to_router.clone())
            })
            .add_service(GUARD, options, move |context| {
                pass_on(context, to_guard.clone())
            })
            .add_service(NOTICES, options, move |context| {
                run_notices(context, Arc::clone(&socket), region.clone(), addr.port(), 1)
            })
            .start();
        Self {
            addr,
            notices: kernel.mailbox(NOTICES).expect("service exists"),
            router,
            guard,
            _kernel: kernel,
        }
    }

    async fn send(&self, message: NoticesMessage) {
        self.notices.send(message).await.expect("service runs");
    }
}

fn region(name: &str) -> Region {
    Region::new(name).expect("name is valid")
}

fn recipient(fixture: &Fixture, name: &str) -> Recipient {
    Recipient {
        addr: fixture.addr,
        region: region(name),
    }
}

fn suspect(request: u64, regions: HomeRegions) -> SharedSuspect {
    SharedSuspect {
        fingerprint: Fingerprint(request),
        count: 1,
        age_s: 0,
        regions,
    }
}

// Guards against neighbours that go on sending to an upstream which has turned slow.
#[tokio::test]
async fn the_daemons_of_the_region_hear_of_the_load() {
    let sender = Fixture::start("east");
    let mut near = Fixture::start("east");
    let mut far = Fixture::start("west");
    let recipients = vec![recipient(&near, "east"), recipient(&far, "west")];
    sender.send(NoticesMessage::Recipients(recipients)).await;
    let load = LoadReport {
        slots: 6,
        slowdown: 7.0,
        ..LoadReport::default()
    };
    sender.send(NoticesMessage::Load(load)).await;
    let heard = timeout(PATIENCE, near.router.recv()).await;
    match heard.expect("in time") {
        Some(RouterMessage::PeerLoad { addr, load: heard }) => {
            assert_eq!(addr, sender.addr);
            assert_eq!(heard, load);
        }
        other => panic!("unexpected {other:?}"),
    }
    assert!(far.router.try_recv().is_err(), "the other region is told");
}

// Guards against what a request with home regions leaves behind outside them.
#[tokio::test]
async fn suspects_stay_within_their_home_regions() {
    let sender = Fixture::start("east");
    let mut far = Fixture::start("west");
    sender
        .send(NoticesMessage::Recipients(vec![recipient(&far, "west")]))
        .await;
    let home = HomeRegions::Only(smallvec![region("east")]);
    let suspects = vec![suspect(1, home), suspect(2, HomeRegions::Any)];
    sender.send(NoticesMessage::CrashSuspects(suspects)).await;
    let heard = timeout(PATIENCE, far.guard.recv()).await;
    match heard.expect("in time") {
        Some(GuardMessage::CrashSuspects(heard)) => {
            let heard: Vec<u64> = heard.iter().map(|s| s.fingerprint.0).collect();
            assert_eq!(heard, [2]);
        }
        other => panic!("unexpected {other:?}"),
    }
}

// Load: a region of ten times as many VMs as are told. Guards against a daemon that tells all of
// them whenever its upstream turns slow, and against daemons that nobody tells.
#[test]
fn the_cost_of_telling_the_load_is_bounded() {
    const DAEMONS: u16 = 640;
    let recipients: Vec<Recipient> = (0..DAEMONS)
        .map(|port| Recipient {
            addr: SocketAddr::from(([10, 0, 0, 1], port)),
            region: region("east"),
        })
        .collect();
    let mut told = vec![0; usize::from(DAEMONS)];
    for seed in 0..u64::from(DAEMONS) {
        let chosen = told_of_load(seed, &region("east"), &recipients);
        assert_eq!(chosen.len(), MAX_LOAD_RECIPIENTS);
        for addr in chosen {
            told[usize::from(addr.port())] += 1;
        }
    }
    assert!(told.iter().all(|count| *count > MAX_LOAD_RECIPIENTS / 4));
    assert!(told_of_load(1, &region("west"), &recipients).is_empty());
}
