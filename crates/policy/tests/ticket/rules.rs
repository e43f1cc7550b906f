//! Single rules of the ticket table that need forged tickets or an unsteady clock.

use std::time::Duration;

use cornelvalve_model::{Fingerprint, Incarnation, Moment, Reason, Refusal, ServiceName, VmName};
use cornelvalve_policy::{ArrivalDecision, ArrivalId, Ticket, TicketSettings, TicketTable};

const BODY: Fingerprint = Fingerprint(7);
const START: Moment = Moment(1_000_000_000);

fn table() -> TicketTable {
    let vm = VmName::new("a").expect("valid name");
    TicketTable::new(TicketSettings::default(), vm, Incarnation(1))
}

fn issue(table: &mut TicketTable, count: usize) -> Vec<Ticket> {
    let service = ServiceName::new("remise").expect("valid name");
    table
        .issue(&service, count, START)
        .expect("not draining")
        .into_vec()
}

/// Guards against a message that read the clock before a pause and arrives after the entry of its
/// ticket was forgotten: it would run a second time.
#[test]
fn expired_ticket_stays_expired_for_an_earlier_moment() {
    let mut table = table();
    let ticket = issue(&mut table, 1).remove(0);
    assert_eq!(
        table.arrive(&ticket, BODY, ArrivalId(1), START),
        ArrivalDecision::Run
    );
    assert_eq!(table.try_dispatch(&ticket, START), Ok(()));
    table.mark_unknown(&ticket, START);
    table.tick(START + TicketSettings::default().ttl);
    assert_eq!(table.live(), 0);
    let gone = ArrivalDecision::Refuse(Refusal::unknown(Reason::TicketGone));
    assert_eq!(table.arrive(&ticket, BODY, ArrivalId(2), START), gone);
}

/// Guards against forged tickets that never expire, and against overflow in their numbers.
#[test]
fn forged_tickets_do_not_run() {
    let mut table = table();
    let issued = issue(&mut table, 1).remove(0);
    let later = Ticket {
        issued_ms: u64::MAX,
        ..issued.clone()
    };
    let unissued = Ticket { nonce: 1, ..issued };
    for forged in [later, unissued] {
        let bad = ArrivalDecision::Refuse(Refusal::not_run(Reason::BadTicket));
        assert_eq!(table.arrive(&forged, BODY, ArrivalId(1), START), bad);
        assert!(table.try_dispatch(&forged, START).is_err());
        assert!(table.release_pending(&forged).is_empty());
    }
}

/// Guards against memory that grows with the repeats of one running request.
#[test]
fn waiters_are_bounded_and_refused_unknown() {
    let mut table = table();
    let ticket = issue(&mut table, 1).remove(0);
    let arrivals: Vec<ArrivalDecision> = (0..100)
        .map(|id| table.arrive(&ticket, BODY, ArrivalId(id), START))
        .collect();
    let refused = ArrivalDecision::Refuse(Refusal::unknown(Reason::Overloaded));
    assert_eq!(
        arrivals
            .iter()
            .filter(|a| **a == ArrivalDecision::Wait)
            .count(),
        32
    );
    assert_eq!(arrivals.iter().filter(|a| **a == refused).count(), 67);
}

/// Guards against issue calls that return one ticket twice or keep state for unused ones.
#[test]
fn issue_returns_distinct_tickets_up_to_a_bound_without_state() {
    let mut table = table();
    let mut nonces: Vec<u64> = (0..3)
        .flat_map(|_| issue(&mut table, 1000))
        .map(|ticket| ticket.nonce)
        .collect();
    nonces.dedup();
    assert_eq!(nonces.len(), 3 * 64);
    assert_eq!(table.live(), 0);
}

/// Guards against a run at the very moment of expiry.
#[test]
fn dispatch_is_refused_from_the_moment_of_expiry() {
    let mut table = table();
    let tickets = issue(&mut table, 2);
    let expiry = START + TicketSettings::default().ttl;
    let before = Moment(expiry.0 - 1);
    for (id, ticket) in (0..).zip(&tickets) {
        assert_eq!(
            table.arrive(ticket, BODY, ArrivalId(id), START),
            ArrivalDecision::Run
        );
    }
    assert_eq!(table.try_dispatch(&tickets[0], before), Ok(()));
    let gone = Err(Refusal::not_run(Reason::TicketGone));
    assert_eq!(table.try_dispatch(&tickets[1], expiry), gone);
    assert_eq!(
        table.try_dispatch(&tickets[1], before + Duration::ZERO),
        gone
    );
}
