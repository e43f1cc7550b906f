//! Messages that callers, targets and operators send on the platform, and the daemon's settings
//! file.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::Response;
use http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use serde_json::{Value, json};

/// Host of all routes, and `host` header of all callers.
const HOST_NAME: &str = "a.example";

/// Path of the daemon's readiness check.
pub const READY_PATH: &str = "/v1/ready";

/// Check-in with which a target reports its state to the daemon on its VM.
#[derive(Clone, Copy, Debug)]
pub struct CheckInRequest<'a> {
    /// Identifier of the target's process.
    pub instance: &'a str,
    /// Address on which the target accepts requests.
    pub addr: SocketAddr,
    /// Service that the target belongs to.
    pub service: &'a str,
    /// Failure domain of the target.
    pub domain: &'a str,
    /// Requests that the target can run at the same time.
    pub slots: u16,
    /// State of the target, such as `ready` or `draining`.
    pub state: &'a str,
    /// Number of the check-in; must grow with each check-in of a process.
    pub sequence: u64,
}

impl CheckInRequest<'_> {
    /// Returns the path of the request.
    #[must_use]
    pub fn path(&self) -> String {
        format!("/v1/instances/{}", self.instance)
    }

    /// Returns the body of the request.
    #[must_use]
    pub fn body(&self) -> Bytes {
        let body = json!({
            "address": self.addr.to_string(),
            "info": {"service": self.service, "version": "v1", "zone": self.domain,
                     "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "coldRemainingS": 0},
        });
        body.to_string().into()
    }
}

/// Returns the headers of a caller's request with an attempt identifier and a deadline.
#[must_use]
pub fn caller_headers(attempt_id: &str, deadline: Duration) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static(HOST_NAME));
    if let Ok(value) = HeaderValue::from_str(attempt_id) {
        headers.insert(HeaderName::from_static("x-attempt-id"), value);
    }
    let deadline_ms = HeaderValue::from(u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX));
    headers.insert(HeaderName::from_static("x-deadline-ms"), deadline_ms);
    headers
}

/// Returns whether a response has the signature header, which only targets set.
#[must_use]
pub fn has_target_signature(response: &Response) -> bool {
    response.headers.contains_key("x-server-signature")
}

/// Route of a desired state; its path prefix is `/{name}/`.
#[derive(Clone, Copy, Debug)]
pub struct RouteConfig<'a> {
    /// Name of the route.
    pub name: &'a str,
    /// Whether a request of the route may run more than once.
    pub idempotent: bool,
    /// Service that handles the requests.
    pub service: &'a str,
    /// Timeout of a request, in seconds.
    pub timeout_s: f64,
}

/// Returns a desired state, in the store's JSON format, with these routes and their services.
#[must_use]
pub fn desired_state(version: u64, routes: &[RouteConfig<'_>]) -> Value {
    let route_items = routes.iter().map(|r| {
        let kind = if r.idempotent { "safe" } else { "unsafe" };
        json!({"name": r.name, "host": HOST_NAME, "pathPrefix": format!("/{}/", r.name),
               "kind": kind, "timeoutS": r.timeout_s, "sloS": 0.5, "priority": 1, "attempts": 2,
               "service": r.service, "allowedRegions": []})
    });
    let mut services: Vec<&str> = routes.iter().map(|r| r.service).collect();
    services.sort_unstable();
    services.dedup();
    let service_items = services
        .iter()
        .map(|s| json!({"name": s, "healthPath": "/health"}));
    json!({
        "version": version,
        "routes": route_items.collect::<Vec<_>>(),
        "services": service_items.collect::<Vec<_>>(),
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_000_000, "headerTimeoutS": 3,
                   "idleTimeoutS": 15}
    })
}

/// Settings file of a daemon that listens on one IP address only.
#[derive(Clone, Copy, Debug)]
pub struct SettingsFile<'a> {
    /// Name of the VM.
    pub vm: &'a str,
    /// IP address of the VM.
    pub ip: IpAddr,
    /// Region of the VM.
    pub region: &'a str,
    /// Failure domain of the VM.
    pub domain: &'a str,
    /// Service that the target on the VM belongs to.
    pub service: &'a str,
    /// Five ports: for callers, for check-ins, for readiness checks, of the target, and the first
    /// of the ports for other daemons.
    pub ports: [u16; 5],
    /// Address of the store.
    pub store: SocketAddr,
}

impl SettingsFile<'_> {
    /// Returns the content of the file.
    #[must_use]
    pub fn content(&self) -> String {
        let Self {
            vm,
            ip,
            region,
            domain,
            service,
            ports,
            store,
        } = self;
        let [callers, check_ins, ready, target, first_peer] = ports;
        // A range of six ports; the daemon needs at least four for other daemons and metrics.
        let last_peer = first_peer + 5;
        // The platform's names: a node is a VM, a zone a failure domain, the outbound address that
        // for callers, the control address that for check-ins and the app the target. `graceS` is
        // the time that running requests get at a shutdown.
        format!(
            "node={vm}\nip={ip}\nzone={domain}\nregion={region}\nlisten.outbound={ip}:{callers}\n\
             listen.control={ip}:{check_ins}\nlisten.ready={ip}:{ready}\n\
             internalPorts={first_peer},{last_peer}\nbootstrap=false\nappAddr={ip}:{target}\n\
             service={service}\nplatform.address={store}\n\
             bounds=graceS=6,retryBudgetRatio=0.5,budgetWindowS=10,retryBudgetBurst=100\n"
        )
    }
}
