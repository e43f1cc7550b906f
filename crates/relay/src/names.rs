//! Names under which the services find each other, each with the type of the messages it accepts.
//!
//! The names are kept apart from the services, so that a service depends only on the messages that
//! it sends and not on their receivers.

use cornelvalve_http1::ClientConnection;
use cornelvalve_kernel::Name;

use crate::hop::FrameConnection;
use crate::messages::{
    ControlMessage, DiscoveryMessage, GuardMessage, ListenerMessage, MembersMessage, MemoryMessage,
    MonitorMessage, NoticesMessage, PoolMessage, RouterMessage, StatsMessage,
};

/// Follows the configuration that operators publish in the store.
pub(crate) const CONTROL: Name<ControlMessage> = Name::new("control");
/// Announces this daemon in the store and reads the other daemons announced there.
pub(crate) const DISCOVERY: Name<DiscoveryMessage> = Name::new("registry");
/// Tracks the other daemons and their upstreams.
pub(crate) const MEMBERS: Name<MembersMessage> = Name::new("members");
/// Notifies other daemons by UDP of the load of the upstream and of requests that may have crashed
/// it.
pub(crate) const NOTICES: Name<NoticesMessage> = Name::new("notices");
/// Resolves routes and selects an upstream for each attempt.
pub(crate) const ROUTER: Name<RouterMessage> = Name::new("router");
/// Admission control: queues, admits or refuses requests for the upstream beside the daemon.
pub(crate) const GUARD: Name<GuardMessage> = Name::new("guard");
/// Divides the memory of the daemon among requests and responses.
pub(crate) const MEMORY: Name<MemoryMessage> = Name::new("memory");
/// Probes the health of the upstream, which also reports its load.
pub(crate) const MONITOR: Name<MonitorMessage> = Name::new("monitor");
/// Holds idle connections to the upstream.
pub(crate) const UPSTREAM_POOL: Name<PoolMessage<ClientConnection>> = Name::new("upstream-pool");
/// Holds idle connections to other daemons.
pub(crate) const PEER_POOL: Name<PoolMessage<FrameConnection>> = Name::new("peer-pool");
/// Collects the metrics and answers whether the daemon is ready.
pub(crate) const STATS: Name<StatsMessage> = Name::new("stats");
/// Accepts the connections of callers and forwards their requests.
pub(crate) const ENTRY: Name<ListenerMessage> = Name::new("entry");
/// Accepts the connections of other daemons.
pub(crate) const PEERS: Name<ListenerMessage> = Name::new("peers");
/// Accepts the check-ins of the upstream.
pub(crate) const CHECK_INS: Name<ListenerMessage> = Name::new("check-ins");
/// Serves readiness checks and the metrics.
pub(crate) const READY: Name<ListenerMessage> = Name::new("ready");
/// Serves the same as [`READY`] at the address for metrics.
pub(crate) const METRICS: Name<ListenerMessage> = Name::new("metrics");
