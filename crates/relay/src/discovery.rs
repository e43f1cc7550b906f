//! Discovery service: announces this daemon in the platform's store, which serves as a registry of
//! daemons, and discovers the first peers there.
//!
//! The store is used only to find peers to contact first; from then on the membership service keeps
//! track of them. A daemon that knows no peer reads the store again.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use tokio::time::sleep;

use crate::messages::{DiscoveryMessage, MembersMessage};
use crate::names::MEMBERS;
use crate::ports::{ControlStore, PeerRecord};

/// Delay before the first periodic read of peers, in which daemons that start at the same time can
/// announce themselves.
const INITIAL_DELAY: Duration = Duration::from_millis(450);

/// Shortest pause between attempts to announce this daemon and to find peers; doubles each time.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause between attempts.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Runs the discovery service until it is asked to stop.
///
/// With `bootstrap`, the whole system starts for the first time and the other daemons may not have
/// announced themselves yet. Without it, the peers are also read at once.
///
/// # Errors
///
/// Returns an error if the membership service does not exist.
pub(crate) async fn run_discovery(
    mut context: Context<DiscoveryMessage>,
    store: Arc<dyn ControlStore>,
    own: PeerRecord,
    bootstrap: bool,
) -> ServiceResult {
    let members = context.registry.mailbox(MEMBERS)?;
    let mut discovery = Discovery {
        store,
        own,
        members,
        announced: false,
    };
    let mut pause = INITIAL_DELAY;
    let mut joined = false;
    discovery.announce().await;
    if !bootstrap {
        // The other daemons have announced themselves before, so there is no need to wait.
        discovery.find_peers().await;
    }
    loop {
        tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => match message {
                Some(DiscoveryMessage::Joined) => joined = true,
                None => return Ok(()),
            },
            () = sleep(pause), if !joined || !discovery.announced => {
                if !discovery.announced {
                    discovery.announce().await;
                }
                if !joined {
                    discovery.find_peers().await;
                }
                pause = (pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
            }
        }
    }
}

/// Access to the store for announcing this daemon and finding peers.
struct Discovery {
    store: Arc<dyn ControlStore>,
    own: PeerRecord,
    members: Mailbox<MembersMessage>,
    /// Whether the store holds the record of this daemon.
    announced: bool,
}

impl Discovery {
    /// Writes the record of this daemon to the store.
    async fn announce(&mut self) {
        match self.store.announce(&self.own).await {
            Ok(()) => self.announced = true,
            Err(e) => {
                log::warn!(event = "announce-failed"; "announcing this daemon failed: {e}; retrying")
            }
        }
    }

    /// Reads the announced daemons and passes the others on to the membership service.
    async fn find_peers(&self) {
        let peers = match self.store.peers().await {
            Ok(peers) => peers,
            Err(e) => {
                log::warn!(event = "peers-not-found"; "reading the peers from the store failed: {e}; retrying");
                return;
            }
        };
        let others = peers.iter().filter(|p| p.addr != self.own.addr);
        let seeds = others.map(|p| p.addr).collect();
        log::info!(event = "peers-found", count = peers.len(); "peers read from the store");
        if let Err(e) = self.members.send(MembersMessage::Seeds(seeds)).await {
            log::warn!(event = "seeds-dropped"; "passing the peers on to the membership service failed: {e}; retrying");
        }
    }
}
