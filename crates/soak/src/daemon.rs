//! Daemon process of the soak, with its settings file, its target and its proxies.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{
    ClientConnection, DecodeLimits, OutgoingRequest, Response, SocketTimeouts,
};
use cornelvalve_standins::{CheckInRequest, READY_PATH, SettingsFile, TargetHandle, TargetOptions};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::time::{Instant, timeout};

use crate::proxy::Proxy;
use crate::run::{Result, SoakError};

/// Timeouts of the soak's own connections; long enough not to expire under load.
pub(crate) const SOCKET_TIMEOUTS: SocketTimeouts = SocketTimeouts {
    connect: Duration::from_secs(5),
    unacknowledged: Duration::from_secs(20),
    keepalive: Duration::from_secs(20),
};

/// Size limits of the responses that the soak receives.
pub(crate) const RESPONSE_LIMITS: DecodeLimits = DecodeLimits {
    head_bytes: 64 * 1024,
    body_bytes: 1 << 24,
};

/// State of a target that takes requests.
pub(crate) const READY: &str = "ready";

/// State of a target that will be replaced.
pub(crate) const DRAINING: &str = "draining";

/// Maximum time for a check-in, a readiness check or a read of the metrics.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Port of the daemon for callers. Each daemon has an IP address of its own, so all use the same
/// ports.
pub(crate) const CALLER_PORT: u16 = 8101;

/// Port of the daemon for check-ins of the target.
const CHECK_IN_PORT: u16 = 8102;

/// Port of the daemon for readiness checks.
const READY_PORT: u16 = 8103;

/// Port of the proxy through which the daemon reaches the target.
const TARGET_PORT: u16 = 8105;

/// Port of the proxy through which the daemon reaches the store.
const STORE_PORT: u16 = 8106;

/// First of the ports of the daemon for other daemons.
const PEER_PORT: u16 = 8110;

/// Port of the daemon for metrics: the daemon uses the fourth of its ports for other daemons.
const METRICS_PORT: u16 = PEER_PORT + 3;

/// Capacity that a target reports, as a number of concurrent requests.
const TARGET_SLOTS: u16 = 8;

/// Time that a target takes to run a request.
const TARGET_PROCESSING_TIME: Duration = Duration::from_millis(15);

/// Number, service and failure domain of a daemon.
#[derive(Clone, Debug)]
pub(crate) struct DaemonSpec {
    /// Number of the daemon, counted from 1; the last byte of its IP address.
    pub(crate) index: u8,
    /// Service that the daemon's target belongs to.
    pub(crate) service: &'static str,
    pub(crate) domain: &'static str,
}

/// Daemon process with its target and its proxies.
pub(crate) struct Daemon {
    pub(crate) spec: DaemonSpec,
    ip: IpAddr,
    settings_path: PathBuf,
    program: PathBuf,
    log_path: PathBuf,
    /// Process that was started and not yet waited for.
    child: Option<Child>,
    pub(crate) target: TargetHandle,
    pub(crate) target_proxy: Proxy,
    pub(crate) store_proxy: Proxy,
    /// Identifier of the target's process.
    pub(crate) target_instance: String,
    /// Number of the last check-in of the target's process.
    sequence: u64,
    /// Start of the pause by SIGSTOP; `None` if the process is not paused.
    paused_since: Option<Instant>,
    /// Earlier pauses of the process, each with its start and end.
    pub(crate) pauses: Vec<(Instant, Instant)>,
    /// Latest moment at which the process must have exited after a SIGTERM.
    exit_deadline: Option<Instant>,
    /// State that the target reports in its check-ins.
    pub(crate) target_state: &'static str,
}

