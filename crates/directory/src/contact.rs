//! Age of this host's copy of the store.
//!
//! Keys may be trusted only while the copy is recent: a withdrawn key must stop working on every host within the
//! platform's revocation bound, also on a host that has lost the store.

use std::{
    fmt,
    str::FromStr,
    time::Duration, //
};

use chicorycroft_core::prelude::*;

/// Margin by which a host stops trusting keys before the platform's revocation bound. It covers the transit
/// time of a request from its caller and the granularity of contact times.
const TRUST_MARGIN: Duration = Duration::from_millis(400);

/// Age of the last confirmed contact with the store, by this host or by one that passed its copy on.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ContactAge(Duration);

impl ContactAge {
    /// Creates an age from the time since the contact.
    pub const fn new(age: Duration) -> Self {
        Self(age)
    }

    /// Returns the time since the contact.
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

/// Age of the copy at a point in time.
#[derive(Clone, Copy, Debug)]
struct ContactPoint {
    at: MonoTime,
    age: Duration,
}

/// Last confirmed contact with the store, directly or through another host.
///
/// The copy of another host may be older than this process. The contact is therefore kept as an age at a point in
/// time, because [`MonoTime`] cannot represent points before the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    latest: Option<ContactPoint>,
}

impl StoreContact {
    /// Creates the state of a host that has just started and has no copy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the copy of this host was up to date at `at`.
    pub fn confirm(&mut self, at: MonoTime) {
        self.confirm_aged(ContactAge::new(Duration::ZERO), at);
    }

    /// Records that the copy of this host had an age at `at`. A contact that is older than the last one is ignored.
    pub fn confirm_aged(&mut self, age: ContactAge, at: MonoTime) {
        let age = age.get();
        let is_newer = self
            .latest
            .is_none_or(|point| at.after(point.age) > point.at.after(age));
        if is_newer {
            self.latest = Some(ContactPoint { at, age });
        }
    }

    /// Returns the age of the copy; `None` before the first contact.
    pub fn age(&self, now: MonoTime) -> Option<ContactAge> {
        self.latest
            .map(|point| ContactAge(now.since(point.at) + point.age))
    }

    /// Returns `true` if keys may be trusted. A withdrawn key must not work for longer than `revoke_bound`.
    pub fn may_trust_keys(&self, revoke_bound: Duration, now: MonoTime) -> bool {
        let limit = revoke_bound.saturating_sub(TRUST_MARGIN);
        self.age(now).is_some_and(|age| age.get() < limit)
    }
}
