//! Hosts that were cut off from the store and from all other hosts.

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

fn tracker_with_two_targets() -> DirectoryTracker {
    let mut tracker = DirectoryTracker::new();
    let as_of = StorePosition::without_era(StoreRevision::new(10));
    tracker.on_contact(at(0));
    tracker.replace_zones(IndexSet::new(), as_of, at(0));
    tracker.replace_targets(vec![entry(1, 5), entry(2, 5)], as_of, at(0));
    tracker
}

/// Removes the entry of `t-1` at a revision.
fn remove_first(tracker: &mut DirectoryTracker, revision: u64, now: MonoTime) {
    let removed = vec![DirectoryChange::TargetRemoved(id(1))];
    let as_of = StorePosition::without_era(StoreRevision::new(revision));
    tracker.apply(StorePart::Targets, removed, as_of, now);
}

/// Returns the tracker of a host that reached nothing from 0 s to 6 s and then read that `t-1` is removed.
fn cut_tracker() -> DirectoryTracker {
    let mut tracker = tracker_with_two_targets();
    tracker.on_failure(at(1000));
    tracker.on_contact(at(6000));
    remove_first(&mut tracker, 30, at(6000));
    assert_eq!(open_ids(&tracker), ["t-1", "t-2"]);
    tracker
}

/// Returns the tracker of a host with contacts all the while, through others, until 6 s.
fn served_tracker() -> DirectoryTracker {
    let mut tracker = tracker_with_two_targets();
    for millis in (500..=6000).step_by(500) {
        tracker.on_any_contact(ContactAge::new(Duration::ZERO), at(millis));
    }
    tracker
}

/// Takes over the directory of the host that `follower` follows.
fn follow(
    follower: &mut DirectoryTracker,
    directory: &TargetDirectory,
    revision: u64,
    millis: u64,
) {
    let revisions = PartPositions::new(StorePosition::without_era(StoreRevision::new(revision)));
    follower.adopt(directory.clone(), revisions, true, at(millis));
}

/// Guards against requests to a target that left: the first host of a zone is back from a cut and is its dispatcher again
/// at once, and its followers took back from it an entry whose removal they had seen.
#[test]
fn follower_takes_back_no_entry_that_its_dispatcher_kept_in_a_cut() {
    let dispatcher = cut_tracker();
    let mut follower = served_tracker();
    let mut other = served_tracker();
    remove_first(&mut other, 20, at(4000));
    follow(&mut follower, other.directory(), 20, 4100);
    assert_eq!(open_ids(&follower), ["t-2"]);
    follow(&mut follower, dispatcher.directory(), 30, 6100);
    assert_eq!(open_ids(&follower), ["t-2"]);
    // A later write may be a late one for some seconds after the removal; then it shows that the target is live.
    let mut registered = (**dispatcher.directory()).clone();
    registered.targets.insert(id(1), entry(1, 6));
    registered.update_digest();
    follow(&mut follower, &registered, 31, 6300);
    assert_eq!(open_ids(&follower), ["t-2"]);
    follow(&mut follower, &registered, 31, 11_200);
    assert_eq!(open_ids(&follower), ["t-1", "t-2"]);
}

/// Guards against requests to a target that left: a follower that started during the cut has seen no removals.
#[test]
fn kept_entries_are_not_shared_with_followers() {
    let dispatcher = cut_tracker();
    let mut follower = DirectoryTracker::new();
    follower.on_any_contact(ContactAge::new(Duration::ZERO), at(5900));
    follow(&mut follower, &dispatcher.registered(), 30, 6100);
    assert_eq!(open_ids(&follower), ["t-2"]);
}

/// Guards against a host that keeps entries after its own cut for as long as after an outage, although another host tells
/// it that the store served it meanwhile.
#[test]
fn kept_entries_are_dropped_once_another_host_was_served_during_the_cut() {
    let (mut cut, served) = (cut_tracker(), served_tracker());
    let span = served.served_span(at(6050)).unwrap();
    assert!(cut.on_served(span, at(6050), at(6100)));
    assert_eq!(open_ids(&cut), ["t-2"]);
    assert!(cut.lapsed().is_empty());
    remove_second(&mut cut);
    assert!(open_ids(&cut).is_empty());
}

fn remove_second(tracker: &mut DirectoryTracker) {
    let removed = vec![DirectoryChange::TargetRemoved(id(2))];
    let as_of = StorePosition::without_era(StoreRevision::new(40));
    tracker.apply(StorePart::Targets, removed, as_of, at(6200));
}

/// Guards against a follower that takes its own cut for an outage, and keeps what its dispatcher has dropped.
#[test]
fn follower_that_was_cut_off_alone_keeps_no_entries() {
    let mut follower = tracker_with_two_targets();
    let mut dispatcher = served_tracker();
    remove_first(&mut dispatcher, 20, at(4000));
    let span = dispatcher.served_span(at(6000)).unwrap();
    // The follower has no verdict yet, so that there is none to drop.
    assert!(!follower.on_served(span, at(6000), at(6100)));
    follow(&mut follower, &dispatcher.registered(), 20, 6100);
    assert_eq!(open_ids(&follower), ["t-2"]);
}

/// Guards against dropping live targets after an outage: another host reached the store a moment earlier, has started
/// since, or was served until it was cut off itself.
#[test]
fn outage_that_another_host_noticed_too_is_not_refuted() {
    let spans = [(500, 0), (3400, 100), (60_000, 5000)];
    for (first_millis, last_millis) in spans {
        let mut tracker = cut_tracker();
        let span = ServedSpan {
            first_millis,
            last_millis,
        };
        assert!(!tracker.on_served(span, at(6100), at(6100)), "{span:?}");
        assert_eq!(open_ids(&tracker), ["t-1", "t-2"], "{span:?}");
    }
}

/// Guards against dropping live targets on the followers after an outage, because the directory of their dispatcher is
/// shared without the entries that lapsed.
#[test]
fn follower_keeps_lapsed_entries_by_its_own_evidence_of_an_outage() {
    let dispatcher = cut_tracker();
    let mut follower = tracker_with_two_targets();
    let span = dispatcher.served_span(at(6100)).unwrap();
    follower.on_served(span, at(6100), at(6100));
    follow(&mut follower, &dispatcher.registered(), 30, 6100);
    follower.on_any_contact(ContactAge::new(Duration::from_millis(100)), at(6100));
    assert_eq!(open_ids(&follower), ["t-1", "t-2"]);
    // The contents that both share are equal, so that the follower is not answered at once.
    assert_eq!(
        follower.registered().content,
        dispatcher.registered().content
    );
    follow(&mut follower, &dispatcher.registered(), 31, 7000);
    assert_eq!(open_ids(&follower), ["t-1", "t-2"]);
    follower.drop_lapsed(at(8500));
    assert_eq!(open_ids(&follower), ["t-2"]);
}

/// Guards against dropping a live target on the followers: it registered again, as their dispatcher has read.
#[test]
fn lapsed_entry_on_a_follower_stays_if_the_dispatcher_read_its_registration() {
    let mut dispatcher = cut_tracker();
    let mut follower = tracker_with_two_targets();
    follow(&mut follower, &dispatcher.registered(), 30, 6100);
    let registered = vec![DirectoryChange::TargetUpdated(entry(1, 6))];
    let as_of = StorePosition::without_era(StoreRevision::new(31));
    dispatcher.apply(StorePart::Targets, registered, as_of, at(7000));
    follow(&mut follower, &dispatcher.registered(), 31, 7100);
    follower.drop_lapsed(at(9000));
    assert_eq!(open_ids(&follower), ["t-1", "t-2"]);
}
