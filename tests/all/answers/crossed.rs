//! Responses that must not reach the wrong caller.

use std::net::SocketAddr;
use std::time::Duration;

use super::{HOST, Path, path};
use crate::support::{Client, request};

/// Callers that send at once.
const CALLERS: usize = 100;

/// Requests of one caller over its connection.
const REQUESTS: usize = 4;

/// Deadline that queues of a cold upstream do not exceed on a busy machine.
const DEADLINE_MS: &str = "60000";

/// Sizes of bodies: empty, buffered by the entry, and streamed.
const SIZES: [usize; 5] = [0, 100, 60_000, 300_000, 2_000_000];

/// Returns a body of which every part tells the request.
fn body(caller: usize, number: usize) -> Vec<u8> {
    let size = SIZES[(caller + number) % SIZES.len()];
    let word = format!("{caller}-{number};");
    word.bytes().cycle().take(size).collect()
}

/// Sends requests over one connection; every third caller leaves in the middle of the last one.
async fn call(entry: SocketAddr, caller: usize) -> usize {
    let mut client = match caller % 2 {
        0 => Client::http1(entry).await,
        _ => Client::http2(entry).await,
    };
    let mut whole = 0;
    for number in 0..REQUESTS {
        let body = body(caller, number);
        let work = (caller % 7).to_string();
        let headers = [
            ("cornelvalve-deadline-ms", DEADLINE_MS),
            ("x-work-ms", work.as_str()),
        ];
        let request = request("PUT", HOST, "/", &headers, body.clone());
        if caller.is_multiple_of(3) && number + 1 == REQUESTS {
            let wait = Duration::from_millis(caller as u64 % 20);
            let _ = tokio::time::timeout(wait, client.send(request)).await;
            return whole;
        }
        // A connection ends with a refusal of a body that was not read.
        let response = match client.send(request).await {
            Ok(response) => response,
            Err(_) => return whole,
        };
        if response.outcome().is_some() {
            continue;
        }
        assert_eq!(response.status, 200);
        assert!(
            response.body == body,
            "caller {caller} got another body for request {number}"
        );
        whole += 1;
    }
    whole
}

/// Guards against responses that are crossed, late or cut, over connections that are reused while
/// other callers leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_at_once_get_their_own_answers() {
    let Path {
        entry,
        upstream_daemon,
        upstream: _upstream,
        mesh: _mesh,
        standin: _standin,
    } = path("answers-crossed").await;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(call(entry.callers, caller));
    }
    let whole: usize = callers.join_all().await.into_iter().sum();
    // Overload may be refused, but most callers must have been answered for the test to count.
    assert!(whole >= CALLERS, "only {whole} whole answers");
    super::answers(&entry).await;
    super::answers(&upstream_daemon).await;
}
