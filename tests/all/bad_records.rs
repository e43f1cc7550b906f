//! Records of the configuration stream that no daemon can use.

use bytes::Bytes;
use cornelvalve_logstore::{HttpLogStore, LogStore};
use serde_json::Value;

use crate::support::{DaemonPair, eventually};

/// Guards against a bad record that is treated differently by two daemons, stops the stream or
/// goes unnoticed by operators.
#[tokio::test]
async fn bad_records_are_skipped_alike_and_shown() {
    let pair = DaemonPair::start("bad-records").await;
    let store = HttpLogStore::new(pair.mesh.store_addr, std::time::Duration::from_secs(10));
    let region =
        r#"{"change":{"id":"6f8b1c9e-7a52-4a40-9d3c-0c8f2f1b7a11","author":"a","operation":"#;
    let records = [
        ("not JSON", "{".to_owned()),
        ("not JSON", "\u{0}\u{1}".to_owned()),
        (
            "schema version",
            format!(r#"{{"v":2,"entry":{region}{{"put-region":{{"region":"x"}}}}}}}}}}"#),
        ),
        ("schema version", "[]".to_owned()),
        (
            "unknown field",
            format!(r#"{{"v":1,"entry":{region}{{"put-region":{{"region":"x","size":1}}}}}}}}}}"#),
        ),
        ("schema", r#"{"v":1,"entry":{"other":{}}}"#.to_owned()),
        (
            "schema",
            format!(r#"{{"v":1,"entry":{region}{{"put-region":{{"region":"X Y"}}}}}}}}}}"#),
        ),
    ];
    for (_, record) in &records {
        let record = [Bytes::from(record.clone())];
        store
            .append("configuration", &record)
            .await
            .expect("record is stored");
    }
    // The stream goes on after them.
    pair.entry.ctl(&[
        "team",
        "put",
        "paie",
        "--wait",
        "in-force",
        "--timeout",
        "60",
    ]);

    let skipped = |status: &Value| {
        let bad = status["bad_records"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        bad.into_iter()
            .map(|record| {
                let reason = record["reason"].as_str().unwrap_or_default().to_owned();
                (record["offset"].as_u64(), reason)
            })
            .collect::<Vec<_>>()
    };
    let first = skipped(&pair.entry.ctl_json(&["status"]));
    assert_eq!(first.len(), records.len(), "{first:?}");
    for ((_, reason), (expected, record)) in first.iter().zip(&records) {
        assert!(reason.contains(expected), "{record}: {reason}");
    }
    eventually("the same verdicts at both daemons", || async {
        let second = skipped(&pair.upstream_daemon.ctl_json(&["status"]));
        (second == first)
            .then_some(())
            .ok_or(format!("{second:?} and {first:?}"))
    })
    .await;
    let regions = pair
        .upstream_daemon
        .ctl_json(&["region", "list"])
        .to_string();
    assert!(
        !regions.contains("\"x\""),
        "a bad record took effect: {regions}"
    );
    let text = pair.entry.ctl(&["status"]);
    assert!(text.contains("schema version"), "{text}");
    pair.check_undisturbed("bad records").await;
}
