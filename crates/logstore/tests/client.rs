//! Tests of the HTTP client against a stand-in for the log service.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use bytes::Bytes;
use cornelvalve_logstore::{Error, HttpLogStore, LogStore};
use cornelvalve_model::Offset;
use cornelvalve_standins::{LogFaults, LogHandle, LogOptions, LogStandIn, LoseBy};

/// Timeout for tests that expect a response; never reached unless a test fails.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for tests in which the service does not respond.
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);
const STREAM: &str = "configuration";
/// Largest number of records in one read.
const MAX_RECORDS: usize = 100;

/// Returns a loopback address for which the system chooses a free port.
fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Starts a stand-in and returns a client of it, its address and its handle.
async fn start(options: LogOptions) -> (Box<dyn LogStore>, SocketAddr, LogHandle) {
    let (addr, handle) = LogStandIn::start_with(any_port(), options)
        .await
        .expect("stand-in starts");
    (
        Box::new(HttpLogStore::new(addr, LONG_TIMEOUT)),
        addr,
        handle,
    )
}

fn one_record(text: &'static str) -> [Bytes; 1] {
    [Bytes::from_static(text.as_bytes())]
}

async fn contents(log: &dyn LogStore, from: u64) -> Vec<Bytes> {
    let page = log
        .read(STREAM, Offset(from), MAX_RECORDS, Duration::ZERO)
        .await;
    let records = page.expect("read").records;
    records.into_iter().map(|r| r.data).collect()
}

/// Guards against records that come back with other offsets or bytes.
#[tokio::test]
async fn read_returns_appended_records() {
    let (log, _, _handle) = start(LogOptions::default()).await;
    let records = [Bytes::from_static(b"\x00\xff"), Bytes::new()];
    assert_eq!(log.append(STREAM, &records).await, Ok(Offset(0)));
    assert_eq!(log.append(STREAM, &one_record("c")).await, Ok(Offset(2)));
    assert_eq!(log.append("other", &one_record("d")).await, Ok(Offset(0)));

    let page = log.read(STREAM, Offset(1), 1, Duration::ZERO).await;
    let page = page.expect("read");
    assert_eq!((page.first_retained, page.next), (Offset(0), Offset(2)));
    assert_eq!(page.records[0].offset, Offset(1));
    assert!(page.records[0].at.0 > 0);
    assert_eq!(contents(&*log, 0).await, ["\0\u{ff}", "", "c"].map(latin1));
    assert!(contents(&*log, 3).await.is_empty());
}

/// Encodes a text in Latin-1, which has one byte for each character up to U+00FF.
fn latin1(text: &str) -> Bytes {
    text.chars()
        .filter_map(|c| u8::try_from(u32::from(c)).ok())
        .collect()
}

/// Guards against a read that returns without waiting for records, that does not return when a
/// record is appended, or that waits longer than asked.
#[tokio::test]
async fn append_wakes_waiting_reader() {
    let (log, _, _handle) = start(LogOptions::default()).await;
    let read = log.read(STREAM, Offset(0), MAX_RECORDS, Duration::from_secs(20));
    let append = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        log.append(STREAM, &one_record("late")).await
    };
    let (page, appended) = tokio::join!(read, append);
    assert_eq!(appended, Ok(Offset(0)));
    assert_eq!(page.expect("read").next, Offset(1));

    let page = log
        .read(STREAM, Offset(1), MAX_RECORDS, Duration::from_millis(10))
        .await;
    assert_eq!(page.map(|p| (p.next, p.records.len())), Ok((Offset(1), 0)));
}

/// Guards against an append that is reported as failed although only its response was lost.
#[tokio::test]
async fn lost_response_leaves_outcome_unknown() {
    for lose_by in [LoseBy::Drop, LoseBy::Status] {
        let (log, _, handle) = start(LogOptions::default()).await;
        let faults = LogFaults {
            lose_answers: 1,
            lose_by,
            ..LogFaults::default()
        };
        handle.set_faults(faults).await;
        let lost = log.append(STREAM, &one_record("a")).await;
        assert!(
            matches!(lost, Err(Error::OutcomeUnknown(_))),
            "{lose_by:?}: {lost:?}"
        );
        assert_eq!(contents(&*log, 0).await, one_record("a"));
        assert_eq!(log.append(STREAM, &one_record("a")).await, Ok(Offset(1)));
    }
}

