//! Order of the queue under random pushes, grants, cancellations and expiries.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::{
    prelude::*,
    waiting_queue::{
        WaitingQueue,
        WaitingRequest, //
    },
};
use quickcheck::quickcheck;

use crate::common::*;

/// Checks of the requests that wait, as a plain list.
#[derive(Default)]
struct QueueModel {
    waiting: BTreeMap<TicketNumber, WaitingRequest>,
    gone: BTreeSet<TicketNumber>,
    /// Grants in a row that went past each waiting priority.
    passed: BTreeMap<u8, u64>,
}

impl QueueModel {
    fn push(&mut self, ticket: TicketNumber, waiting: WaitingRequest) {
        let priority = waiting.request.priority;
        let is_first = !self
            .waiting
            .values()
            .any(|w| w.request.priority == priority);
        if is_first {
            self.passed.insert(priority, 0);
        }
        self.waiting.insert(ticket, waiting);
    }

    fn leave(&mut self, ticket: TicketNumber) -> WaitingRequest {
        assert!(self.gone.insert(ticket), "{ticket} left twice");
        self.waiting.remove(&ticket).expect("a waiting request")
    }

    /// Checks that a grant follows the order rules.
    fn on_grant(&mut self, ticket: TicketNumber, now: MonoTime) {
        let granted = self.leave(ticket);
        let priority = granted.request.priority;
        let waits = |priority| {
            self.waiting
                .values()
                .any(|w| w.request.priority == priority)
        };
        let is_floor = self
            .passed
            .get(&priority)
            .is_some_and(|passed| *passed >= 9);
        for higher in 0..priority {
            assert!(is_floor || !waits(higher), "priority {higher} waits");
        }
        for other in (0..3).filter(|other| *other != priority) {
            let passed = self.passed.entry(other).or_default();
            *passed = if waits(other) { *passed + 1 } else { 0 };
            // Two priorities may be due at the same time.
            assert!(*passed <= 10, "priority {other} was passed {passed} times");
        }
        self.passed.insert(priority, 0);
        for other in self.waiting.values() {
            if other.request.priority != priority {
                continue;
            }
            assert!(granted.is_return || !other.is_return, "a return waits");
            let is_same = other.request.team == granted.request.team;
            if is_same && other.is_return == granted.is_return && other.in_time_until >= now {
                assert!(granted.in_time_until >= now, "a late request went first");
                assert!(granted.in_time_until <= other.in_time_until);
            }
        }
    }
}

fn play(steps: &[(u8, u8, u16)]) {
    let (mut queue, mut model) = (WaitingQueue::new(), QueueModel::default());
    for (number, (action, kind, millis)) in steps.iter().enumerate() {
        let (now, number) = (at(number as u64 * 5), number as u64);
        match action % 8 {
            0..4 => {
                let request = AdmitRequest {
                    team: Some(TeamId::new(&format!("team-{}", kind / 3 % 5)).unwrap()),
                    priority: kind % 3,
                    objective_millis: Some(u32::from(millis % 500)),
                    wait_millis: u32::from(millis % 1000),
                    ..request("1")
                };
                let waiting = WaitingRequest::new(request, Duration::from_millis(100), now);
                let waiting = waiting.with_return(kind % 7 == 0);
                queue.push(TicketNumber::new(number), waiting.clone());
                model.push(TicketNumber::new(number), waiting);
            }
            4..6 => {
                let first = queue.first(now);
                assert_eq!(first.is_none(), model.waiting.is_empty());
                if let Some(first) = first {
                    assert!(queue.grant(first, now).is_some());
                    assert!(queue.grant(first, now).is_none());
                    model.on_grant(first, now);
                }
            }
            6 => {
                while let Some((ticket, waiting)) = queue.take_expired(now) {
                    assert!(waiting.until <= now);
                    model.leave(ticket);
                }
                let interval = Duration::from_millis(u64::from(millis % 50));
                while let Some((ticket, _)) = queue.take_hopeless(interval, now) {
                    model.leave(ticket);
                }
            }
            _ => {
                let ticket = TicketNumber::new(u64::from(*millis) % (number + 1));
                if queue.remove(ticket).is_some() {
                    model.leave(ticket);
                }
            }
        }
        assert_eq!(queue.len(), model.waiting.len());
        let counted: u64 = queue.counts().map(|(_, count)| count).sum();
        assert_eq!(counted, model.waiting.len() as u64);
    }
}

quickcheck! {
    /// Guards against tickets that are lost or served twice, and against grants that break the order: priority with a
    /// floor, returns first, then the objective that ends first.
    fn queue_keeps_its_tickets_and_its_order(steps: Vec<(u8, u8, u16)>) -> bool {
        play(&steps);
        true
    }
}

/// Guards against a team that goes twice in a row while others wait, and against one that saves up turns.
#[test]
fn teams_take_turns() {
    let mut queue = WaitingQueue::new();
    for number in 0..40 {
        let team = if number < 30 { "crowd" } else { "weaver" };
        let request = AdmitRequest {
            team: Some(TeamId::new(team).unwrap()),
            wait_millis: 1500,
            ..request("1")
        };
        let waiting = WaitingRequest::new(request, Duration::ZERO, at(number));
        queue.push(TicketNumber::new(number), waiting);
    }
    let served: Vec<bool> = (0..20)
        .map(|_| {
            let first = queue.first(at(50)).unwrap();
            queue.grant(first, at(50));
            first.get() < 30
        })
        .collect();
    assert!(
        served.chunks(2).all(|pair| pair[0] != pair[1]),
        "{served:?}"
    );
}
