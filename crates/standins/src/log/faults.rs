//! Faults that tests switch on.

use serde::{Deserialize, Serialize};

/// How the answer to an append is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoseBy {
    /// The connection breaks within the response.
    #[default]
    Drop,
    /// The response has status 503.
    Status,
}

/// Faults of the stand-in; the default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// All calls fail with status 503 and have no effect.
    pub down: bool,
    /// Milliseconds by which each response is delayed after the call took effect.
    pub delay_ms: u64,
    /// Number of coming appends that take effect without a proper answer.
    pub lose_answers: u32,
    /// How these answers are lost.
    pub lose_by: LoseBy,
    /// Calls are held, without effect or answer, until this is switched off.
    pub freeze: bool,
}
