//! Parses one line of a log.
//!
//! A line consists of `key=value` pairs; a value with spaces is enclosed in double quotes. Text before the first
//! pair is a prefix that the log collector added, and its last word is the name of the host.

use indexmap::IndexMap;
use smol_str::SmolStr;
use thiserror::Error;

/// Field with the time of a line, in milliseconds since 1970 by the host's clock.
const TIME_FIELD: &str = "unix_ms";

/// Field with the event that a line reports.
const EVENT_FIELD: &str = "event";

/// Error returned when a string is not a complete line of a log.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum LineError {
    /// The line has no event.
    #[error("the line has no `event=` field")]
    NoEvent,
    /// A quoted value has no end, a word is not a pair, or the time is not a number.
    #[error("the line is truncated or malformed")]
    Truncated,
    /// A second time or event shows that another line begins within this one.
    #[error("the line contains the start of another line")]
    Interleaved,
}

/// One parsed line of a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// Name of the host that wrote the line.
    pub host: SmolStr,
    /// Time in milliseconds since 1970 by the host's clock; `None` on lines about the log itself.
    pub unix_millis: Option<u64>,
    /// Event that the line reports.
    pub event: SmolStr,
    /// All other fields, in the order of the line.
    pub fields: IndexMap<SmolStr, SmolStr>,
}

impl LogLine {
    /// Parses a line. A host name before the first pair takes precedence over `host`.
    ///
    /// # Errors
    ///
    /// Returns a [`LineError`] if the line is truncated, interleaved with another one or not a line of a log.
    pub fn new(text: &str, host: &str) -> Result<Self, LineError> {
        let start = [TIME_FIELD, EVENT_FIELD]
            .iter()
            .filter_map(|field| text.find(&format!("{field}=")))
            .min();
        let (before, pairs) = text.split_at(start.ok_or(LineError::NoEvent)?);
        let host = before.split_whitespace().last().unwrap_or(host);
        let mut line = Self {
            host: host.into(),
            unix_millis: None,
            event: SmolStr::default(),
            fields: IndexMap::new(),
        };
        let mut rest = pairs.trim_end();
        while !rest.is_empty() {
            let (key, value, after) = split_pair(rest)?;
            line.set_field(key, value)?;
            rest = after.trim_start();
        }
        match line.event.is_empty() {
            true => Err(LineError::NoEvent),
            false => Ok(line),
        }
    }

    fn set_field(&mut self, key: &str, value: &str) -> Result<(), LineError> {
        match key {
            TIME_FIELD if self.unix_millis.is_none() => {
                self.unix_millis = Some(value.parse().map_err(|_| LineError::Truncated)?);
            }
            EVENT_FIELD if self.event.is_empty() => self.event = value.into(),
            TIME_FIELD | EVENT_FIELD => return Err(LineError::Interleaved),
            _ => {
                self.fields.insert(key.into(), value.into());
            }
        }
        Ok(())
    }

    /// Returns the value of a field other than the time and the event.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(SmolStr::as_str)
    }
}

/// Splits off the first pair and returns its key, its value and the remaining text.
fn split_pair(text: &str) -> Result<(&str, &str, &str), LineError> {
    let (key, after) = text.split_once('=').ok_or(LineError::Truncated)?;
    if key.is_empty() || key.contains(char::is_whitespace) {
        return Err(LineError::Truncated);
    }
    if let Some(quoted) = after.strip_prefix('"') {
        let (value, rest) = quoted.split_once('"').ok_or(LineError::Truncated)?;
        return Ok((key, value, rest));
    }
    let end = after.find(char::is_whitespace).unwrap_or(after.len());
    Ok((key, &after[..end], &after[end..]))
}
