//! Assembles a daemon: binds its listeners, starts its services, and stops them after the running
//! requests have ended.

mod sockets;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_api::Event;
use cornelvalve_kernel::{
    Clock, Kernel, KernelBuilder, Mailbox, OnFailure, ServiceOptions, StopReason, SystemClock,
};
use cornelvalve_logstore::{HttpLogStore, LogStore};
use cornelvalve_model::{Incarnation, Member, MemberKey, MemberState};
use cornelvalve_policy::{AdmissionSettings, Locality, TicketSettings};
use derive_more::{Debug, Display, Error};
use smallvec::SmallVec;
use tokio::sync::mpsc;

use crate::config::Config;
use crate::guard::{GuardMessage, GuardSettings};
use crate::listener::ListenerLimits;
use crate::membership::MembershipMessage;
use crate::metrics::{Metrics, MetricsError};
use crate::names::{
    ANNOUNCER, BUDGET, CATALOG, ENTRY, GUARD, MEMBERSHIP, OPERATORS, PEERS, POOL, PUBLISHER,
    ROUTER, SCRAPE,
};
use crate::operators::Identity;
use crate::router::BalancingOptions;
use crate::timeline::{self, TIMELINE, run_timeline};
use crate::{announcer, budget, catalog, entry, guard, membership, operators, peers, pool};
use crate::{publisher, router, scrape};
use sockets::Sockets;

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, StartError>;

/// Time between the announcement that the daemon leaves and its first refusal of a new request.
///
/// In this time gossip distributes the announcement and other daemons stop choosing this one, so
/// that a planned stop causes no retries.
const SHUTDOWN_DELAY: Duration = Duration::from_secs(1);

/// Time that each service gets to stop, unless the drain timeout is longer.
///
/// The listeners wait up to the drain timeout for open connections to end.
const SERVICE_STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Capacity in messages of the mailboxes of services that handle requests.
const REQUEST_MAILBOX_CAPACITY: usize = 4096;

/// Reports that a daemon could not be started.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address could not be bound.
    #[display(
        "{listener} address {addr} cannot be bound: {source}; \
         stop the process that uses it, or set another address"
    )]
    Bind {
        /// Name of the listener.
        listener: &'static str,
        /// Address that the listener was to be bound to.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The metrics could not be set up.
    #[display("{_0}")]
    Metrics(MetricsError),
}

/// Addresses on which a daemon listens; where the configured port is 0, with the port that the
/// operating system chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddrs {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for announcements of local upstreams.
    pub upstream: SocketAddr,
    /// Address for calls of operators.
    pub operators: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
}

/// Components of a daemon that an embedding program can replace.
#[derive(Clone, Debug)]
pub struct Components {
    /// Log store; by default the HTTP service at the configured address.
    #[debug(skip)]
    pub store: Arc<dyn LogStore>,
    /// Source of time; by default the clock of the operating system.
    #[debug(skip)]
    pub clock: Arc<dyn Clock>,
    /// How the daemon chooses among the upstreams of a service.
    #[debug(skip)]
    pub balancing: BalancingOptions,
}

impl Components {
    /// Creates the default components.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let store = HttpLogStore::new(config.log_store.addr, config.log_store.timeout);
        Self {
            store: Arc::new(store),
            clock: Arc::new(SystemClock::new()),
            balancing: BalancingOptions::default(),
        }
    }
}

/// Handle of a running daemon.
#[derive(Debug)]
pub struct Daemon {
    kernel: Kernel,
    addresses: ListenAddrs,
    drain_timeout: Duration,
    /// Receives a message when an operator asks the daemon to leave.
    leave_requests: mpsc::Receiver<()>,
}

impl Daemon {
    /// Starts a daemon with the default components.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if an address cannot be bound or the metrics cannot be set up.
    pub fn start(config: &Config) -> Result<Self> {
        Self::start_with(config, Components::new(config))
    }

    /// Starts a daemon with the given components.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if an address cannot be bound or the metrics cannot be set up.
    pub fn start_with(config: &Config, components: Components) -> Result<Self> {
        let Components {
            store,
            clock,
            balancing,
        } = components;
        let sockets = Sockets::bind(&config.listen)?;
        let addresses = sockets.addresses;
        let metrics = Metrics::new().map_err(StartError::Metrics)?;
        let (leave_sender, leave_requests) = mpsc::channel(1);
        let own_member = own_member(config, &addresses, &*clock);
        let inputs = ServiceInputs {
            config,
            sockets,
            store,
            balancing,
            metrics,
            own_member,
            leave_sender,
        };
        let kernel = inputs.add_services(Kernel::builder(clock)).start();
        let daemon = Self {
            kernel,
            addresses,
            drain_timeout: config.drain_timeout,
            leave_requests,
        };
        daemon.record(Event::Started);
        Ok(daemon)
    }

