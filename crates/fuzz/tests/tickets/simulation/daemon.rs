//! State of one simulated daemon.

use std::time::Duration;

use cornelvalve_model::{Incarnation, VmName};
use cornelvalve_policy::{TicketSettings, TicketTable};

/// Limits of the ticket tables, small enough that short event sequences reach them.
pub(super) const SETTINGS: TicketSettings = TicketSettings {
    ttl: Duration::from_millis(800),
    max_entries: 3,
    response_bytes: 12,
    response_ttl: Duration::from_millis(300),
};

/// Simulated daemon.
pub(super) struct Daemon {
    pub(super) table: TicketTable,
    pub(super) incarnation: u64,
    pub(super) draining: bool,
}

impl Daemon {
    pub(super) fn new(number: usize, incarnation: u64) -> Self {
        let vm = VmName::new(&format!("vm-{number}")).expect("valid name");
        Self {
            table: TicketTable::new(SETTINGS, vm, Incarnation(incarnation)),
            incarnation,
            draining: false,
        }
    }
}
