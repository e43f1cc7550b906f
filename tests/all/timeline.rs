//! Tests the merged timeline of daemons whose wall clocks differ. Daemons order events by hybrid
//! logical timestamps, which they exchange in the header `cornelvalve-clock`.

use std::net::SocketAddr;
use std::sync::Arc;

use cornelvalve_daemon::config::Config;
use cornelvalve_daemon::{Components, Daemon, ListenAddrs};
use cornelvalve_kernel::{Clock, SystemClock};
use cornelvalve_model::{Moment, ServiceName, WallTime};
use cornelvalve_standins::{LogStandIn, UpstreamHandle, UpstreamOptions, UpstreamStandIn};
use serde_json::Value;

use crate::support::{ctl_json, eventually, request, send, start_fixed_upstream};

/// Loopback address; port 0 lets the system choose a free port.
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Offset between the wall clocks of the two daemons in milliseconds; longer than a test takes, so
/// that timestamps from the wall clocks alone would give a wrong order.
const SKEW_MS: u64 = 50_000;

/// Clock whose wall time is ahead of the system clock.
struct SkewedClock {
    inner: SystemClock,
    skew_ms: u64,
}

impl Clock for SkewedClock {
    fn now(&self) -> Moment {
        self.inner.now()
    }

    fn wall_time(&self) -> WallTime {
        WallTime(self.inner.wall_time().0 + self.skew_ms)
    }
}

/// Starts a daemon, in the process of the test, whose wall clock is ahead by `skew_ms`.
fn start_daemon(
    vm: &str,
    domain: &str,
    log_store: SocketAddr,
    seeds: Vec<SocketAddr>,
    skew_ms: u64,
) -> Daemon {
    let config = Config::builder(
        vm.parse().expect("valid"),
        "qc-est".parse().expect("valid"),
        domain.parse().expect("valid"),
    )
    .listen_callers(LOOPBACK)
    .listen_peers(LOOPBACK)
    .listen_upstream(LOOPBACK)
    .listen_operators(LOOPBACK)
    .listen_metrics(LOOPBACK)
    .log_store_addr(log_store)
    .seeds(seeds)
    .build()
    .expect("configuration is complete");
    let clock = SkewedClock {
        inner: SystemClock::new(),
        skew_ms,
    };
    let components = Components {
        clock: Arc::new(clock),
        ..Components::new(&config)
    };
    Daemon::start_with(&config, components).expect("daemon starts")
}

/// Starts an upstream stand-in that announces itself to a daemon.
async fn start_upstream(daemon: &ListenAddrs) -> UpstreamHandle {
    let mut options = UpstreamOptions::new(ServiceName::new("estimateur").expect("valid"));
    options.daemon = Some(daemon.upstream);
    UpstreamStandIn::start(options)
        .await
        .expect("upstream starts")
}

/// Creates the region and the service.
async fn configure(operators: SocketAddr) {
    let service = ["--name", "estimateur", "--host", "estimateur.test"];
    ctl_json(operators, &["region", "put", "qc-est"]).await;
    ctl_json(operators, &[&["service", "put"], &service[..]].concat()).await;
}

/// Sends requests until an upstream answers one.
async fn wait_for_success(callers: SocketAddr) {
    eventually("successful response", || async {
        let get = request("GET", "estimateur.test", "/", &[], "");
        let response = send(callers, get).await?;
        let succeeded = response.status.is_success();
        succeeded.then_some(()).ok_or(format!("{response:?}"))
    })
    .await;
}

/// Sends a request that the daemon refuses and records as an event.
async fn send_refused(callers: SocketAddr) {
    let get = request("GET", "unknown.test", "/", &[], "");
    let response = send(callers, get)
        .await
        .expect("daemon responds with a refusal");
    assert_eq!(response.json()["reason"], "unknown-service");
}

/// Returns the VM and the event of each entry in the merged timeline of both daemons.
async fn merged_timeline(first: &ListenAddrs, second: &ListenAddrs) -> Vec<(String, Value)> {
    let second = second.operators.to_string();
    let args = ["--daemon", &second, "timeline", "--limit", "4096"];
    let merged = ctl_json(first.operators, &args).await;
    let events = merged.as_array().expect("list of events");
    let pair = |e: &Value| {
        let vm = e["vm"].as_str().expect("VM name").to_owned();
        (vm, e["event"].clone())
    };
    events.iter().map(pair).collect()
}

/// Returns the position of the first event of a VM that `matches` accepts.
fn position(
    events: &[(String, Value)],
    vm: &str,
    matches: impl Fn(&Value) -> bool,
) -> Option<usize> {
    events
        .iter()
        .position(|(event_vm, event)| event_vm == vm && matches(event))
}

fn is_refusal(event: &Value) -> bool {
    event["request-refused"]["reason"] == "unknown-service"
}

