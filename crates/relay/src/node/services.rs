//! Services of a daemon, with their settings and dependencies.

use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{DecodeLimits, Draining, MemoryAccount, SocketTimeouts};
use cornelvalve_kernel::{Clock, Kernel, KernelBuilder, OnFailure, ServiceOptions};
use cornelvalve_model::{Incarnation, Member, MemberKey, MemberState};
use cornelvalve_policy::MemoryUse;
use smallvec::SmallVec;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::sockets::Sockets;
use super::{NodeSettings, PlatformAdapters};
use crate::connector::Connector;
use crate::control::run_control;
use crate::desired::CallerLimits;
use crate::discovery::run_discovery;
use crate::entry::{EntryDependencies, run_entry};
use crate::guard::{GuardSettings, run_guard};
use crate::limits::ConnectionKind;
use crate::listener::InternalListener;
use crate::members::run_members;
use crate::memory::{MemoryAccounts, run_memory};
use crate::messages::ShutdownStage;
use crate::names::{
    CHECK_INS, CONTROL, DISCOVERY, ENTRY, GUARD, MEMBERS, MEMORY, METRICS, MONITOR, NOTICES,
    PEER_POOL, PEERS, READY, ROUTER, STATS, UPSTREAM_POOL,
};
use crate::notices::run_notices;
use crate::peers::PeersDependencies;
use crate::ports::{Dialect, PeerRecord};
use crate::router::{LocalDaemon, run_router};
use crate::runner::Runner;
use crate::{check_ins, monitor, peers, pool, ready, stats};

/// Number of messages that the mailbox of a service on the request path holds.
const REQUEST_MAILBOX_CAPACITY: usize = 4096;

/// Maximum response head (status line and headers) in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;

/// Timeouts of connections to processes on the same VM.
const LOCAL_TIMEOUTS: SocketTimeouts = SocketTimeouts {
    connect: Duration::from_millis(500),
    unacknowledged: Duration::from_secs(2),
    keepalive: Duration::from_secs(2),
};

/// Timeouts of connections to other daemons. A lost SYN packet is retransmitted only after a
/// second, which is too late for most requests, so a longer connect timeout would rarely help.
const PEER_TIMEOUTS: SocketTimeouts = SocketTimeouts {
    connect: Duration::from_millis(400),
    unacknowledged: Duration::from_millis(1500),
    keepalive: Duration::from_secs(1),
};

/// Timeouts of connections over which the configuration is fetched from other daemons. They are long,
/// because packets may wait for a second on a VM's link that is full of requests.
const CONTROL_TIMEOUTS: SocketTimeouts = SocketTimeouts {
    connect: Duration::from_secs(2),
    unacknowledged: Duration::from_secs(3),
    keepalive: Duration::from_secs(1),
};

/// Adds all services of the daemon to a kernel.
pub(super) struct NodeBuilder {
    pub(super) settings: NodeSettings,
    pub(super) adapters: PlatformAdapters,
    pub(super) sockets: Sockets,
    pub(super) draining: watch::Receiver<Draining>,
    pub(super) stage: watch::Receiver<ShutdownStage>,
    /// Seed of random choices, different in each daemon.
    pub(super) seed: u64,
}

impl NodeBuilder {
    /// Returns a kernel builder with all services added.
    pub(super) fn build(&self) -> KernelBuilder {
        let limits = Arc::new(watch::channel(CallerLimits::default()).0);
        let short = Arc::new(watch::channel(false).0);
        let total = self.settings.limits.message_bytes();
        let accounts = MemoryAccounts::new(total, short.subscribe());
        let builder = Kernel::builder(Arc::clone(&self.adapters.clock));
        let builder = self.add_stats_and_pools(builder, Arc::clone(&limits));
        let builder = self.add_memory(builder, total, short);
        let builder = self.add_control_plane(builder);
        let builder = self.add_request_path(builder, &accounts);
        self.add_listeners(builder, &limits, &accounts)
    }

    /// Returns the connector of a service whose responses take their memory from `memory`.
    fn connector(memory: Arc<dyn MemoryAccount>) -> Connector {
        Connector {
            memory,
            upstream_timeouts: LOCAL_TIMEOUTS,
            peer_timeouts: PEER_TIMEOUTS,
            response_limits: DecodeLimits {
                head_bytes: MAX_RESPONSE_HEAD_BYTES,
                // The user of a connection sets the limit of each response.
                body_bytes: 0,
            },
        }
    }

