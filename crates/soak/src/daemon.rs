//! One daemon process with its settings file, its target and the proxies around it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::{
    ClientConnection, DecodeLimits, OutgoingRequest, Response, SocketTimeouts,
};
use cornelvalve_standins::{CheckInRequest, READY_PATH, SettingsText, TargetHandle, TargetOptions};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};
use tokio::time::timeout;

use crate::proxy::Proxy;
use crate::run::{Result, SoakError};

/// Time-outs of the soak's own connections; generous, because a busy machine must meet them.
pub(crate) const TIMEOUTS: SocketTimeouts = SocketTimeouts {
    connect: Duration::from_secs(5),
    unacknowledged: Duration::from_secs(20),
    keepalive: Duration::from_secs(20),
};

/// Limits of responses to the soak.
pub(crate) const LIMITS: DecodeLimits = DecodeLimits {
    head_bytes: 64 * 1024,
    body_bytes: 1 << 24,
};

/// Longest wait for an answer of a daemon to a control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Ports of each daemon's address.
pub(crate) const CALLER_PORT: u16 = 8101;
const CHECK_IN_PORT: u16 = 8102;
const READY_PORT: u16 = 8103;
const TARGET_PORT: u16 = 8105;
const STORE_PORT: u16 = 8106;
const PEER_PORT: u16 = 8110;
const METRICS_PORT: u16 = PEER_PORT + 3;

/// Requests that a target runs at once.
const SLOTS: u16 = 8;

/// Place of a daemon.
#[derive(Clone, Debug)]
pub(crate) struct Spot {
    pub(crate) index: u8,
    pub(crate) service: &'static str,
    pub(crate) domain: &'static str,
}

/// Daemon process with all that stands around it.
pub(crate) struct Daemon {
    pub(crate) spot: Spot,
    ip: IpAddr,
    settings: PathBuf,
    program: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pub(crate) target: TargetHandle,
    pub(crate) target_link: Proxy,
    pub(crate) store_link: Proxy,
    /// Identifier of the target's process.
    pub(crate) instance: String,
    sequence: u64,
    pub(crate) paused: bool,
}

impl Daemon {
    /// Starts target, proxies and the process.
    pub(crate) async fn start(
        spot: Spot,
        net: (u8, u8),
        folder: &Path,
        program: &Path,
        store: SocketAddr,
    ) -> Result<Self> {
        let ip = IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, spot.index));
        let instance = format!("i-{}-1", spot.index);
        let target = start_target(ip, &instance).await?;
        let target_link = Proxy::start(SocketAddr::new(ip, TARGET_PORT), target.addr()).await?;
        let store_link = Proxy::start(SocketAddr::new(ip, STORE_PORT), store).await?;
        let settings = folder.join(format!("daemon-{}.conf", spot.index));
        std::fs::write(&settings, settings_text(&spot, ip))?;
        let mut daemon = Self {
            log: folder.join(format!("daemon-{}.log", spot.index)),
            spot,
            ip,
            settings,
            program: program.to_owned(),
            child: None,
            target,
            target_link,
            store_link,
            instance,
            sequence: 0,
            paused: false,
        };
        daemon.spawn()?;
        Ok(daemon)
    }

    pub(crate) fn addr(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Starts the process.
    pub(crate) fn spawn(&mut self) -> Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("run")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&mut self, signal: Signal) -> Result<()> {
        let id = self.child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            kill_process(pid, signal).map_err(std::io::Error::from)?;
        }
        self.paused = match signal {
            Signal::STOP => true,
            Signal::CONT | Signal::KILL => false,
            _ => self.paused,
        };
        Ok(())
    }

    /// Waits until the process has ended.
    pub(crate) async fn wait(&mut self, limit: Duration) -> Result<()> {
        if let Some(child) = &mut self.child {
            timeout(limit, child.wait())
                .await
                .map_err(|_| SoakError::Stuck(self.spot.index))??;
        }
        self.child = None;
        Ok(())
    }

    /// Tells whether the process was started and not waited for.
    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Tells whether the process has ended by itself.
    pub(crate) fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Sends a check-in; tells whether it was confirmed.
    pub(crate) async fn check_in(&mut self, state: &str) -> bool {
        self.sequence += 1;
        let check_in = CheckInRequest {
            instance: &self.instance,
            addr: self.addr(TARGET_PORT),
            service: self.spot.service,
            domain: self.spot.domain,
            slots: SLOTS,
            state,
            sequence: self.sequence,
        };
        let addr = self.addr(CHECK_IN_PORT);
        let path = check_in.path();
        let call = control(addr, Method::PUT, &path, check_in.body());
        call.await.is_some_and(|r| r.status == 200)
    }

    /// Replaces the target by another process at the same address.
    pub(crate) async fn replace_target(&mut self, number: u32) -> Result<()> {
        self.instance = format!("i-{}-{number}", self.spot.index);
        self.sequence = 0;
        self.target = start_target(self.ip, &self.instance).await?;
        self.target_link.retarget(self.target.addr());
        Ok(())
    }

    /// Tells whether the daemon says that it is ready.
    pub(crate) async fn is_ready(&self) -> bool {
        let call = control(self.addr(READY_PORT), Method::GET, READY_PATH, Bytes::new());
        call.await.is_some_and(|r| r.status == 200)
    }

    /// Returns the metrics.
    pub(crate) async fn metrics(&self) -> String {
        let call = control(
            self.addr(METRICS_PORT),
            Method::GET,
            "/metrics",
            Bytes::new(),
        );
        let response = call.await;
        response.map_or(String::new(), |r| {
            String::from_utf8_lossy(&r.body).into_owned()
        })
    }
}

fn target_options(ip: IpAddr, instance: &str) -> TargetOptions {
    TargetOptions {
        addr: SocketAddr::new(ip, 0),
        instance: instance.to_owned(),
        processing_time: Duration::from_millis(15),
        slots: SLOTS,
    }
}

async fn start_target(ip: IpAddr, instance: &str) -> Result<TargetHandle> {
    Ok(TargetHandle::start(target_options(ip, instance)).await?)
}

fn settings_text(spot: &Spot, ip: IpAddr) -> String {
    let settings = SettingsText {
        vm: &format!("vm-{}", spot.index),
        ip,
        region: "east",
        domain: spot.domain,
        service: spot.service,
        ports: [
            CALLER_PORT,
            CHECK_IN_PORT,
            READY_PORT,
            TARGET_PORT,
            PEER_PORT,
        ],
        store: SocketAddr::new(ip, STORE_PORT),
    };
    settings.text()
}

async fn control(addr: SocketAddr, method: Method, target: &str, body: Bytes) -> Option<Response> {
    let exchange = async {
        let mut connection = ClientConnection::open(addr, TIMEOUTS, LIMITS).await.ok()?;
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
