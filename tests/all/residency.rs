//! Tests rules that restrict the requests of a team to regions. A rule lists the regions in which
//! the requests of a team may be served, its home regions; such requests are called restricted.

use std::net::SocketAddr;

use cornelvalve_standins::LogFaults;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{DaemonOptions, DaemonProcess, Mesh, VmSpec, eventually, request, send};

const EST: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const OUEST: VmSpec = VmSpec::new("ouest-a-1", "qc-ouest", "ouest-a");

/// Text in the path, the key and the body of restricted requests; unlikely to occur by chance.
const MARKER: &str = "zq7marker";

/// Daemons in two regions with an upstream each, and a rule that restricts the team payroll to the
/// region qc-est.
struct Regions {
    mesh: Mesh,
    est: DaemonProcess,
    ouest: DaemonProcess,
    _upstreams: Vec<crate::support::Process>,
}

/// Starts the processes and waits until both daemons have the rule in force and serve requests.
async fn start_regions(name: &str) -> Regions {
    let mesh = Mesh::start(name);
    let verbose = DaemonOptions {
        log_level: Some("trace"),
        ..DaemonOptions::default()
    };
    let est = mesh.start_daemon_with(EST, &[], &verbose);
    let ouest = mesh.start_daemon_with(OUEST, &[est.peers], &verbose);
    est.wait_for_members(2).await;
    let upstreams = [&est, &ouest].map(|d| d.start_upstream("remise", 10).0);
    for region in ["qc-est", "qc-ouest"] {
        est.ctl(&["region", "put", region]);
    }
    est.ctl(&["team", "put", "payroll"]);
    est.ctl(&["team", "put", "fleet"]);
    let service = [
        "service",
        "put",
        "--name",
        "remise",
        "--host",
        "remise.test",
    ];
    est.ctl(&service);
    put_rule(&est);
    let revision = est.revision();
    for daemon in [&est, &ouest] {
        daemon.wait_for_revision(revision).await;
        wait_until_serving(daemon).await;
    }
    Regions {
        mesh,
        est,
        ouest,
        _upstreams: upstreams.into(),
    }
}

/// Adds the rule that restricts the team payroll to the region qc-est.
fn put_rule(daemon: &DaemonProcess) {
    let rule = [
        "rule",
        "put",
        "payroll-home",
        "--team",
        "payroll",
        "--region",
        "qc-est",
    ];
    daemon.ctl(&rule);
}

/// Waits until a daemon serves requests of the team fleet, which no rule restricts.
async fn wait_until_serving(daemon: &DaemonProcess) {
    eventually("request of the team fleet is served", || async {
        let headers = [("cornelvalve-team", "fleet")];
        let response = send(
            daemon.callers,
            request("GET", "remise.test", "/", &headers, ""),
        );
        let response = response.await?;
        let is_served = response.status.is_success();
        is_served.then_some(()).ok_or(format!("{response:?}"))
    })
    .await;
}

/// Sends the headers of a request without its body and returns the whole response as text.
async fn send_headers(addr: SocketAddr, team: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("daemon listens");
    let headers = format!(
        "POST /file/{MARKER} HTTP/1.1\r\nhost: remise.test\r\ncornelvalve-team: {team}\r\n\
         idempotency-key: {MARKER}\r\ncontent-length: 1000000\r\nconnection: close\r\n\r\n"
    );
    stream
        .write_all(headers.as_bytes())
        .await
        .expect("headers are sent");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("daemon responds");
    response
}

