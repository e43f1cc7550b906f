//! Tests of the division of memory and descriptors.

use cornelvalve_policy::{MemoryBudget, MemoryUse};

use super::{ProcessLimits, RESERVED_DESCRIPTORS};
use crate::listener::MAX_INTERNAL_CONNECTIONS;

const MB: usize = 1_000_000;

/// Size in bytes of the largest body of the users' sites.
const LARGEST_BODY: usize = 64 * 1024 * 1024;

/// Listeners for check-ins, readiness and metrics.
const INTERNAL_LISTENERS: usize = 3;

// Guards against kinds of connections that together may take more descriptors than there are.
#[test]
fn all_connections_stay_within_the_descriptors() {
    for descriptors in [700, 1000, 4100, 8192] {
        let limits = ProcessLimits {
            memory_bytes: 512 * MB,
            descriptors,
        };
        let connections = limits.connections();
        let sum = connections.callers
            + connections.incoming
            + connections.outgoing
            + connections.upstream
            + INTERNAL_LISTENERS * MAX_INTERNAL_CONNECTIONS;
        assert!(
            sum + RESERVED_DESCRIPTORS / 2 <= descriptors,
            "{sum} of {descriptors}"
        );
    }
}

// Guards against shares of the memory in which the largest legal body does not fit, or which leave
// nothing for what is not counted.
#[test]
fn the_largest_body_fits_on_the_smallest_vm() {
    let limits = ProcessLimits {
        memory_bytes: 160 * MB,
        ..ProcessLimits::default()
    };
    let total = limits.message_bytes();
    let largest = MemoryBudget::new(total).largest_message(MemoryUse::Caller);
    assert!(largest >= LARGEST_BODY);
    let connections = limits.connections().callers * super::CONNECTION_BYTES;
    assert!(total + connections + super::BASE_BYTES <= limits.memory_bytes * 9 / 10);
}
