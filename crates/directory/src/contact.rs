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

use crate::position::StorePosition;

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

/// A part of the store with a watch of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StorePart {
    /// Records of operators: the configuration and evacuated zones.
    Operator,
    /// Entries of targets.
    Targets,
}

impl StorePart {
    /// All parts.
    pub const ALL: [Self; 2] = [Self::Operator, Self::Targets];
}

impl fmt::Display for StorePart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Operator => "operator",
            Self::Targets => "targets",
        })
    }
}

/// Who confirmed that the copy of a host is up to date.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ContactSource {
    /// The store itself.
    Store,
    /// Another host that passed its copy on.
    Peer,
}

impl fmt::Display for ContactSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Store => "store",
            Self::Peer => "peer",
        })
    }
}

/// Age of the copy at a point in time.
#[derive(Clone, Copy, Debug)]
struct ContactPoint {
    at: MonoTime,
    age: Duration,
    source: ContactSource,
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

    /// Records that the store confirmed the copy of this host at `at`.
    pub fn confirm(&mut self, at: MonoTime) {
        self.record(ContactPoint {
            at,
            age: Duration::ZERO,
            source: ContactSource::Store,
        });
    }

    /// Records that the copy of another host, which this one adopted, had an age at `at`.
    pub fn confirm_aged(&mut self, age: ContactAge, at: MonoTime) {
        self.record(ContactPoint {
            at,
            age: age.get(),
            source: ContactSource::Peer,
        });
    }

    /// Replaces the latest contact unless that one is newer.
    fn record(&mut self, contact: ContactPoint) {
        let is_newer = self
            .latest
            .is_none_or(|point| contact.at.after(point.age) > point.at.after(contact.age));
        if is_newer {
            self.latest = Some(contact);
        }
    }

    /// Returns who confirmed the copy last; `None` before the first contact.
    pub fn source(&self) -> Option<ContactSource> {
        self.latest.map(|point| point.source)
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

/// What became of a configuration that a host read from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigOutcome {
    /// It could be decoded, and has a version.
    Accepted(ConfigVersion),
    /// It could not be decoded, while a version was in force.
    Refused(Option<ConfigVersion>),
}

/// A refused configuration that is not superseded.
#[derive(Clone, Copy, Debug)]
struct RefusedReading {
    read_at: StorePosition,
    in_force: Option<ConfigVersion>,
}

/// The latest configuration that this host read from the store.
#[derive(Clone, Copy, Debug)]
struct ConfigReading {
    position: StorePosition,
    refused: Option<RefusedReading>,
}

/// Contacts with the store that confirm each part of a host's copy. The parts are read independently, so that one may
/// be current while the other is not.
///
/// While the store has a configuration that this host refused, the keys of the version in force may have been withdrawn.
/// The store then confirms the rest of the operators' records, but not the keys.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyContacts {
    operator: StoreContact,
    targets: StoreContact,
    keys: StoreContact,
    config: Option<ConfigReading>,
}

impl CopyContacts {
    /// Creates the state of a host that has just started and has no copy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the contacts for a part.
    pub fn part(&self, part: StorePart) -> &StoreContact {
        match part {
            StorePart::Operator => &self.operator,
            StorePart::Targets => &self.targets,
        }
    }

    /// Returns the age of the part that was confirmed earlier; `None` unless both were.
    pub fn age(&self, now: MonoTime) -> Option<ContactAge> {
        let (operator, targets) = (self.operator.age(now)?, self.targets.age(now)?);
        Some(operator.max(targets))
    }

    /// Returns the contacts by which keys are trusted.
    pub fn keys(&self) -> &StoreContact {
        &self.keys
    }

    /// Records that this host read a configuration at a position of the store. The answer to an earlier call, which
    /// arrives late, is ignored. A refused configuration that the store lacks after it came back from an older copy may
    /// still have withdrawn keys: only a higher version than the one in force supersedes it.
    pub fn on_config_read(&mut self, position: StorePosition, outcome: ConfigOutcome) {
        if self.config.is_some_and(|known| known.position > position) {
            return;
        }
        let known = self.config.and_then(|known| known.refused);
        let refused = match outcome {
            ConfigOutcome::Refused(in_force) => Some(RefusedReading {
                read_at: position,
                in_force,
            }),
            ConfigOutcome::Accepted(version) => known.filter(|refused| {
                refused.read_at.era < position.era && Some(version) <= refused.in_force
            }),
        };
        self.config = Some(ConfigReading { position, refused });
    }

    /// Records that the store confirmed a part of the copy at `at`.
    pub fn confirm(&mut self, part: StorePart, at: MonoTime) {
        match part {
            StorePart::Operator => {
                self.operator.confirm(at);
                if self.config.is_none_or(|config| config.refused.is_none()) {
                    self.keys.confirm(at);
                }
            }
            StorePart::Targets => self.targets.confirm(at),
        }
    }

    /// Records that a part of the copy of another host, which this one adopted, had an age at `at`.
    pub fn confirm_aged(&mut self, part: StorePart, age: ContactAge, at: MonoTime) {
        match part {
            StorePart::Operator => {
                self.operator.confirm_aged(age, at);
                self.keys.confirm_aged(age, at);
            }
            StorePart::Targets => self.targets.confirm_aged(age, at),
        }
    }

    /// Returns the age of a part for hosts that adopt the copy of this one. That of the operators' records is the age of
    /// the keys among them.
    pub fn shared_age(&self, part: StorePart, now: MonoTime) -> Option<ContactAge> {
        match part {
            StorePart::Operator => self.keys.age(now),
            StorePart::Targets => self.targets.age(now),
        }
    }
}
