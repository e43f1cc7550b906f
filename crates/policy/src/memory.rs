//! Division of a daemon's memory among the messages that it holds.
//!
//! A message claims memory in steps as its bytes arrive. A claim that finds no room waits. Messages that
//! wait for each other end, because from time to time the one that holds least is refused.

use std::collections::VecDeque;
use std::time::Duration;

use cornelvalve_model::Moment;
use smallvec::SmallVec;

/// Part of the memory that large messages leave to small ones, and each use of large messages to the
/// other: one in this many parts.
const RESERVE_PARTS: usize = 16;

/// Size in bytes up to which a message is small.
const SMALL_MESSAGE_BYTES: usize = 256 * 1024;

/// Time for which claims wait before one is refused. Other messages usually end in this time.
const WAIT: Duration = Duration::from_secs(1);

/// Longest time for which a claim waits.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Maximum number of claims that wait; what has arrived of their messages takes memory too.
const MAX_WAITING: usize = 16;

/// What memory is used for.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum MemoryUse {
    /// Requests of callers.
    #[display("caller")]
    Caller,
    /// Requests of other daemons.
    #[display("peer")]
    Peer,
    /// Responses of upstreams. Their work is done, so they may use all of the memory.
    #[display("response")]
    Response,
}

/// Claim for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryClaim {
    /// What the memory is used for.
    pub purpose: MemoryUse,
    /// Number of bytes that the message already has.
    pub held: usize,
    /// Number of bytes that are claimed.
    pub bytes: usize,
}

impl MemoryClaim {
    /// Returns the size in bytes of the message with the claimed memory.
    fn size(&self) -> usize {
        self.held.saturating_add(self.bytes)
    }

    /// Returns whether the limits on large messages apply.
    fn is_large(&self) -> bool {
        self.purpose != MemoryUse::Response && self.size() > SMALL_MESSAGE_BYTES
    }
}

/// Identifier of a claim that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimId(u64);

/// Decision on a new claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The memory may be used.
    Granted,
    /// The claim waits; [`MemoryBudget::poll`] returns its end.
    Waiting(ClaimId),
    /// There is no room, and waiting would not help or too many claims wait.
    Refused,
}

/// End of the wait of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimEnd {
    /// The claim.
    pub id: ClaimId,
    /// Whether the memory may be used.
    pub granted: bool,
}

/// Claim that waits.
#[derive(Clone, Copy, Debug)]
struct WaitingClaim {
    id: ClaimId,
    claim: MemoryClaim,
    /// Moment at which the claim, or one that holds less, is refused.
    until: Moment,
    /// Moment at which the claim itself is refused.
    latest: Moment,
}

/// Memory that messages share.
#[derive(Debug)]
pub struct MemoryBudget {
    total: usize,
    /// Number of bytes in use.
    used: usize,
    /// Number of bytes in use for requests of callers.
    caller: usize,
    /// Number of bytes in use for requests of other daemons.
    peer: usize,
    /// Claims that wait, oldest first.
    waiting: VecDeque<WaitingClaim>,
    next_id: u64,
}

impl MemoryBudget {
    /// Creates a budget of `total` bytes.
    #[must_use]
    pub fn new(total: usize) -> Self {
        Self {
            total,
            used: 0,
            caller: 0,
            peer: 0,
            waiting: VecDeque::new(),
            next_id: 0,
        }
    }

