//! Events that a daemon records in its timeline.

use cornelvalve_model::{
    FailureDomain, MemberState, Outcome, Reason, Revision, ServiceName, VmName,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Event at a daemon. Events contain no idempotency keys, paths or bodies of requests.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "snake_case")]
pub enum Event {
    /// The daemon started.
    #[display("daemon started")]
    Started,
    /// A request was refused, or it is unknown whether it ran; `outcome` distinguishes the two.
    #[display("request refused: {reason} ({outcome})")]
    RequestRefused {
        /// Service of the request; `None` if host and path matched none.
        service: Option<ServiceName>,
        /// Whether the request ran, as far as the daemon knows.
        outcome: Outcome,
        /// Reason of the refusal.
        reason: Reason,
    },
    /// The daemon applied a revision of the configuration.
    #[display("configuration {revision} applied")]
    ConfigurationApplied {
        /// The applied revision.
        revision: Revision,
    },
    /// A member changed its state.
    #[display("member {member} is {state}")]
    MemberChanged {
        /// VM of the member.
        member: VmName,
        /// New state of the member.
        state: MemberState,
    },
    /// An upstream announced that it accepts requests.
    #[display("upstream of {service} on port {port} announced")]
    UpstreamAnnounced {
        /// Service of the upstream.
        service: ServiceName,
        /// Loopback port of the upstream.
        port: u16,
    },
    /// The lease of an upstream expired, or the upstream refused connections.
    #[display("upstream of {service} on port {port} lost")]
    UpstreamLost {
        /// Service of the upstream.
        service: ServiceName,
        /// Loopback port of the upstream.
        port: u16,
    },
    /// An upstream accepts no new requests and finishes its running ones.
    #[display("upstream of {service} on port {port} draining")]
    UpstreamDraining {
        /// Service of the upstream.
        service: ServiceName,
        /// Loopback port of the upstream.
        port: u16,
    },
    /// The daemon changed an upstream's admission limit, the number of requests that it sends to
    /// the upstream concurrently.
    #[display("admission limit of {service} is {limit}")]
    AdmissionChanged {
        /// Service of the upstream.
        service: ServiceName,
        /// New limit on concurrent requests.
        limit: u32,
    },
    /// A failure domain was taken out of service.
    #[display("failure domain {domain} taken out of service")]
    DomainTakenOut {
        /// The failure domain.
        domain: FailureDomain,
    },
    /// A failure domain was returned to service.
    #[display("failure domain {domain} returned to service")]
    DomainReturned {
        /// The failure domain.
        domain: FailureDomain,
    },
    /// The daemon began to drain: it accepts no new requests and finishes the running ones.
    #[display("drain started with {running} running requests")]
    DrainStarted {
        /// Number of running requests.
        running: u32,
    },
    /// The drain ended, because no request was running or the drain timeout had passed.
    #[display("drain finished with {running} running requests")]
    DrainFinished {
        /// Number of requests that were still running.
        running: u32,
    },
    /// The daemon process did not run for a while, for example because its VM was suspended.
    #[display("process paused for {millis} ms")]
    Paused {
        /// Length of the pause in milliseconds.
        millis: u64,
    },
    /// The log store stopped responding.
    #[display("log store unreachable")]
    LogStoreLost,
    /// The log store responds again.
    #[display("log store reachable")]
    LogStoreReturned,
}
