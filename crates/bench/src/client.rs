//! HTTP client whose connections are owned by one caller.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Idle connections kept for one address.
const MAX_IDLE: usize = 256;

/// Connection that one exchange uses at a time.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    pub(crate) async fn open(addr: SocketAddr) -> Result<Self, String> {
        let text = |e: &dyn std::fmt::Display| e.to_string();
        let stream = TcpStream::connect(addr).await.map_err(|e| text(&e))?;
        stream.set_nodelay(true).map_err(|e| text(&e))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| text(&e))?;
        let driver = tokio::spawn(async move {
            // The exchange sees the error of its own request.
            let _ = connection.await;
        });
        Ok(Self { sender, driver })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections of one caller.
#[derive(Default)]
pub(crate) struct IdleConnections {
    by_addr: HashMap<SocketAddr, Vec<Connection>>,
}

impl IdleConnections {
    /// Takes the most recently used connection that is still open.
    pub(crate) fn take(&mut self, addr: SocketAddr) -> Option<Connection> {
        let list = self.by_addr.get_mut(&addr)?;
        while let Some(connection) = list.pop() {
            if !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    pub(crate) fn put(&mut self, addr: SocketAddr, connection: Connection) {
        let list = self.by_addr.entry(addr).or_default();
        if list.len() < MAX_IDLE && !connection.sender.is_closed() {
            list.push(connection);
        }
    }
}

/// Complete response.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) is_problem: bool,
    pub(crate) body: Bytes,
}

/// Sends a request, over a given idle connection if it still works, and reads the whole response.
///
/// Returns the connection with the answer, so that it can be used again.
pub(crate) async fn exchange(
    addr: SocketAddr,
    idle: Option<Connection>,
    request: Request<Full<Bytes>>,
) -> Result<(Answer, Connection), String> {
    let mut request = request;
    if let Some(mut connection) = idle
        && connection.sender.ready().await.is_ok()
    {
        match connection.sender.try_send_request(request).await {
            Ok(response) => return complete(response, connection).await,
            Err(mut e) => match e.take_message() {
                // The server closed the idle connection before the request was written to it.
                Some(unsent) => request = unsent,
                None => return Err(e.into_error().to_string()),
            },
        }
    }
    let mut connection = Connection::open(addr).await?;
    let sent = connection.sender.send_request(request).await;
    complete(sent.map_err(|e| e.to_string())?, connection).await
}

async fn complete(
    response: Response<Incoming>,
    connection: Connection,
) -> Result<(Answer, Connection), String> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
    let media_type = parts.headers.get(http::header::CONTENT_TYPE);
    let is_problem = media_type.is_some_and(|v| v == cornelvalve_wire::problem::MEDIA_TYPE);
    let answer = Answer {
        status: parts.status,
        is_problem,
        body,
    };
    Ok((answer, connection))
}
