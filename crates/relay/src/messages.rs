//! Message types that the services of the daemon send to each other.

mod guard;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{CompletionSender, ReplySender, Tick};
use cornelvalve_model::{
    ConfigRevision, Fingerprint, Member, Moment, Region, ServiceName, StoreEra, Upstream, VmName,
};
use cornelvalve_policy::{
    LoadReport, MemoryClaim, MemoryUse, SharedSuspect, TargetOutcome, WorkKey,
};
use smallvec::SmallVec;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::desired::changes::StateId;
use crate::desired::{CallerLimits, ControlView, RouteSpec, Version};
use crate::hop::ControlUpdate;
use crate::limits::ConnectionKind;
use crate::memory::MemoryReservation;
use crate::pool::{Checkout, Lease};
use crate::ports::{Cause, PeerAddrs};

pub(crate) use guard::{
    AdmissionDecision, AdmissionRequest, GuardMessage, Permit, PermitOutcome, PermitReport,
};

/// Retry delay sent with a refusal when it is unknown when the upstream will have capacity.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Messages to a listener service. There are none, because a listener only accepts connections, but
/// the kernel requires a message type for each service.
#[derive(Debug)]
pub(crate) enum ListenerMessage {}

/// Messages to the memory service.
#[derive(Debug)]
pub(crate) enum MemoryMessage {
    /// Claims memory for a message.
    Claim {
        /// The claim.
        claim: MemoryClaim,
        /// Receives the memory; `None` if there is no room.
        reply: ReplySender<Option<MemoryReservation>>,
    },
}

/// Messages to the control service, which follows the configuration in the store.
///
/// A [`ControlView`] is the configuration known at one moment: the latest desired state (routes,
/// services and limits) and the failure domains out of service.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// A read from the store has finished.
    Read {
        /// Number of the read.
        number: u64,
        /// Its result.
        result: Box<crate::control::StoreRead>,
    },
    /// A fetch from a peer has ended.
    FetchEnded {
        /// Address of the peer.
        addr: SocketAddr,
        /// What this daemon lacks of the peer's configuration; `None` if the fetch failed.
        update: Option<Box<ControlUpdate>>,
    },
    /// A peer may have a later configuration than this daemon.
    PeerAhead {
        /// Address of the peer.
        addr: SocketAddr,
        /// Revision of the peer's configuration.
        revision: ConfigRevision,
        /// Whether the peer is in the region of this daemon.
        local: bool,
    },
    /// A peer sent the latest change of its configuration.
    Notice {
        /// Address of the peer.
        addr: SocketAddr,
        /// The change.
        update: Box<ControlUpdate>,
    },
    /// Whether this daemon is one of those that follow the store.
    Reader(bool),
    /// Asks for the current view of the configuration.
    View {
        /// Receives the view.
        reply: ReplySender<Arc<ControlView>>,
    },
    /// Asks for what a daemon lacks that has the desired state `base`, or none.
    UpdateFrom {
        /// State that the other daemon has.
        base: Option<StateId>,
        /// Receives the update.
        reply: ReplySender<ControlUpdate>,
    },
    /// Requests that the current view be sent to all services again.
    Republish,
}

/// Messages to the discovery service, which announces this daemon in the store.
#[derive(Debug)]
pub(crate) enum DiscoveryMessage {
    /// Number of other daemons that accept requests, at least one.
    Peers(u64),
    /// The store has started this era.
    StoreEra(StoreEra),
}

/// Messages to the membership service.
#[derive(Debug)]
pub(crate) enum MembersMessage {
    /// Current state of the upstream beside this daemon; empty if there is none.
    Upstreams(SmallVec<[Upstream; 1]>),
    /// Revision of the configuration that this daemon has in force.
    ConfigurationApplied(ConfigRevision),
    /// Addresses of daemons found in the store, through which to join the others.
    Seeds(PeerAddrs),
    /// This daemon is leaving. It is sent again when the daemon has stopped.
    Leave,
    /// Requests that all members be sent to the router again, and the role of this daemon to the
    /// control service.
    Republish,
    /// Periodic tick.
    Tick,
}

/// Messages to the service that sends notices: UDP datagrams that tell other daemons the load of
/// the upstream, the requests that may have crashed it, and small changes of the configuration.
#[derive(Debug)]
pub(crate) enum NoticesMessage {
    /// The load of the upstream changed enough for the other daemons of the region to be notified.
    Load(LoadReport),
    /// Requests that may have crashed the upstream.
    CrashSuspects(Vec<SharedSuspect>),
    /// The latest change of the configuration, which is sent unless it is too large.
    Control(Box<ControlUpdate>),
    /// All other daemons that accept requests, replacing the previous list.
    Recipients(Vec<Recipient>),
}

/// Daemon that receives notices.
#[derive(Clone, Debug)]
pub(crate) struct Recipient {
    /// Address on which the daemon listens for other daemons.
    pub(crate) addr: SocketAddr,
    /// Region of the daemon.
    pub(crate) region: Region,
}

