//! Timer service, which sends periodic ticks to the services that subscribe to them.

use std::time::Duration;

use cornelvalve_model::Moment;
use derive_more::Debug;
use tokio::time::Instant;

use crate::supervisor::{Context, ServiceResult};
use crate::{Clock, Name};

/// Name of the timer service.
pub const TIMER: Name<TimerMessage> = Name::new("timer");

/// Notification to a subscriber that its period has elapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tick {
    /// Time of delivery.
    pub now: Moment,
    /// Delay of the delivery past the due time or, if it is longer, the pause of the VM that was
    /// detected since the last delivery of ticks to any subscriber. A large value means that the
    /// process or its VM was paused.
    pub lateness: Duration,
}

/// Receiver of ticks.
pub trait TickSink: Send {
    /// Processes a tick. Must not block, because this would delay the ticks of other subscribers.
    fn deliver(&mut self, tick: Tick);
}

/// Messages to the timer service.
#[derive(Debug)]
pub enum TimerMessage {
    /// Subscribes a service to periodic ticks and ends its previous subscription.
    Subscribe {
        /// Name of the subscribing service. A restarted service subscribes again, and the name
        /// ensures that it does not get the ticks of its earlier subscription as well.
        subscriber: &'static str,
        /// Time from the delivery of a tick until the next one is due.
        period: Duration,
        /// Receiver of the ticks.
        #[debug(skip)]
        sink: Box<dyn TickSink>,
    },
}

/// Subscription of a service, with the time at which its next tick is due.
struct Subscription {
    subscriber: &'static str,
    period: Duration,
    due: Instant,
    sink: Box<dyn TickSink>,
}

/// Detects pauses of the VM by comparing the wall clock with the monotonic clock.
///
/// The monotonic clock can stop while a VM is paused, whereas the wall clock keeps running or is
/// corrected afterwards, so that it advances further. The difference is taken as the length of the
/// pause, although a forward adjustment of the wall clock has the same effect.
struct PauseDetector {
    // Times of both clocks at the last call.
    monotonic: Moment,
    wall_ms: u64,
}

impl PauseDetector {
    fn new(clock: &dyn Clock) -> Self {
        Self {
            monotonic: clock.now(),
            wall_ms: clock.wall_time().0,
        }
    }

    /// Returns how much further the wall clock has advanced than the monotonic clock since the last
    /// call, or zero if it has not.
    fn pause_since_last_call(&mut self, clock: &dyn Clock) -> Duration {
        let current = Self::new(clock);
        let wall = Duration::from_millis(current.wall_ms.saturating_sub(self.wall_ms));
        let monotonic = current.monotonic.since(self.monotonic);
        *self = current;
        wall.saturating_sub(monotonic)
    }
}

/// Runs the timer service until it is told to stop.
pub(crate) async fn run_timer(mut context: Context<TimerMessage>) -> ServiceResult {
    let mut subscriptions: Vec<Subscription> = Vec::new();
    let mut pause_detector = PauseDetector::new(&*context.clock);
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
                let pause = pause_detector.pause_since_last_call(&*context.clock);
                deliver_due(&mut subscriptions, &*context.clock, pause);
            }
        }
    }
}

/// Waits until `due`, or forever if there is no due time.
async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}

/// Delivers a tick to each subscriber whose due time has passed and schedules its next tick.
fn deliver_due(subscriptions: &mut [Subscription], clock: &dyn Clock, pause: Duration) {
    // Due times are on Tokio's clock, as the timer sleeps on it. Ticks carry the time of `clock`,
    // because their receivers use that clock.
    let tokio_now = Instant::now();
    for subscription in subscriptions.iter_mut().filter(|s| s.due <= tokio_now) {
        let lateness = tokio_now.duration_since(subscription.due).max(pause);
        subscription.sink.deliver(Tick {
            now: clock.now(),
            lateness,
        });
        // Skips missed ticks, so that they are not delivered in a burst.
        subscription.due = tokio_now + subscription.period;
    }
}
