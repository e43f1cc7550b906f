//! Kinds of events.

use cornelvalve_model::{
    FailureDomain, MemberState, Outcome, Reason, Revision, ServiceName, VmName,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What happened at a daemon; holds no key, path or body of a request.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", rename_all_fields = "snake_case")]
pub enum Event {
    /// The daemon started.
    #[display("daemon started")]
    Started,
    /// A request was refused or its outcome is unknown.
    #[display("request refused: {reason} ({outcome})")]
    RequestRefused {
        /// Service, if host and path led to one.
        service: Option<ServiceName>,
        /// What is known about the execution.
        outcome: Outcome,
        /// Why.
        reason: Reason,
    },
    /// A revision of the configuration came into force here.
    #[display("configuration {revision} applied")]
    ConfigurationApplied {
        /// The revision.
        revision: Revision,
    },
    /// A member changed its state.
    #[display("member {member} is {state}")]
    MemberChanged {
        /// VM of the member.
        member: VmName,
        /// Its state.
        state: MemberState,
    },
    /// An upstream announced itself.
    #[display("upstream of {service} on port {port} announced")]
    UpstreamAnnounced {
        /// Service of the upstream.
        service: ServiceName,
        /// Its loopback port.
        port: u16,
    },
    /// An upstream let its lease lapse or refused connections.
    #[display("upstream of {service} on port {port} lost")]
    UpstreamLost {
        /// Service of the upstream.
        service: ServiceName,
        /// Its loopback port.
        port: u16,
    },
    /// An upstream takes nothing new.
    #[display("upstream of {service} on port {port} draining")]
    UpstreamDraining {
        /// Service of the upstream.
        service: ServiceName,
        /// Its loopback port.
        port: u16,
    },
    /// The admission limit of an upstream changed.
    #[display("admission limit of {service} is {limit}")]
    AdmissionChanged {
        /// Service of the upstream.
        service: ServiceName,
        /// The limit.
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
    /// The daemon takes nothing new and finishes what runs.
    #[display("drain started with {running} running requests")]
    DrainStarted {
        /// Requests that run.
        running: u32,
    },
    /// The drain ended.
    #[display("drain finished with {running} running requests")]
    DrainFinished {
        /// Requests that still ran at the drain timeout.
        running: u32,
    },
    /// The process was paused.
    #[display("process paused for {millis} ms")]
    Paused {
        /// Length of the pause in milliseconds.
        millis: u64,
    },
    /// The log store stopped answering.
    #[display("log store unreachable")]
    LogStoreLost,
    /// The log store answers again.
    #[display("log store reachable")]
    LogStoreReturned,
}
