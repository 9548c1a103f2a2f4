//! Validates and sanitizes message heads and trailers.
//!
//! Hop-by-hop headers are never forwarded, and headers that only the fleet may set are never accepted from
//! a caller.

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

/// Maximum number of header fields in a head; a browser sends about 30.
pub const HEADER_COUNT_MAX: usize = 100;

/// Remote address of the connection on which a request arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerAddress(pub SocketAddr);

/// Validates the head of a request of any HTTP version.
///
/// # Errors
///
/// Returns the refusal for a request that must not be routed.
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

/// Requires exactly one host, because a request with two different hosts could be routed in two ways. Only
/// HTTP/1.0 requests may have none.
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

/// Removes and adds headers so that the head of a request can be sent to a target.
///
/// The `Host` header is replaced later. `Forwarded` and `X-Forwarded-For` are set to the remote address of
/// the connection; values that the caller sent are dropped, because it could claim any origin.
pub fn sanitize_request(parts: &mut request::Parts) {
    let host = host_of(&parts.uri, &parts.headers);
    let headers = &mut parts.headers;
    remove_hop_by_hop_headers(headers);
    for name in names::ORIGIN_HEADERS {
        headers.remove(name);
    }
    for name in names::CREDENTIAL_HEADERS {
        // The cookies remain, as `take_key` has removed the key from them.
        if name != "cookie" {
            headers.remove(name);
        }
    }
    for name in names::INTERNAL_HEADERS {
        headers.remove(name);
    }
    headers.remove(EXPECT);
    sanitize_trailer_names(headers);
    add_via(headers, parts.version);
    if let Some(CallerAddress(address)) = parts.extensions.get() {
        add_forwarded(headers, address.ip().to_canonical(), host.as_deref());
    }
}

/// Removes and adds headers so that the head of a response can be sent to a caller.
pub fn sanitize_response(parts: &mut response::Parts) {
    // With a transfer coding, `Content-Length` does not give the length of the content.
    if parts.headers.contains_key(TRANSFER_ENCODING) {
        parts.headers.remove(CONTENT_LENGTH);
    }
    remove_hop_by_hop_headers(&mut parts.headers);
    for name in names::INTERNAL_HEADERS {
        parts.headers.remove(name);
    }
    sanitize_trailer_names(&mut parts.headers);
    add_via(&mut parts.headers, parts.version);
}

/// Removes the trailers that must not be forwarded.
pub fn sanitize_trailers(trailers: &mut HeaderMap) {
    let forbidden: Vec<HeaderName> = trailers
        .keys()
        .filter(|name| is_forbidden_trailer(name.as_str()))
        .cloned()
        .collect();
    for name in forbidden {
        trailers.remove(name);
    }
}

fn is_forbidden_trailer(name: &str) -> bool {
    let is_internal = || {
        names::INTERNAL_HEADERS
            .iter()
            .any(|internal| internal == name)
    };
    names::CREDENTIAL_HEADERS.contains(&name)
        || names::HOP_BY_HOP_HEADERS.contains(&name)
        || names::ORIGIN_HEADERS.contains(&name)
        || names::FORBIDDEN_TRAILERS.contains(&name)
        || name == names::API_KEY_FIELD
        || is_internal()
}

/// Removes the names of trailers that are not forwarded from the `Trailer` header.
fn sanitize_trailer_names(headers: &mut HeaderMap) {
    let kept: Vec<String> = listed_names(headers, TRAILER)
        .into_iter()
        .filter(|name| !is_forbidden_trailer(name))
        .collect();
    headers.remove(TRAILER);
    if !kept.is_empty()
        && let Ok(value) = HeaderValue::from_str(&kept.join(", "))
    {
        headers.insert(TRAILER, value);
    }
}

/// Returns the comma-separated names in a header, in lower case.
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

fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    for name in listed_names(headers, CONNECTION) {
        // Removing the framing or the host would change how the request is interpreted.
        if !matches!(name.as_str(), "content-length" | "host") {
            headers.remove(name);
        }
    }
    for name in names::HOP_BY_HOP_HEADERS {
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
