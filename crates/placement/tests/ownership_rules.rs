//! Single rules of ownership, each with the smallest case that needs it.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

mod common;

use common::{
    host,
    key,
    listed,
    scope,
    table_of, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_placement::prelude::*;

/// Guards against two owners when a whole zone is cut off: its hosts are in contact with each
/// other, and a host of another zone that receives no heartbeats from them must not take their
/// targets.
#[test]
fn other_zone_takes_over_only_when_the_roster_lists_no_host() {
    let outsider = table_of(listed(host(2), "y"));
    let both = [listed(host(1), "z"), listed(host(2), "y")];
    outsider.on_roster(both.clone(), MonoTime::START);
    let later = MonoTime::from_millis(60_000);
    let refused = outsider.may_serve(&key("t"), &scope("z"), later);
    assert_eq!(refused, Err(OwnershipError::NoOwner));
    outsider.on_roster(both[1..].to_vec(), later);
    let early = MonoTime::from_millis(63_900);
    assert!(outsider.may_serve(&key("t"), &scope("z"), early).is_err());
    let after = MonoTime::from_millis(64_000);
    assert_eq!(outsider.may_serve(&key("t"), &scope("z"), after), Ok(()));
}

/// Guards against a handover that arrives after its sender has taken the key back, and against its
/// use by another host.
#[test]
fn late_or_foreign_handover_is_refused() {
    let table = table_of(listed(host(1), "z"));
    let handover = |successor, heartbeat_sent_at| OwnerHandover {
        key: key("t"),
        from: host(2),
        successor: host(successor),
        heartbeat_sent_at: MonoTime::from_millis(heartbeat_sent_at),
        is_renewal: false,
    };
    let now = MonoTime::from_millis(10_000);
    let late = table.on_handover(&handover(1, 8_400), now);
    assert_eq!(late, Err(OwnershipError::StaleHandover));
    let foreign = table.on_handover(&handover(3, 9_900), now);
    assert_eq!(
        foreign,
        Err(OwnershipError::WrongSuccessor { successor: host(3) })
    );
    assert_eq!(table.on_handover(&handover(1, 9_900), now), Ok(()));
}

/// Guards against a single host that never serves, and against one that serves although the
/// platform has removed it.
#[test]
fn single_host_serves_at_once_while_it_is_listed() {
    let table = table_of(listed(host(1), "z"));
    let serve = || table.may_serve(&key("t"), &scope("z"), MonoTime::from_millis(10));
    assert_eq!(serve(), Err(OwnershipError::NotListed));
    table.on_roster([listed(host(1), "z")], MonoTime::START);
    assert_eq!(serve(), Ok(()));
    table.on_resume(MonoTime::from_millis(5));
    assert_eq!(serve(), Err(OwnershipError::NoRoundSincePause));
}

/// Guards against a key that was handed over because of a faulty path and returns without a check
/// of the path.
#[test]
fn renewed_handover_keeps_the_key_with_the_successor() {
    let zone = ZoneId::new("z").unwrap();
    let table = table_of(listed(host(1), "z"));
    table.on_roster(
        [listed(host(1), "z"), listed(host(2), "z")],
        MonoTime::START,
    );
    let at = |millis| {
        let now = MonoTime::from_millis(millis);
        table.on_seen(&zone, &host(2), now);
        table.on_contact(now, now);
        now
    };
    for millis in [0, 1_000, 2_000, 3_000, 4_000] {
        at(millis);
    }
    let owned = (0..9).map(|n| key(&format!("t{n}")));
    let owned = owned
        .into_iter()
        .find(|key| table.may_serve(key, &scope("z"), at(5_000)).is_ok());
    let owned = owned.unwrap();
    assert_eq!(table.hand_over(&owned, &scope("z"), at(5_000)), Ok(host(2)));
    let renewed = table.renew_handover(&owned, &scope("z"), at(8_000));
    assert_eq!(renewed, Some(host(2)));
    at(10_000);
    let refused = table.may_serve(&owned, &scope("z"), at(11_900));
    assert!(matches!(refused, Err(OwnershipError::HandedOver { .. })));
    assert_eq!(table.may_serve(&owned, &scope("z"), at(12_000)), Ok(()));
}

/// Guards against a host that resumes after a gap in which another one may have taken over, or is
/// about to do so on information as old as the fence allows.
#[test]
fn gap_in_contact_above_two_and_a_half_seconds_restarts_the_wait() {
    for (gap, expected) in [
        (2_500, Ok(())),
        (
            2_501,
            Err(OwnershipError::TakeoverPending {
                until: MonoTime::from_millis(16_501),
            }),
        ),
    ] {
        let table = table_of(listed(host(1), "z"));
        table.on_roster(
            [listed(host(1), "z"), listed(host(2), "z")],
            MonoTime::START,
        );
        for millis in (0..=10_000).step_by(500) {
            let now = MonoTime::from_millis(millis);
            table.on_contact(now, now);
        }
        let now = MonoTime::from_millis(10_000 + gap);
        table.on_contact(now, now);
        assert_eq!(table.may_serve(&key("t"), &scope("z"), now), expected);
    }
}

/// Guards against two owners after a suspended machine: its monotonic clock stopped, so that the
/// last contact seems recent although another host has taken over.
#[test]
fn contact_from_before_a_pause_does_not_count() {
    let table = table_of(listed(host(1), "z"));
    let both = [listed(host(1), "z"), listed(host(2), "z")];
    table.on_roster(both, MonoTime::START);
    let serve = |millis| table.may_serve(&key("t"), &scope("z"), MonoTime::from_millis(millis));
    for millis in (0..=5_000).step_by(500) {
        table.on_contact(MonoTime::from_millis(millis), MonoTime::from_millis(millis));
    }
    assert_eq!(serve(5_001), Ok(()));
    let resumed_at = MonoTime::from_millis(5_002);
    table.on_resume(resumed_at);
    table.on_heartbeat_round(resumed_at);
    assert_eq!(serve(5_003), Err(OwnershipError::NoMajorityContact));
    let back = MonoTime::from_millis(5_100);
    table.on_contact(back, back);
    let until = MonoTime::from_millis(9_100);
    assert_eq!(serve(5_101), Err(OwnershipError::TakeoverPending { until }));
}

/// Guards against two owners when a new host reads a roster that lacks a live owner. Found by the
/// model checker: the host received the owner's heartbeats and still took its target.
#[test]
fn live_host_is_a_candidate_although_the_roster_lacks_it() {
    let zone = ZoneId::new("z").unwrap();
    let live = host(2);
    let keys = ["t", "u", "v", "w", "x"].map(key);
    let table = table_of(listed(host(1), "z"));
    table.on_roster([listed(host(1), "z")], MonoTime::START);
    let now = MonoTime::from_millis(10);
    table.on_seen(&zone, &live, now);
    let owner_of = |key| table.owner_of(key, &scope("z"), now);
    assert!(keys.iter().any(|key| owner_of(key) == Some(live.clone())));
}
