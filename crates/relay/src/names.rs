//! Names of the services, with the messages that each one takes.
//!
//! Names and messages stand below the services, so that a service depends only on the messages that
//! it sends.

use cornelvalve_http1::ClientConnection;
use cornelvalve_kernel::Name;

use crate::hop::FrameConnection;
use crate::messages::{
    ControlMessage, DiscoveryMessage, GuardMessage, ListenerMessage, MembersMessage,
    MonitorMessage, NoticesMessage, PoolMessage, RouterMessage, StatsMessage,
};

/// Follows what operators decide.
pub(crate) const CONTROL: Name<ControlMessage> = Name::new("control");
/// Announces this daemon in the store and finds others there.
pub(crate) const DISCOVERY: Name<DiscoveryMessage> = Name::new("registry");
/// Knows the other daemons.
pub(crate) const MEMBERS: Name<MembersMessage> = Name::new("members");
/// Tells other daemons the load of the upstream and what may have crashed it.
pub(crate) const NOTICES: Name<NoticesMessage> = Name::new("notices");
/// Decides where requests go.
pub(crate) const ROUTER: Name<RouterMessage> = Name::new("router");
/// Decides what the upstream beside the daemon runs.
pub(crate) const GUARD: Name<GuardMessage> = Name::new("guard");
/// Asks the upstream for its health and load.
pub(crate) const MONITOR: Name<MonitorMessage> = Name::new("monitor");
/// Idle connections to the upstream.
pub(crate) const UPSTREAM_POOL: Name<PoolMessage<ClientConnection>> = Name::new("upstream-pool");
/// Idle connections to other daemons.
pub(crate) const PEER_POOL: Name<PoolMessage<FrameConnection>> = Name::new("peer-pool");
/// Counts requests and decisions.
pub(crate) const STATS: Name<StatsMessage> = Name::new("stats");
/// Accepts callers.
pub(crate) const ENTRY: Name<ListenerMessage> = Name::new("entry");
/// Accepts other daemons.
pub(crate) const PEERS: Name<ListenerMessage> = Name::new("peers");
/// Accepts check-ins of the upstream.
pub(crate) const CHECK_INS: Name<ListenerMessage> = Name::new("check-ins");
/// Answers whether the daemon is ready, and its metrics.
pub(crate) const READY: Name<ListenerMessage> = Name::new("ready");
/// Answers with the metrics.
pub(crate) const METRICS: Name<ListenerMessage> = Name::new("metrics");
