//! Form of hosts, path prefixes and paths.

use std::borrow::Cow;

use cornelvalve_model::Route;

use crate::{Rejection, Result};

/// Checks the hosts of a service.
pub(crate) fn check_hosts(hosts: &[String]) -> Result<()> {
    const REMEDY: &str = "use lower-case letters, digits, '.', '-' and '_', without port; \
                          an IPv6 address in brackets";
    if hosts.is_empty() {
        return Err(Rejection::invalid("hosts", "give at least one host"));
    }
    for (i, host) in hosts.iter().enumerate() {
        if !is_host(host) {
            return Err(Rejection::invalid("hosts", REMEDY));
        }
        if hosts[..i].contains(host) {
            return Err(Rejection::invalid("hosts", "name each host once"));
        }
    }
    Ok(())
}

fn is_host(host: &str) -> bool {
    if let Some(address) = host.strip_prefix('[').and_then(|h| h.strip_suffix(']')) {
        let lower = !address.bytes().any(|b| b.is_ascii_uppercase());
        return lower && address.parse::<std::net::Ipv6Addr>().is_ok();
    }
    let allowed =
        |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'-' | b'_');
    !host.is_empty() && !host.ends_with('.') && host.bytes().all(allowed)
}

/// Checks the routes of a service.
pub(crate) fn check_routes(routes: &[Route]) -> Result<()> {
    for (i, route) in routes.iter().enumerate() {
        let earlier = &routes[..i];
        if earlier.iter().any(|r| r.name == route.name) {
            return Err(Rejection::invalid("routes", "give each route its own name"));
        }
        let plain = !route.prefix.contains('%') && normalize_path(&route.prefix) == route.prefix;
        if !route.prefix.starts_with('/') || !plain {
            let remedy = "start it with '/', without '..', '//', '%', '?' or '#'";
            return Err(Rejection::invalid("prefix", remedy));
        }
        let prefix = trim_slash(&route.prefix);
        if earlier.iter().any(|r| trim_slash(&r.prefix) == prefix) {
            return Err(Rejection::invalid(
                "routes",
                "give each route its own prefix",
            ));
        }
    }
    Ok(())
}

/// Removes the port and a final dot and folds the case.
pub(crate) fn normalize_host(host: &str) -> Cow<'_, str> {
    let name = match host.strip_prefix('[').and_then(|h| h.find(']')) {
        // The closing bracket stands one byte further on in the unstripped text.
        Some(end) => &host[..end + 2],
        None => host.split(':').next().unwrap_or(host),
    };
    let name = name.strip_suffix('.').unwrap_or(name);
    if name.bytes().any(|b| b.is_ascii_uppercase()) {
        return Cow::Owned(name.to_ascii_lowercase());
    }
    Cow::Borrowed(name)
}

/// Brings a path to the form in which an upstream is likely to see it: percent-decoded, without
/// query, empty segments or dot segments.
///
/// Without this, `/x/../remise` or `/%72emise` would miss the route `/remise` and evade its
/// residency rules and its class. An escaped slash stays escaped.
pub(crate) fn normalize_path(path: &str) -> Cow<'_, str> {
    let path = path.split(['?', '#']).next().unwrap_or(path);
    if !path.contains('%') && !path.contains("//") && !path.contains("/.") {
        return Cow::Borrowed(path);
    }
    Cow::Owned(remove_dots(&percent_decode(path, false)))
}

/// Returns the form that an upstream sees if it takes an escaped slash for a separator, provided
/// that the path has one.
pub(crate) fn split_escaped_slash(path: &str) -> Option<String> {
    let path = path.split(['?', '#']).next().unwrap_or(path);
    let escaped = path.contains("%2F") || path.contains("%2f");
    escaped.then(|| remove_dots(&percent_decode(path, true)))
}

fn remove_dots(path: &str) -> String {
    let mut segments: Vec<&str> = Vec::new();
    for segment in path.split('/') {
        match segment {
            "" | "." => {}
            ".." => drop(segments.pop()),
            other => segments.push(other),
        }
    }
    let end = if path.ends_with('/') && !segments.is_empty() {
        "/"
    } else {
        ""
    };
    format!("/{}{end}", segments.join("/"))
}

fn percent_decode(path: &str, slashes: bool) -> String {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut i = 0;
    while i < bytes.len() {
        match escaped_byte(&bytes[i..]) {
            Some(byte) if byte != b'/' || slashes => {
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

/// Returns the byte that an escape at the start of the text stands for.
fn escaped_byte(text: &[u8]) -> Option<u8> {
    let [b'%', high, low, ..] = text else {
        return None;
    };
    let digit = |b: &u8| char::from(*b).to_digit(16);
    u8::try_from(digit(high)? * 16 + digit(low)?).ok()
}

/// Tells whether a normalized path lies under a prefix; `/a` covers `/a/b` but not `/ab`.
pub(crate) fn covers(prefix: &str, path: &str) -> bool {
    let prefix = trim_slash(prefix);
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn trim_slash(prefix: &str) -> &str {
    prefix.strip_suffix('/').unwrap_or(prefix)
}
