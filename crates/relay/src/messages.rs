//! Messages of the services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{CompletionSender, ReplySender, Tick};
use cornelvalve_model::{
    Fingerprint, Member, Moment, Region, Revision, ServiceName, Upstream, VmName,
};
use cornelvalve_policy::{
    CallResult, GateCallId, LoadReport, SharedSuspect, TargetOutcome, WorkKey,
};
use smallvec::SmallVec;
use tokio::sync::watch;

use crate::desired::{CallerLimits, ControlView, RouteSpec, Version};
use crate::ports::{Cause, CheckIn, HealthReport, PeerAddrs, UpstreamLoad};

/// Wait named with a refusal when it is not known when there will be room.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Messages to a listener: none yet, its connections are its work.
#[derive(Debug)]
pub(crate) enum ListenerMessage {}

/// Messages to the control service.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// A read of the store ended.
    Read(Box<crate::control::StoreRead>),
    /// A peer answered with its view.
    PeerView(Box<ControlView>),
    /// A peer has a later version than this daemon.
    PeerAhead {
        /// Address of the peer.
        addr: SocketAddr,
        /// Its version.
        version: Version,
    },
    /// Asks for the present view.
    View {
        /// Receives it.
        reply: ReplySender<Arc<ControlView>>,
    },
    /// Publishes the present view to all services again.
    Republish,
}

/// Messages to the discovery service.
#[derive(Debug)]
pub(crate) enum DiscoveryMessage {
    /// Other daemons are known now.
    Joined,
}

/// Messages to the membership service.
#[derive(Debug)]
pub(crate) enum MembersMessage {
    /// The upstream beside this daemon as it is now.
    Upstreams(SmallVec<[Upstream; 1]>),
    /// This daemon has applied a version.
    VersionApplied(Revision),
    /// Addresses of other daemons.
    Seeds(PeerAddrs),
    /// This daemon stops; sent again, it has stopped.
    Leave,
    /// Sends all members to the router again.
    Republish,
    /// Periodic tick.
    Tick,
}

/// Messages to the service that sends notices to other daemons.
#[derive(Debug)]
pub(crate) enum NoticesMessage {
    /// The load of the upstream changed so much that the daemons of the region should know.
    Load(LoadReport),
    /// Requests that may have crashed the upstream.
    CrashSuspects(Vec<SharedSuspect>),
    /// The other daemons that take work.
    Recipients(Vec<Recipient>),
}

/// Daemon that notices are sent to.
#[derive(Clone, Debug)]
pub(crate) struct Recipient {
    /// Its address for other daemons.
    pub(crate) addr: SocketAddr,
    /// Its region.
    pub(crate) region: Region,
}

/// Route that a request takes, as decided once for all its attempts.
#[derive(Debug)]
pub(crate) struct Plan {
    /// Route.
    pub(crate) route: RouteSpec,
    /// Service among those of the route.
    pub(crate) service: ServiceName,
    /// Version of the desired state.
    pub(crate) version: Version,
    /// Kind of work.
    pub(crate) work: WorkKey,
}

/// Returns the kind of work that the requests of a route are.
pub(crate) fn work_key(route: &str) -> WorkKey {
    WorkKey(Fingerprint::of(&[route.as_bytes()]).0)
}

/// VMs that a request need not be offered to again.
pub(crate) type Tried = SmallVec<[VmName; 4]>;

/// Asks for a place for one attempt.
#[derive(Clone, Debug)]
pub(crate) struct PlaceQuery {
    /// Route of the request.
    pub(crate) plan: Arc<Plan>,
    /// VMs where it cannot be served.
    pub(crate) tried: Tried,
    /// VMs that handed it back because another place should be faster.
    pub(crate) handed_back: Tried,
    /// Whether it has reached an upstream before, so that the retry budget must allow it.
    pub(crate) is_retry: bool,
    /// Time within which a hedge must be expected to end; `None` for any other attempt.
    pub(crate) hedge: Option<Duration>,
    /// Whether the place should keep it even if it must wait.
    pub(crate) settle: bool,
    /// Size of its body in bytes.
    pub(crate) body_bytes: usize,
}

/// Place for one attempt.
#[derive(Debug)]
pub(crate) struct Placed {
    /// VM.
    pub(crate) vm: VmName,
    /// Address of its daemon; `None` for the upstream beside this daemon.
    pub(crate) addr: Option<SocketAddr>,
    /// Time within which its daemon must confirm that it has the request.
    pub(crate) taken_within: Duration,
    /// Time after which the request would end at the next best place.
    pub(crate) expected_elsewhere: Option<Duration>,
    /// Time for the request and its answer to cross the network.
    pub(crate) round_trip: Duration,
    /// Expected time until the request ends.
    pub(crate) expected: Duration,
    /// Time that such work takes at usual speed.
    pub(crate) usual: Duration,
    /// Set once its daemon has confirmed that it has the request.
    pub(crate) sign: watch::Sender<bool>,
    /// Reports the end of the attempt.
    pub(crate) report: CompletionSender<PlaceReport>,
}

