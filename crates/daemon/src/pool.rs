//! Pool of idle connections to peers and to the local upstream.
//!
//! One exchange owns one connection until its response ends. The pool only keeps connections that
//! no exchange uses; a connection whose exchange was cancelled or timed out never returns.

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

/// Idle connections kept for one address; a target accepts about 250 connections in all.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Time after which an idle connection is closed; shorter than the idle time-outs of usual servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Period of the search for idle connections that timed out.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// Messages to the pool.
#[derive(Debug)]
pub(crate) enum PoolMessage {
    /// Asks for an idle connection; the reply is `None` if the exchange must open one.
    Checkout {
        /// Address of the server.
        addr: SocketAddr,
        /// Receives the connection.
        reply: ReplySender<Option<Connection>>,
    },
    /// Hands back a connection whose exchange ended cleanly.
    Return {
        /// Address of the server.
        addr: SocketAddr,
        /// The connection.
        connection: Connection,
    },
    /// Closes the idle connections to an address, as when the server restarted.
    Forget {
        /// Address of the server.
        addr: SocketAddr,
    },
    /// Periodic tick.
    Tick(Tick),
}

/// Client connection that one exchange uses at a time; dropping it closes the socket.
#[derive(Debug)]
pub(crate) struct Connection {
    #[debug(skip)]
    sender: SendRequest<Body>,
    #[debug(skip)]
    driver: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    pub(crate) async fn open(addr: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The exchange sees the error of its own request; a failure while idle needs no report.
            let _ = connection.await;
        });
        Ok(Self { sender, driver })
    }

    /// Returns the sender of requests.
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

struct Idle {
    connection: Connection,
    since: Moment,
}

/// Runs the pool service.
pub(crate) async fn run_pool(mut context: Context<PoolMessage>) -> ServiceResult {
    context
        .subscribe_to_ticks(POOL, SWEEP_PERIOD, PoolMessage::Tick)
        .await?;
    let mut idle: HashMap<SocketAddr, Vec<Idle>> = HashMap::new();
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => message,
        };
        match message {
            Some(PoolMessage::Checkout { addr, reply }) => reply.send(take(&mut idle, addr)),
            Some(PoolMessage::Return { addr, connection }) => {
                let since = context.clock.now();
                put(&mut idle, addr, Idle { connection, since });
            }
            Some(PoolMessage::Forget { addr }) => {
                idle.remove(&addr);
            }
            Some(PoolMessage::Tick(tick)) => sweep(&mut idle, tick.now),
            None => return Ok(()),
        }
    }
}

/// Takes the most recently used open connection, so that surplus ones time out.
fn take(idle: &mut HashMap<SocketAddr, Vec<Idle>>, addr: SocketAddr) -> Option<Connection> {
    let list = idle.get_mut(&addr)?;
    while let Some(candidate) = list.pop() {
        if !candidate.connection.is_closed() {
            return Some(candidate.connection);
        }
    }
    None
}

fn put(idle: &mut HashMap<SocketAddr, Vec<Idle>>, addr: SocketAddr, entry: Idle) {
    let list = idle.entry(addr).or_default();
    if list.len() < MAX_IDLE_PER_ADDRESS && !entry.connection.is_closed() {
        list.push(entry);
    }
}

fn sweep(idle: &mut HashMap<SocketAddr, Vec<Idle>>, now: Moment) {
    idle.retain(|_, list| {
        list.retain(|i| !i.connection.is_closed() && now.since(i.since) < IDLE_TIMEOUT);
        !list.is_empty()
    });
}
