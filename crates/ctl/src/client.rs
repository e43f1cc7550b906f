//! Calls to daemons: tries the next address when one does not answer.

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

/// Time beyond a call's own timeout after which a daemon counts as not answering.
const MARGIN: Duration = Duration::from_secs(2);

/// Daemons that are asked at once.
const PARALLEL: usize = 64;

/// Largest result; 15,000 member records have about 7 MB.
const MAX_RESULT_BYTES: u32 = 64 * 1024 * 1024;

/// Result of one call to one daemon.
pub(crate) type CallResult<T> = std::result::Result<T, CallError>;

/// Why a call to one daemon gave no result.
#[derive(Debug)]
pub(crate) enum CallError {
    /// No connection was made, so the daemon did not get the call.
    NotConnected(String),
    /// The call may have reached the daemon, but no valid response came back.
    NoResponse(String),
    /// The daemon answered with an error.
    Refused(ApiError),
}

impl CallError {
    fn from_client(error: &ClientError) -> Self {
        match error {
            ClientError::Call(object) => Self::Refused(
                ApiError::from_error_object(object)
                    .unwrap_or_else(|| ApiError::new(ErrorKind::Internal, object.message())),
            ),
            ClientError::Transport(e) => match connect_error(&**e) {
                Some(system) => Self::NotConnected(system.to_string()),
                None => Self::NoResponse(e.to_string()),
            },
            other => Self::NoResponse(other.to_string()),
        }
    }

    pub(crate) fn into_ctl(self, addr: SocketAddr) -> CtlError {
        match self {
            Self::NotConnected(e) | Self::NoResponse(e) => {
                CtlError::unreachable(format!("{addr} did not answer: {e}"))
            }
            Self::Refused(e) => e.into(),
        }
    }
}

/// Returns the error of the system at the end of a chain if it shows that no connection was made.
fn connect_error<'a>(error: &'a (dyn Error + 'static)) -> Option<&'a io::Error> {
    const NOT_CONNECTED: [io::ErrorKind; 4] = [
        io::ErrorKind::AddrNotAvailable,
        io::ErrorKind::ConnectionRefused,
        io::ErrorKind::HostUnreachable,
        io::ErrorKind::NetworkUnreachable,
    ];
    let mut current = Some(error);
    while let Some(e) = current {
        match e.downcast_ref::<io::Error>() {
            Some(system) if NOT_CONNECTED.contains(&system.kind()) => return Some(system),
            _ => current = e.source(),
        }
    }
    None
}

/// The daemons that the command line names.
#[derive(Clone, Debug)]
pub(crate) struct Daemons {
    addrs: Vec<SocketAddr>,
    timeout: Duration,
}

impl Daemons {
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
            _ => Err(CtlError::usage("no daemon was given")),
        }
    }

    pub(crate) fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    pub(crate) fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Makes one call to one daemon.
    pub(crate) async fn call_one<T, F>(&self, addr: SocketAddr, call: F) -> CallResult<T>
    where
        F: AsyncFnOnce(&HttpClient) -> std::result::Result<T, ClientError>,
    {
        let client = HttpClientBuilder::default()
            .request_timeout(self.timeout + MARGIN)
            .max_response_size(MAX_RESULT_BYTES)
            .build(format!("http://{addr}"))
            .map_err(|e| CallError::from_client(&e))?;
        call(&client).await.map_err(|e| CallError::from_client(&e))
    }

    /// Makes a call without effect, at the first daemon that answers.
    pub(crate) async fn call<T, F>(&self, call: F) -> Result<T>
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
                Err(CallError::Refused(e)) if e.kind == ErrorKind::BadRequest => {
                    return Err(e.into());
                }
                Err(e) => last = more_telling(last, e.into_ctl(*addr)),
            }
        }
        Err(last)
    }

    /// Makes a call to each address, several at once, and returns the results in the order of the
    /// addresses.
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
            .map(|addr| (*addr, Err(CallError::NoResponse("call failed".to_owned()))))
            .collect();
        let mut running = JoinSet::new();
        let mut pending = addrs.iter().copied().enumerate();
        loop {
            while running.len() < PARALLEL
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
                // The result stays a failure, so that no daemon counts as asked that was not.
                Some(Err(_)) => {}
                None => return results,
            }
        }
    }
}

/// Prefers the answer of a daemon over the failure to reach another.
fn more_telling(earlier: CtlError, later: CtlError) -> CtlError {
    if earlier.exit == Exit::DaemonError && later.exit == Exit::Unreachable {
        earlier
    } else {
        later
    }
}
