//! Responses must not reach the wrong caller.

use std::net::SocketAddr;
use std::time::Duration;

use super::{FlotteMesh, HOST, start_mesh};
use crate::support::{Client, request};

/// Number of concurrent callers.
const CALLERS: usize = 100;

/// Number of requests that a caller sends over its connection.
const REQUESTS_PER_CALLER: usize = 4;

/// Deadline of a request in milliseconds. It exceeds the time in the queue of an upstream that has
/// just started and runs few requests at once, also on a heavily loaded machine.
const DEADLINE_MS: &str = "60000";

/// Sizes of the bodies in bytes: empty, buffered by the daemon that receives them, and streamed.
const BODY_SIZES: [usize; 5] = [0, 100, 60_000, 300_000, 2_000_000];

/// Returns a body that repeats the numbers of the caller and the request.
fn body(caller: usize, number: usize) -> Vec<u8> {
    let size = BODY_SIZES[(caller + number) % BODY_SIZES.len()];
    let tag = format!("{caller}-{number};");
    tag.bytes().cycle().take(size).collect()
}

/// Sends requests over one connection and returns how many got a complete response. Every third
/// caller cancels its last request before the response.
async fn run_caller(entry: SocketAddr, caller: usize) -> usize {
    let mut client = match caller % 2 {
        0 => Client::http1(entry).await,
        _ => Client::http2(entry).await,
    };
    let mut complete = 0;
    for number in 0..REQUESTS_PER_CALLER {
        let body = body(caller, number);
        let work = (caller % 7).to_string();
        let headers = [
            ("cornelvalve-deadline-ms", DEADLINE_MS),
            ("x-work-ms", work.as_str()),
        ];
        let request = request("PUT", HOST, "/", &headers, body.clone());
        if caller.is_multiple_of(3) && number + 1 == REQUESTS_PER_CALLER {
            let cancel_after = Duration::from_millis(caller as u64 % 20);
            let _ = tokio::time::timeout(cancel_after, client.send(request)).await;
            return complete;
        }
        // A daemon closes the connection after it refused a request whose body it has not read.
        let response = match client.send(request).await {
            Ok(response) => response,
            Err(_) => return complete,
        };
        if response.outcome().is_some() {
            continue;
        }
        assert_eq!(response.status, 200);
        assert!(
            response.body == body,
            "caller {caller} got the wrong body for request {number}"
        );
        complete += 1;
    }
    complete
}

/// Guards against responses that reach another caller, belong to an earlier request of the same
/// caller, or are truncated, on connections that are reused while other callers cancel their
/// requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_callers_get_their_own_responses() {
    let FlotteMesh {
        entry,
        upstream_daemon,
        upstream: _upstream,
        mesh: _mesh,
        upstream_addr: _upstream_addr,
    } = start_mesh("answers-crossed").await;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(run_caller(entry.callers, caller));
    }
    let complete: usize = callers.join_all().await.into_iter().sum();
    // Some requests may be refused because of overload, but too few responses would prove nothing.
    assert!(complete >= CALLERS, "only {complete} complete responses");
    super::wait_for_success(&entry).await;
    super::wait_for_success(&upstream_daemon).await;
}
