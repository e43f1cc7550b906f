//! Builds, starts and stops the services of a process.

use std::any::Any;
use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Debug, Display};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::supervisor::{
    Context, ErasedSupervisor, ServiceExit, ServiceOptions, ServiceResult, Supervisor,
};
use crate::timer::{TIMER, run_timer};
use crate::{Clock, Mailbox, Name, Registry, Result, StopSignal};

/// Builder that collects the services of a [`Kernel`] before any of them starts.
#[derive(Debug)]
pub struct KernelBuilder {
    #[debug(skip)]
    clock: Arc<dyn Clock>,
    #[debug(skip)]
    mailboxes: HashMap<&'static str, Box<dyn Any + Send + Sync>>,
    #[debug(skip)]
    services: Vec<(&'static str, Box<dyn ErasedSupervisor>)>,
}

impl KernelBuilder {
    /// Adds a service. Services start in the order in which they were added and stop in reverse
    /// order.
    ///
    /// `run` is called at each start of the service, including restarts after a failure.
    ///
    /// # Panics
    ///
    /// Panics if a service of the same name was added before.
    #[must_use]
    pub fn add_service<M, F, R>(mut self, name: Name<M>, options: ServiceOptions, run: F) -> Self
    where
        M: Send + 'static,
        F: Fn(Context<M>) -> R + Send + 'static,
        R: Future<Output = ServiceResult> + Send + 'static,
    {
        let (sender, first_receiver) = mpsc::channel(options.capacity);
        let (sender_updates, current_sender) = watch::channel(sender);
        let mailbox = Mailbox::new(name.as_str(), current_sender);
        let previous = self.mailboxes.insert(name.as_str(), Box::new(mailbox));
        assert!(
            previous.is_none(),
            "internal service {} was already added; use a unique name",
            name.as_str()
        );
        let supervisor = Supervisor {
            name: name.as_str(),
            options,
            factory: Box::new(move |context| Box::pin(run(context))),
            sender_updates,
            first_receiver,
        };
        self.services.push((name.as_str(), Box::new(supervisor)));
        self
    }

    /// Starts all services and returns the kernel that runs them.
    #[must_use]
    pub fn start(self) -> Kernel {
        let registry = Registry::new(self.mailboxes);
        // The capacity of the channel must not be zero.
        let (exit_sender, exits) = mpsc::channel(self.services.len().max(1));
        let services = self
            .services
            .into_iter()
            .map(|(name, service)| {
                let (stop_sender, stop_receiver) = watch::channel(false);
                let supervision = service.supervise(
                    registry.clone(),
                    StopSignal::new(stop_receiver),
                    Arc::clone(&self.clock),
                );
                let exit_sender = exit_sender.clone();
                let task = tokio::spawn(async move {
                    let exit = supervision.await;
                    // The channel has room for the exits of all services, so sending fails only if
                    // the kernel was dropped.
                    let _ = exit_sender.try_send((name, exit));
                });
                RunningService {
                    name,
                    stop_sender,
                    task,
                }
            })
            .collect();
        Kernel {
            registry,
            services,
            exits,
        }
    }
}

/// Service that was started.
struct RunningService {
    name: &'static str,
    stop_sender: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// Reason why [`Kernel::wait`] returned.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopReason {
    /// A service failed and was not restarted.
    #[display("service {_0} failed")]
    ServiceFailed(&'static str),
    /// All services ended without an error.
    #[display("all services ended")]
    AllEnded,
}

/// Running services of a process.
#[derive(Debug)]
pub struct Kernel {
    registry: Registry,
    #[debug(skip)]
    services: Vec<RunningService>,
    exits: mpsc::Receiver<(&'static str, ServiceExit)>,
}

impl Kernel {
    /// Creates a builder that already contains the timer service.
    #[must_use]
    pub fn builder(clock: Arc<dyn Clock>) -> KernelBuilder {
        KernelBuilder {
            clock,
            mailboxes: HashMap::new(),
            services: Vec::new(),
        }
        .add_service(TIMER, ServiceOptions::default(), run_timer)
    }

    /// Returns the registry of the services' mailboxes.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the mailbox of a service.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Unknown`] if no service with this name and message type was added.
    pub fn mailbox<M: Send + 'static>(&self, name: Name<M>) -> Result<Mailbox<M>> {
        self.registry.mailbox(name)
    }

    /// Waits until a service fails and is not restarted, or all services have ended, and returns
    /// which of the two happened.
    pub async fn wait(&mut self) -> StopReason {
        while let Some((name, exit)) = self.exits.recv().await {
            if exit == ServiceExit::Failed {
                return StopReason::ServiceFailed(name);
            }
        }
        StopReason::AllEnded
    }

    /// Stops the services in reverse order of their start.
    ///
    /// Each service has up to `grace` to return after it is told to stop. If it takes longer, a
    /// warning is logged and the next service is stopped.
    pub async fn stop(self, grace: Duration) {
        for mut service in self.services.into_iter().rev() {
            service.stop_sender.send_replace(true);
            if tokio::time::timeout(grace, &mut service.task)
                .await
                .is_err()
            {
                log::warn!(
                    service = service.name;
                    "internal service did not stop within {grace:?}; continuing the shutdown without it"
                );
                // Aborts the supervision, so that the service is not restarted. The service's own
                // task is detached and runs until it returns or the runtime shuts down.
                service.task.abort();
            }
        }
    }
}
