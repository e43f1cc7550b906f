//! Strategies that pick one endpoint among the candidates for an attempt.

use cornelvalve_model::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::Endpoint;

/// Endpoint that may be picked, with the values that pickers compare.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a Endpoint,
    /// Number of attempts that the balancer sent to the endpoint and that have not ended.
    pub outstanding: u32,
    /// Expected cost of one more request, expressed as a number of outstanding requests; lower is
    /// better.
    pub score: f64,
}

/// Strategy that picks one of several candidates.
pub trait Picker {
    /// Returns the index of the picked candidate, or `None` if there are no candidates.
    fn pick(&mut self, candidates: &[Candidate<'_>], now: Moment) -> Option<usize>;
}

/// Picks candidates in rotation; used only in experiments, for comparison with [`PowerOfTwo`].
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// Creates a picker that starts at the first candidate.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

impl Picker for RoundRobin {
    fn pick(&mut self, candidates: &[Candidate<'_>], _now: Moment) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let index = self.next % candidates.len();
        self.next = self.next.wrapping_add(1);
        Some(index)
    }
}

/// Picks a candidate with the fewest outstanding attempts; used only in tests and experiments, for
/// comparison with [`PowerOfTwo`].
#[derive(Clone, Debug, Default)]
pub struct LeastOutstanding {
    next: usize,
}

impl LeastOutstanding {
    /// Creates a picker that starts at the first candidate.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

impl Picker for LeastOutstanding {
    fn pick(&mut self, candidates: &[Candidate<'_>], _now: Moment) -> Option<usize> {
        // The search starts at a rotating index, so that ties do not always go to the same
        // candidate.
        let count = candidates.len();
        let start = self.next;
        self.next = self.next.wrapping_add(1);
        (0..count)
            .map(|i| (start % count + i) % count)
            .min_by_key(|i| candidates[*i].outstanding)
    }
}

/// Picks the candidate with the lower score out of two random ones.
#[derive(Clone, Debug)]
pub struct PowerOfTwo {
    rng: SmallRng,
}

impl PowerOfTwo {
    /// Creates a picker whose random number generator starts from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
        }
    }
}

impl Picker for PowerOfTwo {
    fn pick(&mut self, candidates: &[Candidate<'_>], _now: Moment) -> Option<usize> {
        let count = candidates.len();
        if count < 2 {
            return (count == 1).then_some(0);
        }
        let first = self.rng.random_range(0..count);
        let second = (first + self.rng.random_range(1..count)) % count;
        let better = if candidates[second].score < candidates[first].score {
            second
        } else {
            first
        };
        Some(better)
    }
}
