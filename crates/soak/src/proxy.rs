//! Loopback proxy that misbehaves on demand.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Bytes read at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// What a proxy does with the connections that it has and gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// Passes all bytes on.
    Open,
    /// Passes all bytes on after a delay.
    Delayed(Duration),
    /// Passes on only what goes to the server.
    OneWay,
    /// Passes nothing on and keeps the connections.
    Silent,
    /// Ends all connections and every new one.
    Reset,
}

/// Running proxy; it ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Proxy {
    state: watch::Sender<LinkState>,
    server: watch::Sender<SocketAddr>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy between an address and a server.
    pub(crate) async fn start(listen: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let (state, receiver) = watch::channel(LinkState::Open);
        let (server, current) = watch::channel(server);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = *current.borrow();
                tokio::spawn(pass(stream, server, receiver.clone()));
            }
        });
        Ok(Self {
            state,
            server,
            task,
        })
    }

    /// Sends new connections to another server.
    pub(crate) fn retarget(&self, server: SocketAddr) {
        self.server.send_replace(server);
    }

    pub(crate) fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn pass(client: TcpStream, server: SocketAddr, state: watch::Receiver<LinkState>) {
    if *state.borrow() == LinkState::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let mut reset = state.clone();
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    // A proxy whose owner has gone ends its connections too.
    tokio::select! {
        _ = reset.wait_for(|s| *s == LinkState::Reset) => {}
        () = copy(client_read, server_write, state.clone(), true) => {}
        () = copy(server_read, client_write, state, false) => {}
    }
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut state: watch::Receiver<LinkState>,
    to_server: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let passes = |s: &LinkState| match s {
            LinkState::Open | LinkState::Delayed(_) | LinkState::Reset => true,
            LinkState::OneWay => to_server,
            LinkState::Silent => false,
        };
        if state.wait_for(passes).await.is_err() {
            return;
        }
        let now = *state.borrow();
        if let LinkState::Delayed(delay) = now {
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
