//! Tests uploads whose callers send the body slowly.

use std::time::Duration;

use crate::support::{DaemonPair, DaemonProcess, Upload, eventually, request, send};

const HOST: &str = "estimateur.test";

/// Admission limit that quick requests must reach before the uploads begin; three times the limit
/// of a new upstream.
const WARMED_UP_LIMIT: u64 = 6;

/// Number of slow uploads; enough to raise the average latency clearly if the time of the uploads
/// counted as latency.
const UPLOADS: usize = 12;

/// Pause within each upload; much longer than a quick request takes.
const PAUSE: Duration = Duration::from_millis(100);

/// Returns the admission limit of the first upstream that a daemon reports.
fn admission_limit(daemon: &DaemonProcess) -> u64 {
    daemon.ctl_json(&["status"])["upstreams"][0]["limit"]
        .as_u64()
        .expect("status has a limit")
}

/// Sends concurrent requests until the admission limit of the upstream has reached
/// [`WARMED_UP_LIMIT`].
async fn warm_up(pair: &DaemonPair) {
    eventually("admission limit reached", || async {
        let calls = (0..8).map(|_| {
            let work = [("x-work-ms", "5")];
            send(pair.entry.callers, request("GET", HOST, "/", &work, ""))
        });
        let calls: Vec<_> = calls.map(tokio::spawn).collect();
        for call in calls {
            call.await.expect("call ends")?;
        }
        let limit = admission_limit(&pair.upstream_daemon);
        (limit >= WARMED_UP_LIMIT)
            .then_some(())
            .ok_or(format!("limit is {limit}"))
    })
    .await;
}

/// Guards against slow callers that make the daemon treat a fast upstream as overloaded.
#[tokio::test]
async fn slow_uploads_do_not_lower_the_limit() {
    let pair = DaemonPair::start("uploads").await;
    warm_up(&pair).await;
    for n in 0..UPLOADS {
        let upload = Upload::start(pair.entry.callers, HOST);
        upload.send_chunk().await;
        tokio::time::sleep(PAUSE).await;
        upload.send_chunk().await;
        let response = upload.finish().await.expect("upload is answered");
        assert!(response.status.is_success(), "upload {n}: {response:?}");
    }
    let limit = admission_limit(&pair.upstream_daemon);
    assert!(limit >= WARMED_UP_LIMIT, "limit fell to {limit}");
}
