//! Streamed uploads that a test feeds slowly.

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

/// Bytes fed at once; more than a daemon keeps for a repeat.
const CHUNK_BYTES: usize = 100_000;

/// Upload whose body is not complete yet.
#[derive(Debug)]
pub(crate) struct Upload {
    chunks: mpsc::Sender<Bytes>,
    answer: JoinHandle<Result<Response, String>>,
}

impl Upload {
    /// Starts a POST of unknown length whose response is empty.
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
        let answer = tokio::spawn(async move {
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
        Self { chunks, answer }
    }

    /// Sends a part of the body; waits while the receiver does not read.
    pub(crate) async fn send_chunk(&self) {
        // If the upload has failed already, its answer tells why.
        let chunk = Bytes::from(vec![b'x'; CHUNK_BYTES]);
        let _ = self.chunks.send(chunk).await;
    }

    /// Ends the body and returns the response.
    pub(crate) async fn finish(self) -> Result<Response, String> {
        drop(self.chunks);
        self.answer.await.map_err(|e| e.to_string())?
    }
}
