//! Settings of one daemon.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use thiserror::Error;

pub use crate::generated::settings::SettingsDocumentLogLevel as LogLevel;
use crate::{
    document::BorderError,
    generated::settings::SettingsDocument,
    places::{
        parse_text,
        place_of_field, //
    },
};

/// Why settings are refused, with document, line and column.
#[derive(Clone, Debug, Error)]
#[error(transparent)]
pub struct SettingsError(#[from] pub BorderError);

/// Settings of one daemon, checked.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Name of this host.
    pub host: HostId,
    /// Zone that this host is in.
    pub zone: ZoneId,
    /// Address of the platform's configuration service.
    pub platform: SocketAddr,
    /// Address that callers connect to.
    pub caller_listen: SocketAddr,
    /// Address that other entry hosts connect to.
    pub peer_listen: SocketAddr,
    /// Address of health, metrics and status.
    pub admin_listen: SocketAddr,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// Largest head of a request, in bytes.
    pub head_bytes_max: usize,
    /// Time in which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Longest pause inside a body.
    pub idle_body_timeout: Duration,
    /// Most connections from callers at once.
    pub connections_max: usize,
    /// Longest time that a planned stop waits for requests.
    pub drain_limit: Duration,
}

/// Smallest bound on the head of a request that leaves room for keys and cookies, in bytes.
const HEAD_BYTES_LEAST: u32 = 1024;

/// The text of settings, from which errors take their place.
struct SettingsText<'a> {
    name: &'a str,
    text: &'a str,
}

impl SettingsText<'_> {
    fn refuse(&self, field: &'static str, reason: &str) -> BorderError {
        BorderError::Value {
            place: place_of_field(self.name, self.text, field),
            entry: "settings".into(),
            field,
            reason: reason.into(),
        }
    }

    fn parse<T>(&self, field: &'static str, value: &str) -> Result<T, BorderError>
    where
        T: std::str::FromStr,
        T::Err: ToString,
    {
        let refuse = |error: T::Err| self.refuse(field, &error.to_string());
        value.parse().map_err(refuse)
    }

    fn address(&self, field: &'static str, value: &str) -> Result<SocketAddr, BorderError> {
        let remedy = "write an IP number and a port, such as 127.0.0.1:8080";
        value.parse().map_err(|_| self.refuse(field, remedy))
    }
}

impl HostSettings {
    /// Parses settings. Errors name the document `settings`.
    ///
    /// # Errors
    ///
    /// Fails when the text does not follow the schema or a value is not valid.
    pub fn new(text: &str) -> Result<Self, SettingsError> {
        Self::with_name("settings", text)
    }

    /// Parses settings of a file. Errors name the file.
    ///
    /// # Errors
    ///
    /// Fails when the text does not follow the schema or a value is not valid.
    pub fn with_name(name: &str, text: &str) -> Result<Self, SettingsError> {
        let document: SettingsDocument = parse_text(name, text)?;
        let source = SettingsText { name, text };
        if document.head_bytes_max < HEAD_BYTES_LEAST {
            let reason = format!("write at least {HEAD_BYTES_LEAST}");
            return Err(source.refuse("head_bytes_max", &reason).into());
        }
        let millis = |value: u32| Duration::from_millis(value.into());
        Ok(Self {
            host: source.parse("host", &document.host)?,
            zone: source.parse("zone", &document.zone)?,
            platform: source.address("platform", &document.platform)?,
            caller_listen: source.address("caller_listen", &document.caller_listen)?,
            peer_listen: source.address("peer_listen", &document.peer_listen)?,
            admin_listen: source.address("admin_listen", &document.admin_listen)?,
            log_level: document.log_level,
            head_bytes_max: document.head_bytes_max as usize,
            head_timeout: millis(document.head_timeout_ms.get()),
            idle_body_timeout: millis(document.idle_body_timeout_ms.get()),
            connections_max: document.connections_max.get() as usize,
            drain_limit: millis(document.drain_limit_ms),
        })
    }
}
