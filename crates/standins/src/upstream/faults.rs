//! Faults of the upstream stand-in that tests can inject.

use serde::{Deserialize, Serialize};

/// Cold start, during which requests take longer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Number of requests that the cold start slows down.
    pub requests: u32,
    /// Factor by which it multiplies their processing time.
    pub factor: f64,
}

/// Faults of an upstream; none is active by default.
///
/// Of several active faults, `crash_on` takes precedence, then `freeze`, then `fail_fast`. The
/// others add up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Time added to the processing time of each request, in milliseconds.
    pub straggle_ms: u64,
    /// Cold start that begins when the faults are set.
    pub cold: Option<ColdStart>,
    /// Responds with status 500 at once, without processing the request.
    pub fail_fast: bool,
    /// Header whose presence in a request crashes the upstream.
    pub crash_on: Option<String>,
    /// Truncates responses: closes the connection after sending half of the response body.
    pub cut_body: bool,
    /// Accepts requests and delays their responses until this is switched off.
    pub freeze: bool,
}
