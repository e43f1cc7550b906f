//! Uploads whose body a test sends in steps.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::Request;
use hyper::body::Frame;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::http::Response;

/// Size of one chunk of the body in bytes. It exceeds the default of `limits.body_buffer_bytes`,
/// 64 KiB, up to which a daemon buffers a body in order to retry the request.
const CHUNK_BYTES: usize = 100_000;

/// Upload in progress whose body has not ended.
#[derive(Debug)]
pub(crate) struct Upload {
    chunks: mpsc::Sender<Bytes>,
    response: JoinHandle<Result<Response, String>>,
}

impl Upload {
    /// Starts a `POST` request of unknown length; the upstream stand-in responds with an empty
    /// body.
    pub(crate) fn start(addr: SocketAddr, host: &str) -> Self {
        let (chunks, receiver) = mpsc::channel::<Bytes>(1);
        let chunk = |mut receiver: mpsc::Receiver<Bytes>| async {
            let chunk = receiver.recv().await?;
            Some((Ok::<_, std::io::Error>(Frame::data(chunk)), receiver))
        };
        let body = StreamBody::new(futures_util::stream::unfold(receiver, chunk).boxed());
        let request = Request::post("/upload")
            .header("host", host)
            .header("x-echo-bytes", "0")
            .header("cornelvalve-deadline-ms", "60000")
            .body(body)
            .expect("request is well-formed");
        let response = tokio::spawn(async move {
            let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
            let connected = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
            let (mut sender, connection) = connected.map_err(|e| e.to_string())?;
            let driver = tokio::spawn(connection);
            let sent = sender.send_request(request).await;
            let (parts, body) = sent.map_err(|e| e.to_string())?.into_parts();
            let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
            driver.abort();
            Ok(Response {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        });
        Self { chunks, response }
    }

    /// Sends one chunk of the body; waits while the daemon does not read.
    pub(crate) async fn send_chunk(&self) {
        // Fails only if the upload has failed already; `finish` returns the error.
        let chunk = Bytes::from(vec![b'x'; CHUNK_BYTES]);
        let _ = self.chunks.send(chunk).await;
    }

    /// Ends the body and returns the response.
    ///
    /// # Errors
    ///
    /// Returns a description if the exchange failed.
    pub(crate) async fn finish(self) -> Result<Response, String> {
        drop(self.chunks);
        self.response.await.map_err(|e| e.to_string())?
    }
}
