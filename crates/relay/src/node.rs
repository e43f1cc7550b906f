//! Startup and shutdown of the daemon: binds the sockets, starts the services and stops them in
//! order.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_http1::{DecodeLimits, SocketTimeouts, bind};
use cornelvalve_kernel::{
    Clock, Kernel, KernelBuilder, Mailbox, OnFailure, ServiceOptions, StopReason,
};
use cornelvalve_model::{
    FailureDomain, Fingerprint, Incarnation, Member, MemberKey, MemberState, Region, ServiceName,
    VmName,
};
use cornelvalve_policy::{ColdTolerance, RetryBudgetSettings};
use derive_more::{Debug, Display, Error};
use smallvec::SmallVec;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::connector::Connector;
use crate::control::run_control;
use crate::desired::CallerLimits;
use crate::discovery::run_discovery;
use crate::entry::{EntryDependencies, run_entry};
use crate::guard::{GuardSettings, run_guard};
use crate::members::run_members;
use crate::messages::{Activity, GuardMessage, MembersMessage, ShutdownStage, StatsMessage};
use crate::names::{
    CHECK_INS, CONTROL, DISCOVERY, ENTRY, GUARD, MEMBERS, METRICS, MONITOR, NOTICES, PEER_POOL,
    PEERS, READY, ROUTER, STATS, UPSTREAM_POOL,
};
use crate::notices::{NOTICES_PORT_OFFSET, run_notices};
use crate::ports::{CheckInProtocol, ControlStore, Dialect, PeerRecord};
use crate::router::{LocalDaemon, run_router};
use crate::runner::Runner;
use crate::{check_ins, monitor, peers, pool, ready, stats};

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, StartError>;

/// Number of messages that the mailbox of a service on the request path holds.
const REQUEST_MAILBOX_CAPACITY: usize = 4096;

/// Time within which the services must stop when the kernel stops them.
const SERVICE_STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which a stopping daemon checks whether requests of callers are running; also the
/// timeout of each check.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Fraction of the shutdown delay after which a stopping daemon announces that it is leaving. Until
/// then, other daemons still send it requests.
const SERVING_FRACTION: f64 = 0.75;

/// Largest fraction of the grace period for which a stopping daemon takes requests; the rest is for
/// those that are running.
const MAX_DELAY_FRACTION: f64 = 0.5;

/// Time reserved before [`EXIT_RESERVE`] for the last requests of callers, after the guard has
/// drained.
const CALLERS_RESERVE: Duration = Duration::from_millis(1200);

/// Time reserved before [`EXIT_RESERVE`] for sending error responses to requests that are still
/// running.
const RESPONSE_RESERVE: Duration = Duration::from_millis(300);

/// Time reserved at the end of the grace period for stopping the services and the process.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

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

/// Error of a daemon that could not be started.
#[derive(Debug, Display, Error)]
#[display("{listener} address {addr} cannot be bound: {source}; free it or set another one")]
pub struct StartError {
    /// Name of the listener.
    pub listener: &'static str,
    /// Address that cannot be bound.
    pub addr: SocketAddr,
    /// Error of the operating system.
    pub source: std::io::Error,
}

/// Addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For requests of callers on this VM.
    pub callers: SocketAddr,
    /// For check-ins of the upstream.
    pub check_ins: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For other daemons, over TCP and UDP; notices use the next higher UDP port.
    pub peers: SocketAddr,
    /// For scrapes of the metrics.
    pub metrics: SocketAddr,
}

/// Settings of a daemon.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the daemon's VM.
    pub vm: VmName,
    /// Region of the VM.
    pub region: Region,
    /// Failure domain of the VM.
    pub domain: FailureDomain,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Time from the stop request until the process is killed.
    pub grace_period: Duration,
    /// Minimum time from the stop request until requests of callers are refused, so that callers
    /// notice that the daemon is not ready; at most half of the grace period is used.
    pub shutdown_delay: Duration,
    /// Whether the whole system starts for the first time. The daemon then waits before it looks
    /// for others in the store, because they announce themselves there at the same time.
    pub bootstrap: bool,
    /// Retry budget that all daemons share.
    pub retry_budget: RetryBudgetSettings,
    /// How far the number of requests started per second at a cold upstream, one that started a
    /// short time ago, may exceed the rate that its service sets for this phase.
    pub cold_tolerance: ColdTolerance,
}

