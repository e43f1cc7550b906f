//! Tests of the upstream stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use cornelvalve_model::ServiceName;
use cornelvalve_standins::{
    ColdStart, UpstreamEnd, UpstreamFaults, UpstreamHandle, UpstreamOptions, UpstreamStandIn,
};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Bound on waiting for something that must happen; reached only in a failed run.
const PATIENCE: Duration = Duration::from_secs(20);

type Reply = Result<(StatusCode, Bytes), hyper::Error>;

async fn send(addr: SocketAddr, method: Method, path: &str, headers: &[(&str, &str)]) -> Reply {
    send_body(addr, method, path, headers, "hello").await
}

async fn send_body(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &'static str,
) -> Reply {
    let socket = TcpStream::connect(addr).await.expect("stand-in listens");
    let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
    let connection = tokio::spawn(connection);
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "upstream");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body)))
        .expect("valid request");
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    connection.abort();
    Ok((status, body))
}

async fn start(faults: UpstreamFaults) -> UpstreamHandle {
    let mut options = options();
    options.faults = faults;
    UpstreamStandIn::start(options).await.expect("free port")
}

fn options() -> UpstreamOptions {
    UpstreamOptions::new(ServiceName::new("estimateur").expect("valid name"))
}

/// Guards against runs that are not counted and against answers to another request.
#[tokio::test]
async fn counts_runs_and_echoes() {
    let upstream = start(UpstreamFaults::default()).await;
    for _ in 0..2 {
        let reply = send(
            upstream.addr(),
            Method::POST,
            "/a",
            &[("x-request-id", "r1")],
        )
        .await;
        assert_eq!(reply.unwrap(), (StatusCode::OK, Bytes::from("hello")));
    }
    let sized = send(upstream.addr(), Method::GET, "/b", &[("x-echo-bytes", "3")]).await;
    assert_eq!(sized.unwrap().1, "xxx");
    let (_, runs) = send(upstream.addr(), Method::GET, "/_standin/runs", &[])
        .await
        .unwrap();
    assert_eq!(runs, r#"{"r1":2}"#);
}

/// Guards against a peak that misses requests that run at the same time.
#[tokio::test]
async fn reports_the_peak_of_a_cold_start() {
    let cold = Some(ColdStart {
        requests: 2,
        factor: 4.0,
    });
    let upstream = start(UpstreamFaults {
        cold,
        freeze: true,
        ..Default::default()
    })
    .await;
    let addr = upstream.addr();
    let requests: Vec<_> = (0..12)
        .map(|_| tokio::spawn(send(addr, Method::GET, "/a", &[])))
        .collect();
    while upstream.concurrency_stats().await.running < 12 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    upstream
        .set_faults(UpstreamFaults {
            cold,
            ..Default::default()
        })
        .await;
    for request in requests {
        assert_eq!(request.await.unwrap().unwrap().0, StatusCode::OK);
    }
    send(addr, Method::GET, "/a", &[]).await.unwrap();
    let peak = upstream.concurrency_stats().await;
    assert_eq!(
        (peak.running, peak.peak, peak.peak_cold, peak.overruns),
        (0, 12, 1, 2)
    );
}

/// Guards against faults that have no effect, which would let tests pass without a fault.
#[tokio::test]
async fn faults_take_effect() {
    let upstream = start(UpstreamFaults::default()).await;
    let addr = upstream.addr();
    let fail = r#"{"fail_fast":true}"#;
    let set = send_body(addr, Method::PUT, "/_standin/faults", &[JSON], fail).await;
    assert_eq!(set.unwrap().0, StatusCode::NO_CONTENT);
    let failed = send(addr, Method::GET, "/a", &[]).await;
    assert_eq!(failed.unwrap().0, StatusCode::INTERNAL_SERVER_ERROR);
    upstream
        .set_faults(UpstreamFaults {
            cut_body: true,
            ..Default::default()
        })
        .await;
    let cut = send(addr, Method::GET, "/a", &[("x-echo-bytes", "100000")]).await;
    assert!(cut.is_err(), "a cut body must not look complete");
}

const JSON: (&str, &str) = ("content-type", "application/json");

/// Guards against a crash that answers, or that leaves the listener open.
#[tokio::test]
async fn crashes_on_the_header() {
    let crash_on = Some("x-poison".to_owned());
    let mut upstream = start(UpstreamFaults {
        crash_on,
        ..Default::default()
    })
    .await;
    let addr = upstream.addr();
    let headers = [("x-poison", "1"), ("x-request-id", "r1")];
    assert!(send(addr, Method::GET, "/a", &headers).await.is_err());
    let end = tokio::time::timeout(PATIENCE, upstream.wait()).await;
    assert_eq!(end.unwrap(), UpstreamEnd::Crashed);
    upstream.crash().await;
    assert!(TcpStream::connect(addr).await.is_err());
}

async fn fake_daemon() -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let (seen, calls) = mpsc::unbounded_channel();
    let record = |State(seen): State<mpsc::UnboundedSender<String>>,
                  method: Method,
                  uri: http::Uri,
                  body: String| async move {
        let _ = seen.send(format!("{method} {uri} {body}"));
        StatusCode::NO_CONTENT
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let addr = listener.local_addr().expect("bound");
    let router = Router::new().fallback(record).with_state(seen);
    tokio::spawn(async move { axum::serve(listener, router).await });
    (addr, calls)
}

/// Guards against a lease that is not renewed, and against an end that interrupts a request or
/// announces the upstream again.
#[tokio::test]
async fn announces_renews_and_leaves() {
    let (daemon, mut calls) = fake_daemon().await;
    let mut options = options();
    options.daemon = Some(daemon);
    options.lease = Duration::from_millis(60);
    let upstream = UpstreamStandIn::start(options).await.unwrap();
    let addr = upstream.addr();
    let put = format!(
        "PUT /v1/upstreams/estimateur {{\"port\":{},\"slots\":10,\"incarnation\":1,\"lease_ms\":60}}",
        addr.port()
    );
    for _ in 0..3 {
        assert_eq!(calls.recv().await.as_deref(), Some(put.as_str()));
    }
    let running = tokio::spawn(send(addr, Method::GET, "/a", &[("x-work-ms", "200")]));
    while upstream.concurrency_stats().await.running == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    upstream.shut_down(PATIENCE).await.unwrap();
    assert_eq!(running.await.unwrap().unwrap().0, StatusCode::OK);
    let mut rest = Vec::new();
    while let Ok(call) = calls.try_recv() {
        rest.push(call);
    }
    let renewals = |call: &&String| **call != put;
    let others: Vec<&String> = rest.iter().filter(renewals).collect();
    assert_eq!(
        others,
        [
            "POST /v1/upstreams/estimateur/drain ",
            "DELETE /v1/upstreams/estimateur "
        ]
    );
    assert_eq!(
        rest.last(),
        others.last().copied(),
        "announced again after the withdrawal"
    );
}
