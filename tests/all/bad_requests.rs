//! Callers' requests that are malformed or meant to confuse.

use std::net::SocketAddr;

use crate::support::{
    DaemonPair, Mesh, VmSpec, raw_exchange, raw_text, request, send, start_fixed_upstream,
};

/// Returns the status of a raw response.
fn status(text: &str) -> u16 {
    let code = text.split(' ').nth(1).and_then(|code| code.parse().ok());
    code.unwrap_or_else(|| panic!("{text:?} is no response"))
}

/// Guards against a malformed header that is ignored, ends in a panic or hides its reason.
#[tokio::test]
async fn malformed_headers_are_refused_as_not_run() {
    let pair = DaemonPair::start("bad-headers").await;
    let cases = [
        ("cornelvalve-deadline-ms", "soon", "bad-request"),
        ("cornelvalve-deadline-ms", "-1", "bad-request"),
        (
            "cornelvalve-deadline-ms",
            "99999999999999999999",
            "bad-request",
        ),
        ("cornelvalve-deadline-ms", "0", "deadline"),
        ("cornelvalve-depth", "x", "bad-request"),
        ("cornelvalve-depth", "256", "bad-request"),
        ("cornelvalve-depth", "10", "too-deep"),
        ("cornelvalve-team", "Not A Name", "bad-request"),
        ("cornelvalve-team", "", "bad-request"),
        ("cornelvalve-team", "nobody", "unknown-team"),
    ];
    for (name, value, reason) in cases {
        let get = request("GET", "estimateur.test", "/", &[(name, value)], "");
        let answer = send(pair.entry.callers, get).await.expect("answer");
        let case = format!("{name}: {value}");
        assert_eq!(answer.json()["reason"], reason, "{case}: {answer:?}");
        assert_eq!(answer.json()["outcome"], "not-run", "{case}");
        assert!(answer.json()["remedy"].is_string(), "{case}");
    }
    // The longest deadline that can be written must not overflow a clock.
    let longest = [("cornelvalve-deadline-ms", "18446744073709551615")];
    let get = request("GET", "estimateur.test", "/", &longest, "");
    let answer = send(pair.entry.callers, get).await.expect("answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    pair.check_undisturbed("malformed headers").await;
}

/// Guards against keys that are not tickets, also with bytes that no ticket can have.
#[tokio::test]
async fn keys_that_are_no_tickets_are_refused() {
    let pair = DaemonPair::start("bad-keys").await;
    for key in ["mine", "", "cv1.", "cv1.AAAA.BBBB", &"x".repeat(5000)] {
        let headers = [("idempotency-key", key)];
        let post = request("POST", "estimateur.test", "/file", &headers, "once");
        let answer = send(pair.entry.callers, post).await.expect("answer");
        assert_eq!(answer.json()["reason"], "bad-ticket", "{key}: {answer:?}");
    }
    let head = b"POST /file HTTP/1.1\r\nhost: estimateur.test\r\nconnection: close\r\n\
        content-length: 0\r\nidempotency-key: \xff\xfe\r\n\r\n";
    let text = raw_text(pair.entry.callers, head).await;
    assert_eq!(status(&text), 400, "{text}");
    for order in [
        "",
        "[]",
        r#"{"path":1}"#,
        r#"{"path":"/file","count":-1}"#,
        r#"{"path":"/file","extra":1}"#,
        &format!(r#"{{"path":"/{}"}}"#, "x".repeat(5000)),
    ] {
        let path = "/.well-known/cornelvalve/tickets";
        let post = request("POST", "estimateur.test", path, &[], order.to_owned());
        let answer = send(pair.entry.callers, post).await.expect("answer");
        assert_eq!(
            answer.json()["reason"],
            "bad-request",
            "{order}: {answer:?}"
        );
    }
    pair.check_undisturbed("bad keys").await;
}

/// Guards against memory that grows with the head of a request.
#[tokio::test]
async fn oversized_heads_are_refused() {
    let pair = DaemonPair::start("bad-heads").await;
    let long = "x".repeat(256 * 1024);
    let head = "host: estimateur.test\r\nconnection: close\r\n";
    let cases = [
        format!("GET /{long} HTTP/1.1\r\n{head}\r\n"),
        format!("GET / HTTP/1.1\r\n{head}x-long: {long}\r\n\r\n"),
        format!(
            "GET / HTTP/1.1\r\n{head}{}\r\n",
            "x-many: 1\r\n".repeat(1000)
        ),
    ];
    for case in cases {
        let text = raw_text(pair.entry.callers, &case).await;
        let code = status(&text);
        let start = &case[..20];
        assert!(code == 431 || code == 414, "{start}: {text}");
    }
    pair.check_undisturbed("oversized heads").await;
}

/// Guards against requests that an entry and an upstream delimit differently, so that a part of
/// the body runs as another request.
#[tokio::test]
async fn ambiguous_requests_do_not_become_two() {
    let mesh = Mesh::start("smuggling");
    let spec = VmSpec::new("est-a-1", "qc-est", "est-a");
    let daemon = mesh.start_daemon(spec, &[]);
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";
    let mut received = start_fixed_upstream(daemon.upstream, "estimateur", response).await;
    daemon.put_service("estimateur", &[]);
    daemon.wait_for_service("estimateur").await;
    while received.try_recv().is_ok() {}
    let host = "host: estimateur.test\r\n";
    let smuggled = format!("GET /smuggled HTTP/1.1\r\n{host}\r\n");
    let chunked = format!("0\r\n\r\n{smuggled}");
    let length = chunked.len();
    let cases = [
        format!("content-length: {length}\r\ntransfer-encoding: chunked\r\n\r\n{chunked}"),
        format!("transfer-encoding: chunked\r\ncontent-length: {length}\r\n\r\n{chunked}"),
        format!(
            "content-length: 0\r\ncontent-length: {}\r\n\r\n{smuggled}",
            smuggled.len()
        ),
        format!("content-length: +0\r\n\r\n{smuggled}"),
        format!("transfer-encoding: xchunked\r\n\r\n{chunked}"),
        format!("transfer-encoding: chunked, identity\r\n\r\n{chunked}"),
        format!("content-length: 0, 5\r\n\r\n{smuggled}"),
        format!("transfer-encoding : chunked\r\n\r\n{chunked}"),
    ];
    for case in &cases {
        let head = format!("POST /first HTTP/1.1\r\n{host}connection: close\r\n{case}");
        let text = raw_text(daemon.callers, &head).await;
        let responses = text.matches("HTTP/1.1 ").count();
        assert!(responses <= 1, "{case}: {text}");
        while let Ok(forwarded) = received.try_recv() {
            let lower = forwarded.to_lowercase();
            assert!(!lower.contains("get /smuggled"), "{case}: {forwarded}");
            let lengths = lower.matches("\r\ncontent-length:").count();
            let encodings = lower.matches("\r\ntransfer-encoding:").count();
            assert!(lengths + encodings <= 1, "{case}: {forwarded}");
        }
    }
    let get = request("GET", "estimateur.test", "/", &[], "");
    assert_eq!(send(daemon.callers, get).await.unwrap().status, 200);
    assert!(!daemon.log_lines().contains("panicked"));
}

/// Guards against a host in one place that is routed and one in another that the upstream sees.
#[tokio::test]
async fn the_routed_host_is_the_one_that_the_upstream_sees() {
    let mesh = Mesh::start("bad-hosts");
    let spec = VmSpec::new("est-a-1", "qc-est", "est-a");
    let daemon = mesh.start_daemon(spec, &[]);
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";
    let mut received = start_fixed_upstream(daemon.upstream, "estimateur", response).await;
    daemon.put_service("estimateur", &[]);
    daemon.wait_for_service("estimateur").await;
    while received.try_recv().is_ok() {}
    let close = "connection: close\r\n\r\n";
    let absolute = "GET http://estimateur.test/x HTTP/1.1\r\nhost: other.test\r\n";
    let text = raw_text(daemon.callers, format!("{absolute}{close}")).await;
    assert_eq!(status(&text), 200, "{text}");
    let forwarded = received.recv().await.expect("request").to_lowercase();
    assert!(forwarded.starts_with("get /x "), "{forwarded}");
    assert!(
        forwarded.contains("\r\nhost: estimateur.test\r\n"),
        "{forwarded}"
    );
    assert!(!forwarded.contains("other.test"), "{forwarded}");

    let cases = [
        (
            "two hosts",
            "GET / HTTP/1.1\r\nhost: estimateur.test\r\nhost: other.test\r\n",
            400,
        ),
        ("no host", "GET / HTTP/1.1\r\n", 400),
        ("empty host", "GET / HTTP/1.1\r\nhost:\r\n", 404),
        (
            "tunnel",
            "CONNECT estimateur.test:80 HTTP/1.1\r\nhost: estimateur.test\r\n",
            400,
        ),
        (
            "other target",
            "GET http://other.test/ HTTP/1.1\r\nhost: estimateur.test\r\n",
            404,
        ),
        (
            "bad method",
            "G@T / HTTP/1.1\r\nhost: estimateur.test\r\n",
            400,
        ),
        (
            "bad version",
            "GET / HTTP/9.9\r\nhost: estimateur.test\r\n",
            400,
        ),
        (
            "bad target",
            "GET \x01 HTTP/1.1\r\nhost: estimateur.test\r\n",
            400,
        ),
    ];
    for (name, head, expected) in cases {
        let text = raw_text(daemon.callers, format!("{head}{close}")).await;
        assert_eq!(status(&text), expected, "{name}: {text}");
    }
    assert!(
        received.try_recv().is_err(),
        "a refused request was forwarded"
    );

    // A method that is not known to us may be known to the upstream.
    let unknown = "BREW / HTTP/1.1\r\nhost: estimateur.test\r\n";
    let text = raw_text(daemon.callers, format!("{unknown}{close}")).await;
    assert_eq!(status(&text), 200, "{text}");
    let forwarded = received.recv().await.expect("request");
    assert!(forwarded.starts_with("BREW / "), "{forwarded}");
    assert!(!daemon.log_lines().contains("panicked"));
}

/// HTTP/2 connection preface and an empty SETTINGS frame.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00";

const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const GOAWAY: u8 = 7;

/// Sends a GET over HTTP/2 with one more header and returns the types of the frames that answer
/// it; frames about the connection's settings are left out.
async fn http2_frames(addr: SocketAddr, header: Option<(&str, &str)>) -> Vec<u8> {
    let literal = |text: &str| {
        let mut bytes = vec![u8::try_from(text.len()).expect("short text")];
        bytes.extend(text.as_bytes());
        bytes
    };
    // Indexed :method GET, :path / and :scheme http, then :authority and the header as literals.
    let mut block = vec![0x82, 0x84, 0x86, 0x01];
    block.extend(literal("estimateur.test"));
    if let Some((name, value)) = header {
        block.push(0);
        block.extend(literal(name));
        block.extend(literal(value));
    }
    let length = u8::try_from(block.len()).expect("short block");
    // END_STREAM and END_HEADERS on stream 1; then GOAWAY, so that the other side closes.
    let mut bytes = PREFACE.to_vec();
    bytes.extend([0, 0, length, HEADERS, 0x05, 0, 0, 0, 1]);
    bytes.extend(block);
    bytes.extend([0, 0, 8, GOAWAY, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    let answer = raw_exchange(addr, &bytes).await;
    let mut types = Vec::new();
    let mut rest = &answer[..];
    while let [a, b, c, kind, _, _, _, _, _, tail @ ..] = rest {
        let length = usize::from(*a) << 16 | usize::from(*b) << 8 | usize::from(*c);
        types.push(*kind);
        rest = tail.get(length..).unwrap_or_default();
    }
    types.retain(|kind| matches!(*kind, HEADERS | RST_STREAM | GOAWAY));
    types
}

/// Guards against headers of one connection that pass from HTTP/2 to HTTP/1.1.
#[tokio::test]
async fn connection_headers_over_http2_are_refused() {
    let pair = DaemonPair::start("bad-http2").await;
    let control = http2_frames(pair.entry.callers, None).await;
    assert_eq!(control.first(), Some(&HEADERS), "{control:?}");
    for (name, value) in [
        ("connection", "close"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "h2c"),
        ("keep-alive", "1"),
    ] {
        let frames = http2_frames(pair.entry.callers, Some((name, value))).await;
        let refused = frames.first() == Some(&RST_STREAM) || frames.first() == Some(&GOAWAY);
        assert!(refused, "{name}: {frames:?}");
    }
    pair.check_undisturbed("HTTP/2 with connection headers")
        .await;
}

/// Guards against a body that is longer or shorter than announced, or dropped half way.
#[tokio::test]
async fn bodies_that_break_off_disturb_nobody() {
    let pair = DaemonPair::start("bad-bodies").await;
    let head = "POST / HTTP/1.1\r\nhost: estimateur.test\r\n";
    for case in [
        format!("{head}content-length: 100\r\n\r\nshort"),
        format!("{head}content-length: 1000000\r\n\r\nshort"),
        format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\n"),
        format!("{head}transfer-encoding: chunked\r\n\r\nffffffffffffffffff\r\nx"),
    ] {
        let mut stream = tokio::net::TcpStream::connect(pair.entry.callers)
            .await
            .unwrap();
        tokio::io::AsyncWriteExt::write_all(&mut stream, case.as_bytes())
            .await
            .unwrap();
        drop(stream);
        pair.check_undisturbed(&case).await;
    }
    let large = "x".repeat(8 * 1024 * 1024);
    let post = request("POST", "estimateur.test", "/", &[], large.clone());
    let answer = send(pair.entry.callers, post).await.expect("answer");
    assert!(
        answer.status == 200 && answer.body == large,
        "{:?}",
        answer.status
    );
    pair.check_undisturbed("a large body").await;
}
