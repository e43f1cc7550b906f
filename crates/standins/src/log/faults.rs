//! Faults of the log service that tests can inject.

use serde::{Deserialize, Serialize};

/// How the response to an append is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoseBy {
    /// The connection closes in the middle of the response.
    #[default]
    Drop,
    /// The response has status 503.
    Status,
}

/// Faults of the log service; none is active by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// All calls fail with status 503 and have no effect.
    pub down: bool,
    /// Delay of each response after its call has taken effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of following appends that take effect but whose response is lost.
    pub lose_answers: u32,
    /// How those responses are lost.
    pub lose_by: LoseBy,
    /// Calls have no effect and get no response until this is switched off; then they are handled.
    pub freeze: bool,
}
