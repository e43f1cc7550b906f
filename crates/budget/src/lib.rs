//! Byte accounting and token buckets for control traffic.
//!
//! Every datagram of control traffic is charged before it is sent. A class that has used up its
//! bucket loses its own messages and takes nothing from the others.

mod bucket;
mod budget;
mod settings;

pub use budget::{Budget, Count, SendDecision, TrafficClass, TrafficCounters};
pub use settings::{
    BudgetSettings, REGION_LINK_BYTES_PER_SECOND, REGION_LINK_DAEMONS, RateLimit,
    TOTAL_BYTES_PER_SECOND, WINDOW_SECONDS,
};
