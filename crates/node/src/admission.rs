//! Admission of a request: its route and its key.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::{
    prelude::*,
    routes::RouteError,
    view::AccessError, //
};
use chicorycroft_limits::prelude::*;
use chicorycroft_proxy::prelude::*;

/// A request that passed admission.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Route that matches the request.
    pub route: Arc<RouteRecord>,
    /// Team of the caller; `None` on open routes.
    pub team: Option<TeamId>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Time within which the request must be answered.
    pub deadline: Duration,
}

/// Refusal of a request at admission. The request has certainly not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// Refusal that the caller gets.
    pub kind: RefusalKind,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl From<RefusalKind> for AdmissionRefusal {
    fn from(kind: RefusalKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }
}

impl From<RouteError> for AdmissionRefusal {
    fn from(error: RouteError) -> Self {
        Self::from(match error {
            RouteError::BadPath => RefusalKind::BadRequest,
            RouteError::NoPath => RefusalKind::NoRoute,
            RouteError::NoMethod => RefusalKind::NoMethod,
        })
    }
}

impl From<AccessError> for AdmissionRefusal {
    fn from(error: AccessError) -> Self {
        Self::from(match error {
            AccessError::NoKey | AccessError::BadKey => RefusalKind::BadKey,
            AccessError::NotAllowed => RefusalKind::NotAllowed,
        })
    }
}

impl From<TokenShortage> for AdmissionRefusal {
    fn from(shortage: TokenShortage) -> Self {
        Self {
            kind: RefusalKind::OverRate,
            retry_after: Some(shortage.retry_after),
        }
    }
}

/// Finds the route of a request and checks that its key grants access.
///
/// # Errors
///
/// Returns an error if no route matches, or the key is missing, unknown or not allowed on the route.
pub fn authorize(
    view: &FleetView,
    method: &str,
    path: &str,
    key: Option<&CallerKey>,
) -> Result<AdmittedRequest, AdmissionRefusal> {
    let method = RequestMethod::new(method).map_err(|_| RefusalKind::BadRequest)?;
    let route = view.snapshot().routes().find(&method, path)?.clone();
    let team = view
        .authorize(&route, key.map(CallerKey::as_bytes))?
        .cloned();
    let service = view.snapshot().service(&route.service);
    let deadline = route
        .deadline
        .or_else(|| service.map(|service| service.deadline));
    Ok(AdmittedRequest {
        is_idempotent: route.is_idempotent(&method),
        deadline: deadline.ok_or(RefusalKind::NoRoute)?,
        route,
        team,
    })
}