/// Guards against an append that takes effect after it was reported as failed, here because the
/// service was frozen: it accepts calls but handles them only after the freeze ends.
#[tokio::test]
async fn frozen_append_is_unknown_and_may_take_effect_later() {
    let (log, addr, handle) = start(LogOptions::default()).await;
    let frozen = LogFaults {
        freeze: true,
        ..LogFaults::default()
    };
    handle.set_faults(frozen).await;
    let client = HttpLogStore::new(addr, SHORT_TIMEOUT);
    let lost = client.append(STREAM, &one_record("a")).await;
    assert!(matches!(lost, Err(Error::OutcomeUnknown(_))), "{lost:?}");
    handle.set_faults(LogFaults::default()).await;
    assert_eq!(contents(&*log, 0).await, one_record("a"));
}

/// Guards against an outage that blocks a waiting read or loses records.
#[tokio::test]
async fn outage_is_reported_and_ends() {
    let (log, _, handle) = start(LogOptions::default()).await;
    assert_eq!(log.append(STREAM, &one_record("a")).await, Ok(Offset(0)));
    let waiting = log.read(STREAM, Offset(1), MAX_RECORDS, Duration::from_secs(20));
    let outage = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let down = LogFaults {
            down: true,
            ..LogFaults::default()
        };
        handle.set_faults(down).await;
    };
    let (waited, ()) = tokio::join!(waiting, outage);
    assert!(matches!(waited, Err(Error::Unavailable(_))), "{waited:?}");
    assert!(log.append(STREAM, &one_record("b")).await.is_err());
    handle.set_faults(LogFaults::default()).await;
    assert_eq!(contents(&*log, 0).await, one_record("a"));

    handle.stop().await;
    let refused = log.append(STREAM, &one_record("b")).await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
}

/// Guards against a read that silently skips records removed by retention.
#[tokio::test]
async fn reading_removed_records_fails() {
    let (log, _, _handle) = start(LogOptions {
        retain_records: 2,
        ..LogOptions::default()
    })
    .await;
    for text in ["a", "b", "c"] {
        log.append(STREAM, &one_record(text)).await.expect("append");
    }
    let gone = log
        .read(STREAM, Offset(0), MAX_RECORDS, Duration::ZERO)
        .await;
    let first_retained = Offset(1);
    assert_eq!(gone, Err(Error::RecordsGone { first_retained }));
    assert_eq!(contents(&*log, 1).await.len(), 2);

    // The same for records that are removed by age.
    let (log, _, _handle) = start(LogOptions {
        retain_age: Duration::ZERO,
        ..LogOptions::default()
    })
    .await;
    log.append(STREAM, &one_record("a")).await.expect("append");
    let gone = log
        .read(STREAM, Offset(0), MAX_RECORDS, Duration::ZERO)
        .await;
    assert_eq!(gone, Err(Error::RecordsGone { first_retained }));
}

/// Guards against an append without effect that is reported with an unknown outcome: one that the
/// service refuses, and one to an invalid stream name.
#[tokio::test]
async fn refused_append_has_no_effect() {
    let (log, _, _handle) = start(LogOptions {
        append_rate: 0,
        ..LogOptions::default()
    })
    .await;
    let refused = log.append(STREAM, &one_record("a")).await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
    assert!(contents(&*log, 0).await.is_empty());
    let refused = log.append("no/name", &one_record("a")).await;
    assert!(matches!(refused, Err(Error::Protocol(_))), "{refused:?}");
}

/// Guards against a client that panics or skips records when a response violates the protocol.
#[tokio::test]
async fn invalid_responses_are_rejected() {
    let bodies = [
        // Not JSON.
        "",
        // Fields are missing.
        "{}",
        // `next` does not follow the last record.
        r#"{"first_retained":0,"next":9,"records":[]}"#,
        // Invalid Base64.
        r#"{"first_retained":0,"next":1,"records":[{"offset":0,"at_ms":1,"data":"?"}]}"#,
        // Does not start at the requested offset.
        r#"{"first_retained":0,"next":2,"records":[{"offset":1,"at_ms":1,"data":""}]}"#,
    ];
    for body in bodies {
        let router = Router::new().route(
            "/streams/configuration/records",
            get(move || async move { body }).post(move || async move { body }),
        );
        let listener = tokio::net::TcpListener::bind(any_port())
            .await
            .expect("bind");
        let addr = listener.local_addr().expect("address");
        tokio::spawn(async move { axum::serve(listener, router).await });
        let log = HttpLogStore::new(addr, LONG_TIMEOUT);
        let read = log
            .read(STREAM, Offset(0), MAX_RECORDS, Duration::ZERO)
            .await;
        assert!(matches!(read, Err(Error::Protocol(_))), "{body}: {read:?}");
        // The service reported success, so the records may be in the log.
        let append = log.append(STREAM, &one_record("a")).await;
        assert!(
            matches!(append, Err(Error::OutcomeUnknown(_))),
            "{body}: {append:?}"
        );
    }
}
