//! Bytes and calls that the daemon's other listeners must survive.

use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};

use serde_json::{Value, json};

use crate::support::{DaemonPair, DaemonProcess, raw_text, request, send};

/// Returns bytes that are no protocol of ours; the same on every run.
fn garbage() -> Vec<Vec<u8>> {
    let mixed = (0..2000_u32).map(|n| n.wrapping_mul(2_654_435_761).to_le_bytes()[3]);
    vec![
        vec![0],
        vec![0xff; 1400],
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec(),
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\xff\xff\xff\xff\xff\xff".to_vec(),
        b"GET\r\n\r\n".to_vec(),
        mixed.collect(),
    ]
}

/// Guards against a listener that panics or stops on bytes of another protocol.
#[tokio::test]
async fn garbage_on_every_listener_disturbs_nobody() {
    let pair = DaemonPair::start("bad-bytes").await;
    for daemon in [&pair.entry, &pair.upstream_daemon] {
        for bytes in garbage() {
            for addr in [
                daemon.callers,
                daemon.peers,
                daemon.upstream,
                daemon.operators,
                daemon.metrics,
            ] {
                let mut stream = TcpStream::connect(addr).expect("listener accepts");
                // The listener may have closed the connection already.
                let _ = stream.write_all(&bytes);
            }
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
            let sent = socket.send_to(&bytes[..bytes.len().min(1400)], daemon.peers);
            sent.expect("datagram is sent");
        }
    }
    pair.check_undisturbed("garbage").await;
    pair.entry.wait_for_members(2).await;
    pair.entry.scrape().await;
    pair.upstream_daemon.scrape().await;
}

/// Guards against requests on the peers' port that no daemon sent.
#[tokio::test]
async fn requests_that_no_daemon_sent_are_refused_at_the_peers_port() {
    let pair = DaemonPair::start("bad-peers").await;
    let service = ("cornelvalve-service", "estimateur");
    let complete = [
        service,
        ("cornelvalve-class", "by-method"),
        ("cornelvalve-fingerprint", "00000000000000ff"),
        ("cornelvalve-revision", "1"),
        ("cornelvalve-deadline-ms", "10000"),
        ("cornelvalve-depth", "0"),
    ];
    let get = request("GET", "estimateur.test", "/", &complete, "");
    let response = send(pair.upstream_daemon.peers, get).await.expect("answer");
    assert_eq!(response.status, 200, "{response:?}");
    for (index, value) in [
        (1, "sometimes"),
        (2, "xyz"),
        (3, "-1"),
        (4, "soon"),
        (5, "300"),
    ] {
        let mut headers = complete;
        headers[index].1 = value;
        let get = request("GET", "estimateur.test", "/", &headers, "");
        let response = send(pair.upstream_daemon.peers, get).await.expect("answer");
        assert_eq!(
            response.json()["reason"],
            "bad-request",
            "{headers:?}: {response:?}"
        );
        assert_eq!(response.headers["cornelvalve-outcome"], "not-run");
    }
    for headers in [&[][..], &[service][..]] {
        let get = request("GET", "estimateur.test", "/", headers, "");
        let response = send(pair.upstream_daemon.peers, get).await.expect("answer");
        assert_eq!(response.json()["reason"], "bad-request", "{response:?}");
    }
    for clock in ["", "x", "1", "1.x", "18446744073709551615.4294967295"] {
        let headers = [&complete[..], &[("cornelvalve-clock", clock)]].concat();
        let get = request("GET", "estimateur.test", "/", &headers, "");
        let response = send(pair.upstream_daemon.peers, get).await.expect("answer");
        assert_eq!(response.status, 200, "{clock}: {response:?}");
    }
    for order in ["", "{}", r#"{"service":"estimateur","count":-1}"#] {
        let post = request("POST", "localhost", "/.cornelvalve/tickets", &[], order);
        let response = send(pair.upstream_daemon.peers, post)
            .await
            .expect("answer");
        assert_eq!(
            response.json()["reason"],
            "bad-request",
            "{order}: {response:?}"
        );
    }
    let huge = r#"{"service":"estimateur","count":18446744073709551615}"#;
    let post = request("POST", "localhost", "/.cornelvalve/tickets", &[], huge);
    let response = send(pair.upstream_daemon.peers, post)
        .await
        .expect("answer");
    let issued = response.json().as_array().map(Vec::len);
    assert_eq!(issued, Some(64), "the count is bounded: {response:?}");
    pair.check_undisturbed("forged hops").await;
}

async fn call(daemon: &DaemonProcess, body: String) -> Value {
    let headers = [("content-type", "application/json")];
    let post = request("POST", "localhost", "/", &headers, body);
    send(daemon.operators, post).await.expect("answer").json()
}

fn rpc(method: &str, params: Value) -> String {
    json!({"jsonrpc": "2.0", "id": 7, "method": method, "params": params}).to_string()
}