    /// Returns the membership record with which this daemon starts.
    fn own_member(&self) -> Member {
        let NodeSettings {
            vm, region, domain, ..
        } = &self.settings;
        let listen = &self.settings.listen;
        Member {
            vm: vm.clone(),
            key: MemberKey {
                // A process that starts later on the same VM has a larger incarnation.
                incarnation: Incarnation(self.adapters.clock.wall_time().0),
                version: 0,
            },
            region: region.clone(),
            domain: domain.clone(),
            peer_addr: listen.peers,
            caller_addr: listen.callers,
            // This daemon has no listener for operators.
            operator_addr: listen.peers,
            state: MemberState::Alive,
            upstreams: SmallVec::new(),
        }
    }

    /// Adds the stats service and the connection pools.
    fn add_stats_and_pools(
        &self,
        builder: KernelBuilder,
        limits: Arc<watch::Sender<CallerLimits>>,
    ) -> KernelBuilder {
        let options = request_options();
        let connections = self.settings.limits.connections();
        builder
            .add_service(STATS, options, move |context| {
                stats::run_stats(context, Arc::clone(&limits))
            })
            .add_service(UPSTREAM_POOL, options, move |context| {
                let kind = ConnectionKind::Upstream;
                pool::run_pool(context, UPSTREAM_POOL, kind, connections.upstream)
            })
            .add_service(PEER_POOL, options, move |context| {
                let kind = ConnectionKind::Outgoing;
                pool::run_pool(context, PEER_POOL, kind, connections.outgoing)
            })
    }

    /// Adds the memory service.
    fn add_memory(
        &self,
        builder: KernelBuilder,
        total: usize,
        short: Arc<watch::Sender<bool>>,
    ) -> KernelBuilder {
        // A restarted service would not know how much memory the messages hold, so its failure
        // stops the process.
        let options = ServiceOptions {
            on_failure: OnFailure::StopProcess,
            ..request_options()
        };
        builder.add_service(MEMORY, options, move |context| {
            run_memory(context, total, Arc::clone(&short))
        })
    }

    /// Adds the services for configuration, discovery of other daemons, membership and notices.
    fn add_control_plane(&self, builder: KernelBuilder) -> KernelBuilder {
        let options = ServiceOptions::default();
        let own = self.own_member();
        let seed = self.seed;
        let record = PeerRecord {
            vm: own.vm.clone(),
            addr: own.peer_addr,
        };
        let bootstrap = self.settings.bootstrap;
        let control_store = Arc::clone(&self.adapters.store);
        let discovery_store = Arc::clone(&self.adapters.store);
        let members = Arc::clone(&self.sockets.members);
        let notices = Arc::clone(&self.sockets.notices);
        let (region, port) = (own.region.clone(), own.peer_addr.port());
        builder
            .add_service(CONTROL, options, move |context| {
                run_control(context, Arc::clone(&control_store), CONTROL_TIMEOUTS, seed)
            })
            .add_service(DISCOVERY, options, move |context| {
                run_discovery(
                    context,
                    Arc::clone(&discovery_store),
                    record.clone(),
                    bootstrap,
                    seed,
                )
            })
            .add_service(MEMBERS, options, move |context| {
                run_members(context, Arc::clone(&members), own.clone(), seed)
            })
            .add_service(NOTICES, options, move |context| {
                run_notices(context, Arc::clone(&notices), region.clone(), port, seed)
            })
    }

    /// Adds the guard, the monitor and the router.
    fn add_request_path(&self, builder: KernelBuilder, accounts: &MemoryAccounts) -> KernelBuilder {
        let accounts = accounts.clone();
        let settings = &self.settings;
        let guard = GuardSettings {
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            service: settings.service.clone(),
            addr: settings.upstream,
            tolerance: settings.cold_tolerance,
        };
        let local = LocalDaemon {
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            addr: settings.listen.peers,
        };
        let (retry_budget, seed) = (settings.retry_budget, self.seed);
        let dialect = Arc::clone(&self.adapters.dialect);
        // A restarted guard would no longer know which requests are running at the upstream and
        // which check-ins it has confirmed, so its failure stops the process.
        let guard_options = ServiceOptions {
            on_failure: OnFailure::StopProcess,
            ..request_options()
        };
        builder
            .add_service(GUARD, guard_options, move |context| {
                run_guard(context, guard.clone())
            })
            .add_service(MONITOR, ServiceOptions::default(), move |context| {
                let memory = accounts.account(&context, MemoryUse::Response);
                let dialect = Arc::clone(&dialect);
                async move {
                    // Its connections are shared with the runner through the pool.
                    let connector = Self::connector(memory?);
                    monitor::run_monitor(context, dialect, connector).await
                }
            })
            .add_service(ROUTER, request_options(), move |context| {
                run_router(context, local.clone(), retry_budget, seed)
            })
    }

