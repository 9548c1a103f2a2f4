//! What a target says about itself in an answer.

use chicorycroft_core::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// Statements of a target about itself in one answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetSignals {
    /// Whether the target leaves. It finishes its requests and wants no new ones.
    pub is_leaving: bool,
    /// Time for which it wants no requests from the host that it answered, in milliseconds; 0 if it stated none.
    pub pause_millis: u32,
    /// Requests per second that it takes from all hosts together; `None` if it stated no limit.
    pub rate_limit: Option<RequestRate>,
}
