//! Division of the memory and descriptors of the daemon's process.

/// Memory in bytes that the process takes without any connection: code, services, logs and the
/// configuration.
const BASE_BYTES: usize = 24 * 1000 * 1000;

/// Share of the rest, in percent, for large bodies, frames, responses and pipelined requests. What
/// this and the share of connections leave is for unread bytes in sockets and gaps in the heap.
const MESSAGE_PERCENT: usize = 64;

/// Least memory for messages in bytes, with which small requests are served.
const MIN_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Share of the rest, in percent, for the connections of callers.
const CONNECTION_PERCENT: usize = 20;

/// Memory in bytes that a connection of a caller takes at most without a claim: its task, a request
/// head and its copies, the first part of a body, and one running request with the first part of its
/// response.
const CONNECTION_BYTES: usize = 52 * 1024;

/// Descriptors that are not for connections: files, listeners and datagrams.
const RESERVED_DESCRIPTORS: usize = 200;

/// Share of the other descriptors, in percent, for connections of callers.
const CALLER_PERCENT: usize = 25;

/// Share of the descriptors, in percent, for connections that other daemons have opened. It is the
/// largest, because they keep connections from which no request comes for a while, and a request
/// that meets a closed one may have an unknown outcome.
const INCOMING_PERCENT: usize = 45;

/// Share of the descriptors, in percent, for connections to other daemons.
const OUTGOING_PERCENT: usize = 22;

/// Share of the descriptors, in percent, for connections to the upstream.
const UPSTREAM_PERCENT: usize = 5;

/// Least number of connections of each kind.
const MIN_CONNECTIONS: usize = 16;

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

    /// Returns the largest number of connections of each kind.
    pub(crate) fn connections(&self) -> ConnectionLimits {
        let sockets = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let share = |percent: usize| (sockets * percent / 100).max(MIN_CONNECTIONS);
        let rest = self.memory_bytes.saturating_sub(BASE_BYTES);
        let in_memory = rest / 100 * CONNECTION_PERCENT / CONNECTION_BYTES;
        ConnectionLimits {
            callers: share(CALLER_PERCENT).min(in_memory.max(MIN_CONNECTIONS)),
            incoming: share(INCOMING_PERCENT),
            outgoing: share(OUTGOING_PERCENT),
            upstream: share(UPSTREAM_PERCENT),
        }
    }
}

/// Kind of connections with a bound on their number.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub(crate) enum ConnectionKind {
    /// From callers.
    #[display("caller")]
    Caller,
    /// From other daemons.
    #[display("incoming")]
    Incoming,
    /// To other daemons.
    #[display("outgoing")]
    Outgoing,
    /// To the upstream.
    #[display("upstream")]
    Upstream,
    /// For check-ins, readiness checks or metrics.
    #[display("internal")]
    Internal,
}

/// Largest numbers of open connections by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// From callers.
    pub(crate) callers: usize,
    /// From other daemons.
    pub(crate) incoming: usize,
    /// To other daemons.
    pub(crate) outgoing: usize,
    /// To the upstream.
    pub(crate) upstream: usize,
}

#[cfg(test)]
mod tests;
