//! Headers of callers' requests and of the hop between two daemons.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use cornelvalve_model::{
    Fingerprint, IdempotencyKey, LoadHint, Outcome, Reason, Refusal, RequestClass, Revision,
    RouteName, ServiceName, TeamName, TraceId,
};
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue};

/// Result alias of this module.
pub type Result<T> = std::result::Result<T, HopError>;

/// Team on whose behalf a request is made.
pub const TEAM: HeaderName = HeaderName::from_static("cornelvalve-team");
/// Time in milliseconds for which the caller still waits.
pub const DEADLINE: HeaderName = HeaderName::from_static("cornelvalve-deadline-ms");
/// Idempotency key of the caller.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Number of calls that a request is nested in.
pub const DEPTH: HeaderName = HeaderName::from_static("cornelvalve-depth");
/// Outcome of a request that was not answered by an upstream; set by daemons only.
pub const OUTCOME: HeaderName = HeaderName::from_static("cornelvalve-outcome");
/// Reason that goes with [`OUTCOME`].
pub const REASON: HeaderName = HeaderName::from_static("cornelvalve-reason");
/// Reading of the sender's hybrid logical clock, which orders the events of all daemons.
pub const CLOCK: HeaderName = HeaderName::from_static("cornelvalve-clock");

const UPSTREAM_TIME: HeaderName = HeaderName::from_static("cornelvalve-upstream-us");
/// Trace of a request (W3C Trace Context), which ties nested calls to the request that made them.
pub const TRACE: HeaderName = HeaderName::from_static("traceparent");

const SERVICE: HeaderName = HeaderName::from_static("cornelvalve-service");
const ROUTE: HeaderName = HeaderName::from_static("cornelvalve-route");
const CLASS: HeaderName = HeaderName::from_static("cornelvalve-class");
const FINGERPRINT: HeaderName = HeaderName::from_static("cornelvalve-fingerprint");
const REVISION: HeaderName = HeaderName::from_static("cornelvalve-revision");
const HINT: HeaderName = HeaderName::from_static("cornelvalve-hint");

/// Headers that only daemons may set; removed from whatever callers and upstreams send.
const INTERNAL: [HeaderName; 10] = [
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
];

/// Hexadecimal digits of a trace id.
const TRACE_ID_DIGITS: usize = 32;

/// Largest nesting of calls; the deepest chain among the services in use has nine.
pub const MAX_DEPTH: u8 = 9;

/// Reports a header that cannot be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum HopError {
    /// A required header is missing.
    #[display("header {_0} is missing; requests between daemons must carry it")]
    Missing(#[error(not(source))] HeaderName),
    /// The value of a header has the wrong form.
    #[display("header {_0} is malformed; see the callers' page for its form")]
    Malformed(#[error(not(source))] HeaderName),
    /// The request is nested too deep.
    #[display("request is nested more than {MAX_DEPTH} deep; shorten the chain of calls")]
    TooDeep,
}

impl HopError {
    /// Returns the refusal that a caller gets.
    #[must_use]
    pub fn refusal(&self) -> Refusal {
        match self {
            Self::TooDeep => Refusal::not_run(Reason::TooDeep),
            Self::Missing(_) | Self::Malformed(_) => Refusal::not_run(Reason::BadRequest),
        }
    }
}

/// What a caller says about its request beside host, path and method.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerMetadata {
    /// Team on whose behalf the request is made.
    pub team: Option<TeamName>,
    /// Time for which the caller waits.
    pub time_left: Option<Duration>,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Number of calls that the request is nested in.
    pub depth: u8,
}

impl CallerMetadata {
    /// Reads the caller's headers.
    ///
    /// # Errors
    ///
    /// Returns [`HopError`] if a header is malformed or the request is nested too deep.
    pub fn decode(headers: &HeaderMap) -> Result<Self> {
        let depth = parse(headers, &DEPTH)?.unwrap_or(0);
        if depth > MAX_DEPTH {
            return Err(HopError::TooDeep);
        }
        Ok(Self {
            team: parse(headers, &TEAM)?,
            time_left: parse(headers, &DEADLINE)?.map(Duration::from_millis),
            key: text(headers, &IDEMPOTENCY_KEY)?.map(|key| IdempotencyKey(unquote(key).into())),
            depth,
        })
    }
}

/// What a daemon tells the daemon beside the chosen upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopMetadata {
    /// Service that the request is for.
    pub service: ServiceName,
    /// Route of the service that matched.
    pub route: Option<RouteName>,
    /// Team on whose behalf the request is made.
    pub team: Option<TeamName>,
    /// Whether it may be repeated.
    pub class: RequestClass,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Revision of the configuration on which the sender decided.
    pub revision: Revision,
    /// Time for which the caller still waits.
    pub time_left: Duration,
    /// Nesting depth for calls that the upstream makes.
    pub depth: u8,
}

