//! Detects failed daemons and disseminates member records between daemons.
//!
//! [`Membership`] is a state machine: it takes events and the current time and returns actions.
//! It opens no sockets and reads no clock, so the same code runs in the daemon and under virtual
//! time. Messages are plain types; `cornelvalve-wire` encodes them.
//!
//! The protocol extends SWIM with anti-entropy exchanges, regions and readers. A daemon joins
//! through seeds, which are addresses of other daemons that its owner provides. In every probe
//! period each daemon probes one member of its region. Updates are piggybacked on probes and
//! acknowledgements, and anti-entropy exchanges, which compare digests, repair lost updates. Only
//! members of the same region suspect a member or declare it dead.
//!
//! In each failure domain, rendezvous hashing selects two alive members as readers. Only readers
//! probe other regions, exchange updates with them and determine whether a region is reachable.
//! They are called readers because, in daemons with a configuration log, only they follow the log.
//!
//! Names use these terms: a member is live if it is alive, suspect or leaving, that is, if it
//! neither left nor died. Local refers to the daemon's own region, and remote to the other regions.
//!
//! Every record has a key that only its member raises. A member that learns that others consider it
//! suspect, left or dead refutes this by announcing its record with a higher key. The records of
//! members that left or died are kept for some time as tombstones, which reject stale updates.

mod dispatch;
mod event;
mod membership;
mod merge;
mod message;
mod pending_probes;
mod probing;
mod reachability;
mod region_status;
mod settings;
mod size;
mod sync;
mod table;
mod update_queue;

pub use event::{Action, Event, TrafficClass};
pub use membership::Membership;
pub use message::{Message, Summary, Update};
pub use settings::MembershipSettings;
pub use table::vm_hash;
