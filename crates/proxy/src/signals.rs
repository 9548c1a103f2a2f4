//! The state that a target reports in its response headers.

use http::{
    HeaderMap,
    StatusCode, //
};
use smol_str::SmolStr;

use crate::names;

/// State that a target reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetState {
    /// The target accepts no new requests.
    Draining,
    /// The target has just started and can handle only little load.
    Cold,
}

/// State of a target, as reported in a response head.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetSignal {
    /// Reported state; `None` if the header is missing or has an unknown value.
    pub state: Option<TargetState>,
    /// Whether the target reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether the target sheds load: status 503 together with the report that the request did not run.
    pub is_shed: bool,
    /// Start time that the target reports; a changed value means a restart.
    pub started_at: Option<SmolStr>,
}

impl TargetSignal {
    /// Reads the signal from the status and headers of a response.
    pub fn new(status: StatusCode, headers: &HeaderMap) -> Self {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let state = text(names::TARGET_STATE).and_then(|state| match state.trim() {
            "draining" => Some(TargetState::Draining),
            "cold" => Some(TargetState::Cold),
            _ => None,
        });
        // A successful response means that the request ran, so that the header counts only on errors.
        let is_error = status.is_client_error() || status.is_server_error();
        let is_not_run = is_error && text(names::NOT_RUN).map(str::trim) == Some("1");
        Self {
            state,
            is_not_run,
            is_shed: is_not_run && status == StatusCode::SERVICE_UNAVAILABLE,
            started_at: text(names::STARTED_AT).map(SmolStr::new),
        }
    }
}
