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
pub(crate) const MESSAGE_OVERHEAD: usize = 32;

/// Returns the exact size of a variable-length integer.
fn varint(value: u64) -> usize {
    let bits = u64::BITS - value.leading_zeros();
    bits.div_ceil(7).max(1) as usize
}

/// Returns the size of a string of at most 127 bytes.
fn string(value: &str) -> usize {
    1 + value.len()
}

fn key(value: MemberKey) -> usize {
    varint(value.incarnation.0) + varint(value.version.into())
}

fn addr(value: SocketAddr) -> usize {
    // One byte for the address family, 4 or 16 for the IP address and up to 3 for the port.
    if value.is_ipv4() { 8 } else { 20 }
}

/// Returns the upper bound for a member record.
pub(crate) fn member(member: &Member) -> usize {
    let upstreams = member.upstreams.iter().map(|u| {
        string(u.service.as_str())
            + varint(u.port.into())
            + varint(u.slots.into())
            + varint(u.incarnation.0)
            + 1
    });
    string(member.vm.as_str())
        + key(member.key)
        + string(member.region.as_str())
        + string(member.domain.as_str())
        + addr(member.peer_addr)
        + addr(member.caller_addr)
        + addr(member.operator_addr)
        + 2
        + upstreams.sum::<usize>()
}

/// Returns the upper bound for an update.
pub(crate) fn update(update: &Update) -> usize {
    1 + match update {
        Update::Record(record) => member(record),
        Update::State { vm, key: k, .. } => string(vm.as_str()) + key(*k) + 1,
        Update::Reachability {
            observer,
            incarnation,
            sequence,
            region,
            ..
        } => {
            string(observer.as_str())
                + varint(incarnation.0)
                + varint((*sequence).into())
                + string(region.as_str())
                + 1
        }
    }
}
