//! Names of the objects in the operators' configuration.
//!
//! All names share one grammar: 1 to 64 characters from `a-z`, `0-9`, `-`, `_` and `.`, starting with a
//! letter or digit. Such names need no quoting or escaping in log lines, metrics and URLs.

use smol_str::SmolStr;
use thiserror::Error;

/// Maximum length of a name, in bytes.
pub const NAME_LENGTH_MAX: usize = 64;

/// Error returned when a string is not a valid name.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum NameError {
    /// The string is empty.
    #[error("a {kind} name must not be empty")]
    Empty {
        /// Kind of object that the name identifies, such as `host`.
        kind: &'static str,
    },
    /// The string is longer than [`NAME_LENGTH_MAX`].
    #[error("a {kind} name must have at most {NAME_LENGTH_MAX} bytes, this one has {length}")]
    TooLong {
        /// Kind of object that the name identifies, such as `host`.
        kind: &'static str,
        /// Length of the string, in bytes.
        length: usize,
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
}

fn check_name(kind: &'static str, text: &str) -> Result<SmolStr, NameError> {
    if text.is_empty() {
        return Err(NameError::Empty { kind });
    }
    if text.len() > NAME_LENGTH_MAX {
        return Err(NameError::TooLong {
            kind,
            length: text.len(),
        });
    }
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

macro_rules! define_name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
        )]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// Creates a name from a string.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] if the string does not follow the grammar of names.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name($kind, text).map(Self)
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
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

            fn try_from(text: SmolStr) -> Result<Self, NameError> {
                Self::new(&text)
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
