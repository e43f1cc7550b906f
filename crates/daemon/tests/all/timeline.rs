//! Tests of the hybrid logical clock, the ring of events and the timeline service.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_api::{Event, Timestamp};
use cornelvalve_daemon::timeline::{
    HybridClock, Ring, TIMELINE, TimelineMessage, record, run_timeline,
};
use cornelvalve_kernel::{Kernel, ServiceOptions, SystemClock};
use cornelvalve_model::{VmName, WallTime};

fn stamp(wall_ms: u64, logical: u32) -> Timestamp {
    Timestamp { wall_ms, logical }
}

fn vm() -> VmName {
    "vm-1".parse().expect("valid")
}

/// Guards against timestamps that repeat or decrease when the wall clock stands or steps back.
#[test]
fn clock_increases_when_the_wall_clock_does_not() {
    let mut clock = HybridClock::default();
    let walls = [100, 100, 90, 101, 50];
    let stamps = walls.map(|wall| clock.tick(WallTime(wall)));
    let expected = [
        stamp(100, 0),
        stamp(100, 1),
        stamp(100, 2),
        stamp(101, 0),
        stamp(101, 1),
    ];
    assert_eq!(stamps, expected);
}

/// Guards against an effect that is ordered before its cause on a VM whose clock is ahead.
#[test]
fn clock_exceeds_what_it_observed() {
    let mut clock = HybridClock::default();
    clock.observe(stamp(5_000, 7), WallTime(100));
    assert_eq!(clock.tick(WallTime(100)), stamp(5_000, 8));
    clock.observe(stamp(4_000, 9), WallTime(100));
    assert_eq!(clock.tick(WallTime(100)), stamp(5_000, 9));
}

/// Guards against one VM with a wrong clock that moves all timelines into the future.
#[test]
fn clock_ignores_a_far_future() {
    let mut clock = HybridClock::default();
    clock.observe(stamp(60_101, 0), WallTime(100));
    assert_eq!(clock.tick(WallTime(100)), stamp(100, 0));
    clock.observe(stamp(60_100, 0), WallTime(100));
    assert_eq!(clock.tick(WallTime(100)), stamp(60_100, 1));
}

/// Guards against an overflow of the logical counter, which would repeat timestamps.
#[test]
fn clock_carries_a_full_counter() {
    let mut clock = HybridClock::default();
    clock.observe(stamp(100, u32::MAX), WallTime(100));
    assert_eq!(clock.tick(WallTime(100)), stamp(101, 0));
}

/// Guards against pages that skip or repeat an event.
#[test]
fn ring_is_read_in_pages() {
    let mut ring = Ring::new(vm(), 10);
    for n in 1..=5 {
        ring.push(stamp(n, 0), Event::Started);
    }
    let first = ring.read(None, 2);
    assert_eq!(first.events.len(), 2);
    assert_eq!(first.next, Some(stamp(2, 0)));
    let second = ring.read(first.next, 10);
    let times: Vec<u64> = second.events.iter().map(|e| e.at.wall_ms).collect();
    assert_eq!(times, [3, 4, 5]);
    let third = ring.read(second.next, 10);
    assert!(third.events.is_empty());
    assert_eq!(third.next, second.next);
}

/// Guards against a bounded buffer that loses events without a sign.
#[test]
fn ring_reports_a_gap() {
    let mut ring = Ring::new(vm(), 2);
    for n in 1..=4 {
        ring.push(stamp(n, 0), Event::Started);
    }
    assert!(ring.read(None, 10).gap);
    assert!(ring.read(Some(stamp(1, 0)), 10).gap);
    assert!(!ring.read(Some(stamp(2, 0)), 10).gap);
    assert_eq!(ring.read(None, 10).events.len(), 2);
}

/// Guards against a service that does not order its own events after those it was told of.
#[tokio::test]
async fn service_records_and_reads() {
    let clock = Arc::new(SystemClock::new());
    let kernel = Kernel::builder(clock)
        .add_service(TIMELINE, ServiceOptions::default(), |context| {
            run_timeline(context, vm())
        })
        .start();
    let timeline = kernel.mailbox(TIMELINE).expect("service was added");
    record(&timeline, Event::LogStoreLost);
    let sent = timeline.ask(TimelineMessage::Stamp).await.expect("reply");
    let remote = stamp(sent.wall_ms + 30_000, 5);
    timeline
        .send(TimelineMessage::Observe(remote))
        .await
        .expect("delivered");
    record(&timeline, Event::LogStoreReturned);
    let page = timeline
        .ask(|reply| TimelineMessage::Read {
            after: None,
            limit: 10,
            reply,
        })
        .await
        .expect("reply");
    let events: Vec<&Event> = page.events.iter().map(|e| &e.event).collect();
    assert_eq!(events, [&Event::LogStoreLost, &Event::LogStoreReturned]);
    assert!(page.events[0].at < sent);
    assert!(page.events[1].at > remote);
    kernel.stop(Duration::from_secs(5)).await;
}