/// Route and service of a request, resolved once and used for all its attempts.
#[derive(Debug)]
pub(crate) struct ResolvedRoute {
    /// Route that matched the request.
    pub(crate) route: Arc<RouteSpec>,
    /// Service chosen among those of the route.
    pub(crate) service: ServiceName,
    /// Version of the desired state that the route was taken from.
    pub(crate) version: Version,
    /// Key under which the cost of the route's requests is learned.
    pub(crate) work: WorkKey,
}

/// Returns the key under which the cost of a route's requests is learned: a hash of its name.
pub(crate) fn work_key(route: &str) -> WorkKey {
    WorkKey(Fingerprint::of(&[route.as_bytes()]).0)
}

/// Names of a few VMs.
pub(crate) type VmNames = SmallVec<[VmName; 4]>;

/// Asks the router for an upstream for one attempt.
#[derive(Clone, Debug)]
pub(crate) struct SelectionQuery {
    /// Route and service of the request.
    pub(crate) resolved: Arc<ResolvedRoute>,
    /// VMs that are not selected again, because they refused or failed the request.
    pub(crate) tried: VmNames,
    /// VMs whose daemons handed the request back unrun, because another upstream was expected to
    /// finish it sooner.
    pub(crate) handed_back: VmNames,
    /// Whether the request has reached an upstream before, so that this attempt takes from the
    /// retry budget.
    pub(crate) is_retry: bool,
    /// For a hedge, the time within which it must be expected to finish; `None` for any other
    /// attempt.
    pub(crate) hedge_within: Option<Duration>,
    /// Whether the daemon of the selected upstream must queue the request instead of handing it
    /// back.
    pub(crate) must_queue: bool,
    /// Size of the request body in bytes.
    pub(crate) body_bytes: usize,
    /// Time left until the caller must be answered.
    pub(crate) time_left: Duration,
}

/// Upstream selected for one attempt.
#[derive(Debug)]
pub(crate) struct SelectedUpstream {
    /// VM of the upstream.
    pub(crate) vm: VmName,
    /// Address of the daemon beside it; `None` for the upstream beside this daemon.
    pub(crate) addr: Option<SocketAddr>,
    /// Time within which that daemon must acknowledge that it has received the request.
    pub(crate) ack_timeout: Duration,
    /// Expected time until the request would finish at the next best upstream. The guard hands the
    /// request back if it expects to finish it clearly later than that; `None` forbids this.
    pub(crate) expected_elsewhere: Option<Duration>,
    /// Time for the request and its response to cross the network.
    pub(crate) round_trip: Duration,
    /// Expected time until the request finishes.
    pub(crate) expected: Duration,
    /// Duration of such requests while the upstream is not slowed down.
    pub(crate) baseline: Duration,
    /// Set once that daemon has acknowledged the request.
    pub(crate) acknowledged: watch::Sender<bool>,
    /// Reports the outcome of the attempt to the router. If it is dropped without a report, it
    /// sends a default one, at first that the outcome is inconclusive.
    pub(crate) report: CompletionSender<AttemptReport>,
}

/// Outcome of an attempt at a selected upstream.
#[derive(Clone, Debug)]
pub(crate) struct AttemptReport {
    /// VM of the upstream.
    pub(crate) vm: VmName,
    /// Outcome as far as the upstream is concerned.
    pub(crate) outcome: TargetOutcome,
    /// Load of the upstream that came with the response.
    pub(crate) load: Option<LoadReport>,
    /// Cost of the request if it was served.
    pub(crate) cost: Option<CostSample>,
}

impl AttemptReport {
    /// Creates the report of an attempt that returned no load information.
    pub(crate) fn without_load(vm: VmName, outcome: TargetOutcome) -> Self {
        Self {
            vm,
            outcome,
            load: None,
            cost: None,
        }
    }
}

/// Cost of one served request, from which the router learns the cost of the route's requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostSample {
    /// Key under which the cost is learned.
    pub(crate) work: WorkKey,
    /// Duration of such requests while the upstream is not slowed down, as estimated by the daemon
    /// that served the request.
    pub(crate) baseline: Duration,
    /// Size of the response body in bytes.
    pub(crate) body_bytes: usize,
}

