//! Tests that log lines, timeline and metrics contain no contents of requests.

use std::io::Write;
use std::net::{TcpStream, UdpSocket};

use crate::support::{DaemonProcess, Mesh, VmSpec, eventually, request, send};

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");

/// Text in every key, path, secret and body that the test sends; unlikely to occur by chance. Some
/// literals below contain it, too.
const MARKER: &str = "zq7marked";

/// Sends an invalid datagram and an invalid request, which the daemon logs at debug level.
fn send_garbage(daemon: &DaemonProcess) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let sent = socket.send_to(MARKER.as_bytes(), daemon.peers);
    sent.expect("datagram is sent");
    let mut stream = TcpStream::connect(daemon.callers).expect("listener accepts");
    let garbage = format!("{MARKER} {MARKER}\r\n\r\n");
    stream
        .write_all(garbage.as_bytes())
        .expect("bytes are sent");
}

/// Guards against keys, paths, secrets and bodies of requests that leak into log lines, timeline or
/// metrics.
#[tokio::test]
async fn request_contents_stay_out_of_logs_timeline_and_metrics() {
    let mesh = Mesh::start("privacy");
    let entry = mesh.start_daemon(EST_A, &[]);
    let upstream_daemon = mesh.start_daemon(EST_B, &[entry.peers]);
    entry.wait_for_members(2).await;
    let (_upstream, _) = upstream_daemon.start_upstream("remise", 10);
    entry.put_service("remise", &["file=/file:at-most-once", "rest=/"]);
    entry.wait_for_service("remise").await;

    // Requests to /file run at most once, so their idempotency key must be a ticket.
    let secret = format!("{MARKER}-secret");
    let key = format!("{MARKER}-key");
    let headers = [
        ("authorization", secret.as_str()),
        ("cookie", &secret),
        ("idempotency-key", &key),
    ];
    let team = [("cornelvalve-team", "zq7marked-team")];
    let deadline = [("cornelvalve-deadline-ms", "zq7marked")];
    let query = format!("/{MARKER}-path?{MARKER}=1");
    let file = format!("/file/{MARKER}");
    let small = format!("{MARKER} body");
    let large = format!("{MARKER} body").repeat(20_000);
    let sent = [
        // Completed, with a body that the daemon buffers and one that it streams.
        ("remise.test", &query, &headers[..], &small, 200),
        ("remise.test", &query, &headers[..], &large, 200),
        // Refused at each check of the entry daemon.
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

    // The daemon records each refusal before it sends the response.
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
        // Without debug lines about the invalid input the checks below would prove nothing.
        eventually("debug lines", || async {
            let lines = daemon.log_lines();
            let logged = lines.contains("datagram from") && lines.contains("connection ended");
            logged.then_some(()).ok_or(lines)
        })
        .await;
        let timeline = daemon.ctl(&["--output", "json", "timeline"]);
        let metrics = daemon.scrape().await;
        let lines = daemon.log_lines();
        for (name, text) in [("timeline", timeline), ("metrics", metrics), ("log", lines)] {
            assert!(!text.contains(MARKER), "{name} contains the marker: {text}");
        }
    }
}