    /// Adds the services that accept connections.
    fn add_listeners(
        &self,
        builder: KernelBuilder,
        limits: &Arc<watch::Sender<CallerLimits>>,
        accounts: &MemoryAccounts,
    ) -> KernelBuilder {
        let options = ServiceOptions::default();
        let sockets = &self.sockets;
        let internal = |socket: &Arc<TcpListener>| InternalListener {
            listener: Arc::clone(socket),
            timeouts: LOCAL_TIMEOUTS,
            accounts: accounts.clone(),
        };
        let (ready_socket, metrics) = (internal(&sockets.ready), internal(&sockets.metrics));
        let check_ins = internal(&sockets.check_ins);
        let protocol = Arc::clone(&self.adapters.check_ins);
        let peers = Arc::clone(&sockets.peers);
        let peer_runner = RunnerBuilder::new(&self.adapters, accounts.clone());
        let entry_runner = peer_runner.clone();
        let callers = Arc::clone(&sockets.callers);
        let (limits, draining) = (limits.subscribe(), self.draining.clone());
        let stage = self.stage.clone();
        let own_service = self.settings.service.clone();
        let connections = self.settings.limits.connections();
        builder
            .add_service(READY, options, move |context| {
                ready::run_ready(context, ready_socket.clone())
            })
            .add_service(METRICS, options, move |context| {
                ready::run_ready(context, metrics.clone())
            })
            .add_service(CHECK_INS, options, move |context| {
                check_ins::run_check_ins(context, check_ins.clone(), Arc::clone(&protocol))
            })
            .add_service(PEERS, options, move |context| {
                let (listener, runner) = (Arc::clone(&peers), peer_runner.clone());
                async move {
                    let dependencies = PeersDependencies {
                        listener,
                        timeouts: PEER_TIMEOUTS,
                        runner: runner.build(&context)?,
                        max_connections: connections.incoming,
                        memory: runner.accounts.account(&context, MemoryUse::Peer)?,
                    };
                    peers::run_peers(context, dependencies).await
                }
            })
            .add_service(ENTRY, options, move |context| {
                let (listener, runner) = (Arc::clone(&callers), entry_runner.clone());
                let (limits, draining) = (limits.clone(), draining.clone());
                let stage = stage.clone();
                let own_service = own_service.clone();
                async move {
                    let crowded = watch::channel(false).0;
                    let accounts = &runner.accounts;
                    let dependencies = EntryDependencies {
                        listener,
                        timeouts: LOCAL_TIMEOUTS,
                        limits,
                        draining,
                        stage,
                        connector: Self::connector(
                            accounts.account(&context, MemoryUse::Response)?,
                        ),
                        own_service,
                        runner: runner.build(&context)?,
                        max_connections: connections.callers,
                        memory: accounts.caller_account(&context, crowded.subscribe())?,
                        crowded,
                    };
                    run_entry(context, dependencies).await
                }
            })
    }
}

/// Builds runners for the services that run requests at the upstream.
#[derive(Clone)]
struct RunnerBuilder {
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
    accounts: MemoryAccounts,
}

impl RunnerBuilder {
    fn new(adapters: &PlatformAdapters, accounts: MemoryAccounts) -> Self {
        Self {
            accounts,
            dialect: Arc::clone(&adapters.dialect),
            clock: Arc::clone(&adapters.clock),
        }
    }

    /// Returns a runner for the service with this context.
    ///
    /// # Errors
    ///
    /// Returns the kernel's error if the guard, the upstream pool or the memory service has no
    /// mailbox.
    fn build<M>(
        &self,
        context: &cornelvalve_kernel::Context<M>,
    ) -> cornelvalve_kernel::Result<Runner> {
        Ok(Runner {
            guard: context.registry.mailbox(GUARD)?,
            pool: context.registry.mailbox(UPSTREAM_POOL)?,
            dialect: Arc::clone(&self.dialect),
            clock: Arc::clone(&self.clock),
            connector: NodeBuilder::connector(self.accounts.account(context, MemoryUse::Response)?),
        })
    }
}

/// Returns the options of services on the request path.
fn request_options() -> ServiceOptions {
    ServiceOptions {
        capacity: REQUEST_MAILBOX_CAPACITY,
        on_failure: OnFailure::Restart,
    }
}
