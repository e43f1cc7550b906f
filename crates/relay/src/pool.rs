//! Pools of idle connections. One exchange owns one connection until it has ended cleanly.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_http1::ClientConnection;
use cornelvalve_kernel::{Context, Name, ServiceResult};
use cornelvalve_model::Moment;

use crate::hop::FrameConnection;
use crate::messages::PoolMessage;

/// Idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Period of the search for idle connections that timed out.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Connection that a pool may keep.
pub(crate) trait Pooled: Send + 'static {
    /// Tells whether the connection is open and holds nothing unread.
    fn is_usable(&self) -> bool;
}

impl Pooled for ClientConnection {
    fn is_usable(&self) -> bool {
        self.is_idle()
    }
}

impl Pooled for FrameConnection {
    fn is_usable(&self) -> bool {
        self.is_idle()
    }
}

struct Idle<C> {
    connection: C,
    until: Moment,
}

/// Runs a pool service.
pub(crate) async fn run_pool<C: Pooled>(
    mut context: Context<PoolMessage<C>>,
    name: Name<PoolMessage<C>>,
) -> ServiceResult {
    context
        .subscribe_to_ticks(name, SWEEP_PERIOD, PoolMessage::Tick)
        .await?;
    let mut idle: HashMap<SocketAddr, Vec<Idle<C>>> = HashMap::new();
    loop {
        let message = tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => message,
        };
        let now = context.clock.now();
        match message {
            Some(PoolMessage::Checkout { addr, reply }) => reply.send(take(&mut idle, addr, now)),
            Some(PoolMessage::Return {
                addr,
                connection,
                idle_for,
            }) => {
                let until = now + idle_for;
                let list = idle.entry(addr).or_default();
                if list.len() < MAX_IDLE_PER_ADDRESS {
                    list.push(Idle { connection, until });
                }
            }
            Some(PoolMessage::Tick(tick)) => idle.retain(|_, list| {
                list.retain(|i| tick.now < i.until && i.connection.is_usable());
                !list.is_empty()
            }),
            None => return Ok(()),
        }
    }
}

/// Takes the most recently used open connection, so that surplus ones time out.
fn take<C: Pooled>(
    idle: &mut HashMap<SocketAddr, Vec<Idle<C>>>,
    addr: SocketAddr,
    now: Moment,
) -> Option<C> {
    let list = idle.get_mut(&addr)?;
    while let Some(candidate) = list.pop() {
        if now < candidate.until && candidate.connection.is_usable() {
            return Some(candidate.connection);
        }
    }
    None
}
