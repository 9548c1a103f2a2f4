//! Points in time.
//!
//! Decision code never reads a clock. It receives a [`MonoTime`] for durations on one host and a
//! [`UnixTime`] for the times of operators' bookings.

use std::{
    fmt,
    str::FromStr,
    time::Duration, //
};

use thiserror::Error;

/// Monotonic time in microseconds since the start of this process.
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
pub struct MonoTime(u64);

impl MonoTime {
    /// The start of the process.
    pub const START: Self = Self(0);

    /// Creates a time from a number of microseconds since the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a time from a number of milliseconds since the start, and saturates at the maximum value.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }

    /// Returns the number of microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration since an earlier time, or zero if that time is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time that is later by a duration, and saturates at the maximum value.
    pub fn after(self, time: Duration) -> Self {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// Error returned when a string is not a valid UTC time.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("a time is written as 2026-12-04T11:30:00Z, in UTC")]
pub struct TimeError;

/// Wall clock time in milliseconds since 1970-01-01T00:00:00 UTC.
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
pub struct UnixTime(u64);

const SECONDS_PER_DAY: u64 = 86_400;

/// Days in 400 years, after which the Gregorian calendar repeats.
const DAYS_PER_ERA: i64 = 146_097;

impl UnixTime {
    /// Creates a time from a number of milliseconds since 1970.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the number of milliseconds since 1970.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time that is later by a duration, and saturates at the maximum value.
    pub fn after(self, time: Duration) -> Self {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

/// Returns the number of days from 1970-01-01 to a date in the Gregorian calendar.
fn days_from_civil(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * DAYS_PER_ERA + day_of_era - 719_468
}

/// Returns the year, month and day for a number of days since 1970-01-01.
fn civil_from_days(days: i64) -> (i64, i64, i64) {
    let days = days + 719_468;
    let era = days.div_euclid(DAYS_PER_ERA);
    let day_of_era = days.rem_euclid(DAYS_PER_ERA);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = (shifted_month + 2) % 12 + 1;
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    (year, month, day)
}

impl fmt::Display for UnixTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.0 / 1000;
        let (days, second_of_day) = (seconds / SECONDS_PER_DAY, seconds % SECONDS_PER_DAY);
        let (year, month, day) = civil_from_days(i64::try_from(days).unwrap_or(i64::MAX / 2));
        let (hour, minute, second) = (
            second_of_day / 3600,
            second_of_day / 60 % 60,
            second_of_day % 60,
        );
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z"
        )
    }
}

impl FromStr for UnixTime {
    type Err = TimeError;

    fn from_str(text: &str) -> Result<Self, TimeError> {
        let bytes = text.as_bytes();
        let is_well_formed = bytes.len() == 20
            && bytes.iter().enumerate().all(|(at, &byte)| match at {
                4 | 7 => byte == b'-',
                10 => byte == b'T',
                13 | 16 => byte == b':',
                19 => byte == b'Z',
                _ => byte.is_ascii_digit(),
            });
        if !is_well_formed {
            return Err(TimeError);
        }
        let field = |from: usize, to: usize| text[from..to].parse::<i64>().map_err(|_| TimeError);
        let (year, month, day) = (field(0, 4)?, field(5, 7)?, field(8, 10)?);
        let (hour, minute, second) = (field(11, 13)?, field(14, 16)?, field(17, 19)?);
        let days = days_from_civil(year, month, day);
        let is_valid = year >= 1970
            && civil_from_days(days) == (year, month, day)
            && hour < 24
            && minute < 60
            && second < 60;
        if !is_valid {
            return Err(TimeError);
        }
        let seconds = days * 86_400 + hour * 3600 + minute * 60 + second;
        u64::try_from(seconds)
            .map(|seconds| Self(seconds * 1000))
            .map_err(|_| TimeError)
    }
}
