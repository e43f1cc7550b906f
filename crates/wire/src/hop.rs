//! HTTP headers between callers and daemons, and between two daemons.
//!
//! The daemon that accepts a request from its caller forwards it to the daemon beside the chosen
//! upstream. In this module, a hop is the exchange between these two daemons.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use cornelvalve_model::{
    Fingerprint, IdempotencyKey, LoadHint, Outcome, RateLimitSignal, Reason, Refusal, RequestClass,
    Revision, RouteName, ServiceName, TeamName, TraceId, UpstreamSignals,
};
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue};

/// Result of decoding headers.
pub type Result<T> = std::result::Result<T, HopError>;

/// Team on whose behalf a request is made.
pub const TEAM: HeaderName = HeaderName::from_static("cornelvalve-team");
/// Remaining time in milliseconds for which the caller waits for the response. A duration, so that
/// the clocks of sender and receiver need not agree.
pub const DEADLINE: HeaderName = HeaderName::from_static("cornelvalve-deadline-ms");
/// Idempotency key that the caller chose for the request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Call depth of the request: 0 if no other request caused it, otherwise one more than the depth of
/// the request that caused it.
pub const DEPTH: HeaderName = HeaderName::from_static("cornelvalve-depth");
/// Outcome of a request that has no response from an upstream; set by daemons only.
pub const OUTCOME: HeaderName = HeaderName::from_static("cornelvalve-outcome");
/// Reason why the request has no response from an upstream; always set together with [`OUTCOME`].
pub const REASON: HeaderName = HeaderName::from_static("cornelvalve-reason");
/// Timestamp of the sender's hybrid logical clock, which orders the events of all daemons.
pub const CLOCK: HeaderName = HeaderName::from_static("cornelvalve-clock");

/// Time in microseconds that the upstream took to respond.
const UPSTREAM_TIME: HeaderName = HeaderName::from_static("cornelvalve-upstream-us");

/// Trace of the request (W3C Trace Context), which relates nested calls to the request that caused
/// them.
pub const TRACE: HeaderName = HeaderName::from_static("traceparent");

// The following headers carry those fields of `HopMetadata` that callers do not send.
const SERVICE: HeaderName = HeaderName::from_static("cornelvalve-service");
const ROUTE: HeaderName = HeaderName::from_static("cornelvalve-route");
const CLASS: HeaderName = HeaderName::from_static("cornelvalve-class");
const FINGERPRINT: HeaderName = HeaderName::from_static("cornelvalve-fingerprint");
const REVISION: HeaderName = HeaderName::from_static("cornelvalve-revision");

/// Load hint of the upstream: the numbers of running and of queued requests and the admission
/// limit, separated by spaces.
const HINT: HeaderName = HeaderName::from_static("cornelvalve-hint");

/// Requests per second, a decimal number, that an upstream in need accepts from all callers together
/// for as long as its responses name it. Set by upstreams.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("cornelvalve-rate-limit");

/// `1` in all responses of an upstream that is leaving. Set by upstreams.
pub const LEAVING: HeaderName = HeaderName::from_static("cornelvalve-leaving");

/// Headers that only daemons may set, or that upstreams set for their daemon; removed from messages of callers and upstreams. Callers may
/// set [`TEAM`] and [`DEPTH`], for example, so these are not included.
const INTERNAL_HEADERS: [HeaderName; 12] = [
    OUTCOME,
    REASON,
    SERVICE,
    ROUTE,
    CLASS,
    FINGERPRINT,
    REVISION,
    HINT,
    CLOCK,
    UPSTREAM_TIME,
    RATE_LIMIT,
    LEAVING,
];

/// Number of hexadecimal digits of a trace id.
const TRACE_ID_DIGITS: usize = 32;

/// Maximum call depth of a request. Requests that are nested deeper are refused, which ends call
/// loops; the deepest chain among the services in use has nine calls.
pub const MAX_DEPTH: u8 = 9;

/// Reason why the headers of a request are rejected.
///
/// The text of a caller's error is sent to the caller as the detail of the refusal.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum HopError {
    /// A required header is missing.
    #[display("header {_0} is missing; requests between daemons must carry it")]
    Missing(#[error(not(source))] HeaderName),
    /// The value of a header is malformed.
    #[display("header {_0} is malformed; see the callers' page for its form")]
    Malformed(#[error(not(source))] HeaderName),
    /// The call depth of the request exceeds [`MAX_DEPTH`].
    #[display("request is nested more than {MAX_DEPTH} deep; shorten the chain of calls")]
    TooDeep,
}

impl HopError {
    /// Returns the refusal with which the request is answered.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        match self {
            Self::TooDeep => Refusal::not_run(Reason::TooDeep),
            Self::Missing(_) | Self::Malformed(_) => Refusal::not_run(Reason::BadRequest),
        }
    }
}

