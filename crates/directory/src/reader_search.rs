//! Selects the hosts that a dispatcher asks to read the store while the store does not serve it.
//!
//! The store may refuse some hosts and serve others, and nobody knows which. A dispatcher whose copy is late asks a few
//! hosts in the order of their rank. Those that are served remain asked until the dispatcher is served itself. If none
//! is served within a trial, twice as many others are asked. If all were asked in vain, the store is probably down, and the
//! search pauses.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::{
    IndexMap,
    IndexSet, //
};

use crate::{
    change_budget::ChangeBudget,
    contact::ContactAge, //
};

/// Number of hosts that are asked first. If the store refuses half of all hosts, it refuses all four in one zone of 16.
const ASKED_FIRST: usize = 4;

/// Maximum number of trials after which the number of asked hosts no longer doubles.
const DOUBLINGS_MAX: u32 = 3;

/// State of a dispatcher's own copy, from which the need for other readers follows.
#[derive(Clone, Copy, Debug)]
pub struct OwnCopy {
    /// Age of the older part; `None` before the first contact.
    pub age: Option<ContactAge>,
    /// Whether the last call to the store failed or got no answer in time.
    pub is_store_failing: bool,
}

/// A host that is asked to read the store.
#[derive(Clone, Copy, Debug)]
struct AskedReader {
    since: MonoTime,
    /// When an answer last showed that the store serves the host.
    served_at: Option<MonoTime>,
}

/// The hosts that are asked now, and those that were asked in vain.
#[derive(Clone, Debug, Default)]
pub struct ReaderSearch {
    asked: IndexMap<HostId, AskedReader>,
    refused: IndexSet<HostId>,
    trials: u32,
    /// End of the pause after all hosts were asked in vain.
    paused_until: MonoTime,
}

impl ReaderSearch {
    /// Creates a search that asks nobody.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns `true` if a host is asked to read the store.
    pub fn is_asked(&self, host: &HostId) -> bool {
        self.asked.contains_key(host)
    }

    /// Returns the number of hosts that are asked.
    pub fn asked_count(&self) -> usize {
        self.asked.len()
    }

    /// Records an answer of a host that the store serves.
    pub fn on_served(&mut self, host: &HostId, now: MonoTime) {
        if let Some(reader) = self.asked.get_mut(host) {
            reader.served_at = Some(now);
        }
    }

    /// Updates the asked hosts. `ranked` lists the other live hosts of the zone, the one to ask first at the front.
    /// Returns `true` if a trial with other hosts begins.
    pub fn update(
        &mut self,
        ranked: &[HostId],
        own: OwnCopy,
        budget: ChangeBudget,
        now: MonoTime,
    ) -> bool {
        let is_older = |limit: Duration| own.age.is_none_or(|age| age.get() > limit);
        let is_late =
            is_older(budget.late_age()) || own.is_store_failing && is_older(budget.current_age());
        if !is_late && !own.is_store_failing {
            *self = Self::new();
            return false;
        }
        let asked_before = self.asked.len();
        self.asked.retain(|host, reader| {
            let trial_time = budget.silence_limit() + budget.answer_time();
            let is_in_trial = now.since(reader.since) < trial_time;
            let is_served = reader
                .served_at
                .is_some_and(|at| now.since(at) < budget.late_age());
            let is_kept = ranked.contains(host) && (is_in_trial || is_served);
            if !is_kept {
                self.refused.insert(host.clone());
            }
            is_kept
        });
        if !is_late || !self.asked.is_empty() || now < self.paused_until {
            return false;
        }
        self.trials += u32::from(asked_before > 0);
        let count = ASKED_FIRST << self.trials.min(DOUBLINGS_MAX);
        let others = ranked.iter().filter(|host| !self.refused.contains(*host));
        let reader = AskedReader {
            since: now,
            served_at: None,
        };
        self.asked = others
            .take(count)
            .map(|host| (host.clone(), reader))
            .collect();
        if self.asked.is_empty() {
            // All hosts were asked in vain. The store may serve some of them later.
            *self = Self {
                paused_until: now.after(budget.bound()),
                ..Self::new()
            };
        }
        !self.asked.is_empty()
    }
}
