//! Names of the objects in the operators' configuration.
//!
//! Names in this project's own documents share one grammar: 1 to 64 characters from `a-z`, `0-9`, `-`, `_` and `.`,
//! starting with a letter or digit. Such names need no quoting or escaping in log lines, metrics and URLs.
//!
//! Names that another system has assigned and accepted are not this project's to refuse. They may hold any character
//! but control characters, which neither a header nor a log line can carry.

use smol_str::SmolStr;
use thiserror::Error;

/// Maximum length of a name in this project's own documents, in bytes.
pub const NAME_LENGTH_MAX: usize = 64;

/// Maximum length of a name that another system has assigned, in bytes. It fits into a header.
pub const EXTERNAL_NAME_LENGTH_MAX: usize = 1024;

/// Error returned when a string is not a valid name.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum NameError {
    /// The string is empty.
    #[error("a {kind} name must not be empty")]
    Empty {
        /// Kind of object that the name identifies, such as `host`.
        kind: &'static str,
    },
    /// The string is longer than [`NAME_LENGTH_MAX`] or, for a name of another system, [`EXTERNAL_NAME_LENGTH_MAX`].
    #[error("a {kind} name must have at most {max} bytes, this one has {length}")]
    TooLong {
        /// Kind of object that the name identifies, such as `host`.
        kind: &'static str,
        /// Length of the string, in bytes.
        length: usize,
        /// Largest allowed length, in bytes.
        max: usize,
    },
    /// The string contains a character that the grammar does not allow at its position.
    #[error(
        "a {kind} name may hold a-z, 0-9, '-', '_' and '.', and starts with a letter or digit; \
         found {found:?} at position {position}"
    )]
    BadCharacter {
        /// Kind of object that the name identifies, such as `host`.
        kind: &'static str,
        /// The first character that is not allowed.
        found: char,
        /// Byte position of the character.
        position: usize,
    },
    /// The string contains a control character.
    #[error(
        "a {kind} name must not hold control characters; found {found:?} at position {position}"
    )]
    ControlCharacter {
        /// Kind of object that the name identifies, such as `host`.
        kind: &'static str,
        /// The control character.
        found: char,
        /// Byte position of the character.
        position: usize,
    },
}

fn check_length(kind: &'static str, text: &str, max: usize) -> Result<(), NameError> {
    match text.len() {
        0 => Err(NameError::Empty { kind }),
        length if length > max => Err(NameError::TooLong { kind, length, max }),
        _ => Ok(()),
    }
}

fn check_external(kind: &'static str, text: &str) -> Result<SmolStr, NameError> {
    check_length(kind, text, EXTERNAL_NAME_LENGTH_MAX)?;
    match text.char_indices().find(|&(_, c)| c.is_control()) {
        Some((position, found)) => Err(NameError::ControlCharacter {
            kind,
            found,
            position,
        }),
        None => Ok(SmolStr::new(text)),
    }
}

fn check_name(kind: &'static str, text: &str) -> Result<SmolStr, NameError> {
    check_length(kind, text, NAME_LENGTH_MAX)?;
    let is_letter_or_digit = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    let is_allowed = |position: usize, c: char| {
        is_letter_or_digit(c) || (position > 0 && matches!(c, '-' | '_' | '.'))
    };
    match text.char_indices().find(|&(at, c)| !is_allowed(at, c)) {
        Some((position, found)) => Err(NameError::BadCharacter {
            kind,
            found,
            position,
        }),
        None => Ok(SmolStr::new(text)),
    }
}

/// Writes a name as the value of a log field: one with spaces or quotation marks in quotation marks, which replace those
/// inside.
fn write_name(text: &str, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
    match text.contains(|c: char| c.is_whitespace() || c == '"') {
        true => write!(f, "\"{}\"", text.replace('"', "'")),
        false => f.write_str(text),
    }
}

macro_rules! define_name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
        )]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Creates a name from a string in one of this project's own documents.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] if the string does not follow the grammar of names.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name($kind, text).map(Self)
            }

            /// Creates a name that another system has assigned.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] if the string is empty, longer than [`EXTERNAL_NAME_LENGTH_MAX`] or holds a
            /// control character.
            pub fn external(text: &str) -> Result<Self, NameError> {
                check_external($kind, text).map(Self)
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write_name(&self.0, f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = NameError;

            /// Decodes a name from a message between hosts, which may come from either kind of system.
            fn try_from(text: SmolStr) -> Result<Self, NameError> {
                Self::external(&text)
            }
        }

        impl From<$name> for SmolStr {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

define_name!(
    /// Name of an entry host.
    HostId,
    "host"
);
define_name!(
    /// Name of an availability zone.
    ZoneId,
    "zone"
);
define_name!(
    /// Name of a region.
    RegionId,
    "region"
);
define_name!(
    /// Name of a service.
    ServiceId,
    "service"
);
define_name!(
    /// Name of a target.
    TargetId,
    "target"
);
define_name!(
    /// Name of a team.
    TeamId,
    "team"
);
define_name!(
    /// Name of a route.
    RouteId,
    "route"
);
