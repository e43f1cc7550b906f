//! Pool services, which keep idle connections for reuse.
//!
//! An exchange owns its connection and returns it to the pool only after it has completed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_http1::ClientConnection;
use cornelvalve_kernel::{Context, Name, ServiceResult};
use cornelvalve_model::Moment;

use crate::hop::FrameConnection;
use crate::messages::PoolMessage;

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

/// Idle connection with the moment at which it expires.
struct Idle<C> {
    connection: C,
    expires: Moment,
}

/// Runs a pool service under the given name until it is asked to stop.
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
                let expires = now + idle_for;
                let list = idle.entry(addr).or_default();
                if list.len() < MAX_IDLE_PER_ADDRESS {
                    list.push(Idle {
                        connection,
                        expires,
                    });
                }
            }
            Some(PoolMessage::Tick(tick)) => idle.retain(|_, list| {
                list.retain(|i| tick.now < i.expires && i.connection.is_reusable());
                !list.is_empty()
            }),
            None => return Ok(()),
        }
    }
}

/// Takes the most recently used connection that is still reusable, so that surplus connections
/// expire.
fn take<C: Pooled>(
    idle: &mut HashMap<SocketAddr, Vec<Idle<C>>>,
    addr: SocketAddr,
    now: Moment,
) -> Option<C> {
    let list = idle.get_mut(&addr)?;
    while let Some(candidate) = list.pop() {
        if now < candidate.expires && candidate.connection.is_reusable() {
            return Some(candidate.connection);
        }
    }
    None
}
