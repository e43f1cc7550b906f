//! Callers' side of HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Longest wait for one response; a lost one fails the test instead of blocking it.
const RESPONSE_WAIT: Duration = Duration::from_secs(60);

/// Complete response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Response {
    /// Returns the body as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|e| panic!("body {:?} is not JSON: {e}", self.body))
    }

    /// Returns the outcome that the system vouches for; `None` stands for a complete answer.
    pub(crate) fn outcome(&self) -> Option<&str> {
        let value = self.headers.get("cornelvalve-outcome")?;
        Some(value.to_str().unwrap_or("malformed"))
    }

    /// Returns the reason of a refusal.
    pub(crate) fn reason(&self) -> String {
        self.json()["reason"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
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
pub(crate) async fn send<B>(addr: SocketAddr, request: Request<B>) -> Result<Response, String>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    tokio::time::timeout(RESPONSE_WAIT, exchange(addr, request))
        .await
        .unwrap_or_else(|_| Err("no response within the wait".to_owned()))
}

async fn exchange<B>(addr: SocketAddr, request: Request<B>) -> Result<Response, String>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
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
    Ok(Response {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

/// Connection that a caller reuses; closes when it goes out of scope.
pub(crate) struct Client {
    sender: Sender,
    driver: tokio::task::JoinHandle<()>,
}

enum Sender {
    Http1(hyper::client::conn::http1::SendRequest<Full<Bytes>>),
    Http2(hyper::client::conn::http2::SendRequest<Full<Bytes>>),
}

impl Client {
    /// Opens an HTTP/1.1 connection.
    pub(crate) async fn http1(addr: SocketAddr) -> Self {
        let io = TokioIo::new(TcpStream::connect(addr).await.expect("entry listens"));
        let (sender, connection) = hyper::client::conn::http1::handshake(io)
            .await
            .expect("handshake succeeds");
        let driver = tokio::spawn(async {
            let _ = connection.await;
        });
        Self {
            sender: Sender::Http1(sender),
            driver,
        }
    }

    /// Opens an HTTP/2 connection with prior knowledge.
    pub(crate) async fn http2(addr: SocketAddr) -> Self {
        let io = TokioIo::new(TcpStream::connect(addr).await.expect("entry listens"));
        let executor = hyper_util::rt::TokioExecutor::new();
        let (sender, connection) = hyper::client::conn::http2::handshake(executor, io)
            .await
            .expect("handshake succeeds");
        let driver = tokio::spawn(async {
            let _ = connection.await;
        });
        Self {
            sender: Sender::Http2(sender),
            driver,
        }
    }

    /// Sends a request and reads the whole response.
    pub(crate) async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response, String> {
        tokio::time::timeout(RESPONSE_WAIT, self.exchange(request))
            .await
            .unwrap_or_else(|_| Err("no response within the wait".to_owned()))
    }

    async fn exchange(&mut self, mut request: Request<Full<Bytes>>) -> Result<Response, String> {
        let sent = match &mut self.sender {
            Sender::Http1(sender) => {
                sender.ready().await.map_err(|e| e.to_string())?;
                sender.send_request(request).await
            }
            Sender::Http2(sender) => {
                sender.ready().await.map_err(|e| e.to_string())?;
                name_host_in_target(&mut request);
                sender.send_request(request).await
            }
        };
        let (parts, body) = sent.map_err(|e| e.to_string())?.into_parts();
        let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn name_host_in_target(request: &mut Request<Full<Bytes>>) {
    let host = request
        .headers_mut()
        .remove("host")
        .expect("request names a host");
    let host = host.to_str().expect("host is text");
    let target = format!("http://{host}{}", request.uri());
    *request.uri_mut() = target.parse().expect("target is well-formed");
}
