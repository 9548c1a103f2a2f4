//! Detects outages of the store, in which entries of live targets lapse.
//!
//! The store may refuse some hosts and serve the others. Its targets then renew their entries as usual, so a removed
//! entry means that the target has left. Only if no host known to this one got an answer for a while may entries have
//! lapsed. The contacts of other hosts are therefore counted beside the calls of this host.

use std::time::Duration;

use chicorycroft_core::prelude::*;

use crate::contact::{
    ContactAge,
    StoreContact, //
};

/// Time over which the calls of this host must fail. An interrupted watch alone is no outage, as the next call
/// succeeds.
const FAILING_MIN: Duration = Duration::from_millis(1000);

/// Time between two contacts of any host with the store. Entries lapse after three missed writes, one each 1.5 s, so
/// none lapses in a shorter outage. While the store refuses the dispatchers, other hosts read it every two seconds.
const CONTACT_GAP_MIN: Duration = Duration::from_millis(2500);

/// Time from the recovery of the store in which targets register again: the platform's two seconds and one
/// paced read.
const REGISTRATION_TIME: Duration = Duration::from_millis(2300);

/// Contacts with the store and the latest outage that they show.
#[derive(Debug, Default)]
pub struct OutageDetector {
    /// Latest answer to any host. It also counts answers about targets alone, which say nothing about keys, so it is
    /// not the contact by which keys are trusted.
    contact: StoreContact,
    failing_since: Option<MonoTime>,
    /// When the first host reached the store again after an outage.
    recovered_at: Option<MonoTime>,
    /// Time until which removed entries may belong to live targets.
    registration_end: Option<MonoTime>,
}

impl OutageDetector {
    /// Creates a detector without any contact.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the store answered this or another host, by the age of the contact at `now`.
    pub fn on_contact(&mut self, age: ContactAge, now: MonoTime) {
        let previous = self.contact.age(now);
        self.contact.confirm_aged(age, now);
        if previous.is_some_and(|previous| previous.get() > age.get() + CONTACT_GAP_MIN) {
            self.recovered_at = Some(now);
        }
    }

    /// Records a failed call of this host.
    pub fn on_failure(&mut self, now: MonoTime) {
        self.failing_since.get_or_insert(now);
    }

    /// Returns `true` if the last call of this host failed.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Records an answer to this host. Returns the time for which its calls had failed, if the last one did.
    pub fn on_answer(&mut self, now: MonoTime) -> Option<Duration> {
        self.on_contact(ContactAge::new(Duration::ZERO), now);
        let failing_time = now.since(self.failing_since.take()?);
        if failing_time > FAILING_MIN {
            self.registration_end = self.recovery_end();
        }
        Some(failing_time)
    }

    /// Returns the end of the time in which targets register again after the latest recovery of the store.
    fn recovery_end(&self) -> Option<MonoTime> {
        self.recovered_at.map(|at| at.after(REGISTRATION_TIME))
    }

    /// Returns the time until which removed entries may belong to live targets that have not registered again, or
    /// `None` if that time has passed.
    pub fn registration_end(&self, now: MonoTime) -> Option<MonoTime> {
        self.registration_end.filter(|&end| now < end)
    }

    /// Returns the time until which entries that another host's directory lacks may belong to live targets, or `None` if
    /// this host knows of no outage. The answer of that host may be the first sign that the store is back.
    pub fn adoption_end(&self, now: MonoTime) -> Option<MonoTime> {
        let age = self.contact.age(now);
        if age.is_some_and(|age| age.get() > CONTACT_GAP_MIN) {
            return Some(now.after(REGISTRATION_TIME));
        }
        self.recovery_end().filter(|&end| now < end)
    }

    /// Returns `true` if the time in which targets register again has ended since a full read of the store, as far as
    /// this host knows of an outage.
    pub fn has_registration_ended(&self, read_at: MonoTime, now: MonoTime) -> bool {
        self.recovery_end()
            .is_some_and(|end| read_at < end && end <= now)
    }
}
