//! How old the knowledge of this host is, and what it may do with it.

use std::{
    fmt,
    str::FromStr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

/// Time kept between the end of a host's trust in keys and the bound of the platform. It covers the
/// way of a request from its caller and the granularity of contact times.
const TRUST_MARGIN: Duration = Duration::from_millis(400);

/// Age of the last confirmed contact with the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ContactAge(Duration);

impl ContactAge {
    /// Wraps a time.
    pub const fn new(age: Duration) -> Self {
        Self(age)
    }

    /// Returns the time.
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl fmt::Display for ContactAge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0.as_millis())
    }
}

impl FromStr for ContactAge {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let millis = text.strip_suffix("ms").unwrap_or(text).parse()?;
        Ok(Self(Duration::from_millis(millis)))
    }
}

/// A moment at which the age of the knowledge was known.
#[derive(Clone, Copy, Debug)]
struct ContactPoint {
    at: MonoTime,
    age: Duration,
}

/// When this host last knew what the store held, by itself or through another host.
///
/// What another host tells may be older than this process, so that an age is kept with the time at which it was
/// right: a point before the start of the process has no time.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    latest: Option<ContactPoint>,
}

impl StoreContact {
    /// Makes the contact of a host that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the knowledge of this host holds as of a time.
    pub fn confirm(&mut self, at: MonoTime) {
        self.confirm_aged(ContactAge::new(Duration::ZERO), at);
    }

    /// Notes that the knowledge of this host had an age at a time.
    pub fn confirm_aged(&mut self, age: ContactAge, at: MonoTime) {
        let age = age.get();
        let is_newer = self
            .latest
            .is_none_or(|known| at.after(known.age) > known.at.after(age));
        if is_newer {
            self.latest = Some(ContactPoint { at, age });
        }
    }

    /// Returns the age of the knowledge; none before the first contact.
    pub fn age(&self, now: MonoTime) -> Option<ContactAge> {
        self.latest
            .map(|known| ContactAge(now.since(known.at) + known.age))
    }

    /// Tells whether keys may be trusted: one that was withdrawn must not work after the bound.
    pub fn may_trust_keys(&self, revoke_bound: Duration, now: MonoTime) -> bool {
        let limit = revoke_bound.saturating_sub(TRUST_MARGIN);
        self.age(now).is_some_and(|age| age.get() < limit)
    }
}
