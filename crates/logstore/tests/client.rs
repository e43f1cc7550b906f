//! The HTTP client against the stand-in of the log service.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use bytes::Bytes;
use cornelvalve_logstore::{Error, HttpLogStore, LogStore};
use cornelvalve_model::Offset;
use cornelvalve_standins::{LogFaults, LogHandle, LogOptions, LogStandIn, LoseBy};

/// Long enough that only a test that expects a time-out reaches it.
const PATIENT: Duration = Duration::from_secs(30);
/// Time-out for tests in which the service never answers.
const IMPATIENT: Duration = Duration::from_millis(50);
const STREAM: &str = "configuration";
const MAX: usize = 100;

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

async fn start(options: LogOptions) -> (Box<dyn LogStore>, SocketAddr, LogHandle) {
    let (addr, handle) = LogStandIn::start_with(any_port(), options)
        .await
        .expect("stand-in starts");
    (Box::new(HttpLogStore::new(addr, PATIENT)), addr, handle)
}

fn record(text: &'static str) -> [Bytes; 1] {
    [Bytes::from_static(text.as_bytes())]
}

async fn contents(log: &dyn LogStore, from: u64) -> Vec<Bytes> {
    let page = log.read(STREAM, Offset(from), MAX, Duration::ZERO).await;
    let records = page.expect("read").records;
    records.into_iter().map(|r| r.data).collect()
}

/// Guards against offsets or bytes that change on the way.
#[tokio::test]
async fn returns_what_was_appended() {
    let (log, _, _handle) = start(LogOptions::default()).await;
    let group = [Bytes::from_static(b"\x00\xff"), Bytes::new()];
    assert_eq!(log.append(STREAM, &group).await, Ok(Offset(0)));
    assert_eq!(log.append(STREAM, &record("c")).await, Ok(Offset(2)));
    assert_eq!(log.append("other", &record("d")).await, Ok(Offset(0)));

    let page = log.read(STREAM, Offset(1), 1, Duration::ZERO).await;
    let page = page.expect("read");
    assert_eq!((page.first_retained, page.next), (Offset(0), Offset(2)));
    assert_eq!(page.records[0].offset, Offset(1));
    assert!(page.records[0].at.0 > 0);
    assert_eq!(contents(&*log, 0).await, ["\0\u{ff}", "", "c"].map(latin1));
    assert!(contents(&*log, 3).await.is_empty());
}

fn latin1(text: &str) -> Bytes {
    text.chars()
        .filter_map(|c| u8::try_from(u32::from(c)).ok())
        .collect()
}

/// Guards against a reader that polls, or that an append does not wake.
#[tokio::test]
async fn append_wakes_waiting_reader() {
    let (log, _, _handle) = start(LogOptions::default()).await;
    let read = log.read(STREAM, Offset(0), MAX, Duration::from_secs(20));
    let append = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        log.append(STREAM, &record("late")).await
    };
    let (page, appended) = tokio::join!(read, append);
    assert_eq!(appended, Ok(Offset(0)));
    assert_eq!(page.expect("read").next, Offset(1));

    let page = log
        .read(STREAM, Offset(1), MAX, Duration::from_millis(10))
        .await;
    assert_eq!(page.map(|p| (p.next, p.records.len())), Ok((Offset(1), 0)));
}

/// Guards against a lost answer that looks like a failed append.
#[tokio::test]
async fn lost_answer_leaves_outcome_unknown() {
    for lose_by in [LoseBy::Drop, LoseBy::Status] {
        let (log, _, handle) = start(LogOptions::default()).await;
        let faults = LogFaults {
            lose_answers: 1,
            lose_by,
            ..LogFaults::default()
        };
        handle.set_faults(faults).await;
        let lost = log.append(STREAM, &record("a")).await;
        assert!(
            matches!(lost, Err(Error::OutcomeUnknown(_))),
            "{lose_by:?}: {lost:?}"
        );
        assert_eq!(contents(&*log, 0).await, record("a"));
        assert_eq!(log.append(STREAM, &record("a")).await, Ok(Offset(1)));
    }
}