/// Implementations of the interfaces to the platform.
#[derive(Clone, Debug)]
pub struct PlatformAdapters {
    /// Store of the configuration.
    #[debug(skip)]
    pub store: Arc<dyn ControlStore>,
    /// Platform-specific HTTP headers.
    #[debug(skip)]
    pub dialect: Arc<dyn Dialect>,
    /// Protocol of check-ins.
    #[debug(skip)]
    pub check_ins: Arc<dyn CheckInProtocol>,
    /// Clock of the daemon.
    #[debug(skip)]
    pub clock: Arc<dyn Clock>,
}

/// Running daemon, one on each VM.
#[derive(Debug)]
pub struct Node {
    kernel: Kernel,
    /// Set when the daemon starts to shut down; each caller connection then closes after its next
    /// response.
    draining: watch::Sender<bool>,
    stage: watch::Sender<ShutdownStage>,
    grace_period: Duration,
    shutdown_delay: Duration,
}

impl Node {
    /// Binds the sockets and starts all services.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if an address cannot be bound.
    pub fn start(settings: NodeSettings, adapters: PlatformAdapters) -> Result<Self> {
        let sockets = Sockets::bind(&settings.listen)?;
        let (draining, drain_receiver) = watch::channel(false);
        let (stage, stage_receiver) = watch::channel(ShutdownStage::default());
        let grace_period = settings.grace_period;
        let longest_delay = grace_period.mul_f64(MAX_DELAY_FRACTION);
        let shutdown_delay = settings.shutdown_delay.min(longest_delay);
        log::info!(event = "started", vm = settings.vm.as_str(), service = settings.service.as_str(), domain = settings.domain.as_str(), peers:% = settings.listen.peers; "daemon started");
        let seed = Fingerprint::of(&[
            settings.vm.as_str().as_bytes(),
            &adapters.clock.wall_time().0.to_le_bytes(),
        ]);
        let builder = NodeBuilder {
            seed: seed.0,
            settings,
            adapters,
            sockets,
            draining: drain_receiver,
            stage: stage_receiver,
        };
        Ok(Self {
            kernel: builder.build().start(),
            draining,
            stage,
            grace_period,
            shutdown_delay,
        })
    }

    /// Waits until the kernel stops, because a service failed permanently, and returns the reason.
    pub async fn wait(&mut self) -> StopReason {
        self.kernel.wait().await
    }

    /// Stops the daemon within its grace period, letting running requests finish.
    ///
    /// The daemon reports at once that it is not ready, but first continues to serve, so that a
    /// restart reduces capacity only briefly. Then it announces that it is leaving and accepts no
    /// more requests from other daemons. Finally it refuses the requests of callers. Requests that
    /// are still running near the end of the grace period are answered with an error.
    pub async fn stop(self) {
        let started = Instant::now();
        let end = started + self.grace_period.saturating_sub(EXIT_RESERVE);
        log::info!(event = "stopping", grace_ms = self.grace_period.as_millis() as u64; "daemon is stopping");
        self.notify(STATS, StatsMessage::Stopping).await;
        self.draining.send_replace(true);
        let answer_by = end - RESPONSE_RESERVE;
        self.stage.send_replace(ShutdownStage::Ending(answer_by));
        sleep_until(started + self.shutdown_delay.mul_f64(SERVING_FRACTION)).await;
        self.notify(MEMBERS, MembersMessage::Leave).await;
        // Requests running at the upstream may make calls through this daemon, so callers are
        // refused only after these requests have ended.
        let drain = timeout_at(end - CALLERS_RESERVE, self.drain_guard());
        let drained = drain.await.is_ok();
        sleep_until(started + self.shutdown_delay).await;
        self.stage.send_replace(ShutdownStage::Refusing);
        let idle = timeout_at(answer_by, self.wait_until_idle()).await;
        let idle = idle.is_ok();
        if !idle {
            self.stage.send_replace(ShutdownStage::Terminating);
            sleep_until(end).await;
        }
        // The second `Leave` announces that the daemon has stopped.
        self.notify(MEMBERS, MembersMessage::Leave).await;
        log::info!(event = "stopped", drained = drained, idle = idle, took_ms = started.elapsed().as_millis() as u64; "daemon stopped");
        self.kernel.stop(SERVICE_STOP_TIMEOUT).await;
    }

