//! Upstream that answers fixed bytes and hands over what it was sent.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::http::{request, send};

/// Longest request that is read.
const REQUEST_BYTES: usize = 64 * 1024;

/// Starts an upstream of a service beside a daemon; returns the requests that it gets, as text.
pub(crate) async fn raw_upstream(
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
