//! Large uploads.

use hyper::Request;

use super::{HOST, Path, SECOND, answers, path};
use crate::support::{GeneratedBody, eventually, run_counts, send};

/// Size of a vehicle registry.
const UPLOAD_BYTES: u64 = 64 * 1024 * 1024;

/// Most memory of a daemon that streams one upload: 32 MiB for the program, its services and the
/// runtime, and 8 MiB for one upload, which is 4 socket and library buffers of at most 2 MiB.
/// Buffering the upload would need more than its 64 MiB.
const MAX_DAEMON_BYTES: u64 = 40 * 1024 * 1024;

fn upload(id: &str, body: GeneratedBody) -> Request<GeneratedBody> {
    Request::builder()
        .method("POST")
        .uri("/vehicles")
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-echo-bytes", "10")
        .body(body)
        .expect("request is well-formed")
}

/// Guards against uploads that are cut, or collected in memory by a daemon.
#[tokio::test]
async fn large_upload_arrives_in_bounded_memory() {
    let Path {
        entry,
        upstream_daemon,
        upstream: _upstream,
        mesh: _mesh,
        standin: _standin,
    } = path("upload-large").await;
    for (id, body) in [
        ("sized", GeneratedBody::sized(UPLOAD_BYTES)),
        ("chunked", GeneratedBody::chunked(UPLOAD_BYTES)),
    ] {
        let response = send(entry.callers, upload(id, body))
            .await
            .expect("entry answers");
        assert_eq!(response.status, 200, "{id}: {response:?}");
    }
    for daemon in [&entry, &upstream_daemon] {
        let peak = daemon.process.peak_memory();
        assert!(peak < MAX_DAEMON_BYTES, "peak of {peak} bytes");
    }
}

/// Guards against an upload that ends cleanly although the upstream died in the middle of it.
#[tokio::test]
async fn upload_fails_clearly_when_the_upstream_is_killed() {
    let Path {
        entry,
        standin,
        mut upstream,
        mesh: _mesh,
        upstream_daemon: _beside,
    } = path("upload-killed").await;
    // Far more than the other side reads before it is killed.
    let body = GeneratedBody::sized(64 * UPLOAD_BYTES);
    let running = tokio::spawn(send(entry.callers, upload("registry", body)));
    eventually("the upload runs", || async {
        let runs = run_counts(standin).await;
        runs.contains_key("registry")
            .then_some(())
            .ok_or("not yet".to_owned())
    })
    .await;
    upstream.kill();
    // The entry may close the connection before the caller has read the refusal.
    if let Ok(response) = running.await.unwrap() {
        assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    }
}

/// Guards against an upload that is lost because a draining upstream refused it: its body must
/// not have been read, so that another upstream gets it.
#[tokio::test]
async fn refused_upload_goes_to_another_upstream() {
    let Path {
        mesh,
        entry,
        upstream: _upstream,
        standin,
        upstream_daemon,
    } = path("upload-refused").await;
    let second = mesh.start_daemon(SECOND, &[entry.peers]);
    let (_second_upstream, second_standin) = second.start_upstream("flotte", 10);
    eventually("both upstreams", || async {
        answers(&entry).await;
        let seen = run_counts(second_standin).await.contains_key("warm-up");
        seen.then_some(()).ok_or("not yet".to_owned())
    })
    .await;
    // The daemon refuses for a while before the entry learns that the upstream drains.
    let path = "/v1/upstreams/flotte/drain";
    let drain = crate::support::request("POST", "daemon", path, &[], "");
    let drained = send(upstream_daemon.upstream, drain)
        .await
        .expect("daemon answers");
    assert!(drained.status.is_success(), "{drained:?}");
    for number in 0..6 {
        let id = format!("upload-{number}");
        let body = match number % 2 {
            0 => GeneratedBody::sized(1024 * 1024),
            _ => GeneratedBody::chunked(1024 * 1024),
        };
        let response = send(entry.callers, upload(&id, body))
            .await
            .expect("entry answers");
        assert_eq!(response.status, 200, "{id}: {response:?}");
        assert_eq!(run_counts(second_standin).await.get(&id), Some(&1));
        assert_eq!(run_counts(standin).await.get(&id), None);
    }
}
