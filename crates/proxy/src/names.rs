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