/// Guards against a daemon outside the home regions that reads the body before it refuses a
/// request, and against contents of restricted requests in another region or in the log store.
#[tokio::test]
async fn restricted_requests_leave_nothing_in_other_regions() {
    let Regions {
        mesh,
        est,
        ouest,
        _upstreams,
    } = start_regions("residency").await;
    // The body is never sent, so a daemon that waits for it would not respond.
    let response = send_headers(ouest.callers, "payroll").await;
    assert!(response.starts_with("HTTP/1.1 421 "), "{response}");
    assert!(response.contains("home-region"), "{response}");
    assert!(response.contains(&est.callers.to_string()), "{response}");

    for n in 0..20 {
        let path = format!("/file/{MARKER}/{n}?{MARKER}");
        let headers = [("cornelvalve-team", "payroll"), ("idempotency-key", MARKER)];
        let post = request("POST", "remise.test", &path, &headers, MARKER);
        let response = send(est.callers, post).await.expect("daemon responds");
        assert_eq!(response.status, 200, "{response:?}");
    }
    // An outage of the log store makes the daemon write debug lines. They prove that the daemon
    // does not log at the default level, at which the check below would prove little.
    let outage = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    mesh.log_store.set_faults(outage).await;
    let log = eventually("debug lines", || async {
        let text = std::fs::read_to_string(mesh.log_file(OUEST)).map_err(|e| e.to_string())?;
        let has_debug_line = text.contains(r#""level":"DEBUG""#);
        has_debug_line.then_some(text).ok_or("none yet".to_owned())
    })
    .await;
    mesh.log_store.set_faults(LogFaults::default()).await;
    let scrape = request("GET", "metrics", "/metrics", &[], "");
    let metrics = send(ouest.metrics, scrape)
        .await
        .expect("metrics are served");
    let mut stored = Vec::new();
    for stream in ["configuration", "introducers"] {
        for record in mesh.log_store.records(stream).await {
            stored.extend_from_slice(&record.data);
        }
    }
    let sources = [
        ("log", log),
        ("timeline", ouest.ctl(&["--output", "json", "timeline"])),
        (
            "metrics",
            String::from_utf8_lossy(&metrics.body).into_owned(),
        ),
        ("status", ouest.status().to_string()),
        ("log store", String::from_utf8_lossy(&stored).into_owned()),
    ];
    for (source, text) in sources {
        assert!(!text.is_empty(), "{source} is empty");
        assert!(
            !text.contains(MARKER),
            "{source} contains the marker: {text}"
        );
    }
}

/// Guards against a request that evades a rule by naming no team or an unknown one, and against a
/// restricted request that is forwarded out of the home region when no upstream there is left.
#[tokio::test]
async fn restricted_requests_are_refused_rather_than_served_elsewhere() {
    let Regions {
        est,
        ouest,
        _upstreams: mut upstreams,
        mesh: _mesh,
    } = start_regions("evasion").await;
    est.ctl(&["service", "put", "--name", "idle", "--host", "idle.test"]);
    ouest.wait_for_revision(est.revision()).await;
    for daemon in [&est, &ouest] {
        for headers in [&[][..], &[("cornelvalve-team", "ghost")][..]] {
            // No daemon serves idle.test, so a request to it can only be refused by the daemon that
            // receives it.
            for host in ["remise.test", "idle.test"] {
                let get = request("GET", host, "/", headers, "");
                let response = send(daemon.callers, get).await.expect("daemon responds");
                assert_eq!(response.json()["reason"], "unknown-team", "{response:?}");
                assert_eq!(response.json()["outcome"], "not-run");
            }
        }
    }
    // Without an upstream in the home region restricted requests are refused, while others are
    // served in the other region.
    // The first upstream runs in qc-est; dropping its process kills it.
    drop(upstreams.remove(0));
    wait_until_serving(&est).await;
    for _ in 0..10 {
        let headers = [("cornelvalve-team", "payroll")];
        let get = request("GET", "remise.test", "/", &headers, "");
        let response = send(est.callers, get).await.expect("daemon responds");
        assert!(!response.status.is_success(), "{response:?}");
        // A daemon refuses with `home-region` only outside the home regions, so this reason would
        // mean that the request was forwarded to the other region.
        assert_ne!(response.json()["reason"], "home-region", "{response:?}");
    }
}

/// Guards against a daemon that still serves requests by the old rules after a new rule came into
/// force.
#[tokio::test]
async fn new_rule_applies_once_it_is_in_force() {
    let Regions {
        est,
        ouest,
        _upstreams,
        mesh: _mesh,
    } = start_regions("new-rule").await;
    est.ctl(&["rule", "remove", "payroll-home"]);
    ouest.wait_for_revision(est.revision()).await;
    let headers = [("cornelvalve-team", "payroll")];
    let get = || request("GET", "remise.test", "/", &headers, "");
    eventually(
        "payroll request served outside its former home region",
        || async {
            let response = send(ouest.callers, get()).await?;
            let is_served = response.status.is_success();
            is_served.then_some(()).ok_or(format!("{response:?}"))
        },
    )
    .await;
    put_rule(&est);
    ouest.wait_for_revision(est.revision()).await;
    eventually("refusal of the payroll request", || async {
        let response = send(ouest.callers, get()).await?;
        let is_refused = response.status == 421;
        is_refused.then_some(()).ok_or(format!("{response:?}"))
    })
    .await;
    for _ in 0..10 {
        let response = send(ouest.callers, get()).await.expect("daemon responds");
        assert_eq!(response.status, 421, "{response:?}");
    }
}

/// Guards against a request that is forwarded to the daemon that issued its ticket although a newer
/// rule excludes the region of that daemon.
#[tokio::test]
async fn request_with_a_ticket_does_not_leave_the_home_region() {
    let Regions {
        est,
        ouest,
        _upstreams,
        mesh: _mesh,
    } = start_regions("ticket").await;
    est.ctl(&["rule", "remove", "payroll-home"]);
    let service = [
        "service",
        "put",
        "--name",
        "remise",
        "--host",
        "remise.test",
        "--route",
        "file=/file:at-most-once",
    ];
    est.ctl(&service);
    ouest.wait_for_revision(est.revision()).await;
    let headers = [("cornelvalve-team", "payroll")];
    let path = "/.well-known/cornelvalve/tickets";
    let ticket = eventually("ticket for a payroll request", || async {
        let ticket_request = request("POST", "remise.test", path, &headers, r#"{"path":"/file"}"#);
        let response = send(ouest.callers, ticket_request).await?;
        let ticket = response.json()["tickets"][0].as_str().map(str::to_owned);
        ticket.ok_or(format!("{response:?}"))
    })
    .await;
    put_rule(&est);
    ouest.wait_for_revision(est.revision()).await;
    let refused = eventually("refusal of the payroll request", || async {
        let headers = [headers[0], ("idempotency-key", ticket.as_str())];
        let post = request("POST", "remise.test", "/file", &headers, MARKER);
        let response = send(est.callers, post).await?;
        let reason = response.json()["reason"] == "home-region";
        reason
            .then_some(response.json())
            .ok_or(format!("{response:?}"))
    })
    .await;
    // Only the daemon that issued the ticket knows whether it was used, and the request was not
    // forwarded to that daemon.
    assert_eq!(refused["outcome"], "unknown", "{refused}");
}

/// Guards against a request that waits for admission while a new rule comes into force and is then
/// served by the rules in force at its arrival.
#[tokio::test]
async fn queued_request_is_refused_by_a_newer_rule() {
    let Regions {
        est,
        ouest: _ouest,
        _upstreams,
        mesh: _mesh,
    } = start_regions("queue").await;
    // 30 requests exceed the 10 slots of the upstream, so some are queued.
    // On a heavily loaded machine the requests may finish before the rule is in force; then the
    // next round sends longer ones.
    for work_ms in ["1500", "6000", "20000"] {
        let headers = [
            ("cornelvalve-team", "fleet"),
            ("cornelvalve-deadline-ms", "50000"),
            ("x-work-ms", work_ms),
        ];
        let post = || request("POST", "remise.test", "/", &headers, "");
        let calls: Vec<_> = (0..30)
            .map(|_| tokio::spawn(send(est.callers, post())))
            .collect();
        eventually("queued requests", || async {
            let status = est.status();
            let is_queued = status["upstreams"][0]["queued"].as_u64() > Some(0);
            is_queued.then_some(()).ok_or(status.to_string())
        })
        .await;
        est.ctl(&[
            "rule",
            "put",
            "fleet-home",
            "--team",
            "fleet",
            "--region",
            "qc-ouest",
        ]);
        let status = est.status();
        let queued = status["upstreams"][0]["queued"].as_u64();
        let queued = usize::try_from(queued.expect("upstream is listed")).expect("small");
        let mut refused = 0;
        for call in calls {
            let response = call.await.expect("call ends").expect("daemon responds");
            refused += usize::from(!response.status.is_success());
        }
        if queued > 0 {
            assert!(refused >= queued, "{refused} refused of {queued} queued");
            return;
        }
        est.ctl(&["rule", "remove", "fleet-home"]);
    }
    panic!("no request was queued when the rule came into force");
}