impl HopMetadata {
    /// Writes the hop headers.
    pub fn encode(&self, headers: &mut HeaderMap) {
        set(headers, SERVICE, &self.service);
        set_or_remove(headers, ROUTE, self.route.as_ref());
        set_or_remove(headers, TEAM, self.team.as_ref());
        set(headers, CLASS, &self.class);
        set_or_remove(headers, IDEMPOTENCY_KEY, self.key.as_ref());
        set(headers, FINGERPRINT, &self.fingerprint);
        set(headers, REVISION, &self.revision);
        set(headers, DEADLINE, &self.time_left.as_millis());
        set(headers, DEPTH, &self.depth);
    }

    /// Reads the hop headers.
    ///
    /// # Errors
    ///
    /// Returns [`HopError`] if a required header is missing or one is malformed.
    pub fn decode(headers: &HeaderMap) -> Result<Self> {
        let caller = CallerMetadata::decode(headers)?;
        let fingerprint = required(text(headers, &FINGERPRINT)?, &FINGERPRINT)?;
        let fingerprint = u64::from_str_radix(fingerprint, 16)
            .map_err(|_| HopError::Malformed(FINGERPRINT.clone()))?;
        let class = required(text(headers, &CLASS)?, &CLASS)?;
        Ok(Self {
            service: required(parse(headers, &SERVICE)?, &SERVICE)?,
            route: parse(headers, &ROUTE)?,
            team: caller.team,
            class: decode_class(class).ok_or(HopError::Malformed(CLASS.clone()))?,
            key: caller.key,
            fingerprint: Fingerprint(fingerprint),
            revision: Revision(required(parse(headers, &REVISION)?, &REVISION)?),
            time_left: required(caller.time_left, &DEADLINE)?,
            depth: caller.depth,
        })
    }
}

fn decode_class(text: &str) -> Option<RequestClass> {
    let classes = [
        RequestClass::ByMethod,
        RequestClass::Idempotent,
        RequestClass::AtMostOnce,
    ];
    classes.into_iter().find(|c| c.to_string() == text)
}

/// Reads the trace of a request; a malformed one is treated as absent, as its standard demands.
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

/// Gives a request a trace if it has none.
pub fn ensure_trace(headers: &mut HeaderMap, new: TraceId, parent: u64) {
    if decode_trace(headers).is_none() {
        // Version 0, not sampled.
        let text = format!("00-{:032x}-{:016x}-00", new.0, parent.max(1));
        set(headers, TRACE, &text);
    }
}

/// Removes the headers that only daemons may set.
pub fn strip_internal_headers(headers: &mut HeaderMap) {
    for name in &INTERNAL {
        headers.remove(name);
    }
}

/// Removes headers that concern one connection only (RFC 9110, section 7.6.1).
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

/// Writes the load hint of an answer.
pub fn encode_load_hint(headers: &mut HeaderMap, hint: LoadHint) {
    let text = format!("{} {} {}", hint.running, hint.queued, hint.limit);
    set(headers, HINT, &text);
}

/// Reads the load hint of an answer; a malformed one is treated as absent, because it is only a
/// hint.
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

/// Writes the time that the upstream took to answer.
pub fn encode_upstream_time(headers: &mut HeaderMap, time: Duration) {
    set(headers, UPSTREAM_TIME, &time.as_micros());
}

/// Reads the time that the upstream took to answer; a malformed one is treated as absent.
#[must_use]
pub fn decode_upstream_time(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&UPSTREAM_TIME)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_micros)
}

/// Writes outcome and reason of a refusal.
pub fn encode_refusal(headers: &mut HeaderMap, refusal: Refusal) {
    set(headers, OUTCOME, &refusal.outcome);
    set(headers, REASON, &refusal.reason);
}

/// Reads outcome and reason of a refusal by another daemon.
///
/// A reason that is not known, as from a later version, becomes [`Reason::Internal`]; an outcome
/// that is not known becomes [`Outcome::Unknown`], because only a certain `NotRun` allows a retry.
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

fn set(headers: &mut HeaderMap, name: HeaderName, value: &impl Display) {
    // Identifiers and numbers contain visible ASCII only. An idempotency key came in as a header.
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        headers.insert(name, value);
    }
}

fn set_or_remove(headers: &mut HeaderMap, name: HeaderName, value: Option<&impl Display>) {
    match value {
        Some(value) => set(headers, name, value),
        None => {
            headers.remove(name);
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>> {
    headers
        .get(name)
        .map(|value| {
            value
                .to_str()
                .map_err(|_| HopError::Malformed(name.clone()))
        })
        .transpose()
}

fn parse<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>> {
    text(headers, name)?
        .map(|text| text.parse().map_err(|_| HopError::Malformed(name.clone())))
        .transpose()
}

fn required<T>(value: Option<T>, name: &HeaderName) -> Result<T> {
    value.ok_or_else(|| HopError::Missing(name.clone()))
}

/// Removes the quotes of a structured-field string, the usual form of an idempotency key.
#[must_use]
pub fn unquote(text: &str) -> &str {
    text.strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
        .unwrap_or(text)
}