    /// Returns the addresses on which the daemon listens.
    #[must_use]
    pub fn addresses(&self) -> &ListenAddrs {
        &self.addresses
    }

    /// Waits until an operator asks the daemon to leave or the services stop.
    ///
    /// Returns `None` if an operator asked, and otherwise the reason why the services stopped.
    pub async fn wait(&mut self) -> Option<StopReason> {
        tokio::select! {
            _ = self.leave_requests.recv() => None,
            reason = self.kernel.wait() => Some(reason),
        }
    }

    /// Stops the daemon after its running requests have ended, or after the drain timeout.
    ///
    /// The daemon announces that it leaves, refuses new requests, waits for the running ones, and
    /// stops its services. Requests that are still running at the timeout are interrupted.
    pub async fn stop(self) {
        // Announces the state `Leaving`.
        self.announce_leave().await;
        tokio::time::sleep(SHUTDOWN_DELAY).await;
        self.drain().await;
        // The second announcement changes the state to `Left`.
        self.announce_leave().await;
        self.kernel
            .stop(SERVICE_STOP_TIMEOUT.max(self.drain_timeout))
            .await;
    }

    /// Announces the next step of the stop to other daemons: the state `Leaving` when called for
    /// the first time, and `Left` when called again.
    async fn announce_leave(&self) {
        if let Ok(membership) = self.kernel.mailbox(MEMBERSHIP) {
            // If the membership service is down, other daemons notice the refusals instead.
            let _ = membership.send(MembershipMessage::Leave).await;
        }
    }

    /// Refuses new requests and waits until the running ones end or the drain timeout is over.
    async fn drain(&self) {
        let Ok(guard) = self.kernel.mailbox(GUARD) else {
            return;
        };
        let running = count_running(&guard).await;
        log::info!(running = running; "drain started");
        // Recorded before the drain, so that it precedes the refusals in the timeline.
        self.record(Event::DrainStarted { running });
        let drained = guard.ask(|reply| GuardMessage::Drain { reply });
        let drained = tokio::time::timeout(self.drain_timeout, drained).await;
        let running = match drained {
            Ok(_) => 0,
            Err(_) => count_running(&guard).await,
        };
        self.record(Event::DrainFinished { running });
        if running > 0 {
            log::warn!(running = running; "drain timeout reached with requests still running");
        } else {
            log::info!("drain finished");
        }
    }

    /// Records an event in the timeline.
    fn record(&self, event: Event) {
        if let Ok(timeline) = self.kernel.mailbox(TIMELINE) {
            timeline::record(&timeline, event);
        }
    }
}

/// Returns the number of requests that run at the local upstreams.
async fn count_running(guard: &Mailbox<GuardMessage>) -> u32 {
    let loads = guard.ask(|reply| GuardMessage::Load { reply }).await;
    let loads = loads.iter().flatten();
    loads.map(|l| u32::from(l.load.running)).sum()
}

/// Returns the member record with which this daemon starts.
fn own_member(config: &Config, addresses: &ListenAddrs, clock: &dyn Clock) -> Member {
    Member {
        vm: config.vm.clone(),
        key: MemberKey {
            // The start time, so that a process that starts later on the same VM has a larger
            // incarnation.
            incarnation: Incarnation(clock.wall_time().0),
            version: 0,
        },
        region: config.region.clone(),
        domain: config.failure_domain.clone(),
        peer_addr: addresses.peers,
        caller_addr: addresses.callers,
        operator_addr: addresses.operators,
        state: MemberState::Alive,
        upstreams: SmallVec::new(),
    }
}

/// Options, sockets and components that the services are created from.
struct ServiceInputs<'a> {
    config: &'a Config,
    sockets: Sockets,
    store: Arc<dyn LogStore>,
    balancing: BalancingOptions,
    metrics: Metrics,
    own_member: Member,
    leave_sender: mpsc::Sender<()>,
}

