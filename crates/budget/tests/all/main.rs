//! Tests of the budget.

use std::time::Duration;

use cornelvalve_budget::{
    Budget, BudgetSettings, REGION_LINK_BYTES_PER_SECOND, REGION_LINK_DAEMONS, SendDecision,
    TOTAL_BYTES_PER_SECOND, TrafficClass, WINDOW_SECONDS,
};
use cornelvalve_model::Moment;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Largest number of bytes sent in any window of the given length.
fn peak(sent: &[(Moment, u32)], window: Duration) -> u64 {
    let sum = |start: Moment| {
        let inside = sent
            .iter()
            .filter(|(at, _)| *at >= start && at.since(start) < window);
        inside.map(|(_, bytes)| u64::from(*bytes)).sum::<u64>()
    };
    sent.iter().map(|(at, _)| sum(*at)).max().unwrap_or(0)
}

fn charge() -> impl Strategy<Value = (u64, u32, bool, usize)> {
    (0..400_u64, 20..1400_u32, any::<bool>(), 0..4_usize)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        .. ProptestConfig::default()
    })]

    /// Guards against a window in which a class, the link or the whole daemon exceeds its share.
    #[test]
    fn every_window_keeps_within_the_shares(
        charges in proptest::collection::vec(charge(), 1..300),
    ) {
        let settings = BudgetSettings::default();
        let mut budget = Budget::new(settings);
        let mut now = Moment::from_millis(5000);
        let mut sent: Vec<Vec<(Moment, u32)>> = vec![Vec::new(); 6];
        for (gap, bytes, crosses, class) in charges {
            now = now + Duration::from_millis(gap);
            let verdict = budget.charge(TrafficClass::ALL[class], bytes, crosses, now);
            if verdict == SendDecision::Send {
                sent[class].push((now, bytes));
                sent[4].push((now, bytes));
                if crosses {
                    sent[5].push((now, bytes));
                }
            }
        }
        let seconds = u64::from(WINDOW_SECONDS);
        let window = Duration::from_secs(seconds);
        for class in TrafficClass::ALL {
            let rate = settings.rate(class);
            for t in [1, 3, seconds] {
                let bound = u64::from(rate.burst_bytes) + t * u64::from(rate.bytes_per_second);
                prop_assert!(peak(&sent[class as usize], Duration::from_secs(t)) <= bound);
            }
        }
        prop_assert!(peak(&sent[4], window) <= seconds * u64::from(TOTAL_BYTES_PER_SECOND));
        let link = u64::from(REGION_LINK_BYTES_PER_SECOND / REGION_LINK_DAEMONS);
        prop_assert!(peak(&sent[5], window) <= seconds * link);
    }
}

/// Guards against defaults whose sum exceeds the total, or whose burst is less than a datagram.
#[test]
fn defaults_add_up() {
    let settings = BudgetSettings::default();
    let rates = TrafficClass::ALL.map(|class| settings.rate(class));
    let window = rates.map(|r| r.burst_bytes + WINDOW_SECONDS * r.bytes_per_second);
    assert!(window.iter().sum::<u32>() <= WINDOW_SECONDS * TOTAL_BYTES_PER_SECOND);
    assert!(rates.iter().all(|r| r.burst_bytes >= 1400));
    assert!(settings.region_link.burst_bytes >= 1400);
    assert_eq!(REGION_LINK_BYTES_PER_SECOND, 30_000_000 / 8 / 100);
}

/// Guards against one class or the link taking from another, and against lost counts.
#[test]
fn classes_and_link_are_separate() {
    let mut budget = Budget::new(BudgetSettings::default());
    let start = Moment::from_millis(0);
    assert_eq!(
        budget.charge(TrafficClass::News, 100, false, start),
        SendDecision::Drop
    );
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

/// Guards against a clock value that lies before the last one and is credited twice.
#[test]
fn a_moment_in_the_past_earns_nothing() {
    let mut budget = Budget::new(BudgetSettings::default());
    let late = Moment::from_millis(1000);
    budget.charge(TrafficClass::Load, 1, false, Moment::from_millis(0));
    budget.charge(TrafficClass::Load, 1, false, late);
    let left = budget.counters(TrafficClass::Load);
    for _ in 0..100 {
        budget.charge(TrafficClass::Load, 1400, false, Moment::from_millis(0));
        budget.charge(TrafficClass::Load, 1400, false, late);
    }
    let sent = budget.counters(TrafficClass::Load).sent.bytes - left.sent.bytes;
    assert!(
        sent <= 2000,
        "sent {sent} bytes with the tokens of one second"
    );
}

/// Guards against a class whose first message is dropped although it sent nothing before.
#[test]
fn an_unused_class_has_its_burst() {
    let mut budget = Budget::new(BudgetSettings::default());
    let now = Moment::from_millis(10_000);
    let verdict = budget.charge(TrafficClass::Configuration, 1400, true, now);
    assert_eq!(verdict, SendDecision::Send);
}

/// Guards against a transfer larger than a burst that is never granted or never paid for.
#[test]
fn bulk_needs_a_full_bucket_and_is_repaid() {
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
    // Nine bursts of two seconds each are owed.
    assert_eq!(budget.charge(class, 20, false, at(20)), SendDecision::Drop);
    assert_eq!(budget.charge(class, 20, false, at(21)), SendDecision::Send);
    assert_eq!(budget.counters(class).sent.bytes, u64::from(bulk) + 20);
}
