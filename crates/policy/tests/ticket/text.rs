//! Text form of tickets: parsing of valid, damaged and forged texts.

use cornelvalve_model::{Incarnation, ServiceName, VmName};
use cornelvalve_policy::{Ticket, TicketError};
use data_encoding::BASE64URL_NOPAD;
use xxhash_rust::xxh3::xxh3_64;

fn ticket(name: &str) -> Ticket {
    Ticket {
        vm: VmName::new(name).expect("valid name"),
        incarnation: Incarnation(u64::MAX),
        issued_ms: u64::MAX,
        nonce: u64::MAX,
        service: ServiceName::new(name).expect("valid name"),
    }
}

/// Guards against a length limit that refuses the longest ticket that a daemon can issue.
#[test]
fn longest_ticket_survives_the_round_trip() {
    let longest = ticket(&"a".repeat(64));
    assert_eq!(Ticket::parse(&longest.to_string()), Ok(longest));
}

/// Guards against a damaged text that is accepted as another ticket, and against panics.
#[test]
fn every_changed_or_missing_character_is_detected() {
    let text = ticket("vm-1").to_string();
    for at in 0..text.len() {
        assert!(Ticket::parse(&text[..at]).is_err());
        for replacement in ["A", "z", "-", "=", " ", "é"] {
            let mut changed = text.clone();
            changed.replace_range(at..=at, replacement);
            assert!(
                changed == text || Ticket::parse(&changed).is_err(),
                "{changed}"
            );
        }
    }
}

/// Guards against errors that do not distinguish a foreign idempotency key from a damaged ticket.
#[test]
fn errors_distinguish_their_causes() {
    let text = ticket("vm-1").to_string();
    let parse = |text: &str| Ticket::parse(text).unwrap_err();
    assert_eq!(parse(""), TicketError::NotTicket);
    assert_eq!(parse("5f1c6a3e"), TicketError::NotTicket);
    assert_eq!(parse("cv1."), TicketError::BadEncoding);
    assert_eq!(parse("cv1.%%%%"), TicketError::BadEncoding);
    assert_eq!(parse("cv1.AAAAAAAAAAAA"), TicketError::BadChecksum);
    assert_eq!(
        parse(&text.replacen("cv1.", "cv1.AAAA", 1)),
        TicketError::BadChecksum
    );
    assert_eq!(
        parse(&format!("cv1.{}", "A".repeat(400))),
        TicketError::TooLong
    );
}

/// Guards against panics and invalid names caused by a forged ticket with a valid checksum.
#[test]
fn forged_content_is_refused_or_valid() {
    let content = postcard::to_stdvec(&ticket("vm-1")).unwrap();
    let forge = |content: &[u8]| {
        let sum = xxh3_64(content).to_le_bytes();
        let bytes = [content, &sum[..4]].concat();
        Ticket::parse(&format!("cv1.{}", BASE64URL_NOPAD.encode(&bytes)))
    };
    assert_eq!(forge(&content), Ok(ticket("vm-1")));
    assert_eq!(
        forge(&[&content[..], b"x"].concat()),
        Err(TicketError::BadContent)
    );
    for at in 0..content.len() {
        assert_eq!(forge(&content[..at]), Err(TicketError::BadContent));
        for byte in 0..=u8::MAX {
            let mut changed = content.clone();
            changed[at] = byte;
            if let Ok(ticket) = forge(&changed) {
                assert!(VmName::new(ticket.vm.as_str()).is_ok());
                assert_eq!(Ticket::parse(&ticket.to_string()), Ok(ticket));
            }
        }
    }
}
