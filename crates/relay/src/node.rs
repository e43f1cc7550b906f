//! Assembly of the daemon: binds the sockets, starts the services and stops them in order.

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
use crate::entry::{EntryParts, run_entry};
use crate::guard::{GuardSettings, run_guard};
use crate::members::run_members;
use crate::messages::{Activity, GuardMessage, MembersMessage, StatsMessage, StopStage};
use crate::names::{
    CHECK_INS, CONTROL, DISCOVERY, ENTRY, GUARD, MEMBERS, METRICS, MONITOR, NOTICES, PEER_POOL,
    PEERS, READY, ROUTER, STATS, UPSTREAM_POOL,
};
use crate::notices::{NOTICES_PORT_OFFSET, run_notices};
use crate::ports::{CheckInProtocol, ControlStore, Dialect, PeerRecord};
use crate::router::{Site, run_router};
use crate::runner::Runner;
use crate::{check_ins, monitor, peers, pool, ready, stats};

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, StartError>;

/// Messages that the mailboxes on the request path hold.
const REQUEST_CAPACITY: usize = 4096;

/// Time that each service gets to end.
const SERVICE_GRACE: Duration = Duration::from_millis(200);

/// Period of the question whether a stopping daemon is idle.
const IDLE_CHECK: Duration = Duration::from_millis(50);

/// Part of the notice time in which a stopping daemon serves as before.
const SERVING_SHARE: f64 = 0.75;

/// Time that a stopping daemon keeps for the last requests of callers after its guard has drained.
const CALLERS_TIME: Duration = Duration::from_millis(1200);

/// Time that a stopping daemon keeps for answers to requests that still run at its end.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Part of the grace time that is kept for the end itself.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Largest response that is held; larger ones fail.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Largest response head in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;

/// Time-outs towards processes of the same VM.
const LOCAL_TIMEOUTS: SocketTimeouts = SocketTimeouts {
    connect: Duration::from_millis(500),
    unacknowledged: Duration::from_secs(2),
    keepalive: Duration::from_secs(2),
};

/// Time-outs towards other daemons. A lost first packet is sent again after a second, so a longer
/// wait for a connection would rarely help a request.
const PEER_TIMEOUTS: SocketTimeouts = SocketTimeouts {
    connect: Duration::from_millis(400),
    unacknowledged: Duration::from_millis(1500),
    keepalive: Duration::from_secs(1),
};

/// Reports that a daemon could not be started.
#[derive(Debug, Display, Error)]
#[display("{listener} address {addr} cannot be bound: {source}; free it or set another one")]
pub struct StartError {
    /// Which socket.
    pub listener: &'static str,
    /// The address.
    pub addr: SocketAddr,
    /// Error of the operating system.
    pub source: std::io::Error,
}

/// Addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers.
    pub callers: SocketAddr,
    /// Check-ins of the upstream.
    pub check_ins: SocketAddr,
    /// Questions whether the daemon is ready.
    pub ready: SocketAddr,
    /// Other daemons; notices use the next port.
    pub peers: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// Settings of a daemon.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: VmName,
    /// Region.
    pub region: Region,
    /// Failure domain.
    pub domain: FailureDomain,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Time from the request to stop until the process is killed.
    pub grace_period: Duration,
    /// Time for which a stopping daemon stays at least, so that callers notice that it is not
    /// ready.
    pub shutdown_delay: Duration,
    /// Whether the whole system starts for the first time, so that no daemon has announced itself yet.
    pub bootstrap: bool,
    /// Common retry budget.
    pub retry_budget: RetryBudgetSettings,
    /// Starts that a cold upstream tolerates beyond its rate.
    pub cold_tolerance: ColdTolerance,
}

/// What the platform supplies.
#[derive(Clone, Debug)]
pub struct PlatformAdapters {
    /// Store.
    #[debug(skip)]
    pub store: Arc<dyn ControlStore>,
    /// Dialect of HTTP.
    #[debug(skip)]
    pub dialect: Arc<dyn Dialect>,
    /// Form of check-ins.
    #[debug(skip)]
    pub check_ins: Arc<dyn CheckInProtocol>,
    /// Source of time.
    #[debug(skip)]
    pub clock: Arc<dyn Clock>,
}

/// Running daemon.
#[derive(Debug)]
pub struct Node {
    kernel: Kernel,
    draining: watch::Sender<bool>,
    stage: watch::Sender<StopStage>,
    grace_period: Duration,
    shutdown_delay: Duration,
}

impl Node {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if an address cannot be bound.
    pub fn start(settings: NodeSettings, parts: PlatformAdapters) -> Result<Self> {
        let sockets = Sockets::bind(&settings.listen)?;
        let (draining, drain_receiver) = watch::channel(false);
        let (stage, stage_receiver) = watch::channel(StopStage::default());
        let (grace_period, shutdown_delay) = (settings.grace_period, settings.shutdown_delay);
        log::info!(event = "started", vm = settings.vm.as_str(), service = settings.service.as_str(), domain = settings.domain.as_str(), peers:% = settings.listen.peers; "daemon started");
        let seed = Fingerprint::of(&[
            settings.vm.as_str().as_bytes(),
            &parts.clock.wall_time().0.to_le_bytes(),
        ]);
        let assembly = Assembly {
            seed: seed.0,
            settings,
            parts,
            sockets,
            draining: drain_receiver,
            stage: stage_receiver,
        };
        Ok(Self {
            kernel: assembly.build().start(),
            draining,
            stage,
            grace_period,
            shutdown_delay,
        })
    }

