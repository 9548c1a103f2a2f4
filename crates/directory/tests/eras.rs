//! A store that comes back from an older copy.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use indexmap::IndexSet;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra::new(era), StoreRevision::new(revision))
}

fn id(number: u32) -> TargetId {
    TargetId::new(&format!("t-{number}")).unwrap()
}

fn entry(number: u32, sequence: u64) -> TargetEntry {
    TargetEntry {
        id: id(number),
        service: ServiceId::new("rate").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneId::new("a").unwrap(),
        slots: SlotCount::new(2),
        phase: TargetPhase::Ready,
        cold_left: Duration::ZERO,
        born: 1,
        sequence,
    }
}

fn open_ids(tracker: &DirectoryTracker) -> Vec<String> {
    let service = ServiceId::new("rate").unwrap();
    let open = tracker.directory().open_targets(&service);
    let mut ids: Vec<String> = open.map(|entry| entry.id.to_string()).collect();
    ids.sort();
    ids
}

/// Applies what a watch returns.
fn watch(
    tracker: &mut DirectoryTracker,
    as_of: StorePosition,
    changes: Vec<DirectoryChange>,
    millis: u64,
) {
    tracker.on_contact(at(millis));
    tracker.apply(StorePart::Targets, changes, as_of, at(millis));
}

/// Applies a full read.
fn read(
    tracker: &mut DirectoryTracker,
    as_of: StorePosition,
    entries: Vec<TargetEntry>,
    millis: u64,
) {
    tracker.on_contact(at(millis));
    tracker.replace_targets(entries, as_of, at(millis));
}

fn written(number: u32, sequence: u64) -> DirectoryChange {
    DirectoryChange::TargetUpdated(entry(number, sequence))
}

fn removed(number: u32) -> DirectoryChange {
    DirectoryChange::TargetRemoved(id(number))
}

/// Returns a tracker that has read two targets, at position 0:12 and 1 s.
fn tracker_with_two_targets() -> DirectoryTracker {
    let mut tracker = DirectoryTracker::new();
    tracker.replace_zones(IndexSet::new(), position(0, 10), at(0));
    read(
        &mut tracker,
        position(0, 10),
        vec![entry(1, 5), entry(2, 5)],
        0,
    );
    let writes = vec![written(1, 6), written(2, 6)];
    watch(&mut tracker, position(0, 12), writes, 1000);
    tracker
}

/// Guards against a position of an earlier era that counts as later, because its revision is higher.
#[test]
fn positions_are_ordered_by_era_first() {
    assert!(position(1, 3) > position(0, 400));
    assert!(position(1, 4) > position(1, 3));
    for text in ["1:3", "0:0"] {
        assert_eq!(text.parse::<StorePosition>().unwrap().to_string(), text);
    }
    assert_eq!("7".parse::<StorePosition>().unwrap(), position(0, 7));
    assert!("1:x".parse::<StorePosition>().is_err());
}

