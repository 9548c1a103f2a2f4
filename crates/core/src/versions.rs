//! Configuration versions and host incarnations.

use std::{
    fmt,
    num::ParseIntError,
    str::FromStr, //
};

macro_rules! define_counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            Eq,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            serde::Deserialize,
            serde::Serialize,
        )]
        pub struct $name(u64);

        impl $name {
            /// Wraps a number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

define_counter!(
    /// Version of the operators' configuration; a higher one replaces a lower one.
    ConfigVersion
);
define_counter!(
    /// Number that tells a restarted or replaced host from its predecessor with the same name.
    ///
    /// It is the UTC time of the start in milliseconds, so that a later process has a higher one.
    HostIncarnation
);