/// Guards against an append that takes effect after its caller was told that it failed.
#[tokio::test]
async fn frozen_append_is_unknown_and_may_take_effect_later() {
    let (log, addr, handle) = start(LogOptions::default()).await;
    let freeze = LogFaults {
        freeze: true,
        ..LogFaults::default()
    };
    handle.set_faults(freeze).await;
    let impatient = HttpLogStore::new(addr, IMPATIENT);
    let lost = impatient.append(STREAM, &record("a")).await;
    assert!(matches!(lost, Err(Error::OutcomeUnknown(_))), "{lost:?}");
    handle.set_faults(LogFaults::default()).await;
    assert_eq!(contents(&*log, 0).await, record("a"));
}

/// Guards against an outage that blocks readers or loses records.
#[tokio::test]
async fn outage_is_reported_and_ends() {
    let (log, _, handle) = start(LogOptions::default()).await;
    assert_eq!(log.append(STREAM, &record("a")).await, Ok(Offset(0)));
    let waiting = log.read(STREAM, Offset(1), MAX, Duration::from_secs(20));
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
    assert!(log.append(STREAM, &record("b")).await.is_err());
    handle.set_faults(LogFaults::default()).await;
    assert_eq!(contents(&*log, 0).await, record("a"));

    handle.stop().await;
    let refused = log.append(STREAM, &record("b")).await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
}

/// Guards against a reader that misses records which retention removed.
#[tokio::test]
async fn removed_records_are_gone() {
    let (log, _, _handle) = start(LogOptions {
        retain_records: 2,
        ..LogOptions::default()
    })
    .await;
    for text in ["a", "b", "c"] {
        log.append(STREAM, &record(text)).await.expect("append");
    }
    let gone = log.read(STREAM, Offset(0), MAX, Duration::ZERO).await;
    let first_retained = Offset(1);
    assert_eq!(gone, Err(Error::RecordsGone { first_retained }));
    assert_eq!(contents(&*log, 1).await.len(), 2);

    let (log, _, _handle) = start(LogOptions {
        retain_age: Duration::ZERO,
        ..LogOptions::default()
    })
    .await;
    log.append(STREAM, &record("a")).await.expect("append");
    let gone = log.read(STREAM, Offset(0), MAX, Duration::ZERO).await;
    assert_eq!(gone, Err(Error::RecordsGone { first_retained }));
}

/// Guards against a refusal that is taken for an unknown outcome.
#[tokio::test]
async fn refused_append_has_no_effect() {
    let (log, _, _handle) = start(LogOptions {
        append_rate: 0,
        ..LogOptions::default()
    })
    .await;
    let refused = log.append(STREAM, &record("a")).await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
    assert!(contents(&*log, 0).await.is_empty());
    let refused = log.append("no/name", &record("a")).await;
    assert!(matches!(refused, Err(Error::Protocol(_))), "{refused:?}");
}

/// Guards against answers of a broken service that lose records or panic.
#[tokio::test]
async fn broken_answers_are_rejected() {
    let answers = [
        "",
        "{}",
        r#"{"first_retained":0,"next":9,"records":[]}"#,
        r#"{"first_retained":0,"next":1,"records":[{"offset":0,"at_ms":1,"data":"?"}]}"#,
        r#"{"first_retained":0,"next":2,"records":[{"offset":1,"at_ms":1,"data":""}]}"#,
    ];
    for answer in answers {
        let router = Router::new().route(
            "/streams/configuration/records",
            get(move || async move { answer }).post(move || async move { answer }),
        );
        let listener = tokio::net::TcpListener::bind(any_port())
            .await
            .expect("bind");
        let addr = listener.local_addr().expect("address");
        tokio::spawn(async move { axum::serve(listener, router).await });
        let log = HttpLogStore::new(addr, PATIENT);
        let read = log.read(STREAM, Offset(0), MAX, Duration::ZERO).await;
        assert!(
            matches!(read, Err(Error::Protocol(_))),
            "{answer}: {read:?}"
        );
        // The service reported success, so the records may be in the log.
        let append = log.append(STREAM, &record("a")).await;
        assert!(
            matches!(append, Err(Error::OutcomeUnknown(_))),
            "{answer}: {append:?}"
        );
    }
}
