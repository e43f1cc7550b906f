//! The merged timeline of daemons whose wall clocks differ.

use std::net::SocketAddr;
use std::sync::Arc;

use cornelvalve_daemon::config::Config;
use cornelvalve_daemon::{Components, Daemon, ListenAddrs};
use cornelvalve_kernel::{Clock, SystemClock};
use cornelvalve_model::{Moment, ServiceName, WallTime};
use cornelvalve_standins::{LogStandIn, UpstreamHandle, UpstreamOptions, UpstreamStandIn};
use serde_json::Value;

use crate::support::{ctl_json, eventually, request, send, start_fixed_upstream};

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Lead of one wall clock over the other; more than the test takes.
const LEAD_MS: u64 = 50_000;

/// Clock of a VM whose wall clock is ahead.
struct LeadingClock {
    inner: SystemClock,
    lead_ms: u64,
}

impl Clock for LeadingClock {
    fn now(&self) -> Moment {
        self.inner.now()
    }

    fn wall_time(&self) -> WallTime {
        WallTime(self.inner.wall_time().0 + self.lead_ms)
    }
}

fn daemon(vm: &str, domain: &str, log: SocketAddr, seeds: Vec<SocketAddr>, lead_ms: u64) -> Daemon {
    let parsed = |text: &str| text.parse().expect("valid");
    let config = Config::builder(
        vm.parse().expect("valid"),
        "qc-est".parse().expect("valid"),
        parsed(domain),
    )
    .listen_callers(LOOPBACK)
    .listen_peers(LOOPBACK)
    .listen_upstream(LOOPBACK)
    .listen_operators(LOOPBACK)
    .listen_metrics(LOOPBACK)
    .log_store_addr(log)
    .seeds(seeds)
    .build()
    .expect("configuration is complete");
    let clock = LeadingClock {
        inner: SystemClock::new(),
        lead_ms,
    };
    let components = Components {
        clock: Arc::new(clock),
        ..Components::new(&config)
    };
    Daemon::start_with(&config, components).expect("daemon starts")
}

async fn upstream(upstream_daemon: &ListenAddrs) -> UpstreamHandle {
    let mut options = UpstreamOptions::new(ServiceName::new("estimateur").expect("valid"));
    options.daemon = Some(upstream_daemon.upstream);
    UpstreamStandIn::start(options)
        .await
        .expect("upstream starts")
}

async fn configure(operators: SocketAddr) {
    let service = ["--name", "estimateur", "--host", "estimateur.test"];
    ctl_json(operators, &["region", "put", "qc-est"]).await;
    ctl_json(operators, &[&["service", "put"], &service[..]].concat()).await;
}

async fn wait_for_answer(callers: SocketAddr) {
    eventually("answer", || async {
        let get = request("GET", "estimateur.test", "/", &[], "");
        let response = send(callers, get).await?;
        let answered = response.status.is_success();
        answered.then_some(()).ok_or(format!("{response:?}"))
    })
    .await;
}

async fn refuse_one(callers: SocketAddr) {
    let get = request("GET", "unknown.test", "/", &[], "");
    let response = send(callers, get).await.expect("refusal");
    assert_eq!(response.json()["reason"], "unknown-service");
}

/// Returns the events of both daemons in one order, by VM and kind.
async fn merged(first: &ListenAddrs, second: &ListenAddrs) -> Vec<(String, Value)> {
    let second = second.operators.to_string();
    let args = ["--daemon", &second, "timeline", "--limit", "4096"];
    let merged = ctl_json(first.operators, &args).await;
    let events = merged.as_array().expect("list of events");
    let pair = |e: &Value| {
        let vm = e["vm"].as_str().expect("name").to_owned();
        (vm, e["event"].clone())
    };
    events.iter().map(pair).collect()
}

fn position(events: &[(String, Value)], vm: &str, found: impl Fn(&Value) -> bool) -> Option<usize> {
    events
        .iter()
        .position(|(at, event)| at == vm && found(event))
}

fn is_refusal(event: &Value) -> bool {
    event["request-refused"]["reason"] == "unknown-service"
}

