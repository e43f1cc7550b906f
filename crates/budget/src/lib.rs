//! Byte accounting and rate limits for control traffic between daemons.
//!
//! Every control message is charged to a token bucket of its class before it is sent. When the
//! bucket of a class is empty, messages of that class are dropped; the other classes are not
//! affected.

mod bucket;
mod budget;
mod settings;

pub use budget::{Budget, Count, Counters, SendDecision, TrafficClass};
pub use settings::{
    BudgetSettings, REGION_LINK_BYTES_PER_SECOND, REGION_LINK_DAEMONS, Rate,
    TOTAL_BYTES_PER_SECOND, WINDOW_SECONDS,
};
