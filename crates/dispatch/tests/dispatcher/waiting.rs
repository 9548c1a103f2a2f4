//! Queueing: which request waits, which one is refused, and which one is served first.

use crate::common::*;
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;

fn waiting_request(id: &str, team: &str, priority: u8) -> AdmitRequest {
    AdmitRequest {
        team: Some(TeamId::new(team).unwrap()),
        priority,
        wait_millis: 1500,
        ..request(id)
    }
}

fn fill_slots(
    dispatcher: &ZoneDispatcher,
    directory: &TargetDirectory,
    team: &str,
) -> Vec<DispatchGrant> {
    let request = |number: usize| waiting_request(&number.to_string(), team, 1);
    (0..2)
        .map(|number| grant(dispatcher, directory, &request(number), at(0)))
        .collect()
}

fn ticket(answer: PoolAnswer) -> TicketNumber {
    match answer {
        PoolAnswer::Waiting(ticket) => ticket,
        other => panic!("expected a waiting request, got {other:?}"),
    }
}

/// Guards against a request that waits in vain although it was predictable on arrival that no slot would become
/// free in time: sends a burst of 100 requests to 2 slots.
#[test]
fn request_that_cannot_be_served_within_its_wait_is_refused_at_once() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    fill_slots(&dispatcher, &directory, "crowd");
    let mut waiting = 0;
    for number in 0..100 {
        let request = waiting_request(&format!("w{number}"), "crowd", 1);
        match admit(&dispatcher, &directory, &request, at(1)) {
            PoolAnswer::Waiting(_) => waiting += 1,
            PoolAnswer::Busy { expected_wait, .. } => assert!(expected_wait > request.wait()),
            other => panic!("{other:?}"),
        }
    }
    // 2 slots with requests of 250 ms serve 12 requests in 1.5 s.
    assert_eq!(waiting, 12);
}

/// Guards against a team that takes all slots by sending many times its usual load: one team has two requests in
/// flight and five waiting when a single one of another team arrives.
#[test]
fn team_with_fewer_requests_in_flight_goes_first() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    let held = fill_slots(&dispatcher, &directory, "crowd");
    for number in 0..5 {
        let request = waiting_request(&format!("w{number}"), "crowd", 1);
        ticket(admit(&dispatcher, &directory, &request, at(1)));
    }
    let small = ticket(admit(
        &dispatcher,
        &directory,
        &waiting_request("small", "weaver", 1),
        at(2),
    ));
    let change = release(&dispatcher, &held[0], AttemptResult::Good, at(100));
    assert_eq!(change.granted.len(), 1);
    assert_eq!(change.granted[0].0, small);
}

/// Guards against requests that wait behind those of a lower priority.
#[test]
fn higher_priority_goes_first() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    let held = fill_slots(&dispatcher, &directory, "crowd");
    ticket(admit(
        &dispatcher,
        &directory,
        &waiting_request("low", "a", 2),
        at(1),
    ));
    let high = ticket(admit(
        &dispatcher,
        &directory,
        &waiting_request("high", "b", 0),
        at(2),
    ));
    let change = release(&dispatcher, &held[0], AttemptResult::Good, at(100));
    assert_eq!(change.granted[0].0, high);
}

/// Guards against a wait that expires without an answer.
#[test]
fn expired_wait_is_reported() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    fill_slots(&dispatcher, &directory, "crowd");
    let waiting = ticket(admit(
        &dispatcher,
        &directory,
        &waiting_request("1", "a", 1),
        at(1),
    ));
    assert!(
        dispatcher
            .serve_queues(&directory, at(1400))
            .expired
            .is_empty()
    );
    let change = dispatcher.serve_queues(&directory, at(1501));
    assert_eq!(change.expired[0].0, waiting);
}

/// Guards against granting a slot to a request whose caller has disconnected.
#[test]
fn cancelled_request_gets_no_slot() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    let held = fill_slots(&dispatcher, &directory, "crowd");
    let waiting = ticket(admit(
        &dispatcher,
        &directory,
        &waiting_request("1", "a", 1),
        at(1),
    ));
    dispatcher.cancel(&service(), Some(&zone()), waiting);
    let change = release(&dispatcher, &held[0], AttemptResult::Good, at(100));
    assert!(change.granted.is_empty());
}

