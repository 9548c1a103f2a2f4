//! Return tickets: places that are kept for callers who were turned away.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::{
    prelude::*,
    return_schedule::{
        ReturnKind,
        ReturnSchedule,
        ReturnTerms, //
    },
};

use crate::common::*;

fn request_of(team: &str, wait_millis: u32) -> AdmitRequest {
    AdmitRequest {
        team: Some(TeamId::new(team).unwrap()),
        wait_millis,
        ..request(team)
    }
}

fn kind(team: &str) -> ReturnKind {
    ReturnKind {
        team: Some(TeamId::new(team).unwrap()),
        priority: 1,
    }
}

fn terms() -> ReturnTerms {
    ReturnTerms {
        interval: Duration::from_millis(25),
        team_count: 0,
        queue_time: Duration::ZERO,
        latest: Duration::from_secs(10),
        latest_in_time: None,
    }
}

/// Plays a caller that is turned away at 1 ms and returns after `part` hundredths of its return time, while newcomers
/// of another team fill the queue. Returns its place among those that are served, and the totals.
fn play_return(part: u32) -> (Option<usize>, QueueTotals) {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    let mut held: Vec<DispatchGrant> = (0..2)
        .map(|_| grant(&dispatcher, &directory, &request_of("held", 0), at(0)))
        .collect();
    let PoolAnswer::Busy { return_after, .. } =
        admit(&dispatcher, &directory, &request_of("away", 100), at(1))
    else {
        panic!("expected a refusal");
    };
    let after = return_after.expect("a return time") * part / 100;
    for _ in 0..4 {
        let newcomer = request_of("new", 1500);
        let answer = admit(&dispatcher, &directory, &newcomer, at(2));
        assert!(matches!(answer, PoolAnswer::Waiting(_)), "{answer:?}");
    }
    let now = at(1).after(after);
    let back = AdmitRequest {
        left_millis: 3000 - whole_millis(after),
        ..request_of("away", 200)
    };
    let back = admit(&dispatcher, &directory, &back, now);
    let mut served = Vec::new();
    for _ in 0..5 {
        let done = held.remove(0);
        let change = release(&dispatcher, &done, AttemptResult::Good, now);
        for (ticket, grant) in change.granted {
            served.push(ticket);
            held.push(grant);
        }
    }
    let place = match back {
        PoolAnswer::Waiting(back) => served.iter().position(|ticket| *ticket == back),
        _ => None,
    };
    (place, dispatcher.queue_totals())
}

/// Guards against callers who return when they were told to and meet a queue of newcomers.
#[test]
fn return_at_its_time_goes_before_newcomers() {
    let (place, totals) = play_return(100);
    assert_eq!(place, Some(0));
    assert_eq!((totals.given, totals.kept, totals.early), (1, 1, 0));
}

/// Guards against callers who gain by returning before their time.
#[test]
fn early_return_gains_nothing() {
    let (place, totals) = play_return(30);
    assert_eq!(place, None);
    assert_eq!(totals.kept, 0);
}

/// Guards against return times beyond what the pool completes, and against one team that gets them all.
#[test]
fn schedule_promises_nine_tenths_of_the_completions() {
    let mut schedule = ReturnSchedule::new();
    let mut given = Vec::new();
    for number in 0..10_000 {
        let kind = kind(&format!("team-{}", number % 1000));
        given.extend(schedule.give(&kind, at(3000), terms(), at(0)));
    }
    // 0.9 of 40 completions per second, until the end of the slot that begins after 4 s.
    assert!((140..=145).contains(&given.len()), "{}", given.len());
    assert!(given.iter().all(|time| *time <= Duration::from_secs(4)));
    for end in (200..4000).step_by(50) {
        let by_then = given.iter().filter(|time| time.as_millis() < end);
        assert!(by_then.count() as u128 <= end * 36 / 1000, "{end} ms");
    }
    schedule.expire(at(4500));
    assert_eq!(schedule.ticket_count(), 0);
    let crowd = (0..1000).filter(|_| {
        schedule
            .give(&kind("crowd"), at(9000), terms(), at(4500))
            .is_some()
    });
    assert!(crowd.count() <= 72);
    assert!(
        schedule
            .give(&kind("weaver"), at(9000), terms(), at(4500))
            .is_some()
    );
}

/// Guards against newcomers of the same team that take the tickets of returns, and against tickets that nobody takes
/// where callers state their whole time again when they return.
#[test]
fn newcomers_take_no_tickets_while_returns_have_their_deadline() {
    let (mut schedule, kind) = (ReturnSchedule::new(), kind("a"));
    let mut play = |start: u64, later: u64| {
        let given = schedule.give(&kind, at(start + 3000), terms(), at(start));
        let now = at(start).after(given.expect("a return time"));
        let newcomer = schedule.take(&kind, now.after(Duration::from_millis(3000)), now);
        let returned = schedule.take(&kind, at(start + 3000 + later), now);
        (newcomer, returned)
    };
    for number in 0..20 {
        assert_eq!(play(number * 1000, 80), (false, true));
    }
    // Returns that state their whole time cannot be told from newcomers.
    let lapsed = (20..60).filter(|number| play(number * 1000, 300) == (false, false));
    assert_eq!(lapsed.count(), 16);
    assert!(play(60_000, 300).0);
}

/// Guards against return times that are of no use: beyond a third of the time left, or for completions that the queue
/// needs.
#[test]
fn no_time_is_stated_where_a_return_has_no_use() {
    let mut schedule = ReturnSchedule::new();
    let short = ReturnTerms {
        latest: Duration::from_millis(120),
        ..terms()
    };
    assert_eq!(schedule.give(&kind("a"), at(9000), short, at(0)), None);
    let busy = ReturnTerms {
        queue_time: Duration::from_secs(5),
        ..terms()
    };
    assert_eq!(schedule.give(&kind("a"), at(9000), busy, at(0)), None);
}

/// Guards against a retry that waits beyond the objective of its request.
#[test]
fn wait_of_a_retry_ends_with_the_part_of_the_objective() {
    let millis = Duration::from_millis;
    assert_eq!(
        wait_after(millis(600), millis(1000), millis(250)),
        millis(350)
    );
    assert_eq!(
        wait_after(millis(600), millis(1000), millis(700)),
        Duration::ZERO
    );
    assert_eq!(
        wait_after(millis(600), Duration::ZERO, millis(700)),
        millis(600)
    );
}

/// Guards against retries that wait for a slot and do not count against the retry budget.
#[test]
fn retry_that_waits_counts_against_the_budget() {
    let terms = retry_terms(CapacityRatio::from_mille(200), 56, 3);
    let dispatcher = ZoneDispatcher::new(0).with_retry_terms(terms);
    let directory = directory_of(1);
    for _ in 0..2 {
        grant(&dispatcher, &directory, &request_of("held", 0), at(0));
    }
    let retry = AdmitRequest {
        is_repeat: true,
        left_millis: 60_000,
        ..request_of("a", 60_000)
    };
    let answers: Vec<_> = (0..20)
        .map(|_| admit(&dispatcher, &directory, &retry, at(1)))
        .collect();
    let waiting = answers
        .iter()
        .filter(|answer| matches!(answer, PoolAnswer::Waiting(_)));
    // The free retries of one of three zones.
    assert_eq!(waiting.count(), 13);
    assert_eq!(answers.last(), Some(&PoolAnswer::NoBudget));
}
