//! Result of the `timeline` call: events with hybrid logical timestamps.

use cornelvalve_model::VmName;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Event;

/// Timestamp of a hybrid logical clock.
///
/// An event has a smaller timestamp than the events that it can have caused, even if the wall
/// clocks of their daemons differ.
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
    /// Latest wall-clock time that the clock has seen, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Counter that orders events with the same `wall_ms`.
    pub logical: u32,
}

/// Event with the time and the daemon at which it happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimelineEvent {
    /// Time of the event; unique per daemon.
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
    /// Value of `after` for the next call; equal to that of this call if there were no later
    /// events.
    pub next: Option<Timestamp>,
    /// Whether events later than `after` are missing because the daemon retains a limited number.
    pub gap: bool,
}
