//! Assembly of a daemon: binds the listeners, starts the services and stops them in order.

use std::net::{SocketAddr, TcpListener, UdpSocket};
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

use crate::config::{Config, Listen};
use crate::guard::{GuardMessage, GuardSettings};
use crate::listener::{self, ListenerLimits};
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

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, StartError>;

/// Time between the announcement that the daemon leaves and the first refusal of new work.
///
/// Other daemons stop choosing it meanwhile, so that a planned stop costs no retries.
const LEAVE_NOTICE: Duration = Duration::from_secs(1);

/// Time that each service gets to end.
const SERVICE_GRACE: Duration = Duration::from_secs(5);

/// Messages that the mailboxes on the request path hold.
const REQUEST_CAPACITY: usize = 4096;

/// Reports that a daemon could not be started.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address could not be bound.
    #[display("{listener} address {addr} cannot be bound: {source}; free it or set another one")]
    Bind {
        /// Which listener.
        listener: &'static str,
        /// The address.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The metrics could not be set up.
    #[display("{_0}")]
    Metrics(MetricsError),
}

/// Addresses on which a daemon listens, with the ports that the system chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddrs {
    /// Callers.
    pub callers: SocketAddr,
    /// Other daemons.
    pub peers: SocketAddr,
    /// Announcements of upstreams.
    pub upstream: SocketAddr,
    /// Operators' calls.
    pub operators: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// Components that an embedder may replace.
#[derive(Clone, Debug)]
pub struct Components {
    /// Log store; the platform's service by default.
    #[debug(skip)]
    pub store: Arc<dyn LogStore>,
    /// Source of time; the clock of the operating system by default.
    #[debug(skip)]
    pub clock: Arc<dyn Clock>,
    /// Choice among the upstreams of a service.
    #[debug(skip)]
    pub balancing: BalancingOptions,
}

impl Components {
    /// Creates the components that a daemon uses by default.
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

/// Running daemon.
#[derive(Debug)]
pub struct Daemon {
    kernel: Kernel,
    addresses: ListenAddrs,
    drain_timeout: Duration,
    leave: mpsc::Receiver<()>,
}

impl Daemon {
    /// Starts a daemon that reads the configuration from the log service of `config`.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if an address cannot be bound or the metrics cannot be set up.
    pub fn start(config: &Config) -> Result<Self> {
        Self::start_with(config, Components::new(config))
    }

    /// Starts a daemon with components of the embedder's own.
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
        let (leave_sender, leave) = mpsc::channel(1);
        let own = own_member(config, &addresses, &*clock);
        let assembly = Assembly {
            config,
            sockets,
            store,
            balancing,
            metrics,
            own,
            leave: leave_sender,
        };
        let kernel = assembly.add_services(Kernel::builder(clock)).start();
        let daemon = Self {
            kernel,
            addresses,
            drain_timeout: config.drain_timeout,
            leave,
        };
        daemon.record(Event::Started);
        Ok(daemon)
    }

    /// Returns the addresses on which the daemon listens.
    #[must_use]
    pub fn addresses(&self) -> &ListenAddrs {
        &self.addresses
    }

    /// Waits until operators ask the daemon to leave or a service fails for good.
    ///
    /// Returns the reason if a service failed.
    pub async fn wait(&mut self) -> Option<StopReason> {
        tokio::select! {
            _ = self.leave.recv() => None,
            reason = self.kernel.wait() => Some(reason),
        }
    }

    /// Stops the daemon without interrupting requests.
    ///
    /// It announces that it leaves, finishes what runs within the drain timeout and closes.
    pub async fn stop(self) {
        self.announce_leave().await;
        tokio::time::sleep(LEAVE_NOTICE).await;
        self.drain().await;
        self.announce_leave().await;
        self.kernel
            .stop(SERVICE_GRACE.max(self.drain_timeout))
            .await;
    }

