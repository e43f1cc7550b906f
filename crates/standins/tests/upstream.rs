//! Tests of the upstream stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use cornelvalve_model::ServiceName;
use cornelvalve_standins::{
    ColdStart, UpstreamExit, UpstreamFaults, UpstreamHandle, UpstreamOptions, UpstreamStandIn,
};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Maximum time for a step of a test; long enough that only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Status and body of a response.
type ResponseResult = Result<(StatusCode, Bytes), hyper::Error>;

/// Sends a request with the body `hello` over a new connection.
async fn send(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
) -> ResponseResult {
    send_body(addr, method, path, headers, "hello").await
}

/// Sends a request over a new connection.
async fn send_body(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &'static str,
) -> ResponseResult {
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

/// Starts a stand-in that announces itself to no daemon.
async fn start(faults: UpstreamFaults) -> UpstreamHandle {
    let mut options = options();
    options.faults = faults;
    UpstreamStandIn::start(options).await.expect("free port")
}

fn options() -> UpstreamOptions {
    UpstreamOptions::new(ServiceName::new("estimateur").expect("valid name"))
}

/// Guards against runs that are not counted, and against responses whose body is not that of the
/// request or does not have the size that the request asks for.
#[tokio::test]
async fn counts_runs_and_echoes() {
    let upstream = start(UpstreamFaults::default()).await;
    for _ in 0..2 {
        let response = send(
            upstream.addr(),
            Method::POST,
            "/a",
            &[("x-request-id", "r1")],
        )
        .await;
        assert_eq!(response.unwrap(), (StatusCode::OK, Bytes::from("hello")));
    }
    let sized = send(upstream.addr(), Method::GET, "/b", &[("x-echo-bytes", "3")]).await;
    assert_eq!(sized.unwrap().1, "xxx");
    let (_, runs) = send(upstream.addr(), Method::GET, "/_standin/runs", &[])
        .await
        .unwrap();
    assert_eq!(runs, r#"{"r1":2}"#);
}

/// Guards against concurrency statistics that miss requests that run at the same time, or whose
/// peak of a cold start includes requests that the cold start does not slow down.
#[tokio::test]
async fn reports_concurrency_during_a_cold_start() {
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
    let stats = upstream.concurrency_stats().await;
    // 12 frozen requests overran the 10 slots; only the last one was slowed down, and ran alone.
    assert_eq!(
        (stats.running, stats.peak, stats.peak_cold, stats.overruns),
        (0, 12, 1, 2)
    );
}

/// Guards against `fail_fast` and `cut_body` having no effect, which would let other tests pass
/// without these faults.
#[tokio::test]
async fn fail_fast_and_cut_body_take_effect() {
    let upstream = start(UpstreamFaults::default()).await;
    let addr = upstream.addr();
    let fail = r#"{"fail_fast":true}"#;
    let accepted = send_body(addr, Method::PUT, "/_standin/faults", &[JSON], fail).await;
    assert_eq!(accepted.unwrap().0, StatusCode::NO_CONTENT);
    let failed = send(addr, Method::GET, "/a", &[]).await;
    assert_eq!(failed.unwrap().0, StatusCode::INTERNAL_SERVER_ERROR);
    upstream
        .set_faults(UpstreamFaults {
            cut_body: true,
            ..Default::default()
        })
        .await;
    let truncated = send(addr, Method::GET, "/a", &[("x-echo-bytes", "100000")]).await;
    assert!(
        truncated.is_err(),
        "a truncated body must not look complete"
    );
}

/// Content type of a request with a JSON body.
const JSON: (&str, &str) = ("content-type", "application/json");

/// Guards against a crash that still sends a response, or that leaves the listener open.
#[tokio::test]
async fn crashes_on_the_header_of_the_fault() {
    let crash_on = Some("x-poison".to_owned());
    let mut upstream = start(UpstreamFaults {
        crash_on,
        ..Default::default()
    })
    .await;
    let addr = upstream.addr();
    let headers = [("x-poison", "1"), ("x-request-id", "r1")];
    assert!(send(addr, Method::GET, "/a", &headers).await.is_err());
    let exit = tokio::time::timeout(TEST_TIMEOUT, upstream.wait()).await;
    assert_eq!(exit.unwrap(), UpstreamExit::Crashed);
    upstream.crash().await;
    assert!(TcpStream::connect(addr).await.is_err());
}

/// Starts a fake daemon that accepts any call; returns its address and the calls as text.
async fn fake_daemon() -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let (sender, calls) = mpsc::unbounded_channel();
    let record = |State(sender): State<mpsc::UnboundedSender<String>>,
                  method: Method,
                  uri: http::Uri,
                  body: String| async move {
        let _ = sender.send(format!("{method} {uri} {body}"));
        StatusCode::NO_CONTENT
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let addr = listener.local_addr().expect("bound");
    let router = Router::new().fallback(record).with_state(sender);
    tokio::spawn(async move { axum::serve(listener, router).await });
    (addr, calls)
}

/// Guards against a lease that is not renewed, and against a graceful shutdown that interrupts a
/// running request or is followed by another announcement.
#[tokio::test]
async fn announces_renews_and_shuts_down() {
    let (daemon, mut calls) = fake_daemon().await;
    let mut options = options();
    options.daemon = Some(daemon);
    options.lease = Duration::from_millis(60);
    let upstream = UpstreamStandIn::start(options).await.unwrap();
    let addr = upstream.addr();
    let announcement = format!(
        "PUT /v1/upstreams/estimateur {{\"port\":{},\"slots\":10,\"incarnation\":1,\"lease_ms\":60}}",
        addr.port()
    );
    for _ in 0..3 {
        assert_eq!(calls.recv().await.as_deref(), Some(announcement.as_str()));
    }
    let running = tokio::spawn(send(addr, Method::GET, "/a", &[("x-work-ms", "200")]));
    while upstream.concurrency_stats().await.running == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    upstream.shut_down(TEST_TIMEOUT).await.unwrap();
    assert_eq!(running.await.unwrap().unwrap().0, StatusCode::OK);
    let mut rest = Vec::new();
    while let Ok(call) = calls.try_recv() {
        rest.push(call);
    }
    let non_announcements: Vec<&String> = rest.iter().filter(|c| **c != announcement).collect();
    assert_eq!(
        non_announcements,
        [
            "POST /v1/upstreams/estimateur/drain ",
            "DELETE /v1/upstreams/estimateur "
        ]
    );
    assert_eq!(
        rest.last(),
        non_announcements.last().copied(),
        "announced again after the withdrawal"
    );
}
