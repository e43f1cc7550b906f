//! Pool service: keeps idle connections to other daemons and to the local upstreams.
//!
//! An exchange (one request with its response) owns a connection until its response ends. The pool
//! holds only connections that no exchange uses. A connection whose exchange was cancelled or timed
//! out is closed and never returned.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_kernel::{Context, ReplySender, ServiceResult, Tick};
use cornelvalve_model::Moment;
use derive_more::Debug;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::body::Body;
use crate::names::POOL;

/// Maximum number of idle connections to one address, well below the roughly 250 connections that
/// an upstream accepts in all.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Time after which an idle connection is closed; shorter than the idle timeouts of common servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Period of the check for expired idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// Messages to the pool.
#[derive(Debug)]
pub(crate) enum PoolMessage {
    /// Takes an idle connection; the reply is `None` if there is none.
    Checkout {
        /// Address of the server.
        addr: SocketAddr,
        /// Receives the connection.
        reply: ReplySender<Option<Connection>>,
    },
    /// Returns a connection whose exchange completed.
    Return {
        /// Address of the server.
        addr: SocketAddr,
        /// The connection.
        connection: Connection,
    },
    /// Closes the idle connections to an address, for example after the server died.
    CloseIdle {
        /// Address of the server.
        addr: SocketAddr,
    },
    /// Triggers the check for expired idle connections.
    Tick(Tick),
}

/// Client connection, used by one exchange at a time; dropping it closes the socket.
#[derive(Debug)]
pub(crate) struct Connection {
    #[debug(skip)]
    sender: SendRequest<Body>,
    /// Task that drives the connection.
    #[debug(skip)]
    driver: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established.
    pub(crate) async fn open(addr: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            // An exchange gets the error from its own request; an idle connection that fails is
            // just discarded.
            let _ = connection.await;
        });
        Ok(Self { sender, driver })
    }

    /// Returns the handle through which requests are sent.
    pub(crate) fn sender(&mut self) -> &mut SendRequest<Body> {
        &mut self.sender
    }

    fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connection with the time at which it was returned.
struct IdleConnection {
    connection: Connection,
    since: Moment,
}

/// Runs the pool service.
pub(crate) async fn run_pool(mut context: Context<PoolMessage>) -> ServiceResult {
    context
        .subscribe_to_ticks(POOL, SWEEP_PERIOD, PoolMessage::Tick)
        .await?;
    let mut idle: HashMap<SocketAddr, Vec<IdleConnection>> = HashMap::new();
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => message,
        };
        match message {
            Some(PoolMessage::Checkout { addr, reply }) => reply.send(take(&mut idle, addr)),
            Some(PoolMessage::Return { addr, connection }) => {
                let since = context.clock.now();
                put(&mut idle, addr, IdleConnection { connection, since });
            }
            Some(PoolMessage::CloseIdle { addr }) => {
                idle.remove(&addr);
            }
            Some(PoolMessage::Tick(tick)) => sweep(&mut idle, tick.now),
            None => return Ok(()),
        }
    }
}

/// Takes the most recently used connection that is open, so that surplus connections expire.
fn take(
    idle: &mut HashMap<SocketAddr, Vec<IdleConnection>>,
    addr: SocketAddr,
) -> Option<Connection> {
    let list = idle.get_mut(&addr)?;
    while let Some(candidate) = list.pop() {
        if !candidate.connection.is_closed() {
            return Some(candidate.connection);
        }
    }
    None
}

/// Adds a connection, or drops it if it is closed or there are enough for its address.
fn put(
    idle: &mut HashMap<SocketAddr, Vec<IdleConnection>>,
    addr: SocketAddr,
    entry: IdleConnection,
) {
    let list = idle.entry(addr).or_default();
    if list.len() < MAX_IDLE_PER_ADDRESS && !entry.connection.is_closed() {
        list.push(entry);
    }
}

/// Closes expired connections and removes those that the server has closed.
fn sweep(idle: &mut HashMap<SocketAddr, Vec<IdleConnection>>, now: Moment) {
    idle.retain(|_, list| {
        list.retain(|i| !i.connection.is_closed() && now.since(i.since) < IDLE_TIMEOUT);
        !list.is_empty()
    });
}
