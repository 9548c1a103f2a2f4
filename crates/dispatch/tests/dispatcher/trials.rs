//! Targets that get no work are tried while others fail.

use crate::common::*;
use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;

/// Guards against sound targets without work while others fail: replays four seconds of requests that may run
/// twice and others, and looks at every span of two seconds.
#[test]
fn every_sound_target_is_tried_within_two_seconds() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(8));
    let mut sent: Vec<(u64, TargetId)> = Vec::new();
    let mut open: Vec<(u64, DispatchGrant)> = Vec::new();
    for millis in (0..6000).step_by(50) {
        let (done, rest): (Vec<_>, Vec<_>) = open.into_iter().partition(|(end, _)| *end <= millis);
        open = rest;
        for (end, grant) in done {
            release(&dispatcher, &grant, AttemptResult::Good, at(end));
        }
        let asked = AdmitRequest {
            is_idempotent: millis % 200 == 0,
            connected: vec![target(0), target(1)],
            ..request(&millis.to_string())
        };
        let grant = grant(&dispatcher, &directory, &asked, at(millis));
        sent.push((millis, grant.target.clone()));
        open.push((millis + 200, grant));
    }
    for from in (0..4000).step_by(50) {
        let span = sent
            .iter()
            .filter(|(at, _)| (from..from + 2000).contains(at));
        let tried: indexmap::IndexSet<_> = span.map(|(_, target)| target).collect();
        assert!(
            tried.len() * 10 >= 8 * 7,
            "{} of 8 after {from} ms",
            tried.len()
        );
    }
}

/// Guards against sound targets without work at a service whose requests must not run twice: no request tried
/// them, because fresh evidence went first. A reset of all connections fails a tenth of the requests at once,
/// and the platform looks at the two seconds before. Replays thirty requests a second in a pool of fourteen, of
/// which three turn gray after two seconds, and looks at every span of two seconds.
#[test]
fn targets_are_tried_without_requests_that_may_run_twice() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(14));
    let mut sent: Vec<(u64, TargetId)> = Vec::new();
    let mut open: Vec<(u64, DispatchGrant, AttemptResult)> = Vec::new();
    for millis in (0..9000).step_by(33) {
        let (done, rest): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|(end, _, _)| *end <= millis);
        open = rest;
        for (end, grant, result) in done {
            release(&dispatcher, &grant, result, at(end));
        }
        let grant = grant(
            &dispatcher,
            &directory,
            &request(&millis.to_string()),
            at(millis),
        );
        let gray = (0..3).map(target).any(|gray| gray == grant.target);
        // The others fail one request in ten.
        let result = match millis > 2000 && (gray || (millis / 33) % 10 == 0) {
            true => AttemptResult::Failed,
            false => AttemptResult::Good,
        };
        sent.push((millis, grant.target.clone()));
        open.push((millis + 230, grant, result));
    }
    for from in (0..7000).step_by(33) {
        let span = sent
            .iter()
            .filter(|(at, _)| (from..from + 2000).contains(at));
        let tried: indexmap::IndexSet<_> = span.map(|(_, target)| target).collect();
        assert!(
            tried.len() * 10 >= 14 * 7,
            "{} of 14 after {from} ms",
            tried.len()
        );
    }
}

/// Guards against a target that failed once and gets no further request, because all others are trusted.
#[test]
fn doubtful_target_is_tried_with_requests_that_may_run_twice() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(2));
    let first = grant(&dispatcher, &directory, &request("1"), at(0));
    let second = grant(&dispatcher, &directory, &request("2"), at(0));
    release(&dispatcher, &first, AttemptResult::Broken, at(10));
    release(&dispatcher, &second, AttemptResult::Good, at(10));
    let picky = |id: &str| AdmitRequest {
        trust: TargetTrust::Unknown,
        ..idempotent(id)
    };
    assert_eq!(
        grant(&dispatcher, &directory, &picky("3"), at(1000)).target,
        second.target
    );
    assert_eq!(
        grant(&dispatcher, &directory, &picky("4"), at(1700)).target,
        first.target
    );
}
