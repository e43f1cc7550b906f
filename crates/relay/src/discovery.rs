//! Discovery service: announces this daemon in the store and finds first peers there.
//!
//! The store names peers only for the first contact; membership keeps them from then on. A daemon
//! that knows nobody asks again.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use tokio::time::sleep;

use crate::messages::{DiscoveryMessage, MembersMessage};
use crate::names::MEMBERS;
use crate::ports::{ControlStore, PeerRecord};

/// Time that daemons which start together get to announce themselves before the first read.
const GATHER: Duration = Duration::from_millis(450);

/// Pause before the next try; doubles each time.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause between tries.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Runs the discovery service.
pub(crate) async fn run_discovery(
    mut context: Context<DiscoveryMessage>,
    store: Arc<dyn ControlStore>,
    own: PeerRecord,
    first_start: bool,
) -> ServiceResult {
    let members = context.registry.mailbox(MEMBERS)?;
    let mut joining = Joining {
        store,
        own,
        members,
        announced: false,
    };
    let mut pause = GATHER;
    let mut joined = false;
    joining.announce().await;
    if !first_start {
        // Others announced themselves long ago.
        joining.find_peers().await;
    }
    loop {
        tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => match message {
                Some(DiscoveryMessage::Joined) => joined = true,
                None => return Ok(()),
            },
            () = sleep(pause), if !joined || !joining.announced => {
                if !joining.announced {
                    joining.announce().await;
                }
                if !joined {
                    joining.find_peers().await;
                }
                pause = (pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
            }
        }
    }
}

struct Joining {
    store: Arc<dyn ControlStore>,
    own: PeerRecord,
    members: Mailbox<MembersMessage>,
    /// Whether the store holds the record of this daemon.
    announced: bool,
}

impl Joining {
    async fn announce(&mut self) {
        match self.store.announce(&self.own).await {
            Ok(()) => self.announced = true,
            Err(e) => log::warn!(event = "announce-failed"; "{e}; trying again"),
        }
    }

    async fn find_peers(&self) {
        let peers = match self.store.peers().await {
            Ok(peers) => peers,
            Err(e) => {
                log::warn!(event = "peers-not-found"; "{e}; trying again");
                return;
            }
        };
        let others = peers.iter().filter(|p| p.addr != self.own.addr);
        let seeds = others.map(|p| p.addr).collect();
        log::info!(event = "peers-found", count = peers.len(); "peers read from the store");
        if let Err(e) = self.members.send(MembersMessage::Seeds(seeds)).await {
            log::warn!(event = "seeds-dropped"; "{e}; trying again");
        }
    }
}
