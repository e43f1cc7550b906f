//! Guards against metrics that are missing from the exported text, or have other names or labels.

use std::time::Duration;

use cornelvalve_daemon::metrics::Metrics;
use cornelvalve_model::{LoadHint, MemberState, Outcome, Reason, Revision, ServiceName};
use insta::assert_snapshot;

#[test]
fn all_metrics_are_exported() {
    let metrics = Metrics::new().expect("metrics");
    let service: ServiceName = "remise".parse().expect("valid");
    metrics.count_request(Outcome::Completed, None);
    metrics.count_request(Outcome::NotRun, Some(Reason::HomeRegion));
    metrics.count_attempt(false);
    metrics.count_attempt(true);
    metrics.record_added_latency(Duration::from_micros(700));
    let load = LoadHint {
        running: 3,
        queued: 1,
        limit: 4,
    };
    metrics.set_admission(&service, load);
    metrics.count_control_sent("probe", 120);
    metrics.count_control_dropped("news", 80);
    metrics.set_revision(Revision(9));
    metrics.set_members(MemberState::Alive, 6);
    let text = metrics.render().expect("text");
    let samples: Vec<&str> = text.lines().filter(|line| !line.starts_with('#')).collect();
    assert_snapshot!(samples.join("\n"), @r#"
    cornelvalve_added_latency_seconds_bucket{le="0.0001"} 0
    cornelvalve_added_latency_seconds_bucket{le="0.0002"} 0
    cornelvalve_added_latency_seconds_bucket{le="0.0004"} 0
    cornelvalve_added_latency_seconds_bucket{le="0.0006"} 0
    cornelvalve_added_latency_seconds_bucket{le="0.0008"} 1
    cornelvalve_added_latency_seconds_bucket{le="0.001"} 1
    cornelvalve_added_latency_seconds_bucket{le="0.0011"} 1
    cornelvalve_added_latency_seconds_bucket{le="0.0015"} 1
    cornelvalve_added_latency_seconds_bucket{le="0.002"} 1
    cornelvalve_added_latency_seconds_bucket{le="0.005"} 1
    cornelvalve_added_latency_seconds_bucket{le="0.02"} 1
    cornelvalve_added_latency_seconds_bucket{le="0.1"} 1
    cornelvalve_added_latency_seconds_bucket{le="+Inf"} 1
    cornelvalve_added_latency_seconds_sum 0.0007
    cornelvalve_added_latency_seconds_count 1
    cornelvalve_admission_limit{service="remise"} 4
    cornelvalve_admission_queue{service="remise"} 1
    cornelvalve_admission_running{service="remise"} 3
    cornelvalve_attempts_total 2
    cornelvalve_configuration_revision 9
    cornelvalve_control_dropped_bytes_total{class="news"} 80
    cornelvalve_control_sent_bytes_total{class="probe"} 120
    cornelvalve_members{state="alive"} 6
    cornelvalve_requests_total{outcome="completed",reason="none"} 1
    cornelvalve_requests_total{outcome="not-run",reason="home-region"} 1
    cornelvalve_retries_total 1
    "#);
}