/// End of an attempt at a place.
#[derive(Clone, Debug)]
pub(crate) struct PlaceReport {
    /// VM.
    pub(crate) vm: VmName,
    /// How it ended.
    pub(crate) end: TargetOutcome,
    /// Load that the answer reported.
    pub(crate) load: Option<LoadReport>,
    /// What a served request took.
    pub(crate) served: Option<Served>,
}

impl PlaceReport {
    /// Creates the report of an attempt that brought no news of the load.
    pub(crate) fn without_load(vm: VmName, end: TargetOutcome) -> Self {
        Self {
            vm,
            end,
            load: None,
            served: None,
        }
    }
}

/// What a served request took.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Served {
    /// Kind of work.
    pub(crate) work: WorkKey,
    /// Time that such work takes there at usual speed.
    pub(crate) usual: Duration,
    /// Size of the response body in bytes.
    pub(crate) body_bytes: usize,
}

/// Messages to the router.
#[derive(Debug)]
pub(crate) enum RouterMessage {
    /// Finds the route of a request.
    Plan {
        /// Host.
        host: Box<str>,
        /// Request target.
        target: Box<str>,
        /// Receives the plan, or why there is none.
        reply: ReplySender<Result<Arc<Plan>, Cause>>,
    },
    /// Finds a place for an attempt.
    Place {
        /// What is asked.
        query: Box<PlaceQuery>,
        /// Receives the place, or why there is none.
        reply: ReplySender<Result<Placed, Cause>>,
    },
    /// Members changed.
    Members {
        /// Their records.
        members: Vec<Member>,
        /// Names of those that are no members any more.
        removed: Vec<VmName>,
    },
    /// A neighbour tells the load of its upstream.
    PeerLoad {
        /// Address of its daemon.
        addr: SocketAddr,
        /// The load.
        load: LoadReport,
    },
    /// The load of the upstream beside this daemon.
    LocalLoad {
        /// The load.
        load: LoadReport,
        /// Share of repeats among what runs.
        retry_fraction: f64,
    },
    /// What operators have decided.
    Control(Arc<ControlView>),
}

/// Call that asks for admission.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionRequest {
    /// Service that should run it.
    pub(crate) service: ServiceName,
    /// Regions in which it may be served.
    pub(crate) home_regions: SmallVec<[Region; 2]>,
    /// Kind of work.
    pub(crate) work: WorkKey,
    /// Whether the request was sent to an upstream before.
    pub(crate) is_retry: bool,
    /// Priority.
    pub(crate) priority: u8,
    /// Moment by which an answer meets the latency objective.
    pub(crate) objective: Moment,
    /// Moment after which nobody waits for the answer.
    pub(crate) deadline: Moment,
    /// Time after which it would end at the next best place.
    pub(crate) expected_elsewhere: Option<Duration>,
    /// What makes another request the same, in case it crashes its upstream.
    pub(crate) fingerprint: Fingerprint,
}

/// Answer to a call for admission.
#[derive(Debug)]
pub(crate) enum AdmissionDecision {
    /// The call may run.
    Admitted(Permit),
    /// The call does not run.
    Refused {
        /// Why.
        cause: Cause,
        /// Time after which there is expected to be room.
        retry_after: Duration,
        /// Load of the upstream.
        load: Option<LoadReport>,
    },
}

/// Right to send one request to the upstream.
#[derive(Debug)]
pub(crate) struct Permit {
    /// Address of the upstream.
    pub(crate) addr: SocketAddr,
    /// Identifier of the process that should run it.
    pub(crate) instance: Option<Arc<str>>,
    /// How many times longer than usual work takes there, as last reported.
    pub(crate) slowdown: f64,
    /// Reports the end.
    pub(crate) report: CompletionSender<PermitReport>,
    /// Identifies the permit.
    pub(crate) id: GateCallId,
}

/// End of a permitted request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitReport {
    /// Identifies the permit.
    pub(crate) id: GateCallId,
    /// How it ended.
    pub(crate) outcome: PermitOutcome,
    /// Load that the upstream reported.
    pub(crate) load: Option<UpstreamLoad>,
}

/// How a permitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PermitOutcome {
    /// The upstream answered.
    Answered,
    /// The upstream answered with a failure.
    Failed,
    /// The upstream refused to run it.
    Refused,
    /// Another process has the upstream's address.
    OtherInstance,
    /// The upstream took no connection.
    Unreachable,
    /// The connection or the answer failed.
    Lost,
    /// Nobody waits for it any more.
    Cancelled,
}

