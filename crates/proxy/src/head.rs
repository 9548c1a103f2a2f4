//! Checks and cleans heads and trailers.
//!
//! Nothing that belongs to one connection crosses the fleet, and nothing that only the fleet may say
//! is taken from a caller.

use std::net::{
    IpAddr,
    SocketAddr, //
};

use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Method,
    Uri,
    Version, //
    header::{
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        HOST,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        VIA, //
    },
    request,
    response,
};

use crate::{
    names,
    refusal::RefusalKind, //
};

/// Most header fields in a head; a browser sends about 30.
pub const HEADER_COUNT_MAX: usize = 100;

/// Address that a request came from, as the connection shows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerAddress(pub SocketAddr);

/// Checks the head of a request, whatever the protocol version.
///
/// # Errors
///
/// Fails with the refusal for a request that must not be routed.
pub fn check_request(parts: &request::Parts) -> Result<(), RefusalKind> {
    let headers = &parts.headers;
    if headers.len() > HEADER_COUNT_MAX {
        return Err(RefusalKind::HeadTooLarge);
    }
    if parts.method == Method::CONNECT {
        return Err(RefusalKind::NoMethod);
    }
    if headers.contains_key(UPGRADE) {
        return Err(RefusalKind::BadRequest);
    }
    if headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING)
        || headers.get_all(CONTENT_LENGTH).iter().count() > 1
    {
        return Err(RefusalKind::BadRequest);
    }
    let is_continue = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"100-continue");
    if !headers.get_all(EXPECT).iter().all(is_continue) {
        return Err(RefusalKind::BadExpectation);
    }
    check_host(parts)
}

/// Requires one host: two that differ could route a request in two ways.
fn check_host(parts: &request::Parts) -> Result<(), RefusalKind> {
    let mut hosts = parts.headers.get_all(HOST).iter();
    let host = hosts.next();
    let authority = parts.uri.authority().map(|authority| authority.as_str());
    let is_plain = |text: &str| !text.contains(['@', '/', '?', '#', ',', ' ', '\t']);
    let is_valid = match (host, authority) {
        _ if hosts.next().is_some() => false,
        (None, None) => parts.version == Version::HTTP_10,
        (None, Some(authority)) => is_plain(authority),
        (Some(host), None) => host.to_str().is_ok_and(is_plain),
        (Some(host), Some(authority)) => {
            is_plain(authority) && host.as_bytes().eq_ignore_ascii_case(authority.as_bytes())
        }
    };
    is_valid.then_some(()).ok_or(RefusalKind::BadRequest)
}

/// Makes the head of a request fit to go to a target.
///
/// The target becomes the host later. `Forwarded` and `X-Forwarded-For` name the address that the
/// connection shows; what a caller wrote there is dropped, because it could claim any origin.
pub fn clean_request(parts: &mut request::Parts) {
    let host = host_of(&parts.uri, &parts.headers);
    let headers = &mut parts.headers;
    remove_hop_headers(headers);
    for name in names::ORIGIN_HEADERS {
        headers.remove(name);
    }
    for name in names::KEY_HEADERS {
        // The cookie remains: its key has been taken out.
        if name != "cookie" {
            headers.remove(name);
        }
    }
    for name in names::INTERNAL_HEADERS {
        headers.remove(name);
    }
    headers.remove(EXPECT);
    clean_trailer_names(headers);
    add_via(headers, parts.version);
    if let Some(CallerAddress(address)) = parts.extensions.get() {
        add_forwarded(headers, address.ip().to_canonical(), host.as_deref());
    }
}

/// Makes the head of an answer fit to go to a caller.
pub fn clean_answer(parts: &mut response::Parts) {
    // With a transfer coding the length is not the one of the content.
    if parts.headers.contains_key(TRANSFER_ENCODING) {
        parts.headers.remove(CONTENT_LENGTH);
    }
    remove_hop_headers(&mut parts.headers);
    for name in names::INTERNAL_HEADERS {
        parts.headers.remove(name);
    }
    clean_trailer_names(&mut parts.headers);
    add_via(&mut parts.headers, parts.version);
}

/// Removes from trailers what must not stand there.
pub fn clean_trailers(trailers: &mut HeaderMap) {
    let bad: Vec<HeaderName> = trailers
        .keys()
        .filter(|name| is_bad_trailer(name.as_str()))
        .cloned()
        .collect();
    for name in bad {
        trailers.remove(name);
    }
}

fn is_bad_trailer(name: &str) -> bool {
    let is_internal = || {
        names::INTERNAL_HEADERS
            .iter()
            .any(|internal| internal == name)
    };
    names::KEY_HEADERS.contains(&name)
        || names::HOP_HEADERS.contains(&name)
        || names::ORIGIN_HEADERS.contains(&name)
        || names::TRAILER_FORBIDDEN.contains(&name)
        || name == names::API_KEY_FIELD
        || is_internal()
}

/// Removes the names of removed trailers from `Trailer`.
fn clean_trailer_names(headers: &mut HeaderMap) {
    let kept: Vec<String> = listed_names(headers, TRAILER)
        .into_iter()
        .filter(|name| !is_bad_trailer(name))
        .collect();
    headers.remove(TRAILER);
    if !kept.is_empty()
        && let Ok(value) = HeaderValue::from_str(&kept.join(", "))
    {
        headers.insert(TRAILER, value);
    }
}

/// Returns the comma-separated names of a header in lower case.
fn listed_names(headers: &HeaderMap, name: HeaderName) -> Vec<String> {
    headers
        .get_all(name)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| !name.is_empty())
        .collect()
}

fn remove_hop_headers(headers: &mut HeaderMap) {
    for name in listed_names(headers, CONNECTION) {
        // A listed framing or host header would change how the rest is read.
        if !matches!(name.as_str(), "content-length" | "host") {
            headers.remove(name);
        }
    }
    for name in names::HOP_HEADERS {
        headers.remove(name);
    }
}

fn host_of(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    let host = headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = uri.authority().map(|authority| authority.as_str()).or(host);
    host.map(str::to_owned)
}

fn add_via(headers: &mut HeaderMap, version: Version) {
    let version = match version {
        Version::HTTP_10 => "1.0",
        Version::HTTP_2 => "2",
        _ => "1.1",
    };
    if let Ok(value) = HeaderValue::from_str(&format!("{version} {}", names::FLEET_NAME)) {
        headers.append(VIA, value);
    }
}

fn add_forwarded(headers: &mut HeaderMap, address: IpAddr, host: Option<&str>) {
    let node = match address {
        IpAddr::V4(address) => address.to_string(),
        IpAddr::V6(address) => format!("\"[{address}]\""),
    };
    let host = host.filter(|host| !host.contains(['"', '\\']));
    let host = host
        .map(|host| format!(";host=\"{host}\""))
        .unwrap_or_default();
    if let Ok(value) = HeaderValue::from_str(&format!("for={node}{host};proto=http")) {
        headers.insert(names::FORWARDED, value);
    }
    if let Ok(value) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(names::FORWARDED_FOR, value);
    }
}
