//! Assembly, start and stop of the services of a process.

use std::any::Any;
use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Debug, Display};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::supervisor::{Context, Ending, ServiceOptions, ServiceResult, Supervise, Supervisor};
use crate::timer::{TIMER, run_timer};
use crate::{Clock, Mailbox, Name, Registry, Result, StopSignal};

/// Collects services before they start.
#[derive(Debug)]
pub struct KernelBuilder {
    #[debug(skip)]
    clock: Arc<dyn Clock>,
    #[debug(skip)]
    entries: HashMap<&'static str, Box<dyn Any + Send + Sync>>,
    #[debug(skip)]
    services: Vec<(&'static str, Box<dyn Supervise>)>,
}

impl KernelBuilder {
    /// Adds a service; services start in the order in which they were added and stop in reverse
    /// order.
    ///
    /// `run` is called once for each start of the service.
    ///
    /// # Panics
    ///
    /// Panics if a service of the same name was added before, which is a mistake in the program.
    #[must_use]
    pub fn add_service<M, F, R>(mut self, name: Name<M>, options: ServiceOptions, run: F) -> Self
    where
        M: Send + 'static,
        F: Fn(Context<M>) -> R + Send + 'static,
        R: Future<Output = ServiceResult> + Send + 'static,
    {
        let (sender, first_inbox) = mpsc::channel(options.capacity);
        let (publish, current) = watch::channel(sender);
        let mailbox = Mailbox::new(name.as_str(), current);
        let previous = self.entries.insert(name.as_str(), Box::new(mailbox));
        assert!(
            previous.is_none(),
            "service {} was added twice",
            name.as_str()
        );
        let supervisor = Supervisor {
            name: name.as_str(),
            options,
            factory: Box::new(move |context| Box::pin(run(context))),
            publish,
            first_inbox,
        };
        self.services.push((name.as_str(), Box::new(supervisor)));
        self
    }

    /// Starts all services.
    #[must_use]
    pub fn start(self) -> Kernel {
        let registry = Registry::new(self.entries);
        let (ended, endings) = mpsc::channel(self.services.len().max(1));
        let services = self
            .services
            .into_iter()
            .map(|(name, service)| {
                let (stop, stop_receiver) = watch::channel(false);
                let run = service.supervise(
                    registry.clone(),
                    StopSignal::new(stop_receiver),
                    Arc::clone(&self.clock),
                );
                let ended = ended.clone();
                let task = tokio::spawn(async move {
                    let ending = run.await;
                    // The kernel may have stopped listening during shutdown.
                    let _ = ended.try_send((name, ending));
                });
                Running { name, stop, task }
            })
            .collect();
        Kernel {
            registry,
            services,
            endings,
        }
    }
}

struct Running {
    name: &'static str,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

/// Why the kernel left [`Kernel::wait`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopReason {
    /// A service failed for good.
    #[display("service {_0} failed")]
    ServiceFailed(&'static str),
    /// All services ended by themselves.
    #[display("all services ended")]
    AllEnded,
}

/// Running services of a process.
#[derive(Debug)]
pub struct Kernel {
    registry: Registry,
    #[debug(skip)]
    services: Vec<Running>,
    endings: mpsc::Receiver<(&'static str, Ending)>,
}

impl Kernel {
    /// Creates a builder whose first service is the timer service.
    #[must_use]
    pub fn builder(clock: Arc<dyn Clock>) -> KernelBuilder {
        KernelBuilder {
            clock,
            entries: HashMap::new(),
            services: Vec::new(),
        }
        .add_service(TIMER, ServiceOptions::default(), run_timer)
    }

    /// Returns the registry of mailboxes.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Looks up the mailbox of a service.
    ///
    /// # Errors
    ///
    /// Returns [`crate::Error::Unknown`] if no such service was added.
    pub fn mailbox<M: Send + 'static>(&self, name: Name<M>) -> Result<Mailbox<M>> {
        self.registry.mailbox(name)
    }

    /// Waits until a service fails for good or all have ended.
    pub async fn wait(&mut self) -> StopReason {
        while let Some((name, ending)) = self.endings.recv().await {
            if ending == Ending::Failed {
                return StopReason::ServiceFailed(name);
            }
        }
        StopReason::AllEnded
    }

    /// Stops the services in reverse order of their start.
    ///
    /// Each service gets at most `grace` to end by itself and is aborted afterwards, which is
    /// logged.
    pub async fn stop(self, grace: Duration) {
        for mut service in self.services.into_iter().rev() {
            service.stop.send_replace(true);
            if tokio::time::timeout(grace, &mut service.task)
                .await
                .is_err()
            {
                log::warn!(service = service.name; "service did not stop in time and was aborted");
                service.task.abort();
            }
        }
    }
}
