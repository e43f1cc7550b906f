//! Connections to the upstream and to other daemons, out of their pools or new.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_http1::{ClientConnection, DecodeLimits, SocketTimeouts};
use cornelvalve_kernel::Mailbox;

use crate::hop::FrameConnection;
use crate::messages::PoolMessage;

/// Time for which an idle connection to an upstream is kept that does not say how long it waits.
const UPSTREAM_IDLE: Duration = Duration::from_secs(3);

/// Time before the end of an upstream's announced wait at which its connection is closed.
const UPSTREAM_IDLE_MARGIN: Duration = Duration::from_millis(1500);

/// Time for which an idle connection to another daemon is kept.
const PEER_IDLE: Duration = Duration::from_secs(20);

/// How connections are opened.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connector {
    /// Time-outs towards the upstream.
    pub(crate) upstream: SocketTimeouts,
    /// Time-outs towards other daemons.
    pub(crate) peers: SocketTimeouts,
    /// Limits of an upstream's response.
    pub(crate) responses: DecodeLimits,
}

impl Connector {
    /// Returns a connection to the upstream, and whether it was used before.
    pub(crate) async fn connect_upstream(
        &self,
        pool: &Mailbox<PoolMessage<ClientConnection>>,
        addr: SocketAddr,
    ) -> io::Result<(ClientConnection, bool)> {
        let pooled = pool
            .ask(|reply| PoolMessage::Checkout { addr, reply })
            .await;
        // A pool that is full or restarting costs a new connection.
        if let Some(connection) = pooled.ok().flatten() {
            return Ok((connection, true));
        }
        let connection = ClientConnection::open(addr, self.upstream, self.responses).await?;
        Ok((connection, false))
    }

    /// Hands back a connection to the upstream.
    pub(crate) fn return_upstream(
        &self,
        pool: &Mailbox<PoolMessage<ClientConnection>>,
        addr: SocketAddr,
        connection: ClientConnection,
        announced: Option<Duration>,
    ) {
        let announced = announced.map(|a| a.saturating_sub(UPSTREAM_IDLE_MARGIN));
        let idle_for = announced.unwrap_or(UPSTREAM_IDLE);
        let message = PoolMessage::Return {
            addr,
            connection,
            idle_for,
        };
        if let Err(e) = pool.try_send(message) {
            log::debug!("{e}; the connection is closed");
        }
    }

    /// Returns a connection to another daemon.
    pub(crate) async fn connect_peer(
        &self,
        pool: &Mailbox<PoolMessage<FrameConnection>>,
        addr: SocketAddr,
    ) -> io::Result<FrameConnection> {
        let pooled = pool
            .ask(|reply| PoolMessage::Checkout { addr, reply })
            .await;
        match pooled.ok().flatten() {
            Some(connection) => Ok(connection),
            None => FrameConnection::open(addr, self.peers).await,
        }
    }

    /// Hands back a connection to another daemon.
    pub(crate) fn return_peer(
        &self,
        pool: &Mailbox<PoolMessage<FrameConnection>>,
        addr: SocketAddr,
        connection: FrameConnection,
    ) {
        let message = PoolMessage::Return {
            addr,
            connection,
            idle_for: PEER_IDLE,
        };
        if let Err(e) = pool.try_send(message) {
            log::debug!("{e}; the connection is closed");
        }
    }
}
