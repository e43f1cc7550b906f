//! Responses that the upstream cuts off.

use super::{HOST, Path, SECOND, path};
use crate::support::{Client, FailurePoint, FaultyUpstream, eventually, request, set_faults};

/// Guards against a cut body that reaches the caller with a clean end.
#[tokio::test]
async fn cut_body_is_an_error_for_the_caller() {
    let Path {
        entry,
        standin,
        upstream: _upstream,
        mesh: _mesh,
        upstream_daemon: _beside,
    } = path("answers-cut").await;
    set_faults(standin, r#"{ "cut_body": true }"#).await;
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
                let clean = format!(
                    "clean end of {length} of {bytes} bytes, HTTP/2: {http2}: {response:?}"
                );
                assert_eq!(outcome, Some("unknown"), "{clean}");
            }
        }
    }
    set_faults(standin, "{}").await;
    super::answers(&entry).await;
}

/// Guards against a chunked body, which has no length to check, that is cut and ends cleanly.
#[tokio::test]
async fn cut_chunks_are_an_error_for_the_caller() {
    let Path {
        mesh,
        entry,
        upstream_daemon: _beside,
        mut upstream,
        standin: _standin,
    } = path("answers-chunks").await;
    upstream.kill();
    let second = mesh.start_daemon(SECOND, &[entry.peers]);
    let raw = FaultyUpstream::start(&second, "flotte", FailurePoint::InChunks).await;
    for http2 in [false, true] {
        let id = format!("http2-{http2}");
        eventually("the cut answer", || async {
            let mut client = match http2 {
                false => Client::http1(entry.callers).await,
                true => Client::http2(entry.callers).await,
            };
            let post = request("POST", HOST, "/", &[("x-request-id", &id)], "");
            match client.send(post).await {
                Ok(response) => {
                    assert!(response.outcome().is_some(), "clean end of {response:?}");
                    Err(format!("{response:?}"))
                }
                Err(_) => Ok(()),
            }
        })
        .await;
        assert_eq!(raw.run_counts().await.get(&id), Some(&1), "{id}");
    }
}
