//! Single rules of ownership, each with the smallest case that needs it.

#![expect(
    clippy::unwrap_used,
    reason = "a test stops at what it does not expect"
)]

mod common;

use common::{
    home,
    host,
    key,
    listed,
    table_of, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_placement::prelude::*;

/// Guards against two owners when a zone is cut off as a whole: its hosts are in contact with each
/// other, and a host of another zone that does not hear them must not take their targets.
#[test]
fn other_zone_takes_over_only_when_the_roster_lists_no_host() {
    let outsider = table_of(listed(host(2), "y"));
    let both = [listed(host(1), "z"), listed(host(2), "y")];
    outsider.on_roster(both.clone(), MonoTime::START);
    let later = MonoTime::from_millis(60_000);
    let refused = outsider.may_serve(&key("t"), &home("z"), later);
    assert_eq!(refused, Err(OwnershipError::NoOwner));
    outsider.on_roster(both[1..].to_vec(), later);
    let early = MonoTime::from_millis(63_900);
    assert!(outsider.may_serve(&key("t"), &home("z"), early).is_err());
    let after = MonoTime::from_millis(64_000);
    assert_eq!(outsider.may_serve(&key("t"), &home("z"), after), Ok(()));
}

/// Guards against a handover that arrives after its sender has taken the key back, and against its
/// use by another host.
#[test]
fn late_or_foreign_handover_is_refused() {
    let table = table_of(listed(host(1), "z"));
    let handover = |heir, echoed| OwnerHandover {
        key: key("t"),
        from: host(2),
        heir: host(heir),
        echoed: MonoTime::from_millis(echoed),
        is_renewal: false,
    };
    let now = MonoTime::from_millis(10_000);
    let late = table.on_handover(&handover(1, 8_400), now);
    assert_eq!(late, Err(OwnershipError::StaleHandover));
    let foreign = table.on_handover(&handover(3, 9_900), now);
    assert_eq!(foreign, Err(OwnershipError::WrongHeir { heir: host(3) }));
    assert_eq!(table.on_handover(&handover(1, 9_900), now), Ok(()));
}

/// Guards against a lone host that never starts, and against one that the platform has dropped.
#[test]
fn lone_host_serves_at_once_while_it_is_listed() {
    let table = table_of(listed(host(1), "z"));
    let serve = || table.may_serve(&key("t"), &home("z"), MonoTime::from_millis(10));
    assert_eq!(serve(), Err(OwnershipError::NotListed));
    table.on_roster([listed(host(1), "z")], MonoTime::START);
    assert_eq!(serve(), Ok(()));
    table.on_wake(MonoTime::from_millis(5));
    assert_eq!(serve(), Err(OwnershipError::NotFresh));
}

/// Guards against a key that is handed over because of a bad path and returns on its own.
#[test]
fn renewed_handover_keeps_the_key_away() {
    let zone = ZoneId::new("z").unwrap();
    let table = table_of(listed(host(1), "z"));
    table.on_roster(
        [listed(host(1), "z"), listed(host(2), "z")],
        MonoTime::START,
    );
    let at = |millis| {
        let now = MonoTime::from_millis(millis);
        table.on_heard(&zone, &host(2), now);
        table.on_contact(now, now);
        now
    };
    for millis in [0, 1_000, 2_000, 3_000, 4_000] {
        at(millis);
    }
    let owned = (0..9).map(|n| key(&format!("t{n}")));
    let owned = owned
        .into_iter()
        .find(|key| table.may_serve(key, &home("z"), at(5_000)).is_ok());
    let owned = owned.unwrap();
    assert_eq!(table.hand_over(&owned, &home("z"), at(5_000)), Ok(host(2)));
    let renewed = table.renew_handover(&owned, &home("z"), at(8_000));
    assert_eq!(renewed, Some(host(2)));
    at(10_000);
    let refused = table.may_serve(&owned, &home("z"), at(11_900));
    assert!(matches!(refused, Err(OwnershipError::HandedOver { .. })));
    assert_eq!(table.may_serve(&owned, &home("z"), at(12_000)), Ok(()));
}

/// Guards against a host that resumes after a gap in which another one may have taken over, or is
/// about to do so on news that are as old as the fence allows.
#[test]
fn gap_in_contact_above_two_and_a_half_seconds_starts_the_wait_anew() {
    for (gap, expected) in [
        (2_500, Ok(())),
        (
            2_501,
            Err(OwnershipError::TooEarly {
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
        assert_eq!(table.may_serve(&key("t"), &home("z"), now), expected);
    }
}
