//! Schedules requests at a fixed rate.
//!
//! The pacer runs on a separate thread, because the timers of the runtime have a resolution of only
//! 1 ms.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::mpsc;

use crate::{Experiment, RequestKind};

/// Request that a caller has to send now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledRequest {
    /// Scheduled time, from which the latency is measured.
    pub(crate) due: Instant,
    /// Sequence number within the variant, and the request id if runs are tracked.
    pub(crate) number: u64,
    /// Index of the request kind in the mix.
    pub(crate) kind: usize,
    /// Service time that the upstream is asked to take.
    pub(crate) work: Duration,
    /// Whether the request is counted, because it is due after the warm-up.
    pub(crate) measured: bool,
}

/// Channels to the callers of one variant.
pub(crate) type CallerSenders = Vec<mpsc::UnboundedSender<ScheduledRequest>>;

/// Sends each scheduled request to a caller when it is due. Blocks the thread until the last
/// one is sent.
///
/// The callers of a variant take turns. `callers` holds their channels by variant.
pub(crate) fn send_arrivals(experiment: &Experiment, callers: &[CallerSenders], start: Instant) {
    let mut rng = SmallRng::seed_from_u64(experiment.seed);
    let mut next_numbers = vec![0_u64; callers.len()];
    let (mut kind, mut work) = draw_request(&experiment.mix, &mut rng);
    for step in 0.. {
        let Some((offset, variant)) = schedule(experiment, callers.len(), step) else {
            return;
        };
        // Variants that run side by side get the same sequence of requests: each request is drawn
        // for the first variant and reused for the others.
        if experiment.slice_ms > 0 || variant == 0 {
            (kind, work) = draw_request(&experiment.mix, &mut rng);
        }
        let due = start + offset;
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            std::thread::sleep(wait);
        }
        let number = next_numbers[variant];
        next_numbers[variant] += 1;
        let senders = &callers[variant];
        let caller = usize::try_from(number).unwrap_or(0) % senders.len();
        let scheduled = ScheduledRequest {
            due,
            number,
            kind,
            work,
            measured: offset >= Duration::from_millis(experiment.warmup_ms),
        };
        if senders[caller].send(scheduled).is_err() {
            // The caller has ended, because the run was stopped.
            return;
        }
    }
}

/// Returns the time since the start and the variant of the request with the index `step`, or `None`
/// after the last one.
fn schedule(experiment: &Experiment, variants: usize, step: u64) -> Option<(Duration, usize)> {
    // Side by side, each variant gets the rate of the experiment at the same time. In slices, a
    // single variant gets it at a time.
    let rate = if experiment.slice_ms > 0 {
        experiment.rate
    } else {
        experiment.rate * variants as f64
    };
    let offset = Duration::from_secs_f64(step as f64 / rate);
    if offset >= experiment.total_duration() {
        return None;
    }
    let millis = u64::try_from(offset.as_millis()).unwrap_or(u64::MAX);
    // Without slices the variants alternate by request.
    let turn = millis.checked_div(experiment.slice_ms).unwrap_or(step);
    let variant = usize::try_from(turn).unwrap_or(0) % variants;
    Some((offset, variant))
}

/// Draws a request kind by weight, and a service time for it.
///
/// Returns the index of the kind and the service time.
fn draw_request(mix: &[RequestKind], rng: &mut SmallRng) -> (usize, Duration) {
    let total: f64 = mix.iter().map(|k| k.weight).sum();
    let mut remaining = rng.random::<f64>() * total;
    let drawn = mix.iter().position(|k| {
        remaining -= k.weight;
        remaining < 0.0
    });
    let index = drawn.unwrap_or(mix.len() - 1);
    let kind = &mix[index];
    let mean = Duration::from_millis(kind.work_ms);
    // An exponential distribution with mean 1, by inverse transform sampling.
    let factor = if kind.spread {
        -(1.0 - rng.random::<f64>()).ln()
    } else {
        1.0
    };
    (index, mean.mul_f64(factor))
}
