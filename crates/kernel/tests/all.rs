//! Tests of registry, supervision, stop order and the timer service.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{
    Context, Error, Kernel, Name, OnFailure, ReplySender, ServiceOptions, ServiceResult,
    StopReason, SystemClock, Tick,
};
use tokio::sync::mpsc;

enum CounterMessage {
    Add(u64),
    Total(ReplySender<u64>),
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
                Some(CounterMessage::Crash) => panic!("crash on request"),
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

/// Guards against a mailbox that keeps pointing at the dead instance after a restart.
#[tokio::test(start_paused = true)]
async fn mailbox_reaches_the_restarted_service() {
    let kernel = counter_kernel(OnFailure::Restart);
    let counter = kernel.mailbox(COUNTER).unwrap();
    counter.send(CounterMessage::Add(2)).await.unwrap();
    assert_eq!(counter.ask(CounterMessage::Total).await, Ok(2));
    counter.send(CounterMessage::Crash).await.unwrap();
    assert!(counter.ask(CounterMessage::Total).await.is_err());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(counter.ask(CounterMessage::Total).await, Ok(0));
    kernel.stop(Duration::from_secs(1)).await;
}

/// Guards against a process that goes on without a service whose state must not be lost.
#[tokio::test(start_paused = true)]
async fn permanent_failure_is_reported() {
    let mut kernel = counter_kernel(OnFailure::StopProcess);
    let counter = kernel.mailbox(COUNTER).unwrap();
    counter.send(CounterMessage::Crash).await.unwrap();
    assert_eq!(kernel.wait().await, StopReason::ServiceFailed("counter"));
}

/// Guards against unbounded restarts of a service that always fails.
#[tokio::test(start_paused = true)]
async fn restarts_are_bounded() {
    let mut kernel = counter_kernel(OnFailure::Restart);
    let counter = kernel.mailbox(COUNTER).unwrap();
    let crash = tokio::spawn(async move {
        loop {
            let _ = counter.send(CounterMessage::Crash).await;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    });
    assert_eq!(kernel.wait().await, StopReason::ServiceFailed("counter"));
    crash.abort();
}

/// Guards against a lookup that returns a mailbox of another message type.
#[tokio::test]
async fn unknown_names_and_types_are_errors() {
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

const WATCHER: Name<Tick> = Name::new("watcher");

/// Guards against bursts of missed ticks, and against a pause that goes unnoticed.
#[tokio::test(start_paused = true)]
async fn ticks_report_lateness_and_do_not_burst() {
    let (seen, mut ticks) = mpsc::channel(16);
    let kernel = Kernel::builder(Arc::new(SystemClock::new()))
        .add_service(
            WATCHER,
            ServiceOptions::default(),
            move |mut context: Context<Tick>| {
                let seen = seen.clone();
                async move {
                    let period = Duration::from_millis(100);
                    context
                        .subscribe_to_ticks(WATCHER, period, |tick| tick)
                        .await?;
                    while let Some(tick) = context.inbox.recv().await {
                        seen.send(tick).await?;
                    }
                    Ok(())
                }
            },
        )
        .start();
    assert!(ticks.recv().await.unwrap().lateness < Duration::from_millis(50));
    tokio::time::advance(Duration::from_secs(3)).await;
    assert!(ticks.recv().await.unwrap().lateness > Duration::from_secs(2));
    assert!(ticks.recv().await.unwrap().lateness < Duration::from_millis(50));
    drop(kernel);
}

/// Guards against a restarted service that gets the ticks of its previous run as well.
#[tokio::test(start_paused = true)]
async fn second_subscription_replaces_the_first() {
    let (seen, mut ticks) = mpsc::channel(64);
    let kernel = Kernel::builder(Arc::new(SystemClock::new()))
        .add_service(
            WATCHER,
            ServiceOptions::default(),
            move |mut context: Context<Tick>| {
                let seen = seen.clone();
                async move {
                    let period = Duration::from_millis(100);
                    context
                        .subscribe_to_ticks(WATCHER, period, |tick| tick)
                        .await?;
                    context
                        .subscribe_to_ticks(WATCHER, period, |tick| tick)
                        .await?;
                    while let Some(tick) = context.inbox.recv().await {
                        seen.send(tick).await?;
                    }
                    Ok(())
                }
            },
        )
        .start();
    tokio::time::sleep(Duration::from_millis(1050)).await;
    let mut count = 0;
    while ticks.try_recv().is_ok() {
        count += 1;
    }
    assert_eq!(count, 10);
    drop(kernel);
}
