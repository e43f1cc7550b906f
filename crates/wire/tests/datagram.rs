//! Tests of the datagram codec with random messages and invalid datagrams.

use std::net::SocketAddr;

use cornelvalve_membership::{Message, Summary, Update};
use cornelvalve_model::{
    ConfigRevision, FailureDomain, Incarnation, LogPosition, Member, MemberKey, MemberState,
    Region, ServiceName, Upstream, UpstreamState, VmName,
};
use cornelvalve_wire::datagram::{
    DatagramError, FORMAT_VERSION, MAX_DATAGRAM_BYTES, decode, encode,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use xxhash_rust::xxh3::xxh3_64;

fn id() -> impl Strategy<Value = String> {
    "[a-z0-9._-]{1,64}"
}

fn key() -> impl Strategy<Value = MemberKey> {
    (any::<u64>(), any::<u32>()).prop_map(|(incarnation, version)| MemberKey {
        incarnation: Incarnation(incarnation),
        version,
    })
}

fn state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
        Just(MemberState::Left),
        Just(MemberState::Dead),
    ]
}

fn upstream() -> impl Strategy<Value = Upstream> {
    (id(), any::<u16>(), any::<u16>(), any::<u64>()).prop_map(
        |(service, port, slots, incarnation)| Upstream {
            service: ServiceName::new(&service).expect("valid identifier"),
            port,
            slots,
            incarnation: Incarnation(incarnation),
            state: UpstreamState::Draining,
        },
    )
}

fn member() -> impl Strategy<Value = Member> {
    let addrs = any::<[SocketAddr; 3]>();
    let upstreams = proptest::collection::vec(upstream(), 0..3);
    (id(), key(), id(), id(), addrs, state(), upstreams).prop_map(
        |(vm, key, region, domain, addrs, state, upstreams)| {
            // Drops the flow label and scope of IPv6 addresses, which are not encoded.
            let addrs = addrs.map(|a| SocketAddr::new(a.ip(), a.port()));
            Member {
                vm: VmName::new(&vm).expect("valid identifier"),
                key,
                region: Region::new(&region).expect("valid identifier"),
                domain: FailureDomain::new(&domain).expect("valid identifier"),
                peer_addr: addrs[0],
                caller_addr: addrs[1],
                operator_addr: addrs[2],
                state,
                upstreams: upstreams.into(),
            }
        },
    )
}

fn update() -> impl Strategy<Value = Update> {
    let reachability = (id(), any::<u64>(), any::<u32>(), id(), any::<bool>());
    prop_oneof![
        member().prop_map(|m| Update::Record(Box::new(m))),
        (id(), key(), state()).prop_map(|(vm, key, state)| Update::State {
            vm: VmName::new(&vm).expect("valid identifier"),
            key,
            state,
        }),
        reachability.prop_map(|(observer, incarnation, sequence, region, reachable)| {
            Update::Reachability {
                observer: VmName::new(&observer).expect("valid identifier"),
                incarnation: Incarnation(incarnation),
                sequence,
                region: Region::new(&region).expect("valid identifier"),
                reachable,
            }
        }),
    ]
}

fn revision() -> impl Strategy<Value = ConfigRevision> {
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>(), any::<bool>());
    numbers.prop_map(|(era, offset, version, keeps_domains)| ConfigRevision {
        position: LogPosition::new(era, offset),
        version,
        keeps_domains,
    })
}

fn message() -> impl Strategy<Value = Message> {
    let update_list = || proptest::collection::vec(update(), 0..3);
    let summary = any::<(u32, u32)>().prop_map(|(vm_hash, record_hash)| Summary {
        vm_hash,
        record_hash,
    });
    let summaries = proptest::collection::vec(summary, 0..100);
    prop_oneof![
        (any::<u32>(), any::<u32>(), revision(), update_list()).prop_map(
            |(sequence, target_hash, revision, updates)| {
                Message::Ping {
                    sequence,
                    target_hash,
                    revision,
                    updates,
                }
            }
        ),
        (any::<u32>(), revision(), update_list()).prop_map(|(sequence, revision, updates)| {
            Message::Ack {
                sequence,
                revision,
                updates,
            }
        }),
        member().prop_map(|m| Message::Join {
            member: Box::new(m)
        }),
        update_list().prop_map(|updates| Message::Updates { updates }),
        (any::<u64>(), proptest::option::of(member())).prop_map(|(root, member)| {
            Message::SyncRoot {
                root,
                member: member.map(Box::new),
            }
        }),
        // A number of 28 bits is encoded in four bytes, so that 256 of them fit into a datagram.
        proptest::collection::vec(0..1_u32 << 28, 256)
            .prop_map(|buckets| Message::SyncBuckets { buckets }),
        (proptest::collection::vec(any::<u8>(), 0..256), summaries)
            .prop_map(|(buckets, summaries)| Message::SyncSummaries { buckets, summaries }),
        Just(Message::RevisionQuery),
    ]
}

/// Returns a datagram with a valid header and this body, so that tests reach the decoder of the
/// body.
fn with_header(body: &[u8]) -> Vec<u8> {
    let mut datagram = vec![FORMAT_VERSION];
    datagram.extend_from_slice(&xxh3_64(body).to_le_bytes()[..4]);
    datagram.extend_from_slice(body);
    datagram
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        .. ProptestConfig::default()
    })]

    /// Guards against a malicious or unrelated datagram that makes the process panic.
    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        prop_assert!(decode(&bytes).is_err());
        let _ = decode(&with_header(&bytes));
    }

    /// Guards against fields that are lost by encoding and against datagrams above the limit.
    #[test]
    fn messages_round_trip(message in message()) {
        match encode(&message) {
            Ok(bytes) => {
                prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                prop_assert_eq!(decode(&bytes), Ok(message));
            }
            Err(e) => prop_assert!(matches!(e, DatagramError::TooLong(_))),
        }
    }

    /// Guards against a corrupted datagram that decodes to another message.
    #[test]
    fn a_flipped_bit_is_detected(message in message(), at in any::<proptest::sample::Index>()) {
        if let Ok(mut bytes) = encode(&message) {
            let bit = at.index(bytes.len() * 8);
            bytes[bit / 8] ^= 1 << (bit % 8);
            prop_assert!(decode(&bytes).is_err());
        }
    }
}

/// Guards against a wrong length, another version or bytes after the message that are reported as a
/// different error.
#[test]
fn errors_identify_the_invalid_part() {
    let valid = encode(&Message::RevisionQuery).unwrap();
    assert_eq!(decode(&valid[..3]), Err(DatagramError::TooShort(3)));
    assert_eq!(
        decode(&[0; MAX_DATAGRAM_BYTES + 1]),
        Err(DatagramError::TooLong(MAX_DATAGRAM_BYTES + 1))
    );
    let mut newer = valid.clone();
    newer[0] = FORMAT_VERSION + 1;
    assert_eq!(
        decode(&newer),
        Err(DatagramError::WrongVersion(FORMAT_VERSION + 1))
    );
    // The header has five bytes.
    let body = &valid[5..];
    let longer = [body, &[0, 0]].concat();
    assert_eq!(
        decode(&with_header(&longer)),
        Err(DatagramError::TrailingBytes(2))
    );
}
