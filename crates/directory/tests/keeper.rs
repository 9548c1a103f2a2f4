//! The directory of a host that reads the store.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "helpers of tests may panic"
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

fn seen(id: &str, phase: TargetPhase) -> DirectoryChange {
    DirectoryChange::TargetSeen(entry(id, phase))
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn open_ids(keeper: &DirectoryKeeper) -> Vec<String> {
    let service = ServiceId::new("rate").unwrap();
    let open = keeper.directory().open_targets(&service);
    open.map(|entry| entry.id.to_string()).collect()
}

fn keeper_with_two() -> DirectoryKeeper {
    let mut keeper = DirectoryKeeper::new();
    let entries = vec![
        entry("t-1", TargetPhase::Ready),
        entry("t-2", TargetPhase::Ready),
    ];
    let as_of = (StoreRevision::new(10), StoreRevision::new(10));
    keeper.on_contact(at(0));
    keeper.replace(entries, IndexSet::new(), as_of, at(0));
    keeper
}

/// Guards against a leaving target that stays in use because the answer of the operators' watch, at a
/// later revision, was taken before that of the targets' watch.
#[test]
fn answer_about_targets_counts_after_a_later_one_about_operators() {
    let mut keeper = keeper_with_two();
    let later = StoreRevision::new(12);
    keeper.apply(StorePart::Operator, Vec::new(), later, at(100));
    let leaving = vec![seen("t-1", TargetPhase::Draining)];
    keeper.apply(StorePart::Targets, leaving, StoreRevision::new(11), at(110));
    assert_eq!(open_ids(&keeper), ["t-2"]);
}

/// Guards against hosts that hold different directories and take them for the same, because two changes
/// were read at one revision.
#[test]
fn each_change_has_another_digest() {
    let mut keeper = keeper_with_two();
    let revision = StoreRevision::new(11);
    let before = keeper.directory().content;
    let leaving = vec![seen("t-1", TargetPhase::Draining)];
    keeper.apply(StorePart::Targets, leaving, revision, at(10));
    let between = keeper.directory().content;
    let leaving = vec![seen("t-2", TargetPhase::Draining)];
    keeper.apply(StorePart::Targets, leaving, revision, at(20));
    assert_ne!(before, between);
    assert_ne!(between, keeper.directory().content);
}

/// Guards against an answer that came late bringing back what a later one has changed.
#[test]
fn older_answer_about_the_same_part_changes_nothing() {
    let mut keeper = keeper_with_two();
    let leaving = vec![seen("t-1", TargetPhase::Draining)];
    keeper.apply(StorePart::Targets, leaving, StoreRevision::new(15), at(10));
    let stale = vec![seen("t-1", TargetPhase::Ready)];
    keeper.apply(StorePart::Targets, stale, StoreRevision::new(14), at(20));
    assert_eq!(open_ids(&keeper), ["t-2"]);
}

/// Guards against losing live targets whose entries lapsed while the store was away.
#[test]
fn entry_that_lapsed_while_the_store_was_away_stays_for_two_seconds() {
    let mut keeper = keeper_with_two();
    keeper.on_failure(at(1000));
    keeper.on_contact(at(6000));
    let gone = DirectoryChange::TargetGone(TargetId::new("t-1").unwrap());
    keeper.apply(
        StorePart::Targets,
        vec![gone],
        StoreRevision::new(20),
        at(6000),
    );
    assert_eq!(open_ids(&keeper), ["t-1", "t-2"]);
    keeper.apply(
        StorePart::Targets,
        Vec::new(),
        StoreRevision::new(21),
        at(8000),
    );
    assert_eq!(open_ids(&keeper), ["t-1", "t-2"]);
    keeper.apply(
        StorePart::Targets,
        Vec::new(),
        StoreRevision::new(22),
        at(8400),
    );
    assert_eq!(open_ids(&keeper), ["t-2"]);
}

/// Guards against keeping a target that left while the store was there.
#[test]
fn entry_that_vanishes_in_quiet_times_is_gone_at_once() {
    let mut keeper = keeper_with_two();
    keeper.on_contact(at(900));
    let gone = DirectoryChange::TargetGone(TargetId::new("t-1").unwrap());
    keeper.apply(
        StorePart::Targets,
        vec![gone],
        StoreRevision::new(20),
        at(900),
    );
    assert_eq!(open_ids(&keeper), ["t-2"]);
}

/// Guards against a host that goes back to the directory of a host that reads behind it.
#[test]
fn directory_of_a_host_that_is_behind_is_refused() {
    let mut keeper = keeper_with_two();
    let behind = (*keeper.directory()).as_ref().clone();
    let leaving = vec![seen("t-1", TargetPhase::Draining)];
    let revision = StoreRevision::new(15);
    keeper.apply(StorePart::Targets, leaving, revision, at(10));
    keeper.apply(StorePart::Operator, Vec::new(), revision, at(10));
    assert!(!keeper.adopt(behind, true));
    assert_eq!(open_ids(&keeper), ["t-2"]);
}

/// Guards against a write of a target that reaches the store late and takes back that the target leaves.
#[test]
fn entry_with_a_lower_number_of_the_same_incarnation_is_left_out() {
    let mut keeper = keeper_with_two();
    let leaving = vec![seen("t-1", TargetPhase::Draining)];
    keeper.apply(StorePart::Targets, leaving, StoreRevision::new(15), at(10));
    let late = TargetEntry {
        sequence: 4,
        ..entry("t-1", TargetPhase::Ready)
    };
    let late = vec![DirectoryChange::TargetSeen(late)];
    keeper.apply(StorePart::Targets, late, StoreRevision::new(16), at(20));
    assert_eq!(open_ids(&keeper), ["t-2"]);
    let restarted = TargetEntry {
        sequence: 1,
        born: 2,
        ..entry("t-1", TargetPhase::Ready)
    };
    let restarted = vec![DirectoryChange::TargetSeen(restarted)];
    keeper.apply(
        StorePart::Targets,
        restarted,
        StoreRevision::new(17),
        at(30),
    );
    assert_eq!(open_ids(&keeper), ["t-1", "t-2"]);
}

/// Guards against keeping a target that left while nothing was written for longer than a watch waits.
#[test]
fn quiet_store_does_not_count_as_away() {
    let mut keeper = keeper_with_two();
    keeper.on_contact(at(9000));
    let gone = DirectoryChange::TargetGone(TargetId::new("t-1").unwrap());
    keeper.apply(
        StorePart::Targets,
        vec![gone],
        StoreRevision::new(20),
        at(9000),
    );
    assert_eq!(open_ids(&keeper), ["t-2"]);
}

/// Guards against keeping a target that left while the history was dropped and the watch was cut.
#[test]
fn one_cut_watch_does_not_count_as_away() {
    let mut keeper = keeper_with_two();
    keeper.on_failure(at(3000));
    keeper.on_contact(at(3400));
    let gone = DirectoryChange::TargetGone(TargetId::new("t-1").unwrap());
    keeper.apply(
        StorePart::Targets,
        vec![gone],
        StoreRevision::new(20),
        at(3400),
    );
    assert_eq!(open_ids(&keeper), ["t-2"]);
}

/// Guards against requests to a target that has said that it leaves: a peer's directory, later as a whole but read
/// earlier for targets, replaced that change, and the watch went on after it.
#[test]
fn directory_of_a_peer_does_not_undo_a_later_change() {
    let mut keeper = keeper_with_two();
    let mut peer = (**keeper.directory()).clone();
    let read_at = StoreRevision::new(20);
    let leaving = vec![seen("t-1", TargetPhase::Draining)];
    keeper.apply(StorePart::Targets, leaving, read_at, at(100));
    assert_eq!(open_ids(&keeper), ["t-2"]);
    assert!(keeper.directory().as_of < StoreRevision::new(15));
    peer.as_of = StoreRevision::new(15);
    assert!(!keeper.adopt(peer.clone(), true));
    assert_eq!(open_ids(&keeper), ["t-2"]);
    // One that was read as late in both parts counts.
    peer.as_of = read_at;
    assert!(keeper.adopt(peer, false));
}