/// Guards against retries that double the load of a service that fails as a whole.
#[test]
fn retries_stop_at_the_budget() {
    let terms = retry_terms(CapacityRatio::from_mille(200), 56, 3);
    let dispatcher = ZoneDispatcher::new(0).with_retry_terms(terms);
    let directory = directory_of(10);
    let send = |request: &AdmitRequest, now| {
        let answer = admit(&dispatcher, &directory, request, now);
        if let PoolAnswer::Granted(grant) = &answer {
            release(&dispatcher, grant, AttemptResult::Good, now);
        }
        answer
    };
    for number in 0..210 {
        let answer = send(&request(&number.to_string()), at(number));
        assert!(matches!(answer, PoolAnswer::Granted(_)));
    }
    let retry = AdmitRequest {
        is_repeat: true,
        ..request("1")
    };
    let answers: Vec<_> = (0..200).map(|_| send(&retry, at(300))).collect();
    let granted = answers
        .iter()
        .filter(|answer| matches!(answer, PoolAnswer::Granted(_)));
    // A seventh of 210 requests, and 13 free retries.
    assert_eq!(granted.count(), 43);
    assert_eq!(answers.last(), Some(&PoolAnswer::NoBudget));
}

/// Guards against sending a request to a doubtful target although another zone has a trusted one.
#[test]
fn busy_answer_reports_less_trusted_targets() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    let first = grant(&dispatcher, &directory, &request("1"), at(0));
    release(&dispatcher, &first, AttemptResult::Broken, at(10));
    let trusted_only = AdmitRequest {
        least_trust: TargetTrust::Unknown,
        ..request("2")
    };
    let answer = admit(&dispatcher, &directory, &trusted_only, at(20));
    assert!(matches!(
        answer,
        PoolAnswer::Busy {
            has_less_trusted: true,
            ..
        }
    ));
    grant(&dispatcher, &directory, &request("3"), at(30));
}

/// Guards against an expected wait that counts the slots of blocked targets: one of two targets hangs, so that half
/// as many requests can be served within the wait.
#[test]
fn expected_wait_ignores_slots_of_blocked_targets() {
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
    let hung: Vec<_> = held
        .iter()
        .filter(|grant| grant.target == target(0))
        .collect();
    for grant in hung {
        release(&dispatcher, grant, AttemptResult::Hung, at(10));
    }
    let waiting = (0..100).filter(|number| {
        let request = waiting_request(&format!("w{number}"), "crowd", 1);
        let answer = admit(&dispatcher, &directory, &request, at(20));
        matches!(answer, PoolAnswer::Waiting(_))
    });
    assert_eq!(waiting.count(), 12);
}

/// Guards against an expected wait by the number of slots only, although hung requests hold some of them: for two
/// seconds ten requests complete each second at four slots.
#[test]
fn expected_wait_follows_the_completion_rate() {
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
        let request = waiting_request(&format!("w{number}"), "crowd", 1);
        let answer = admit(&dispatcher, &directory, &request, at(2010));
        matches!(answer, PoolAnswer::Waiting(_))
    });
    // Ten completions per second for 1.5 s; four slots with requests of 250 ms would serve 24.
    assert_eq!(waiting.count(), 15);
}

/// Guards against a grant for a target that left while the request waited for a slot: the targets of a pool followed the
/// directory only when another request arrived.
#[test]
fn waiting_request_gets_no_target_that_left_meanwhile() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    let held = fill_slots(&dispatcher, &directory, "crowd");
    let request = waiting_request("w", "crowd", 1);
    let waiting = ticket(admit(&dispatcher, &directory, &request, at(100)));
    let without_target = directory_of(0);
    assert!(
        dispatcher
            .serve_queues(&without_target, at(200))
            .granted
            .is_empty()
    );
    let freed = release(&dispatcher, &held[0], AttemptResult::Good, at(300));
    assert!(freed.granted.is_empty(), "{freed:?}");
    let change = dispatcher.serve_queues(&without_target, at(1700));
    let expired: Vec<TicketNumber> = change.expired.iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(expired, [waiting]);
}
