//! Division of the memory and descriptors of the daemon's process.

/// Memory in bytes that the process takes without any connection: code, services, logs and the
/// configuration.
const BASE_BYTES: usize = 24 * 1000 * 1000;

/// Share of the rest, in percent, for large bodies, frames, responses and pipelined requests. What
/// this and the share of connections leave is for unread bytes in sockets and gaps in the heap.
const MESSAGE_PERCENT: usize = 64;

/// Least memory for messages in bytes, with which small requests are served.
const MIN_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Limits of the daemon's process, which the platform sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in bytes. A process that exceeds it is ended.
    pub memory_bytes: usize,
    /// Number of open descriptors.
    pub descriptors: usize,
}

impl Default for ProcessLimits {
    /// Returns the limits of a VM for which the platform sets none.
    fn default() -> Self {
        Self {
            memory_bytes: 256 * 1000 * 1000,
            descriptors: 4096,
        }
    }
}

impl ProcessLimits {
    /// Returns the memory in bytes that messages share.
    pub(crate) fn message_bytes(&self) -> usize {
        let rest = self.memory_bytes.saturating_sub(BASE_BYTES);
        (rest / 100 * MESSAGE_PERCENT).max(MIN_MESSAGE_BYTES)
    }
}
