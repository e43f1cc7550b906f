use super::*;

/// Returns the moments, in milliseconds, at which starts happen that come as often as allowed.
fn starts(limit: &mut RateLimit, from: u64, to: u64) -> Vec<u64> {
    let mut starts = Vec::new();
    for ms in from..to {
        let now = Moment::from_millis(ms);
        while limit.allows_start(now) {
            limit.record_start(now);
            starts.push(ms);
        }
    }
    starts
}

// Guards against more starts than the limit in any span of time, and against a limit that is left
// unused.
#[test]
fn starts_follow_the_limit() {
    for per_second in [0.3, 1.0, 7.4, 50.0, 400.0] {
        let mut limit = RateLimit::new(per_second, Moment(0));
        let starts = starts(&mut limit, 0, 20_000);
        let expected = per_second * 20.0;
        let count = starts.len() as f64;
        assert!(count >= 0.95 * expected, "{count} at {per_second}");
        for start in &starts {
            let span = starts
                .iter()
                .filter(|s| (*start..start + 4000).contains(*s));
            let count = span.count() as f64;
            assert!(count <= per_second * 4.25 + 1.0, "{count} at {per_second}");
        }
    }
}

// Guards against a wait that ends before the start is allowed, with which a timer would run without
// pause.
#[test]
fn a_start_is_allowed_after_its_wait() {
    let mut limit = RateLimit::new(0.7, Moment(0));
    let mut now = Moment(0);
    for _ in 0..1000 {
        assert!(limit.allows_start(now));
        limit.record_start(now);
        let ahead = limit.wait(2, now);
        let next = limit.next_release(now).expect("not allowed at once");
        assert!(next > now && next < now + ahead);
        now = next;
    }
}

// Guards against a division by zero and against an endless wait.
#[test]
fn a_limit_of_zero_allows_no_start() {
    for none in [0.0, -1.0, f64::NAN] {
        let mut limit = RateLimit::new(none, Moment(0));
        assert!(starts(&mut limit, 0, 10_000).is_empty());
        assert_eq!(limit.wait(0, Moment::from_millis(10_000)), MAX_WAIT);
    }
}

// Guards against an overflow with a limit that makes no sense.
#[test]
fn an_absurdly_large_limit_does_not_hold_starts_back() {
    for large in [1e300, f64::INFINITY, f64::MAX] {
        let mut limit = RateLimit::new(large, Moment(0));
        let now = Moment::from_millis(1);
        for _ in 0..1000 {
            assert!(limit.allows_start(now));
            limit.record_start(now);
        }
        assert!(limit.wait(10, now) < Duration::from_millis(1));
    }
}

// Guards against a changed limit that gives starts for which the upstream has no room.
#[test]
fn a_lower_limit_applies_at_once() {
    let mut limit = RateLimit::new(400.0, Moment(0));
    let now = Moment::from_millis(1000);
    limit.set(2.0, now);
    assert_eq!(starts(&mut limit, 1000, 3000).len(), 1 + 3);
    limit.set(0.0, Moment::from_millis(3000));
    assert!(starts(&mut limit, 3000, 9000).is_empty());
}
