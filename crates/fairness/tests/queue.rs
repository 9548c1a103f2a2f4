//! Order, limits and deadlines of waiting requests.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::collections::HashMap;

use chicorycroft_core::prelude::*;
use chicorycroft_fairness::prelude::*;
use quickcheck::{
    Gen,
    QuickCheck, //
};

const FAR_DEADLINE: MonoTime = MonoTime::from_millis(1_000_000);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn team(number: u8) -> QueueTeam {
    match number {
        0 => QueueTeam::Open,
        _ => QueueTeam::Team(TeamId::new(&format!("team-{number}")).unwrap()),
    }
}

fn queue(per_team: usize, total: usize) -> FairQueue {
    FairQueue::new(QueueBounds { per_team, total })
}

/// Guards against a team that gets more slots than another one that is always waiting, against
/// reordering within a team, and against a wrong count of entries.
#[test]
fn waiting_teams_get_equal_slots_in_order_of_arrival() {
    fn check(steps: Vec<u8>) -> bool {
        let mut queue = queue(1000, 5000);
        let mut waiting: HashMap<QueueTeam, Vec<u64>> = HashMap::new();
        let mut overtakes: HashMap<(QueueTeam, QueueTeam), u32> = HashMap::new();
        for step in steps {
            if step % 3 != 0 {
                let admission = queue.enqueue(team(step % 5), FAR_DEADLINE, at(0)).unwrap();
                let QueueTicket { team, number } = admission.ticket;
                waiting.entry(team).or_default().push(number);
                continue;
            }
            let Some(ticket) = queue.next(at(0)) else {
                assert!(waiting.values().all(Vec::is_empty));
                continue;
            };
            assert_eq!(
                waiting.get_mut(&ticket.team).unwrap().remove(0),
                ticket.number
            );
            for (other, numbers) in &waiting {
                let pair = (other.clone(), ticket.team.clone());
                let count = overtakes.entry(pair).or_default();
                let is_overtaken = !numbers.is_empty() && *other != ticket.team;
                *count = if is_overtaken { *count + 1 } else { 0 };
                assert!(
                    *count <= 1,
                    "{other} waited while {} was served twice",
                    ticket.team
                );
            }
            overtakes.retain(|(overtaken, _), _| *overtaken != ticket.team);
            assert_eq!(queue.len(), waiting.values().map(Vec::len).sum::<usize>());
        }
        true
    }
    QuickCheck::new()
        .tests(400)
        .rng(Gen::from_size_and_seed(400, 20_261_204))
        .quickcheck(check as fn(Vec<u8>) -> bool);
}

/// Guards against a team that gets every second slot by sending one request at a time.
#[test]
fn team_that_sends_one_request_at_a_time_gets_no_extra_slots() {
    let mut queue = queue(100, 1000);
    for number in (1..=4).cycle().take(40) {
        queue.enqueue(team(number), FAR_DEADLINE, at(0)).unwrap();
    }
    queue.enqueue(team(9), FAR_DEADLINE, at(0)).unwrap();
    let mut served = 0;
    for _ in 0..30 {
        if queue.next(at(0)).unwrap().team == team(9) {
            served += 1;
            queue.enqueue(team(9), FAR_DEADLINE, at(0)).unwrap();
        }
    }
    assert_eq!(served, 6);
}

/// Guards against a team far above its share that displaces others from a full queue.
#[test]
fn full_queue_refuses_the_newest_entry_of_the_longest_team() {
    let mut queue = queue(8, 10);
    let mut numbers = Vec::new();
    for _ in 0..8 {
        numbers.push(
            queue
                .enqueue(team(1), FAR_DEADLINE, at(0))
                .unwrap()
                .ticket
                .number,
        );
    }
    let refusal = QueueRefusal::TeamFull { length: 8 };
    assert_eq!(queue.enqueue(team(1), FAR_DEADLINE, at(0)), Err(refusal));
    for number in 2..=5 {
        let admission = queue.enqueue(team(number), FAR_DEADLINE, at(0)).unwrap();
        let displaced = admission
            .displaced
            .map(|ticket| (ticket.team, ticket.number));
        let newest = (number >= 4).then(|| (team(1), numbers.pop().unwrap()));
        assert_eq!(displaced, newest);
    }
    let refusal = QueueRefusal::QueueFull { length: 10 };
    assert_eq!(queue.enqueue(team(1), FAR_DEADLINE, at(0)), Err(refusal));
    assert_eq!(queue.len(), 10);
}

/// Guards against requests that wait in vain, and against refusals of requests that would get a
/// slot in time.
#[test]
fn request_that_cannot_be_served_in_time_is_refused_at_once() {
    let mut queue = queue(100, 1000);
    for _ in 0..50 {
        queue.enqueue(team(1), FAR_DEADLINE, at(0)).unwrap();
    }
    for millis in 1..=40 {
        queue.next(at(millis * 10)).unwrap();
    }
    // Ten entries of another team wait, and a slot becomes free about every 10 ms.
    let refused = queue.enqueue(team(1), at(450), at(400));
    assert!(
        matches!(refused, Err(QueueRefusal::TooLate { .. })),
        "{refused:?}"
    );
    assert!(queue.enqueue(team(2), at(450), at(400)).is_ok());
    assert!(queue.enqueue(team(1), at(600), at(400)).is_ok());
    let stalled = queue.enqueue(team(3), at(1500), at(1400));
    assert!(
        matches!(stalled, Err(QueueRefusal::TooLate { .. })),
        "{stalled:?}"
    );
}

/// Guards against slots for callers that have disconnected or whose deadline has passed.
#[test]
fn cancelled_and_expired_entries_get_no_slot() {
    let service = ServiceId::new("documents").unwrap();
    let table = QueueTable::new(QueueBounds::default());
    let enqueue = |number: u8, deadline: u64| {
        let admission = table.enqueue(&service, team(number), at(deadline), at(0));
        admission.unwrap().ticket
    };
    let (cancelled, expired, live) = (enqueue(1, 900), enqueue(1, 50), enqueue(1, 900));
    assert_eq!(table.next_deadline(), Some(at(50)));
    assert!(table.cancel(&service, &cancelled));
    assert!(!table.cancel(&service, &cancelled));
    assert_eq!(table.next(&service, at(60)), Some(live.clone()));
    assert_eq!(table.expire(at(60)), [(service.clone(), expired)]);
    assert!(!table.cancel(&service, &live));
    assert_eq!(table.length_of(&service), 0);
    assert_eq!(table.next_deadline(), None);
}
