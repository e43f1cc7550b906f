//! Pool services, which keep idle connections for reuse and bound the number of open ones.
//!
//! An exchange owns its connection and returns it to the pool only after it has completed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::time::Duration;

use cornelvalve_http1::ClientConnection;
use cornelvalve_kernel::{CompletionSender, Context, Name, ServiceResult};
use cornelvalve_model::Moment;
use derive_more::Debug;
use tokio::sync::mpsc;

use crate::hop::FrameConnection;
use crate::limits::ConnectionKind;
use crate::messages::{PoolMessage, StatsMessage};
use crate::names::STATS;

/// Maximum number of idle connections kept for one address; further ones are closed when returned.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Interval at which expired and closed connections are removed.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Connection that can be kept in a pool.
pub(crate) trait Pooled: Send + 'static {
    /// Returns whether the connection is open and has no unread data.
    fn is_reusable(&self) -> bool;
}

impl Pooled for ClientConnection {
    fn is_reusable(&self) -> bool {
        self.is_idle()
    }
}

impl Pooled for FrameConnection {
    fn is_reusable(&self) -> bool {
        self.is_idle()
    }
}

/// Place for one open connection, which is free again when it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    /// Reports that the connection has closed when it is dropped.
    #[debug(skip)]
    _closed: CompletionSender<()>,
}

/// Connection with its place among the open ones.
#[derive(Debug)]
pub(crate) struct Lease<C> {
    connection: C,
    slot: Slot,
}

impl<C> Lease<C> {
    /// Creates a lease of a connection that was opened for the slot.
    pub(crate) fn new(connection: C, slot: Slot) -> Self {
        Self { connection, slot }
    }
}

impl<C> Deref for Lease<C> {
    type Target = C;

    fn deref(&self) -> &C {
        &self.connection
    }
}

impl<C> DerefMut for Lease<C> {
    fn deref_mut(&mut self) -> &mut C {
        &mut self.connection
    }
}

/// Answer of a pool to a request for a connection.
#[derive(Debug)]
pub(crate) enum Checkout<C> {
    /// An idle connection.
    Idle(Lease<C>),
    /// There is none, but one may be opened.
    Open(Slot),
    /// As many connections as may be open are in use.
    Full,
}

/// Idle connection with the moment at which it expires.
struct Idle<C> {
    lease: Lease<C>,
    expires: Moment,
}

/// Runs a pool service under the given name until it is asked to stop. At most `max_open`
/// connections are open, idle ones included.
///
/// A service that was restarted does not count the connections that are in use from before.
pub(crate) async fn run_pool<C: Pooled>(
    mut context: Context<PoolMessage<C>>,
    name: Name<PoolMessage<C>>,
    kind: ConnectionKind,
    max_open: usize,
) -> ServiceResult {
    let stats = context.registry.mailbox(STATS)?;
    context
        .subscribe_to_ticks(name, SWEEP_PERIOD, PoolMessage::Tick)
        .await?;
    let (closed_sender, mut closed) = mpsc::unbounded_channel();
    let mut pool = Pool {
        idle: HashMap::new(),
        open: 0,
        max_open,
        closed: closed_sender,
    };
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => return Ok(()),
            Some(()) = closed.recv() => {
                pool.open = pool.open.saturating_sub(1);
                continue;
            }
            message = context.inbox.recv() => message,
        };
        let now = context.clock.now();
        match message {
            Some(PoolMessage::Checkout { addr, reply }) => {
                let answer = pool.checkout(addr, now);
                if matches!(answer, Checkout::Full)
                    && let Err(e) = stats.try_send(StatsMessage::ConnectionRefused(kind))
                {
                    log::debug!("refused connection was not counted: {e}");
                }
                reply.send(answer);
            }
            Some(PoolMessage::Return {
                addr,
                connection,
                idle_for,
            }) => pool.add(addr, connection, now + idle_for),
            Some(PoolMessage::Tick(tick)) => pool.sweep(tick.now),
            None => return Ok(()),
        }
    }
}

/// State of a pool service.
struct Pool<C> {
    /// Idle connections by address, least recently used first.
    idle: HashMap<SocketAddr, Vec<Idle<C>>>,
    /// Number of open connections.
    open: usize,
    max_open: usize,
    /// Receives a message when a connection has closed.
    closed: mpsc::UnboundedSender<()>,
}

impl<C: Pooled> Pool<C> {
    /// Returns an idle connection or a slot for a new one.
    fn checkout(&mut self, addr: SocketAddr, now: Moment) -> Checkout<C> {
        if let Some(lease) = self.take(addr, now) {
            return Checkout::Idle(lease);
        }
        if self.open < self.max_open {
            self.open += 1;
            return Checkout::Open(Slot {
                _closed: CompletionSender::new(self.closed.clone(), ()),
            });
        }
        match self.take_oldest() {
            Some(lease) => Checkout::Open(lease.slot),
            None => Checkout::Full,
        }
    }

    /// Takes the most recently used connection that is still reusable, so that surplus connections
    /// expire.
    fn take(&mut self, addr: SocketAddr, now: Moment) -> Option<Lease<C>> {
        let list = self.idle.get_mut(&addr)?;
        while let Some(candidate) = list.pop() {
            if now < candidate.expires && candidate.lease.is_reusable() {
                return Some(candidate.lease);
            }
        }
        None
    }

    /// Takes the idle connection that expires first, of any address.
    fn take_oldest(&mut self) -> Option<Lease<C>> {
        let lists = self.idle.values_mut().filter(|list| !list.is_empty());
        let list = lists.min_by_key(|list| list.first().map(|i| i.expires))?;
        Some(list.remove(0).lease)
    }

    /// Adds an idle connection, unless there are enough for its address.
    fn add(&mut self, addr: SocketAddr, lease: Lease<C>, expires: Moment) {
        let list = self.idle.entry(addr).or_default();
        if list.len() < MAX_IDLE_PER_ADDRESS {
            list.push(Idle { lease, expires });
        }
    }

    /// Removes expired and closed connections.
    fn sweep(&mut self, now: Moment) {
        self.idle.retain(|_, list| {
            list.retain(|i| now < i.expires && i.lease.is_reusable());
            !list.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
