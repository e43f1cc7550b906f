//! Tests the metrics that running daemons report.

use crate::support::{Mesh, VmSpec, eventually, request, send};

const EST_A: VmSpec = VmSpec::new("est-a-1", "qc-est", "est-a");
const EST_B: VmSpec = VmSpec::new("est-b-1", "qc-est", "est-b");

// Series that the tests read from the metrics endpoint.
const COMPLETED: &str = r#"cornelvalve_requests_total{outcome="completed",reason="none"}"#;
const UNKNOWN_SERVICE: &str =
    r#"cornelvalve_requests_total{outcome="not-run",reason="unknown-service"}"#;
const BAD_REQUEST: &str = r#"cornelvalve_requests_total{outcome="not-run",reason="bad-request"}"#;
const ATTEMPTS: &str = "cornelvalve_attempts_total";
const RETRIES: &str = "cornelvalve_retries_total";
const LATENCIES: &str = "cornelvalve_added_latency_seconds_count";

/// Guards against requests that are counted twice, with a wrong reason or not at all.
#[tokio::test]
async fn metrics_agree_with_the_requests_sent() {
    let mesh = Mesh::start("metrics");
    let entry = mesh.start_daemon(EST_A, &[]);
    let upstream_daemon = mesh.start_daemon(EST_B, &[entry.peers]);
    entry.wait_for_members(2).await;
    let (_upstream, _) = upstream_daemon.start_upstream("estimateur", 10);
    entry.put_service("estimateur", &[]);
    entry.wait_for_service("estimateur").await;
    // The daemon counts a request shortly after it has sent the last byte of the response.
    eventually("first response is counted", || async {
        let counted = entry.metric(COMPLETED).await;
        (counted == 1.0).then_some(()).ok_or(format!("{counted}"))
    })
    .await;
    // Values before the requests below: attempts, retries, latencies and refusals.
    let before = [
        entry.metric(ATTEMPTS).await,
        entry.metric(RETRIES).await,
        entry.metric(LATENCIES).await,
        entry.metric(UNKNOWN_SERVICE).await,
    ];

    for _ in 0..7 {
        let get = request("GET", "estimateur.test", "/", &[], "");
        assert_eq!(send(entry.callers, get).await.unwrap().status, 200);
    }
    for _ in 0..3 {
        let get = request("GET", "unknown.test", "/", &[], "");
        assert_eq!(send(entry.callers, get).await.unwrap().status, 404);
    }
    let headers = [("cornelvalve-deadline-ms", "soon")];
    let malformed = request("GET", "estimateur.test", "/", &headers, "");
    assert_eq!(send(entry.callers, malformed).await.unwrap().status, 400);

    eventually("expected counts", || async {
        let counts = [
            entry.metric(COMPLETED).await,
            entry.metric(UNKNOWN_SERVICE).await - before[3],
            entry.metric(BAD_REQUEST).await,
            (entry.metric(ATTEMPTS).await - before[0]) - (entry.metric(RETRIES).await - before[1]),
            entry.metric(LATENCIES).await - before[2],
        ];
        // The total of completed requests includes the one that `wait_for_service` sent.
        let expected = [8.0, 3.0, 1.0, 7.0, 7.0];
        (counts == expected)
            .then_some(())
            .ok_or(format!("{counts:?} instead of {expected:?}"))
    })
    .await;
}

/// Guards against gauges and counters of control traffic that the daemon never updates.
#[tokio::test]
async fn metrics_show_admission_configuration_and_control_traffic() {
    let mesh = Mesh::start("metrics-gauges");
    let entry = mesh.start_daemon(EST_A, &[]);
    let upstream_daemon = mesh.start_daemon(EST_B, &[entry.peers]);
    entry.wait_for_members(2).await;
    let (_upstream, _) = upstream_daemon.start_upstream("estimateur", 10);
    entry.put_service("estimateur", &[]);
    entry.wait_for_service("estimateur").await;
    let revision = entry.ctl_json(&["status"])["revision"].as_f64().unwrap();
    eventually("expected gauges", || async {
        let alive = entry.metric(r#"cornelvalve_members{state="alive"}"#).await;
        let applied = entry.metric("cornelvalve_configuration_revision").await;
        let limit = r#"cornelvalve_admission_limit{service="estimateur"}"#;
        let limit = upstream_daemon.metric(limit).await;
        let probes = r#"cornelvalve_control_sent_bytes_total{class="probe"}"#;
        let probes = entry.metric(probes).await;
        (alive == 2.0 && applied == revision && limit >= 2.0 && probes > 0.0)
            .then_some(())
            .ok_or(format!(
                "{alive} members, revision {applied} of {revision}, limit {limit}, {probes} bytes"
            ))
    })
    .await;
}
