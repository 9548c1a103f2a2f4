//! One key=value line for each event and decision.

use std::fmt::{
    Display,
    Write, //
};

use chicorycroft_placement::prelude::*;

/// A line of key=value pairs.
#[derive(Clone, Debug)]
pub struct DecisionLine {
    text: String,
}

impl DecisionLine {
    /// Starts a line with the name of the event.
    pub fn new(event: &str) -> Self {
        Self {
            text: format!("event={event}"),
        }
    }

    /// Adds a pair. A value with spaces, quotes or control characters is quoted.
    pub fn with(mut self, key: &str, value: impl Display) -> Self {
        let value = value.to_string();
        let is_plain = !value.is_empty()
            && value
                .chars()
                .all(|c| c.is_ascii_graphic() && c != '"' && c != '=');
        // Writing to a String cannot fail.
        let _ = if is_plain {
            write!(self.text, " {key}={value}")
        } else {
            write!(self.text, " {key}={value:?}")
        };
        self
    }

    /// Writes the line at the level of ordinary decisions.
    pub fn info(self) {
        log::info!("{}", self.text);
    }

    /// Writes the line at the level of events that operators should see.
    pub fn warn(self) {
        log::warn!("{}", self.text);
    }
}

impl Display for DecisionLine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.text)
    }
}

/// Candidates that a decision line names; a service may have dozens.
const PASSED_NAMED_MAX: usize = 4;

/// Names some of the candidates that were passed over, with the reasons.
pub(crate) fn passed_text(choice: &TargetChoice) -> String {
    let named = choice.skipped.iter().take(PASSED_NAMED_MAX);
    let named = named.map(|(target, reason)| format!("{target}:{reason}"));
    let mut text = named.collect::<Vec<_>>().join(",");
    if choice.skipped.len() > PASSED_NAMED_MAX {
        text += &format!(",+{}", choice.skipped.len() - PASSED_NAMED_MAX);
    }
    text
}
