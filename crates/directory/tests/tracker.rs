//! Changes of the directory on a host that reads the store.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use indexmap::IndexSet;

fn entry(id: &str, phase: TargetPhase) -> TargetEntry {
    TargetEntry {
        id: TargetId::new(id).unwrap(),
        service: ServiceId::new("rate").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneId::new("a").unwrap(),
        slots: SlotCount::new(2),
        phase,
        cold_left: Duration::ZERO,
        born: 1,
        sequence: 5,
    }
}

fn updated(id: &str, phase: TargetPhase) -> DirectoryChange {
    DirectoryChange::TargetUpdated(entry(id, phase))
}

/// Returns a write of a target that is ready, with a sequence number.
fn written(id: &str, sequence: u64) -> DirectoryChange {
    DirectoryChange::TargetUpdated(TargetEntry {
        sequence,
        ..entry(id, TargetPhase::Ready)
    })
}

fn removed(id: &str) -> DirectoryChange {
    DirectoryChange::TargetRemoved(TargetId::new(id).unwrap())
}

/// Applies changes that a watch returns at a time, with the time as the revision.
fn watch(tracker: &mut DirectoryTracker, millis: u64, changes: Vec<DirectoryChange>) {
    let as_of = StorePosition::without_era(StoreRevision::new(millis));
    tracker.on_contact(at(millis));
    tracker.apply(StorePart::Targets, changes, as_of, at(millis));
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn open_ids(tracker: &DirectoryTracker) -> Vec<String> {
    let service = ServiceId::new("rate").unwrap();
    let open = tracker.directory().open_targets(&service);
    open.map(|entry| entry.id.to_string()).collect()
}

fn tracker_with_two_targets() -> DirectoryTracker {
    let mut tracker = DirectoryTracker::new();
    let entries = vec![
        entry("t-1", TargetPhase::Ready),
        entry("t-2", TargetPhase::Ready),
    ];
    let as_of = StorePosition::without_era(StoreRevision::new(10));
    tracker.on_contact(at(0));
    tracker.replace_zones(IndexSet::new(), as_of, at(0));
    tracker.replace_targets(entries, as_of, at(0));
    tracker
}

/// Guards against a draining target that stays in use: the answer of the operators' watch, at a later revision,
/// arrived before that of the targets' watch, which was then ignored as outdated.
#[test]
fn answer_about_targets_counts_after_a_later_one_about_operators() {
    let mut tracker = tracker_with_two_targets();
    let later = StorePosition::without_era(StoreRevision::new(12));
    tracker.apply(StorePart::Operator, Vec::new(), later, at(100));
    let draining = vec![updated("t-1", TargetPhase::Draining)];
    tracker.apply(
        StorePart::Targets,
        draining,
        StorePosition::without_era(StoreRevision::new(11)),
        at(110),
    );
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against hosts that mistake different directories for equal, because two changes were read at one revision.
#[test]
fn each_change_alters_the_digest() {
    let mut tracker = tracker_with_two_targets();
    let revision = StorePosition::without_era(StoreRevision::new(11));
    let before = tracker.directory().content;
    let draining = vec![updated("t-1", TargetPhase::Draining)];
    tracker.apply(StorePart::Targets, draining, revision, at(10));
    let between = tracker.directory().content;
    let draining = vec![updated("t-2", TargetPhase::Draining)];
    tracker.apply(StorePart::Targets, draining, revision, at(20));
    assert_ne!(before, between);
    assert_ne!(between, tracker.directory().content);
}

/// Guards against an answer that arrives late and reverts a later change.
#[test]
fn older_answer_about_the_same_part_is_ignored() {
    let mut tracker = tracker_with_two_targets();
    let draining = vec![updated("t-1", TargetPhase::Draining)];
    tracker.apply(
        StorePart::Targets,
        draining,
        StorePosition::without_era(StoreRevision::new(15)),
        at(10),
    );
    let stale = vec![updated("t-1", TargetPhase::Ready)];
    tracker.apply(
        StorePart::Targets,
        stale,
        StorePosition::without_era(StoreRevision::new(14)),
        at(20),
    );
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against losing live targets whose entries lapsed during an outage of the store.
#[test]
fn entry_that_lapsed_during_an_outage_stays_for_two_seconds() {
    let mut tracker = tracker_with_two_targets();
    tracker.on_failure(at(1000));
    tracker.on_contact(at(6000));
    let removed = DirectoryChange::TargetRemoved(TargetId::new("t-1").unwrap());
    tracker.apply(
        StorePart::Targets,
        vec![removed],
        StorePosition::without_era(StoreRevision::new(20)),
        at(6000),
    );
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
    tracker.apply(
        StorePart::Targets,
        Vec::new(),
        StorePosition::without_era(StoreRevision::new(21)),
        at(8000),
    );
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
    tracker.apply(
        StorePart::Targets,
        Vec::new(),
        StorePosition::without_era(StoreRevision::new(22)),
        at(8400),
    );
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against keeping a target that left while the store was available.
#[test]
fn entry_removed_without_an_outage_is_dropped_at_once() {
    let mut tracker = tracker_with_two_targets();
    tracker.on_contact(at(900));
    let removed = DirectoryChange::TargetRemoved(TargetId::new("t-1").unwrap());
    tracker.apply(
        StorePart::Targets,
        vec![removed],
        StorePosition::without_era(StoreRevision::new(20)),
        at(900),
    );
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against a host that reverts to the older directory of another host.
#[test]
fn directory_at_an_older_revision_is_refused() {
    let mut tracker = tracker_with_two_targets();
    let older = (*tracker.directory()).as_ref().clone();
    let draining = vec![updated("t-1", TargetPhase::Draining)];
    let revision = StorePosition::without_era(StoreRevision::new(15));
    tracker.apply(StorePart::Targets, draining, revision, at(10));
    tracker.apply(StorePart::Operator, Vec::new(), revision, at(10));
    let revisions = PartPositions::new(older.as_of);
    assert!(!tracker.adopt(older, revisions, true, at(0)));
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against a delayed write of a draining target that marks it as ready again.
#[test]
fn entry_with_a_lower_sequence_of_the_same_incarnation_is_ignored() {
    let mut tracker = tracker_with_two_targets();
    let draining = vec![updated("t-1", TargetPhase::Draining)];
    tracker.apply(
        StorePart::Targets,
        draining,
        StorePosition::without_era(StoreRevision::new(15)),
        at(10),
    );
    let late = TargetEntry {
        sequence: 4,
        ..entry("t-1", TargetPhase::Ready)
    };
    let late = vec![DirectoryChange::TargetUpdated(late)];
    tracker.apply(
        StorePart::Targets,
        late,
        StorePosition::without_era(StoreRevision::new(16)),
        at(20),
    );
    assert_eq!(open_ids(&tracker), ["t-2"]);
    let restarted = TargetEntry {
        sequence: 1,
        born: 2,
        ..entry("t-1", TargetPhase::Ready)
    };
    let restarted = vec![DirectoryChange::TargetUpdated(restarted)];
    tracker.apply(
        StorePart::Targets,
        restarted,
        StorePosition::without_era(StoreRevision::new(17)),
        at(30),
    );
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
}

/// Guards against keeping a target that left, because a store without writes for longer than a watch waits counted
/// as having had an outage.
#[test]
fn idle_store_does_not_count_as_an_outage() {
    let mut tracker = tracker_with_two_targets();
    tracker.on_contact(at(9000));
    let removed = DirectoryChange::TargetRemoved(TargetId::new("t-1").unwrap());
    tracker.apply(
        StorePart::Targets,
        vec![removed],
        StorePosition::without_era(StoreRevision::new(20)),
        at(9000),
    );
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against keeping a target that left while the store compacted its history and interrupted the watch.
#[test]
fn one_interrupted_watch_does_not_count_as_an_outage() {
    let mut tracker = tracker_with_two_targets();
    tracker.on_failure(at(3000));
    tracker.on_contact(at(3400));
    let removed = DirectoryChange::TargetRemoved(TargetId::new("t-1").unwrap());
    tracker.apply(
        StorePart::Targets,
        vec![removed],
        StorePosition::without_era(StoreRevision::new(20)),
        at(3400),
    );
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against requests to a draining target: the directory of a peer was newer as a whole but older in its
/// targets. It replaced the change of the target, and the watch continued after that change.
#[test]
fn directory_of_a_peer_does_not_undo_a_later_change() {
    let mut tracker = tracker_with_two_targets();
    let peer = (**tracker.directory()).clone();
    let read_at = StorePosition::without_era(StoreRevision::new(20));
    let draining = vec![updated("t-1", TargetPhase::Draining)];
    tracker.apply(StorePart::Targets, draining, read_at, at(100));
    assert_eq!(open_ids(&tracker), ["t-2"]);
    assert!(tracker.directory().as_of < StorePosition::without_era(StoreRevision::new(15)));
    let before = PartPositions::new(StorePosition::without_era(StoreRevision::new(15)));
    assert!(!tracker.adopt(peer.clone(), before, true, at(0)));
    assert_eq!(open_ids(&tracker), ["t-2"]);
    // A directory that is as recent in both parts is adopted.
    assert!(tracker.adopt(peer, PartPositions::new(read_at), false, at(0)));
}

/// Guards against two hosts that refuse each other's directory, because each has read another part of the store later:
/// neither learned what the other one knew before its own next read.
#[test]
fn each_part_of_a_directory_is_adopted_by_its_own_revision() {
    let (mut first, mut second) = (tracker_with_two_targets(), tracker_with_two_targets());
    let zone = ZoneId::new("b").unwrap();
    let evacuated = vec![DirectoryChange::ZoneEvacuated(zone.clone())];
    first.apply(
        StorePart::Operator,
        evacuated,
        StorePosition::without_era(StoreRevision::new(20)),
        at(100),
    );
    let draining = vec![updated("t-1", TargetPhase::Draining)];
    second.apply(
        StorePart::Targets,
        draining,
        StorePosition::without_era(StoreRevision::new(30)),
        at(100),
    );
    let (of_first, of_second) = (
        (**first.directory()).clone(),
        (**second.directory()).clone(),
    );
    let (first_read, second_read) = (first.positions(), second.positions());
    first.adopt(of_second, second_read, false, at(0));
    second.adopt(of_first, first_read, false, at(0));
    for tracker in [&first, &second] {
        assert_eq!(open_ids(tracker), ["t-2"]);
        assert!(tracker.directory().evacuated.contains(&zone));
        assert_eq!(tracker.directory().content, first.directory().content);
    }
}

/// Guards against a change that is lost: another host had the same content as this one when it was asked, at a later
/// revision. This host has changed its content meanwhile, and would ignore the answer of the store in between.
#[test]
fn revision_of_an_equal_directory_does_not_count_for_a_changed_one() {
    let mut tracker = tracker_with_two_targets();
    let asked_with = tracker.directory().content;
    let draining = vec![updated("t-1", TargetPhase::Draining)];
    tracker.apply(
        StorePart::Targets,
        draining,
        StorePosition::without_era(StoreRevision::new(20)),
        at(100),
    );
    let later = PartPositions::new(StorePosition::without_era(StoreRevision::new(30)));
    tracker.confirm_positions(asked_with, later, at(100));
    let removed = DirectoryChange::TargetRemoved(TargetId::new("t-2").unwrap());
    tracker.apply(
        StorePart::Targets,
        vec![removed],
        StorePosition::without_era(StoreRevision::new(25)),
        at(200),
    );
    assert!(open_ids(&tracker).is_empty());
    let content = tracker.directory().content;
    tracker.confirm_positions(content, later, at(200));
    assert_eq!(tracker.positions(), later);
}

/// Returns a tracker in which the entry of `t-1` lapsed at 6 s, and that adopted the directory of a peer which keeps
/// the entry too.
fn tracker_with_adopted_lapsed_entry() -> DirectoryTracker {
    let mut tracker = tracker_with_two_targets();
    let peer = (**tracker.directory()).clone();
    tracker.on_failure(at(1000));
    tracker.on_contact(at(6000));
    let removed = DirectoryChange::TargetRemoved(TargetId::new("t-1").unwrap());
    let read_at = StorePosition::without_era(StoreRevision::new(20));
    tracker.apply(StorePart::Targets, vec![removed], read_at, at(6000));
    let revisions = PartPositions::new(StorePosition::without_era(StoreRevision::new(30)));
    assert!(tracker.adopt(peer, revisions, false, at(6000)));
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
    tracker
}

/// Guards against requests to a target that is gone: a directory adopted from a peer that kept the lapsed entry too
/// dropped the time until which the entry stays in use.
#[test]
fn lapsed_entry_is_dropped_in_time_although_a_peer_keeps_it() {
    let mut tracker = tracker_with_adopted_lapsed_entry();
    let later = StorePosition::without_era(StoreRevision::new(31));
    tracker.apply(StorePart::Targets, Vec::new(), later, at(8400));
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against dropping a live target that registered again after its entry lapsed and a peer's directory was
/// adopted.
#[test]
fn lapsed_entry_stays_if_it_registers_again_after_an_adoption() {
    let mut tracker = tracker_with_adopted_lapsed_entry();
    let registered = vec![updated("t-1", TargetPhase::Ready)];
    let later = StorePosition::without_era(StoreRevision::new(31));
    tracker.apply(StorePart::Targets, registered, later, at(7500));
    let latest = StorePosition::without_era(StoreRevision::new(32));
    tracker.apply(StorePart::Targets, Vec::new(), latest, at(8400));
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
}

/// Guards against requests to targets that left while a zone was cut off from the store and from all other hosts: its
/// hosts took that for an outage and kept the removed entries, and a dispatcher that the store served all the while
/// adopted them.
#[test]
fn entries_that_a_parted_host_keeps_are_not_adopted_by_others() {
    let mut parted = tracker_with_two_targets();
    parted.on_failure(at(1000));
    parted.on_contact(at(6000));
    let removed = || {
        vec![DirectoryChange::TargetRemoved(
            TargetId::new("t-1").unwrap(),
        )]
    };
    parted.apply(
        StorePart::Targets,
        removed(),
        StorePosition::without_era(StoreRevision::new(30)),
        at(6000),
    );
    assert_eq!(open_ids(&parted), ["t-1", "t-2"]);

    let mut served = tracker_with_two_targets();
    for millis in (500..=6000).step_by(500) {
        served.on_contact(at(millis));
    }
    served.apply(
        StorePart::Targets,
        removed(),
        StorePosition::without_era(StoreRevision::new(20)),
        at(4000),
    );
    let (shared, revisions) = (parted.registered(), parted.positions());
    served.adopt((*shared).clone(), revisions, false, at(6100));
    assert_eq!(open_ids(&served), ["t-2"]);
    // Followers of the parted host hold the entry without knowing that it is only kept.
    let later = PartPositions::new(StorePosition::without_era(StoreRevision::new(31)));
    served.adopt((**parted.directory()).clone(), later, false, at(6200));
    assert_eq!(open_ids(&served), ["t-2"]);
    // The next write may be a late one; one that is done later shows that the target is live.
    for (millis, sequence, open) in [(6300, 6, &["t-2"][..]), (11_100, 9, &["t-2", "t-1"])] {
        let as_of = StorePosition::without_era(StoreRevision::new(millis));
        let registered = vec![written("t-1", sequence)];
        served.apply(StorePart::Targets, registered, as_of, at(millis));
        assert_eq!(open_ids(&served), open, "{millis} ms");
    }
    // A host that has not seen the removal yet, and knows of no outage, drops the entry at once.
    let mut late = tracker_with_two_targets();
    for millis in [2000, 4000, 6000, 8000, 8900] {
        late.on_any_contact(ContactAge::new(Duration::ZERO), at(millis));
    }
    late.adopt((*shared).clone(), revisions, false, at(8900));
    assert_eq!(open_ids(&late), ["t-2"]);
}

/// Guards against dropping all live targets after an outage of the store, because another dispatcher reached it first and
/// its directory lacks the entries that lapsed.
#[test]
fn entries_that_lapsed_in_an_outage_stay_when_another_dispatcher_is_first() {
    let mut tracker = tracker_with_two_targets();
    let mut first = tracker_with_two_targets();
    let removed = DirectoryChange::TargetRemoved(TargetId::new("t-1").unwrap());
    first.apply(
        StorePart::Targets,
        vec![removed],
        StorePosition::without_era(StoreRevision::new(30)),
        at(6000),
    );
    let (shared, revisions) = (first.registered(), first.positions());
    tracker.adopt((*shared).clone(), revisions, false, at(6000));
    // Kept entries follow those that are registered.
    assert_eq!(open_ids(&tracker), ["t-2", "t-1"]);
    let later = StorePosition::without_era(StoreRevision::new(31));
    tracker.apply(StorePart::Targets, Vec::new(), later, at(8400));
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Returns a tracker that has read a heartbeat of both targets at 1 s.
fn tracker_with_heartbeats() -> DirectoryTracker {
    let mut tracker = tracker_with_two_targets();
    watch(
        &mut tracker,
        1000,
        vec![written("t-1", 6), written("t-2", 6)],
    );
    tracker
}

/// Guards against requests to a target that left: the store did one of its writes, which had got no answer, after it had
/// removed its entry. The write may be one that was never read before.
#[test]
fn late_write_brings_no_target_back_that_has_left() {
    for sequence in [4, 6, 7] {
        let mut tracker = tracker_with_heartbeats();
        watch(&mut tracker, 2000, vec![removed("t-1")]);
        watch(&mut tracker, 4500, vec![written("t-1", sequence)]);
        assert_eq!(open_ids(&tracker), ["t-2"], "sequence {sequence}");
        // The store keeps the entry until it lapses, and is read in full meanwhile.
        let left = TargetEntry {
            sequence,
            ..entry("t-1", TargetPhase::Ready)
        };
        let entries = vec![left, entry("t-2", TargetPhase::Ready)];
        tracker.replace_targets(
            entries,
            StorePosition::without_era(StoreRevision::new(10_500)),
            at(10_500),
        );
        assert_eq!(open_ids(&tracker), ["t-2"], "sequence {sequence}");
    }
}

/// Guards against requests to a target that left, because its removal and a late write are read in one answer.
#[test]
fn late_write_in_the_answer_with_the_removal_is_ignored() {
    let mut tracker = tracker_with_heartbeats();
    watch(&mut tracker, 2000, vec![removed("t-1"), written("t-1", 5)]);
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against a live target without work: it was cut off from the store for some heartbeats, so that its entry
/// lapsed, and its next write was taken for a late one.
#[test]
fn target_that_registers_again_after_its_entry_lapsed_is_used_at_once() {
    let mut tracker = tracker_with_heartbeats();
    watch(&mut tracker, 5500, vec![removed("t-1")]);
    watch(&mut tracker, 5800, vec![written("t-1", 5)]);
    assert_eq!(open_ids(&tracker), ["t-2"]);
    watch(&mut tracker, 6000, vec![written("t-1", 7)]);
    assert_eq!(open_ids(&tracker), ["t-2", "t-1"]);
}

/// Guards against live targets without work after an outage that was too short for this host to notice, in which the store
/// let their entries lapse.
#[test]
fn target_that_registers_again_after_a_short_outage_is_used_at_once() {
    let mut tracker = tracker_with_heartbeats();
    tracker.on_failure(at(1500));
    watch(&mut tracker, 2400, vec![removed("t-1")]);
    watch(&mut tracker, 3000, vec![written("t-1", 7)]);
    assert_eq!(open_ids(&tracker), ["t-2", "t-1"]);
}

/// Guards against dropping a live target that registers again after an outage and counts anew, because it does not state its
/// start: its write was taken for a late one.
#[test]
fn lapsed_entry_stays_if_its_target_counts_anew_without_stating_its_start() {
    let unstated = |sequence| {
        DirectoryChange::TargetUpdated(TargetEntry {
            born: 0,
            sequence,
            ..entry("t-1", TargetPhase::Ready)
        })
    };
    let mut tracker = tracker_with_two_targets();
    watch(&mut tracker, 1000, vec![unstated(6)]);
    tracker.on_failure(at(2000));
    watch(&mut tracker, 7000, vec![removed("t-1")]);
    watch(&mut tracker, 7500, vec![unstated(1)]);
    watch(&mut tracker, 9400, Vec::new());
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
}

/// Guards against live targets without work: this host did not reach the store for a while, without a failed call, and read
/// their last writes just before their entries lapsed.
#[test]
fn writes_that_are_read_late_do_not_make_a_lapsed_entry_look_removed() {
    let mut tracker = tracker_with_heartbeats();
    let entries = ["t-1", "t-2"].map(|id| TargetEntry {
        sequence: 8,
        ..entry(id, TargetPhase::Ready)
    });
    tracker.replace_targets(
        entries.into(),
        StorePosition::without_era(StoreRevision::new(7000)),
        at(7000),
    );
    watch(&mut tracker, 7600, vec![removed("t-1")]);
    watch(&mut tracker, 8000, vec![written("t-1", 9)]);
    assert_eq!(open_ids(&tracker), ["t-2", "t-1"]);
}

/// Guards against a live target without work for good: its entry was removed for another reason, and it goes on writing.
#[test]
fn target_that_goes_on_writing_after_its_removal_is_used_again() {
    let mut tracker = tracker_with_heartbeats();
    watch(&mut tracker, 2000, vec![removed("t-1")]);
    for (sequence, millis) in (7..).zip((2500..9000).step_by(1500)) {
        watch(&mut tracker, millis, vec![written("t-1", sequence)]);
        assert_eq!(open_ids(&tracker), ["t-2"], "{millis} ms");
    }
    watch(&mut tracker, 10_000, vec![written("t-1", 12)]);
    assert_eq!(open_ids(&tracker), ["t-2", "t-1"]);
}

/// Guards against a target without work that has started again under its id.
#[test]
fn later_incarnation_of_a_target_that_has_left_is_used_at_once() {
    let mut tracker = tracker_with_heartbeats();
    watch(&mut tracker, 2000, vec![removed("t-1")]);
    let started = TargetEntry {
        born: 2,
        sequence: 1,
        ..entry("t-1", TargetPhase::Ready)
    };
    watch(
        &mut tracker,
        2500,
        vec![DirectoryChange::TargetUpdated(started)],
    );
    assert_eq!(open_ids(&tracker), ["t-2", "t-1"]);
}

/// Guards against requests to a target that is gone: its entry lapsed in an outage, and a late write of it counted as its
/// registration.
#[test]
fn late_write_does_not_renew_an_entry_that_lapsed() {
    let mut tracker = tracker_with_heartbeats();
    tracker.on_failure(at(2000));
    watch(&mut tracker, 7000, vec![removed("t-1")]);
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
    watch(&mut tracker, 7500, vec![written("t-1", 5)]);
    watch(&mut tracker, 9400, Vec::new());
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Reads empty answers of the store every 500 ms from one time to another.
fn watch_quietly(tracker: &mut DirectoryTracker, from: u64, until: u64) {
    for millis in (from..=until).step_by(500) {
        watch(tracker, millis, Vec::new());
    }
}

/// Returns a tracker whose targets renewed their entries until 9 s without a change that the store delivers.
fn tracker_with_unseen_renewals() -> DirectoryTracker {
    let mut tracker = tracker_with_two_targets();
    watch_quietly(&mut tracker, 500, 9000);
    tracker
}

/// Guards against requests to a target that left: its renewals changed only the sequence number and were never read, so that
/// its removal was taken for a lapse and a late write for its return.
#[test]
fn late_write_after_unseen_renewals_brings_no_target_back() {
    let mut tracker = tracker_with_unseen_renewals();
    watch(&mut tracker, 9300, vec![removed("t-1")]);
    watch_quietly(&mut tracker, 9500, 11_000);
    watch(&mut tracker, 11_500, vec![written("t-1", 10)]);
    assert_eq!(open_ids(&tracker), ["t-2"]);
    watch_quietly(&mut tracker, 12_000, 16_000);
    assert_eq!(open_ids(&tracker), ["t-2"]);
    watch(&mut tracker, 16_300, vec![removed("t-1")]);
    watch_quietly(&mut tracker, 16_500, 30_000);
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against the same on a host that begins to read the store between the removal and the late write, or after it.
#[test]
fn late_write_in_the_first_read_of_a_new_reader_brings_no_target_back() {
    for read_at in [11_600, 17_000] {
        let mut reader = tracker_with_unseen_renewals();
        let upstream = |revision| PartPositions::new(revision);
        let mut shared = (**reader.directory()).clone();
        shared.targets.shift_remove(&TargetId::new("t-1").unwrap());
        shared.update_digest();
        let at_removal = StorePosition::without_era(StoreRevision::new(9300));
        reader.adopt(shared, upstream(at_removal), true, at(9400));
        assert_eq!(open_ids(&reader), ["t-2"]);
        // Until it reads the store itself, it hears that the host that it follows does.
        for millis in (9500..read_at).step_by(500) {
            reader.on_any_contact(ContactAge::new(Duration::ZERO), at(millis));
        }
        let left = TargetEntry {
            sequence: 10,
            ..entry("t-1", TargetPhase::Ready)
        };
        let entries = vec![left, entry("t-2", TargetPhase::Ready)];
        let as_of = StorePosition::without_era(StoreRevision::new(read_at));
        reader.on_contact(at(read_at));
        reader.replace_targets(entries, as_of, at(read_at));
        assert_eq!(open_ids(&reader), ["t-2"], "read at {read_at} ms");
        watch_quietly(&mut reader, read_at + 500, read_at + 4500);
        assert_eq!(open_ids(&reader), ["t-2"], "read at {read_at} ms");
    }
}

/// Guards against a live target without work: it was cut off from the store, so that its entry lapsed, and its next write was
/// taken for a late one for good.
#[test]
fn target_that_was_cut_off_from_the_store_is_used_once_its_entry_stays() {
    let mut tracker = tracker_with_unseen_renewals();
    watch(&mut tracker, 9300, vec![removed("t-1")]);
    watch_quietly(&mut tracker, 9500, 12_500);
    watch(&mut tracker, 13_000, vec![written("t-1", 12)]);
    assert_eq!(open_ids(&tracker), ["t-2"]);
    // No late write is done after 16.3 s, and the entry that one has left would lapse within three heartbeats.
    watch_quietly(&mut tracker, 13_500, 22_000);
    assert_eq!(open_ids(&tracker), ["t-2", "t-1"]);
}

/// Guards against a live target without work although its write cannot be late any more.
#[test]
fn target_that_registers_later_than_any_late_write_is_used_at_once() {
    let mut tracker = tracker_with_unseen_renewals();
    watch(&mut tracker, 9300, vec![removed("t-1")]);
    watch_quietly(&mut tracker, 9500, 16_000);
    watch(&mut tracker, 16_400, vec![written("t-1", 7)]);
    assert_eq!(open_ids(&tracker), ["t-2", "t-1"]);
}

/// Returns a write of an incarnation.
fn started(id: &str, born: u64, sequence: u64) -> DirectoryChange {
    DirectoryChange::TargetUpdated(TargetEntry {
        born,
        sequence,
        ..entry(id, TargetPhase::Ready)
    })
}

/// Guards against the state of an earlier incarnation: the store did one of its writes after the target had started again, so
/// that a cold target counted as warm.
#[test]
fn late_write_of_an_earlier_incarnation_does_not_replace_the_later_one() {
    let mut tracker = tracker_with_unseen_renewals();
    watch(&mut tracker, 9300, vec![started("t-1", 9, 1)]);
    watch(&mut tracker, 10_100, vec![written("t-1", 11)]);
    let born = |tracker: &DirectoryTracker| {
        let id = TargetId::new("t-1").unwrap();
        tracker.directory().targets[&id].born
    };
    assert_eq!(born(&tracker), 9);
    let listed = vec![
        TargetEntry {
            sequence: 11,
            ..entry("t-1", TargetPhase::Ready)
        },
        entry("t-2", TargetPhase::Ready),
    ];
    let as_of = StorePosition::without_era(StoreRevision::new(17_000));
    tracker.replace_targets(listed, as_of, at(17_000));
    assert_eq!(born(&tracker), 9);
}

/// Guards against requests to a target that left: the store did a write of an earlier incarnation after the later one had
/// removed its entry.
#[test]
fn late_write_of_an_earlier_incarnation_brings_no_target_back() {
    let mut tracker = tracker_with_unseen_renewals();
    watch(&mut tracker, 9300, vec![started("t-1", 9, 1)]);
    watch_quietly(&mut tracker, 9500, 12_500);
    watch(&mut tracker, 12_600, vec![removed("t-1")]);
    watch(&mut tracker, 13_500, vec![written("t-1", 11)]);
    watch_quietly(&mut tracker, 14_000, 17_500);
    assert_eq!(open_ids(&tracker), ["t-2"]);
    watch(&mut tracker, 18_000, vec![removed("t-1")]);
    assert_eq!(open_ids(&tracker), ["t-2"]);
}

/// Guards against a target without work for good whose clock went back before it started again.
#[test]
fn incarnation_with_an_earlier_start_is_used_once_it_cannot_be_late() {
    let mut tracker = tracker_with_unseen_renewals();
    watch(&mut tracker, 9300, vec![started("t-1", 9, 1)]);
    watch_quietly(&mut tracker, 9500, 16_000);
    watch(&mut tracker, 16_400, vec![started("t-1", 5, 1)]);
    let id = TargetId::new("t-1").unwrap();
    assert_eq!(tracker.directory().targets[&id].born, 5);
}

/// Returns a write of a target that stays cold for some time.
fn cold(id: &str, sequence: u64, left_millis: u64) -> DirectoryChange {
    DirectoryChange::TargetUpdated(TargetEntry {
        sequence,
        cold_left: Duration::from_millis(left_millis),
        ..entry(id, TargetPhase::Ready)
    })
}

fn entry_in_use(tracker: &DirectoryTracker, id: &str) -> TargetEntry {
    tracker.directory().targets[&TargetId::new(id).unwrap()].clone()
}

/// Guards against a target that counts as warm while it is cold: it was cold again before its first cold time was over, and
/// the write that says so was taken for the countdown of the first.
#[test]
fn target_that_is_cold_again_has_a_new_cold_time() {
    let mut tracker = tracker_with_two_targets();
    watch(&mut tracker, 1000, vec![cold("t-1", 6, 3000)]);
    watch(&mut tracker, 2500, vec![cold("t-1", 7, 1500)]);
    let first = tracker.directory().local_content;
    assert_eq!(entry_in_use(&tracker, "t-1").sequence, 6);
    watch(&mut tracker, 3000, vec![cold("t-1", 8, 3000)]);
    assert_ne!(tracker.directory().local_content, first);
    let again = entry_in_use(&tracker, "t-1");
    assert_eq!((again.sequence, again.cold_left.as_millis()), (8, 3000));
    watch(&mut tracker, 4500, vec![cold("t-1", 9, 1500)]);
    assert_eq!(entry_in_use(&tracker, "t-1").sequence, 8);
}

/// Guards against a cold time without an end: each countdown, read somewhat late, or the same write in a full read began it
/// anew.
#[test]
fn countdown_of_a_cold_time_does_not_begin_it_anew() {
    let mut tracker = tracker_with_two_targets();
    watch(&mut tracker, 1000, vec![cold("t-1", 6, 3000)]);
    watch(&mut tracker, 3000, vec![cold("t-1", 7, 1500)]);
    let DirectoryChange::TargetUpdated(written) = cold("t-1", 7, 1500) else {
        panic!("a write is an update");
    };
    let entries = vec![written, entry("t-2", TargetPhase::Ready)];
    let as_of = StorePosition::without_era(StoreRevision::new(3300));
    tracker.replace_targets(entries, as_of, at(3300));
    assert_eq!(entry_in_use(&tracker, "t-1").sequence, 6);
}

/// Guards against a cold target that counts as warm: the store did its last write before it was cold late.
#[test]
fn late_write_does_not_end_a_cold_time() {
    let mut tracker = tracker_with_two_targets();
    watch(&mut tracker, 1000, vec![cold("t-1", 7, 3000)]);
    watch(&mut tracker, 2500, vec![cold("t-1", 8, 1500)]);
    watch(&mut tracker, 2600, vec![written("t-1", 6)]);
    assert!(entry_in_use(&tracker, "t-1").is_cold());
}