    /// Waits until a service fails for good.
    pub async fn wait(&mut self) -> StopReason {
        self.kernel.wait().await
    }

    /// Stops the daemon without interrupting requests, within its grace time.
    ///
    /// It serves on until its callers have had most of the time to notice, so that a restart takes
    /// little capacity away; then it takes nothing more from other daemons, and at last nothing more
    /// from callers.
    pub async fn stop(self) {
        let begun = Instant::now();
        let end = begun + self.grace_period.saturating_sub(STOP_MARGIN);
        log::info!(event = "stopping", grace_ms = self.grace_period.as_millis() as u64; "daemon stops");
        self.tell(STATS, StatsMessage::Stopping).await;
        self.draining.send_replace(true);
        sleep_until(begun + self.shutdown_delay.mul_f64(SERVING_SHARE)).await;
        self.tell(MEMBERS, MembersMessage::Leave).await;
        // What runs beside the daemon may still make calls of its own, so callers are refused only
        // after it has ended.
        let drained = timeout_at(end - CALLERS_TIME, self.drain_guard());
        let drained = drained.await.is_ok();
        sleep_until(begun + self.shutdown_delay).await;
        self.stage.send_replace(StopStage::Refusing);
        let idle = timeout_at(end - ANSWER_TIME, self.wait_until_idle()).await;
        let idle = idle.is_ok();
        if !idle {
            self.stage.send_replace(StopStage::Ending);
            sleep_until(end).await;
        }
        self.tell(MEMBERS, MembersMessage::Leave).await;
        log::info!(event = "stopped", drained = drained, idle = idle, took_ms = begun.elapsed().as_millis() as u64; "daemon stopped");
        self.kernel.stop(SERVICE_GRACE).await;
    }

    async fn tell<M: Send + 'static>(&self, name: cornelvalve_kernel::Name<M>, message: M) {
        let sent = match self.kernel.mailbox(name) {
            Ok(mailbox) => mailbox.send(message).await,
            Err(e) => Err(e),
        };
        if let Err(e) = sent {
            log::warn!(event = "stop-not-told", service = name.as_str(); "{e}");
        }
    }

    async fn drain_guard(&self) {
        if let Ok(guard) = self.kernel.mailbox(GUARD)
            && let Err(e) = guard.ask(|reply| GuardMessage::Drain { reply }).await
        {
            log::warn!(event = "guard-not-drained"; "{e}");
        }
    }

    /// Waits until no request of a caller runs.
    async fn wait_until_idle(&self) {
        let Ok(stats) = self.kernel.mailbox(STATS) else {
            return;
        };
        loop {
            match activity(&stats).await {
                Some(activity) if activity.running > 0 => {}
                _ => return,
            }
            sleep(IDLE_CHECK).await;
        }
    }
}

async fn activity(stats: &Mailbox<StatsMessage>) -> Option<Activity> {
    let asked = stats.ask(|reply| StatsMessage::Activity { reply });
    timeout(IDLE_CHECK, asked).await.ok()?.ok()
}

/// Bound sockets, kept across restarts of the services that use them.
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

/// Everything that the services are built from.
struct Assembly {
    settings: NodeSettings,
    parts: PlatformAdapters,
    sockets: Sockets,
    draining: watch::Receiver<bool>,
    stage: watch::Receiver<StopStage>,
    /// Seed of random choices, another one in each daemon.
    seed: u64,
}

impl Assembly {
    fn build(&self) -> KernelBuilder {
        let limits = Arc::new(watch::channel(CallerLimits::default()).0);
        let builder = Kernel::builder(Arc::clone(&self.parts.clock));
        let builder = self.add_leaves(builder, Arc::clone(&limits));
        let builder = self.add_control(builder);
        let builder = self.add_request_path(builder);
        self.add_listeners(builder, &limits)
    }

    fn links() -> Connector {
        Connector {
            upstream: LOCAL_TIMEOUTS,
            peers: PEER_TIMEOUTS,
            responses: DecodeLimits {
                head_bytes: MAX_RESPONSE_HEAD_BYTES,
                body_bytes: MAX_RESPONSE_BYTES,
            },
        }
    }

    fn own_member(&self) -> Member {
        let NodeSettings {
            vm, region, domain, ..
        } = &self.settings;
        let listen = &self.settings.listen;
        Member {
            vm: vm.clone(),
            key: MemberKey {
                // A process that starts later on the same VM has a larger number.
                incarnation: Incarnation(self.parts.clock.wall_time().0),
                version: 0,
            },
            region: region.clone(),
            domain: domain.clone(),
            peer_addr: listen.peers,
            caller_addr: listen.callers,
            operator_addr: listen.peers,
            state: MemberState::Alive,
            upstreams: SmallVec::new(),
        }
    }

