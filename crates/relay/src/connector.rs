//! Opening of connections to the upstream and to other daemons, reusing idle ones from the pools.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{ClientConnection, DecodeLimits, MemoryAccount, SocketTimeouts};
use cornelvalve_kernel::Mailbox;
use derive_more::{Debug, Display, Error, From};

use crate::hop::FrameConnection;
use crate::messages::PoolMessage;
use crate::pool::{Checkout, Lease};

/// Time for which an idle connection to the upstream is kept if the upstream announced no
/// keep-alive time.
const UPSTREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time before the end of the announced keep-alive time at which an idle connection is closed, so
/// that no request is sent on a connection that the upstream is closing.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1500);

/// Time for which an idle connection to another daemon is kept.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Result alias of this module.
pub(crate) type Result<T> = std::result::Result<T, ConnectError>;

/// Error of getting a connection.
#[derive(Debug, Display, Error, From)]
pub(crate) enum ConnectError {
    /// As many connections as may be open are in use, or the pool does not answer.
    #[display("too many connections are open")]
    TooMany,
    /// The connection cannot be opened.
    #[display("{_0}")]
    Io(#[error(not(source))] io::Error),
}

/// Asks a pool for a connection.
async fn checkout<C: Send + 'static>(
    pool: &Mailbox<PoolMessage<C>>,
    addr: SocketAddr,
) -> Checkout<C> {
    let answer = pool.ask(|reply| PoolMessage::Checkout { addr, reply });
    answer.await.unwrap_or_else(|e| {
        log::warn!(event = "pool-unavailable"; "no connection to {addr}: {e}");
        Checkout::Full
    })
}

/// Opens connections to the upstream and to other daemons, or takes idle ones from the pools, and
/// puts them back after use.
#[derive(Clone, Debug)]
pub(crate) struct Connector {
    /// Timeouts of connections to the upstream.
    pub(crate) upstream_timeouts: SocketTimeouts,
    /// Timeouts of connections to other daemons.
    pub(crate) peer_timeouts: SocketTimeouts,
    /// Size limits of the upstream's responses.
    pub(crate) response_limits: DecodeLimits,
    /// Account from which responses take their memory.
    #[debug(skip)]
    pub(crate) memory: Arc<dyn MemoryAccount>,
}

impl Connector {
    /// Takes a connection to the upstream from the pool or opens one. Also returns whether the
    /// connection was used before.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectError`] if no connection can be opened.
    pub(crate) async fn connect_upstream(
        &self,
        pool: &Mailbox<PoolMessage<ClientConnection>>,
        addr: SocketAddr,
    ) -> Result<(Lease<ClientConnection>, bool)> {
        let slot = match checkout(pool, addr).await {
            Checkout::Idle(connection) => return Ok((connection, true)),
            Checkout::Open(slot) => slot,
            Checkout::Full => return Err(ConnectError::TooMany),
        };
        let mut connection =
            ClientConnection::open(addr, self.upstream_timeouts, self.response_limits).await?;
        connection.set_memory(Arc::clone(&self.memory));
        Ok((Lease::new(connection, slot), false))
    }

    /// Puts a connection to the upstream back into the pool.
    ///
    /// `keep_alive` is the time for which the upstream announced to keep the connection open.
    pub(crate) fn return_upstream(
        &self,
        pool: &Mailbox<PoolMessage<ClientConnection>>,
        addr: SocketAddr,
        connection: Lease<ClientConnection>,
        keep_alive: Option<Duration>,
    ) {
        let keep_alive = keep_alive.map(|k| k.saturating_sub(KEEP_ALIVE_MARGIN));
        let idle_for = keep_alive.unwrap_or(UPSTREAM_IDLE_TIMEOUT);
        let message = PoolMessage::Return {
            addr,
            connection,
            idle_for,
        };
        if let Err(e) = pool.try_send(message) {
            log::debug!("connection to {addr} is closed instead of pooled: {e}");
        }
    }

    /// Takes a connection to another daemon from the pool or opens one.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectError`] if no connection can be opened.
    pub(crate) async fn connect_peer(
        &self,
        pool: &Mailbox<PoolMessage<FrameConnection>>,
        addr: SocketAddr,
    ) -> Result<Lease<FrameConnection>> {
        let slot = match checkout(pool, addr).await {
            Checkout::Idle(connection) => return Ok(connection),
            Checkout::Open(slot) => slot,
            Checkout::Full => return Err(ConnectError::TooMany),
        };
        let memory = Arc::clone(&self.memory);
        let connection = FrameConnection::open(addr, self.peer_timeouts, memory).await?;
        Ok(Lease::new(connection, slot))
    }

    /// Puts a connection to another daemon back into the pool.
    pub(crate) fn return_peer(
        &self,
        pool: &Mailbox<PoolMessage<FrameConnection>>,
        addr: SocketAddr,
        connection: Lease<FrameConnection>,
    ) {
        let message = PoolMessage::Return {
            addr,
            connection,
            idle_for: PEER_IDLE_TIMEOUT,
        };
        if let Err(e) = pool.try_send(message) {
            log::debug!("connection to {addr} is closed instead of pooled: {e}");
        }
    }
}
