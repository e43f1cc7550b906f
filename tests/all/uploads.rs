//! Uploads whose callers are slow.

use std::time::Duration;

use crate::support::{DaemonPair, DaemonProcess, Upload, eventually, request, send};

const HOST: &str = "estimateur.test";

/// Limit that quick requests must have earned before the uploads begin.
const WARM_LIMIT: u64 = 6;

/// Slow uploads; more than enough to move an average of latencies.
const UPLOADS: usize = 12;

/// Pause within each upload, long against the work of a quick request.
const PAUSE: Duration = Duration::from_millis(100);

fn limit(daemon: &DaemonProcess) -> u64 {
    daemon.ctl_json(&["status"])["upstreams"][0]["limit"]
        .as_u64()
        .expect("status has a limit")
}

/// Sends requests at once until the upstream's limit has grown.
async fn warm_up(pair: &DaemonPair) {
    eventually("warm limit", || async {
        let calls = (0..8).map(|_| {
            let work = [("x-work-ms", "5")];
            send(pair.entry.callers, request("GET", HOST, "/", &work, ""))
        });
        let calls: Vec<_> = calls.map(tokio::spawn).collect();
        for call in calls {
            call.await.expect("call ends")?;
        }
        let limit = limit(&pair.upstream_daemon);
        (limit >= WARM_LIMIT)
            .then_some(())
            .ok_or(format!("limit is {limit}"))
    })
    .await;
}

/// Guards against slow callers that make a quick upstream look overloaded.
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
    let limit = limit(&pair.upstream_daemon);
    assert!(limit >= WARM_LIMIT, "limit fell to {limit}");
}
