//! Notices service: informs other daemons of significant changes of the local upstream's load, of
//! requests that may have crashed it, and of small changes of the configuration. Each notice is one
//! UDP datagram.
//!
//! Responses carry the load too, but a daemon that gets few responses from an upstream would not
//! notice that it has become slow or recovered. A lost notice is not sent again: the next change of
//! the load supersedes it, and the next crash reports the same request.

#[cfg(test)]
mod tests;

use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::sync::Arc;

use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use cornelvalve_model::{Fingerprint, Region};
use cornelvalve_policy::{LoadReport, SharedSuspect};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::hop::{ControlUpdate, HopLoad};
use crate::messages::{ControlMessage, GuardMessage, NoticesMessage, Recipient, RouterMessage};
use crate::names::{CONTROL, GUARD, ROUTER};

/// Size of the receive buffer in bytes. The notices of other daemons are smaller; a longer datagram
/// is truncated and then dropped as malformed.
const MAX_DATAGRAM_BYTES: usize = 1200;

/// Maximum number of suspects in one notice, which must fit into [`MAX_DATAGRAM_BYTES`]; each
/// suspect takes up to 60 bytes.
const MAX_SUSPECTS: usize = 12;

/// Maximum number of daemons that are informed of the load, so that the cost does not grow with the
/// size of the region, which may have thousands of VMs. The other daemons learn the load from
/// responses.
const MAX_LOAD_RECIPIENTS: usize = 64;

/// Number of daemons of the region to which a change of the configuration is sent. They send it on,
/// so it reaches almost all daemons; the others fetch it.
const CONTROL_FANOUT: usize = 4;

/// Offset of the UDP port for notices from the TCP port on which a daemon accepts other daemons.
pub(crate) const NOTICES_PORT_OFFSET: u16 = 1;

/// Datagram that one daemon sends to another.
#[derive(Debug, Serialize, Deserialize)]
struct Notice {
    /// Port on which the sender accepts other daemons. Together with the source IP address it
    /// identifies the sender.
    port: u16,
    body: NoticeBody,
}

/// Content of a notice.
#[derive(Debug, Serialize, Deserialize)]
enum NoticeBody {
    /// Load of the sender's upstream.
    Load(HopLoad),
    /// Requests that may have crashed the sender's upstream.
    Suspects(Vec<SharedSuspect>),
    /// Latest change of the sender's configuration.
    Control(Box<ControlUpdate>),
}

/// Runs the notices service until it is asked to stop.
///
/// `port` is the port on which this daemon accepts other daemons.
///
/// # Errors
///
/// Returns an error if the socket cannot be set up, or if the router, the guard or the control
/// service does not exist.
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
        control: context.registry.mailbox(CONTROL)?,
        region,
        port,
        seed,
        recipients: Vec::new(),
        load_recipients: Vec::new(),
    };
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
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
                Err(e) => log::debug!("receiving a notice failed: {e}"),
            },
        }
    }
}

/// State of the notices service.
struct NoticesService {
    socket: UdpSocket,
    router: Mailbox<RouterMessage>,
    guard: Mailbox<GuardMessage>,
    control: Mailbox<ControlMessage>,
    region: Region,
    port: u16,
    /// Seed for the choice of `load_recipients`, different in each daemon.
    seed: u64,
    /// All daemons that accept requests.
    recipients: Vec<Recipient>,
    /// Addresses of the daemons that are informed of the load.
    load_recipients: Vec<SocketAddr>,
}

impl NoticesService {
    /// Handles one message.
    async fn handle(&mut self, message: NoticesMessage) {
        match message {
            NoticesMessage::Recipients(recipients) => {
                self.load_recipients =
                    choose_recipients(self.seed, &self.region, &recipients, MAX_LOAD_RECIPIENTS);
                self.recipients = recipients;
            }
            NoticesMessage::Load(load) => self.send_load(load).await,
            NoticesMessage::CrashSuspects(suspects) => self.send_suspects(&suspects).await,
            NoticesMessage::Control(update) => self.send_change(update).await,
        }
    }

