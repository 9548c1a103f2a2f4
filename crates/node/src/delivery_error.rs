//! Why a request got no answer from a target, and how an owner says so to an ingress host.

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

/// Header by which an owner tells an ingress host its refusal.
const FLEET_REFUSAL: HeaderName = HeaderName::from_static("x-fleet-refusal");

/// Header by which an owner tells an ingress host what is known about the run.
const FLEET_RUN: HeaderName = HeaderName::from_static("x-fleet-run");

/// Header by which a host that does not serve a target names the one that does, or `-`.
const FLEET_OWNER: HeaderName = HeaderName::from_static("x-fleet-owner");

/// Why a request got no answer from a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeliveryError {
    /// What the caller is told.
    pub kind: RefusalKind,
    /// What is known about whether the request ran.
    pub proof: RunProof,
    /// When a repeat may help.
    pub retry_after: Option<Duration>,
    /// Whether the request came to the wrong host and another one should be asked.
    pub is_misplaced: bool,
    /// The owner of the target, as far as the refusing host knows.
    pub owner: Option<HostId>,
}

impl DeliveryError {
    /// Makes an error of a request that certainly did not run.
    pub fn not_run(kind: RefusalKind) -> Self {
        Self {
            kind,
            proof: RunProof::NotRun,
            retry_after: None,
            is_misplaced: false,
            owner: None,
        }
    }

    /// Makes an error of a request that came to the wrong host. It did not run.
    pub fn misplaced(owner: Option<HostId>) -> Self {
        Self {
            is_misplaced: true,
            owner,
            ..Self::not_run(RefusalKind::NoCapacity)
        }
    }

    /// Makes an error of a request that may have run.
    pub fn unknown(kind: RefusalKind) -> Self {
        Self {
            proof: RunProof::Unknown,
            ..Self::not_run(kind)
        }
    }

    /// Returns what the caller may be told about the run.
    pub fn statement(&self) -> ExecutionStatus {
        match self.proof {
            RunProof::NotRun => ExecutionStatus::NotRun,
            RunProof::Unknown | RunProof::Ran => ExecutionStatus::Unknown,
        }
    }

    /// Encodes the error for an ingress host.
    pub fn to_response(&self) -> Response<ProxyBody> {
        let mut response = self.kind.respond(self.statement(), self.retry_after);
        let headers = response.headers_mut();
        let run = match self.statement() {
            ExecutionStatus::NotRun => "not-run",
            ExecutionStatus::Unknown => "unknown",
        };
        headers.insert(FLEET_RUN, HeaderValue::from_static(run));
        headers.insert(FLEET_REFUSAL, HeaderValue::from_static(self.kind.name()));
        if self.is_misplaced {
            let owner = self.owner.as_ref().map_or("-", HostId::as_str);
            if let Ok(owner) = HeaderValue::from_str(owner) {
                headers.insert(FLEET_OWNER, owner);
            }
        }
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
        let owner = headers.get(FLEET_OWNER);
        let owner_name = owner.and_then(|owner| owner.to_str().ok());
        Some(Self {
            is_misplaced: is_not_run && owner.is_some(),
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
