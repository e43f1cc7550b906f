//! What logs, timeline and metrics must not contain.

use std::io::Write;
use std::net::{TcpStream, UdpSocket};

use crate::support::{DaemonProcess, Mesh, VmSpec, eventually, request, send};

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");

/// Part of every key, path, secret and body that the test sends.
const MARK: &str = "zq7marked";

/// Sends what is no datagram and no request, which is logged at debug level.
fn send_garbage(daemon: &DaemonProcess) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let sent = socket.send_to(MARK.as_bytes(), daemon.peers);
    sent.expect("datagram is sent");
    let mut stream = TcpStream::connect(daemon.callers).expect("listener accepts");
    let garbage = format!("{MARK} {MARK}\r\n\r\n");
    stream
        .write_all(garbage.as_bytes())
        .expect("bytes are sent");
}

/// Guards against keys, paths, secrets and bodies of requests in what operators see.
#[tokio::test]
async fn nothing_of_a_request_reaches_logs_timeline_or_metrics() {
    let mesh = Mesh::start("privacy");
    let entry = mesh.start_daemon(EST_A, &[]);
    let upstream_daemon = mesh.start_daemon(EST_B, &[entry.peers]);
    entry.wait_for_members(2).await;
    let (_upstream, _) = upstream_daemon.start_upstream("remise", 10);
    entry.put_service("remise", &["file=/file:at-most-once", "rest=/"]);
    entry.wait_for_service("remise").await;

    let secret = format!("{MARK}-secret");
    let key = format!("{MARK}-key");
    let headers = [
        ("authorization", secret.as_str()),
        ("cookie", &secret),
        ("idempotency-key", &key),
    ];
    let team = [("cornelvalve-team", "zq7marked-team")];
    let deadline = [("cornelvalve-deadline-ms", "zq7marked")];
    let query = format!("/{MARK}-path?{MARK}=1");
    let file = format!("/file/{MARK}");
    let small = format!("{MARK} body");
    let large = format!("{MARK} body").repeat(20_000);
    let sent = [
        // Completed, buffered and streamed.
        ("remise.test", &query, &headers[..], &small, 200),
        ("remise.test", &query, &headers[..], &large, 200),
        // Refused at each step of the entry.
        ("remise.test", &file, &headers[..], &small, 422),
        ("remise.test", &query, &team[..], &small, 403),
        ("remise.test", &query, &deadline[..], &small, 400),
        ("zq7marked.test", &query, &headers[..], &small, 404),
    ];
    for (host, path, headers, body, status) in sent {
        let post = request("POST", host, path, headers, body.clone());
        let response = send(entry.callers, post).await.unwrap();
        assert_eq!(response.status, status, "{host}{path}: {response:?}");
    }

    // Each refusal is recorded before its answer is sent.
    let events = entry.ctl(&["--output", "json", "timeline"]);
    for reason in [
        "bad-ticket",
        "unknown-team",
        "bad-request",
        "unknown-service",
    ] {
        assert!(events.contains(reason), "{reason} is missing: {events}");
    }
    for daemon in [&entry, &upstream_daemon] {
        send_garbage(daemon);
        // Without a line at debug level the test would prove nothing.
        eventually("lines at debug level", || async {
            let lines = daemon.log_lines();
            let logged = lines.contains("datagram from") && lines.contains("connection ended");
            logged.then_some(()).ok_or(lines)
        })
        .await;
        let timeline = daemon.ctl(&["--output", "json", "timeline"]);
        let metrics = daemon.scrape().await;
        let lines = daemon.log_lines();
        for (name, text) in [("timeline", timeline), ("metrics", metrics), ("log", lines)] {
            assert!(!text.contains(MARK), "{name} contains a mark: {text}");
        }
    }
}
