//! Replay of callers, hosts and targets around one dispatcher, in steps of a millisecond.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;

use crate::common::*;

/// Targets of the pool. Each has two slots, so that the pool completes 40 requests per second.
const TARGET_COUNT: usize = 5;

/// Time for which callers go on sending, in milliseconds.
pub(crate) const LENGTH: u64 = 8000;

/// Callers that send at a steady rate.
#[derive(Clone, Debug)]
pub(crate) struct CallerGroup {
    pub(crate) team: &'static str,
    pub(crate) priority: u8,
    /// Requests per second.
    pub(crate) rate: u64,
    /// Latency objective in milliseconds.
    pub(crate) objective: u64,
    /// Time after which the caller gives up, in milliseconds.
    pub(crate) deadline: u64,
    /// Times at which the group sends, in milliseconds.
    pub(crate) sends: (u64, u64),
    /// Whether a refused request is repeated at once, as often as it has time for.
    pub(crate) repeats_at_once: bool,
}

impl CallerGroup {
    /// Creates a group that sends all the time, with an objective of 1 s and a deadline of 3 s.
    pub(crate) fn new(team: &'static str, priority: u8, rate: u64) -> Self {
        Self {
            team,
            priority,
            rate,
            objective: 1000,
            deadline: 3000,
            sends: (0, LENGTH),
            repeats_at_once: false,
        }
    }

    /// Replaces the objective and the deadline.
    pub(crate) fn with_times(mut self, objective: u64, deadline: u64) -> Self {
        (self.objective, self.deadline) = (objective, deadline);
        self
    }
}

/// What became of the requests of a group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct GroupResult {
    /// Answered within the objective.
    pub(crate) in_time: u64,
    /// Answered later, but before the deadline.
    pub(crate) late: u64,
    /// Refused without a wait.
    pub(crate) refused: u64,
    /// Refused or given up after more than 100 ms in the queue.
    pub(crate) held: u64,
    /// Returns at a stated time.
    pub(crate) returned: u64,
    /// Returns at a stated time that were answered in time or late.
    pub(crate) kept: u64,
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
struct CallerRequest {
    group: usize,
    number: u64,
    sent_at: u64,
    is_return: bool,
}

/// Times of a refusal that a caller honours: a third of the time that it has left.
fn return_time(answer: Option<Duration>, left: u64) -> Option<u64> {
    let stated = u64::try_from(answer?.as_millis()).unwrap();
    (stated <= left / 3).then_some(stated)
}

/// The replay.
pub(crate) struct OverloadReplay {
    groups: Vec<CallerGroup>,
    pub(crate) results: Vec<GroupResult>,
    dispatcher: ZoneDispatcher,
    running: BTreeMap<(u64, u64), (CallerRequest, DispatchGrant)>,
    waiting: BTreeMap<TicketNumber, (CallerRequest, u64)>,
    arrivals: BTreeMap<(u64, u64), CallerRequest>,
    next_number: u64,
}

impl OverloadReplay {
    /// Plays the requests of all groups and returns what became of them.
    pub(crate) fn play(groups: Vec<CallerGroup>) -> Vec<GroupResult> {
        let mut replay = Self {
            results: vec![GroupResult::default(); groups.len()],
            groups,
            dispatcher: ZoneDispatcher::new(0),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            next_number: 0,
        };
        replay.schedule_arrivals();
        for now in 0..LENGTH + 5000 {
            replay.step(now);
        }
        replay.results
    }

    fn schedule_arrivals(&mut self) {
        for (group, terms) in self.groups.clone().iter().enumerate() {
            let (from, to) = terms.sends;
            let count = (to - from) * terms.rate / 1000;
            for turn in 0..count {
                // Groups do not send in the same millisecond.
                let sent_at = from + turn * 1000 / terms.rate + group as u64 * 7 % 11;
                self.arrive(group, sent_at, sent_at, false);
            }
        }
    }

    fn arrive(&mut self, group: usize, at: u64, sent_at: u64, is_return: bool) {
        self.next_number += 1;
        let request = CallerRequest {
            group,
            number: self.next_number,
            sent_at,
            is_return,
        };
        self.arrivals.insert((at, self.next_number), request);
    }

