//! TCP sockets with timeouts that detect unresponsive peers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of connections that wait to be accepted. While the queue is full, the kernel
/// drops connection requests, and a client repeats its request only after a second or more.
const BACKLOG: i32 = 1024;

/// Number of unanswered TCP keep-alive probes after which a connection fails.
const KEEPALIVE_PROBES: u32 = 3;

/// Times after which establishing or using a connection to an unresponsive peer fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketTimeouts {
    /// Maximum time to establish a connection.
    pub connect: Duration,
    /// Maximum time for which sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub unacknowledged: Duration,
    /// Idle time before the first TCP keep-alive probe, and the interval between probes.
    pub keepalive: Duration,
}

/// Binds a listening socket to `addr`.
///
/// `SO_REUSEADDR` is set, so that a restarted process can bind the address immediately.
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

/// Accepts a connection and sets its timeouts; returns the connection and the address of the peer.
///
/// # Errors
///
/// Returns the error of the operating system.
pub async fn accept(
    listener: &TcpListener,
    timeouts: SocketTimeouts,
) -> io::Result<(TcpStream, SocketAddr)> {
    let (stream, peer) = listener.accept().await?;
    configure(&stream, timeouts)?;
    Ok((stream, peer))
}

/// Connects to `addr` and sets the timeouts of the connection.
///
/// # Errors
///
/// Returns the error of the operating system, or an error of kind
/// [`TimedOut`](io::ErrorKind::TimedOut) after [`SocketTimeouts::connect`].
pub async fn connect(addr: SocketAddr, timeouts: SocketTimeouts) -> io::Result<TcpStream> {
    let connecting = tokio::time::timeout(timeouts.connect, TcpStream::connect(addr));
    let stream = connecting
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connect timed out"))??;
    configure(&stream, timeouts)?;
    Ok(stream)
}

/// Sets the socket options: the timeouts and `TCP_NODELAY`.
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
