//! Target selection.

use std::time::Duration;

use crate::common::*;
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;

/// Guards against more requests in flight at a target than it has slots.
#[test]
fn no_target_gets_more_requests_than_slots() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(3));
    let mut counts = indexmap::IndexMap::new();
    for number in 0..6 {
        let grant = grant(
            &dispatcher,
            &directory,
            &request(&number.to_string()),
            at(0),
        );
        *counts.entry(grant.target).or_insert(0) += 1;
    }
    assert!(counts.values().all(|&count| count == 2));
    let answer = admit(&dispatcher, &directory, &request("7"), at(0));
    assert!(matches!(answer, PoolAnswer::Busy { .. }));
}

/// Guards against slots that stay occupied forever after the host that held a permit was killed.
#[test]
fn permit_of_a_dead_host_expires_with_its_request() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    for number in 0..2 {
        grant(
            &dispatcher,
            &directory,
            &request(&number.to_string()),
            at(0),
        );
    }
    assert!(matches!(
        admit(&dispatcher, &directory, &request("3"), at(3000)),
        PoolAnswer::Busy { .. }
    ));
    grant(&dispatcher, &directory, &request("4"), at(3400));
}

/// Guards against losing non-idempotent requests to a target with a gray failure: one target of four hangs, and the
/// test counts the requests that it receives.
#[test]
fn non_idempotent_requests_avoid_a_hung_target() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(4));
    let hung = target(0);
    let mut lost = 0;
    // One request each 100 ms; a good answer takes 250 ms, and the hung target never answers.
    let mut open: Vec<(MonoTime, DispatchGrant)> = Vec::new();
    for tick in 0..60 {
        let now = at(100 * tick);
        let (done, rest): (Vec<_>, Vec<_>) = open.into_iter().partition(|(end, _)| *end <= now);
        open = rest;
        for (_, grant) in done {
            release(&dispatcher, &grant, AttemptResult::Good, now);
        }
        let grant = grant(&dispatcher, &directory, &request(&tick.to_string()), now);
        match grant.target == hung {
            true => lost += 1,
            false => open.push((now.after(Duration::from_millis(250)), grant)),
        }
    }
    assert!(lost <= 2, "{lost} requests went to the hung target");
}

/// Guards against trying targets without a recent answer with non-idempotent requests.
#[test]
fn proven_targets_go_first_and_idempotent_requests_try_the_others() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(2));
    let first = grant(&dispatcher, &directory, &idempotent("1"), at(0));
    release(&dispatcher, &first, AttemptResult::Good, at(200));
    let second = grant(&dispatcher, &directory, &request("2"), at(300));
    assert_eq!(second.target, first.target);
    let trial = grant(&dispatcher, &directory, &idempotent("3"), at(310));
    assert_ne!(trial.target, first.target);
}

/// Guards against a new connection for each request: targets limit their connections, and the platform charges for
/// new ones.
#[test]
fn connected_target_is_preferred_among_equals() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(5));
    let send = |number: u64| {
        grant(
            &dispatcher,
            &directory,
            &request(&number.to_string()),
            at(0),
        )
    };
    let grants: Vec<_> = (0..5).map(send).collect();
    for grant in &grants {
        release(&dispatcher, grant, AttemptResult::Good, at(100));
    }
    let request = AdmitRequest {
        connected: vec![target(3)],
        ..request("6")
    };
    assert_eq!(
        grant(&dispatcher, &directory, &request, at(300)).target,
        target(3)
    );
}

/// Guards against sending the same request to a target twice.
#[test]
fn retry_goes_to_another_target() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(2));
    let first = grant(&dispatcher, &directory, &idempotent("1"), at(0));
    let retry = AdmitRequest {
        is_repeat: true,
        tried: vec![first.target.clone()],
        ..idempotent("1")
    };
    assert_ne!(
        grant(&dispatcher, &directory, &retry, at(10)).target,
        first.target
    );
    let retry = AdmitRequest {
        tried: vec![target(0), target(1)],
        ..retry
    };
    let answer = admit(&dispatcher, &directory, &retry, at(20));
    assert!(matches!(answer, PoolAnswer::Busy { .. }));
}

/// Guards against an outage of a service whose targets all fail part of their requests: all of them would be
/// blocked, and none would get requests.
#[test]
fn blocked_targets_get_work_when_most_are_blocked() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(4));
    for number in 0..80 {
        let now = at(100 * number);
        let grant = grant(&dispatcher, &directory, &request(&number.to_string()), now);
        let result = match number % 2 {
            0 => AttemptResult::Hung,
            _ => AttemptResult::Good,
        };
        release(&dispatcher, &grant, result, now);
    }
}