    /// Adds the services that send to no other one.
    fn add_leaves(
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

    fn add_control(&self, builder: KernelBuilder) -> KernelBuilder {
        let options = ServiceOptions::default();
        let own = self.own_member();
        let seed = self.seed;
        let record = PeerRecord {
            vm: own.vm.clone(),
            addr: own.peer_addr,
        };
        let first_start = self.settings.bootstrap;
        let control_store = Arc::clone(&self.parts.store);
        let discovery_store = Arc::clone(&self.parts.store);
        let members = Arc::clone(&self.sockets.members);
        let notices = Arc::clone(&self.sockets.notices);
        let (region, port) = (own.region.clone(), own.peer_addr.port());
        builder
            .add_service(CONTROL, options, move |context| {
                run_control(context, Arc::clone(&control_store), PEER_TIMEOUTS)
            })
            .add_service(DISCOVERY, options, move |context| {
                run_discovery(
                    context,
                    Arc::clone(&discovery_store),
                    record.clone(),
                    first_start,
                )
            })
            .add_service(MEMBERS, options, move |context| {
                run_members(context, Arc::clone(&members), own.clone(), seed)
            })
            .add_service(NOTICES, options, move |context| {
                run_notices(context, Arc::clone(&notices), region.clone(), port, seed)
            })
    }

    fn add_request_path(&self, builder: KernelBuilder) -> KernelBuilder {
        let settings = &self.settings;
        let guard = GuardSettings {
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            service: settings.service.clone(),
            addr: settings.upstream,
            tolerance: settings.cold_tolerance,
        };
        let site = Site {
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            addr: settings.listen.peers,
        };
        let (retries, seed) = (settings.retry_budget, self.seed);
        let dialect = Arc::clone(&self.parts.dialect);
        // A guard that restarts would forget what runs at the upstream and what it has confirmed.
        let guard_options = ServiceOptions {
            on_failure: OnFailure::StopProcess,
            ..request_options()
        };
        builder
            .add_service(GUARD, guard_options, move |context| {
                run_guard(context, guard.clone())
            })
            .add_service(MONITOR, ServiceOptions::default(), move |context| {
                monitor::run_monitor(context, Arc::clone(&dialect), Self::links())
            })
            .add_service(ROUTER, request_options(), move |context| {
                run_router(context, site.clone(), retries, seed)
            })
    }

    fn add_listeners(
        &self,
        builder: KernelBuilder,
        limits: &Arc<watch::Sender<CallerLimits>>,
    ) -> KernelBuilder {
        let options = ServiceOptions::default();
        let sockets = &self.sockets;
        let (ready_socket, metrics) = (Arc::clone(&sockets.ready), Arc::clone(&sockets.metrics));
        let check_ins = Arc::clone(&sockets.check_ins);
        let form = Arc::clone(&self.parts.check_ins);
        let peers = Arc::clone(&sockets.peers);
        let peer_runner = RunnerParts::of(&self.parts);
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
                let (listener, form) = (Arc::clone(&check_ins), Arc::clone(&form));
                check_ins::run_check_ins(context, listener, LOCAL_TIMEOUTS, form)
            })
            .add_service(PEERS, options, move |context| {
                let (listener, runner) = (Arc::clone(&peers), peer_runner.clone());
                async move {
                    let runner = runner.runner(&context)?;
                    peers::run_peers(context, listener, PEER_TIMEOUTS, runner).await
                }
            })
            .add_service(ENTRY, options, move |context| {
                let (listener, runner) = (Arc::clone(&callers), entry_runner.clone());
                let (limits, draining) = (limits.clone(), draining.clone());
                let stage = stage.clone();
                let own_service = own_service.clone();
                async move {
                    let parts = EntryParts {
                        listener,
                        timeouts: LOCAL_TIMEOUTS,
                        limits,
                        draining,
                        stage,
                        links: Self::links(),
                        own_service,
                        runner: runner.runner(&context)?,
                    };
                    run_entry(context, parts).await
                }
            })
    }
}

/// What a runner is built from besides the services behind it.
#[derive(Clone)]
struct RunnerParts {
    dialect: Arc<dyn Dialect>,
    clock: Arc<dyn Clock>,
}

impl RunnerParts {
    fn of(parts: &PlatformAdapters) -> Self {
        Self {
            dialect: Arc::clone(&parts.dialect),
            clock: Arc::clone(&parts.clock),
        }
    }

    fn runner<M>(
        &self,
        context: &cornelvalve_kernel::Context<M>,
    ) -> cornelvalve_kernel::Result<Runner> {
        Ok(Runner {
            guard: context.registry.mailbox(GUARD)?,
            pool: context.registry.mailbox(UPSTREAM_POOL)?,
            dialect: Arc::clone(&self.dialect),
            clock: Arc::clone(&self.clock),
            links: Assembly::links(),
        })
    }
}

fn request_options() -> ServiceOptions {
    ServiceOptions {
        capacity: REQUEST_CAPACITY,
        on_failure: OnFailure::Restart,
    }
}
