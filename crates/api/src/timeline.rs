//! Events with hybrid logical timestamps.

use cornelvalve_model::VmName;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Event;

/// Reading of a hybrid logical clock.
///
/// An event that can have caused another has the smaller timestamp, even if wall clocks differ.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(deny_unknown_fields)]
#[display("{wall_ms}.{logical}")]
pub struct Timestamp {
    /// Largest wall-clock time seen, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Counts events within the same millisecond.
    pub logical: u32,
}

/// Event of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimelineEvent {
    /// Time of the event; unique within one daemon.
    pub at: Timestamp,
    /// VM of the daemon.
    pub vm: VmName,
    /// What happened.
    pub event: Event,
}

/// Events of one daemon in the order of their timestamps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimelinePage {
    /// The events, oldest first.
    pub events: Vec<TimelineEvent>,
    /// Timestamp from which to continue; equal to the one asked for if nothing followed.
    pub next: Option<Timestamp>,
    /// Whether events after the one asked for were dropped because the buffer is bounded.
    pub gap: bool,
}
