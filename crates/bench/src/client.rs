//! HTTP/1 client whose connections are owned by a single task.

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

/// Maximum number of idle connections kept for one address.
const MAX_IDLE: usize = 256;

/// Connection that carries one request at a time.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to an address and starts the task that drives the connection.
    pub(crate) async fn open(addr: SocketAddr) -> Result<Self, String> {
        let to_text = |e: &dyn std::fmt::Display| e.to_string();
        let stream = TcpStream::connect(addr).await.map_err(|e| to_text(&e))?;
        stream.set_nodelay(true).map_err(|e| to_text(&e))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| to_text(&e))?;
        let driver = tokio::spawn(async move {
            // Errors are ignored here, because `exchange` returns the error of its request.
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

/// Idle connections that one task owns, by address.
#[derive(Default)]
pub(crate) struct IdleConnections {
    by_addr: HashMap<SocketAddr, Vec<Connection>>,
}

impl IdleConnections {
    /// Takes the most recently used connection that is still open.
    pub(crate) fn take(&mut self, addr: SocketAddr) -> Option<Connection> {
        let connections = self.by_addr.get_mut(&addr)?;
        while let Some(connection) = connections.pop() {
            if !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for reuse, unless it is closed or the limit is reached.
    pub(crate) fn put(&mut self, addr: SocketAddr, connection: Connection) {
        let connections = self.by_addr.entry(addr).or_default();
        if connections.len() < MAX_IDLE && !connection.sender.is_closed() {
            connections.push(connection);
        }
    }
}

/// Response whose body was read completely.
pub(crate) struct ClientResponse {
    pub(crate) status: StatusCode,
    /// Whether the body is a problem document (RFC 9457), which only daemons send.
    pub(crate) is_problem: bool,
    pub(crate) body: Bytes,
}

/// Sends a request and reads the whole response. Uses the given idle connection if it is still
/// open, otherwise a new one.
///
/// Returns the response and the connection, which can be used again. Errors are returned as text,
/// because reports count requests by the text of the error.
pub(crate) async fn exchange(
    addr: SocketAddr,
    idle: Option<Connection>,
    request: Request<Full<Bytes>>,
) -> Result<(ClientResponse, Connection), String> {
    let mut request = request;
    if let Some(mut connection) = idle
        && connection.sender.ready().await.is_ok()
    {
        match connection.sender.try_send_request(request).await {
            Ok(response) => return read_response(response, connection).await,
            Err(mut e) => match e.take_message() {
                // The server closed the idle connection before the request was written to it. It is
                // safe to send the request again.
                Some(unsent) => request = unsent,
                // The request was written and may have run.
                None => return Err(e.into_error().to_string()),
            },
        }
    }
    let mut connection = Connection::open(addr).await?;
    let sent = connection.sender.send_request(request).await;
    read_response(sent.map_err(|e| e.to_string())?, connection).await
}

/// Reads the body of a response.
async fn read_response(
    response: Response<Incoming>,
    connection: Connection,
) -> Result<(ClientResponse, Connection), String> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
    let media_type = parts.headers.get(http::header::CONTENT_TYPE);
    let is_problem = media_type.is_some_and(|v| v == cornelvalve_wire::problem::MEDIA_TYPE);
    let response = ClientResponse {
        status: parts.status,
        is_problem,
        body,
    };
    Ok((response, connection))
}
