//! Computes upper bounds for encoded sizes in bytes, so that messages can be limited in size
//! without encoding them.
//!
//! The bounds hold for the postcard format, which has variable-length integers and length-prefixed
//! strings.

use std::net::SocketAddr;

use cornelvalve_model::{Member, MemberKey};

use crate::Update;

/// Bytes of a message apart from its updates: enum tags, sequence number, target hash, revision and
/// the length of the list of updates.
pub(crate) const MESSAGE_OVERHEAD_BYTES: usize = 48;

/// Returns the exact size of a variable-length integer, which holds seven bits per byte.
fn varint_bytes(value: u64) -> usize {
    let bits = u64::BITS - value.leading_zeros();
    bits.div_ceil(7).max(1) as usize
}

/// Returns the size of a string of at most 127 bytes.
fn string_bytes(value: &str) -> usize {
    1 + value.len()
}

fn key_bytes(value: MemberKey) -> usize {
    varint_bytes(value.incarnation.0) + varint_bytes(value.version.into())
}

fn addr_bytes(value: SocketAddr) -> usize {
    // One byte for the address family, 4 or 16 for the IP address and up to 3 for the port.
    if value.is_ipv4() { 8 } else { 20 }
}

/// Returns the upper bound for a member record.
pub(crate) fn member_bytes(member: &Member) -> usize {
    let upstreams = member.upstreams.iter().map(|u| {
        string_bytes(u.service.as_str())
            + varint_bytes(u.port.into())
            + varint_bytes(u.slots.into())
            + varint_bytes(u.incarnation.0)
            + 1 // State.
    });
    string_bytes(member.vm.as_str())
        + key_bytes(member.key)
        + string_bytes(member.region.as_str())
        + string_bytes(member.domain.as_str())
        + addr_bytes(member.peer_addr)
        + addr_bytes(member.caller_addr)
        + addr_bytes(member.operator_addr)
        + 2 // State and number of upstreams.
        + upstreams.sum::<usize>()
}

/// Returns the upper bound for an update.
pub(crate) fn update_bytes(update: &Update) -> usize {
    1 + match update {
        Update::Record(record) => member_bytes(record),
        Update::State { vm, key, .. } => string_bytes(vm.as_str()) + key_bytes(*key) + 1,
        Update::Reachability {
            observer,
            incarnation,
            sequence,
            region,
            ..
        } => {
            string_bytes(observer.as_str())
                + varint_bytes(incarnation.0)
                + varint_bytes((*sequence).into())
                + string_bytes(region.as_str())
                + 1
        }
    }
}
