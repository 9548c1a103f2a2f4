//! Header names towards callers and targets.
//!
//! How a target says that it drains, is cold, sheds or did not run a request, and how a deadline
//! reaches it, is written here and nowhere else.

use http::HeaderName;

/// Header in which a caller may send its key.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// Name of the query parameter and of the cookie in which a caller may put its key.
pub const API_KEY_FIELD: &str = "api_key";

/// Header by which a target tells its state: `draining`, `cold` or `ready`.
pub const TARGET_STATE: HeaderName = HeaderName::from_static("x-target-state");

/// Header by which a target says that it did not run the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Header by which a target tells when it started; a change means a restart.
pub const STARTED_AT: HeaderName = HeaderName::from_static("x-started-at");

/// Header that tells a target how long the answer is still of use, in milliseconds.
pub const REQUEST_TIMEOUT: HeaderName = HeaderName::from_static("x-request-timeout-ms");

/// Header that tells a target the team that a request runs for.
pub const TEAM: HeaderName = HeaderName::from_static("x-team");

/// Header of RFC 9209 that tells callers what the fleet did.
pub const PROXY_STATUS: HeaderName = HeaderName::from_static("proxy-status");

/// Header of RFC 7239 that tells a target who called.
pub const FORWARDED: HeaderName = HeaderName::from_static("forwarded");

/// Older header that tells a target who called.
pub const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Headers about a caller's origin that only the fleet may set; callers could claim any origin.
pub const ORIGIN_HEADERS: [&str; 7] = [
    "forwarded",
    "x-forwarded-for",
    "x-forwarded-host",
    "x-forwarded-port",
    "x-forwarded-proto",
    "x-forwarded-server",
    "x-real-ip",
];

/// Headers between the fleet and targets, which callers neither send nor see.
pub const INTERNAL_HEADERS: [HeaderName; 5] =
    [TARGET_STATE, NOT_RUN, STARTED_AT, REQUEST_TIMEOUT, TEAM];

/// Headers of one connection that RFC 9110 section 7.6.1 forbids to forward.
pub const HOP_HEADERS: [&str; 9] = [
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

/// Headers that may hold credentials of a caller.
pub const KEY_HEADERS: [&str; 4] = [
    "authorization",
    "cookie",
    "proxy-authorization",
    "x-api-key",
];

/// Fields that RFC 9110 section 6.5.1 forbids in trailers, because they steer framing, routing or
/// how content is read.
pub const TRAILER_FORBIDDEN: [&str; 14] = [
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

/// Header by which the connection guard hands a refusal to the server. A caller that sends it gets
/// a refusal and nothing else.
pub(crate) const GUARD_REFUSAL: HeaderName = HeaderName::from_static("chicorycroft-refusal");

/// Name of the fleet in `Via` and `Proxy-Status`.
pub const FLEET_NAME: &str = "chicorycroft";