    /// Announces that the daemon stops or, when called again, that it has stopped.
    async fn announce_leave(&self) {
        if let Ok(membership) = self.kernel.mailbox(MEMBERSHIP) {
            // Without membership other daemons notice the refusals instead.
            let _ = membership.send(MembershipMessage::Leave).await;
        }
    }

    async fn drain(&self) {
        let Ok(guard) = self.kernel.mailbox(GUARD) else {
            return;
        };
        let running = running(&guard).await;
        log::info!(running = running; "drain started");
        // Recorded first, so that it precedes the refusals that the drain causes.
        self.record(Event::DrainStarted { running });
        let drained = guard.ask(|reply| GuardMessage::Drain { reply });
        let drained = tokio::time::timeout(self.drain_timeout, drained).await;
        let running = match drained {
            Ok(_) => 0,
            Err(_) => self::running(&guard).await,
        };
        self.record(Event::DrainFinished { running });
        if running > 0 {
            log::warn!(running = running; "drain timeout reached with requests still running");
        } else {
            log::info!("drain finished");
        }
    }

    fn record(&self, event: Event) {
        if let Ok(timeline) = self.kernel.mailbox(TIMELINE) {
            timeline::record(&timeline, event);
        }
    }
}

/// Counts the requests that run at the local upstreams.
async fn running(guard: &Mailbox<GuardMessage>) -> u32 {
    let loads = guard.ask(|reply| GuardMessage::Load { reply }).await;
    let loads = loads.iter().flatten();
    loads.map(|l| u32::from(l.load.running)).sum()
}

/// Bound sockets, kept across restarts of the services that use them.
struct Sockets {
    callers: Arc<TcpListener>,
    peers: Arc<TcpListener>,
    members: Arc<UdpSocket>,
    upstream: Arc<TcpListener>,
    operators: Arc<TcpListener>,
    metrics: Arc<TcpListener>,
    addresses: ListenAddrs,
}

impl Sockets {
    fn bind(listen: &Listen) -> Result<Self> {
        let (peers, members, peer_addr) = bind_peers(listen.peers)?;
        let (callers, caller_addr) = bind_tcp("callers", listen.callers)?;
        let (upstream, upstream_addr) = bind_tcp("upstream", listen.upstream)?;
        let (operators, operator_addr) = bind_tcp("operators", listen.operators)?;
        let (metrics, metrics_addr) = bind_tcp("metrics", listen.metrics)?;
        Ok(Self {
            callers,
            peers,
            members,
            upstream,
            operators,
            metrics,
            addresses: ListenAddrs {
                callers: caller_addr,
                peers: peer_addr,
                upstream: upstream_addr,
                operators: operator_addr,
                metrics: metrics_addr,
            },
        })
    }
}

fn bind_tcp(listener: &'static str, addr: SocketAddr) -> Result<(Arc<TcpListener>, SocketAddr)> {
    let error = |source| StartError::Bind {
        listener,
        addr,
        source,
    };
    let bound = listener::bind(addr).map_err(error)?;
    let local = bound.local_addr().map_err(error)?;
    Ok((Arc::new(bound), local))
}

/// Attempts to find a port that is free for TCP and UDP alike.
const PORT_ATTEMPTS: u32 = 16;

/// Binds TCP and UDP to the same port.
fn bind_peers(addr: SocketAddr) -> Result<(Arc<TcpListener>, Arc<UdpSocket>, SocketAddr)> {
    let mut attempt = 0;
    loop {
        let (tcp, local) = bind_tcp("peers", addr)?;
        match UdpSocket::bind(local).and_then(|s| s.set_nonblocking(true).map(|()| s)) {
            Ok(udp) => return Ok((tcp, Arc::new(udp), local)),
            Err(_) if addr.port() == 0 && attempt < PORT_ATTEMPTS => attempt += 1,
            Err(source) => {
                return Err(StartError::Bind {
                    listener: "peers (UDP)",
                    addr: local,
                    source,
                });
            }
        }
    }
}