    fn step(&mut self, now: u64) {
        while let Some(entry) = self.running.first_entry()
            && entry.key().0 <= now
        {
            let (request, grant) = entry.remove();
            self.on_answer(request, now);
            let change = release(&self.dispatcher, &grant, AttemptResult::Good, at(now));
            self.on_change(change, now);
        }
        while let Some(entry) = self.arrivals.first_entry()
            && entry.key().0 <= now
        {
            let request = entry.remove();
            self.admit(request, now);
        }
        if now.is_multiple_of(50) {
            let change = self
                .dispatcher
                .serve_queues(&directory_of(TARGET_COUNT), at(now));
            self.on_change(change, now);
        }
    }

    fn on_answer(&mut self, request: CallerRequest, now: u64) {
        let (terms, elapsed) = (&self.groups[request.group], now - request.sent_at);
        let result = &mut self.results[request.group];
        if elapsed <= terms.deadline {
            result.kept += u64::from(request.is_return);
        }
        if elapsed <= terms.objective {
            result.in_time += 1;
        } else if elapsed <= terms.deadline {
            result.late += 1;
        }
    }

    fn start(&mut self, request: CallerRequest, grant: DispatchGrant, now: u64) {
        // 200 to 300 ms, in a fixed order without a pattern.
        let work = 200 + request.number * 7919 % 101;
        self.running
            .insert((now + work, request.number), (request, grant));
    }

    fn on_change(&mut self, change: QueueChange, now: u64) {
        for (ticket, grant) in change.granted {
            let (request, _) = self.waiting.remove(&ticket).unwrap();
            self.start(request, grant, now);
        }
        for (ticket, terms) in change.expired {
            let (request, since) = self.waiting.remove(&ticket).unwrap();
            self.on_refusal(request, terms.return_after, since, now);
        }
    }

    fn on_refusal(
        &mut self,
        request: CallerRequest,
        return_after: Option<Duration>,
        since: u64,
        now: u64,
    ) {
        let terms = &self.groups[request.group];
        let left = (request.sent_at + terms.deadline).saturating_sub(now);
        let result = &mut self.results[request.group];
        if now - since > 100 {
            result.held += 1;
        }
        if terms.repeats_at_once && left > 20 {
            self.arrive(request.group, now + 20, request.sent_at, false);
            return;
        }
        match return_time(return_after, left) {
            Some(after) if !request.is_return => {
                result.returned += 1;
                self.arrive(request.group, now + after, request.sent_at, true);
            }
            _ if now - since <= 100 => result.refused += 1,
            _ => {}
        }
    }

    fn admit(&mut self, request: CallerRequest, now: u64) {
        let terms = &self.groups[request.group];
        let left = (request.sent_at + terms.deadline).saturating_sub(now);
        let budget = TimeBudget::new(Some(Duration::from_millis(left)), None);
        let wait = budget.wait_max(Duration::from_millis(terms.objective));
        let probe = AdmitRequest {
            team: Some(TeamId::new(terms.team).unwrap()),
            priority: terms.priority,
            left_millis: whole_millis(budget.left),
            // A return is a new request, whose host knows nothing of the earlier one.
            objective_millis: Some(terms.objective as u32),
            ..self::request(&request.number.to_string())
        };
        let waiting = AdmitRequest {
            wait_millis: whole_millis(wait),
            ..probe.clone()
        };
        let directory = directory_of(TARGET_COUNT);
        for ask in [probe, waiting] {
            match admit(&self.dispatcher, &directory, &ask, at(now)) {
                PoolAnswer::Granted(grant) => return self.start(request, grant, now),
                PoolAnswer::Waiting(ticket) => {
                    self.waiting.insert(ticket, (request, now));
                    return;
                }
                PoolAnswer::Busy { return_after, .. } if ask.wait_millis > 0 => {
                    return self.on_refusal(request, return_after, now, now);
                }
                _ => {}
            }
        }
        self.on_refusal(request, None, now, now);
    }
}
