//! Stand-in for the append-only log service in which daemons store configuration changes.
//!
//! One task owns the streams and the pending reads. HTTP handlers send it messages and await its
//! replies.

mod faults;
mod http;
mod owner;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

pub use faults::{LogFaults, LoseBy};

/// Capacity of the owner's mailbox in messages; handlers wait while it is full.
const MAILBOX_CAPACITY: usize = 256;

/// Retention and rate limits of the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct LogOptions {
    /// Maximum number of records retained in each stream.
    pub retain_records: usize,
    /// Maximum age of a retained record.
    pub retain_age: Duration,
    /// Append calls accepted per second; further calls get status 429.
    pub append_rate: u32,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            retain_records: 1_000_000,
            retain_age: Duration::from_secs(24 * 60 * 60),
            append_rate: 500,
        }
    }
}

/// Entry point that starts the stand-in.
#[derive(Debug)]
pub struct LogStandIn;

impl LogStandIn {
    /// Starts the stand-in with default limits and returns its address and handle.
    ///
    /// Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(addr: SocketAddr) -> io::Result<(SocketAddr, LogHandle)> {
        Self::start_with(addr, LogOptions::default()).await
    }

    /// Starts the stand-in with the given limits and returns its address and handle.
    ///
    /// Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start_with(
        addr: SocketAddr,
        options: LogOptions,
    ) -> io::Result<(SocketAddr, LogHandle)> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (mailbox, inbox) = mpsc::channel(MAILBOX_CAPACITY);
        let owner = tokio::spawn(owner::run(inbox, options));
        let (stop, stopped) = oneshot::channel();
        let server = tokio::spawn(http::serve(listener, mailbox.clone(), stopped));
        let handle = LogHandle {
            mailbox,
            owner,
            server,
            stop,
        };
        Ok((addr, handle))
    }
}

/// Handle of a running stand-in; dropping it closes the listener.
#[derive(Debug)]
pub struct LogHandle {
    mailbox: mpsc::Sender<owner::Message>,
    owner: JoinHandle<()>,
    server: JoinHandle<io::Result<()>>,
    stop: oneshot::Sender<()>,
}

impl LogHandle {
    /// Replaces the active faults, as `PUT /faults` does.
    pub async fn set_faults(&self, faults: LogFaults) {
        let (reply, done) = oneshot::channel();
        let message = owner::Message::SetFaults { faults, reply };
        if self.mailbox.send(message).await.is_ok() {
            let _ = done.await;
        }
    }

    /// Stops the stand-in and waits until its listener is closed; all records are lost.
    pub async fn stop(self) {
        let _ = self.stop.send(());
        // Aborting the owner drops the pending reads; otherwise their handlers would delay the
        // server's graceful shutdown.
        self.owner.abort();
        let _ = self.server.await;
    }

    /// Waits until the server ends, which only an error or a panic causes.
    ///
    /// # Errors
    ///
    /// Returns the error of the server.
    pub async fn wait(self) -> io::Result<()> {
        self.server.await.map_err(io::Error::other)?
    }
}
