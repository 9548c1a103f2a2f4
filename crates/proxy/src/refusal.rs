//! Error responses that the fleet generates itself, as `application/problem+json` (RFC 9457).

use std::{
    fmt,
    time::Duration, //
};

use http::{
    HeaderValue,
    Response,
    StatusCode, //
    header::{
        CONTENT_TYPE,
        RETRY_AFTER, //
    },
};

use crate::{
    body::{
        ProxyBody,
        full_body, //
    },
    names,
};

/// Whether a target may have run a refused request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl fmt::Display for ExecutionStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

/// Reason for which the fleet refuses a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalKind {
    /// The request is malformed.
    BadRequest,
    /// The head exceeds the size limit or has too many fields.
    HeadTooLarge,
    /// No route matches.
    NoRoute,
    /// The route does not accept the method.
    NoMethod,
    /// The request has no valid API key.
    BadKey,
    /// The team has no access to the route.
    NotAllowed,
    /// The team has used up its rate and burst.
    OverRate,
    /// No slot of a target became free in time.
    NoCapacity,
    /// This host is not ready to serve requests.
    NotReady,
    /// The target, or the host that owns its slots, failed.
    BadGateway,
    /// The deadline of the request passed.
    TimedOut,
    /// The head or the body arrived too slowly.
    SlowRequest,
    /// The `Expect` header is not supported.
    BadExpectation,
    /// This host has reached its connection limit.
    TooManyConnections,
}

impl RefusalKind {
    /// Returns the status code.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::NotAllowed => StatusCode::FORBIDDEN,
            Self::OverRate => StatusCode::TOO_MANY_REQUESTS,
            Self::NoCapacity | Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            Self::BadGateway => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::SlowRequest => StatusCode::REQUEST_TIMEOUT,
            Self::BadExpectation => StatusCode::EXPECTATION_FAILED,
            Self::TooManyConnections => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// All kinds of refusal.
    const ALL: [Self; 14] = [
        Self::BadRequest,
        Self::HeadTooLarge,
        Self::NoRoute,
        Self::NoMethod,
        Self::BadKey,
        Self::NotAllowed,
        Self::OverRate,
        Self::NoCapacity,
        Self::NotReady,
        Self::BadGateway,
        Self::TimedOut,
        Self::SlowRequest,
        Self::BadExpectation,
        Self::TooManyConnections,
    ];

    /// Returns the kind with this name, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// Returns the name used in logs, in metrics and in the `type` member of the response.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::HeadTooLarge => "head-too-large",
            Self::NoRoute => "no-route",
            Self::NoMethod => "no-method",
            Self::BadKey => "bad-key",
            Self::NotAllowed => "not-allowed",
            Self::OverRate => "over-rate",
            Self::NoCapacity => "no-capacity",
            Self::NotReady => "not-ready",
            Self::BadGateway => "bad-gateway",
            Self::TimedOut => "timed-out",
            Self::SlowRequest => "slow-request",
            Self::BadExpectation => "bad-expectation",
            Self::TooManyConnections => "too-many-connections",
        }
    }

    /// Returns the error type for `Proxy-Status` (RFC 9209).
    fn proxy_error(self) -> &'static str {
        match self {
            Self::NoRoute => "destination_not_found",
            Self::NoCapacity | Self::TooManyConnections => "connection_limit_reached",
            Self::NotReady => "destination_unavailable",
            Self::BadGateway => "connection_terminated",
            Self::TimedOut => "http_response_timeout",
            _ => "http_request_denied",
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::BadRequest => "The request is malformed",
            Self::HeadTooLarge => "The head of the request is too large",
            Self::NoRoute => "No route matches the path",
            Self::NoMethod => "The route does not take the method",
            Self::BadKey => "A valid key is needed",
            Self::NotAllowed => "The team may not use the route",
            Self::OverRate => "The team is over its rate and burst",
            Self::NoCapacity => "No capacity became free in time",
            Self::NotReady => "This host may not serve now",
            Self::BadGateway => "The target failed",
            Self::TimedOut => "The deadline passed",
            Self::SlowRequest => "The request came too slowly",
            Self::BadExpectation => "The expectation is not known",
            Self::TooManyConnections => "This host has too many connections",
        }
    }

    /// Creates the response, with a `Retry-After` header if a time is given.
    pub fn respond(
        self,
        run: ExecutionStatus,
        retry_after: Option<Duration>,
    ) -> Response<ProxyBody> {
        let status = self.status();
        let problem = serde_json::json!({
            "type": format!("urn:chicorycroft:{}", self.name()),
            "title": self.title(),
            "status": status.as_u16(),
            "run": run.to_string(),
        });
        let mut response = Response::new(full_body(problem.to_string()));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        let proxy_status = format!("chicorycroft; error={}", self.proxy_error());
        if let Ok(value) = HeaderValue::from_str(&proxy_status) {
            headers.insert(names::PROXY_STATUS, value);
        }
        if let Some(wait) = retry_after {
            // Rounded up to whole seconds, because a caller that retries earlier is refused again.
            let seconds = wait.as_millis().div_ceil(1000).max(1);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds.min(3600) as u64));
        }
        response
    }
}
