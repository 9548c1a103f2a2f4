//! Targets that state how many requests per second they take.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;

use crate::common::*;

/// Time that a request takes at a target, in milliseconds.
const WORK_MILLIS: u64 = 150;

/// Time from the first answer with a limit until it binds, in milliseconds.
const BINDS_AFTER_MILLIS: u64 = 3000;

/// Length of the window in which requests are counted, in milliseconds.
const WINDOW_MILLIS: u64 = 4000;

/// Share of a dispatcher that less than half of the hosts of its zone follow.
const MINORITY: FleetShare = FleetShare {
    zone_fraction: CapacityRatio::from_mille(500),
    ..WHOLE
};

/// Plays `seconds` of a request each 20 ms against dispatchers in turn, with all answers of the first `limited` targets
/// stating `rate`. Returns the times of the requests to each of these targets, in milliseconds.
fn play(
    dispatchers: &[(&ZoneDispatcher, FleetShare)],
    directory: &TargetDirectory,
    (limited, rate): (usize, f64),
    seconds: u64,
) -> Vec<Vec<u64>> {
    let rate = RequestRate::from_micros((rate * 1e6) as u64);
    let mut sent = vec![Vec::new(); limited];
    let mut running: Vec<(u64, usize, DispatchGrant)> = Vec::new();
    for (turn, millis) in (0..seconds * 1000).step_by(20).enumerate() {
        let (ended, open) = running.into_iter().partition(|(end, ..)| *end <= millis);
        running = open;
        let ended: Vec<(u64, usize, DispatchGrant)> = ended;
        for (_, dispatcher, grant) in ended {
            let number = (0..limited).find(|number| target(*number) == grant.target);
            let signals = TargetSignals {
                rate_limit: number.map(|_| rate),
                ..TargetSignals::default()
            };
            let notice = ReleaseNotice {
                signals: Some(signals),
                ..notice(&grant, AttemptResult::Good)
            };
            dispatchers[dispatcher].0.release(&notice, at(millis));
        }
        let request = match turn % 4 {
            0 => idempotent("1"),
            _ => request("1"),
        };
        let number = turn % dispatchers.len();
        let (dispatcher, share) = dispatchers[number];
        let answer = dispatcher.admit(&request, &config(), directory, share, at(millis));
        if let PoolAnswer::Granted(grant) = answer {
            if let Some(limited) = (0..limited).find(|limited| target(*limited) == grant.target) {
                sent[limited].push(millis);
            }
            running.push((millis + WORK_MILLIS, number, grant));
        }
    }
    sent
}

/// Returns the most requests in a window, from the time at which the limit binds.
fn most_in_window(sent: &[u64]) -> usize {
    let bound = sent.iter().filter(|millis| **millis >= BINDS_AFTER_MILLIS);
    let bound: Vec<u64> = bound.copied().collect();
    let count_from = |start: &u64| {
        let within = |millis: &&u64| (*start..start + WINDOW_MILLIS).contains(*millis);
        bound.iter().filter(within).count()
    };
    bound.iter().map(count_from).max().unwrap_or(0)
}

/// Returns the most requests that the platform allows in a window.
fn allowed(rate: f64) -> usize {
    (rate * 1.5 * 4.0 + 5.0) as usize
}

/// Guards against more requests than a target in need takes, while the pool runs at capacity.
#[test]
fn limited_target_gets_no_more_than_it_states() {
    for rate in [0.3, 1.0, 2.7, 4.7] {
        let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(3));
        let sent = play(&[(&dispatcher, WHOLE)], &directory, (2, rate), 16);
        for sent in sent {
            let most = most_in_window(&sent);
            assert!(
                most as f64 <= rate * 4.0 + 2.0,
                "{most} requests at a limit of {rate}/s"
            );
            // The target is not left out either.
            let least = (rate * 12.0 * 0.8) as usize;
            assert!(
                sent.len() >= least,
                "{} requests at a limit of {rate}/s",
                sent.len()
            );
        }
    }
}

/// Guards against two dispatchers that do not know of each other and each use the whole rate.
#[test]
fn two_dispatchers_together_keep_within_the_bound() {
    for rate in [0.3, 1.0, 2.7, 4.7, 20.0] {
        let (first, second) = (ZoneDispatcher::new(0), ZoneDispatcher::new(1 << 40));
        let directory = directory_of(3);
        let sent = play(
            &[(&first, WHOLE), (&second, MINORITY)],
            &directory,
            (2, rate),
            16,
        );
        for sent in sent {
            let most = most_in_window(&sent);
            assert!(
                most <= allowed(rate),
                "{most} requests at a limit of {rate}/s"
            );
        }
    }
}

/// Guards against a dispatcher that decides for its own host alone and adds to what another one sends.
#[test]
fn dispatcher_without_followers_sends_nothing_to_limited_targets() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    play(&[(&dispatcher, WHOLE)], &directory, (1, 4.0), 1);
    let alone = FleetShare {
        is_followed: false,
        ..WHOLE
    };
    let answer = dispatcher.admit(&request("2"), &config(), &directory, alone, at(5000));
    assert!(matches!(answer, PoolAnswer::Busy { .. }), "{answer:?}");
}

/// Guards against a limit that outlasts the statement, and against one that ends by an answer to a request from before
/// it was known.
#[test]
fn limit_ends_when_the_answers_no_longer_state_it() {
    let mut limiter = TargetLimiter::new();
    let rate = RequestRate::from_whole(2);
    let whole = CapacityRatio::from_mille(1000);
    assert!(limiter.on_answer(Some(rate), at(0), at(150)));
    assert!(!limiter.on_answer(None, at(100), at(200)));
    assert_eq!(limiter.state(), LimitState::Limited(rate));
    assert!(!limiter.may_send(whole, at(200)));
    assert!(limiter.may_send(whole, at(1000)));
    assert!(limiter.on_answer(None, at(1000), at(1150)));
    assert_eq!(limiter.state(), LimitState::Unlimited);
    assert!(limiter.may_send(whole, at(1150)));
}

/// Guards against a target that is never tried again, as only its answers tell that a limit has ended.
#[test]
fn target_that_takes_nothing_is_tried_again() {
    let mut limiter = TargetLimiter::new();
    limiter.on_answer(Some(RequestRate::ZERO), at(0), at(0));
    let whole = CapacityRatio::from_mille(1000);
    assert!(!limiter.may_send(whole, at(1000)));
    assert!(limiter.may_send(whole, at(6000)));
}

/// Guards against requests that wait for targets whose stated rates cannot serve them in time.
#[test]
fn request_that_a_limited_pool_cannot_serve_is_refused_at_once() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    play(&[(&dispatcher, WHOLE)], &directory, (1, 0.5), 4);
    let request = AdmitRequest {
        wait_millis: 600,
        ..request("2")
    };
    match admit(&dispatcher, &directory, &request, at(4010)) {
        PoolAnswer::Busy { expected_wait, .. } => {
            assert!(expected_wait > Duration::from_millis(600));
        }
        answer => panic!("{answer:?}"),
    }
}
