//! Loads service: tells neighbours when the load of the upstream changes much.
//!
//! Answers carry the load too, but a daemon that gets few answers from an upstream would not see
//! that it has turned slow or is fast again.

use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::sync::Arc;

use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use cornelvalve_policy::LoadReport;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::hop::HopLoad;
use crate::messages::{LoadsMessage, RouterMessage};
use crate::names::ROUTER;

/// Largest datagram that is read.
const RECEIVE_BYTES: usize = 64;

/// Offset of the port for load datagrams from the port for other daemons.
pub(crate) const PORT_OFFSET: u16 = 1;

/// Load datagram.
#[derive(Debug, Serialize, Deserialize)]
struct Notice {
    /// Port for other daemons at the sender; with its address it names the sender.
    port: u16,
    load: HopLoad,
}

/// Runs the loads service.
pub(crate) async fn run_loads(
    mut context: Context<LoadsMessage>,
    socket: Arc<StdSocket>,
    own_port: u16,
) -> ServiceResult {
    let socket = UdpSocket::from_std(socket.try_clone()?)?;
    let router = context.registry.mailbox(ROUTER)?;
    let mut neighbours = Vec::new();
    let mut buffer = [0; RECEIVE_BYTES];
    loop {
        tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => match message {
                Some(LoadsMessage::Neighbours(addrs)) => neighbours = addrs,
                Some(LoadsMessage::Changed(load)) => {
                    tell(&socket, &neighbours, own_port, load).await;
                }
                None => return Ok(()),
            },
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    pass_on(&router, buffer.get(..length).unwrap_or_default(), from);
                }
                Err(e) => log::debug!("receive failed: {e}"),
            },
        }
    }
}

async fn tell(socket: &UdpSocket, neighbours: &[SocketAddr], port: u16, load: LoadReport) {
    let notice = Notice {
        port,
        load: load.into(),
    };
    let bytes = match postcard::to_stdvec(&notice) {
        Ok(bytes) => bytes,
        Err(e) => {
            log::warn!(event = "load-not-sent"; "{e}");
            return;
        }
    };
    for addr in neighbours {
        let to = SocketAddr::new(addr.ip(), addr.port().saturating_add(PORT_OFFSET));
        if let Err(e) = socket.send_to(&bytes, to).await {
            log::debug!("send to {to} failed: {e}");
        }
    }
}

fn pass_on(router: &Mailbox<RouterMessage>, datagram: &[u8], from: SocketAddr) {
    let notice: Notice = match postcard::from_bytes(datagram) {
        Ok(notice) => notice,
        Err(e) => {
            log::debug!("datagram from {from} was dropped: {e}");
            return;
        }
    };
    let report = RouterMessage::Report {
        addr: SocketAddr::new(from.ip(), notice.port),
        load: notice.load.into(),
    };
    if let Err(e) = router.try_send(report) {
        log::debug!("{e}; the next report replaces this one");
    }
}
