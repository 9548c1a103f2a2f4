//! Requests go to targets with free capacity.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use chicorycroft_core::prelude::*;
use chicorycroft_placement::prelude::*;

fn candidate(name: &str, zone: &str) -> TargetCandidate {
    TargetCandidate {
        id: TargetId::new(name).unwrap(),
        zone: ZoneId::new(zone).unwrap(),
        is_suspect: false,
        is_excluded: false,
    }
}

/// Chooses with many random numbers and returns the names of the chosen targets.
fn chosen(chooser: &TargetChooser, candidates: &[TargetCandidate], now: MonoTime) -> Vec<String> {
    let zone = ZoneId::new("a").unwrap();
    let choose = |n: u64| {
        chooser.choose(
            candidates,
            &zone,
            n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            now,
        )
    };
    let mut names: Vec<String> = (0..64)
        .filter_map(|n| choose(n).chosen)
        .map(|id| id.to_string())
        .collect();
    names.sort();
    names.dedup();
    names
}

/// Guards against an overloaded own zone while another zone has capacity, and against needless
/// requests to other zones.
#[test]
fn other_zones_are_used_when_the_own_zone_is_loaded() {
    let chooser = TargetChooser::new();
    let candidates = [
        candidate("a1", "a"),
        candidate("a2", "a"),
        candidate("b1", "b"),
    ];
    assert_eq!(chosen(&chooser, &candidates, MonoTime::START), ["a1", "a2"]);
    chooser.on_report(&candidates[0].id, 2, 2, MonoTime::START);
    assert_eq!(chosen(&chooser, &candidates, MonoTime::START), ["a2"]);
    chooser.on_report(&candidates[1].id, 2, 2, MonoTime::START);
    assert_eq!(chosen(&chooser, &candidates, MonoTime::START), ["b1"]);
}

/// Guards against a second attempt at the same target, and against the use of a suspect while
/// others have capacity.
#[test]
fn tried_targets_are_skipped_and_suspects_come_last() {
    let chooser = TargetChooser::new();
    let mut candidates = [
        candidate("a1", "a"),
        candidate("a2", "a"),
        candidate("b1", "b"),
    ];
    candidates[0].is_excluded = true;
    candidates[1].is_suspect = true;
    assert_eq!(chosen(&chooser, &candidates, MonoTime::START), ["b1"]);
    let choice = chooser.choose(&candidates, &candidates[0].zone, 1, MonoTime::START);
    let skipped: Vec<SkipReason> = choice.skipped.iter().map(|(_, reason)| *reason).collect();
    assert_eq!(skipped, [SkipReason::Tried, SkipReason::Suspect]);
    chooser.on_report(&candidates[2].id, 2, 2, MonoTime::START);
    assert_eq!(chosen(&chooser, &candidates, MonoTime::START), ["a2"]);
}

/// Guards against a burst at the target with the least load in the last report, and against the use
/// of outdated reports.
#[test]
fn own_requests_count_and_reports_expire() {
    let chooser = TargetChooser::new();
    let candidates = [candidate("a1", "a"), candidate("a2", "a")];
    chooser.on_report(&candidates[0].id, 0, 2, MonoTime::START);
    chooser.on_report(&candidates[1].id, 1, 2, MonoTime::START);
    assert_eq!(chosen(&chooser, &candidates, MonoTime::START), ["a1"]);
    chooser.on_sent(&candidates[0].id);
    chooser.on_sent(&candidates[0].id);
    assert_eq!(chosen(&chooser, &candidates, MonoTime::START), ["a2"]);
    let later = MonoTime::from_millis(2_000);
    assert_eq!(chooser.load_of(&candidates[1].id, later), 0);
}