/// Guards against overloading a cold target, which crashes it: two dispatchers that have not discovered each other
/// send as often as they may, and no span of a second exceeds the platform's limit for the target.
#[test]
fn cold_target_is_paced_also_by_two_dispatchers() {
    let cold = TargetEntry {
        cold_left: Duration::from_secs(3),
        ..entry(0)
    };
    let directory = directory(vec![cold]);
    let dispatchers = [ZoneDispatcher::new(0), ZoneDispatcher::new(0)];
    let mut sent: Vec<u64> = Vec::new();
    for millis in (0..3000).step_by(10) {
        for dispatcher in &dispatchers {
            let request = request(&millis.to_string());
            if let PoolAnswer::Granted(grant) = admit(dispatcher, &directory, &request, at(millis))
            {
                release(dispatcher, &grant, AttemptResult::Good, at(millis));
                sent.push(millis);
            }
        }
    }
    let most = sent
        .iter()
        .map(|&from| {
            sent.iter()
                .filter(|&&at| (from..from + 1000).contains(&at))
                .count()
        })
        .max()
        .unwrap_or(0);
    // The platform allows a cold target its cold rate x 1.5 + 5 requests in a second.
    assert!(
        most as f64 <= COLD_RATE * 1.5 + 5.0,
        "{most} requests in a second"
    );
    assert!(sent.len() >= 6, "a cold target gets some work");
}

/// Returns the most requests that a cold target gets in one second from a dispatcher that sends as often as it may, with the
/// entries that the directory lists from some times on.
fn most_in_a_second(listed: &[(u64, TargetEntry)], until: u64) -> usize {
    let dispatcher = ZoneDispatcher::new(0);
    let mut sent: Vec<u64> = Vec::new();
    for millis in (0..until).step_by(10) {
        let present = listed.iter().rev().find(|(from, _)| *from <= millis);
        let directory = directory(
            present
                .into_iter()
                .map(|(_, entry)| entry.clone())
                .collect(),
        );
        let request = request(&millis.to_string());
        if let PoolAnswer::Granted(grant) = admit(&dispatcher, &directory, &request, at(millis)) {
            release(&dispatcher, &grant, AttemptResult::Good, at(millis));
            sent.push(millis);
        }
    }
    let in_second = |from: &u64| {
        sent.iter()
            .filter(|at| (*from..from + 1000).contains(*at))
            .count()
    };
    sent.iter().map(in_second).max().unwrap_or(0)
}

/// Guards against a cold target that gets the load of a warm one and crashes: it was cold again before its first cold time
/// was over, which it says with the same time left.
#[test]
fn target_that_is_cold_again_stays_paced() {
    let cold = |sequence| TargetEntry {
        cold_left: Duration::from_secs(3),
        sequence,
        ..entry(0)
    };
    let listed = [(0, cold(1)), (2000, cold(3))];
    let most = most_in_a_second(&listed, 5000);
    // The platform allows a cold target its cold rate x 1.5 + 5 requests in a second.
    assert!(
        most as f64 <= COLD_RATE * 1.5 + 5.0,
        "{most} requests in a second"
    );
    // Once its second cold time is over, it gets more.
    assert!(most_in_a_second(&listed, 7000) > 20);
}

/// Guards against a host without followers that sends to cold targets in addition to the dispatcher.
#[test]
fn host_without_followers_sends_nothing_to_cold_targets() {
    let cold = TargetEntry {
        cold_left: Duration::from_secs(3),
        ..entry(0)
    };
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory(vec![cold]));
    let unfollowed = FleetShare {
        is_followed: false,
        ..WHOLE
    };
    let answer = dispatcher.admit(&request("1"), &config(), &directory, unfollowed, at(0));
    assert!(matches!(answer, PoolAnswer::Busy { .. }));
}

/// Guards against a restarted target of the same name that inherits the trust in the earlier process.
#[test]
fn restarted_target_starts_cold_and_without_trust() {
    let dispatcher = ZoneDispatcher::new(0);
    let before = directory_of(1);
    let first = grant(&dispatcher, &before, &request("1"), at(0));
    release(&dispatcher, &first, AttemptResult::Good, at(100));
    let after = directory(vec![TargetEntry {
        born: 2,
        cold_left: Duration::from_secs(3),
        ..entry(0)
    }]);
    let second = grant(&dispatcher, &after, &request("2"), at(200));
    assert_eq!(second.trust, TargetTrust::Unknown);
    let third = admit(&dispatcher, &after, &request("3"), at(210));
    assert!(
        matches!(third, PoolAnswer::Busy { .. }),
        "a cold target gets one request at a time"
    );
}

/// Guards against blocking a target for all hosts because one host lost its network path to it.
#[test]
fn lost_path_of_one_host_blocks_no_target() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    let first = grant(&dispatcher, &directory, &request("1"), at(0));
    release(&dispatcher, &first, AttemptResult::Unreachable, at(150));
    let second = grant(&dispatcher, &directory, &request("2"), at(200));
    assert_eq!(second.trust, TargetTrust::Doubtful);
    release(&dispatcher, &second, AttemptResult::Unreachable, at(350));
    let third = admit(&dispatcher, &directory, &request("3"), at(400));
    assert!(
        matches!(third, PoolAnswer::Busy { .. }),
        "two failed connections block the target"
    );
}

