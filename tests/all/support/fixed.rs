//! Exchanges of bytes: an upstream with a fixed answer, and connections without an HTTP library.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::http::{request, send};

/// Longest request that is read.
const REQUEST_BYTES: usize = 64 * 1024;

/// Starts an upstream of a service beside a daemon; returns the requests that it gets, as text.
pub(crate) async fn start_fixed_upstream(
    daemon: SocketAddr,
    service: &str,
    response: &'static str,
) -> mpsc::UnboundedReceiver<String> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let port = listener.local_addr().expect("socket is bound").port();
    let (requests, received) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = vec![0; REQUEST_BYTES];
            let length = stream.read(&mut bytes).await.unwrap_or(0);
            let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
            // The test may have seen enough.
            let _ = requests.send(text);
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    let body = format!(r#"{{"port":{port},"slots":10,"incarnation":1,"lease_ms":10000}}"#);
    let path = format!("/v1/upstreams/{service}");
    let headers = [("content-type", "application/json")];
    let put = request("PUT", "localhost", &path, &headers, body);
    let answer = send(daemon, put).await.expect("announcement is answered");
    assert!(answer.status.is_success(), "{answer:?}");
    received
}

/// Time for which an answer to raw bytes is awaited on a busy machine.
const PATIENCE: Duration = Duration::from_secs(60);

/// Sends bytes over a connection of its own and returns all that comes back until it is closed.
pub(crate) async fn raw_exchange(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(addr).await.expect("listener accepts");
    // The other side may answer and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let read = tokio::time::timeout(PATIENCE, reading).await;
    // A reset after the answer is an end like any other.
    let _ = read.expect("the connection is closed");
    answer
}

/// Sends bytes and returns the answer as text.
pub(crate) async fn raw_text(addr: SocketAddr, bytes: impl AsRef<[u8]>) -> String {
    let answer = raw_exchange(addr, bytes.as_ref()).await;
    String::from_utf8_lossy(&answer).into_owned()
}
