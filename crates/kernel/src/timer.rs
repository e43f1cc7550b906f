//! Timer service: parts of the program subscribe to periodic ticks.

use std::time::Duration;

use cornelvalve_model::Moment;
use derive_more::Debug;
use tokio::time::Instant;

use crate::supervisor::{Context, ServiceResult};
use crate::{Clock, Name};

/// Name of the timer service.
pub const TIMER: Name<TimerMessage> = Name::new("timer");

/// One tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick {
    /// Moment of delivery.
    pub now: Moment,
    /// Delay behind the due time. A large value means that the process or its VM was paused.
    pub lateness: Duration,
}

/// Receives ticks; must not block.
pub trait TickSink: Send {
    /// Takes one tick.
    fn deliver(&mut self, tick: Tick);
}

/// Messages to the timer service.
#[derive(Debug)]
pub enum TimerMessage {
    /// Starts ticks at a fixed period, in place of those that the subscriber had before.
    Subscribe {
        /// Name of the subscribing service. A service that was restarted subscribes again, and must
        /// not get the ticks of its previous run as well.
        subscriber: &'static str,
        /// Time between two ticks.
        period: Duration,
        /// Receives the ticks.
        #[debug(skip)]
        sink: Box<dyn TickSink>,
    },
}

struct Subscription {
    subscriber: &'static str,
    period: Duration,
    due: Instant,
    sink: Box<dyn TickSink>,
}

/// Compares the wall clock with the monotonic clock between two wake-ups.
///
/// The monotonic clock can stand still while a VM is paused, the wall clock does not; their
/// difference is the pause.
struct PauseGauge {
    monotonic: Moment,
    wall_ms: u64,
}

impl PauseGauge {
    fn new(clock: &dyn Clock) -> Self {
        Self {
            monotonic: clock.now(),
            wall_ms: clock.wall_time().0,
        }
    }

    /// Returns by how much the wall clock advanced beyond the monotonic clock since the last call.
    fn advance(&mut self, clock: &dyn Clock) -> Duration {
        let current = Self::new(clock);
        let wall = Duration::from_millis(current.wall_ms.saturating_sub(self.wall_ms));
        let monotonic = current.monotonic.since(self.monotonic);
        *self = current;
        wall.saturating_sub(monotonic)
    }
}

pub(crate) async fn run_timer(mut context: Context<TimerMessage>) -> ServiceResult {
    let mut subscriptions: Vec<Subscription> = Vec::new();
    let mut gauge = PauseGauge::new(&*context.clock);
    loop {
        let next_due = subscriptions.iter().map(|s| s.due).min();
        tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => match message {
                Some(TimerMessage::Subscribe { subscriber, period, sink }) => {
                    subscriptions.retain(|s| s.subscriber != subscriber);
                    subscriptions.push(Subscription {
                        subscriber,
                        period,
                        due: Instant::now() + period,
                        sink,
                    });
                }
                None => return Ok(()),
            },
            () = sleep_until(next_due) => {
                let skew = gauge.advance(&*context.clock);
                deliver_due(&mut subscriptions, &*context.clock, skew);
            }
        }
    }
}

async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}

fn deliver_due(subscriptions: &mut [Subscription], clock: &dyn Clock, skew: Duration) {
    let instant = Instant::now();
    for subscription in subscriptions.iter_mut().filter(|s| s.due <= instant) {
        let lateness = instant.duration_since(subscription.due).max(skew);
        subscription.sink.deliver(Tick {
            now: clock.now(),
            lateness,
        });
        // Missed periods are skipped rather than delivered in a burst.
        subscription.due = instant + subscription.period;
    }
}
