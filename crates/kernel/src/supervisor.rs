//! Supervision of a service: starts it, restarts it after a failure and reports how it ended.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Debug;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::{Clock, Inbox, Name, Registry, TIMER, Tick, TimerMessage};

/// Result that a service returns when it ends.
///
/// The error is boxed because it can come from any library and the supervisor only logs it.
pub type ServiceResult = std::result::Result<(), Box<dyn std::error::Error + Send + Sync>>;

type ServiceFuture = Pin<Box<dyn Future<Output = ServiceResult> + Send>>;

/// Function that creates the future of a new instance of a service.
pub(crate) type Factory<M> = Box<dyn Fn(Context<M>) -> ServiceFuture + Send>;

/// What the kernel does when a service panics or returns an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnFailure {
    /// Restarts the service with new state and an empty mailbox. After too many restarts in a short
    /// time, the failure is reported as with [`Self::StopProcess`].
    Restart,
    /// Does not restart the service. [`crate::Kernel::wait`] returns, and its caller is expected to
    /// stop the process. Used for services that cannot continue safely with new state, because an
    /// invariant depends on the state that was lost.
    StopProcess,
}

/// Options of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceOptions {
    /// Capacity of the mailbox: the maximum number of messages in it.
    pub capacity: usize,
    /// What to do when the service fails.
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

/// Signal that tells a service to stop.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: watch::Receiver<bool>,
}

impl StopSignal {
    pub(crate) fn new(receiver: watch::Receiver<bool>) -> Self {
        Self { receiver }
    }

    /// Waits until the service is told to stop.
    pub async fn requested(&mut self) {
        // An error means that the kernel was dropped, in which case the service must stop too.
        let _ = self.receiver.wait_for(|stop| *stop).await;
    }

    /// Returns whether the service was told to stop.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        *self.receiver.borrow()
    }
}

/// Environment that is passed to a service when it starts.
#[derive(Debug)]
pub struct Context<M> {
    /// Receiving half of the service's mailbox.
    pub inbox: Inbox<M>,
    /// Mailboxes of all services of the process.
    pub registry: Registry,
    /// Signal that tells the service to stop.
    pub stop: StopSignal,
    /// Clock to read the time from.
    #[debug(skip)]
    pub clock: Arc<dyn Clock>,
}

impl<M: Send + 'static> Context<M> {
    /// Subscribes the service to ticks of the timer service. `name` must be the name of this
    /// service, which the context does not store.
    ///
    /// Each tick is converted by `to_message` and added to the service's mailbox.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Unknown`] if no service has this name and message type, and
    /// [`crate::Error::Closed`] if the timer service is not running.
    pub async fn subscribe_to_ticks(
        &self,
        name: Name<M>,
        period: Duration,
        to_message: fn(Tick) -> M,
    ) -> crate::Result<()> {
        let timer = self.registry.mailbox(TIMER)?;
        let sink = self.registry.mailbox(name)?.tick_sink(to_message);
        let message = TimerMessage::Subscribe {
            subscriber: name.as_str(),
            period,
            sink,
        };
        timer.send(message).await
    }
}

/// Maximum number of restarts of a service within [`RESTART_WINDOW`]. A service that fails more
/// often is not expected to recover, and its failure is reported instead.
const MAX_RESTARTS: usize = 5;

/// Sliding window over which the restarts of a service are counted.
const RESTART_WINDOW: Duration = Duration::from_secs(60);

/// Delay before a restart, so that a service that fails immediately does not keep a core busy.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// State needed for the supervision of one service.
pub(crate) struct Supervisor<M> {
    pub(crate) name: &'static str,
    pub(crate) options: ServiceOptions,
    pub(crate) factory: Factory<M>,
    /// Sends the mailbox's new sender to all [`crate::Mailbox`] handles after a restart.
    pub(crate) sender_updates: watch::Sender<mpsc::Sender<M>>,
    /// Receiver of the mailbox for the first instance of the service.
    pub(crate) first_receiver: mpsc::Receiver<M>,
}

/// How a service ended, after any restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServiceExit {
    /// The service returned without an error.
    Ended,
    /// The service failed, and either must not be restarted or was restarted too often.
    Failed,
}

/// Supervisor with its message type erased, so that the kernel can hold services of different
/// message types in one list.
pub(crate) trait ErasedSupervisor: Send {
    /// Runs the service until it ends and is not restarted, and returns how it ended.
    fn supervise(
        self: Box<Self>,
        registry: Registry,
        stop: StopSignal,
        clock: Arc<dyn Clock>,
    ) -> Pin<Box<dyn Future<Output = ServiceExit> + Send>>;
}

impl<M: Send + 'static> ErasedSupervisor for Supervisor<M> {
    fn supervise(
        self: Box<Self>,
        registry: Registry,
        stop: StopSignal,
        clock: Arc<dyn Clock>,
    ) -> Pin<Box<dyn Future<Output = ServiceExit> + Send>> {
        Box::pin(run_with_restarts(*self, registry, stop, clock))
    }
}

async fn run_with_restarts<M: Send + 'static>(
    supervisor: Supervisor<M>,
    registry: Registry,
    stop: StopSignal,
    clock: Arc<dyn Clock>,
) -> ServiceExit {
    let Supervisor {
        name,
        options,
        factory,
        sender_updates,
        first_receiver,
    } = supervisor;
    let mut receiver = first_receiver;
    let mut restarts: Vec<Instant> = Vec::new();
    loop {
        let context = Context {
            inbox: Inbox::new(receiver),
            registry: registry.clone(),
            stop: stop.clone(),
            clock: Arc::clone(&clock),
        };
        match tokio::spawn(factory(context)).await {
            Ok(Ok(())) => return ServiceExit::Ended,
            Ok(Err(e)) => log::error!(service = name; "internal service failed: {e}"),
            Err(e) => log::error!(service = name; "internal service panicked: {e}"),
        }
        let now = Instant::now();
        restarts.retain(|at| now.duration_since(*at) < RESTART_WINDOW);
        if options.on_failure == OnFailure::StopProcess || restarts.len() >= MAX_RESTARTS {
            return ServiceExit::Failed;
        }
        restarts.push(now);
        tokio::time::sleep(RESTART_DELAY).await;
        let (sender, new_receiver) = mpsc::channel(options.capacity);
        sender_updates.send_replace(sender);
        receiver = new_receiver;
        log::warn!(
            service = name;
            "restarting internal service; its state and queued messages are lost"
        );
    }
}
