//! The JSON-RPC trait of the operator API.

use cornelvalve_model::{Change, FailureDomain, Offset, Revision, TeamName, VersionedEntry};
use jsonrpsee::proc_macros::rpc;

use crate::{
    ApiError, EntryKind, Explanation, InForceReport, LeaveReport, MemberReport, PeerRecords,
    PublishReport, Status, TimelinePage, Timestamp, WaitFor,
};

/// Calls that a daemon accepts from operators and from other daemons; parameters are sent by name.
#[rpc(server, client)]
pub trait Operators {
    /// Publishes a configuration change and waits until it reaches the stage `wait`, for at most
    /// `timeout_ms`.
    ///
    /// Publishing a change again with the same id has no further effect.
    #[method(name = "publish", param_kind = map)]
    async fn publish(
        &self,
        change: Change,
        wait: WaitFor,
        timeout_ms: u64,
    ) -> Result<PublishReport, ApiError>;

    /// Returns the regions, failure domains, services, teams and rules of the accepted
    /// configuration; only those of `kind`, if it is set.
    #[method(name = "entries", param_kind = map)]
    async fn entries(&self, kind: Option<EntryKind>) -> Result<Vec<VersionedEntry>, ApiError>;

    /// Returns the status of the daemon.
    #[method(name = "status", param_kind = map)]
    async fn status(&self) -> Result<Status, ApiError>;

    /// Returns the members that the daemon knows, including itself.
    #[method(name = "members", param_kind = map)]
    async fn members(&self) -> Result<Vec<MemberReport>, ApiError>;

    /// Asks all members whether they have applied a revision, and returns which of them have.
    #[method(name = "in_force", param_kind = map)]
    async fn in_force(&self, revision: Revision) -> Result<InForceReport, ApiError>;

    /// Returns up to `limit` events later than `after`, oldest first; without `after`, it starts at
    /// the oldest retained event.
    #[method(name = "timeline", param_kind = map)]
    async fn timeline(
        &self,
        after: Option<Timestamp>,
        limit: u32,
    ) -> Result<TimelinePage, ApiError>;

    /// Makes the daemon leave the mesh: it receives no new requests and finishes the running
    /// ones.
    ///
    /// The daemon refuses the call if it is not in the failure domain `domain`, so that a wrong
    /// address does not drain a VM by mistake. Further calls return the current state.
    #[method(name = "leave", param_kind = map)]
    async fn leave(&self, domain: FailureDomain) -> Result<LeaveReport, ApiError>;

    /// Returns how a request would be routed now, without sending it.
    ///
    /// `team` is the team named in the request's headers; `None` if they name none.
    #[method(name = "explain", param_kind = map)]
    async fn explain(
        &self,
        host: String,
        path: String,
        method: String,
        team: Option<TeamName>,
    ) -> Result<Explanation, ApiError>;

    /// Returns up to `max` configuration records. `after` is the offset of the first one, so it is
    /// inclusive despite its name. Called by other daemons.
    #[method(name = "peer_records", param_kind = map)]
    async fn peer_records(&self, after: Offset, max: u32) -> Result<PeerRecords, ApiError>;
}
