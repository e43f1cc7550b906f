//! Tests of rate limits and counters through the public interface of the crate.

use std::time::Duration;

use cornelvalve_budget::{
    AVERAGING_WINDOW_SECONDS, Budget, BudgetSettings, REGION_LINK_BYTES_PER_SECOND,
    REGION_LINK_DAEMONS, SendDecision, TOTAL_BYTES_PER_SECOND, TrafficClass,
};
use cornelvalve_model::Moment;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns the largest number of bytes sent in any window of the given length.
fn max_sent(sent: &[(Moment, u32)], window: Duration) -> u64 {
    let bytes_from = |start: Moment| {
        let in_window = sent
            .iter()
            .filter(|(at, _)| *at >= start && at.since(start) < window);
        in_window.map(|(_, bytes)| u64::from(*bytes)).sum::<u64>()
    };
    sent.iter()
        .map(|(at, _)| bytes_from(*at))
        .max()
        .unwrap_or(0)
}

/// Generates the milliseconds since the previous charge, the bytes, whether the message crosses
/// regions, and the index of its class.
fn charge() -> impl Strategy<Value = (u64, u32, bool, usize)> {
    (0..400_u64, 20..1400_u32, any::<bool>(), 0..4_usize)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        // Fixed, so that runs are reproducible.
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        .. ProptestConfig::default()
    })]

    /// Guards against a window in which a class, the region link or the whole daemon exceeds its
    /// limit.
    #[test]
    fn limits_hold_in_every_window(
        charges in proptest::collection::vec(charge(), 1..300),
    ) {
        let settings = BudgetSettings::default();
        let mut budget = Budget::new(settings);
        // Late enough for all buckets, which start empty, to be full.
        let mut now = Moment::from_millis(5000);
        // Lists 0 to 3 are those of the classes, 4 has all messages, and 5 those that cross
        // regions.
        let mut sent: Vec<Vec<(Moment, u32)>> = vec![Vec::new(); 6];
        for (gap, bytes, crosses, class) in charges {
            now = now + Duration::from_millis(gap);
            let decision = budget.charge(TrafficClass::ALL[class], bytes, crosses, now);
            if decision == SendDecision::Send {
                sent[class].push((now, bytes));
                sent[4].push((now, bytes));
                if crosses {
                    sent[5].push((now, bytes));
                }
            }
        }
        let seconds = u64::from(AVERAGING_WINDOW_SECONDS);
        let window = Duration::from_secs(seconds);
        for class in TrafficClass::ALL {
            let rate = settings.rate(class);
            for t in [1, 3, seconds] {
                let bound = u64::from(rate.burst_bytes) + t * u64::from(rate.bytes_per_second);
                prop_assert!(max_sent(&sent[class as usize], Duration::from_secs(t)) <= bound);
            }
        }
        prop_assert!(max_sent(&sent[4], window) <= seconds * u64::from(TOTAL_BYTES_PER_SECOND));
        let link = u64::from(REGION_LINK_BYTES_PER_SECOND / REGION_LINK_DAEMONS);
        prop_assert!(max_sent(&sent[5], window) <= seconds * link);
    }
}

/// Guards against default limits whose sum exceeds the total, and against a burst smaller than a
/// datagram, which could never be sent.
#[test]
fn default_limits_are_consistent() {
    let settings = BudgetSettings::default();
    let rates = TrafficClass::ALL.map(|class| settings.rate(class));
    let window_bytes = rates.map(|r| r.burst_bytes + AVERAGING_WINDOW_SECONDS * r.bytes_per_second);
    assert!(window_bytes.iter().sum::<u32>() <= AVERAGING_WINDOW_SECONDS * TOTAL_BYTES_PER_SECOND);
    // Datagrams have up to 1400 bytes.
    assert!(rates.iter().all(|r| r.burst_bytes >= 1400));
    assert!(settings.region_link.burst_bytes >= 1400);
    assert_eq!(REGION_LINK_BYTES_PER_SECOND, 30_000_000 / 8 / 100);
}

/// Guards against a class or the region link that uses up the tokens of another class, and against
/// messages that are not counted.
#[test]
fn classes_and_region_link_are_independent() {
    let mut budget = Budget::new(BudgetSettings::default());
    let start = Moment::from_millis(0);
    assert_eq!(
        budget.charge(TrafficClass::News, 100, false, start),
        SendDecision::Drop
    );
    // A burst across the region link has room for two messages of 1000 bytes, a burst of updates
    // for more.
    let later = start + Duration::from_secs(10);
    while budget.charge(TrafficClass::News, 1000, true, later) == SendDecision::Send {}
    assert_eq!(
        budget.charge(TrafficClass::News, 1000, false, later),
        SendDecision::Send
    );
    assert_eq!(
        budget.charge(TrafficClass::Probe, 1000, true, later),
        SendDecision::Drop
    );
    assert_eq!(budget.region_link_counters().sent.messages, 2);
    assert_eq!(budget.region_link_counters().dropped.bytes, 2000);
    assert_eq!(budget.counters(TrafficClass::News).sent.bytes, 3000);
    assert_eq!(budget.counters(TrafficClass::News).dropped.messages, 2);
    assert_eq!(budget.counters(TrafficClass::Probe).dropped.messages, 1);
}

/// Guards against tokens that are added twice for the same time span when a charge has an earlier
/// time than the one before.
#[test]
fn earlier_time_adds_no_tokens() {
    let mut budget = Budget::new(BudgetSettings::default());
    let late = Moment::from_millis(1000);
    budget.charge(TrafficClass::Load, 1, false, Moment::from_millis(0));
    budget.charge(TrafficClass::Load, 1, false, late);
    let before = budget.counters(TrafficClass::Load);
    for _ in 0..100 {
        budget.charge(TrafficClass::Load, 1400, false, Moment::from_millis(0));
        budget.charge(TrafficClass::Load, 1400, false, late);
    }
    // The class gains 1,666 bytes per second.
    let sent = budget.counters(TrafficClass::Load).sent.bytes - before.sent.bytes;
    assert!(
        sent <= 2000,
        "sent {sent} bytes, more than the tokens of one second"
    );
}

/// Guards against a class whose first message is dropped although its bucket is full.
#[test]
fn unused_class_can_send_a_burst() {
    let mut budget = Budget::new(BudgetSettings::default());
    let now = Moment::from_millis(10_000);
    let decision = budget.charge(TrafficClass::Configuration, 1400, true, now);
    assert_eq!(decision, SendDecision::Send);
}

/// Guards against a transfer larger than a burst that is never allowed, and against one that is not
/// charged in full.
#[test]
fn bulk_transfer_needs_full_bucket_and_leaves_debt() {
    let class = TrafficClass::Configuration;
    let rate = BudgetSettings::default().rate(class);
    let mut budget = Budget::new(BudgetSettings::default());
    let at = |seconds: u64| Moment::from_millis(seconds * 1000);
    let bulk = 10 * rate.burst_bytes;
    assert_eq!(
        budget.charge_bulk(class, bulk, false, at(1)),
        SendDecision::Drop
    );
    assert_eq!(
        budget.charge_bulk(class, bulk, false, at(2)),
        SendDecision::Send
    );
    // The debt is nine bursts, each of which takes two seconds to repay.
    assert_eq!(budget.charge(class, 20, false, at(20)), SendDecision::Drop);
    assert_eq!(budget.charge(class, 20, false, at(21)), SendDecision::Send);
    assert_eq!(budget.counters(class).sent.bytes, u64::from(bulk) + 20);
}
