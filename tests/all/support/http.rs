//! Callers' side of HTTP/1.1.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Complete response.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    /// Returns the body as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|e| panic!("body {:?} is not JSON: {e}", self.body))
    }
}

/// Creates a request.
pub(crate) fn request(
    method: &str,
    host: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", host);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder
        .body(Full::new(body.into()))
        .expect("request is well-formed")
}

/// Sends a request over a connection of its own and reads the whole response.
pub(crate) async fn send(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Answer, String> {
    let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let driver = tokio::spawn(connection);
    let response = sender
        .send_request(request)
        .await
        .map_err(|e| e.to_string())?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
    driver.abort();
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}
