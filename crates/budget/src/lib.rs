//! Byte accounting and rate limits for control traffic between daemons.
//!
//! Every control message is charged to the token bucket of its class before it is sent. If the
//! bucket has too few tokens, the message is dropped; other classes are not affected. Messages to
//! daemons in another region are also charged to the bucket of the region link, the network link
//! between regions, and are dropped if either bucket has too few tokens.

mod bucket;
mod budget;
mod settings;

pub use budget::{Budget, SendDecision, TrafficClass, TrafficCount, TrafficCounters};
pub use settings::{
    AVERAGING_WINDOW_SECONDS, BudgetSettings, REGION_LINK_BYTES_PER_SECOND, REGION_LINK_DAEMONS,
    RateLimit, TOTAL_BYTES_PER_SECOND,
};
