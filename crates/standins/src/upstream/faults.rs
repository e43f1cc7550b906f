//! Faults that tests switch on.

use serde::{Deserialize, Serialize};

/// Cold start: the first requests take longer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Requests that the cold start lasts.
    pub requests: u32,
    /// Factor on their service time.
    pub factor: f64,
}

/// Faults of an upstream; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Time added to each request, in milliseconds.
    pub straggle_ms: u64,
    /// Cold start that begins when the faults are set.
    pub cold: Option<ColdStart>,
    /// Answers status 500 at once, without doing any work.
    pub fail_fast: bool,
    /// Header whose presence in a request crashes the upstream.
    pub crash_on: Option<String>,
    /// Closes the connection after half of the response body.
    pub cut_body: bool,
    /// Accepts requests and answers none until the fault is cleared.
    pub freeze: bool,
}
