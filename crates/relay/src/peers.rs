//! Peers service: serves other daemons, which send requests for the upstream beside this daemon and
//! ask for its view of the configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{MemoryAccount, SocketTimeouts};
use cornelvalve_kernel::{Context, Mailbox, ServiceResult};
use tokio::net::{TcpListener, TcpStream};

use crate::hop::{self, FrameConnection, HopCall, HopError, HopOutcome, HopReply, HopRequest};
use crate::limits::ConnectionKind;
use crate::listener::{ConnectionBound, run_listener};
use crate::messages::{ControlMessage, DEFAULT_RETRY_AFTER, ListenerMessage};
use crate::names::CONTROL;
use crate::ports::Cause;
use crate::runner::Runner;

/// Socket, settings and handles with which the peers service is started.
pub(crate) struct PeersDependencies {
    pub(crate) listener: Arc<TcpListener>,
    pub(crate) timeouts: SocketTimeouts,
    pub(crate) runner: Runner,
    /// Maximum number of open connections.
    pub(crate) max_connections: usize,
    /// Account from which the requests of other daemons take their memory.
    pub(crate) memory: Arc<dyn MemoryAccount>,
}

/// Runs the peers service until it is asked to stop.
pub(crate) async fn run_peers(
    context: Context<ListenerMessage>,
    dependencies: PeersDependencies,
) -> ServiceResult {
    let PeersDependencies {
        listener,
        timeouts,
        runner,
        max_connections,
        memory,
    } = dependencies;
    let control = context.registry.mailbox(CONTROL)?;
    run_listener(
        context,
        &listener,
        timeouts,
        ConnectionBound::silent(ConnectionKind::Incoming, max_connections),
        Duration::ZERO,
        move |stream, from| {
            let handler = PeerHandler {
                runner: runner.clone(),
                control: control.clone(),
                memory: Arc::clone(&memory),
            };
            handler.serve(stream, from)
        },
    )
    .await
}

/// Handles the connection of one other daemon.
struct PeerHandler {
    runner: Runner,
    control: Mailbox<ControlMessage>,
    memory: Arc<dyn MemoryAccount>,
}

impl PeerHandler {
    /// Serves exchanges until the connection is closed or fails.
    async fn serve(self, stream: TcpStream, from: SocketAddr) {
        let mut connection = FrameConnection::new(stream, Arc::clone(&self.memory));
        loop {
            match self.serve_one(&mut connection).await {
                Ok(()) => {}
                Err(HopError::Closed) => return,
                Err(e) => {
                    log::debug!("connection from peer {from} failed: {e}");
                    return;
                }
            }
        }
    }

    /// Serves one exchange.
    async fn serve_one(&self, connection: &mut FrameConnection) -> hop::Result<()> {
        let call = match connection.receive().await {
            Err(HopError::NoMemory(bytes)) => return refuse(connection, bytes).await,
            call => call?,
        };
        match call {
            HopCall::Run(request) => self.run(connection, &request).await,
            HopCall::Control => {
                let view = self
                    .control
                    .ask(|reply| ControlMessage::View { reply })
                    .await;
                let view = view.map_err(|e| HopError::Malformed(e.to_string()))?;
                let reply = HopReply::Control(Box::new(view.as_ref().clone()));
                connection.send(&hop::encode(reply)?).await
            }
            HopCall::ControlSince(base) => {
                let update = self
                    .control
                    .ask(|reply| ControlMessage::UpdateFrom { base, reply })
                    .await;
                let update = update.map_err(|e| HopError::Malformed(e.to_string()))?;
                let reply = HopReply::ControlUpdate(Box::new(update));
                connection.send(&hop::encode(reply)?).await
            }
        }
    }

    /// Runs a request at the upstream and sends its outcome.
    ///
    /// The request is cancelled if the other daemon closes the connection before it has finished.
    async fn run(&self, connection: &mut FrameConnection, request: &HopRequest) -> hop::Result<()> {
        connection.send(&hop::encode(HopReply::Received)?).await?;
        let result = tokio::select! {
            result = self.runner.run(request) => result,
            () = connection.wait_closed() => {
                log::info!(event = "cancelled-here", request = request.attempt_id.as_deref(); "request cancelled by the other daemon");
                return Err(HopError::Closed);
            }
        };
        let reply = HopReply::Done {
            outcome: result.outcome,
            load: result.load.map(Into::into),
        };
        connection.send(&hop::encode(reply)?).await
    }
}

/// Refuses a request of `bytes` that was discarded because there was no memory for it.
async fn refuse(connection: &mut FrameConnection, bytes: usize) -> hop::Result<()> {
    log::debug!("request of {bytes} bytes refused: no memory");
    connection.send(&hop::encode(HopReply::Received)?).await?;
    let reply = HopReply::Done {
        outcome: HopOutcome::NotRun {
            cause: Cause::Overloaded,
            reached_upstream: false,
            retry_after: DEFAULT_RETRY_AFTER,
        },
        load: None,
    };
    connection.send(&hop::encode(reply)?).await
}
