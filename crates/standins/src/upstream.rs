//! Stand-in for an upstream: announces itself to the daemon on its VM and serves any path.
//!
//! One task owns the counts and the faults, one the listener and its connections, and one the lease
//! of the announcement. HTTP handlers send messages to the first and await its replies.

mod announce;
mod faults;
mod http;
mod owner;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cornelvalve_model::{Incarnation, ServiceName};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

pub use faults::{ColdStart, UpstreamFaults};
pub use owner::ConcurrencyStats;

use announce::Announcer;

/// Options of an upstream stand-in.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address of the daemon's upstream listener; `None` announces nothing.
    pub daemon: Option<SocketAddr>,
    /// Loopback port to listen on; 0 selects a free port.
    pub port: u16,
    /// Requests that the upstream can run at the same time when warm.
    pub slots: u16,
    /// Number of this start of the upstream; must grow with each start.
    pub incarnation: Incarnation,
    /// Time after which the daemon forgets the upstream unless the lease is renewed.
    pub lease: Duration,
    /// Faults that are active from the start, such as a cold start.
    pub faults: UpstreamFaults,
}

impl UpstreamOptions {
    /// Creates options with ten slots and a lease of three seconds.
    #[must_use]
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            daemon: None,
            port: 0,
            slots: 10,
            incarnation: Incarnation(1),
            lease: Duration::from_secs(3),
            faults: UpstreamFaults::default(),
        }
    }
}

/// How an upstream has exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamExit {
    /// It was shut down gracefully.
    ShutDown,
    /// It crashed because of a fault, a call to [`UpstreamHandle::crash`] or a dropped handle.
    Crashed,
}

/// Entry point that starts the stand-in.
#[derive(Debug)]
pub struct UpstreamStandIn;

impl UpstreamStandIn {
    /// Starts the stand-in on a loopback port and starts to announce it.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the port.
    pub async fn start(options: UpstreamOptions) -> io::Result<UpstreamHandle> {
        let listener = TcpListener::bind(("127.0.0.1", options.port)).await?;
        let addr = listener.local_addr()?;
        let (exit_sender, exit) = watch::channel(None);
        let (mailbox, inbox) = mpsc::unbounded_channel();
        let state = owner::State::new(options.slots, options.faults.clone());
        tokio::spawn(owner::run(inbox, state, exit_sender.clone()));
        let server = tokio::spawn(http::serve(listener, mailbox.clone(), exit.clone()));
        let announcer = Announcer::new(&options, addr.port());
        let lease_task = tokio::spawn(announcer.clone().announce_until_exit(exit.clone()));
        Ok(UpstreamHandle {
            addr,
            mailbox,
            announcer,
            exit_sender,
            exit,
            server,
            lease_task,
        })
    }
}

/// Handle of a running stand-in; dropping it crashes the stand-in.
#[derive(Debug)]
pub struct UpstreamHandle {
    addr: SocketAddr,
    mailbox: mpsc::UnboundedSender<owner::Message>,
    announcer: Announcer,
    exit_sender: watch::Sender<Option<UpstreamExit>>,
    /// `None` while the stand-in runs.
    exit: watch::Receiver<Option<UpstreamExit>>,
    server: JoinHandle<()>,
    lease_task: JoinHandle<()>,
}

impl UpstreamHandle {
    /// Returns the address on which the upstream accepts requests.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the active faults, as `PUT /_standin/faults` does.
    pub async fn set_faults(&self, faults: UpstreamFaults) {
        self.call(|reply| owner::Message::SetFaults(faults, reply))
            .await;
    }

    /// Returns the number of runs by `x-request-id`, as `GET /_standin/runs` does.
    pub async fn run_counts(&self) -> BTreeMap<String, u64> {
        self.call(owner::Message::RunCounts)
            .await
            .unwrap_or_default()
    }

    /// Returns the concurrency statistics, as `GET /_standin/peak` does.
    pub async fn concurrency_stats(&self) -> ConcurrencyStats {
        self.call(owner::Message::ConcurrencyStats)
            .await
            .unwrap_or_default()
    }

    /// Announces that the upstream is draining, so that the daemon sends it no new requests.
    ///
    /// # Errors
    ///
    /// Returns the error of the call to the daemon.
    pub async fn drain(&self) -> io::Result<()> {
        self.announcer.drain().await
    }

    /// Shuts down gracefully: announces the drain, finishes the running requests and withdraws the
    /// announcement.
    ///
    /// Errors of the calls to the daemon are ignored, because the daemon may have ended already.
    ///
    /// # Errors
    ///
    /// Returns an error if requests are still running after `timeout`.
    pub async fn shut_down(mut self, timeout: Duration) -> io::Result<()> {
        let _ = self.announcer.drain().await;
        let idle = self.call(owner::Message::WaitUntilIdle);
        let result = tokio::time::timeout(timeout, idle).await;
        // A renewal after the withdrawal would announce the upstream again.
        self.lease_task.abort();
        let _ = (&mut self.lease_task).await;
        let _ = self.announcer.withdraw().await;
        let _ = self.exit_sender.send(Some(UpstreamExit::ShutDown));
        let _ = (&mut self.server).await;
        match result {
            Ok(_) => Ok(()),
            Err(_) => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "requests were still running after the drain timeout; increase the timeout",
            )),
        }
    }

    /// Ends the stand-in like a killed process: closes its connections at once and leaves the
    /// announcement in place.
    pub async fn crash(mut self) {
        let _ = self.exit_sender.send(Some(UpstreamExit::Crashed));
        let _ = (&mut self.server).await;
    }

    /// Waits until the stand-in has exited and returns how.
    pub async fn wait(&mut self) -> UpstreamExit {
        let exit = self.exit.wait_for(Option::is_some).await;
        exit.ok()
            .and_then(|exit| *exit)
            .unwrap_or(UpstreamExit::Crashed)
    }

    /// Sends a message to the owner and returns its reply, or `None` if the owner has ended.
    async fn call<R>(
        &self,
        message: impl FnOnce(oneshot::Sender<R>) -> owner::Message,
    ) -> Option<R> {
        let (sender, reply) = oneshot::channel();
        self.mailbox.send(message(sender)).ok()?;
        reply.await.ok()
    }
}

impl Drop for UpstreamHandle {
    fn drop(&mut self) {
        self.exit_sender.send_if_modified(|exit| {
            let running = exit.is_none();
            if running {
                *exit = Some(UpstreamExit::Crashed);
            }
            running
        });
    }
}

/// Waits until the stand-in exits; also returns if all senders of `exit` are dropped.
async fn wait_for_exit(exit: &mut watch::Receiver<Option<UpstreamExit>>) {
    let _ = exit.wait_for(Option::is_some).await;
}