/// Metadata of a request from the headers that its caller sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerMetadata {
    /// Team on whose behalf the request is made.
    pub team: Option<TeamName>,
    /// Time for which the caller waits for the response.
    pub time_left: Option<Duration>,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Call depth of the request.
    pub depth: u8,
}

impl CallerMetadata {
    /// Returns the metadata in the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`HopError`] if a header is malformed or the call depth exceeds [`MAX_DEPTH`].
    pub fn decode(headers: &HeaderMap) -> Result<Self> {
        let depth = parse_header(headers, &DEPTH)?.unwrap_or(0);
        if depth > MAX_DEPTH {
            return Err(HopError::TooDeep);
        }
        Ok(Self {
            team: parse_header(headers, &TEAM)?,
            time_left: parse_header(headers, &DEADLINE)?.map(Duration::from_millis),
            key: header_text(headers, &IDEMPOTENCY_KEY)?
                .map(|key| IdempotencyKey(unquote(key).into())),
            depth,
        })
    }
}

/// Metadata of a request that one daemon forwards to the daemon beside the chosen upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopMetadata {
    /// Service that the request is for.
    pub service: ServiceName,
    /// Route of the service that the request matched.
    pub route: Option<RouteName>,
    /// Team on whose behalf the request is made.
    pub team: Option<TeamName>,
    /// Class that decides whether the request may be executed more than once.
    pub class: RequestClass,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Hash by which the same request is recognised when it is sent again, without its content.
    pub fingerprint: Fingerprint,
    /// Revision of the configuration that the sender used to forward the request.
    pub revision: Revision,
    /// Remaining time for which the caller waits for the response.
    pub time_left: Duration,
    /// Call depth of the request.
    pub depth: u8,
}

impl HopMetadata {
    /// Sets the headers of a forwarded request; removes those whose value is absent.
    pub fn encode(&self, headers: &mut HeaderMap) {
        set_header(headers, SERVICE, &self.service);
        set_or_remove_header(headers, ROUTE, self.route.as_ref());
        set_or_remove_header(headers, TEAM, self.team.as_ref());
        set_header(headers, CLASS, &self.class);
        set_or_remove_header(headers, IDEMPOTENCY_KEY, self.key.as_ref());
        set_header(headers, FINGERPRINT, &self.fingerprint);
        set_header(headers, REVISION, &self.revision);
        set_header(headers, DEADLINE, &self.time_left.as_millis());
        set_header(headers, DEPTH, &self.depth);
    }

    /// Returns the metadata in the headers of a forwarded request.
    ///
    /// # Errors
    ///
    /// Returns [`HopError`] if a required header is missing, a header is malformed, or the call
    /// depth exceeds [`MAX_DEPTH`].
    pub fn decode(headers: &HeaderMap) -> Result<Self> {
        let caller = CallerMetadata::decode(headers)?;
        let fingerprint = required(header_text(headers, &FINGERPRINT)?, &FINGERPRINT)?;
        let fingerprint = u64::from_str_radix(fingerprint, 16)
            .map_err(|_| HopError::Malformed(FINGERPRINT.clone()))?;
        let class = required(header_text(headers, &CLASS)?, &CLASS)?;
        Ok(Self {
            service: required(parse_header(headers, &SERVICE)?, &SERVICE)?,
            route: parse_header(headers, &ROUTE)?,
            team: caller.team,
            class: decode_class(class).ok_or(HopError::Malformed(CLASS.clone()))?,
            key: caller.key,
            fingerprint: Fingerprint(fingerprint),
            revision: Revision(required(parse_header(headers, &REVISION)?, &REVISION)?),
            time_left: required(caller.time_left, &DEADLINE)?,
            depth: caller.depth,
        })
    }
}

/// Returns the request class with this name.
fn decode_class(text: &str) -> Option<RequestClass> {
    let classes = [
        RequestClass::ByMethod,
        RequestClass::Idempotent,
        RequestClass::AtMostOnce,
    ];
    classes.into_iter().find(|c| c.to_string() == text)
}

/// Returns the trace id of a request.
///
/// A malformed header is treated as absent, as W3C Trace Context requires.
#[must_use]
pub fn decode_trace(headers: &HeaderMap) -> Option<TraceId> {
    let mut parts = headers.get(&TRACE)?.to_str().ok()?.split('-');
    let (_version, trace) = (parts.next()?, parts.next()?);
    if trace.len() != TRACE_ID_DIGITS {
        return None;
    }
    let id = u128::from_str_radix(trace, 16).ok()?;
    (id != 0).then_some(TraceId(id))
}

/// Sets a trace header with the given ids if the request has no valid one.
pub fn ensure_trace(headers: &mut HeaderMap, trace_id: TraceId, parent_id: u64) {
    if decode_trace(headers).is_none() {
        // Version 0 and not sampled; a parent id of zero is invalid.
        let text = format!("00-{:032x}-{:016x}-00", trace_id.0, parent_id.max(1));
        set_header(headers, TRACE, &text);
    }
}