    /// Sends a message to a service; logs a failure.
    async fn notify<M: Send + 'static>(&self, name: cornelvalve_kernel::Name<M>, message: M) {
        let sent = match self.kernel.mailbox(name) {
            Ok(mailbox) => mailbox.send(message).await,
            Err(e) => Err(e),
        };
        if let Err(e) = sent {
            log::warn!(event = "stop-not-told", service = name.as_str(); "service was not notified of the shutdown: {e}");
        }
    }

    /// Drains the guard and waits until no request is running at the upstream. Returns early, and
    /// logs it, if the guard fails.
    async fn drain_guard(&self) {
        if let Ok(guard) = self.kernel.mailbox(GUARD)
            && let Err(e) = guard.ask(|reply| GuardMessage::Drain { reply }).await
        {
            log::warn!(event = "guard-not-drained"; "guard was not drained: {e}");
        }
    }

    /// Waits until no request of a caller is running, or until their number cannot be determined.
    async fn wait_until_idle(&self) {
        let Ok(stats) = self.kernel.mailbox(STATS) else {
            return;
        };
        loop {
            match activity(&stats).await {
                Some(activity) if activity.running > 0 => {}
                _ => return,
            }
            sleep(IDLE_CHECK_INTERVAL).await;
        }
    }
}

/// Returns the activity of the daemon; `None` if the stats service does not answer in time.
async fn activity(stats: &Mailbox<StatsMessage>) -> Option<Activity> {
    let answer = stats.ask(|reply| StatsMessage::Activity { reply });
    timeout(IDLE_CHECK_INTERVAL, answer).await.ok()?.ok()
}

/// Bound sockets, which stay open when the services that use them restart.
struct Sockets {
    callers: Arc<TcpListener>,
    check_ins: Arc<TcpListener>,
    ready: Arc<TcpListener>,
    metrics: Arc<TcpListener>,
    peers: Arc<TcpListener>,
    members: Arc<UdpSocket>,
    notices: Arc<UdpSocket>,
}

impl Sockets {
    fn bind(listen: &Listen) -> Result<Self> {
        let notices = SocketAddr::new(
            listen.peers.ip(),
            listen.peers.port().saturating_add(NOTICES_PORT_OFFSET),
        );
        Ok(Self {
            callers: bind_tcp("callers", listen.callers)?,
            check_ins: bind_tcp("check-ins", listen.check_ins)?,
            ready: bind_tcp("ready", listen.ready)?,
            metrics: bind_tcp("metrics", listen.metrics)?,
            peers: bind_tcp("peers", listen.peers)?,
            members: bind_udp("members", listen.peers)?,
            notices: bind_udp("notices", notices)?,
        })
    }
}

fn bind_tcp(listener: &'static str, addr: SocketAddr) -> Result<Arc<TcpListener>> {
    let bound = bind(addr).map_err(|source| StartError {
        listener,
        addr,
        source,
    })?;
    Ok(Arc::new(bound))
}

fn bind_udp(listener: &'static str, addr: SocketAddr) -> Result<Arc<UdpSocket>> {
    let bound = UdpSocket::bind(addr).and_then(|s| s.set_nonblocking(true).map(|()| s));
    let bound = bound.map_err(|source| StartError {
        listener,
        addr,
        source,
    })?;
    Ok(Arc::new(bound))
}

/// Adds all services of the daemon to a kernel.
struct NodeBuilder {
    settings: NodeSettings,
    adapters: PlatformAdapters,
    sockets: Sockets,
    draining: watch::Receiver<bool>,
    stage: watch::Receiver<ShutdownStage>,
    /// Seed of random choices, different in each daemon.
    seed: u64,
}