/// Guards against an answer that does not carry the clock of the daemon beside the upstream: what
/// that daemon did before would stand after what the entry does next.
#[tokio::test(flavor = "multi_thread")]
async fn answers_carry_the_clock() {
    let (log, _handle) = LogStandIn::start(LOOPBACK).await.unwrap();
    let entry = daemon("est-a-1", "est-a", log, Vec::new(), 0);
    let entry_addr = *entry.addresses();
    let upstream_daemon = daemon("est-b-1", "est-b", log, vec![entry_addr.peers], LEAD_MS);
    let upstream_daemon_addr = *upstream_daemon.addresses();
    let _upstream = upstream(&upstream_daemon_addr).await;
    configure(entry_addr.operators).await;
    wait_for_answer(entry_addr.callers).await;
    refuse_one(entry_addr.callers).await;

    let events = eventually("events", || async {
        let events = merged(&entry_addr, &upstream_daemon_addr).await;
        let refused = position(&events, "est-a-1", is_refusal);
        refused.map(|_| events).ok_or("no refusal yet".to_owned())
    })
    .await;
    let announced = position(&events, "est-b-1", |e| !e["upstream-announced"].is_null());
    let refused = position(&events, "est-a-1", is_refusal);
    assert!(announced.is_some() && announced < refused, "{events:?}");
}

/// Guards against a forwarded request that does not carry the clock of the entry: what the entry
/// did before would stand after what the request causes.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_requests_carry_the_clock() {
    let (log, _handle) = LogStandIn::start(LOOPBACK).await.unwrap();
    let entry = daemon("est-a-1", "est-a", log, Vec::new(), LEAD_MS);
    let entry_addr = *entry.addresses();
    let upstream_daemon = daemon("est-b-1", "est-b", log, vec![entry_addr.peers], 0);
    let upstream_daemon_addr = *upstream_daemon.addresses();
    let upstream = upstream(&upstream_daemon_addr).await;
    configure(entry_addr.operators).await;
    refuse_one(entry_addr.callers).await;
    wait_for_answer(entry_addr.callers).await;
    upstream
        .shut_down(std::time::Duration::from_secs(30))
        .await
        .expect("upstream leaves");

    let is_lost = |e: &Value| !e["upstream-lost"].is_null();
    let events = eventually("events", || async {
        let events = merged(&entry_addr, &upstream_daemon_addr).await;
        let lost = position(&events, "est-b-1", is_lost);
        lost.map(|_| events).ok_or("not lost yet".to_owned())
    })
    .await;
    let refused = position(&events, "est-a-1", is_refusal);
    let lost = position(&events, "est-b-1", is_lost);
    assert!(refused.is_some() && refused < lost, "{events:?}");
}

/// Answer of an upstream that claims a reading and an outcome, which only daemons may set.
const FORGED: &str = "HTTP/1.1 200 OK\r\ncornelvalve-clock: 9000000000000.0\r\n\
    cornelvalve-upstream-us: 1\r\ncornelvalve-outcome: not-run\r\ncontent-length: 2\r\n\
    connection: close\r\n\r\nok";

/// Guards against callers and upstreams that move the clock or see it.
#[tokio::test(flavor = "multi_thread")]
async fn clock_is_stripped_from_callers_and_upstreams() {
    let (log, _handle) = LogStandIn::start(LOOPBACK).await.unwrap();
    let entry = daemon("est-a-1", "est-a", log, Vec::new(), 0);
    let addr = *entry.addresses();
    let mut received = start_fixed_upstream(addr.upstream, "estimateur", FORGED).await;
    configure(addr.operators).await;
    wait_for_answer(addr.callers).await;
    while received.try_recv().is_ok() {}

    let ahead = SystemClock::new().wall_time().0 + LEAD_MS;
    let clock = format!("{ahead}.0");
    let headers = [("cornelvalve-clock", clock.as_str())];
    let get = request("GET", "estimateur.test", "/", &headers, "");
    let response = send(addr.callers, get).await.expect("answer");
    assert_eq!(response.status, 200);
    let internal = |name: &str| name.starts_with("cornelvalve-");
    let shown = response.headers.keys().any(|name| internal(name.as_str()));
    assert!(!shown, "{response:?}");
    let sent = received.recv().await.expect("request").to_lowercase();
    assert!(!sent.contains("cornelvalve-clock"), "{sent}");

    refuse_one(addr.callers).await;
    let events = ctl_json(addr.operators, &["timeline"]).await;
    let latest = events.as_array().and_then(|e| e.last()).expect("events");
    let wall_ms = latest["at"]["wall_ms"].as_u64().expect("number");
    assert!(wall_ms < ahead, "{latest}");
}
