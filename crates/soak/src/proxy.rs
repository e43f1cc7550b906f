//! TCP proxy on loopback that can delay, block or close its connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Maximum number of bytes per read.
const BUFFER_BYTES: usize = 16 * 1024;

/// How a proxy treats its open and its new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProxyMode {
    /// Forwards all bytes.
    Forward,
    /// Forwards all bytes after a delay.
    Delay(Duration),
    /// Forwards bytes to the server only and keeps the connections open.
    BlockResponses,
    /// Forwards nothing and keeps the connections open.
    BlockAll,
    /// Closes all connections, and new ones as soon as they are accepted.
    Close,
}

/// Handle of a running proxy; dropping it ends the proxy and closes its connections.
#[derive(Debug)]
pub(crate) struct Proxy {
    mode: watch::Sender<ProxyMode>,
    /// Server of new connections.
    server: watch::Sender<SocketAddr>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy that accepts connections on `listen` and forwards them to `server`.
    pub(crate) async fn start(listen: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let (mode, mode_receiver) = watch::channel(ProxyMode::Forward);
        let (server, server_receiver) = watch::channel(server);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = *server_receiver.borrow();
                tokio::spawn(forward(stream, server, mode_receiver.clone()));
            }
        });
        Ok(Self { mode, server, task })
    }

    /// Forwards new connections to another server.
    pub(crate) fn set_server(&self, server: SocketAddr) {
        self.server.send_replace(server);
    }

    pub(crate) fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Forwards a connection until either side closes it, the mode turns to [`ProxyMode::Close`] or the
/// proxy is dropped.
async fn forward(client: TcpStream, server: SocketAddr, mode: watch::Receiver<ProxyMode>) {
    if *mode.borrow() == ProxyMode::Close {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let mut close = mode.clone();
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    // Waiting for the mode also ends when the proxy is dropped, because that drops the sender.
    tokio::select! {
        _ = close.wait_for(|m| *m == ProxyMode::Close) => {}
        () = copy(client_read, server_write, mode.clone(), true) => {}
        () = copy(server_read, client_write, mode, false) => {}
    }
}

/// Copies bytes in one direction as the mode says, until an error or the end of the stream.
async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut mode: watch::Receiver<ProxyMode>,
    to_server: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        // `Close` counts as forwarding: `forward` closes the connection, so nothing is blocked
        // here.
        let may_forward = |m: &ProxyMode| match m {
            ProxyMode::Forward | ProxyMode::Delay(_) | ProxyMode::Close => true,
            ProxyMode::BlockResponses => to_server,
            ProxyMode::BlockAll => false,
        };
        if mode.wait_for(may_forward).await.is_err() {
            return;
        }
        let current = *mode.borrow();
        if let ProxyMode::Delay(delay) = current {
            sleep(delay).await;
        }
        let Some(bytes) = buffer.get(..length) else {
            return;
        };
        if to.write_all(bytes).await.is_err() {
            return;
        }
    }
}
