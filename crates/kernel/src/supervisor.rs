//! Supervision: runs one service, and restarts it or reports its failure.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Debug;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::{Clock, Inbox, Name, Registry, TIMER, Tick, TimerMessage};

/// Result of a service run.
///
/// The error is a boxed one because a service may fail for reasons of any library; the supervisor
/// only logs it.
pub type ServiceResult = std::result::Result<(), Box<dyn std::error::Error + Send + Sync>>;

type ServiceFuture = Pin<Box<dyn Future<Output = ServiceResult> + Send>>;

/// Creates one run of a service.
pub(crate) type Factory<M> = Box<dyn Fn(Context<M>) -> ServiceFuture + Send>;

/// What happens when a service panics or returns an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnFailure {
    /// The service starts again with an empty state and an empty mailbox.
    Restart,
    /// The process stops; for services whose lost state would break an invariant.
    StopProcess,
}

/// Settings of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceOptions {
    /// Messages that the mailbox holds before it is full.
    pub capacity: usize,
    /// What happens on failure.
    pub on_failure: OnFailure,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            capacity: 1024,
            on_failure: OnFailure::Restart,
        }
    }
}

/// Tells a service that it should stop.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: watch::Receiver<bool>,
}

impl StopSignal {
    pub(crate) fn new(receiver: watch::Receiver<bool>) -> Self {
        Self { receiver }
    }

    /// Waits until the service should stop.
    pub async fn requested(&mut self) {
        // An error means that the kernel is gone, which also asks to stop.
        let _ = self.receiver.wait_for(|stop| *stop).await;
    }

    /// Tells whether the service should stop.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        *self.receiver.borrow()
    }
}

/// What a service gets when it starts.
#[derive(Debug)]
pub struct Context<M> {
    /// Mailbox of the service.
    pub inbox: Inbox<M>,
    /// Mailboxes of all services.
    pub registry: Registry,
    /// Asks the service to stop.
    pub stop: StopSignal,
    /// Source of time.
    #[debug(skip)]
    pub clock: Arc<dyn Clock>,
}

impl<M: Send + 'static> Context<M> {
    /// Subscribes the service to ticks of the timer service.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error`] if `name` is not the name of a service or the timer does not run.
    pub async fn subscribe_to_ticks(
        &self,
        name: Name<M>,
        period: Duration,
        wrap: fn(Tick) -> M,
    ) -> crate::Result<()> {
        let timer = self.registry.mailbox(TIMER)?;
        let sink = self.registry.mailbox(name)?.tick_sink(wrap);
        let subscribe = TimerMessage::Subscribe {
            subscriber: name.as_str(),
            period,
            sink,
        };
        timer.send(subscribe).await
    }
}

/// Restarts allowed within [`RESTART_WINDOW`] before the failure counts as permanent.
const MAX_RESTARTS: usize = 5;

/// Period over which restarts are counted.
const RESTART_WINDOW: Duration = Duration::from_secs(60);

/// Pause before a restart, so that a service that fails at once does not occupy a core.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Everything needed to run one service again and again.
pub(crate) struct Supervisor<M> {
    pub(crate) name: &'static str,
    pub(crate) options: ServiceOptions,
    pub(crate) factory: Factory<M>,
    pub(crate) publish: watch::Sender<mpsc::Sender<M>>,
    pub(crate) first_inbox: mpsc::Receiver<M>,
}

/// How a supervised service ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The service returned without an error.
    Finished,
    /// The service failed and must not or cannot be restarted.
    Failed,
}

/// Type-erased supervisor, so that the kernel can keep services of different message types in one
/// list.
pub(crate) trait Supervise: Send {
    fn supervise(
        self: Box<Self>,
        registry: Registry,
        stop: StopSignal,
        clock: Arc<dyn Clock>,
    ) -> Pin<Box<dyn Future<Output = Ending> + Send>>;
}

impl<M: Send + 'static> Supervise for Supervisor<M> {
    fn supervise(
        self: Box<Self>,
        registry: Registry,
        stop: StopSignal,
        clock: Arc<dyn Clock>,
    ) -> Pin<Box<dyn Future<Output = Ending> + Send>> {
        Box::pin(run(*self, registry, stop, clock))
    }
}

async fn run<M: Send + 'static>(
    supervisor: Supervisor<M>,
    registry: Registry,
    stop: StopSignal,
    clock: Arc<dyn Clock>,
) -> Ending {
    let Supervisor {
        name,
        options,
        factory,
        publish,
        first_inbox,
    } = supervisor;
    let mut inbox = first_inbox;
    let mut restarts: Vec<Instant> = Vec::new();
    loop {
        let context = Context {
            inbox: Inbox::new(inbox),
            registry: registry.clone(),
            stop: stop.clone(),
            clock: Arc::clone(&clock),
        };
        match tokio::spawn(factory(context)).await {
            Ok(Ok(())) => return Ending::Finished,
            Ok(Err(e)) => log::error!(service = name; "service failed: {e}"),
            Err(e) => log::error!(service = name; "service panicked: {e}"),
        }
        let now = Instant::now();
        restarts.retain(|at| now.duration_since(*at) < RESTART_WINDOW);
        if options.on_failure == OnFailure::StopProcess || restarts.len() >= MAX_RESTARTS {
            return Ending::Failed;
        }
        restarts.push(now);
        tokio::time::sleep(RESTART_DELAY).await;
        let (sender, receiver) = mpsc::channel(options.capacity);
        publish.send_replace(sender);
        inbox = receiver;
        log::warn!(service = name; "service restarted with an empty state");
    }
}
