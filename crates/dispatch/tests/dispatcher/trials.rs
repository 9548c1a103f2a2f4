//! Trials of targets without recent requests while others fail.

use crate::common::*;
use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;

/// Guards against healthy targets that get no requests while others fail: sends six seconds of idempotent and
/// non-idempotent requests and checks every span of two seconds.
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
        let request = AdmitRequest {
            is_idempotent: millis % 200 == 0,
            connected: vec![target(0), target(1)],
            ..request(&millis.to_string())
        };
        let grant = grant(&dispatcher, &directory, &request, at(millis));
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
            "{} of 8 targets tried within two seconds from {from} ms",
            tried.len()
        );
    }
}

/// Guards against healthy targets that get no requests at a service with non-idempotent requests only: targets with
/// fresh evidence were always preferred. A reset of all connections fails a tenth of the requests at once, and the
/// platform then checks the two seconds before. Sends thirty requests per second to a pool of fourteen targets, of
/// which three start to fail after two seconds, and checks every span of two seconds.
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
        let is_failing = (0..3).map(target).any(|failing| failing == grant.target);
        // All other targets fail one request in ten.
        let result = match millis > 2000 && (is_failing || (millis / 33) % 10 == 0) {
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
            "{} of 14 targets tried within two seconds from {from} ms",
            tried.len()
        );
    }
}

/// Sends a request each `step` milliseconds, none of which may run twice, to a pool of fourteen targets, of which the first
/// `failing` fail `tenths` of their requests after two seconds. Returns the smallest number of the other targets that got
/// a request in any two seconds of which more than a tenth of the requests failed.
fn least_healthy_tried(failing: usize, tenths: u64, step: u64) -> usize {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(14));
    let mut sent: Vec<(u64, TargetId, bool)> = Vec::new();
    let mut open: Vec<(u64, DispatchGrant, AttemptResult)> = Vec::new();
    for (turn, millis) in (0..).zip((0..14_000).step_by(step as usize)) {
        let (done, rest): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|(end, _, _)| *end <= millis);
        open = rest;
        for (end, grant, result) in done {
            release(&dispatcher, &grant, result, at(end));
        }
        let request = request(&millis.to_string());
        let PoolAnswer::Granted(grant) = admit(&dispatcher, &directory, &request, at(millis))
        else {
            continue;
        };
        let is_failing = (0..failing).map(target).any(|id| id == grant.target);
        let result = match millis > 2000 && is_failing && turn % 10 < tenths {
            true => AttemptResult::Failed,
            false => AttemptResult::Good,
        };
        let is_failed = result == AttemptResult::Failed;
        sent.push((millis, grant.target.clone(), is_failed));
        open.push((millis + 230, grant, result));
    }
    let tried_from = |from: u64| {
        let span = sent
            .iter()
            .filter(|(at, _, _)| (from..from + 2000).contains(at));
        let failed = span.clone().filter(|(_, _, is_failed)| *is_failed).count();
        if failed * 10 <= span.clone().count() {
            return None;
        }
        let tried: indexmap::IndexSet<_> = span.map(|(_, target, _)| target).collect();
        let healthy = (failing..14).map(target);
        Some(healthy.filter(|id| tried.contains(id)).count())
    };
    let spans = (4000..12_000).step_by(50).filter_map(tried_from);
    spans.min().unwrap_or(14 - failing)
}

/// Guards against healthy targets that get no requests while most others fail: a fifth of all targets may be idle, and
/// all of these may be among the few healthy ones.
#[test]
fn most_healthy_targets_are_tried_while_the_others_fail() {
    for failing in [8, 9, 10, 11] {
        for tenths in [2, 3, 5] {
            for step in [33, 50] {
                let (tried, healthy) = (least_healthy_tried(failing, tenths, step), 14 - failing);
                assert!(
                    tried * 10 >= healthy * 7,
                    "{tried} of {healthy} healthy targets tried in two seconds while {failing} fail {tenths} \
                     requests in ten, one each {step} ms"
                );
            }
        }
    }
}

/// Guards against a target that gets no request after one failure, because all others are trusted.
#[test]
fn doubtful_target_is_tried_with_idempotent_requests() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(2));
    let first = grant(&dispatcher, &directory, &request("1"), at(0));
    let second = grant(&dispatcher, &directory, &request("2"), at(0));
    release(&dispatcher, &first, AttemptResult::Broken, at(10));
    release(&dispatcher, &second, AttemptResult::Good, at(10));
    let trusted_only = |id: &str| AdmitRequest {
        least_trust: TargetTrust::Unknown,
        ..idempotent(id)
    };
    assert_eq!(
        grant(&dispatcher, &directory, &trusted_only("3"), at(1000)).target,
        second.target
    );
    assert_eq!(
        grant(&dispatcher, &directory, &trusted_only("4"), at(1700)).target,
        first.target
    );
}

/// Guards against a healthy target without requests until the deadlines of those that it left without an answer while it
/// failed: they held its slots, and the target was blocked anew when each of them ended.
#[test]
fn hung_requests_keep_no_target_out_of_use() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(2));
    let mut sent: Vec<(u64, TargetId)> = Vec::new();
    let mut open: Vec<(u64, DispatchGrant, AttemptResult)> = Vec::new();
    for millis in (0..12_000).step_by(370) {
        let (done, rest): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|(end, _, _)| *end <= millis);
        open = rest;
        for (end, grant, result) in done {
            release(&dispatcher, &grant, result, at(end));
        }
        let request = AdmitRequest {
            left_millis: 6000,
            ..request(&millis.to_string())
        };
        let grant = grant(&dispatcher, &directory, &request, at(millis));
        // One of the two targets answers nothing for a second and a half.
        let is_hung = (1000..2500).contains(&millis) && grant.target == target(0);
        // The other one fails a fifth of its requests.
        let is_failed = grant.target == target(1) && (millis / 370) % 5 == 0;
        let (end, result) = match (is_hung, is_failed) {
            (true, _) => (millis + 5350, AttemptResult::Hung),
            (false, true) => (millis + 230, AttemptResult::Failed),
            (false, false) => (millis + 230, AttemptResult::Good),
        };
        sent.push((millis, grant.target.clone()));
        open.push((end, grant, result));
    }
    for from in (4500..10_000).step_by(50) {
        let mut span = sent
            .iter()
            .filter(|(at, _)| (from..from + 2000).contains(at));
        let is_tried = span.any(|(_, id)| *id == target(0));
        assert!(is_tried, "no request in two seconds from {from} ms");
    }
}
