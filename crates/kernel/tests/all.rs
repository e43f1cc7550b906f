//! Tests of the registry, supervision and the timer service.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{
    Context, Error, Kernel, Name, OnFailure, ReplySender, ServiceOptions, ServiceResult,
    StopReason, SystemClock, Tick,
};
use tokio::sync::mpsc;

/// Messages to a service that keeps a running total.
enum CounterMessage {
    /// Adds to the total.
    Add(u64),
    /// Asks for the total.
    Total(ReplySender<u64>),
    /// Makes the service panic.
    Crash,
}

const COUNTER: Name<CounterMessage> = Name::new("counter");

async fn run_counter(mut context: Context<CounterMessage>) -> ServiceResult {
    let mut total = 0;
    loop {
        tokio::select! {
            () = context.stop.requested() => return Ok(()),
            message = context.inbox.recv() => match message {
                Some(CounterMessage::Add(n)) => total += n,
                Some(CounterMessage::Total(reply)) => reply.send(total),
                Some(CounterMessage::Crash) => panic!("test requested a crash"),
                None => return Ok(()),
            },
        }
    }
}

fn counter_kernel(on_failure: OnFailure) -> Kernel {
    let options = ServiceOptions {
        capacity: 4,
        on_failure,
    };
    Kernel::builder(Arc::new(SystemClock::new()))
        .add_service(COUNTER, options, run_counter)
        .start()
}

/// Guards against mailboxes that still send to the failed instance after a restart.
#[tokio::test(start_paused = true)]
async fn mailbox_reaches_restarted_service() {
    let kernel = counter_kernel(OnFailure::Restart);
    let counter = kernel.mailbox(COUNTER).unwrap();
    counter.send(CounterMessage::Add(2)).await.unwrap();
    assert_eq!(counter.ask(CounterMessage::Total).await, Ok(2));
    counter.send(CounterMessage::Crash).await.unwrap();
    // The request is queued behind the crash and lost with the failed instance.
    assert!(counter.ask(CounterMessage::Total).await.is_err());
    // Longer than the restart delay of 100 ms.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(counter.ask(CounterMessage::Total).await, Ok(0));
    kernel.stop(Duration::from_secs(1)).await;
}

/// Guards against a process that keeps running after a service with [`OnFailure::StopProcess`] has
/// failed.
#[tokio::test(start_paused = true)]
async fn failure_without_restart_is_reported() {
    let mut kernel = counter_kernel(OnFailure::StopProcess);
    let counter = kernel.mailbox(COUNTER).unwrap();
    counter.send(CounterMessage::Crash).await.unwrap();
    assert_eq!(kernel.wait().await, StopReason::ServiceFailed("counter"));
}

/// Guards against endless restarts of a service that always fails.
#[tokio::test(start_paused = true)]
async fn restarts_are_limited() {
    let mut kernel = counter_kernel(OnFailure::Restart);
    let counter = kernel.mailbox(COUNTER).unwrap();
    let crash = tokio::spawn(async move {
        loop {
            let _ = counter.send(CounterMessage::Crash).await;
            // Longer than the restart delay of 100 ms, so that each crash reaches a new instance.
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    });
    assert_eq!(kernel.wait().await, StopReason::ServiceFailed("counter"));
    crash.abort();
}

/// Guards against a lookup that panics or returns a mailbox of another message type.
#[tokio::test]
async fn lookup_of_unknown_name_or_type_fails() {
    let kernel = counter_kernel(OnFailure::Restart);
    let wrong_type: Name<u32> = Name::new("counter");
    assert_eq!(
        kernel.mailbox(wrong_type).unwrap_err(),
        Error::Unknown("counter")
    );
    let absent: Name<u32> = Name::new("absent");
    assert_eq!(
        kernel.mailbox(absent).unwrap_err(),
        Error::Unknown("absent")
    );
}

const SUBSCRIBER: Name<Tick> = Name::new("subscriber");

/// Starts a kernel with a service that subscribes to ticks this many times and sends on those that
/// it receives.
fn subscriber_kernel(subscriptions: usize) -> (Kernel, mpsc::Receiver<Tick>) {
    let (tick_sender, ticks) = mpsc::channel(64);
    let kernel = Kernel::builder(Arc::new(SystemClock::new()))
        .add_service(
            SUBSCRIBER,
            ServiceOptions::default(),
            move |mut context: Context<Tick>| {
                let tick_sender = tick_sender.clone();
                async move {
                    let period = Duration::from_millis(100);
                    for _ in 0..subscriptions {
                        context
                            .subscribe_to_ticks(SUBSCRIBER, period, |tick| tick)
                            .await?;
                    }
                    while let Some(tick) = context.inbox.recv().await {
                        tick_sender.send(tick).await?;
                    }
                    Ok(())
                }
            },
        )
        .start();
    (kernel, ticks)
}

/// Guards against a burst of missed ticks after a pause, and against a first tick after a pause
/// that does not report it.
#[tokio::test(start_paused = true)]
async fn tick_after_pause_reports_lateness_without_burst() {
    let (kernel, mut ticks) = subscriber_kernel(1);
    assert!(ticks.recv().await.unwrap().lateness < Duration::from_millis(50));
    tokio::time::advance(Duration::from_secs(3)).await;
    assert!(ticks.recv().await.unwrap().lateness > Duration::from_secs(2));
    assert!(ticks.recv().await.unwrap().lateness < Duration::from_millis(50));
    drop(kernel);
}

/// Guards against a restarted service that also gets the ticks of its earlier subscription.
#[tokio::test(start_paused = true)]
async fn second_subscription_replaces_the_first() {
    let (kernel, mut ticks) = subscriber_kernel(2);
    // Ten and a half periods. With both subscriptions, 20 ticks would arrive.
    tokio::time::sleep(Duration::from_millis(1050)).await;
    let mut count = 0;
    while ticks.try_recv().is_ok() {
        count += 1;
    }
    assert_eq!(count, 10);
    drop(kernel);
}
