//! Settings of one daemon.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use thiserror::Error;

pub use crate::generated::settings::SettingsDocumentLogLevel as LogLevel;
use crate::{
    document::DocumentError,
    generated::settings::SettingsDocument,
    parsing::{
        locate_field,
        parse_text, //
    },
};

/// Settings were rejected. The message names the document, line and column.
#[derive(Clone, Debug, Error)]
#[error(transparent)]
pub struct SettingsError(#[from] pub DocumentError);

/// Validated settings of one daemon.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Name of this host.
    pub host: HostId,
    /// Zone of this host.
    pub zone: ZoneId,
    /// Address of the platform's configuration service.
    pub platform: SocketAddr,
    /// Listen address for callers.
    pub caller_listen: SocketAddr,
    /// Listen address for other entry hosts.
    pub peer_listen: SocketAddr,
    /// Listen address for health checks, metrics and status.
    pub admin_listen: SocketAddr,
    /// Minimum severity of log lines.
    pub log_level: LogLevel,
    /// Maximum size of a request head, in bytes.
    pub head_bytes_max: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Duration,
    /// Maximum time between two chunks of a body.
    pub idle_body_timeout: Duration,
    /// Maximum number of concurrent connections from callers.
    pub connections_max: usize,
    /// Maximum time that a planned stop waits for requests in flight.
    pub drain_limit: Duration,
}

/// Minimum value of `head_bytes_max`, in bytes, which leaves enough space for keys and cookies.
const HEAD_BYTES_MIN: u32 = 1024;

/// The text of the settings, used to locate errors.
struct SettingsText<'a> {
    name: &'a str,
    text: &'a str,
}

impl SettingsText<'_> {
    fn invalid(&self, field: &'static str, reason: &str) -> DocumentError {
        DocumentError::Value {
            location: locate_field(self.name, self.text, field),
            entry: "settings".into(),
            field,
            reason: reason.into(),
        }
    }

    fn parse<T>(&self, field: &'static str, value: &str) -> Result<T, DocumentError>
    where
        T: std::str::FromStr,
        T::Err: ToString,
    {
        let invalid = |error: T::Err| self.invalid(field, &error.to_string());
        value.parse().map_err(invalid)
    }

    fn parse_address(&self, field: &'static str, value: &str) -> Result<SocketAddr, DocumentError> {
        let remedy = "write an IP number and a port, such as 127.0.0.1:8080";
        value.parse().map_err(|_| self.invalid(field, remedy))
    }
}

impl HostSettings {
    /// Parses settings. Errors refer to the document as `settings`.
    ///
    /// # Errors
    ///
    /// Returns an error if the text does not follow the schema or a value is invalid.
    pub fn new(text: &str) -> Result<Self, SettingsError> {
        Self::with_name("settings", text)
    }

    /// Parses the settings of a file, whose name appears in errors.
    ///
    /// # Errors
    ///
    /// Returns an error if the text does not follow the schema or a value is invalid.
    pub fn with_name(name: &str, text: &str) -> Result<Self, SettingsError> {
        let document: SettingsDocument = parse_text(name, text)?;
        let source = SettingsText { name, text };
        if document.head_bytes_max < HEAD_BYTES_MIN {
            let reason = format!("write at least {HEAD_BYTES_MIN}");
            return Err(source.invalid("head_bytes_max", &reason).into());
        }
        let millis = |value: u32| Duration::from_millis(value.into());
        Ok(Self {
            host: source.parse("host", &document.host)?,
            zone: source.parse("zone", &document.zone)?,
            platform: source.parse_address("platform", &document.platform)?,
            caller_listen: source.parse_address("caller_listen", &document.caller_listen)?,
            peer_listen: source.parse_address("peer_listen", &document.peer_listen)?,
            admin_listen: source.parse_address("admin_listen", &document.admin_listen)?,
            log_level: document.log_level,
            head_bytes_max: document.head_bytes_max as usize,
            head_timeout: millis(document.head_timeout_ms.get()),
            idle_body_timeout: millis(document.idle_body_timeout_ms.get()),
            connections_max: document.connections_max.get() as usize,
            drain_limit: millis(document.drain_limit_ms),
        })
    }
}
