//! Messages of the guard, which admits requests to the upstream beside the daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelvalve_kernel::{CompletionSender, ReplySender};
use cornelvalve_model::{AnswerSignals, Fingerprint, Moment, Region, ServiceName};
use cornelvalve_policy::{CallResult, GateCallId, LoadReport, SharedSuspect, WorkKey};
use smallvec::SmallVec;

use crate::desired::{ControlView, Version};
use crate::ports::{Cause, CheckIn, HealthReport, UpstreamLoad};

/// Asks the guard to admit a call to the upstream.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionRequest {
    /// Service to which the call is addressed.
    pub(crate) service: ServiceName,
    /// Host of the request.
    pub(crate) host: Box<str>,
    /// Target of the request.
    pub(crate) target: Box<str>,
    /// Version of the desired state that the route of the request was taken from.
    pub(crate) version: Version,
    /// Regions in which the request may be served; any if empty.
    pub(crate) home_regions: SmallVec<[Region; 2]>,
    /// Key under which the duration of such requests is learned.
    pub(crate) work: WorkKey,
    /// Whether the request was sent to an upstream before.
    pub(crate) is_retry: bool,
    /// Priority; lower numbers are admitted first.
    pub(crate) priority: u8,
    /// Latest moment at which a response still meets the latency objective.
    pub(crate) objective: Moment,
    /// Moment after which the caller no longer waits for a response.
    pub(crate) deadline: Moment,
    /// Expected time until the request would finish at the next best upstream. The guard hands the
    /// request back if it expects to finish it clearly later than that; `None` forbids this.
    pub(crate) expected_elsewhere: Option<Duration>,
    /// Identifies repeated requests, so that one that crashes its upstream is recognized.
    pub(crate) fingerprint: Fingerprint,
}

/// Decision of the guard on an admission request.
#[derive(Debug)]
pub(crate) enum AdmissionDecision {
    /// The call may be sent to the upstream.
    Admitted(Permit),
    /// The call must not be sent to the upstream.
    Refused {
        /// Reason for the refusal.
        cause: Cause,
        /// Time after which the upstream is expected to have capacity.
        retry_after: Duration,
        /// Load of the upstream; `None` if there is no upstream.
        load: Option<LoadReport>,
    },
}

/// Permission to send one request to the upstream.
#[derive(Debug)]
pub(crate) struct Permit {
    /// Address of the upstream.
    pub(crate) addr: SocketAddr,
    /// Identifier of the process that is expected at that address.
    pub(crate) instance: Option<Arc<str>>,
    /// Factor by which requests at the upstream take longer than their baseline, as last reported.
    pub(crate) slowdown: f64,
    /// Moment of the admission.
    pub(crate) admitted: Moment,
    /// Whether the upstream is cold.
    pub(crate) cold: bool,
    /// Number of requests admitted within the last second or so, including this one.
    pub(crate) recent_starts: usize,
    /// Maximum size in bytes of the response body.
    pub(crate) response_bytes: usize,
    /// Reports the outcome to the guard; if it is dropped, the request counts as cancelled.
    pub(crate) report: CompletionSender<PermitReport>,
    /// Identifies the admitted request to the guard.
    pub(crate) id: GateCallId,
}

/// Outcome of an admitted request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitReport {
    /// Identifies the admitted request, as in its [`Permit`].
    pub(crate) id: GateCallId,
    /// How the request ended.
    pub(crate) outcome: PermitOutcome,
    /// Load that the upstream reported in its response.
    pub(crate) load: Option<UpstreamLoad>,
    /// What the response says about the upstream; `None` if there was no valid response.
    pub(crate) signals: Option<AnswerSignals>,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PermitOutcome {
    /// The upstream answered successfully.
    Answered,
    /// The upstream answered with a failure status.
    Failed,
    /// The upstream refused to run the request.
    Refused,
    /// Another process than the expected one uses the upstream's address.
    OtherInstance,
    /// No connection to the upstream could be opened.
    Unreachable,
    /// The connection failed after the request was sent, or the response was invalid.
    Lost,
    /// The request was cancelled or its deadline passed.
    Cancelled,
}

impl PermitOutcome {
    /// Returns the result that counts for the failure rate of the upstream; `None` if the outcome
    /// says nothing about the upstream.
    pub(crate) fn call_result(self) -> Option<CallResult> {
        match self {
            Self::Answered => Some(CallResult::Succeeded),
            Self::Failed | Self::Lost => Some(CallResult::Failed),
            Self::Refused => Some(CallResult::Refused),
            Self::OtherInstance | Self::Unreachable | Self::Cancelled => None,
        }
    }
}

/// Messages to the guard, the admission control of the upstream: it queues, admits or refuses
/// requests.
#[derive(Debug)]
pub(crate) enum GuardMessage {
    /// Asks for admission of a call.
    Admit {
        /// The call.
        call: Box<AdmissionRequest>,
        /// Receives the decision, possibly after the call has waited in the queue.
        reply: ReplySender<AdmissionDecision>,
    },
    /// The upstream has checked in.
    CheckIn {
        /// The check-in.
        check_in: Box<CheckIn>,
        /// Receives the confirmation once the guard has applied the check-in.
        reply: ReplySender<()>,
    },
    /// An admitted request is being sent to the upstream.
    Sent(GateCallId),
    /// Result of a health probe.
    Health {
        /// Moment at which the guard requested the probe; the report is not older.
        requested: Moment,
        /// What the upstream reported; `None` if it did not answer.
        report: Option<HealthReport>,
    },
    /// The configuration changed.
    Control(Arc<ControlView>),
    /// Stops admitting calls.
    Drain {
        /// Receives a reply once no call is running.
        reply: ReplySender<()>,
    },
    /// Another daemon reported requests that may have crashed its upstream.
    CrashSuspects(Vec<SharedSuspect>),
    /// Asks for the current load of the upstream.
    Load {
        /// Key of the requests whose duration is wanted.
        work: WorkKey,
        /// Receives the load, `None` if there is no upstream, and the duration of such requests
        /// while the upstream is not slowed down.
        reply: ReplySender<(Option<LoadReport>, Duration)>,
    },
}
