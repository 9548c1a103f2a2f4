//! Refusal of requests that no zone could serve within their wait, without a call.
//!
//! Load pattern: for some seconds all slots of a service are in use in all zones. Asking every dispatcher for each
//! request that is refused in the end fills links and processors that the others need.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use indexmap::IndexMap;

use crate::zone_loads::{
    REFUSAL_PERIOD,
    ZoneView, //
};

/// One request in so many passes although the loads would refuse it.
const SAMPLE_ONE_IN: u32 = 8;

/// Least rate at which the body of a request arrives, in bytes per second: a link of 10 Mbit/s.
const BODY_BYTES_PER_S: u64 = 1_250_000;

/// Shortest time between two reports of refusals of a service.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// What the refusal of a request depends on.
#[derive(Clone, Copy, Debug)]
pub struct DoorRequest<'a> {
    /// Service that handles the request.
    pub service: &'a ServiceId,
    /// Team of the caller; `None` on routes that need no key.
    pub team: Option<&'a TeamId>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Longest time that the request waits for a slot.
    pub wait: Duration,
    /// Time that its body takes before; zero once that is read.
    pub body_time: Duration,
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DoorAnswer {
    /// The dispatchers are asked.
    Open,
    /// The loads would refuse the request, but it is asked for to renew them.
    Sample,
    /// The request is refused.
    Refused(DoorRefusal),
}

/// Refusal of a request by the loads of the zones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DoorRefusal {
    /// Shortest expected wait of all zones.
    pub expected_wait: Duration,
    /// Age of the oldest load.
    pub age: Duration,
    /// Number of refusals since the last report, if one is due.
    pub report: Option<u32>,
}

/// The last refusal of requests of a team and priority by the dispatchers.
#[derive(Clone, Copy, Debug)]
struct SeenRefusal {
    at: MonoTime,
    /// Longest time that the request would have waited.
    wait: Duration,
    /// Shortest wait that a dispatcher stated.
    stated_wait: Duration,
}

impl SeenRefusal {
    /// Returns what is left of the stated wait; `None` if the refusal is too old to decide.
    fn wait_left(&self, now: MonoTime) -> Option<Duration> {
        let age = now.since(self.at);
        (age < REFUSAL_PERIOD).then(|| self.stated_wait.saturating_sub(age))
    }
}

/// The refusals of a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceDoor {
    refusals: IndexMap<(Option<TeamId>, u8), SeenRefusal>,
    /// Requests that the loads would have refused.
    refusable_count: u32,
    unreported_count: u32,
    reported_at: Option<MonoTime>,
}

/// Returns the time in which a body of a length arrives.
pub fn body_time(length: u64) -> Duration {
    Duration::from_millis(length.saturating_mul(1000) / BODY_BYTES_PER_S)
}

impl ServiceDoor {
    /// Creates a door at which no request was refused.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the dispatchers refused a request, with the shortest wait that they stated.
    pub fn record_refusal(
        &mut self,
        request: &DoorRequest<'_>,
        stated_wait: Duration,
        now: MonoTime,
    ) {
        self.refusals
            .retain(|_, seen| seen.wait_left(now).is_some());
        let key = (request.team.cloned(), request.priority);
        let seen = SeenRefusal {
            at: now,
            wait: request.wait,
            stated_wait,
        };
        self.refusals.insert(key, seen);
    }

    /// Records that a zone has a free slot, so that what the dispatchers refused before counts no more.
    pub fn record_free_slot(&mut self) {
        self.refusals.clear();
    }

    /// Decides about a request by the views of all zones of its service.
    ///
    /// A dispatcher may serve a team with few requests before those that wait, so that the loads refuse only what
    /// dispatchers refused to the same team within the period.
    pub fn decide(
        &mut self,
        request: &DoorRequest<'_>,
        views: &[ZoneView],
        now: MonoTime,
    ) -> DoorAnswer {
        let key = (request.team.cloned(), request.priority);
        let seen = self.refusals.get(&key).copied();
        let seen = seen.and_then(|seen| Some((seen, seen.wait_left(now)?)));
        let Some((refusal, stated_left)) = seen else {
            return DoorAnswer::Open;
        };
        // A dispatcher knows the place of a team in its queue, which the load does not tell.
        let expected_wait = |view: &ZoneView| view.expected_wait(request.priority).max(stated_left);
        let is_hopeless = |view: &ZoneView| {
            // In a zone that is full for long, others take the slots that become free while the body arrives.
            let body_time = match view.is_steady {
                true => Duration::ZERO,
                false => request.body_time,
            };
            let wait_max = request.wait + body_time;
            // The dispatchers have just refused a request that would have waited as long.
            let was_refused = !refusal.stated_wait.is_zero() && wait_max <= refusal.wait;
            view.is_full() && (was_refused || expected_wait(view) > wait_max)
        };
        if views.is_empty() || !views.iter().all(is_hopeless) {
            return DoorAnswer::Open;
        }
        self.refusable_count = self.refusable_count.wrapping_add(1);
        if self.refusable_count.is_multiple_of(SAMPLE_ONE_IN) {
            return DoorAnswer::Sample;
        }
        let waits = views.iter().map(expected_wait);
        DoorAnswer::Refused(DoorRefusal {
            expected_wait: waits.min().unwrap_or_default(),
            age: views.iter().map(|view| view.age).max().unwrap_or_default(),
            report: self.take_report(now),
        })
    }

    /// Counts a refusal, and returns the count if a report is due.
    fn take_report(&mut self, now: MonoTime) -> Option<u32> {
        self.unreported_count += 1;
        let is_due = self
            .reported_at
            .is_none_or(|at| now.since(at) >= REPORT_PERIOD);
        is_due.then(|| {
            self.reported_at = Some(now);
            std::mem::take(&mut self.unreported_count)
        })
    }
}
