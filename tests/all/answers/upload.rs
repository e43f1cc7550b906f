//! Large uploads must arrive whole, in bounded memory, or fail with a clear outcome.

use hyper::Request;

use super::{FlotteMesh, HOST, SECOND_UPSTREAM_VM, start_mesh, wait_for_success};
use crate::support::{GeneratedBody, eventually, run_counts, send};

/// Size of a large upload, such as a vehicle registry, in bytes.
const UPLOAD_BYTES: u64 = 64 * 1024 * 1024;

/// Memory limit in bytes for a daemon that streams one upload: 32 MiB for the program, its services
/// and the runtime, and 8 MiB for the upload, which is 4 socket and library buffers of at most 2
/// MiB each. A daemon that buffers the whole upload needs more than its 64 MiB.
const MAX_DAEMON_BYTES: u64 = 40 * 1024 * 1024;

/// Creates an upload whose response has ten bytes.
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

/// Guards against uploads that are truncated, or buffered as a whole by a daemon.
#[tokio::test]
async fn large_upload_arrives_in_bounded_memory() {
    let FlotteMesh {
        entry,
        upstream_daemon,
        upstream: _upstream,
        mesh: _mesh,
        upstream_addr: _upstream_addr,
    } = start_mesh("upload-large").await;
    for (id, body) in [
        ("sized", GeneratedBody::sized(UPLOAD_BYTES)),
        ("chunked", GeneratedBody::chunked(UPLOAD_BYTES)),
    ] {
        let response = send(entry.callers, upload(id, body))
            .await
            .expect("daemon responds");
        assert_eq!(response.status, 200, "{id}: {response:?}");
    }
    for daemon in [&entry, &upstream_daemon] {
        let peak = daemon.process.peak_memory();
        assert!(peak < MAX_DAEMON_BYTES, "peak of {peak} bytes");
    }
}

/// Guards against an upload that is reported as successful although the upstream died during it.
#[tokio::test]
async fn upload_has_an_unknown_outcome_when_the_upstream_is_killed() {
    let FlotteMesh {
        entry,
        upstream_addr,
        mut upstream,
        mesh: _mesh,
        upstream_daemon: _upstream_daemon,
    } = start_mesh("upload-killed").await;
    // Far more than the upstream reads before it is killed.
    let body = GeneratedBody::sized(64 * UPLOAD_BYTES);
    let running = tokio::spawn(send(entry.callers, upload("registry", body)));
    eventually("upload reaches the upstream", || async {
        let runs = run_counts(upstream_addr).await;
        runs.contains_key("registry")
            .then_some(())
            .ok_or("not yet".to_owned())
    })
    .await;
    upstream.kill();
    // The entry daemon may close the connection before the caller has read the error response.
    if let Ok(response) = running.await.unwrap() {
        assert_eq!(response.outcome(), Some("unknown"), "{response:?}");
    }
}

/// Guards against an upload that fails because the daemon of a draining upstream refuses it after
/// having read a part of the body, which then cannot be sent to another upstream.
#[tokio::test]
async fn refused_upload_goes_to_another_upstream() {
    let FlotteMesh {
        mesh,
        entry,
        upstream: _upstream,
        upstream_addr,
        upstream_daemon,
    } = start_mesh("upload-refused").await;
    let second = mesh.start_daemon(SECOND_UPSTREAM_VM, &[entry.peers]);
    let (_second_upstream, second_addr) = second.start_upstream("flotte", 10);
    eventually("second upstream gets requests", || async {
        wait_for_success(&entry).await;
        let seen = run_counts(second_addr).await.contains_key("warm-up");
        seen.then_some(()).ok_or("not yet".to_owned())
    })
    .await;
    // Until the entry daemon learns that the upstream drains, the upstream's daemon refuses
    // requests.
    let path = "/v1/upstreams/flotte/drain";
    let drain = crate::support::request("POST", "daemon", path, &[], "");
    let drained = send(upstream_daemon.upstream, drain)
        .await
        .expect("daemon responds");
    assert!(drained.status.is_success(), "{drained:?}");
    for number in 0..6 {
        let id = format!("upload-{number}");
        let body = match number % 2 {
            0 => GeneratedBody::sized(1024 * 1024),
            _ => GeneratedBody::chunked(1024 * 1024),
        };
        let response = send(entry.callers, upload(&id, body))
            .await
            .expect("daemon responds");
        assert_eq!(response.status, 200, "{id}: {response:?}");
        assert_eq!(run_counts(second_addr).await.get(&id), Some(&1));
        assert_eq!(run_counts(upstream_addr).await.get(&id), None);
    }
}
