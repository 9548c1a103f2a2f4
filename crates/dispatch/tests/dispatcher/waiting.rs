//! Who waits, who is refused, and who is served first.

use crate::common::*;
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;

fn patient(id: &str, team: &str, priority: u8) -> AdmitRequest {
    AdmitRequest {
        team: Some(TeamId::new(team).unwrap()),
        priority,
        wait_millis: 1500,
        ..request(id)
    }
}

fn fill(
    dispatcher: &ZoneDispatcher,
    directory: &TargetDirectory,
    team: &str,
) -> Vec<DispatchGrant> {
    let ask = |number: usize| patient(&number.to_string(), team, 1);
    (0..2)
        .map(|number| grant(dispatcher, directory, &ask(number), at(0)))
        .collect()
}

fn ticket(answer: PoolAnswer) -> TicketNumber {
    match answer {
        PoolAnswer::Waiting(ticket) => ticket,
        other => panic!("does not wait: {other:?}"),
    }
}

/// Guards against a request that waits until its deadline passes though it could be known from the start
/// that no slot becomes free in time: replays a flash of 100 requests at 2 slots.
#[test]
fn request_that_cannot_be_served_within_its_wait_is_refused_at_once() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    fill(&dispatcher, &directory, "crowd");
    let mut waiting = 0;
    for number in 0..100 {
        let asked = patient(&format!("w{number}"), "crowd", 1);
        match admit(&dispatcher, &directory, &asked, at(1)) {
            PoolAnswer::Waiting(_) => waiting += 1,
            PoolAnswer::Busy { drain, .. } => assert!(drain > asked.wait()),
            other => panic!("{other:?}"),
        }
    }
    // 1.5 s at 2 slots of 250 ms serve 12 requests.
    assert_eq!(waiting, 12);
}

/// Guards against a team that sends many times its usual taking all slots: replays ten requests of one
/// team before a single one of another.
#[test]
fn team_with_fewer_requests_under_way_goes_first() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    let held = fill(&dispatcher, &directory, "crowd");
    for number in 0..5 {
        let asked = patient(&format!("w{number}"), "crowd", 1);
        ticket(admit(&dispatcher, &directory, &asked, at(1)));
    }
    let small = ticket(admit(
        &dispatcher,
        &directory,
        &patient("small", "weaver", 1),
        at(2),
    ));
    let change = release(&dispatcher, &held[0], AttemptResult::Good, at(100));
    assert_eq!(change.granted.len(), 1);
    assert_eq!(change.granted[0].0, small);
}

/// Guards against urgent requests that wait behind less urgent ones.
#[test]
fn higher_rank_goes_first() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    let held = fill(&dispatcher, &directory, "crowd");
    ticket(admit(
        &dispatcher,
        &directory,
        &patient("low", "a", 2),
        at(1),
    ));
    let high = ticket(admit(
        &dispatcher,
        &directory,
        &patient("high", "b", 0),
        at(2),
    ));
    let change = release(&dispatcher, &held[0], AttemptResult::Good, at(100));
    assert_eq!(change.granted[0].0, high);
}

/// Guards against a wait that ends without an answer.
#[test]
fn wait_that_is_over_is_told() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    fill(&dispatcher, &directory, "crowd");
    let waiting = ticket(admit(&dispatcher, &directory, &patient("1", "a", 1), at(1)));
    assert!(dispatcher.serve_queues(at(1400)).expired.is_empty());
    let change = dispatcher.serve_queues(at(1501));
    assert_eq!(change.expired[0].0, waiting);
}

/// Guards against granting a slot to a caller that has left.
#[test]
fn request_that_left_the_queue_gets_nothing() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    let held = fill(&dispatcher, &directory, "crowd");
    let waiting = ticket(admit(&dispatcher, &directory, &patient("1", "a", 1), at(1)));
    dispatcher.cancel(&service(), Some(&zone()), waiting);
    let change = release(&dispatcher, &held[0], AttemptResult::Good, at(100));
    assert!(change.granted.is_empty());
}

/// Guards against repeats that double the load of a service that fails as a whole.
#[test]
fn repeats_stop_at_the_budget() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(10));
    let send = |asked: &AdmitRequest, now| {
        let answer = admit(&dispatcher, &directory, asked, now);
        if let PoolAnswer::Granted(grant) = &answer {
            release(&dispatcher, grant, AttemptResult::Good, now);
        }
        answer
    };
    for number in 0..210 {
        let answer = send(&request(&number.to_string()), at(number));
        assert!(matches!(answer, PoolAnswer::Granted(_)));
    }
    let repeat = AdmitRequest {
        is_repeat: true,
        ..request("1")
    };
    let answers: Vec<_> = (0..200).map(|_| send(&repeat, at(300))).collect();
    let granted = answers
        .iter()
        .filter(|answer| matches!(answer, PoolAnswer::Granted(_)));
    // A seventh of 210 requests and 13 that are free.
    assert_eq!(granted.count(), 43);
    assert_eq!(answers.last(), Some(&PoolAnswer::NoBudget));
}

/// Guards against sending work to a doubtful target though another zone has a trusted one.
#[test]
fn picky_request_is_told_of_lesser_targets() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    let first = grant(&dispatcher, &directory, &request("1"), at(0));
    release(&dispatcher, &first, AttemptResult::Broken, at(10));
    let picky = AdmitRequest {
        trust: TargetTrust::Unknown,
        ..request("2")
    };
    let answer = admit(&dispatcher, &directory, &picky, at(20));
    assert!(matches!(
        answer,
        PoolAnswer::Busy {
            has_lesser: true,
            ..
        }
    ));
    grant(&dispatcher, &directory, &request("3"), at(30));
}

/// Guards against requests that wait for slots of targets that are blocked: one of two targets hangs, and half
/// as many requests can be served within the wait.
#[test]
fn slots_of_blocked_targets_are_not_waited_for() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(2));
    let held: Vec<_> = (0..4)
        .map(|number| {
            grant(
                &dispatcher,
                &directory,
                &request(&number.to_string()),
                at(0),
            )
        })
        .collect();
    let gray: Vec<_> = held
        .iter()
        .filter(|grant| grant.target == target(0))
        .collect();
    for grant in gray {
        release(&dispatcher, grant, AttemptResult::Hung, at(10));
    }
    let waiting = (0..100).filter(|number| {
        let asked = patient(&format!("w{number}"), "crowd", 1);
        let answer = admit(&dispatcher, &directory, &asked, at(20));
        matches!(answer, PoolAnswer::Waiting(_))
    });
    assert_eq!(waiting.count(), 12);
}

/// Guards against waits that are reckoned by slots though requests hang and hold them: replays two seconds in
/// which ten requests end each second at four slots.
#[test]
fn expected_wait_follows_the_requests_that_end() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(2));
    let mut held: Vec<_> = (0..4)
        .map(|number| {
            grant(
                &dispatcher,
                &directory,
                &request(&number.to_string()),
                at(0),
            )
        })
        .collect();
    for step in 1..=20 {
        let done = held.remove(0);
        release(&dispatcher, &done, AttemptResult::Good, at(100 * step));
        held.push(grant(
            &dispatcher,
            &directory,
            &request(&step.to_string()),
            at(100 * step),
        ));
    }
    let waiting = (0..100).filter(|number| {
        let asked = patient(&format!("w{number}"), "crowd", 1);
        let answer = admit(&dispatcher, &directory, &asked, at(2010));
        matches!(answer, PoolAnswer::Waiting(_))
    });
    // Ten a second for 1.5 s; four slots of 250 ms would serve 24.
    assert_eq!(waiting.count(), 15);
}
