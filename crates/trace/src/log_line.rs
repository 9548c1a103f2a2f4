//! One line of a log, in fields.
//!
//! A line holds `key=value` pairs; a value with spaces stands in double quotes. What stands before the first
//! pair is taken from whoever collected the lines, and its last word names the host.

use indexmap::IndexMap;
use smol_str::SmolStr;
use thiserror::Error;

/// Field with the time of a line, in milliseconds of the host's time of day.
const TIME_FIELD: &str = "unix_ms";

/// Field with the kind of a line.
const EVENT_FIELD: &str = "event";

/// Why a line is left out.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum LineError {
    /// It has no event.
    #[error("the line has no event")]
    NoEvent,
    /// A value ends in the middle, or a word is no pair.
    #[error("the line is cut")]
    Cut,
    /// Another line begins in it.
    #[error("two lines are mixed")]
    Mixed,
}

/// One line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// The host that wrote it.
    pub host: SmolStr,
    /// When it was written, by the host's time of day; lines about the log itself have none.
    pub unix_millis: Option<u64>,
    /// What it tells.
    pub event: SmolStr,
    /// The other fields in their order.
    pub fields: IndexMap<SmolStr, SmolStr>,
}

impl LogLine {
    /// Reads a line of a host. A host named before the first pair goes before `host`.
    ///
    /// # Errors
    ///
    /// Fails when the line is cut, mixed with another one or no line of a log.
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
            let (key, value, after) = take_pair(rest)?;
            line.put(key, value)?;
            rest = after.trim_start();
        }
        match line.event.is_empty() {
            true => Err(LineError::NoEvent),
            false => Ok(line),
        }
    }

    fn put(&mut self, key: &str, value: &str) -> Result<(), LineError> {
        match key {
            TIME_FIELD if self.unix_millis.is_none() => {
                self.unix_millis = Some(value.parse().map_err(|_| LineError::Cut)?);
            }
            EVENT_FIELD if self.event.is_empty() => self.event = value.into(),
            TIME_FIELD | EVENT_FIELD => return Err(LineError::Mixed),
            _ => {
                self.fields.insert(key.into(), value.into());
            }
        }
        Ok(())
    }

    /// Returns a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(SmolStr::as_str)
    }
}

/// Splits the first pair off.
fn take_pair(text: &str) -> Result<(&str, &str, &str), LineError> {
    let (key, after) = text.split_once('=').ok_or(LineError::Cut)?;
    if key.is_empty() || key.contains(char::is_whitespace) {
        return Err(LineError::Cut);
    }
    if let Some(quoted) = after.strip_prefix('"') {
        let (value, rest) = quoted.split_once('"').ok_or(LineError::Cut)?;
        return Ok((key, value, rest));
    }
    let end = after.find(char::is_whitespace).unwrap_or(after.len());
    Ok((key, &after[..end], &after[end..]))
}