/// Messages to the router.
#[derive(Debug)]
pub(crate) enum RouterMessage {
    /// Resolves the route of a request.
    ResolveRoute {
        /// Value of the `Host` header.
        host: Box<str>,
        /// Request target.
        target: Box<str>,
        /// Receives the route, or the reason why the request has none.
        reply: ReplySender<Result<Arc<ResolvedRoute>, Cause>>,
    },
    /// Selects an upstream for an attempt.
    SelectUpstream {
        /// Constraints on the selection.
        query: Box<SelectionQuery>,
        /// Receives the upstream, or the reason why none can be used.
        reply: ReplySender<Result<SelectedUpstream, Cause>>,
    },
    /// Members were added, changed or removed.
    Members {
        /// Current records of the added and changed members.
        members: Vec<Member>,
        /// VMs that are no longer members.
        removed: Vec<VmName>,
    },
    /// Another daemon reported the load of its upstream.
    PeerLoad {
        /// Address on which that daemon listens for other daemons.
        addr: SocketAddr,
        /// Reported load.
        load: LoadReport,
    },
    /// The load of the upstream beside this daemon changed.
    LocalLoad {
        /// Current load.
        load: LoadReport,
        /// Fraction of retries among the requests that the upstream is running.
        retry_fraction: f64,
    },
    /// The configuration changed.
    Control(Arc<ControlView>),
    /// Whether a later configuration exists that this daemon does not have.
    Behind(bool),
}

/// Messages to the monitor, which probes the health of the upstream.
#[derive(Debug)]
pub(crate) enum MonitorMessage {
    /// Requests a health probe of the upstream.
    Probe {
        /// Address of the upstream.
        addr: SocketAddr,
        /// Path of the health check.
        path: Box<str>,
        /// Moment of the request, which is returned with the result.
        requested: Moment,
    },
}

/// Messages to a pool of connections.
#[derive(Debug)]
pub(crate) enum PoolMessage<C> {
    /// Takes an idle connection out of the pool, or asks to open one.
    Checkout {
        /// Remote address.
        addr: SocketAddr,
        /// Receives the answer.
        reply: ReplySender<Checkout<C>>,
    },
    /// Returns a connection to the pool after a complete exchange.
    Return {
        /// Remote address.
        addr: SocketAddr,
        /// The connection.
        connection: Lease<C>,
        /// Time for which the connection may stay idle.
        idle_for: Duration,
    },
    /// Periodic tick.
    Tick(Tick),
}

/// Where a part of the configuration was read.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub(crate) enum ControlSource {
    /// The platform's store.
    #[display("store")]
    Store,
    /// Another daemon.
    #[display("peer")]
    Peer,
}

/// Messages to the stats service.
#[derive(Debug)]
pub(crate) enum StatsMessage {
    /// A request of a caller has finished.
    RequestFinished(RequestRecord),
    /// There was no memory for a message.
    MemoryRefused(MemoryUse),
    /// There were too many connections of this kind for a further one.
    ConnectionRefused(ConnectionKind),
    /// Asks for the metrics in the text format of Prometheus.
    Scrape {
        /// Receives the text.
        reply: ReplySender<String>,
    },
    /// Asks whether the daemon is ready.
    Ready {
        /// Receives the answer.
        reply: ReplySender<bool>,
    },
    /// The configuration changed.
    Control(Arc<ControlView>),
    /// Requests per second that the upstream accepts; `None` if it names no limit.
    UpstreamLimit(Option<f64>),
    /// Whether a later configuration exists that this daemon does not have.
    Behind(bool),
    /// A read of the configuration has ended.
    ControlRead {
        /// Where it was read.
        source: ControlSource,
        /// Whether the read succeeded.
        ok: bool,
    },
    /// Number of daemons that accept requests, including this one.
    MemberCount(u64),
    /// The daemon is stopping and no longer ready.
    Stopping,
    /// Asks how many requests of callers are running.
    Activity {
        /// Receives the number.
        reply: ReplySender<Activity>,
    },
    /// A request of a caller has started.
    RequestStarted,
    /// A request was admitted to an upstream while it was cold.
    ColdStart {
        /// Whether the number of requests per second that the upstream can handle was known.
        rate_known: bool,
    },
}

/// Stage of the daemon's shutdown, as it concerns the requests of callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownStage {
    /// Requests are served.
    #[default]
    Serving,
    /// Requests are served that can be answered by this moment.
    Ending(Instant),
    /// New requests are refused.
    Refusing,
    /// Requests that are still running are answered with an error at once.
    Terminating,
}

/// How busy the listener for callers is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Activity {
    /// Number of requests that are running.
    pub(crate) running: u64,
}

/// Statistics of one finished request of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestRecord {
    /// How the request ended.
    pub(crate) outcome: RequestOutcome,
    /// Time from the arrival of the complete request until its response was ready.
    pub(crate) latency: Duration,
    /// Number of attempts that reached an upstream.
    pub(crate) upstream_attempts: u32,
    /// Number of times that a daemon handed the request back because another upstream was expected
    /// to finish it sooner.
    pub(crate) hand_backs: u32,
}

/// How a request of a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequestOutcome {
    /// An upstream answered successfully.
    Answered,
    /// An upstream answered with a failure status.
    Failed,
    /// The request was refused and has not run.
    Refused(Cause),
    /// The request failed and may have run.
    Unknown(Cause),
    /// The caller disconnected before the response.
    CallerDisconnected,
}

/// Receives the limits on callers that are in force.
pub(crate) type LimitsReceiver = watch::Receiver<CallerLimits>;
