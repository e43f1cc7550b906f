//! Arrivals at a fixed rate from a thread of its own, because the runtime's timers have a
//! resolution of 1 ms only.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::mpsc;

use crate::{Experiment, RequestKind};

/// Request that is due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Intended moment; latency counts from it.
    pub(crate) due: Instant,
    /// Number within the variant.
    pub(crate) number: u64,
    /// Index of the kind.
    pub(crate) kind: usize,
    /// Service time asked of the upstream.
    pub(crate) work: Duration,
    /// Whether the request counts.
    pub(crate) measured: bool,
}

/// Senders to the callers of one variant.
pub(crate) type CallerInboxes = Vec<mpsc::UnboundedSender<Arrival>>;

/// Sends all arrivals of a run at their moments and returns; blocks its thread.
pub(crate) fn pace(experiment: &Experiment, callers: &[CallerInboxes], start: Instant) {
    let mut rng = SmallRng::seed_from_u64(experiment.seed);
    let mut numbers = vec![0_u64; callers.len()];
    let mut drawn = draw(&experiment.mix, &mut rng);
    for step in 0.. {
        let Some((offset, variant)) = place(experiment, callers.len(), step) else {
            return;
        };
        // Variants side by side get the same sequence of requests.
        if experiment.slice_ms > 0 || variant == 0 {
            drawn = draw(&experiment.mix, &mut rng);
        }
        let due = start + offset;
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            std::thread::sleep(wait);
        }
        let number = numbers[variant];
        numbers[variant] += 1;
        let inboxes = &callers[variant];
        let caller = usize::try_from(number).unwrap_or(0) % inboxes.len();
        let arrival = Arrival {
            due,
            number,
            kind: drawn.0,
            work: drawn.1,
            measured: offset >= Duration::from_millis(experiment.warmup_ms),
        };
        if inboxes[caller].send(arrival).is_err() {
            // The run was stopped.
            return;
        }
    }
}

/// Returns the moment and the variant of an arrival, or `None` after the last.
fn place(experiment: &Experiment, variants: usize, step: u64) -> Option<(Duration, usize)> {
    let rate = if experiment.slice_ms > 0 {
        experiment.rate
    } else {
        experiment.rate * variants as f64
    };
    let offset = Duration::from_secs_f64(step as f64 / rate);
    if offset >= experiment.total() {
        return None;
    }
    let millis = u64::try_from(offset.as_millis()).unwrap_or(u64::MAX);
    let turn = millis.checked_div(experiment.slice_ms).unwrap_or(step);
    let variant = usize::try_from(turn).unwrap_or(0) % variants;
    Some((offset, variant))
}

fn draw(mix: &[RequestKind], rng: &mut SmallRng) -> (usize, Duration) {
    let total: f64 = mix.iter().map(|k| k.weight).sum();
    let mut left = rng.random::<f64>() * total;
    let drawn = mix.iter().position(|k| {
        left -= k.weight;
        left < 0.0
    });
    let index = drawn.unwrap_or(mix.len() - 1);
    let kind = &mix[index];
    let mean = Duration::from_millis(kind.work_ms);
    let factor = if kind.spread {
        -(1.0 - rng.random::<f64>()).ln()
    } else {
        1.0
    };
    (index, mean.mul_f64(factor))
}