/// Guards against a response that does not carry the timestamp of the daemon beside the upstream:
/// earlier events of that daemon would be listed after later events of the entry daemon.
#[tokio::test(flavor = "multi_thread")]
async fn responses_carry_the_daemon_timestamp() {
    let (log_store, _handle) = LogStandIn::start(LOOPBACK).await.unwrap();
    let entry = start_daemon("est-a-1", "est-a", log_store, Vec::new(), 0);
    let entry_addrs = *entry.addresses();
    let upstream_daemon = start_daemon(
        "est-b-1",
        "est-b",
        log_store,
        vec![entry_addrs.peers],
        SKEW_MS,
    );
    let upstream_daemon_addrs = *upstream_daemon.addresses();
    let _upstream = start_upstream(&upstream_daemon_addrs).await;
    configure(entry_addrs.operators).await;
    wait_for_success(entry_addrs.callers).await;
    send_refused(entry_addrs.callers).await;

    let events = eventually("expected events in the timeline", || async {
        let events = merged_timeline(&entry_addrs, &upstream_daemon_addrs).await;
        let refused = position(&events, "est-a-1", is_refusal);
        refused.map(|_| events).ok_or("no refusal yet".to_owned())
    })
    .await;
    let announced = position(&events, "est-b-1", |e| !e["upstream-announced"].is_null());
    let refused = position(&events, "est-a-1", is_refusal);
    assert!(announced.is_some() && announced < refused, "{events:?}");
}

/// Guards against a forwarded request that does not carry the timestamp of the entry daemon:
/// earlier events of that daemon would be listed after the events that the request causes.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_requests_carry_the_daemon_timestamp() {
    let (log_store, _handle) = LogStandIn::start(LOOPBACK).await.unwrap();
    let entry = start_daemon("est-a-1", "est-a", log_store, Vec::new(), SKEW_MS);
    let entry_addrs = *entry.addresses();
    let upstream_daemon = start_daemon("est-b-1", "est-b", log_store, vec![entry_addrs.peers], 0);
    let upstream_daemon_addrs = *upstream_daemon.addresses();
    let upstream = start_upstream(&upstream_daemon_addrs).await;
    configure(entry_addrs.operators).await;
    send_refused(entry_addrs.callers).await;
    wait_for_success(entry_addrs.callers).await;
    upstream
        .shut_down(std::time::Duration::from_secs(30))
        .await
        .expect("upstream shuts down");

    let is_lost = |e: &Value| !e["upstream-lost"].is_null();
    let events = eventually("expected events in the timeline", || async {
        let events = merged_timeline(&entry_addrs, &upstream_daemon_addrs).await;
        let lost = position(&events, "est-b-1", is_lost);
        lost.map(|_| events).ok_or("not lost yet".to_owned())
    })
    .await;
    let refused = position(&events, "est-a-1", is_refusal);
    let lost = position(&events, "est-b-1", is_lost);
    assert!(refused.is_some() && refused < lost, "{events:?}");
}

/// Response of an upstream with a timestamp and an outcome, which only daemons may set. The
/// timestamp is in milliseconds since the Unix epoch and lies in the year 2255.
const FORGED_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncornelvalve-clock: 9000000000000.0\r\n\
    cornelvalve-upstream-us: 1\r\ncornelvalve-outcome: not-run\r\ncontent-length: 2\r\n\
    connection: close\r\n\r\nok";

/// Guards against callers and upstreams that set or see the timestamps that daemons exchange.
#[tokio::test(flavor = "multi_thread")]
async fn timestamp_headers_are_stripped_from_callers_and_upstreams() {
    let (log_store, _handle) = LogStandIn::start(LOOPBACK).await.unwrap();
    let entry = start_daemon("est-a-1", "est-a", log_store, Vec::new(), 0);
    let addr = *entry.addresses();
    let mut received = start_fixed_upstream(addr.upstream, "estimateur", FORGED_RESPONSE).await;
    configure(addr.operators).await;
    wait_for_success(addr.callers).await;
    // Discards the requests of `wait_for_success`.
    while received.try_recv().is_ok() {}

    let ahead = SystemClock::new().wall_time().0 + SKEW_MS;
    let clock = format!("{ahead}.0");
    let headers = [("cornelvalve-clock", clock.as_str())];
    let get = request("GET", "estimateur.test", "/", &headers, "");
    let response = send(addr.callers, get).await.expect("daemon responds");
    assert_eq!(response.status, 200);
    let is_internal = |name: &str| name.starts_with("cornelvalve-");
    let exposed = response
        .headers
        .keys()
        .any(|name| is_internal(name.as_str()));
    assert!(!exposed, "{response:?}");
    let sent = received
        .recv()
        .await
        .expect("upstream has received a request")
        .to_lowercase();
    assert!(!sent.contains("cornelvalve-clock"), "{sent}");

    send_refused(addr.callers).await;
    let events = ctl_json(addr.operators, &["timeline"]).await;
    let latest = events
        .as_array()
        .and_then(|e| e.last())
        .expect("timeline has events");
    let wall_ms = latest["at"]["wall_ms"]
        .as_u64()
        .expect("event has a wall time");
    assert!(wall_ms < ahead, "{latest}");
}