/// Guards against blocking a target for all hosts by the reports of one: only those of two hosts within two seconds count,
/// and only if nothing has come through between them.
#[test]
fn failed_connections_count_by_host() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(1));
    let try_by = |host: &str, result, millis| {
        let grant = grant(&dispatcher, &directory, &request("1"), at(millis));
        let host = Some(HostId::new(host).unwrap());
        let notice = ReleaseNotice {
            host,
            ..notice(&grant, result)
        };
        dispatcher.release(&notice, at(millis + 150));
        grant.trust
    };
    for turn in 0..5 {
        let trust = try_by("edge-1", AttemptResult::Unreachable, turn * 400);
        assert_eq!(trust, TargetTrust::Unknown);
    }
    try_by("edge-2", AttemptResult::Good, 2000);
    try_by("edge-2", AttemptResult::Unreachable, 2400);
    let trust = try_by("edge-2", AttemptResult::Unreachable, 4800);
    assert_eq!(trust, TargetTrust::Proven);
    try_by("edge-1", AttemptResult::Unreachable, 5000);
    let trust = try_by("edge-2", AttemptResult::Unreachable, 5200);
    assert_eq!(trust, TargetTrust::Doubtful);
    let answer = admit(&dispatcher, &directory, &request("2"), at(5400));
    assert!(matches!(answer, PoolAnswer::Busy { .. }), "{answer:?}");
}

/// Guards against a host that keeps connecting to a target that it cannot reach.
#[test]
fn host_excludes_unreachable_targets() {
    let (targets, directory) = (ExcludedTargets::new(), directory_of(2));
    targets.on_unreachable(&target(1), at(0));
    assert_eq!(targets.excluded(&directory, at(2900)), [target(1)]);
    assert!(targets.excluded(&directory, at(3000)).is_empty());
}

/// Guards against targets that fail all requests within milliseconds and attract the load of the pool, because
/// only they have free slots: for a second the slots of the only good target are occupied.
#[test]
fn targets_that_fail_fast_get_few_requests() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(4));
    let (mut held, mut failed) = (0, 0);
    for millis in 0..1000 {
        let request = request(&millis.to_string());
        if let PoolAnswer::Granted(grant) = admit(&dispatcher, &directory, &request, at(millis)) {
            if grant.target == target(0) {
                held += 1;
            } else {
                failed += 1;
                release(&dispatcher, &grant, AttemptResult::Failed, at(millis));
            }
        }
    }
    assert_eq!(held, 2);
    // Each of three targets fails a few requests until it counts as failing, then about four per second.
    assert!(failed <= 3 * 9, "{failed} requests in a second");
}

/// Guards against losing non-idempotent requests to a target that answered well a second ago and has failed since,
/// although another one has just answered well.
#[test]
fn non_idempotent_requests_prefer_fresh_evidence_to_a_connection() {
    let (dispatcher, directory) = (ZoneDispatcher::new(0), directory_of(2));
    let first = grant(&dispatcher, &directory, &request("1"), at(900));
    let second = grant(&dispatcher, &directory, &request("2"), at(900));
    release(&dispatcher, &first, AttemptResult::Good, at(1000));
    release(&dispatcher, &second, AttemptResult::Good, at(1900));
    let connected = vec![first.target.clone()];
    let request = AdmitRequest {
        connected: connected.clone(),
        ..request("3")
    };
    assert_eq!(
        grant(&dispatcher, &directory, &request, at(2000)).target,
        second.target
    );
    let request = AdmitRequest {
        connected,
        ..idempotent("4")
    };
    assert_eq!(
        grant(&dispatcher, &directory, &request, at(2000)).target,
        first.target
    );
}

/// Guards against grants to other hosts for a target that said to one host that it leaves, and against a target that
/// stays excluded although it has started again under the same id.
#[test]
fn target_that_says_it_leaves_is_not_granted_to_any_host() {
    let (dispatcher, targets) = (ZoneDispatcher::new(0), ExcludedTargets::new());
    let directory = directory_of(1);
    let held = grant(&dispatcher, &directory, &request("1"), at(0));
    let notice = ReleaseNotice {
        signals: Some(TargetSignals {
            is_leaving: true,
            ..TargetSignals::default()
        }),
        ..notice(&held, AttemptResult::Good)
    };
    dispatcher.release(&notice, at(100));
    targets.on_leaving(&entry(0), at(100));
    let answer = admit(&dispatcher, &directory, &request("2"), at(200));
    assert!(matches!(answer, PoolAnswer::Busy { .. }), "{answer:?}");
    assert_eq!(targets.excluded(&directory, at(60_000)), [target(0)]);
    let restarted = TargetEntry {
        born: 2,
        ..entry(0)
    };
    assert!(!targets.is_excluded(&restarted, at(60_000)));
    let directory = self::directory(vec![restarted]);
    assert!(targets.excluded(&directory, at(60_000)).is_empty());
    grant(&dispatcher, &directory, &request("3"), at(60_000));
}
