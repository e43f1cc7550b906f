use smallvec::smallvec;

use super::*;

fn at(seconds: u64) -> Moment {
    Moment::from_millis(seconds * 1000)
}

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).expect("name is valid")
}

/// Returns the tracker of a daemon that knows from the first era that the domain `a` is out of
/// service, and then reads a restored store that does not list it.
fn restored() -> DomainTracker {
    let mut tracker = DomainTracker::default();
    tracker.set_listed(LogPosition::new(1, 5), smallvec![domain("a")], at(0));
    tracker.set_listed(LogPosition::new(2, 3), smallvec![], at(10));
    tracker
}

// Guards against requests to a failure domain whose record is among those that a restore lost.
#[test]
fn a_domain_that_the_copy_lacks_stays_out_of_service() {
    let tracker = restored();
    assert_eq!(tracker.domains_out().as_slice(), [domain("a")]);
    assert_eq!(tracker.position(), LogPosition::new(2, 3));
    assert!(tracker.keeps_domains());
}

// Guards against a domain that stays out of service for ever, because its return is among the lost
// records and is not written again.
#[test]
fn a_domain_that_no_record_names_returns_after_a_time() {
    let mut tracker = restored();
    tracker.expire(at(39));
    assert_eq!(tracker.domains_out().as_slice(), [domain("a")]);
    tracker.expire(at(40));
    assert!(tracker.domains_out().is_empty());
    assert_eq!(tracker.next_due(), None);
}

// Guards against a record of the new era that has no effect on a kept domain.
#[test]
fn records_of_the_era_decide_on_a_kept_domain() {
    let mut tracker = restored();
    tracker.apply_record(domain("a"), false);
    assert!(tracker.domains_out().is_empty());
    let mut tracker = restored();
    tracker.apply_record(domain("a"), true);
    tracker.expire(at(60));
    assert_eq!(tracker.domains_out().as_slice(), [domain("a")]);
}

// Guards against a daemon that started after the restore and uses a domain that the others keep out
// of service.
#[test]
fn kept_domains_are_taken_over_from_peers_with_the_time_left() {
    let mut started = DomainTracker::default();
    started.set_listed(LogPosition::new(2, 3), smallvec![], at(20));
    started.merge_kept(StoreEra(2), &restored().kept(at(20)), at(20));
    assert_eq!(started.domains_out().as_slice(), [domain("a")]);
    assert_eq!(started.next_due(), Some(at(40)));
}

// Guards against a peer that has not seen the record of the era yet and takes a returned domain out
// of service again.
#[test]
fn a_named_domain_is_not_taken_over_from_peers() {
    let mut tracker = restored();
    tracker.apply_record(domain("a"), false);
    tracker.merge_kept(StoreEra(2), &restored().kept(at(11)), at(11));
    assert!(tracker.domains_out().is_empty());
    let mut peer = restored();
    peer.merge_kept(StoreEra(2), &tracker.kept(at(11)), at(11));
    assert!(peer.domains_out().is_empty());
}

// Guards against a daemon that was cut off during the restore and brings its list back.
#[test]
fn a_list_of_an_earlier_era_has_no_effect() {
    let mut tracker = restored();
    tracker.apply_record(domain("a"), false);
    tracker.set_listed(LogPosition::new(1, 9), smallvec![domain("b")], at(12));
    tracker.merge_kept(StoreEra(1), &restored().kept(at(12)), at(12));
    assert!(tracker.domains_out().is_empty());
}