impl ServiceInputs<'_> {
    fn add_services(self, builder: KernelBuilder) -> KernelBuilder {
        let builder = self.add_control_services(builder);
        let builder = self.add_request_services(builder);
        self.add_listener_services(builder)
    }

    /// Returns a seed for random choices that differs between VMs and between process starts.
    fn random_seed(&self) -> u64 {
        let Member { vm, key, .. } = &self.own_member;
        xxhash_rust::xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), key.incarnation.0)
    }

    /// Adds the services that handle membership, configuration, announcements and the timeline.
    fn add_control_services(&self, builder: KernelBuilder) -> KernelBuilder {
        let options = ServiceOptions::default();
        let vm = self.own_member.vm.clone();
        let budgets = budget::bucket_settings(&self.config.budgets);
        let socket = Arc::clone(&self.sockets.gossip);
        let (own_member, seeds, random_seed) = (
            self.own_member.clone(),
            self.config.seeds.clone(),
            self.random_seed(),
        );
        let peer_addr = self.own_member.peer_addr;
        let catalog_store = Arc::clone(&self.store);
        let publisher_store = Arc::clone(&self.store);
        let announcements = Arc::clone(&self.sockets.upstream);
        let lease_max = self.config.upstream.lease_max;
        builder
            .add_service(TIMELINE, options, move |context| {
                run_timeline(context, vm.clone())
            })
            .add_service(BUDGET, options, move |context| {
                budget::run_budget(context, budgets)
            })
            .add_service(MEMBERSHIP, options, move |context| {
                let socket = Arc::clone(&socket);
                membership::run_membership(
                    context,
                    socket,
                    own_member.clone(),
                    seeds.clone(),
                    random_seed,
                )
            })
            .add_service(CATALOG, options, move |context| {
                catalog::run_catalog(context, Arc::clone(&catalog_store), peer_addr)
            })
            .add_service(PUBLISHER, options, move |context| {
                publisher::run_publisher(context, Arc::clone(&publisher_store))
            })
            .add_service(ANNOUNCER, options, move |context| {
                announcer::run_announcer(context, Arc::clone(&announcements), lease_max)
            })
    }

    /// Adds the services on the request path: the pool of connections, the guard, which admits
    /// requests to the local upstreams, and the router.
    fn add_request_services(&self, builder: KernelBuilder) -> KernelBuilder {
        let options = ServiceOptions {
            capacity: REQUEST_MAILBOX_CAPACITY,
            on_failure: OnFailure::Restart,
        };
        // A restarted guard would not know the issued tickets and the running requests, so its
        // failure stops the process.
        let guard_options = ServiceOptions {
            on_failure: OnFailure::StopProcess,
            ..options
        };
        let guard_settings = self.guard_settings();
        let locality = Locality {
            region: self.own_member.region.clone(),
            domain: self.own_member.domain.clone(),
        };
        let random_seed = self.random_seed();
        let balancing = self.balancing.clone();
        builder
            .add_service(POOL, options, pool::run_pool)
            .add_service(GUARD, guard_options, move |context| {
                guard::run_guard(context, guard_settings.clone())
            })
            .add_service(ROUTER, options, move |context| {
                router::run_router(context, locality.clone(), balancing.clone(), random_seed)
            })
    }

    fn guard_settings(&self) -> GuardSettings {
        let tickets = &self.config.tickets;
        GuardSettings {
            vm: self.own_member.vm.clone(),
            incarnation: self.own_member.key.incarnation,
            region: self.own_member.region.clone(),
            domain: self.own_member.domain.clone(),
            limits: AdmissionSettings {
                queue_capacity: self.config.limits.queue,
                max_connections: self.config.upstream.connections,
            },
            tickets: TicketSettings {
                ttl: tickets.lifetime,
                max_entries: tickets.capacity,
                response_bytes: tickets.response_bytes,
                response_ttl: tickets.response_lifetime,
            },
        }
    }

    /// Adds the services that accept connections of callers, other daemons, operators and
    /// metrics collectors.
    fn add_listener_services(self, builder: KernelBuilder) -> KernelBuilder {
        let options = ServiceOptions::default();
        let limits = ListenerLimits {
            max_header_bytes: self.config.limits.header_bytes,
            drain_timeout: self.config.drain_timeout,
        };
        let response_bytes = self.config.tickets.response_bytes;
        let body_buffer_bytes = self.config.limits.body_buffer_bytes;
        let identity = Identity {
            vm: self.own_member.vm,
            incarnation: self.own_member.key.incarnation,
            region: self.own_member.region,
            domain: self.own_member.domain,
        };
        let Sockets {
            callers,
            peers,
            operators,
            metrics: metrics_listener,
            ..
        } = self.sockets;
        let (leave_sender, metrics) = (self.leave_sender, self.metrics);
        let entry_metrics = metrics.clone();
        builder
            .add_service(SCRAPE, options, move |context| {
                scrape::run_scrape(context, Arc::clone(&metrics_listener), metrics.clone())
            })
            .add_service(OPERATORS, options, move |context| {
                let listener = Arc::clone(&operators);
                operators::run_operators(context, listener, identity.clone(), leave_sender.clone())
            })
            .add_service(PEERS, options, move |context| {
                peers::run_peers(context, Arc::clone(&peers), limits, response_bytes)
            })
            .add_service(ENTRY, options, move |context| {
                let (listener, metrics) = (Arc::clone(&callers), entry_metrics.clone());
                entry::run_entry(context, listener, limits, body_buffer_bytes, metrics)
            })
    }
}
