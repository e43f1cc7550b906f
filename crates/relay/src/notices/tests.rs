//! Tests of notices between daemons over the loopback interface.

use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{Kernel, Mailbox, ServiceOptions, SystemClock};
use cornelvalve_model::{FailureDomain, Fingerprint, LogPosition, Region};
use cornelvalve_policy::{HomeRegions, LoadReport, SharedSuspect};
use smallvec::smallvec;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::{MAX_LOAD_RECIPIENTS, NOTICES_PORT_OFFSET, choose_recipients, run_notices};
use crate::control::KeptDomains;
use crate::desired::changes::DesiredUpdate;
use crate::hop::ControlUpdate;
use crate::messages::{ControlMessage, GuardMessage, NoticesMessage, Recipient, RouterMessage};
use crate::names::{CONTROL, GUARD, NOTICES, ROUTER};
use crate::testing::forward_messages;

/// Longest time to wait for a notice; long, because the computer may be heavily loaded.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Notices service of one daemon, and the messages that it passes on to other services.
struct Fixture {
    /// Address that identifies the daemon; it receives notices on the next port.
    addr: SocketAddr,
    notices: Mailbox<NoticesMessage>,
    router: mpsc::UnboundedReceiver<RouterMessage>,
    guard: mpsc::UnboundedReceiver<GuardMessage>,
    control: mpsc::UnboundedReceiver<ControlMessage>,
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
        let (to_control, control) = mpsc::unbounded_channel();
        let options = ServiceOptions::default();
        let kernel = Kernel::builder(Arc::new(SystemClock::new()))
            .add_service(ROUTER, options, move |context| {
                forward_messages(context, to_router.clone())
            })
            .add_service(GUARD, options, move |context| {
                forward_messages(context, to_guard.clone())
            })
            .add_service(CONTROL, options, move |context| {
                forward_messages(context, to_control.clone())
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
            control,
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

// Guards against daemons of the same region that keep sending requests to an upstream that has
// become slow, and against load notices that are sent to other regions.
#[tokio::test]
async fn load_is_sent_to_daemons_of_the_same_region_only() {
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
    let received = timeout(RECEIVE_TIMEOUT, near.router.recv()).await;
    match received.expect("a notice arrives within the time limit") {
        Some(RouterMessage::PeerLoad {
            addr,
            load: received,
        }) => {
            assert_eq!(addr, sender.addr);
            assert_eq!(received, load);
        }
        other => panic!("unexpected {other:?}"),
    }
    assert!(
        far.router.try_recv().is_err(),
        "the load was sent to another region"
    );
}

// Guards against information about a request being sent to regions outside its home regions.
#[tokio::test]
async fn suspects_are_not_sent_outside_their_home_regions() {
    let sender = Fixture::start("east");
    let mut far = Fixture::start("west");
    sender
        .send(NoticesMessage::Recipients(vec![recipient(&far, "west")]))
        .await;
    let home = HomeRegions::Only(smallvec![region("east")]);
    let suspects = vec![suspect(1, home), suspect(2, HomeRegions::Any)];
    sender.send(NoticesMessage::CrashSuspects(suspects)).await;
    let received = timeout(RECEIVE_TIMEOUT, far.guard.recv()).await;
    match received.expect("a notice arrives within the time limit") {
        Some(GuardMessage::CrashSuspects(received)) => {
            let received: Vec<u64> = received.iter().map(|s| s.fingerprint.0).collect();
            assert_eq!(received, [2]);
        }
        other => panic!("unexpected {other:?}"),
    }
}

// Guards against a daemon that informs a whole region whenever its upstream becomes slow, and
// against daemons that no other daemon informs. The region has ten times as many VMs as a daemon
// informs.
#[test]
fn the_number_of_load_recipients_is_bounded() {
    const DAEMONS: u16 = 640;
    let recipients: Vec<Recipient> = (0..DAEMONS)
        .map(|port| Recipient {
            addr: SocketAddr::from(([10, 0, 0, 1], port)),
            region: region("east"),
        })
        .collect();
    let mut received = vec![0; usize::from(DAEMONS)];
    for seed in 0..u64::from(DAEMONS) {
        let chosen = choose_recipients(seed, &region("east"), &recipients, MAX_LOAD_RECIPIENTS);
        assert_eq!(chosen.len(), MAX_LOAD_RECIPIENTS);
        for addr in chosen {
            received[usize::from(addr.port())] += 1;
        }
    }
    // Each daemon is chosen by 64 others on average; a quarter leaves room for the variance.
    assert!(
        received
            .iter()
            .all(|count| *count > MAX_LOAD_RECIPIENTS / 4)
    );
    assert!(choose_recipients(1, &region("west"), &recipients, MAX_LOAD_RECIPIENTS).is_empty());
}

fn change(position: u64, domains: usize) -> Box<ControlUpdate> {
    let names = (0..domains).map(|i| FailureDomain::new(&format!("domain-{i}")).unwrap());
    Box::new(ControlUpdate {
        position: LogPosition::new(1, position),
        domains_out: names.collect(),
        kept: KeptDomains::default(),
        state: None,
        desired: DesiredUpdate::Unchanged,
    })
}

// Guards against a change that a daemon gets only over a new connection, against a datagram that is
// too large to be received, and against a change from a process that is not a member.
#[tokio::test]
async fn small_changes_of_the_configuration_are_sent_in_a_notice() {
    let (mut sender, mut receiver) = (Fixture::start("east"), Fixture::start("east"));
    let stranger = Fixture::start("east");
    let members = vec![recipient(&sender, "east")];
    receiver.send(NoticesMessage::Recipients(members)).await;
    // Its arrival shows that the receiver knows its members.
    receiver
        .send(NoticesMessage::Load(LoadReport::default()))
        .await;
    let load = timeout(RECEIVE_TIMEOUT, sender.router.recv()).await;
    assert!(load.expect("notice arrives").is_some());
    for fixture in [&stranger, &sender] {
        let recipients = vec![recipient(&receiver, "east")];
        fixture.send(NoticesMessage::Recipients(recipients)).await;
    }
    stranger.send(NoticesMessage::Control(change(9, 1))).await;
    sender.send(NoticesMessage::Control(change(7, 500))).await;
    sender.send(NoticesMessage::Control(change(8, 1))).await;
    let received = timeout(RECEIVE_TIMEOUT, receiver.control.recv()).await;
    let Some(ControlMessage::Notice { addr, update }) = received.expect("notice arrives") else {
        panic!("another message");
    };
    assert_eq!(
        (addr, update.position),
        (sender.addr, LogPosition::new(1, 8))
    );
}
