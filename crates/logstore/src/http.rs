//! Client of the log service over HTTP/1.1.

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

use crate::protocol::{append_answer, append_body, gone_answer, page_answer};
use crate::{BoxFuture, Error, LogStore, Page, Result};

/// Largest answer in bytes that the client accepts; bounds its memory.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Client that opens one connection for each call.
///
/// A kept connection that the service has closed would make an append that never left this
/// process look like a lost answer. Appends are far apart and reads wait long, so that the cost
/// of connecting does not matter.
#[derive(Clone, Debug)]
pub struct HttpLogStore {
    addr: SocketAddr,
    timeout: Duration,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl HttpLogStore {
    /// Creates a client of the service at an address; `timeout` limits each call, in addition to
    /// the time for which a read is asked to wait.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self { addr, timeout }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Answer> {
        let deadline = Instant::now() + self.timeout + wait;
        let stream = timeout_at(deadline, TcpStream::connect(self.addr))
            .await
            .map_err(|_| Error::Unavailable("connecting timed out".to_owned()))?
            .map_err(|e| Error::Unavailable(e.to_string()))?;
        // The request is one small write; waiting to fill a segment would only delay it.
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

/// Sends one request and reads its complete answer, driving the connection meanwhile.
async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
) -> std::result::Result<Answer, String> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let answer = async move {
        let response = sender
            .send_request(request)
            .await
            .map_err(|e| e.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|e| e.to_string())?
            .to_bytes();
        Ok(Answer { status, body })
    };
    // The connection ends after the answer, because `answer` owns the only sender. Its own error
    // reaches `answer` as the failure of the request or of the body.
    let (answer, _) = tokio::join!(answer, connection);
    answer
}

fn refusal(answer: &Answer) -> String {
    format!("status {}", answer.status)
}

fn check_name(stream: &str) -> Result<()> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if stream.is_empty() || !stream.bytes().all(allowed) {
        return Err(Error::Protocol(format!("stream name {stream:?}")));
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
            check_name(stream)?;
            let path = format!("/streams/{stream}/records");
            let body = append_body(records)?;
            let answer = self.call(Method::POST, &path, body, Duration::ZERO).await?;
            match answer.status {
                // An answer that cannot be read does not undo the append.
                status if status.is_success() => {
                    append_answer(&answer.body).map_err(|e| Error::OutcomeUnknown(e.to_string()))
                }
                StatusCode::TOO_MANY_REQUESTS => Err(Error::Unavailable(refusal(&answer))),
                status if status.is_client_error() => Err(Error::Protocol(refusal(&answer))),
                // The service may report a failure after the append took effect.
                _ => Err(Error::OutcomeUnknown(refusal(&answer))),
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
            check_name(stream)?;
            let wait_ms = wait.as_millis();
            let path = format!("/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}");
            let answer = self.call(Method::GET, &path, Bytes::new(), wait).await?;
            match answer.status {
                StatusCode::OK => page_answer(&answer.body, from),
                StatusCode::GONE => Err(Error::RecordsGone {
                    first_retained: gone_answer(&answer.body)?,
                }),
                StatusCode::TOO_MANY_REQUESTS => Err(Error::Unavailable(refusal(&answer))),
                status if status.is_client_error() => Err(Error::Protocol(refusal(&answer))),
                _ => Err(Error::Unavailable(refusal(&answer))),
            }
        })
    }
}
