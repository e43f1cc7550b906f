//! Upper bounds of encoded sizes, so that messages are cut to size without encoding them.
//!
//! The bounds hold for postcard: variable-length integers and length-prefixed texts.

use std::net::SocketAddr;

use cornelvalve_model::{Member, MemberKey};

use crate::Update;

/// Bytes of a message apart from its updates: tags, sequence, target, revision and length.
pub(crate) const MESSAGE_OVERHEAD: usize = 32;

fn integer(value: u64) -> usize {
    let bits = u64::BITS - value.leading_zeros();
    bits.div_ceil(7).max(1) as usize
}

fn text(value: &str) -> usize {
    1 + value.len()
}

fn key(value: MemberKey) -> usize {
    integer(value.incarnation.0) + integer(value.version.into())
}

fn addr(value: SocketAddr) -> usize {
    if value.is_ipv4() { 8 } else { 20 }
}

pub(crate) fn member(member: &Member) -> usize {
    let upstreams = member.upstreams.iter().map(|u| {
        text(u.service.as_str())
            + integer(u.port.into())
            + integer(u.slots.into())
            + integer(u.incarnation.0)
            + 1
    });
    text(member.vm.as_str())
        + key(member.key)
        + text(member.region.as_str())
        + text(member.domain.as_str())
        + addr(member.peer_addr)
        + addr(member.caller_addr)
        + addr(member.operator_addr)
        + 2
        + upstreams.sum::<usize>()
}

pub(crate) fn update(update: &Update) -> usize {
    1 + match update {
        Update::Record(record) => member(record),
        Update::State { vm, key: k, .. } => text(vm.as_str()) + key(*k) + 1,
        Update::Reachability {
            observer,
            incarnation,
            sequence,
            region,
            ..
        } => {
            text(observer.as_str())
                + integer(incarnation.0)
                + integer((*sequence).into())
                + text(region.as_str())
                + 1
        }
    }
}