/// Guards against requests to a target that left after the store came back: reads at lower revisions were ignored until the
/// revisions had caught up.
#[test]
fn removal_after_the_return_counts_at_a_lower_revision() {
    let mut tracker = tracker_with_two_targets();
    read(
        &mut tracker,
        position(1, 8),
        vec![entry(1, 4), entry(2, 4)],
        1500,
    );
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
    watch(&mut tracker, position(1, 9), vec![removed(1)], 1700);
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against a target that comes back with the older copy, although its removal or its drain was read. A follower knows
/// only an early sequence number, so that the copy may hold a higher one.
#[test]
fn target_that_left_stays_gone() {
    for sequence in [5, 6, 9] {
        let copy = || vec![entry(1, sequence), entry(2, 6)];
        let mut tracker = tracker_with_two_targets();
        watch(&mut tracker, position(0, 13), vec![removed(1)], 1500);
        read(&mut tracker, position(1, 8), copy(), 2000);
        assert_eq!(open_ids(&tracker), ["t-2"], "sequence {sequence}");
        // A later full read still lists the entry, until it lapses.
        read(&mut tracker, position(1, 9), copy(), 6000);
        assert_eq!(open_ids(&tracker), ["t-2"], "sequence {sequence}");
        watch(
            &mut tracker,
            position(1, 10),
            vec![written(1, sequence + 1)],
            6500,
        );
        assert_eq!(
            open_ids(&tracker),
            ["t-2"],
            "a late write, sequence {sequence}"
        );
    }
    let mut tracker = tracker_with_two_targets();
    let draining = TargetEntry {
        phase: TargetPhase::Draining,
        ..entry(1, 7)
    };
    let draining = vec![DirectoryChange::TargetUpdated(draining)];
    watch(&mut tracker, position(0, 13), draining, 1500);
    read(
        &mut tracker,
        position(1, 8),
        vec![entry(1, 6), entry(2, 6)],
        2000,
    );
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against a live target without work for good: it goes on writing after the store came back.
#[test]
fn target_that_goes_on_writing_after_the_return_is_used_again() {
    let mut tracker = tracker_with_two_targets();
    watch(&mut tracker, position(0, 13), vec![removed(1)], 1500);
    read(
        &mut tracker,
        position(1, 8),
        vec![entry(1, 6), entry(2, 6)],
        2000,
    );
    for (sequence, millis) in (7..).zip((2500..12_000).step_by(1500)) {
        let as_of = position(1, sequence + 10);
        watch(&mut tracker, as_of, vec![written(1, sequence)], millis);
    }
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
}

/// Guards against dropping a live target whose entry is missing in the copy, on a host that noticed no outage, and against
/// keeping it when it does not register again.
#[test]
fn target_that_the_copy_lacks_has_time_to_register_again() {
    for registers in [true, false] {
        let mut tracker = tracker_with_two_targets();
        read(&mut tracker, position(1, 8), vec![entry(2, 4)], 1500);
        assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
        // A further read in the same era lacks it, too.
        read(&mut tracker, position(1, 9), vec![entry(2, 4)], 2500);
        assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
        if registers {
            watch(&mut tracker, position(1, 10), vec![written(1, 8)], 3000);
        }
        tracker.drop_lapsed(at(3700));
        assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
        tracker.drop_lapsed(at(3900));
        let expected: &[&str] = match registers {
            true => &["t-1", "t-2"],
            false => &["t-2"],
        };
        assert_eq!(open_ids(&tracker), expected);
    }
}

/// Guards against an entry that is kept in use although its removal was read in the new era.
#[test]
fn removal_in_the_new_era_ends_the_time_to_register() {
    let mut tracker = tracker_with_two_targets();
    read(&mut tracker, position(1, 8), vec![entry(2, 4)], 1500);
    watch(
        &mut tracker,
        position(1, 10),
        vec![written(1, 8), removed(1)],
        2000,
    );
    assert_eq!(open_ids(&tracker), ["t-2"]);
    read(&mut tracker, position(1, 11), Vec::new(), 2200);
    assert!(open_ids(&tracker).is_empty());
}

/// Guards against the answers of an earlier era that arrive late.
#[test]
fn late_answer_of_an_earlier_era_changes_nothing() {
    let mut tracker = tracker_with_two_targets();
    tracker.on_era(StoreEra::new(1), at(1400));
    watch(&mut tracker, position(0, 14), vec![removed(1)], 1450);
    read(&mut tracker, position(0, 14), Vec::new(), 1450);
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
    read(
        &mut tracker,
        position(1, 8),
        vec![entry(1, 6), entry(2, 6)],
        1500,
    );
    let before = tracker.directory().content;
    watch(&mut tracker, position(0, 99), vec![removed(1)], 1600);
    read(&mut tracker, position(0, 99), Vec::new(), 1600);
    assert_eq!(tracker.directory().content, before);
    assert_eq!(tracker.positions().targets, position(1, 8));
}

/// Guards against changes that are missed without a sign: the store accepts a watch from a revision that it gave out again,
/// and what came before that revision in the new era is not among its changes.
#[test]
fn watch_is_not_continued_in_a_later_era() {
    let mut tracker = tracker_with_two_targets();
    watch(&mut tracker, position(1, 20), vec![removed(2)], 1500);
    assert_eq!(tracker.positions().targets, position(0, 12));
    assert_eq!(tracker.era(), StoreEra::new(1));
    read(&mut tracker, position(1, 20), vec![entry(1, 6)], 1600);
    assert_eq!(tracker.positions().targets, position(1, 20));
}

/// Guards against a second return of the store that ends the time to register early, or lets a late answer of the first
/// one count.
#[test]
fn two_returns_in_a_row_are_two_eras() {
    let mut tracker = tracker_with_two_targets();
    read(&mut tracker, position(1, 9), vec![entry(2, 6)], 1500);
    read(&mut tracker, position(2, 7), vec![entry(2, 5)], 3000);
    tracker.drop_lapsed(at(4500));
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
    watch(&mut tracker, position(1, 30), vec![removed(2)], 4600);
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
    watch(&mut tracker, position(2, 8), vec![removed(2)], 4700);
    tracker.drop_lapsed(at(5400));
    assert!(open_ids(&tracker).is_empty());
}

/// Guards against a host that adopts the directory of a later era and takes back what it knows to be gone, or drops live
/// targets that the other host has not read again yet.
#[test]
fn directory_of_a_later_era_is_adopted_under_the_same_rules() {
    for is_from_upstream in [true, false] {
        let mut other = DirectoryTracker::new();
        read(
            &mut other,
            position(1, 8),
            vec![entry(1, 9), entry(3, 1)],
            1500,
        );
        let mut tracker = tracker_with_two_targets();
        watch(&mut tracker, position(0, 13), vec![removed(1)], 1200);
        let directory = other.registered();
        let adopt = |tracker: &mut DirectoryTracker, millis| {
            let positions = PartPositions::new(position(1, millis));
            tracker.adopt(
                (*directory).clone(),
                positions,
                is_from_upstream,
                at(millis),
            )
        };
        assert!(!adopt(&mut tracker, 1600));
        assert_eq!(open_ids(&tracker), ["t-2", "t-3"]);
        // The other host still holds the entry of the copy.
        adopt(&mut tracker, 2000);
        assert_eq!(open_ids(&tracker), ["t-2", "t-3"]);
        tracker.drop_lapsed(at(4000));
        assert_eq!(open_ids(&tracker), ["t-3"]);
    }
}

/// Guards against requests to a target that left in the new era, because a host that was cut off during the return gives it
/// time to register although others had their first contact long before.
#[test]
fn time_to_register_counts_from_the_first_contact_of_any_host() {
    let mut tracker = tracker_with_two_targets();
    let sighting = EraSighting {
        era: StoreEra::new(1),
        age_millis: Some(5000),
    };
    tracker.on_era_sighting(sighting, at(9000));
    read(&mut tracker, position(1, 40), vec![entry(2, 9)], 9100);
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against the same on a host that reads the store before it hears of another host.
#[test]
fn time_to_register_ends_once_another_host_states_an_earlier_contact() {
    let mut tracker = tracker_with_two_targets();
    for millis in [2000, 4000, 6000, 8000] {
        tracker.on_any_contact(ContactAge::new(Duration::ZERO), at(millis));
    }
    read(&mut tracker, position(1, 40), vec![entry(2, 9)], 9000);
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
    let sighting = |age_millis| EraSighting {
        era: StoreEra::new(1),
        age_millis: Some(age_millis),
    };
    tracker.on_era_sighting(sighting(50), at(9100));
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
    tracker.on_era_sighting(sighting(5000), at(9200));
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against an evacuation that ends because the copy lacks it, one that ends never, and one that operators ended and
/// that the copy has back.
#[test]
fn evacuation_that_the_copy_lacks_stays_for_a_while() {
    let zones = |names: &[&str]| -> IndexSet<ZoneId> {
        names
            .iter()
            .map(|name| ZoneId::new(name).unwrap())
            .collect()
    };
    let mut tracker = tracker_with_two_targets();
    tracker.replace_zones(zones(&["b"]), position(0, 14), at(1100));
    tracker.replace_zones(zones(&["c"]), position(1, 9), at(1500));
    assert_eq!(tracker.directory().evacuated, zones(&["c", "b"]));
    assert_eq!(tracker.registered().evacuated, zones(&["c"]));
    tracker.replace_zones(zones(&["c"]), position(1, 10), at(2500));
    assert_eq!(tracker.directory().evacuated, zones(&["c", "b"]));
    tracker.drop_lapsed(at(4000));
    assert_eq!(tracker.directory().evacuated, zones(&["c"]));
}

/// Guards against a withdrawn key that works again: the configuration that withdrew it was refused, and the copy lacks it.
#[test]
fn refused_configuration_that_the_copy_lacks_still_ends_the_trust_in_keys() {
    let accepted = |version| ConfigOutcome::Accepted(ConfigVersion::new(version));
    let refused = ConfigOutcome::Refused(Some(ConfigVersion::new(4)));
    let bound = Duration::from_secs(5);
    let mut contacts = CopyContacts::new();
    contacts.on_config_read(position(0, 10), accepted(4));
    contacts.confirm(StorePart::Operator, at(1000));
    contacts.on_config_read(position(0, 20), refused);
    for revision in [10, 11] {
        contacts.on_config_read(position(1, revision), accepted(4));
        contacts.confirm(StorePart::Operator, at(6000));
        assert!(!contacts.keys().may_trust_keys(bound, at(6100)));
    }
    // A late answer of the earlier era does not count.
    contacts.on_config_read(position(0, 21), accepted(5));
    contacts.confirm(StorePart::Operator, at(6200));
    assert!(!contacts.keys().may_trust_keys(bound, at(6300)));
    contacts.on_config_read(position(1, 12), accepted(5));
    contacts.confirm(StorePart::Operator, at(6400));
    assert!(contacts.keys().may_trust_keys(bound, at(6500)));
}
