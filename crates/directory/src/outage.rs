//! Detects outages of the store, in which entries of live targets lapse.
//!
//! The store may refuse some hosts and serve the others. Its targets then renew their entries as usual, so a removed
//! entry means that the target has left. Only if no host known to this one got an answer for a while may entries have
//! lapsed. The contacts of other hosts are therefore counted beside the calls of this host.
//!
//! A host that was cut off from the store and from all other hosts cannot tell its cut from an outage. Hosts therefore
//! state in their messages for how long they have known of contacts with the store without a gap. A gap that lies within
//! such a span of another host was no outage.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

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
pub(crate) const REGISTRATION_TIME: Duration = Duration::from_millis(2300);

/// Time in which hosts known to the sender of a message had contacts with the store without a gap.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServedSpan {
    /// Age of the first contact, in milliseconds.
    pub first_millis: u32,
    /// Age of the latest contact, in milliseconds.
    pub last_millis: u32,
}

impl ServedSpan {
    /// Returns the age of the first contact.
    fn first(self) -> Duration {
        Duration::from_millis(self.first_millis.into())
    }

    /// Returns the age of the latest contact.
    fn last(self) -> Duration {
        Duration::from_millis(self.last_millis.into())
    }
}

/// Time without a contact of any known host, after which the store was reached again.
#[derive(Clone, Copy, Debug)]
struct ContactGap {
    length: Duration,
    recovered_at: MonoTime,
}

/// Contacts with the store and the latest outage that they show.
#[derive(Debug, Default)]
pub struct OutageDetector {
    /// Latest answer to any host. It also counts answers about targets alone, which say nothing about keys, so it is
    /// not the contact by which keys are trusted.
    contact: StoreContact,
    failing_since: Option<MonoTime>,
    /// The latest outage.
    gap: Option<ContactGap>,
    /// The first contact since the latest outage.
    served_since: StoreContact,
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
        let Some(previous) = previous else {
            self.served_since.confirm_aged(age, now);
            return;
        };
        if previous.get() > age.get() + CONTACT_GAP_MIN {
            self.gap = Some(ContactGap {
                length: previous.get() - age.get(),
                recovered_at: now,
            });
            self.served_since = StoreContact::new();
            self.served_since.confirm_aged(age, now);
        }
    }

    /// Returns the time in which hosts known to this one had contacts with the store without a gap; `None` before the
    /// first contact.
    pub fn served_span(&self, now: MonoTime) -> Option<ServedSpan> {
        let millis = |age: ContactAge| u32::try_from(age.get().as_millis()).unwrap_or(u32::MAX);
        Some(ServedSpan {
            first_millis: millis(self.served_since.age(now)?),
            last_millis: millis(self.contact.age(now)?),
        })
    }

    /// Records the span that another host stated, in a message that was sent not before `sent_at`. Returns `true` if it
    /// shows that what this host took for an outage was none.
    pub fn on_served(&mut self, span: ServedSpan, sent_at: MonoTime, now: MonoTime) -> bool {
        let (first, last) = (span.first(), span.last() + now.since(sent_at));
        let is_covered = |gap_age: Duration| first + CONTACT_GAP_MIN >= gap_age;
        if let Some(age) = self.contact.age(now)
            && age.get() > last + CONTACT_GAP_MIN
            && is_covered(age.get())
        {
            self.contact.confirm_aged(ContactAge::new(last), now);
        }
        let is_refuted = self.gap.is_some_and(|gap| {
            let recovery_age = now.since(gap.recovered_at);
            is_covered(recovery_age + gap.length) && last <= recovery_age + CONTACT_GAP_MIN
        });
        if is_refuted {
            self.gap = None;
            self.registration_end = None;
            self.served_since = StoreContact::new();
            self.served_since.confirm_aged(ContactAge::new(first), now);
        }
        is_refuted
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
        self.gap
            .map(|gap| gap.recovered_at.after(REGISTRATION_TIME))
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
