//! Attempts at another daemon whose sign of life comes late.

use std::time::Duration;

use cornelvalve_http1::SocketTimeouts;
use cornelvalve_kernel::CompletionSender;
use cornelvalve_model::VmName;
use cornelvalve_policy::TargetOutcome;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::exchange;
use crate::hop::{self, FrameConnection, HopCall, HopOutcome, HopReply};
use crate::messages::{PlaceReport, Placed};
use crate::ports::Cause;

const TIMEOUTS: SocketTimeouts = SocketTimeouts {
    connect: Duration::from_secs(30),
    unacknowledged: Duration::from_secs(30),
    keepalive: Duration::from_secs(30),
};

/// Time within which the sign of life is expected, and the time after which it comes.
const EXPECTED: Duration = Duration::from_millis(10);
const LATE: Duration = Duration::from_millis(200);

/// Exchanges with a daemon whose sign of life comes late.
async fn exchange_late(mut placed: Placed) -> hop::Result<super::Offered> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("listener binds");
    let addr = listener.local_addr().expect("listener has an address");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("caller connects");
        let mut connection = FrameConnection::new(stream);
        let _call: HopCall = connection.receive().await.expect("call arrives");
        sleep(LATE).await;
        let done = HopReply::Done {
            outcome: HopOutcome::Unknown {
                cause: Cause::SpoiledAnswer,
            },
            load: None,
        };
        for reply in [HopReply::Taken, done] {
            let frame = hop::encode(&reply).expect("reply is encoded");
            // A caller that has given up has closed the connection.
            let _ = connection.send(&frame).await;
        }
    });
    let mut connection = FrameConnection::open(addr, TIMEOUTS)
        .await
        .expect("connection opens");
    let frame = hop::encode(&HopCall::Control).expect("call is encoded");
    exchange(&mut connection, &frame, &mut placed).await
}

fn placed() -> (Placed, mpsc::UnboundedReceiver<PlaceReport>) {
    let (sender, reports) = mpsc::unbounded_channel();
    let vm = VmName::new("vm-1").expect("name is valid");
    let placed = Placed {
        vm: vm.clone(),
        addr: None,
        taken_within: EXPECTED,
        expected_elsewhere: None,
        round_trip: Duration::ZERO,
        expected: Duration::ZERO,
        usual: Duration::ZERO,
        sign: watch::Sender::new(false),
        report: CompletionSender::new(
            sender,
            PlaceReport::without_load(vm, TargetOutcome::Inconclusive),
        ),
    };
    (placed, reports)
}

// Guards against a request that is given up while a full link still carries it: the grown caaq
// scale-1 saw 502 for an upload after 473 ms, and for a read after 256 ms that its target ran.
#[tokio::test]
async fn a_late_sign_of_life_is_waited_for() {
    let (placed, _reports) = placed();
    let offered = exchange_late(placed).await.expect("outcome arrives");
    assert!(matches!(offered.outcome, HopOutcome::Unknown { .. }));
}

// Guards against a VM without power that goes on being chosen.
#[tokio::test]
async fn a_place_without_a_sign_of_life_in_time_counts_as_silent() {
    let (placed, mut reports) = placed();
    let signed = placed.sign.subscribe();
    let given_up = tokio::time::timeout(LATE / 2, exchange_late(placed)).await;
    assert!(given_up.is_err(), "the sign comes later");
    assert!(!*signed.borrow());
    let report = reports.recv().await.expect("the end is reported");
    assert_eq!(report.end, TargetOutcome::Unresponsive);
}
