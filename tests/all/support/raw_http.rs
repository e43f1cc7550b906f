//! Exchanges raw bytes: an upstream with a fixed response, and a client without an HTTP library.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::http::{request, send};

/// Maximum size of a request that the upstream reads, in bytes.
const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// Starts an upstream that sends the same response to every request, and announces it to the daemon
/// that listens for announcements at `daemon`. Returns the requests that it receives, as text.
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
            let mut bytes = vec![0; MAX_REQUEST_BYTES];
            let length = stream.read(&mut bytes).await.unwrap_or(0);
            let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
            // Fails if the test no longer reads the requests.
            let _ = requests.send(text);
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    let body = format!(r#"{{"port":{port},"slots":10,"incarnation":1,"lease_ms":10000}}"#);
    let path = format!("/v1/upstreams/{service}");
    let headers = [("content-type", "application/json")];
    let put = request("PUT", "localhost", &path, &headers, body);
    let announced = send(daemon, put).await.expect("daemon responds");
    assert!(announced.status.is_success(), "{announced:?}");
    received
}

/// Time limit of an exchange, long enough for a heavily loaded machine.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends bytes over a new connection and returns what it receives until the connection is closed.
pub(crate) async fn raw_exchange(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(addr).await.expect("listener accepts");
    // The other side may respond and close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let read = tokio::time::timeout(EXCHANGE_TIMEOUT, reading).await;
    // A reset after the response ends the exchange like a close.
    let _ = read.expect("connection is closed in time");
    received
}

/// Sends bytes over a new connection and returns what it receives until the end, as text.
pub(crate) async fn raw_text(addr: SocketAddr, bytes: impl AsRef<[u8]>) -> String {
    let received = raw_exchange(addr, bytes.as_ref()).await;
    String::from_utf8_lossy(&received).into_owned()
}
