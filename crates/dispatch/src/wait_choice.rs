//! The zone in which a request waits for a slot.
//!
//! Load pattern: for some seconds more requests arrive than the slots of a service can serve, and zones free slots at
//! different rates. A request waits where it is served first.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::{
    zone_loads::ZoneView,
    zone_order::{
        BodyLength,
        OrderTerms, //
    },
};

/// Way there and back from which the hosts of a zone answer late. A host waits for an answer for 150 ms.
const LATE_WAY: Duration = Duration::from_millis(100);

/// A zone in which a request may wait.
#[derive(Clone, Copy, Debug)]
struct WaitOption {
    expected_wait: Duration,
    /// Expected time to an answer, with the margin for zones elsewhere.
    time: Duration,
    /// Whether the dispatcher stated the wait to this request. A wait that follows from the load alone may be too long
    /// for a request that goes before those that wait.
    is_stated: bool,
}

/// The zones in which one request may wait, and those in which it did.
#[derive(Clone, Debug)]
pub struct WaitChoice {
    views: Vec<ZoneView>,
    home: ZoneId,
    priority: u8,
    length: BodyLength,
    options: IndexMap<ZoneId, WaitOption>,
    waited_zones: Vec<ZoneId>,
}

impl WaitChoice {
    /// Creates a choice without zones. `views` tells what is known about all zones, in the order of the search.
    pub fn new(terms: OrderTerms<'_>, views: Vec<ZoneView>) -> Self {
        Self {
            views,
            home: terms.home.clone(),
            priority: terms.priority,
            length: terms.length,
            options: IndexMap::new(),
            waited_zones: Vec::new(),
        }
    }

    /// Returns what is known about the zones, in the order of the search.
    pub fn views(&self) -> &[ZoneView] {
        &self.views
    }

    /// Adds a zone whose load tells the wait.
    pub fn add_viewed(&mut self, zone: &ZoneId) {
        self.add(zone, None);
    }

    /// Adds a zone whose dispatcher stated the wait to this request.
    pub fn add_stated(&mut self, zone: &ZoneId, wait: Duration) {
        self.add(zone, Some(wait));
    }

    fn add(&mut self, zone: &ZoneId, stated: Option<Duration>) {
        let view = self.views.iter().find(|view| view.zone == *zone);
        let Some(view) = view.filter(|_| !self.waited_zones.contains(zone)) else {
            return;
        };
        let expected_wait = stated.unwrap_or_else(|| view.expected_wait(self.priority));
        let terms = OrderTerms {
            home: &self.home,
            priority: self.priority,
            length: self.length,
        };
        let option = WaitOption {
            expected_wait,
            time: terms.time_to_answer(view, expected_wait),
            is_stated: stated.is_some(),
        };
        self.options.insert(zone.clone(), option);
    }

    /// Returns the next zone to wait in for at most `left`: the one with the shortest expected time to an answer. Zones
    /// that stated a longer wait to this request are not asked again, and of those that did not, only the first.
    pub fn next_zone(&mut self, left: Duration) -> Option<ZoneId> {
        let is_first = self.waited_zones.is_empty();
        let may_serve =
            |option: &WaitOption| option.expected_wait <= left || is_first && !option.is_stated;
        let options = self.options.iter();
        let options = options.filter(|(_, option)| may_serve(option));
        let (zone, _) = options.min_by_key(|(_, option)| option.time)?;
        let zone = zone.clone();
        self.options.shift_remove(&zone);
        self.waited_zones.push(zone.clone());
        Some(zone)
    }

    /// Returns `true` if a zone that answers late or not at all is left out, because another one stated that it serves the
    /// request within `left` and sooner.
    pub fn leaves_out(&self, zone: &ZoneId, left: Duration) -> bool {
        let view = self.views.iter().find(|view| view.zone == *zone);
        let Some(view) = view.filter(|view| view.is_silent || view.way >= LATE_WAY) else {
            return false;
        };
        self.options.values().any(|option| {
            let is_sooner = view.is_silent || option.time < view.way;
            option.is_stated && option.expected_wait <= left && is_sooner
        })
    }
}
