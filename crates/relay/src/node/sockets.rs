//! Sockets of a daemon.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cornelvalve_http1::bind;
use tokio::net::TcpListener;

use super::{Listen, Result, StartError};
use crate::notices::NOTICES_PORT_OFFSET;

/// Bound sockets, which stay open when the services that use them restart.
pub(super) struct Sockets {
    pub(super) callers: Arc<TcpListener>,
    pub(super) check_ins: Arc<TcpListener>,
    pub(super) ready: Arc<TcpListener>,
    pub(super) metrics: Arc<TcpListener>,
    pub(super) peers: Arc<TcpListener>,
    pub(super) members: Arc<UdpSocket>,
    pub(super) notices: Arc<UdpSocket>,
}

impl Sockets {
    pub(super) fn bind(listen: &Listen) -> Result<Self> {
        let notices = SocketAddr::new(
            listen.peers.ip(),
            listen.peers.port().saturating_add(NOTICES_PORT_OFFSET),
        );
        Ok(Self {
            callers: bind_tcp("callers", listen.callers)?,
            check_ins: bind_tcp("check-ins", listen.check_ins)?,
            ready: bind_tcp("ready", listen.ready)?,
            metrics: bind_tcp("metrics", listen.metrics)?,
            peers: bind_tcp("peers", listen.peers)?,
            members: bind_udp("members", listen.peers)?,
            notices: bind_udp("notices", notices)?,
        })
    }
}

fn bind_tcp(listener: &'static str, addr: SocketAddr) -> Result<Arc<TcpListener>> {
    let bound = bind(addr).map_err(|source| StartError {
        listener,
        addr,
        source,
    })?;
    Ok(Arc::new(bound))
}

fn bind_udp(listener: &'static str, addr: SocketAddr) -> Result<Arc<UdpSocket>> {
    let bound = UdpSocket::bind(addr).and_then(|s| s.set_nonblocking(true).map(|()| s));
    let bound = bound.map_err(|source| StartError {
        listener,
        addr,
        source,
    })?;
    Ok(Arc::new(bound))
}
