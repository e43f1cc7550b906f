//! Sockets that notice silent peers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// Connections that wait to be accepted; a full queue costs a caller seconds.
const BACKLOG: i32 = 1024;

/// Keep-alive probes without an answer after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 3;

/// Times after which a connection to a silent peer fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketTimeouts {
    /// Longest wait for a new connection.
    pub connect: Duration,
    /// Longest time for which sent bytes may stay unacknowledged.
    pub unacknowledged: Duration,
    /// Idle time before keep-alive probes, and the time between them.
    pub keepalive: Duration,
}

/// Binds a listener.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts a connection.
///
/// # Errors
///
/// Returns the error of the operating system.
pub async fn accept(
    listener: &TcpListener,
    timeouts: SocketTimeouts,
) -> io::Result<(TcpStream, SocketAddr)> {
    let (stream, from) = listener.accept().await?;
    configure(&stream, timeouts)?;
    Ok((stream, from))
}

/// Opens a connection.
///
/// # Errors
///
/// Returns the error of the operating system, or one of kind
/// [`TimedOut`](io::ErrorKind::TimedOut).
pub async fn connect(addr: SocketAddr, timeouts: SocketTimeouts) -> io::Result<TcpStream> {
    let connecting = tokio::time::timeout(timeouts.connect, TcpStream::connect(addr));
    let stream = connecting
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connecting timed out"))??;
    configure(&stream, timeouts)?;
    Ok(stream)
}

fn configure(stream: &TcpStream, timeouts: SocketTimeouts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timeouts.unacknowledged))?;
    let keepalive = TcpKeepalive::new()
        .with_time(timeouts.keepalive)
        .with_interval(timeouts.keepalive)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
