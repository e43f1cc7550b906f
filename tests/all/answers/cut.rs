//! Callers must be able to detect that an upstream truncated its response.

use super::{FlotteMesh, HOST, SECOND_UPSTREAM_VM, start_mesh};
use crate::support::{Client, FailurePoint, FaultyUpstream, eventually, request, set_faults};

/// Guards against a truncated body that looks complete to the caller.
#[tokio::test]
async fn truncated_body_is_an_error_for_the_caller() {
    let FlotteMesh {
        entry,
        upstream_addr,
        upstream: _upstream,
        mesh: _mesh,
        upstream_daemon: _upstream_daemon,
    } = start_mesh("answers-cut").await;
    set_faults(upstream_addr, r#"{ "cut_body": true }"#).await;
    for bytes in ["100", "60000", "3000000"] {
        for http2 in [false, true] {
            let mut client = match http2 {
                false => Client::http1(entry.callers).await,
                true => Client::http2(entry.callers).await,
            };
            let headers = [("x-echo-bytes", bytes)];
            let post = request("POST", HOST, "/", &headers, "");
            let response = client.send(post).await;
            if let Ok(response) = response {
                let outcome = response.outcome();
                let length = response.body.len();
                let failure = format!(
                    "looks complete: {length} of {bytes} bytes, HTTP/2: {http2}: {response:?}"
                );
                assert_eq!(outcome, Some("unknown"), "{failure}");
            }
        }
    }
    set_faults(upstream_addr, "{}").await;
    super::wait_for_success(&entry).await;
}

/// Guards against a truncated chunked body that looks complete to the caller, who knows no length
/// to check.
#[tokio::test]
async fn truncated_chunks_are_an_error_for_the_caller() {
    let FlotteMesh {
        mesh,
        entry,
        upstream_daemon: _upstream_daemon,
        mut upstream,
        upstream_addr: _upstream_addr,
    } = start_mesh("answers-chunks").await;
    upstream.kill();
    let second = mesh.start_daemon(SECOND_UPSTREAM_VM, &[entry.peers]);
    let faulty = FaultyUpstream::start(&second, "flotte", FailurePoint::InChunks).await;
    for http2 in [false, true] {
        let id = format!("http2-{http2}");
        eventually("truncated response", || async {
            let mut client = match http2 {
                false => Client::http1(entry.callers).await,
                true => Client::http2(entry.callers).await,
            };
            let post = request("POST", HOST, "/", &[("x-request-id", &id)], "");
            match client.send(post).await {
                Ok(response) => {
                    assert!(
                        response.outcome().is_some(),
                        "truncated response looks complete: {response:?}"
                    );
                    Err(format!("{response:?}"))
                }
                Err(_) => Ok(()),
            }
        })
        .await;
        assert_eq!(faulty.run_counts().await.get(&id), Some(&1), "{id}");
    }
}

/// Guards against a part of a response that looks complete to the caller: it has no length, and the
/// upstream resets the connection while the request is still being written.
#[tokio::test]
async fn a_reset_response_without_length_is_an_error_for_the_caller() {
    let FlotteMesh {
        mesh,
        entry,
        upstream_daemon: _upstream_daemon,
        mut upstream,
        upstream_addr: _upstream_addr,
    } = start_mesh("answers-unframed").await;
    upstream.kill();
    let second = mesh.start_daemon(SECOND_UPSTREAM_VM, &[entry.peers]);
    let faulty = FaultyUpstream::start(&second, "flotte", FailurePoint::Unframed).await;
    for size in [60_000, 8_000_000] {
        for repeat in 0..15 {
            let id = format!("{size}-{repeat}");
            eventually("reset response", || async {
                let mut client = Client::http1(entry.callers).await;
                let body = vec![b'u'; size];
                let post = request("POST", HOST, "/", &[("x-request-id", &id)], body);
                let response = client.send(post).await;
                if faulty.run_counts().await.contains_key(&id) {
                    let complete = response.as_ref().is_ok_and(|r| r.outcome().is_none());
                    assert!(!complete, "{id}: looks complete: {response:?}");
                    return Ok(());
                }
                Err(format!("{response:?}"))
            })
            .await;
        }
    }
}
