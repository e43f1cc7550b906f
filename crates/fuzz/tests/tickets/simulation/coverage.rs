//! Outcomes of the ticket table that a simulation reached.

/// Counts how often each outcome of the ticket table was reached.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Coverage {
    pub(crate) runs: usize,
    /// Arrivals that wait for the response to another arrival with the same ticket.
    pub(super) waits: usize,
    /// Arrivals that got a stored response.
    pub(super) replays: usize,
    pub(super) not_run: usize,
    pub(super) invalidated: usize,
    pub(super) unknown: usize,
    pub(super) bad_ticket: usize,
    /// Dispatched requests whose connection was refused, so that they did not run.
    pub(super) removed_runs: usize,
}

impl Coverage {
    fn fields(&self) -> [usize; 8] {
        [
            self.runs,
            self.waits,
            self.replays,
            self.not_run,
            self.invalidated,
            self.unknown,
            self.bad_ticket,
            self.removed_runs,
        ]
    }

    pub(crate) fn add(&mut self, other: Self) {
        self.runs += other.runs;
        self.waits += other.waits;
        self.replays += other.replays;
        self.not_run += other.not_run;
        self.invalidated += other.invalidated;
        self.unknown += other.unknown;
        self.bad_ticket += other.bad_ticket;
        self.removed_runs += other.removed_runs;
    }

    /// Returns whether each outcome was reached at least once.
    pub(crate) fn covers_all(&self) -> bool {
        self.fields().iter().all(|count| *count > 0)
    }
}
