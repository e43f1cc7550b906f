//! Failure detection and dissemination of member records.
//!
//! [`Membership`] is a state machine: it gets events and the current moment and returns actions.
//! It opens no socket and reads no clock, so the same code runs in the daemon and under virtual
//! time. Messages are plain types; `cornelvalve-wire` encodes them.
//!
//! The protocol is a variant of SWIM: every daemon probes one member of its region a period, news
//! is piggybacked on probes and replies, and anti-entropy by digest repairs what was lost. Only
//! members of the same region suspect a member or declare it dead. Readers, two for each failure
//! domain, also talk to other regions and judge whether a region can be reached at all.

mod event;
mod membership;
mod merge;
mod message;
mod news;
mod outgoing;
mod probes;
mod probing;
mod reach;
mod regions;
mod settings;
mod size;
mod sync;
mod table;

pub use event::{Action, Event, TrafficClass};
pub use membership::Membership;
pub use message::{Message, Summary, Update};
pub use settings::MembershipSettings;
pub use table::vm_hash;
