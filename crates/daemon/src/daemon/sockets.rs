//! Sockets of a daemon.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;

use super::{ListenAddrs, Result, StartError};
use crate::config::Listen;
use crate::listener;

/// Bound sockets, which stay open when a service that uses them restarts.
pub(super) struct Sockets {
    pub(super) callers: Arc<TcpListener>,
    pub(super) peers: Arc<TcpListener>,
    /// UDP socket of the gossip protocol, on the same port as `peers`.
    pub(super) gossip: Arc<UdpSocket>,
    pub(super) upstream: Arc<TcpListener>,
    pub(super) operators: Arc<TcpListener>,
    pub(super) metrics: Arc<TcpListener>,
    pub(super) addresses: ListenAddrs,
}

impl Sockets {
    /// Binds all listeners.
    pub(super) fn bind(listen: &Listen) -> Result<Self> {
        let (peers, gossip, peer_addr) = bind_peers(listen.peers)?;
        let (callers, caller_addr) = bind_tcp("callers", listen.callers)?;
        let (upstream, upstream_addr) = bind_tcp("upstream", listen.upstream)?;
        let (operators, operator_addr) = bind_tcp("operators", listen.operators)?;
        let (metrics, metrics_addr) = bind_tcp("metrics", listen.metrics)?;
        Ok(Self {
            callers,
            peers,
            gossip,
            upstream,
            operators,
            metrics,
            addresses: ListenAddrs {
                callers: caller_addr,
                peers: peer_addr,
                upstream: upstream_addr,
                operators: operator_addr,
                metrics: metrics_addr,
            },
        })
    }
}

/// Binds a TCP listener and returns it with its address.
fn bind_tcp(listener: &'static str, addr: SocketAddr) -> Result<(Arc<TcpListener>, SocketAddr)> {
    let error = |source| StartError::Bind {
        listener,
        addr,
        source,
    };
    let bound = listener::bind(addr).map_err(error)?;
    let local = bound.local_addr().map_err(error)?;
    Ok((Arc::new(bound), local))
}

/// Largest number of retries to find a port that is free for both TCP and UDP.
const PORT_RETRIES: u32 = 16;

/// Binds a TCP listener and a UDP socket to the same port.
///
/// For port 0, the operating system picks a port that is free for TCP; if it is in use for UDP,
/// another one is tried.
fn bind_peers(addr: SocketAddr) -> Result<(Arc<TcpListener>, Arc<UdpSocket>, SocketAddr)> {
    let mut retries = 0;
    loop {
        let (tcp, local) = bind_tcp("peers", addr)?;
        match UdpSocket::bind(local).and_then(|s| s.set_nonblocking(true).map(|()| s)) {
            Ok(udp) => return Ok((tcp, Arc::new(udp), local)),
            Err(_) if addr.port() == 0 && retries < PORT_RETRIES => retries += 1,
            Err(source) => {
                return Err(StartError::Bind {
                    listener: "peers (UDP)",
                    addr: local,
                    source,
                });
            }
        }
    }
}
