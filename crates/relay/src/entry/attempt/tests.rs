//! Tests of attempts at another daemon that acknowledges the request late.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{PerMessageLimit, SocketTimeouts};
use cornelvalve_kernel::CompletionSender;
use cornelvalve_model::VmName;
use cornelvalve_policy::TargetOutcome;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::exchange;
use crate::hop::{self, FrameConnection, HopCall, HopOutcome, HopReply};
use crate::messages::{AttemptReport, SelectedUpstream};
use crate::ports::Cause;

const TIMEOUTS: SocketTimeouts = SocketTimeouts {
    connect: Duration::from_secs(30),
    unacknowledged: Duration::from_secs(30),
    keepalive: Duration::from_secs(30),
};

/// Time within which the acknowledgement is expected.
const ACK_TIMEOUT: Duration = Duration::from_millis(10);

/// Time after which the other daemon acknowledges the request.
const ACK_DELAY: Duration = Duration::from_millis(200);

/// Runs an exchange with a fake daemon that acknowledges the call after [`ACK_DELAY`] and then
/// reports the outcome `Unknown`. The fake daemon ignores the content of the call, so any call
/// serves.
async fn exchange_with_late_daemon(
    mut selected: SelectedUpstream,
) -> hop::Result<super::AttemptReply> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("listener binds");
    let addr = listener.local_addr().expect("listener has an address");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("caller connects");
        let mut connection = FrameConnection::new(stream, Arc::new(PerMessageLimit::NONE));
        let _call: HopCall = connection.receive().await.expect("call arrives");
        sleep(ACK_DELAY).await;
        let done = HopReply::Done {
            outcome: HopOutcome::Unknown {
                cause: Cause::SpoiledAnswer,
            },
            load: None,
        };
        for reply in [HopReply::Received, done] {
            let frame = hop::encode(reply).expect("reply is encoded");
            // Fails if the attempt was dropped, which closes the connection.
            let _ = connection.send(&frame).await;
        }
    });
    let mut connection = FrameConnection::open(addr, TIMEOUTS, Arc::new(PerMessageLimit::NONE))
        .await
        .expect("connection opens");
    let frame = hop::encode(HopCall::Control).expect("call is encoded");
    exchange(&mut connection, &frame, &mut selected).await
}

fn selected_upstream() -> (SelectedUpstream, mpsc::UnboundedReceiver<AttemptReport>) {
    let (sender, reports) = mpsc::unbounded_channel();
    let vm = VmName::new("vm-1").expect("name is valid");
    let selected = SelectedUpstream {
        vm: vm.clone(),
        // Not used by `exchange`, which gets a connection.
        addr: None,
        ack_timeout: ACK_TIMEOUT,
        expected_elsewhere: None,
        round_trip: Duration::ZERO,
        expected: Duration::ZERO,
        baseline: Duration::ZERO,
        acknowledged: watch::Sender::new(false),
        report: CompletionSender::new(
            sender,
            AttemptReport::without_load(vm, TargetOutcome::Inconclusive),
        ),
    };
    (selected, reports)
}

// Guards against giving up a request that is still in transit on a saturated link. When a late
// acknowledgement ended the attempt, callers got 502 for an upload after 473 ms, and for a read
// that the other daemon had run after 256 ms.
#[tokio::test]
async fn late_acknowledgement_is_waited_for() {
    let (selected, _reports) = selected_upstream();
    let result = exchange_with_late_daemon(selected)
        .await
        .expect("outcome arrives");
    // The outcome that the fake daemon sends, so the exchange was completed.
    assert!(matches!(result.outcome, HopOutcome::Unknown { .. }));
}

// Guards against a VM that has lost power but continues to be selected: no acknowledgement arrives,
// and the attempt is dropped at its deadline, which must report the VM as unresponsive.
#[tokio::test]
async fn attempt_dropped_before_acknowledgement_reports_unresponsive_vm() {
    let (selected, mut reports) = selected_upstream();
    let acknowledged = selected.acknowledged.subscribe();
    let dropped = tokio::time::timeout(ACK_DELAY / 2, exchange_with_late_daemon(selected)).await;
    assert!(
        dropped.is_err(),
        "attempt is dropped before the acknowledgement"
    );
    assert!(!*acknowledged.borrow());
    let report = reports.recv().await.expect("outcome is reported");
    assert_eq!(report.outcome, TargetOutcome::Unresponsive);
}
