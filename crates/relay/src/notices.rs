//! Notices service: tells other daemons by datagram when the load of the upstream changes much, and
//! which requests may have crashed it.
//!
//! Answers carry the load too, but a daemon that gets few answers from an upstream would not see
//! that it has turned slow or is fast again. A notice that is lost is not sent again: the next change
//! of the load replaces it, and the next crash tells of the same request.

#[cfg(test)]
mod tests;

use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::sync::Arc;

use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use cornelvalve_model::{Fingerprint, Region};
use cornelvalve_policy::{LoadReport, SharedSuspect};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::hop::HopLoad;
use crate::messages::{GuardMessage, NoticesMessage, Recipient, RouterMessage};
use crate::names::{GUARD, ROUTER};

/// Largest datagram that is read.
const RECEIVE_BYTES: usize = 1200;

/// Suspects in one notice; each one takes up to 60 bytes.
const MAX_SUSPECTS: usize = 12;

/// Daemons that are told of the load. Their number is bounded, so that telling costs the same in a
/// region of thousands of VMs; the others learn from answers.
const MAX_LOAD_RECIPIENTS: usize = 64;

/// Offset of the port for notices from the port for other daemons.
pub(crate) const NOTICES_PORT_OFFSET: u16 = 1;

/// Notice as it crosses the network.
#[derive(Debug, Serialize, Deserialize)]
struct Notice {
    /// Port for other daemons at the sender; with its address it names the sender.
    port: u16,
    news: News,
}

#[derive(Debug, Serialize, Deserialize)]
enum News {
    Load(HopLoad),
    Suspects(Vec<SharedSuspect>),
}

/// Runs the notices service.
pub(crate) async fn run_notices(
    mut context: Context<NoticesMessage>,
    socket: Arc<StdSocket>,
    region: Region,
    port: u16,
    seed: u64,
) -> ServiceResult {
    let mut service = NoticesService {
        socket: UdpSocket::from_std(socket.try_clone()?)?,
        router: context.registry.mailbox(ROUTER)?,
        guard: context.registry.mailbox(GUARD)?,
        region,
        port,
        seed,
        recipients: Vec::new(),
        told_of_load: Vec::new(),
    };
    let mut buffer = [0; RECEIVE_BYTES];
    loop {
        tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => match message {
                Some(message) => service.handle(message).await,
                None => return Ok(()),
            },
            received = service.socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    service.receive(buffer.get(..length).unwrap_or_default(), from);
                }
                Err(e) => log::debug!("receive failed: {e}"),
            },
        }
    }
}

struct NoticesService {
    socket: UdpSocket,
    router: Mailbox<RouterMessage>,
    guard: Mailbox<GuardMessage>,
    region: Region,
    port: u16,
    /// Another one in each daemon.
    seed: u64,
    recipients: Vec<Recipient>,
    /// Addresses of those that are told of the load.
    told_of_load: Vec<SocketAddr>,
}

impl NoticesService {
    async fn handle(&mut self, message: NoticesMessage) {
        match message {
            NoticesMessage::Recipients(recipients) => {
                self.told_of_load = told_of_load(self.seed, &self.region, &recipients);
                self.recipients = recipients;
            }
            NoticesMessage::Load(load) => self.tell_load(load).await,
            NoticesMessage::CrashSuspects(suspects) => self.tell_suspects(&suspects).await,
        }
    }

    /// Tells daemons of the own region the load.
    async fn tell_load(&self, load: LoadReport) {
        let Some(datagram) = self.encode(News::Load(load.into())) else {
            return;
        };
        for addr in &self.told_of_load {
            self.send(&datagram, *addr).await;
        }
    }

    /// Tells each daemon the suspects that its region may know about.
    async fn tell_suspects(&self, suspects: &[SharedSuspect]) {
        for recipient in &self.recipients {
            let allowed = suspects
                .iter()
                .filter(|s| s.regions.allows(&recipient.region));
            let allowed: Vec<SharedSuspect> = allowed.take(MAX_SUSPECTS).cloned().collect();
            if allowed.is_empty() {
                continue;
            }
            if let Some(datagram) = self.encode(News::Suspects(allowed)) {
                self.send(&datagram, recipient.addr).await;
            }
        }
    }

    fn encode(&self, news: News) -> Option<Vec<u8>> {
        let port = self.port;
        match postcard::to_stdvec(&Notice { port, news }) {
            Ok(bytes) => Some(bytes),
            Err(e) => {
                log::warn!(event = "notice-not-sent"; "{e}");
                None
            }
        }
    }

    async fn send(&self, datagram: &[u8], addr: SocketAddr) {
        let to = SocketAddr::new(addr.ip(), addr.port().saturating_add(NOTICES_PORT_OFFSET));
        if let Err(e) = self.socket.send_to(datagram, to).await {
            log::debug!("send to {to} failed: {e}");
        }
    }

    fn receive(&self, datagram: &[u8], from: SocketAddr) {
        let notice: Notice = match postcard::from_bytes(datagram) {
            Ok(notice) => notice,
            Err(e) => {
                log::debug!("datagram from {from} was dropped: {e}");
                return;
            }
        };
        let passed_on = match notice.news {
            News::Load(load) => self.router.try_send(RouterMessage::PeerLoad {
                addr: SocketAddr::new(from.ip(), notice.port),
                load: load.into(),
            }),
            News::Suspects(suspects) => self.guard.try_send(GuardMessage::CrashSuspects(suspects)),
        };
        if let Err(e) = passed_on {
            log::debug!("{e}; a later notice replaces this one");
        }
    }
}

/// Chooses the daemons of the region that are told of the load: by rendezvous hashing, so that every
/// daemon is told by about as many others, and a change of the members changes few choices.
fn told_of_load(seed: u64, region: &Region, recipients: &[Recipient]) -> Vec<SocketAddr> {
    let near = recipients.iter().filter(|r| r.region == *region);
    let mut near: Vec<SocketAddr> = near.map(|r| r.addr).collect();
    if near.len() > MAX_LOAD_RECIPIENTS {
        let rank = |addr: &SocketAddr| {
            let addr = addr.to_string();
            Fingerprint::of(&[&seed.to_le_bytes(), addr.as_bytes()])
        };
        near.sort_by_cached_key(rank);
        near.truncate(MAX_LOAD_RECIPIENTS);
    }
    near
}
