//! Parsers for argument values. Their error messages show the expected format.

use cornelvalve_api::{Timestamp, WaitFor};
use cornelvalve_model::{RequestClass, Route};

/// Parses the stage that a change must reach before the command ends.
pub(crate) fn wait_for(text: &str) -> Result<WaitFor, String> {
    match text {
        "published" => Ok(WaitFor::Published),
        "accepted" => Ok(WaitFor::Accepted),
        "in-force" => Ok(WaitFor::InForce),
        _ => Err("use published, accepted or in-force".to_owned()),
    }
}

/// Parses a route written as `name=prefix` or `name=prefix:class`; the class defaults to
/// by-method.
pub(crate) fn route(text: &str) -> Result<Route, String> {
    let (name, rest) = text
        .split_once('=')
        .ok_or("write it as name=prefix:class, such as file=/file:at-most-once")?;
    let (prefix, class) = match rest.rsplit_once(':') {
        Some((prefix, class)) => (prefix, request_class(class)?),
        None => (rest, RequestClass::ByMethod),
    };
    if !prefix.starts_with('/') {
        return Err("the prefix must start with '/'".to_owned());
    }
    Ok(Route {
        name: name.parse().map_err(|e| format!("{e}"))?,
        prefix: prefix.to_owned(),
        class,
    })
}

fn request_class(text: &str) -> Result<RequestClass, String> {
    match text {
        "by-method" => Ok(RequestClass::ByMethod),
        "idempotent" => Ok(RequestClass::Idempotent),
        "at-most-once" => Ok(RequestClass::AtMostOnce),
        _ => Err("the class is by-method, idempotent or at-most-once".to_owned()),
    }
}

/// Parses a timestamp as the timeline prints it: milliseconds of wall time, a dot and the logical
/// counter. The counter defaults to 0.
pub(crate) fn timestamp(text: &str) -> Result<Timestamp, String> {
    let (wall_ms, logical) = text.split_once('.').unwrap_or((text, "0"));
    match (wall_ms.parse(), logical.parse()) {
        (Ok(wall_ms), Ok(logical)) => Ok(Timestamp { wall_ms, logical }),
        _ => Err("write it as the timeline prints it, such as 1790000000000.3".to_owned()),
    }
}
