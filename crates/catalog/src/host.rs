//! Validation and normalization of host names, path prefixes and request paths.

use std::borrow::Cow;

use cornelvalve_model::Route;

use crate::{CheckResult, Rejection};

/// Checks the host names of a service.
pub(crate) fn check_hosts(hosts: &[String]) -> CheckResult<()> {
    const REMEDY: &str = "use lower-case letters, digits, '.', '-' and '_', without port; \
                          an IPv6 address in brackets";
    if hosts.is_empty() {
        return Err(Rejection::invalid("hosts", "give at least one host"));
    }
    for (i, host) in hosts.iter().enumerate() {
        if !is_valid_host(host) {
            return Err(Rejection::invalid("hosts", REMEDY));
        }
        if hosts[..i].contains(host) {
            return Err(Rejection::invalid("hosts", "name each host once"));
        }
    }
    Ok(())
}

/// Returns whether a host name or bracketed IPv6 address is in normalized form.
fn is_valid_host(host: &str) -> bool {
    if let Some(address) = host.strip_prefix('[').and_then(|h| h.strip_suffix(']')) {
        let is_lowercase = !address.bytes().any(|b| b.is_ascii_uppercase());
        return is_lowercase && address.parse::<std::net::Ipv6Addr>().is_ok();
    }
    let allowed =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'-' | b'_');
    !host.is_empty() && !host.ends_with('.') && host.bytes().all(allowed)
}

/// Checks the routes of a service.
pub(crate) fn check_routes(routes: &[Route]) -> CheckResult<()> {
    for (i, route) in routes.iter().enumerate() {
        let earlier = &routes[..i];
        if earlier.iter().any(|r| r.name == route.name) {
            return Err(Rejection::invalid("routes", "give each route its own name"));
        }
        let is_normalized =
            !route.prefix.contains('%') && normalize_path(&route.prefix) == route.prefix;
        if !route.prefix.starts_with('/') || !is_normalized {
            let remedy = "start it with '/', without '..', '//', '%', '?' or '#'";
            return Err(Rejection::invalid("prefix", remedy));
        }
        let prefix = trim_trailing_slash(&route.prefix);
        if earlier
            .iter()
            .any(|r| trim_trailing_slash(&r.prefix) == prefix)
        {
            return Err(Rejection::invalid(
                "routes",
                "give each route its own prefix",
            ));
        }
    }
    Ok(())
}

/// Returns a host without its port and trailing dot, in lower case.
pub(crate) fn normalize_host(host: &str) -> Cow<'_, str> {
    let name = match host.strip_prefix('[').and_then(|h| h.find(']')) {
        // `end` counts from after the opening bracket, and the closing one is included.
        Some(end) => &host[..end + 2],
        None => host.split(':').next().unwrap_or(host),
    };
    let name = name.strip_suffix('.').unwrap_or(name);
    if name.bytes().any(|b| b.is_ascii_uppercase()) {
        return Cow::Owned(name.to_ascii_lowercase());
    }
    Cow::Borrowed(name)
}

/// Returns a path in the form that an upstream is likely to use: percent-decoded, and without
/// query, empty segments and dot segments.
///
/// Without this, `/x/../orders` and `/%6frders` would bypass the route `/orders`, its residency
/// rules and its request class. Percent-encoded slashes are not decoded.
pub(crate) fn normalize_path(path: &str) -> Cow<'_, str> {
    let path = path.split(['?', '#']).next().unwrap_or(path);
    if !path.contains('%') && !path.contains("//") && !path.contains("/.") {
        return Cow::Borrowed(path);
    }
    Cow::Owned(remove_dot_segments(&percent_decode(path, false)))
}

/// Returns the normalized path with percent-encoded slashes decoded too, which is the form that
/// some upstreams use, or `None` if the path has no percent-encoded slash.
pub(crate) fn decode_slashes(path: &str) -> Option<String> {
    let path = path.split(['?', '#']).next().unwrap_or(path);
    let has_encoded_slash = path.contains("%2F") || path.contains("%2f");
    has_encoded_slash.then(|| remove_dot_segments(&percent_decode(path, true)))
}

/// Removes empty segments and resolves `.` and `..`.
fn remove_dot_segments(path: &str) -> String {
    let mut segments: Vec<&str> = Vec::new();
    for segment in path.split('/') {
        match segment {
            "" | "." => {}
            ".." => drop(segments.pop()),
            other => segments.push(other),
        }
    }
    let trailing_slash = if path.ends_with('/') && !segments.is_empty() {
        "/"
    } else {
        ""
    };
    format!("/{}{trailing_slash}", segments.join("/"))
}

/// Decodes percent-encoded bytes, except slashes unless `with_slashes` is set.
fn percent_decode(path: &str, with_slashes: bool) -> String {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut i = 0;
    while i < bytes.len() {
        match decode_escape(&bytes[i..]) {
            Some(byte) if byte != b'/' || with_slashes => {
                decoded.push(byte);
                i += 3;
            }
            _ => {
                decoded.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns the byte that a percent-encoding at the start of the text stands for, or `None` if there
/// is none.
fn decode_escape(text: &[u8]) -> Option<u8> {
    let [b'%', high, low, ..] = text else {
        return None;
    };
    let digit = |b: &u8| char::from(*b).to_digit(16);
    u8::try_from(digit(high)? * 16 + digit(low)?).ok()
}

/// Returns whether a normalized path starts with the segments of a prefix: `/a` matches `/a/b` but
/// not `/ab`.
pub(crate) fn prefix_matches(prefix: &str, path: &str) -> bool {
    let prefix = trim_trailing_slash(prefix);
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn trim_trailing_slash(prefix: &str) -> &str {
    prefix.strip_suffix('/').unwrap_or(prefix)
}
