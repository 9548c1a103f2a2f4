//! Errors of requests that got no response from a target, and their encoding between hosts.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_proxy::prelude::*;
use chicorycroft_retry::prelude::*;
use http::{
    HeaderName,
    HeaderValue,
    Response,
    header::RETRY_AFTER, //
};

/// Header with the refusal that an owner returns to an ingress host.
const FLEET_REFUSAL: HeaderName = HeaderName::from_static("x-fleet-refusal");

/// Header in which an owner states to an ingress host whether the request may have run.
const FLEET_RUN: HeaderName = HeaderName::from_static("x-fleet-run");

/// Header in which a host that does not own a target names the owner, or `-` if it is unknown.
const FLEET_OWNER: HeaderName = HeaderName::from_static("x-fleet-owner");

/// Reason for which a request got no response from a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeliveryError {
    /// Refusal that the caller gets.
    pub kind: RefusalKind,
    /// Whether the request may have run.
    pub proof: RunProof,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Whether the request reached a host that does not own the target, so that it should be sent to
    /// another one.
    pub is_misdirected: bool,
    /// Owner of the target, if the refusing host knows it.
    pub owner: Option<HostId>,
}

impl DeliveryError {
    /// Creates the error of a request that certainly did not run.
    pub fn not_run(kind: RefusalKind) -> Self {
        Self {
            kind,
            proof: RunProof::NotRun,
            retry_after: None,
            is_misdirected: false,
            owner: None,
        }
    }

    /// Creates the error of a request that reached a host that does not own the target. It did not
    /// run.
    pub fn misdirected(owner: Option<HostId>) -> Self {
        Self {
            is_misdirected: true,
            owner,
            ..Self::not_run(RefusalKind::NoCapacity)
        }
    }

    /// Creates the error of a request that may have run.
    pub fn unknown(kind: RefusalKind) -> Self {
        Self {
            proof: RunProof::Unknown,
            ..Self::not_run(kind)
        }
    }

    /// Returns the execution status that the caller gets.
    pub fn execution_status(&self) -> ExecutionStatus {
        match self.proof {
            RunProof::NotRun => ExecutionStatus::NotRun,
            RunProof::Unknown | RunProof::Ran => ExecutionStatus::Unknown,
        }
    }

    /// Encodes the error as a response to an ingress host.
    pub fn to_response(&self) -> Response<ProxyBody> {
        let mut response = self.kind.respond(self.execution_status(), self.retry_after);
        let headers = response.headers_mut();
        let run = match self.execution_status() {
            ExecutionStatus::NotRun => "not-run",
            ExecutionStatus::Unknown => "unknown",
        };
        headers.insert(FLEET_RUN, HeaderValue::from_static(run));
        headers.insert(FLEET_REFUSAL, HeaderValue::from_static(self.kind.name()));
        if self.is_misdirected {
            let owner = self.owner.as_ref().map_or("-", HostId::as_str);
            if let Ok(owner) = HeaderValue::from_str(owner) {
                headers.insert(FLEET_OWNER, owner);
            }
        }
        response
    }

    /// Decodes the error of an owner, or returns `None` if the response is not an error.
    pub fn from_response<B>(response: &Response<B>) -> Option<Self> {
        let headers = response.headers();
        let kind = headers.get(FLEET_REFUSAL)?.to_str().ok()?;
        let kind = RefusalKind::from_name(kind).unwrap_or(RefusalKind::BadGateway);
        let is_not_run = headers.get(FLEET_RUN).is_some_and(|run| run == "not-run");
        let seconds = headers.get(RETRY_AFTER);
        let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok());
        let owner = headers.get(FLEET_OWNER);
        let owner_name = owner.and_then(|owner| owner.to_str().ok());
        Some(Self {
            is_misdirected: is_not_run && owner.is_some(),
            owner: owner_name.and_then(|name| HostId::new(name).ok()),
            kind,
            proof: match is_not_run {
                true => RunProof::NotRun,
                false => RunProof::Unknown,
            },
            retry_after: seconds.map(Duration::from_secs),
        })
    }
}
