//! Operator API of the daemon: the JSON-RPC trait with its parameters, results and errors.
//!
//! The crate contains only types. The daemon implements [`OperatorsServer`]; the command-line
//! client and other daemons call it through [`OperatorsClient`]. `schema/operators.openrpc.json`
//! describes the same calls for clients in other languages.

mod error;
mod event;
mod explain;
mod in_force;
mod publish;
mod records;
mod rpc;
mod status;
mod timeline;

pub use error::{ApiError, ErrorKind, Result};
pub use event::Event;
pub use explain::{Candidate, Explanation};
pub use in_force::{InForceReport, LeaveReport};
pub use publish::{PublishReport, Verdict, WaitFor};
pub use records::{PeerRecord, PeerRecords};
pub use rpc::{OperatorsClient, OperatorsServer};
pub use status::{
    BadRecord, EntryKind, LogStoreState, MemberCounts, MemberReport, Status, UpstreamStatus,
};
pub use timeline::{TimelineEvent, TimelinePage, Timestamp};