/// Removes the headers that only daemons may set.
pub fn strip_internal_headers(headers: &mut HeaderMap) {
    for name in &INTERNAL_HEADERS {
        headers.remove(name);
    }
}

/// Removes the headers that apply to a single connection only, which RFC 9110 (section 7.6.1) calls
/// hop-by-hop headers.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ] {
        headers.remove(name);
    }
}

/// Sets the load hint of a response.
pub fn encode_load_hint(headers: &mut HeaderMap, hint: LoadHint) {
    let text = format!("{} {} {}", hint.running, hint.queued, hint.limit);
    set_header(headers, HINT, &text);
}

/// Returns the load hint of a response.
///
/// A malformed header is treated as absent, because the hint is optional.
#[must_use]
pub fn decode_load_hint(headers: &HeaderMap) -> Option<LoadHint> {
    let text = headers.get(&HINT)?.to_str().ok()?;
    let mut numbers = text.split(' ').map(u16::from_str);
    Some(LoadHint {
        running: numbers.next()?.ok()?,
        queued: numbers.next()?.ok()?,
        limit: numbers.next()?.ok()?,
    })
}

/// Returns what a response of an upstream says about the upstream.
#[must_use]
pub fn decode_signals(headers: &HeaderMap) -> UpstreamSignals {
    let text = |name| headers.get(name).map(|v: &HeaderValue| v.to_str().ok());
    UpstreamSignals {
        rate_limit: text(&RATE_LIMIT).map_or(RateLimitSignal::Unlimited, RateLimitSignal::parse),
        leaving: text(&LEAVING).flatten().is_some_and(|v| v.trim() == "1"),
    }
}

/// Sets the time that the upstream took to respond, in microseconds.
pub fn encode_upstream_time(headers: &mut HeaderMap, time: Duration) {
    set_header(headers, UPSTREAM_TIME, &time.as_micros());
}

/// Returns the time that the upstream took to respond; a malformed header is treated as absent.
#[must_use]
pub fn decode_upstream_time(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&UPSTREAM_TIME)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_micros)
}

/// Sets outcome and reason of a refusal.
pub fn encode_refusal(headers: &mut HeaderMap, refusal: Refusal) {
    set_header(headers, OUTCOME, &refusal.outcome);
    set_header(headers, REASON, &refusal.reason);
}

/// Returns outcome and reason of a refusal by another daemon, or `None` if the response is not a
/// refusal.
///
/// An unrecognised reason, for example from a newer release, is decoded as [`Reason::Internal`].
/// All outcomes other than [`Outcome::NotRun`] are decoded as [`Outcome::Unknown`], because a retry
/// is safe only if the request was certainly not run.
#[must_use]
pub fn decode_refusal(headers: &HeaderMap) -> Option<Refusal> {
    let outcome = headers.get(&OUTCOME)?.to_str().unwrap_or_default();
    let reason = headers.get(&REASON).and_then(|v| v.to_str().ok());
    let outcome = if outcome == Outcome::NotRun.to_string() {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    };
    let reason = reason
        .and_then(|text| serde_json::from_value(text.into()).ok())
        .unwrap_or(Reason::Internal);
    Some(Refusal { outcome, reason })
}

/// Sets a header.
fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &impl Display) {
    // The value is always valid, so no header is lost: identifiers, numbers and traces are visible
    // ASCII, and an idempotency key was received in a header.
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        headers.insert(name, value);
    }
}

/// Sets a header, or removes it if there is no value.
fn set_or_remove_header(headers: &mut HeaderMap, name: HeaderName, value: Option<&impl Display>) {
    match value {
        Some(value) => set_header(headers, name, value),
        None => {
            headers.remove(name);
        }
    }
}

/// Returns the text of a header, or an error if it is not visible ASCII.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    headers
        .get(name)
        .map(|value| {
            value
                .to_str()
                .map_err(|_| HopError::Malformed(name.clone()))
        })
        .transpose()
}

/// Returns the parsed value of a header, or an error if it is malformed.
fn parse_header<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>> {
    header_text(headers, name)?
        .map(|text| text.parse().map_err(|_| HopError::Malformed(name.clone())))
        .transpose()
}

/// Returns `value`, or an error for the missing header `name`.
fn required<T>(value: Option<T>, name: &HeaderName) -> Result<T> {
    value.ok_or_else(|| HopError::Missing(name.clone()))
}

/// Returns an idempotency key without quotes. Callers usually send the key as a structured-field
/// string (RFC 9651), which is quoted.
#[must_use]
pub fn unquote(text: &str) -> &str {
    text.strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
        .unwrap_or(text)
}