impl PermitOutcome {
    /// Returns what the end says about the upstream; `None` if nothing.
    pub(crate) fn call_result(self) -> Option<CallResult> {
        match self {
            Self::Answered => Some(CallResult::Succeeded),
            Self::Failed | Self::Lost => Some(CallResult::Failed),
            Self::Refused => Some(CallResult::Refused),
            Self::OtherInstance | Self::Unreachable | Self::Cancelled => None,
        }
    }
}

/// Messages to the guard.
#[derive(Debug)]
pub(crate) enum GuardMessage {
    /// Asks for admission.
    Admit {
        /// The call.
        call: Box<AdmissionRequest>,
        /// Receives the answer, possibly after a wait.
        reply: ReplySender<AdmissionDecision>,
    },
    /// The upstream checked in; the reply tells that the guard acts on it.
    CheckIn {
        /// The check-in.
        check_in: Box<CheckIn>,
        /// Receives the confirmation.
        reply: ReplySender<()>,
    },
    /// The health path answered, or could not be reached.
    Health(Option<HealthReport>),
    /// What operators have decided.
    Control(Arc<ControlView>),
    /// Takes nothing new; replies when nothing runs.
    Drain {
        /// Receives the end of the drain.
        reply: ReplySender<()>,
    },
    /// Another daemon tells of requests that may have crashed its upstream.
    CrashSuspects(Vec<SharedSuspect>),
    /// Asks for the present load.
    Load {
        /// Kind of work.
        work: WorkKey,
        /// Receives the load, `None` without an upstream, and the time that the work takes at usual
        /// speed.
        reply: ReplySender<(Option<LoadReport>, Duration)>,
    },
}

/// Messages to the monitor.
#[derive(Debug)]
pub(crate) enum MonitorMessage {
    /// Asks the upstream's health path now.
    Probe {
        /// Address of the upstream.
        addr: SocketAddr,
        /// Path.
        path: Box<str>,
    },
}

/// Messages to a pool of idle connections.
#[derive(Debug)]
pub(crate) enum PoolMessage<C> {
    /// Asks for an idle connection.
    Checkout {
        /// Address.
        addr: SocketAddr,
        /// Receives it; `None` if there is none.
        reply: ReplySender<Option<C>>,
    },
    /// Hands back a connection whose exchange ended cleanly.
    Return {
        /// Address.
        addr: SocketAddr,
        /// The connection.
        connection: C,
        /// Time for which it may stay idle.
        idle_for: Duration,
    },
    /// Periodic tick.
    Tick(Tick),
}

/// Messages to the counting service.
#[derive(Debug)]
pub(crate) enum StatsMessage {
    /// A request of a caller ended.
    RequestFinished(RequestRecord),
    /// Asks for the metrics as text.
    Scrape {
        /// Receives them.
        reply: ReplySender<String>,
    },
    /// Asks whether the daemon is ready, and the limits on callers.
    Ready {
        /// Receives the answer.
        reply: ReplySender<bool>,
    },
    /// What operators have decided.
    Control(Arc<ControlView>),
    /// Daemons that take work, this one included.
    MemberCount(u64),
    /// The daemon stops.
    Stopping,
    /// Asks for the number of requests that run.
    Activity {
        /// Receives it.
        reply: ReplySender<Activity>,
    },
    /// A request of a caller has begun.
    RequestStarted,
}

/// How far the stop of a daemon has come, for its callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopStage {
    /// Requests are served.
    #[default]
    Serving,
    /// New requests are refused.
    Refusing,
    /// Requests that still run are answered at once.
    Ending,
}

/// How busy the entry is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Activity {
    /// Requests that run.
    pub(crate) running: u64,
}

/// How a request of a caller ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestRecord {
    /// Whether an upstream answered; else why not.
    pub(crate) outcome: RequestOutcome,
    /// Time from its last byte to the answer.
    pub(crate) latency: Duration,
    /// Attempts that reached an upstream.
    pub(crate) upstream_attempts: u32,
    /// Times that it was handed back.
    pub(crate) hand_backs: u32,
}

/// End of a request of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequestOutcome {
    /// An upstream answered.
    Answered,
    /// An upstream answered with a failure.
    Failed,
    /// It was refused and has not run.
    Refused(Cause),
    /// It may have run.
    Unknown(Cause),
    /// The caller left.
    CallerDisconnected,
}

/// Limits on callers in force, shared with the connections.
pub(crate) type LimitsReceiver = watch::Receiver<CallerLimits>;
