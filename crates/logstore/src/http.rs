//! HTTP/1.1 client of the log service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_model::Offset;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::protocol::{decode_append, decode_gone, decode_page, encode_append};
use crate::{BoxFuture, Error, LogStore, Page, Result};

/// Largest response body in bytes that the client reads; limits its memory.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// HTTP client of the log service that opens a new connection for each call.
///
/// Connections are not reused: if the service has closed an idle one, an append that was never sent
/// cannot be distinguished from an append whose response was lost. Appends are rare and reads are
/// long polls, so the cost of connecting does not matter.
#[derive(Clone, Debug)]
pub struct HttpLogStore {
    addr: SocketAddr,
    timeout: Duration,
}

/// Status and complete body of a response.
struct Response {
    status: StatusCode,
    body: Bytes,
}

impl HttpLogStore {
    /// Creates a client of the log service at `addr`.
    ///
    /// `timeout` limits each call from connecting to the complete response. The time that a read
    /// waits for records is added to it.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self { addr, timeout }
    }

    /// Sends one request and returns the response, if it arrives within the timeout plus `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] if connecting fails and [`Error::OutcomeUnknown`] if the
    /// request may have reached the service.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Response> {
        let deadline = Instant::now() + self.timeout + wait;
        let stream = timeout_at(deadline, TcpStream::connect(self.addr))
            .await
            .map_err(|_| Error::Unavailable("connecting timed out".to_owned()))?
            .map_err(|e| Error::Unavailable(e.to_string()))?;
        // The request is one small write, which Nagle's algorithm would only delay.
        let _ = stream.set_nodelay(true);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.addr.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| Error::Protocol(e.to_string()))?;
        timeout_at(deadline, exchange(stream, request))
            .await
            .map_err(|_| Error::OutcomeUnknown("deadline passed".to_owned()))?
            .map_err(Error::OutcomeUnknown)
    }
}

/// Sends one request over a new connection and reads the complete response.
async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> std::result::Result<Response, String> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let call = async move {
        let response = sender
            .send_request(request)
            .await
            .map_err(|e| e.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|e| e.to_string())?
            .to_bytes();
        Ok(Response { status, body })
    };
    // `connection` performs the I/O and ends after `call`, which owns the only sender. An error of
    // the connection also fails the request or the body in `call`, so its own result is not needed.
    let (result, _) = tokio::join!(call, connection);
    result
}

/// Returns the status of a response as the text of an error.
fn status_text(response: &Response) -> String {
    format!("status {}", response.status)
}

/// Checks that a stream name can be put into a URL path without escaping.
fn check_stream_name(stream: &str) -> Result<()> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if stream.is_empty() || !stream.bytes().all(allowed) {
        return Err(Error::Protocol(format!("invalid stream name {stream:?}")));
    }
    Ok(())
}

impl LogStore for HttpLogStore {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: &'a [Bytes],
    ) -> BoxFuture<'a, Result<Offset>> {
        Box::pin(async move {
            check_stream_name(stream)?;
            let path = format!("/streams/{stream}/records");
            let body = encode_append(records)?;
            let response = self.call(Method::POST, &path, body, Duration::ZERO).await?;
            match response.status {
                // The append succeeded even if the response cannot be decoded.
                status if status.is_success() => {
                    decode_append(&response.body).map_err(|e| Error::OutcomeUnknown(e.to_string()))
                }
                StatusCode::TOO_MANY_REQUESTS => Err(Error::Unavailable(status_text(&response))),
                status if status.is_client_error() => Err(Error::Protocol(status_text(&response))),
                // A service that reports an internal failure may have performed the append.
                _ => Err(Error::OutcomeUnknown(status_text(&response))),
            }
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Page>> {
        Box::pin(async move {
            check_stream_name(stream)?;
            let wait_ms = wait.as_millis();
            let path = format!("/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
            let response = self.call(Method::GET, &path, Bytes::new(), wait).await?;
            match response.status {
                StatusCode::OK => decode_page(&response.body, from),
                StatusCode::GONE => Err(Error::RecordsGone {
                    first_retained: decode_gone(&response.body)?,
                }),
                StatusCode::TOO_MANY_REQUESTS => Err(Error::Unavailable(status_text(&response))),
                status if status.is_client_error() => Err(Error::Protocol(status_text(&response))),
                _ => Err(Error::Unavailable(status_text(&response))),
            }
        })
    }
}
