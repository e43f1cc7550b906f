//! What callers, targets and operators of the users' platform send.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use cornelvalve_http1::Response;
use http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use serde_json::{Value, json};

/// Host of the routes that the stand-ins use.
const HOST_NAME: &str = "a.example";

/// Path that tells whether a daemon is ready.
pub const READY_PATH: &str = "/v1/ready";

/// Check-in of a target.
#[derive(Clone, Copy, Debug)]
pub struct CheckInRequest<'a> {
    /// Identifier of its process.
    pub instance: &'a str,
    /// Address at which it takes requests.
    pub addr: SocketAddr,
    /// Service.
    pub service: &'a str,
    /// Failure domain.
    pub domain: &'a str,
    /// Requests that it runs at once.
    pub slots: u16,
    /// State.
    pub state: &'a str,
    /// Counts the check-ins of one process.
    pub sequence: u64,
}

impl CheckInRequest<'_> {
    /// Returns the path of the call.
    #[must_use]
    pub fn path(&self) -> String {
        format!("/v1/instances/{}", self.instance)
    }

    /// Returns the body of the call.
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

/// Returns the headers of a caller's request.
#[must_use]
pub fn caller_headers(attempt: &str, deadline: Duration) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static(HOST_NAME));
    if let Ok(attempt) = HeaderValue::from_str(attempt) {
        headers.insert(HeaderName::from_static("x-attempt-id"), attempt);
    }
    let deadline = HeaderValue::from(u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX));
    headers.insert(HeaderName::from_static("x-deadline-ms"), deadline);
    headers
}

/// Tells whether a response bears a target's mark.
#[must_use]
pub fn is_signed(response: &Response) -> bool {
    response.headers.contains_key("x-server-signature")
}

/// Route of a desired state; its path prefix is its name.
#[derive(Clone, Copy, Debug)]
pub struct RouteConfig<'a> {
    /// Name.
    pub name: &'a str,
    /// Whether its requests may be repeated.
    pub idempotent: bool,
    /// Service.
    pub service: &'a str,
    /// Longest time for which a request is kept waiting, in seconds.
    pub timeout_s: f64,
}

/// Returns a desired state with these routes and their services.
#[must_use]
pub fn desired_state(version: u64, routes: &[RouteConfig<'_>]) -> Value {
    let wire = routes.iter().map(|r| {
        let kind = if r.idempotent { "safe" } else { "unsafe" };
        json!({"name": r.name, "host": HOST_NAME, "pathPrefix": format!("/{}/", r.name),
               "kind": kind, "timeoutS": r.timeout_s, "sloS": 0.5, "priority": 1, "attempts": 2,
               "service": r.service, "allowedRegions": []})
    });
    let mut services: Vec<&str> = routes.iter().map(|r| r.service).collect();
    services.sort_unstable();
    services.dedup();
    let services = services
        .iter()
        .map(|s| json!({"name": s, "healthPath": "/health"}));
    json!({
        "version": version,
        "routes": wire.collect::<Vec<_>>(),
        "services": services.collect::<Vec<_>>(),
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_000_000, "headerTimeoutS": 3,
                   "idleTimeoutS": 15}
    })
}

/// Settings file of a daemon whose addresses share one address.
#[derive(Clone, Copy, Debug)]
pub struct SettingsText<'a> {
    /// Name of the VM.
    pub vm: &'a str,
    /// Address of the VM.
    pub ip: IpAddr,
    /// Region.
    pub region: &'a str,
    /// Failure domain.
    pub domain: &'a str,
    /// Service of the target.
    pub service: &'a str,
    /// Ports: callers, check-ins, readiness, target, first for other daemons.
    pub ports: [u16; 5],
    /// Address of the store.
    pub store: SocketAddr,
}

impl SettingsText<'_> {
    /// Returns the content of the file.
    #[must_use]
    pub fn text(&self) -> String {
        let Self {
            vm,
            ip,
            region,
            domain,
            service,
            ports,
            store,
        } = self;
        let [callers, check_ins, ready, target, peers] = ports;
        let last = peers + 5;
        format!(
            "node={vm}\nip={ip}\nzone={domain}\nregion={region}\nlisten.outbound={ip}:{callers}\n\
             listen.control={ip}:{check_ins}\nlisten.ready={ip}:{ready}\n\
             internalPorts={peers},{last}\nbootstrap=false\nappAddr={ip}:{target}\n\
             service={service}\nplatform.address={store}\n\
             bounds=graceS=6,retryBudgetRatio=0.5,budgetWindowS=10,retryBudgetBurst=100\n"
        )
    }
}
