//! Log lines of key=value pairs, one for each event or decision.

use std::fmt::{
    Display,
    Write, //
};

use chicorycroft_placement::prelude::*;

/// A log line of key=value pairs.
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

    /// Logs the line at the info level, which is for ordinary decisions.
    pub fn info(self) {
        log::info!("{}", self.text);
    }

    /// Logs the line at the warn level, which is for events that operators should see.
    pub fn warn(self) {
        log::warn!("{}", self.text);
    }
}

impl Display for DecisionLine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.text)
    }
}

/// Largest number of candidates that one line lists; a service may have dozens.
const LISTED_CANDIDATES_MAX: usize = 4;

/// Formats the first candidates that were not chosen with their reasons, and the number of the others.
pub(crate) fn format_skipped(choice: &TargetChoice) -> String {
    let named = choice.skipped.iter().take(LISTED_CANDIDATES_MAX);
    let named = named.map(|(target, reason)| format!("{target}:{reason}"));
    let mut text = named.collect::<Vec<_>>().join(",");
    if choice.skipped.len() > LISTED_CANDIDATES_MAX {
        text += &format!(",+{}", choice.skipped.len() - LISTED_CANDIDATES_MAX);
    }
    text
}
