//! What a target says about itself in the head of an answer.

use http::{
    HeaderMap,
    StatusCode, //
};
use smol_str::SmolStr;

use crate::names;

/// State that a target announces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetState {
    /// It takes no new work.
    Draining,
    /// It has just started and bears little work.
    Cold,
}

/// What the head of an answer says about its target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetSignal {
    /// Announced state; `None` when the target says nothing or a word that is not known.
    pub state: Option<TargetState>,
    /// Whether the target says that it did not run the request.
    pub is_not_run: bool,
    /// Whether the target sheds load: status 503 together with the word that it did not run.
    pub is_shed: bool,
    /// When the target started, as it tells it; a change means a restart.
    pub started_at: Option<SmolStr>,
}

impl TargetSignal {
    /// Reads the signal of an answer.
    pub fn new(status: StatusCode, headers: &HeaderMap) -> Self {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let state = text(names::TARGET_STATE).and_then(|state| match state.trim() {
            "draining" => Some(TargetState::Draining),
            "cold" => Some(TargetState::Cold),
            _ => None,
        });
        // A success cannot have been left out; the statement is believed on refusals only.
        let is_refusal = status.is_client_error() || status.is_server_error();
        let is_not_run = is_refusal && text(names::NOT_RUN).map(str::trim) == Some("1");
        Self {
            state,
            is_not_run,
            is_shed: is_not_run && status == StatusCode::SERVICE_UNAVAILABLE,
            started_at: text(names::STARTED_AT).map(SmolStr::new),
        }
    }
}
