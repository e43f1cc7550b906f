//! JSON-RPC calls to the operators' API of daemons, with failover to the next address.

use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use cornelvalve_api::{ApiError, ErrorKind};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use tokio::task::JoinSet;

use crate::{CtlError, Exit, Result};

/// Added to the timeout of the command to get the timeout of an HTTP request, because a daemon may
/// itself wait for the whole timeout of the command before it responds.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Limits the number of calls that run at the same time, and with it the open connections when all
/// members are called.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Limits the size of a result, in bytes. 15,000 member records take about 7 MB.
const MAX_RESULT_BYTES: u32 = 64 * 1024 * 1024;

/// Result of one call to one daemon.
pub(crate) type CallResult<T> = std::result::Result<T, CallError>;

/// Reports why a call to one daemon gave no result.
#[derive(Debug)]
pub(crate) enum CallError {
    /// No connection was made, so the daemon has not received the call.
    NotConnected(String),
    /// The daemon may have received the call, but no valid response arrived.
    NoResponse(String),
    /// The daemon answered with an error.
    ErrorResponse(ApiError),
}

impl CallError {
    /// Classifies an error of the JSON-RPC client.
    fn from_client(error: &ClientError) -> Self {
        match error {
            ClientError::Call(object) => Self::ErrorResponse(
                ApiError::from_error_object(object)
                    .unwrap_or_else(|| ApiError::new(ErrorKind::Internal, object.message())),
            ),
            ClientError::Transport(e) => match find_connect_error(&**e) {
                Some(io_error) => Self::NotConnected(io_error.to_string()),
                None => Self::NoResponse(e.to_string()),
            },
            other => Self::NoResponse(other.to_string()),
        }
    }

    /// Converts the error into the error of a command that called the daemon at `addr`.
    pub(crate) fn into_ctl_error(self, addr: SocketAddr) -> CtlError {
        match self {
            Self::NotConnected(e) | Self::NoResponse(e) => {
                CtlError::unreachable(format!("{addr} did not answer: {e}"))
            }
            Self::ErrorResponse(e) => e.into(),
        }
    }
}

/// Returns the I/O error in a chain of errors that shows that no connection was made, if any.
fn find_connect_error<'a>(error: &'a (dyn Error + 'static)) -> Option<&'a io::Error> {
    const NOT_CONNECTED: [io::ErrorKind; 4] = [
        io::ErrorKind::AddrNotAvailable,
        io::ErrorKind::ConnectionRefused,
        io::ErrorKind::HostUnreachable,
        io::ErrorKind::NetworkUnreachable,
    ];
    let mut current = Some(error);
    while let Some(e) = current {
        match e.downcast_ref::<io::Error>() {
            Some(io_error) if NOT_CONNECTED.contains(&io_error.kind()) => return Some(io_error),
            _ => current = e.source(),
        }
    }
    None
}

/// Addresses of the daemons that the command line names, and calls to daemons.
#[derive(Clone, Debug)]
pub(crate) struct Daemons {
    addrs: Vec<SocketAddr>,
    timeout: Duration,
}

impl Daemons {
    /// Reads the addresses and the timeout from the command line.
    pub(crate) fn new(matches: &ArgMatches) -> Result<Self> {
        let addrs: Vec<SocketAddr> = matches
            .get_many("daemon")
            .map(|addrs| addrs.copied().collect())
            .unwrap_or_default();
        let seconds = matches.get_one::<u64>("timeout").copied();
        match (addrs.is_empty(), seconds) {
            (false, Some(seconds)) => Ok(Self {
                addrs,
                timeout: Duration::from_secs(seconds),
            }),
            _ => Err(CtlError::usage("no daemon address or timeout was given")),
        }
    }

    /// Returns the addresses of the operators' API in the order of the command line.
    pub(crate) fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    /// Returns the timeout from the command line: the time for all attempts to publish a change,
    /// and for each single call of other commands.
    pub(crate) fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Calls one daemon once.
    pub(crate) async fn call_one<T, F>(&self, addr: SocketAddr, call: F) -> CallResult<T>
    where
        F: AsyncFnOnce(&HttpClient) -> std::result::Result<T, ClientError>,
    {
        let client = HttpClientBuilder::default()
            .request_timeout(self.timeout + TIMEOUT_MARGIN)
            .max_response_size(MAX_RESULT_BYTES)
            .build(format!("http://{addr}"))
            .map_err(|e| CallError::from_client(&e))?;
        call(&client).await.map_err(|e| CallError::from_client(&e))
    }

    /// Makes a read-only call: tries the daemons in order and returns the first result.
    ///
    /// A [`ErrorKind::BadRequest`] is final, since every daemon would return it.
    pub(crate) async fn call_first_available<T, F>(&self, call: F) -> Result<T>
    where
        F: AsyncFn(&HttpClient) -> std::result::Result<T, ClientError>,
    {
        let mut last = CtlError::unreachable("no daemon was given");
        for addr in &self.addrs {
            match self
                .call_one(*addr, async |client| call(client).await)
                .await
            {
                Ok(value) => return Ok(value),
                Err(CallError::ErrorResponse(e)) if e.kind == ErrorKind::BadRequest => {
                    return Err(e.into());
                }
                Err(e) => last = more_informative(last, e.into_ctl_error(*addr)),
            }
        }
        Err(last)
    }

    /// Calls each address, at most [`MAX_CONCURRENT_CALLS`] at a time, and returns the results in
    /// the order of the addresses.
    pub(crate) async fn call_each<T, F, R>(
        &self,
        addrs: &[SocketAddr],
        call: F,
    ) -> Vec<(SocketAddr, CallResult<T>)>
    where
        T: Send + 'static,
        F: Fn(HttpClient) -> R + Clone + Send + 'static,
        R: Future<Output = std::result::Result<T, ClientError>> + Send + 'static,
    {
        let mut results: Vec<(SocketAddr, CallResult<T>)> = addrs
            .iter()
            .map(|addr| {
                (
                    *addr,
                    Err(CallError::NoResponse(
                        "internal error: the task of the call panicked".to_owned(),
                    )),
                )
            })
            .collect();
        let mut running = JoinSet::new();
        let mut pending = addrs.iter().copied().enumerate();
        loop {
            while running.len() < MAX_CONCURRENT_CALLS
                && let Some((index, addr)) = pending.next()
            {
                let (daemons, call) = (self.clone(), call.clone());
                running.spawn(async move {
                    let result = daemons
                        .call_one(addr, async move |client| call(client.clone()).await)
                        .await;
                    (index, result)
                });
            }
            match running.join_next().await {
                Some(Ok((index, result))) => results[index].1 = result,
                // The task panicked. The result of its daemon remains the initial error, so that a
                // daemon that was not called does not count as called.
                Some(Err(_)) => {}
                None => return results,
            }
        }
    }
}

/// Returns the error to report: an error response of a daemon rather than a later failure to reach
/// another daemon, otherwise the later error.
fn more_informative(earlier: CtlError, later: CtlError) -> CtlError {
    if earlier.exit == Exit::DaemonError && later.exit == Exit::Unreachable {
        earlier
    } else {
        later
    }
}
