//! Uploads whose callers are slow.

use std::time::Duration;

use crate::support::{DaemonProcess, Rig, Upload, eventually, request, send};

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
async fn warm_up(rig: &Rig) {
    eventually("warm limit", || async {
        let calls = (0..8).map(|_| {
            let work = [("x-work-ms", "5")];
            send(rig.entry.callers, request("GET", HOST, "/", &work, ""))
        });
        let calls: Vec<_> = calls.map(tokio::spawn).collect();
        for call in calls {
            call.await.expect("call ends")?;
        }
        let limit = limit(&rig.beside);
        (limit >= WARM_LIMIT)
            .then_some(())
            .ok_or(format!("limit is {limit}"))
    })
    .await;
}

/// Guards against slow callers that make a quick upstream look overloaded.
#[tokio::test]
async fn slow_uploads_do_not_lower_the_limit() {
    let rig = Rig::start("uploads").await;
    warm_up(&rig).await;
    for n in 0..UPLOADS {
        let upload = Upload::start(rig.entry.callers, HOST);
        upload.feed().await;
        tokio::time::sleep(PAUSE).await;
        upload.feed().await;
        let answer = upload.finish().await.expect("upload is answered");
        assert!(answer.status.is_success(), "upload {n}: {answer:?}");
    }
    let limit = limit(&rig.beside);
    assert!(limit >= WARM_LIMIT, "limit fell to {limit}");
}
