//! Encoding of log records.

use cornelvalve_model::{LogEntry, Snapshot};
use cornelvalve_wire::log::{
    MAX_RECORD_BYTES, RecordError, decode_entry, decode_introducer, encode_entry, encode_introducer,
};

const CHANGE: &str = r#"{"v":1,"entry":{"change":{"id":"00000000-0000-0000-0000-000000000001","author":"ana","expects":0,"operation":{"put-domain":{"domain":"east-a","region":"east","state":"out-of-service"}}}}}"#;

/// Guards against a form that earlier records in the log do not have.
#[test]
fn form_of_change_is_stable() {
    let entry = decode_entry(CHANGE.as_bytes()).expect("valid record");
    let data = encode_entry(&entry).expect("small record");
    assert_eq!(String::from_utf8(data).as_deref(), Ok(CHANGE));
}

/// Guards against a snapshot that a fresh reader cannot decode.
#[test]
fn snapshot_survives_encoding() {
    let LogEntry::Change(change) = decode_entry(CHANGE.as_bytes()).expect("valid record") else {
        panic!("not a change");
    };
    let snapshot = Snapshot {
        covers: cornelvalve_model::Offset(7),
        revision: cornelvalve_model::Revision(6),
        entries: vec![cornelvalve_model::VersionedEntry {
            revision: cornelvalve_model::Revision(6),
            operation: change.operation,
        }],
        recent: vec![cornelvalve_model::RecentChange {
            id: change.id,
            verdict: cornelvalve_model::RecentVerdict::Accepted(cornelvalve_model::Revision(6)),
        }],
    };
    let entry = LogEntry::Snapshot(snapshot);
    let data = encode_entry(&entry).expect("small record");
    assert_eq!(decode_entry(&data), Ok(entry));
}

/// Guards against records that a build accepts although it does not understand all of them.
#[test]
fn deviations_are_typed_errors() {
    let decode = |from: &str, to: &str| decode_entry(CHANGE.replacen(from, to, 1).as_bytes());
    let unknown = |name: &str| Err(RecordError::UnknownField(name.to_owned()));
    let wrong_version = |found: &str| {
        Err(RecordError::WrongVersion {
            found: found.to_owned(),
        })
    };
    assert_eq!(decode(r#""v":1"#, r#""v":2,"new":0"#), wrong_version("2"));
    assert_eq!(decode(r#""v":1,"#, ""), wrong_version("none"));
    assert_eq!(decode_entry(b"[]"), wrong_version("none"));
    assert_eq!(decode(r#""v":1"#, r#""v":1,"x":0"#), unknown("x"));
    assert_eq!(decode(r#""author""#, r#""x":0,"author""#), unknown("x"));
    assert_eq!(decode(r#""region""#, r#""x":0,"region""#), unknown("x"));

    let invalid = [
        ("ana\"", "ana\",\"author\":\"bo\""),
        ("east-a", "East A"),
        ("put-domain", "put-rack"),
        ("\"author\":\"ana\",", ""),
        ("\"expects\":0", "\"expects\":-1"),
    ];
    for (from, to) in invalid {
        let result = decode(from, to);
        assert!(
            matches!(result, Err(RecordError::Invalid(_))),
            "{to}: {result:?}"
        );
    }
}

/// Guards against a panic on hostile bytes.
#[test]
fn hostile_bytes_are_not_json() {
    let nested = "[".repeat(10_000);
    let truncated = (0..CHANGE.len()).map(|end| &CHANGE.as_bytes()[..end]);
    for data in truncated.chain([nested.as_bytes(), b"\xff\xfe", b"{\"v\":1}x"]) {
        let result = decode_entry(data);
        assert!(matches!(result, Err(RecordError::NotJson(_))), "{result:?}");
    }
}

/// Guards against a record that takes more memory than the limit, or that no reader accepts.
#[test]
fn size_is_limited_on_both_sides() {
    let size = MAX_RECORD_BYTES + 1;
    let too_large = RecordError::TooLarge { size };
    assert_eq!(decode_entry(&vec![b' '; size]), Err(too_large));

    let LogEntry::Change(mut change) = decode_entry(CHANGE.as_bytes()).expect("valid record")
    else {
        panic!("not a change");
    };
    change.author = "a".repeat(MAX_RECORD_BYTES);
    let result = encode_entry(&LogEntry::Change(change));
    assert!(
        matches!(result, Err(RecordError::TooLarge { .. })),
        "{result:?}"
    );
}

/// Guards against introducers whose address another build reads differently or not at all.
#[test]
fn introducer_survives_encoding() {
    for text in ["192.0.2.7:7946", "[2001:db8::7]:7946"] {
        let addr = text.parse().expect("valid address");
        let data = encode_introducer(addr);
        let form = format!(r#"{{"v":1,"peer":"{text}"}}"#);
        assert_eq!(String::from_utf8(data.clone()), Ok(form));
        assert_eq!(decode_introducer(&data), Ok(addr));
    }
    let unknown = br#"{"v":1,"peer":"192.0.2.7:7946","x":0}"#;
    let error = RecordError::UnknownField("x".to_owned());
    assert_eq!(decode_introducer(unknown), Err(error));
    let newer = decode_introducer(br#"{"v":2,"peer":"192.0.2.7:7946"}"#);
    assert!(
        matches!(newer, Err(RecordError::WrongVersion { .. })),
        "{newer:?}"
    );
}
