//! The calls.

use cornelvalve_model::{Change, FailureDomain, Offset, Revision, TeamName, VersionedEntry};
use jsonrpsee::proc_macros::rpc;

use crate::{
    ApiError, EntryKind, Explanation, InForceReport, LeaveReport, MemberReport, PeerRecords,
    PublishReport, Status, TimelinePage, Timestamp, WaitFor,
};

/// Calls of the operators' listener; parameters are sent by name.
#[rpc(server, client)]
pub trait Operators {
    /// Publishes a configuration change and waits until it has got as far as `wait` says.
    ///
    /// A repeat with the same change id has no second effect.
    #[method(name = "publish", param_kind = map)]
    async fn publish(
        &self,
        change: Change,
        wait: WaitFor,
        timeout_ms: u64,
    ) -> Result<PublishReport, ApiError>;

    /// Lists the entries of the accepted configuration, of one kind or of all.
    #[method(name = "entries", param_kind = map)]
    async fn entries(&self, kind: Option<EntryKind>) -> Result<Vec<VersionedEntry>, ApiError>;

    /// Describes the daemon that answers.
    #[method(name = "status", param_kind = map)]
    async fn status(&self) -> Result<Status, ApiError>;

    /// Lists the members that the daemon knows, itself included.
    #[method(name = "members", param_kind = map)]
    async fn members(&self) -> Result<Vec<MemberReport>, ApiError>;

    /// Asks the members which of them have applied a revision.
    #[method(name = "in_force", param_kind = map)]
    async fn in_force(&self, revision: Revision) -> Result<InForceReport, ApiError>;

    /// Returns events later than `after`, oldest first.
    #[method(name = "timeline", param_kind = map)]
    async fn timeline(
        &self,
        after: Option<Timestamp>,
        limit: u32,
    ) -> Result<TimelinePage, ApiError>;

    /// Makes the daemon leave: it gets no new work and finishes what runs.
    ///
    /// The daemon refuses if it stands in another failure domain than `domain`, so that a wrong
    /// address does not drain a VM by mistake. A repeat returns the present state.
    #[method(name = "leave", param_kind = map)]
    async fn leave(&self, domain: FailureDomain) -> Result<LeaveReport, ApiError>;

    /// Tells how a request would be routed now, without sending it.
    #[method(name = "explain", param_kind = map)]
    async fn explain(
        &self,
        host: String,
        path: String,
        method: String,
        team: Option<TeamName>,
    ) -> Result<Explanation, ApiError>;

    /// Returns configuration records from the offset `after` on; for other daemons.
    #[method(name = "peer_records", param_kind = map)]
    async fn peer_records(&self, after: Offset, max: u32) -> Result<PeerRecords, ApiError>;
}
