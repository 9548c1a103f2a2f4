//! Why a request got no answer from a target, and how an owner says so to an ingress host.

use std::time::Duration;

use chicorycroft_proxy::prelude::*;
use chicorycroft_retry::prelude::*;
use http::{
    HeaderName,
    HeaderValue,
    Response,
    header::RETRY_AFTER, //
};

/// Header by which an owner tells an ingress host its refusal.
const FLEET_REFUSAL: HeaderName = HeaderName::from_static("x-fleet-refusal");

/// Header by which an owner tells an ingress host what is known about the run.
const FLEET_RUN: HeaderName = HeaderName::from_static("x-fleet-run");

/// Why a request got no answer from a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeliveryError {
    /// What the caller is told.
    pub kind: RefusalKind,
    /// What is known about whether the request ran.
    pub proof: RunProof,
    /// When a repeat may help.
    pub retry_after: Option<Duration>,
}

impl DeliveryError {
    /// Makes an error of a request that certainly did not run.
    pub fn not_run(kind: RefusalKind) -> Self {
        Self {
            kind,
            proof: RunProof::NotRun,
            retry_after: None,
        }
    }

    /// Makes an error of a request that may have run.
    pub fn unknown(kind: RefusalKind) -> Self {
        Self {
            kind,
            proof: RunProof::Unknown,
            retry_after: None,
        }
    }

    /// Returns what the caller may be told about the run.
    pub fn statement(&self) -> RunStatement {
        match self.proof {
            RunProof::NotRun => RunStatement::NotRun,
            RunProof::Unknown | RunProof::Ran => RunStatement::Unknown,
        }
    }

    /// Encodes the error for an ingress host.
    pub fn to_response(&self) -> Response<ProxyBody> {
        let mut response = self.kind.respond(self.statement(), self.retry_after);
        let headers = response.headers_mut();
        let run = match self.statement() {
            RunStatement::NotRun => "not-run",
            RunStatement::Unknown => "unknown",
        };
        headers.insert(FLEET_RUN, HeaderValue::from_static(run));
        headers.insert(FLEET_REFUSAL, HeaderValue::from_static(self.kind.name()));
        response
    }

    /// Decodes the error that an owner told, if the answer is one.
    pub fn from_response<B>(response: &Response<B>) -> Option<Self> {
        let headers = response.headers();
        let kind = headers.get(FLEET_REFUSAL)?.to_str().ok()?;
        let kind = RefusalKind::from_name(kind).unwrap_or(RefusalKind::BadGateway);
        let is_not_run = headers.get(FLEET_RUN).is_some_and(|run| run == "not-run");
        let seconds = headers.get(RETRY_AFTER);
        let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok());
        Some(Self {
            kind,
            proof: match is_not_run {
                true => RunProof::NotRun,
                false => RunProof::Unknown,
            },
            retry_after: seconds.map(Duration::from_secs),
        })
    }
}