impl Daemon {
    /// Starts the target, the proxies and the process.
    ///
    /// `loopback_net` holds the second and the third byte of the daemon's IP address, whose first
    /// byte is 127.
    pub(crate) async fn start(
        spec: DaemonSpec,
        loopback_net: (u8, u8),
        folder: &Path,
        program: &Path,
        store: SocketAddr,
    ) -> Result<Self> {
        let ip = IpAddr::V4(Ipv4Addr::new(
            127,
            loopback_net.0,
            loopback_net.1,
            spec.index,
        ));
        let target_instance = format!("i-{}-1", spec.index);
        let target = start_target(ip, &target_instance).await?;
        let target_proxy = Proxy::start(SocketAddr::new(ip, TARGET_PORT), target.addr()).await?;
        let store_proxy = Proxy::start(SocketAddr::new(ip, STORE_PORT), store).await?;
        let settings_path = folder.join(format!("daemon-{}.conf", spec.index));
        std::fs::write(&settings_path, settings_content(&spec, ip))?;
        let mut daemon = Self {
            log_path: folder.join(format!("daemon-{}.log", spec.index)),
            spec,
            ip,
            settings_path,
            program: program.to_owned(),
            child: None,
            target,
            target_proxy,
            store_proxy,
            target_instance,
            sequence: 0,
            paused_since: None,
            pauses: Vec::new(),
            exit_deadline: None,
            target_state: READY,
        };
        daemon.spawn()?;
        Ok(daemon)
    }

