//! Invalid records in the configuration stream of the log store.

use bytes::Bytes;
use cornelvalve_logstore::{HttpLogStore, LogStore};
use serde_json::Value;

use crate::support::{DaemonPair, eventually};

/// Guards against an invalid record that daemons treat differently, that stops a daemon from
/// reading later records, or that is not reported to operators.
#[tokio::test]
async fn bad_records_are_skipped_and_reported_by_all_daemons() {
    let pair = DaemonPair::start("bad-records").await;
    let store = HttpLogStore::new(pair.mesh.store_addr, std::time::Duration::from_secs(10));
    let change_start =
        r#"{"change":{"id":"6f8b1c9e-7a52-4a40-9d3c-0c8f2f1b7a11","author":"a","operation":"#;
    // Text that the reported reason must contain, and the record.
    let records = [
        ("not JSON", "{".to_owned()),
        ("not JSON", "\u{0}\u{1}".to_owned()),
        (
            "schema version",
            format!(r#"{{"v":2,"entry":{change_start}{{"put-region":{{"region":"x"}}}}}}}}}}"#),
        ),
        ("schema version", "[]".to_owned()),
        (
            "unknown field",
            format!(
                r#"{{"v":1,"entry":{change_start}{{"put-region":{{"region":"x","size":1}}}}}}}}}}"#
            ),
        ),
        ("schema", r#"{"v":1,"entry":{"other":{}}}"#.to_owned()),
        (
            "schema",
            format!(r#"{{"v":1,"entry":{change_start}{{"put-region":{{"region":"X Y"}}}}}}}}}}"#),
        ),
    ];
    for (_, record) in &records {
        let record = [Bytes::from(record.clone())];
        store
            .append("configuration", &record)
            .await
            .expect("record is stored");
    }
    // The daemons apply the records that follow.
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
    eventually("the same bad records at both daemons", || async {
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
    pair.assert_healthy("bad records").await;
}
