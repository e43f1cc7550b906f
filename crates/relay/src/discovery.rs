//! Discovery service: announces this daemon in the platform's store, which serves as a registry of
//! daemons, and discovers the first peers there.
//!
//! The store is used only to find peers to contact first; from then on the membership service keeps
//! track of them. A daemon that knows no peer reads the store again. After a restore of the store,
//! which may have lost the record of this daemon, it is written again.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use cornelvalve_model::StoreEra;
use tokio::time::{Instant, sleep_until};

use crate::messages::{DiscoveryMessage, MembersMessage};
use crate::names::MEMBERS;
use crate::ports::{ControlStore, PeerRecord};
use crate::spread::spread;

/// Delay before the first periodic read of peers, in which daemons that start at the same time can
/// announce themselves.
const INITIAL_DELAY: Duration = Duration::from_millis(450);

/// Shortest pause between attempts to announce this daemon and to find peers; doubles each time.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause between attempts.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Announcements per second of all daemons together after the store was restored, well below the
/// number of writes that it accepts.
const ANNOUNCEMENTS_PER_SECOND: u32 = 100;

/// Shortest time over which the daemons announce themselves again.
const MIN_ANNOUNCE_TIME: Duration = Duration::from_secs(1);

/// Runs the discovery service until it is asked to stop.
///
/// With `bootstrap`, the whole system starts for the first time and the other daemons may not have
/// announced themselves yet. Without it, the peers are also read at once. `seed` is different in
/// each daemon.
///
/// # Errors
///
/// Returns an error if the membership service does not exist.
pub(crate) async fn run_discovery(
    mut context: Context<DiscoveryMessage>,
    store: Arc<dyn ControlStore>,
    own: PeerRecord,
    bootstrap: bool,
    seed: u64,
) -> ServiceResult {
    let members = context.registry.mailbox(MEMBERS)?;
    let mut discovery = Discovery {
        store,
        own,
        members,
        announced: None,
        era: StoreEra::default(),
    };
    let mut pause = INITIAL_DELAY;
    let mut due = Instant::now() + pause;
    let mut peers = 0;
    discovery.announce().await;
    if !bootstrap {
        // The other daemons have announced themselves before, so there is no need to wait.
        discovery.find_peers().await;
    }
    loop {
        let joined = peers > 0;
        tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => match message {
                Some(DiscoveryMessage::Peers(count)) => peers = count,
                Some(DiscoveryMessage::StoreEra(era)) => {
                    discovery.era = era;
                    if discovery.announced.is_some() {
                        due = Instant::now() + spread(seed, era.0, announce_time(peers));
                        pause = MIN_PAUSE;
                    }
                }
                None => return Ok(()),
            },
            () = sleep_until(due), if !joined || discovery.must_announce() => {
                if discovery.must_announce() {
                    discovery.announce().await;
                }
                if !joined {
                    discovery.find_peers().await;
                }
                pause = (pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
                due = Instant::now() + pause;
            }
        }
    }
}

/// Returns the time over which this daemon and its `peers` announce themselves again.
fn announce_time(peers: u64) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    MIN_ANNOUNCE_TIME.max(Duration::from_secs(1) * peers / ANNOUNCEMENTS_PER_SECOND)
}

/// Access to the store for announcing this daemon and finding peers.
struct Discovery {
    store: Arc<dyn ControlStore>,
    own: PeerRecord,
    members: Mailbox<MembersMessage>,
    /// Era in which the store confirmed the record of this daemon; `None` before the first one.
    announced: Option<StoreEra>,
    /// Latest era of the store that is known.
    era: StoreEra,
}

impl Discovery {
    /// Returns whether the store may lack the record of this daemon.
    fn must_announce(&self) -> bool {
        self.announced.is_none_or(|era| era < self.era)
    }

    /// Writes the record of this daemon to the store.
    async fn announce(&mut self) {
        match self.store.announce(&self.own).await {
            Ok(era) => {
                log::info!(event = "announced", era = era.0; "this daemon is announced in the store");
                self.announced = Some(era);
            }
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

#[cfg(test)]
mod tests;
