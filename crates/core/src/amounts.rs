//! Tokens, rates, bursts, slots, ratios and memory.
//!
//! Tokens are counted in millionths, so that the shares of a rate divided among all hosts add up to at
//! most the rate. With whole tokens rounded up on each host, the sum could exceed the rate by up to one
//! token per host.

use std::{
    fmt,
    str::FromStr,
    time::Duration, //
};

use thiserror::Error;

use crate::define_counter;

/// Number of millionths in one token.
pub const MICROS_PER_TOKEN: u64 = 1_000_000;

/// Maximum number of whole tokens in an amount, rate or burst.
///
/// The product of a rate and a time of up to a day fits in 128 bits with a wide margin.
pub const WHOLE_TOKENS_MAX: u64 = 1_000_000_000;

/// Error returned when a string is not a valid amount.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum AmountError {
    /// The string is not a decimal number with at most 6 decimals.
    #[error("{text:?} is not a decimal number with at most 6 decimals")]
    NotANumber {
        /// The rejected string.
        text: String,
    },
    /// The number is outside the allowed range.
    #[error("{text:?} is outside {lowest} to {highest}")]
    OutOfRange {
        /// The rejected string.
        text: String,
        /// Minimum allowed value.
        lowest: u64,
        /// Maximum allowed value.
        highest: u64,
    },
}

fn parse_micros(text: &str) -> Result<u64, AmountError> {
    let not_a_number = || AmountError::NotANumber {
        text: text.to_owned(),
    };
    let (whole, decimals) = text.split_once('.').unwrap_or((text, ""));
    let is_digits = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
    if whole.is_empty() || !is_digits(whole) || !is_digits(decimals) || decimals.len() > 6 {
        return Err(not_a_number());
    }
    let out_of_range = || AmountError::OutOfRange {
        text: text.to_owned(),
        lowest: 0,
        highest: WHOLE_TOKENS_MAX,
    };
    let whole: u64 = whole.parse().map_err(|_| out_of_range())?;
    if whole > WHOLE_TOKENS_MAX {
        return Err(out_of_range());
    }
    let micros: u64 = format!("{decimals:0<6}")
        .parse()
        .map_err(|_| not_a_number())?;
    Ok(whole * MICROS_PER_TOKEN + micros)
}

fn write_micros(f: &mut fmt::Formatter<'_>, micros: u64) -> fmt::Result {
    let (whole, rest) = (micros / MICROS_PER_TOKEN, micros % MICROS_PER_TOKEN);
    if rest == 0 {
        return write!(f, "{whole}");
    }
    let decimals = format!("{rest:06}");
    write!(f, "{whole}.{}", decimals.trim_end_matches('0'))
}

macro_rules! define_micros {
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
            /// The zero value.
            pub const ZERO: Self = Self(0);

            /// Creates a value from a number of millionths.
            pub const fn from_micros(micros: u64) -> Self {
                Self(micros)
            }

            /// Creates a value from a whole number, without checking it against [`WHOLE_TOKENS_MAX`].
            pub const fn from_whole(whole: u32) -> Self {
                Self(whole as u64 * MICROS_PER_TOKEN)
            }

            /// Returns the number of millionths.
            pub const fn as_micros(self) -> u64 {
                self.0
            }

            /// Returns `true` if the value is zero.
            pub const fn is_zero(self) -> bool {
                self.0 == 0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write_micros(f, self.0)
            }
        }

        impl FromStr for $name {
            type Err = AmountError;

            fn from_str(text: &str) -> Result<Self, AmountError> {
                parse_micros(text).map(Self)
            }
        }
    };
}

define_micros!(
    /// Number of rate limiter tokens, in millionths.
    TokenAmount
);
define_micros!(
    /// Rate in tokens per second, in millionths.
    RequestRate
);
define_micros!(
    /// Maximum number of tokens that can be spent at once beyond the rate, in millionths.
    BurstSize
);

impl TokenAmount {
    /// The cost of one request.
    pub const ONE: Self = Self(MICROS_PER_TOKEN);

    /// Adds two amounts and saturates at the maximum value.
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Subtracts an amount and saturates at zero.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl RequestRate {
    /// Returns the tokens that accrue over a duration, rounded down.
    pub fn accrued_over(self, time: Duration) -> TokenAmount {
        let micros = u128::from(self.0) * time.as_micros() / 1_000_000;
        TokenAmount(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the equal share of one of `count` holders, rounded down.
    pub fn divided_by(self, count: u32) -> Self {
        Self(self.0 / u64::from(count.max(1)))
    }
}

impl BurstSize {
    /// Returns the time in which this burst accrues at a rate, or `None` if the rate is zero.
    pub fn accrual_time(self, rate: RequestRate) -> Option<Duration> {
        let micros = (u128::from(self.0) * 1_000_000).checked_div(u128::from(rate.0))?;
        Some(Duration::from_micros(
            u64::try_from(micros).unwrap_or(u64::MAX),
        ))
    }
}

/// Number of requests that a target processes concurrently.
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
pub struct SlotCount(u16);

impl SlotCount {
    /// Creates a count from a number of slots.
    pub const fn new(slots: u16) -> Self {
        Self(slots)
    }

    /// Returns the number of slots.
    pub const fn get(self) -> u16 {
        self.0
    }
}

impl fmt::Display for SlotCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for SlotCount {
    type Err = AmountError;

    fn from_str(text: &str) -> Result<Self, AmountError> {
        let out_of_range = || AmountError::OutOfRange {
            text: text.to_owned(),
            lowest: 0,
            highest: u64::from(u16::MAX),
        };
        text.parse().map(Self).map_err(|_| out_of_range())
    }
}

/// Fraction of a capacity, in thousandths from 0 to 1000.
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
pub struct CapacityRatio(u16);

impl CapacityRatio {
    /// Maximum value, in thousandths.
    pub const MAX_MILLE: u16 = 1000;

    /// Creates a ratio from a number of thousandths, limited to [`Self::MAX_MILLE`].
    pub const fn from_mille(mille: u16) -> Self {
        if mille > Self::MAX_MILLE {
            Self(Self::MAX_MILLE)
        } else {
            Self(mille)
        }
    }

    /// Returns the number of thousandths.
    pub const fn as_mille(self) -> u16 {
        self.0
    }

    /// Returns the smallest integer that is at least this fraction of `count`.
    pub const fn ceil_of(self, count: u32) -> u32 {
        (count as u64 * self.0 as u64).div_ceil(Self::MAX_MILLE as u64) as u32
    }
}

impl fmt::Display for CapacityRatio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_micros(f, u64::from(self.0) * 1000)
    }
}

impl FromStr for CapacityRatio {
    type Err = AmountError;

    fn from_str(text: &str) -> Result<Self, AmountError> {
        let micros = parse_micros(text)?;
        match u16::try_from(micros / 1000) {
            Ok(mille) if mille <= Self::MAX_MILLE && micros % 1000 == 0 => Ok(Self(mille)),
            _ => Err(AmountError::OutOfRange {
                text: text.to_owned(),
                lowest: 0,
                highest: 1,
            }),
        }
    }
}

define_counter!(
    /// Size of a message, document or answer, in bytes.
    ByteCount
);

impl ByteCount {
    /// Returns the size of a buffer with a length.
    pub fn of_length(length: usize) -> Self {
        Self::new(u64::try_from(length).unwrap_or(u64::MAX))
    }
}

define_counter!(
    /// Rate of the link of a host, in kbit/s.
    LinkRate
);

define_counter!(
    /// Memory that a process may use, in MiB.
    MemoryLimit
);
