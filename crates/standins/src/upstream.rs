//! Stand-in for an upstream: announces itself to the daemon beside it and serves any path.
//!
//! One task owns counts and faults, one the listener and its connections, and one the lease.
//! HTTP handlers talk to the first by messages.

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

/// How an upstream announces itself.
#[derive(Clone, Debug)]
pub struct UpstreamOptions {
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for announcements of the daemon beside it; `None` announces nothing.
    pub daemon: Option<SocketAddr>,
    /// Port to listen on; 0 selects a free one.
    pub port: u16,
    /// Requests that it runs at once when warm.
    pub slots: u16,
    /// Start of the process; must rise with each start.
    pub incarnation: Incarnation,
    /// Time after which the daemon drops it unless the lease was renewed.
    pub lease: Duration,
    /// Faults from the start, such as a cold start.
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

/// Why an upstream no longer runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamEnd {
    /// It left as asked.
    Left,
    /// A request made it crash.
    Crashed,
}

/// Stand-in of an upstream.
#[derive(Debug)]
pub struct UpstreamStandIn;

impl UpstreamStandIn {
    /// Starts the stand-in on a loopback port and begins to announce it.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the port.
    pub async fn start(options: UpstreamOptions) -> io::Result<UpstreamHandle> {
        let listener = TcpListener::bind(("127.0.0.1", options.port)).await?;
        let addr = listener.local_addr()?;
        let (end, ended) = watch::channel(None);
        let (mailbox, inbox) = mpsc::unbounded_channel();
        let state = owner::State::new(options.slots, options.faults.clone());
        tokio::spawn(owner::run(inbox, state, end.clone()));
        let server = tokio::spawn(http::serve(listener, mailbox.clone(), ended.clone()));
        let announcer = Announcer::new(&options, addr.port());
        let lease = tokio::spawn(announcer.clone().renew(ended.clone()));
        Ok(UpstreamHandle {
            addr,
            mailbox,
            announcer,
            end,
            ended,
            server,
            lease,
        })
    }
}

/// Handle of a running stand-in; dropping it ends the stand-in like a crash.
#[derive(Debug)]
pub struct UpstreamHandle {
    addr: SocketAddr,
    mailbox: mpsc::UnboundedSender<owner::Message>,
    announcer: Announcer,
    end: watch::Sender<Option<UpstreamEnd>>,
    ended: watch::Receiver<Option<UpstreamEnd>>,
    server: JoinHandle<()>,
    lease: JoinHandle<()>,
}

impl UpstreamHandle {
    /// Returns the address on which it takes requests.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults, like `PUT /_standin/faults`.
    pub async fn set_faults(&self, faults: UpstreamFaults) {
        self.ask(|reply| owner::Message::SetFaults(faults, reply))
            .await;
    }

    /// Returns how often each `x-request-id` ran, like `GET /_standin/runs`.
    pub async fn run_counts(&self) -> BTreeMap<String, u64> {
        self.ask(owner::Message::Runs).await.unwrap_or_default()
    }

    /// Returns counts of concurrency, like `GET /_standin/peak`.
    pub async fn concurrency_stats(&self) -> ConcurrencyStats {
        self.ask(owner::Message::Peak).await.unwrap_or_default()
    }

    /// Announces the drain: the daemon sends no new work.
    ///
    /// # Errors
    ///
    /// Returns the error of the call to the daemon.
    pub async fn drain(&self) -> io::Result<()> {
        self.announcer.drain().await
    }

    /// Leaves gracefully: announces the drain, finishes what runs and withdraws the announcement.
    ///
    /// # Errors
    ///
    /// Returns an error if work still runs at the end of `timeout`. The daemon may be gone; its
    /// errors are ignored.
    pub async fn shut_down(mut self, timeout: Duration) -> io::Result<()> {
        let _ = self.announcer.drain().await;
        let idle = self.ask(owner::Message::WhenIdle);
        let finished = tokio::time::timeout(timeout, idle).await;
        // A renewal after the withdrawal would announce the upstream again.
        self.lease.abort();
        let _ = (&mut self.lease).await;
        let _ = self.announcer.withdraw().await;
        let _ = self.end.send(Some(UpstreamEnd::Left));
        let _ = (&mut self.server).await;
        match finished {
            Ok(_) => Ok(()),
            Err(_) => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "requests still ran at the end of the drain timeout; raise it",
            )),
        }
    }

    /// Ends the stand-in like a killed process: connections close at once, nothing is withdrawn.
    pub async fn crash(mut self) {
        let _ = self.end.send(Some(UpstreamEnd::Crashed));
        let _ = (&mut self.server).await;
    }

    /// Waits until the stand-in has ended and returns why.
    pub async fn wait(&mut self) -> UpstreamEnd {
        let ended = self.ended.wait_for(Option::is_some).await;
        ended
            .ok()
            .and_then(|end| *end)
            .unwrap_or(UpstreamEnd::Crashed)
    }

    async fn ask<R>(
        &self,
        message: impl FnOnce(oneshot::Sender<R>) -> owner::Message,
    ) -> Option<R> {
        let (reply, answer) = oneshot::channel();
        self.mailbox.send(message(reply)).ok()?;
        answer.await.ok()
    }
}

impl Drop for UpstreamHandle {
    fn drop(&mut self) {
        self.end.send_if_modified(|end| {
            let running = end.is_none();
            if running {
                *end = Some(UpstreamEnd::Crashed);
            }
            running
        });
    }
}

/// Waits until the stand-in ends; also returns if nothing is left that could end it.
async fn wait_for_end(ended: &mut watch::Receiver<Option<UpstreamEnd>>) {
    let _ = ended.wait_for(Option::is_some).await;
}
