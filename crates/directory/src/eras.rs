//! The era of the store, and what a host keeps in use at the start of a new one.
//!
//! A copy from which the store comes back lacks seconds that were acknowledged. Entries and evacuations that it lacks stay
//! in use until targets and operators have had the time to write them again. A host may learn of the era late, for
//! instance after a cut; the time counts from the first contact of any host that it knows of.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    outage::REGISTRATION_TIME,
    position::StoreEra,
    targets::TargetDirectory, //
};

/// The latest era that a host knows of, as told to other hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EraSighting {
    /// The era.
    pub era: StoreEra,
    /// Age of the first contact in the era, in milliseconds; `None` if there was none yet.
    pub age_millis: Option<u32>,
}

/// The latest era that is known, and the first contact in it.
#[derive(Debug, Default)]
pub struct EraClock {
    era: StoreEra,
    /// Whether the era has risen since the start of this process.
    has_risen: bool,
    /// Age of the first contact at a time.
    first_contact: Option<(MonoTime, Duration)>,
}

impl EraClock {
    /// Creates the clock of a host that has no contact yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the latest era.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Records that the store is in an era, and returns `true` if it is a later one.
    pub fn on_era(&mut self, era: StoreEra) -> bool {
        let is_later = era > self.era;
        if is_later {
            (self.era, self.has_risen, self.first_contact) = (era, true, None);
        }
        is_later
    }

    fn contact_age(&self, now: MonoTime) -> Option<Duration> {
        self.first_contact.map(|(at, age)| now.since(at) + age)
    }

    /// Records a contact in an era, by its age at `now`.
    pub fn on_contact(&mut self, era: StoreEra, age: Duration, now: MonoTime) {
        if era == self.era && self.contact_age(now).is_none_or(|known| known < age) {
            self.first_contact = Some((now, age));
        }
    }

    /// Returns what this host tells others about the era.
    pub fn sighting(&self, now: MonoTime) -> EraSighting {
        let millis = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        EraSighting {
            era: self.era,
            age_millis: self.contact_age(now).map(millis),
        }
    }

    /// Returns the time until which what the copy lacks may be written again, or `None` if that time has passed.
    pub fn registration_end(&self, now: MonoTime) -> Option<MonoTime> {
        if !self.has_risen {
            return None;
        }
        let age = self.contact_age(now).unwrap_or_default();
        let left = REGISTRATION_TIME.checked_sub(age)?;
        (!left.is_zero()).then(|| now.after(left))
    }
}

/// Entries and evacuations that only this host keeps in use, each until a time.
#[derive(Debug, Default)]
pub struct KeptEntries {
    /// Targets whose entries lapsed in an outage, or are missing in the copy.
    pub targets: IndexMap<TargetId, MonoTime>,
    /// Evacuated zones that are missing in the copy.
    pub zones: IndexMap<ZoneId, MonoTime>,
}

impl KeptEntries {
    /// Creates the state of a host that keeps nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns `true` if nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty() && self.zones.is_empty()
    }

    /// Returns `true` if the time of a target or zone is over.
    pub fn is_due(&self, now: MonoTime) -> bool {
        let mut ends = self.targets.values().chain(self.zones.values());
        ends.any(|until| now >= *until)
    }

    /// Keeps everything until `end` at least.
    pub fn extend(&mut self, end: MonoTime) {
        let ends = self.targets.values_mut().chain(self.zones.values_mut());
        ends.for_each(|until| *until = end.max(*until));
    }

    /// Keeps everything until `end` at most.
    pub fn limit(&mut self, end: MonoTime) {
        let ends = self.targets.values_mut().chain(self.zones.values_mut());
        ends.for_each(|until| *until = end.min(*until));
    }

    /// Removes what is kept from a directory.
    pub fn strip(&self, directory: &mut TargetDirectory) {
        directory
            .targets
            .retain(|id, _| !self.targets.contains_key(id));
        directory
            .evacuated
            .retain(|zone| !self.zones.contains_key(zone));
    }

    /// Removes the targets and zones from a directory whose time is over, and returns those targets.
    pub fn expire(&mut self, directory: &mut TargetDirectory, now: MonoTime) -> Vec<TargetId> {
        let mut expired = Vec::new();
        self.targets.retain(|id, until| {
            let is_over = now >= *until;
            if is_over {
                expired.push(id.clone());
            }
            !is_over
        });
        self.zones.retain(|zone, until| {
            let is_over = now >= *until;
            if is_over {
                directory.evacuated.shift_remove(zone);
            }
            !is_over
        });
        expired
    }
}
