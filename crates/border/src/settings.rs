//! Settings of one daemon.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use smol_str::SmolStr;
use thiserror::Error;

use crate::generated::settings::SettingsDocument;
pub use crate::generated::settings::SettingsDocumentLogLevel as LogLevel;

/// Why settings are refused.
#[derive(Clone, Debug, Error)]
pub enum SettingsError {
    /// The text is no valid YAML or does not follow the schema.
    #[error("settings: {reason}")]
    Syntax {
        /// What the parser found, with line and column.
        reason: SmolStr,
    },
    /// A value is not valid.
    #[error("settings: {field}: {reason}")]
    Value {
        /// Field at fault.
        field: &'static str,
        /// What is wrong.
        reason: SmolStr,
    },
}

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

fn parse<T>(field: &'static str, text: &str) -> Result<T, SettingsError>
where
    T: std::str::FromStr,
    T::Err: ToString,
{
    text.parse().map_err(|error: T::Err| SettingsError::Value {
        field,
        reason: error.to_string().into(),
    })
}

impl HostSettings {
    /// Parses settings.
    ///
    /// # Errors
    ///
    /// Fails when the text does not follow the schema or a value is not valid.
    pub fn new(text: &str) -> Result<Self, SettingsError> {
        let document: SettingsDocument =
            serde_saphyr::from_str(text).map_err(|error| SettingsError::Syntax {
                reason: error.to_string().into(),
            })?;
        let millis = |value: u32| Duration::from_millis(value.into());
        Ok(Self {
            host: parse("host", &document.host)?,
            zone: parse("zone", &document.zone)?,
            platform: parse("platform", &document.platform)?,
            caller_listen: parse("caller_listen", &document.caller_listen)?,
            peer_listen: parse("peer_listen", &document.peer_listen)?,
            admin_listen: parse("admin_listen", &document.admin_listen)?,
            log_level: document.log_level,
            head_bytes_max: document.head_bytes_max as usize,
            head_timeout: millis(document.head_timeout_ms.get()),
            idle_body_timeout: millis(document.idle_body_timeout_ms.get()),
            connections_max: document.connections_max.get() as usize,
            drain_limit: millis(document.drain_limit_ms),
        })
    }
}