fn own_member(config: &Config, addresses: &ListenAddrs, clock: &dyn Clock) -> Member {
    Member {
        vm: config.vm.clone(),
        key: MemberKey {
            // A process that starts later on the same VM has a larger number.
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

/// Everything that the services are built from.
struct Assembly<'a> {
    config: &'a Config,
    sockets: Sockets,
    store: Arc<dyn LogStore>,
    balancing: BalancingOptions,
    metrics: Metrics,
    own: Member,
    leave: mpsc::Sender<()>,
}

impl Assembly<'_> {
    fn add_services(self, builder: KernelBuilder) -> KernelBuilder {
        let builder = self.add_control(builder);
        let builder = self.add_request_path(builder);
        self.add_listeners(builder)
    }

    fn seed(&self) -> u64 {
        let Member { vm, key, .. } = &self.own;
        xxhash_rust::xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), key.incarnation.0)
    }

    fn add_control(&self, builder: KernelBuilder) -> KernelBuilder {
        let options = ServiceOptions::default();
        let vm = self.own.vm.clone();
        let budgets = budget::settings(&self.config.budgets);
        let socket = Arc::clone(&self.sockets.members);
        let (own, seeds, seed) = (self.own.clone(), self.config.seeds.clone(), self.seed());
        let peer_addr = self.own.peer_addr;
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
                membership::run_membership(context, socket, own.clone(), seeds.clone(), seed)
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

    fn add_request_path(&self, builder: KernelBuilder) -> KernelBuilder {
        let options = ServiceOptions {
            capacity: REQUEST_CAPACITY,
            on_failure: OnFailure::Restart,
        };
        // The guard's tickets and running requests must not be forgotten by a process that goes on.
        let guard_options = ServiceOptions {
            on_failure: OnFailure::StopProcess,
            ..options
        };
        let guard_settings = self.guard_settings();
        let locality = Locality {
            region: self.own.region.clone(),
            domain: self.own.domain.clone(),
        };
        let seed = self.seed();
        let balancing = self.balancing.clone();
        builder
            .add_service(POOL, options, pool::run_pool)
            .add_service(GUARD, guard_options, move |context| {
                guard::run_guard(context, guard_settings.clone())
            })
            .add_service(ROUTER, options, move |context| {
                router::run_router(context, locality.clone(), balancing.clone(), seed)
            })
    }

    fn guard_settings(&self) -> GuardSettings {
        let tickets = &self.config.tickets;
        GuardSettings {
            vm: self.own.vm.clone(),
            incarnation: self.own.key.incarnation,
            region: self.own.region.clone(),
            domain: self.own.domain.clone(),
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

    fn add_listeners(self, builder: KernelBuilder) -> KernelBuilder {
        let options = ServiceOptions::default();
        let limits = ListenerLimits {
            max_header_bytes: self.config.limits.header_bytes,
            drain_timeout: self.config.drain_timeout,
        };
        let answer_bytes = self.config.tickets.response_bytes;
        let body_buffer_bytes = self.config.limits.body_buffer_bytes;
        let identity = Identity {
            vm: self.own.vm,
            incarnation: self.own.key.incarnation,
            region: self.own.region,
            domain: self.own.domain,
        };
        let Sockets {
            callers,
            peers,
            operators,
            metrics: scrapes,
            ..
        } = self.sockets;
        let (leave, metrics) = (self.leave, self.metrics);
        let entry_metrics = metrics.clone();
        builder
            .add_service(SCRAPE, options, move |context| {
                scrape::run_scrape(context, Arc::clone(&scrapes), metrics.clone())
            })
            .add_service(OPERATORS, options, move |context| {
                let listener = Arc::clone(&operators);
                operators::run_operators(context, listener, identity.clone(), leave.clone())
            })
            .add_service(PEERS, options, move |context| {
                peers::run_peers(context, Arc::clone(&peers), limits, answer_bytes)
            })
            .add_service(ENTRY, options, move |context| {
                let (listener, metrics) = (Arc::clone(&callers), entry_metrics.clone());
                entry::run_entry(context, listener, limits, body_buffer_bytes, metrics)
            })
    }
}
