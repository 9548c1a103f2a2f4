//! Header names used with callers and targets.
//!
//! The headers for the state of a target, for its report that it did not run a request, and for the
//! deadline of a request are defined only here.

use http::HeaderName;

/// Header in which a caller may send its API key.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// Name of the query parameter and of the cookie in which a caller may send its API key.
pub const API_KEY_FIELD: &str = "api_key";

/// Header by which a target reports its state: `draining`, `cold` or `ready`.
pub const TARGET_STATE: HeaderName = HeaderName::from_static("x-target-state");

/// Header by which a target reports that it did not run the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Header by which a target reports its start time; a changed value means a restart.
pub const STARTED_AT: HeaderName = HeaderName::from_static("x-started-at");

/// Header with the time left until the deadline of a request, in milliseconds, for the target.
pub const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("x-request-timeout-ms");

/// Header with the team on whose behalf a request runs, for the target.
pub const TEAM: HeaderName = HeaderName::from_static("x-team");

/// Header of RFC 9209 that describes to callers how the fleet handled the request.
pub const PROXY_STATUS: HeaderName = HeaderName::from_static("proxy-status");

/// Header of RFC 7239 with the address of the caller, for the target.
pub const FORWARDED: HeaderName = HeaderName::from_static("forwarded");

/// Older de facto standard header with the address of the caller, for the target.
pub const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Headers about the origin of a request. Only the fleet sets them, because callers could claim any origin.
pub const ORIGIN_HEADERS: [&str; 7] = [
    "forwarded",
    "x-forwarded-for",
    "x-forwarded-host",
    "x-forwarded-port",
    "x-forwarded-proto",
    "x-forwarded-server",
    "x-real-ip",
];

/// Headers between the fleet and targets, which are never accepted from callers or sent to them.
pub const INTERNAL_HEADERS: [HeaderName; 5] =
    [TARGET_STATE, NOT_RUN, STARTED_AT, REQUEST_TIMEOUT, TEAM];

/// Hop-by-hop headers, which RFC 9110 section 7.6.1 forbids to forward.
pub const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "http2-settings",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authentication-info",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Headers that may contain credentials of a caller.
pub const CREDENTIAL_HEADERS: [&str; 4] = [
    "authorization",
    "cookie",
    "proxy-authorization",
    "x-api-key",
];

/// Fields that RFC 9110 section 6.5.1 forbids in trailers, because they control framing, routing or the
/// interpretation of the content.
pub const FORBIDDEN_TRAILERS: [&str; 14] = [
    "cache-control",
    "content-encoding",
    "content-length",
    "content-range",
    "content-type",
    "expect",
    "host",
    "if-match",
    "if-none-match",
    "max-forwards",
    "range",
    "set-cookie",
    "trailer",
    "via",
];

/// Header by which the connection guard passes the kind of a refusal to the server. A request of a caller
/// that contains it is always refused.
pub(crate) const GUARD_REFUSAL: HeaderName = HeaderName::from_static("chicorycroft-refusal");

/// Name of the fleet in `Via` and `Proxy-Status`.
pub const FLEET_NAME: &str = "chicorycroft";