/// Sends a body that is too long; returns nothing if the connection is reset before the answer.
async fn oversized(addr: SocketAddr, target: &str, body: &str) -> String {
    let head = format!(
        "{target} HTTP/1.1\r\nhost: localhost\r\ncontent-type: application/json\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    raw_text(addr, format!("{head}{body}")).await
}

/// Guards against operators' calls that panic, take effect by mistake or hide their error.
#[tokio::test]
async fn malformed_operators_calls_get_errors() {
    let pair = DaemonPair::start("bad-calls").await;
    let before = pair.entry.ctl_json(&["status"]);
    let change = json!({"id": "not-a-uuid", "author": "a", "operation": {}});
    let publish = json!({"change": change, "wait": "accepted", "timeout_ms": 1});
    let cases = [
        ("not JSON", "{".to_owned(), -32700),
        ("unknown method", rpc("drop_everything", json!({})), -32601),
        (
            "wrong type",
            rpc("in_force", json!({"revision": "many"})),
            -32602,
        ),
        ("negative", rpc("in_force", json!({"revision": -1})), -32602),
        ("missing", rpc("leave", json!({})), -32602),
        ("bad name", rpc("leave", json!({"domain": "EST A"})), -32602),
        ("bad change", rpc("publish", publish), -32602),
        ("no object", rpc("in_force", json!("x")), -32602),
    ];
    for (name, body, code) in cases {
        let response = call(&pair.entry, body).await;
        assert_eq!(response["error"]["code"], code, "{name}: {response}");
    }
    let batch = format!("[{},{}]", rpc("status", json!({})), rpc("none", json!({})));
    let response = call(&pair.entry, batch).await;
    assert_eq!(response[0]["result"]["vm"], "est-a-1", "{response}");
    assert_eq!(response[1]["error"]["code"], -32601, "{response}");

    let long = rpc("leave", json!({"domain": "x".repeat(2 * 1024 * 1024)}));
    let text = oversized(pair.entry.operators, "POST /", &long).await;
    let refused = text.contains(" 413 ") || text.contains("\"error\"") || text.is_empty();
    assert!(refused && !text.contains("\"result\""), "{text}");
    let get = request("GET", "localhost", "/", &[], "");
    let response = send(pair.entry.operators, get).await.expect("answer");
    assert_eq!(response.status, 405, "{response:?}");

    let after = pair.entry.ctl_json(&["status"]);
    assert_eq!(
        before["revision"], after["revision"],
        "a malformed call took effect"
    );
    pair.check_undisturbed("malformed calls").await;
}

async fn announce(daemon: &DaemonProcess, service: &str, body: &str) -> (u16, Value) {
    let headers = [("content-type", "application/json")];
    let path = format!("/v1/upstreams/{service}");
    let put = request("PUT", "localhost", &path, &headers, body.to_owned());
    let response = send(daemon.upstream, put).await.expect("answer");
    let document = serde_json::from_slice(&response.body).unwrap_or_default();
    (response.status.as_u16(), document)
}

/// Guards against announcements that are half understood.
#[tokio::test]
async fn malformed_announcements_are_refused() {
    let pair = DaemonPair::start("bad-announcements").await;
    let good = r#"{"port":1,"slots":1,"incarnation":1,"lease_ms":1000}"#;
    let cases = [
        ("other", "{"),
        ("other", "[]"),
        ("other", ""),
        ("other", r#"{"port":1,"slots":1,"incarnation":1}"#),
        (
            "other",
            r#"{"port":0,"slots":1,"incarnation":1,"lease_ms":1000}"#,
        ),
        (
            "other",
            r#"{"port":1,"slots":0,"incarnation":1,"lease_ms":1000}"#,
        ),
        (
            "other",
            r#"{"port":70000,"slots":1,"incarnation":1,"lease_ms":1000}"#,
        ),
        (
            "other",
            r#"{"port":1,"slots":1,"incarnation":-1,"lease_ms":1000}"#,
        ),
        (
            "other",
            r#"{"port":1,"slots":1,"incarnation":1,"lease_ms":1000,"x":1}"#,
        ),
        ("Not%20A%20Name", good),
        ("%ff", good),
    ];
    for (service, body) in cases {
        let (status, document) = announce(&pair.entry, service, body).await;
        assert_eq!(status, 400, "{service} {body}: {document}");
        assert!(
            document["error"].is_string(),
            "{service} {body}: {document}"
        );
    }
    let long = format!(r#"{{"port":1,"x":"{}"}}"#, "x".repeat(4 * 1024 * 1024));
    let text = oversized(pair.entry.upstream, "PUT /v1/upstreams/other", &long).await;
    let refused = text.contains(" 413 ") || text.contains(" 400 ");
    assert!(text.is_empty() || refused, "{text}");
    let status = pair.entry.ctl_json(&["status"]);
    assert_eq!(
        status["upstreams"],
        json!([]),
        "a malformed announcement took effect"
    );

    // A lease may ask for any time; the setting bounds it.
    let huge = r#"{"port":1,"slots":1,"incarnation":1,"lease_ms":18446744073709551615}"#;
    let (status, document) = announce(&pair.entry, "other", huge).await;
    assert_eq!((status, &document["lease_ms"]), (200, &json!(10_000)));
    let older = r#"{"port":1,"slots":1,"incarnation":0,"lease_ms":1000}"#;
    assert_eq!(announce(&pair.entry, "other", older).await.0, 409);
    pair.check_undisturbed("malformed announcements").await;
}