impl NodeBuilder {
    /// Returns a kernel builder with all services added.
    fn build(&self) -> KernelBuilder {
        let limits = Arc::new(watch::channel(CallerLimits::default()).0);
        let builder = Kernel::builder(Arc::clone(&self.adapters.clock));
        let builder = self.add_stats_and_pools(builder, Arc::clone(&limits));
        let builder = self.add_control_plane(builder);
        let builder = self.add_request_path(builder);
        self.add_listeners(builder, &limits)
    }

    fn connector() -> Connector {
        Connector {
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
        builder
            .add_service(STATS, options, move |context| {
                stats::run_stats(context, Arc::clone(&limits))
            })
            .add_service(UPSTREAM_POOL, options, |context| {
                pool::run_pool(context, UPSTREAM_POOL)
            })
            .add_service(PEER_POOL, options, |context| {
                pool::run_pool(context, PEER_POOL)
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
                run_control(context, Arc::clone(&control_store), CONTROL_TIMEOUTS)
            })
            .add_service(DISCOVERY, options, move |context| {
                run_discovery(
                    context,
                    Arc::clone(&discovery_store),
                    record.clone(),
                    bootstrap,
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
    fn add_request_path(&self, builder: KernelBuilder) -> KernelBuilder {
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
                monitor::run_monitor(context, Arc::clone(&dialect), Self::connector())
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
    ) -> KernelBuilder {
        let options = ServiceOptions::default();
        let sockets = &self.sockets;
        let (ready_socket, metrics) = (Arc::clone(&sockets.ready), Arc::clone(&sockets.metrics));
        let check_ins = Arc::clone(&sockets.check_ins);
        let protocol = Arc::clone(&self.adapters.check_ins);
        let peers = Arc::clone(&sockets.peers);
        let peer_runner = RunnerBuilder::new(&self.adapters);
        let entry_runner = peer_runner.clone();
        let callers = Arc::clone(&sockets.callers);
        let (limits, draining) = (limits.subscribe(), self.draining.clone());
        let stage = self.stage.clone();
        let own_service = self.settings.service.clone();
        builder
            .add_service(READY, options, move |context| {
                ready::run_ready(context, Arc::clone(&ready_socket), LOCAL_TIMEOUTS)
            })
            .add_service(METRICS, options, move |context| {
                ready::run_ready(context, Arc::clone(&metrics), LOCAL_TIMEOUTS)
            })
            .add_service(CHECK_INS, options, move |context| {
                let (listener, protocol) = (Arc::clone(&check_ins), Arc::clone(&protocol));
                check_ins::run_check_ins(context, listener, LOCAL_TIMEOUTS, protocol)
            })
            .add_service(PEERS, options, move |context| {
                let (listener, runner) = (Arc::clone(&peers), peer_runner.clone());
                async move {
                    let runner = runner.build(&context)?;
                    peers::run_peers(context, listener, PEER_TIMEOUTS, runner).await
                }
            })
            .add_service(ENTRY, options, move |context| {
                let (listener, runner) = (Arc::clone(&callers), entry_runner.clone());
                let (limits, draining) = (limits.clone(), draining.clone());
                let stage = stage.clone();
                let own_service = own_service.clone();
                async move {
                    let dependencies = EntryDependencies {
                        listener,
                        timeouts: LOCAL_TIMEOUTS,
                        limits,
                        draining,
                        stage,
                        connector: Self::connector(),
                        own_service,
                        runner: runner.build(&context)?,
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
}

impl RunnerBuilder {
    fn new(adapters: &PlatformAdapters) -> Self {
        Self {
            dialect: Arc::clone(&adapters.dialect),
            clock: Arc::clone(&adapters.clock),
        }
    }

    /// Returns a runner for the service with this context.
    ///
    /// # Errors
    ///
    /// Returns the kernel's error if the guard or the upstream pool has no mailbox.
    fn build<M>(
        &self,
        context: &cornelvalve_kernel::Context<M>,
    ) -> cornelvalve_kernel::Result<Runner> {
        Ok(Runner {
            guard: context.registry.mailbox(GUARD)?,
            pool: context.registry.mailbox(UPSTREAM_POOL)?,
            dialect: Arc::clone(&self.dialect),
            clock: Arc::clone(&self.clock),
            connector: NodeBuilder::connector(),
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