    /// Sends the load to the chosen daemons of this region.
    async fn send_load(&self, load: LoadReport) {
        let Some(datagram) = self.encode(NoticeBody::Load(load.into())) else {
            return;
        };
        for addr in &self.load_recipients {
            self.send(&datagram, *addr).await;
        }
    }

    /// Sends each daemon those suspects whose home regions include the region of that daemon.
    async fn send_suspects(&self, suspects: &[SharedSuspect]) {
        for recipient in &self.recipients {
            let allowed = suspects
                .iter()
                .filter(|s| s.regions.allows(&recipient.region));
            let allowed: Vec<SharedSuspect> = allowed.take(MAX_SUSPECTS).cloned().collect();
            if allowed.is_empty() {
                continue;
            }
            if let Some(datagram) = self.encode(NoticeBody::Suspects(allowed)) {
                self.send(&datagram, recipient.addr).await;
            }
        }
    }

    /// Sends a change of the configuration to a few daemons of this region, different ones for each
    /// change, unless it is too large for a datagram.
    async fn send_change(&self, update: Box<ControlUpdate>) {
        let seed = self.seed.wrapping_add(update.position.offset.0);
        let Some(datagram) = self.encode(NoticeBody::Control(update)) else {
            return;
        };
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return;
        }
        for addr in choose_recipients(seed, &self.region, &self.recipients, CONTROL_FANOUT) {
            self.send(&datagram, addr).await;
        }
    }

    /// Encodes a notice; logs a failure and returns `None`.
    fn encode(&self, body: NoticeBody) -> Option<Vec<u8>> {
        let port = self.port;
        match postcard::to_stdvec(&Notice { port, body }) {
            Ok(bytes) => Some(bytes),
            Err(e) => {
                log::warn!(event = "notice-not-sent"; "encoding a notice failed: {e}");
                None
            }
        }
    }

    /// Sends a datagram to the notices port of the daemon at `addr`.
    async fn send(&self, datagram: &[u8], addr: SocketAddr) {
        let to = SocketAddr::new(addr.ip(), addr.port().saturating_add(NOTICES_PORT_OFFSET));
        if let Err(e) = self.socket.send_to(datagram, to).await {
            log::debug!("sending a notice to {to} failed: {e}");
        }
    }

    /// Decodes a datagram and passes its content on to the router or the guard.
    fn receive(&self, datagram: &[u8], from: SocketAddr) {
        let notice: Notice = match postcard::from_bytes(datagram) {
            Ok(notice) => notice,
            Err(e) => {
                log::debug!("malformed notice from {from} was dropped: {e}");
                return;
            }
        };
        let addr = SocketAddr::new(from.ip(), notice.port);
        let forwarded = match notice.body {
            NoticeBody::Load(load) => self.router.try_send(RouterMessage::PeerLoad {
                addr,
                load: load.into(),
            }),
            NoticeBody::Control(_) if self.recipients.iter().all(|r| r.addr != addr) => {
                log::debug!("change of the configuration from {addr} was dropped: not a member");
                return;
            }
            NoticeBody::Control(update) => self
                .control
                .try_send(ControlMessage::Notice { addr, update }),
            NoticeBody::Suspects(suspects) => {
                self.guard.try_send(GuardMessage::CrashSuspects(suspects))
            }
        };
        if let Err(e) = forwarded {
            log::debug!(
                "notice from {from} was dropped: {e}; the next one brings the current state"
            );
        }
    }
}

/// Chooses at most `count` daemons of the region.
///
/// Uses rendezvous hashing, so that every daemon is chosen by about as many others, and a change of
/// the members changes few choices.
fn choose_recipients(
    seed: u64,
    region: &Region,
    recipients: &[Recipient],
    count: usize,
) -> Vec<SocketAddr> {
    let in_region = recipients.iter().filter(|r| r.region == *region);
    let mut in_region: Vec<SocketAddr> = in_region.map(|r| r.addr).collect();
    if in_region.len() > count {
        let rank = |addr: &SocketAddr| {
            let addr = addr.to_string();
            Fingerprint::of(&[&seed.to_le_bytes(), addr.as_bytes()])
        };
        in_region.sort_by_cached_key(rank);
        in_region.truncate(count);
    }
    in_region
}
