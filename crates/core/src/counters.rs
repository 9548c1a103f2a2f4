//! Newtypes for unsigned integers that serve as counters, versions or identifiers.

/// Defines a newtype around `u64` with `Display`, `FromStr` and serialization. The calling crate needs a
/// dependency on `serde`.
#[macro_export]
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
            /// Creates a value from a number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, std::num::ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}