    /// Returns the socket address of a port at the daemon's IP address.
    pub(crate) fn addr(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Starts the process; its log is appended to that of earlier processes.
    pub(crate) fn spawn(&mut self) -> Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log_path)?;
        let child = Command::new(&self.program)
            .arg("run")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it is running, and records whether it is paused.
    pub(crate) fn signal(&mut self, signal: Signal) -> Result<()> {
        let id = self.child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            kill_process(pid, signal).map_err(std::io::Error::from)?;
        }
        match signal {
            Signal::STOP => {
                self.paused_since.get_or_insert_with(Instant::now);
            }
            Signal::CONT | Signal::KILL => {
                let since = self.paused_since.take();
                self.pauses.extend(since.map(|s| (s, Instant::now())));
            }
            _ => {}
        }
        Ok(())
    }

    /// Returns whether SIGSTOP paused the process.
    pub(crate) fn is_paused(&self) -> bool {
        self.paused_since.is_some()
    }

    /// Asks the process to exit within `max_wait`; [`Self::poll_exit`] tells when it has.
    pub(crate) fn terminate(&mut self, max_wait: Duration) -> Result<()> {
        // A stopped process does not handle the signal.
        self.signal(Signal::CONT)?;
        self.signal(Signal::TERM)?;
        self.exit_deadline = Some(Instant::now() + max_wait);
        Ok(())
    }

    /// Returns whether the process was asked to exit and is not known to have done so.
    pub(crate) fn is_terminating(&self) -> bool {
        self.exit_deadline.is_some()
    }

    /// Returns whether the process has exited after [`Self::terminate`].
    ///
    /// # Errors
    ///
    /// Returns [`SoakError::ExitTimeout`] if it still runs at its deadline.
    pub(crate) fn poll_exit(&mut self) -> Result<bool> {
        if let Some(child) = &mut self.child
            && child.try_wait()?.is_none()
        {
            let late = self.exit_deadline.is_some_and(|d| d < Instant::now());
            return if late {
                Err(SoakError::ExitTimeout(self.spec.index))
            } else {
                Ok(false)
            };
        }
        self.child = None;
        self.exit_deadline = None;
        Ok(true)
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    ///
    /// Returns [`SoakError::ExitTimeout`] if it is still running after `max_wait`.
    pub(crate) async fn wait(&mut self, max_wait: Duration) -> Result<()> {
        if let Some(child) = &mut self.child {
            timeout(max_wait, child.wait())
                .await
                .map_err(|_| SoakError::ExitTimeout(self.spec.index))??;
        }
        self.child = None;
        self.exit_deadline = None;
        Ok(())
    }

    /// Returns whether the process was started and [`Self::wait`] has not returned since.
    ///
    /// This is also true if the process exited unexpectedly.
    pub(crate) fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether the process exited before [`Self::wait`] was called, that is, without having
    /// been terminated or killed.
    pub(crate) fn exited_unexpectedly(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Sends a check-in of the target; returns whether the daemon confirmed it.
    pub(crate) async fn check_in(&mut self) -> bool {
        self.sequence += 1;
        let check_in = CheckInRequest {
            instance: &self.target_instance,
            addr: self.addr(TARGET_PORT),
            service: self.spec.service,
            domain: self.spec.domain,
            slots: TARGET_SLOTS,
            state: self.target_state,
            sequence: self.sequence,
        };
        let addr = self.addr(CHECK_IN_PORT);
        let path = check_in.path();
        let exchange = send_control_request(addr, Method::PUT, &path, check_in.body());
        exchange.await.is_some_and(|r| r.status == 200)
    }

    /// Replaces the target with another process, whose identifier contains `number`, at the same
    /// address.
    pub(crate) async fn replace_target(&mut self, number: u32) -> Result<()> {
        self.target_instance = format!("i-{}-{number}", self.spec.index);
        self.target_state = READY;
        self.sequence = 0;
        self.target = start_target(self.ip, &self.target_instance).await?;
        self.target_proxy.set_server(self.target.addr());
        Ok(())
    }

    /// Returns whether the daemon reports that it is ready.
    pub(crate) async fn is_ready(&self) -> bool {
        let exchange =
            send_control_request(self.addr(READY_PORT), Method::GET, READY_PATH, Bytes::new());
        exchange.await.is_some_and(|r| r.status == 200)
    }

    /// Returns the daemon's metrics as text, or an empty string if they cannot be read.
    pub(crate) async fn metrics(&self) -> String {
        let exchange = send_control_request(
            self.addr(METRICS_PORT),
            Method::GET,
            "/metrics",
            Bytes::new(),
        );
        let response = exchange.await;
        response.map_or(String::new(), |r| {
            String::from_utf8_lossy(&r.body.to_bytes()).into_owned()
        })
    }
}

fn target_options(ip: IpAddr, instance: &str) -> TargetOptions {
    TargetOptions {
        addr: SocketAddr::new(ip, 0),
        instance: instance.to_owned(),
        processing_time: TARGET_PROCESSING_TIME,
        slots: TARGET_SLOTS,
    }
}

async fn start_target(ip: IpAddr, instance: &str) -> Result<TargetHandle> {
    Ok(TargetHandle::start(target_options(ip, instance)).await?)
}

/// Returns the content of the daemon's settings file.
fn settings_content(spec: &DaemonSpec, ip: IpAddr) -> String {
    let settings = SettingsFile {
        vm: &format!("vm-{}", spec.index),
        ip,
        region: "east",
        domain: spec.domain,
        service: spec.service,
        ports: [
            CALLER_PORT,
            CHECK_IN_PORT,
            READY_PORT,
            TARGET_PORT,
            PEER_PORT,
        ],
        store: SocketAddr::new(ip, STORE_PORT),
    };
    settings.content()
}

/// Sends a request over a new connection; returns `None` if it fails or takes too long.
async fn send_control_request(
    addr: SocketAddr,
    method: Method,
    target: &str,
    body: Bytes,
) -> Option<Response> {
    let exchange = async {
        let mut connection = ClientConnection::open(addr, SOCKET_TIMEOUTS, RESPONSE_LIMITS)
            .await
            .ok()?;
        let mut headers = HeaderMap::new();
        let host = HeaderValue::from_static("daemon");
        headers.insert(HeaderName::from_static("host"), host);
        let request = OutgoingRequest {
            method: &method,
            target,
            headers: &headers,
            body: &body,
        };
        connection.exchange(request, |_| true).await.ok()
    };
    timeout(CONTROL_TIMEOUT, exchange).await.ok().flatten()
}