    /// Returns the number of bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns whether a claim waits.
    #[must_use]
    pub fn is_short(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the size in bytes of the largest message for which there ever is room.
    #[must_use]
    pub fn largest_message(&self, purpose: MemoryUse) -> usize {
        match purpose {
            MemoryUse::Caller | MemoryUse::Peer => self.total - 2 * self.reserve(),
            MemoryUse::Response => self.total,
        }
    }

    /// Decides on a new claim.
    ///
    /// A claim of a large message does not pass those of the same use that wait; others do.
    pub fn claim(&mut self, claim: MemoryClaim, now: Moment) -> ClaimDecision {
        if claim.size() > self.largest_message(claim.purpose) {
            return ClaimDecision::Refused;
        }
        let same_queue = |w: &WaitingClaim| w.claim.is_large() && w.claim.purpose == claim.purpose;
        let passes = !claim.is_large() || !self.waiting.iter().any(same_queue);
        if passes && self.has_room(&claim) {
            self.take(&claim);
            return ClaimDecision::Granted;
        }
        if self.waiting.len() >= MAX_WAITING {
            return ClaimDecision::Refused;
        }
        let id = ClaimId(self.next_id);
        self.next_id += 1;
        self.waiting.push_back(WaitingClaim {
            id,
            claim,
            until: now + WAIT,
            latest: now + MAX_WAIT,
        });
        ClaimDecision::Waiting(id)
    }

    /// Gives back memory.
    pub fn release(&mut self, purpose: MemoryUse, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
        if let Some(used) = self.used_for(purpose) {
            *used = used.saturating_sub(bytes);
        }
    }

    /// Ends the wait of claims for which there is room, and of one that has waited too long.
    ///
    /// The claim of the message that already has most memory is granted first and refused last, as
    /// that message is the nearest to its end.
    pub fn poll(&mut self, now: Moment) -> SmallVec<[ClaimEnd; 4]> {
        let mut ends = SmallVec::new();
        while let Some(index) = self.next_granted() {
            if let Some(granted) = self.waiting.remove(index) {
                self.take(&granted.claim);
                ends.push(ClaimEnd {
                    id: granted.id,
                    granted: true,
                });
            }
        }
        let refused = self.next_refused(now);
        ends.extend(refused.map(|id| ClaimEnd { id, granted: false }));
        ends
    }

    /// Removes the claim that is refused now, and lets the others that have waited as long wait on.
    fn next_refused(&mut self, now: Moment) -> Option<ClaimId> {
        let waiting = self.waiting.iter().enumerate();
        let expired = waiting.filter(|(_, w)| w.until <= now);
        let (index, _) = expired.min_by_key(|(_, w)| (w.latest > now, w.claim.held))?;
        let refused = self.waiting.remove(index)?;
        for waiting in self.waiting.iter_mut().filter(|w| w.until <= now) {
            waiting.until = (now + WAIT).min(waiting.latest);
        }
        Some(refused.id)
    }

    /// Returns the moment at which the next claim is refused.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Moment> {
        self.waiting.iter().map(|w| w.until).min()
    }

    /// Returns the index of the claim that is granted next.
    fn next_granted(&self) -> Option<usize> {
        let waiting = self.waiting.iter().enumerate();
        let fitting = waiting.filter(|(_, w)| self.has_room(&w.claim));
        let first = fitting.max_by_key(|(index, w)| (w.claim.held, std::cmp::Reverse(*index)));
        first.map(|(index, _)| index)
    }

    /// Returns the number of bytes of one reserve.
    fn reserve(&self) -> usize {
        self.total / RESERVE_PARTS
    }

    /// Returns whether there is room for a claim.
    fn has_room(&self, claim: &MemoryClaim) -> bool {
        let used = self.used + claim.bytes;
        if !claim.is_large() {
            return used <= self.total;
        }
        let same_use = match claim.purpose {
            MemoryUse::Caller => self.caller,
            MemoryUse::Peer => self.peer,
            MemoryUse::Response => 0,
        };
        used <= self.total - self.reserve()
            && same_use + claim.bytes <= self.total - 2 * self.reserve()
    }

    /// Counts the memory of a claim as used.
    fn take(&mut self, claim: &MemoryClaim) {
        self.used += claim.bytes;
        if let Some(used) = self.used_for(claim.purpose) {
            *used += claim.bytes;
        }
    }

    /// Returns the count of the memory in use for requests of one origin.
    fn used_for(&mut self, purpose: MemoryUse) -> Option<&mut usize> {
        match purpose {
            MemoryUse::Caller => Some(&mut self.caller),
            MemoryUse::Peer => Some(&mut self.peer),
            MemoryUse::Response => None,
        }
    }
}
