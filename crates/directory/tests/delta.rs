//! Differences between directories.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use quickcheck::QuickCheck;

/// Returns a directory with a target for each number; the numbers also determine phase and incarnation.
fn directory(numbers: &[u8], zones: &[u8]) -> TargetDirectory {
    let mut directory = TargetDirectory::new();
    for number in numbers {
        let id = TargetId::new(&format!("t-{}", number % 16)).unwrap();
        let entry = TargetEntry {
            id: id.clone(),
            service: ServiceId::new("rate").unwrap(),
            address: "10.0.0.1:80".parse().unwrap(),
            zone: ZoneId::new("a").unwrap(),
            slots: SlotCount::new(2),
            phase: match number % 3 {
                0 => TargetPhase::Draining,
                _ => TargetPhase::Ready,
            },
            cold_left: Duration::ZERO,
            born: u64::from(number / 64),
            sequence: 1,
        };
        directory.targets.insert(id, entry);
    }
    let zones = zones.iter().map(|zone| format!("z-{}", zone % 3));
    directory.evacuated = zones.map(|zone| ZoneId::new(&zone).unwrap()).collect();
    directory.update_digest();
    directory
}

/// Guards against a follower whose directory differs from that of its dispatcher after it applied the changes.
#[test]
fn changes_turn_the_base_into_the_other_directory() {
    fn check(base: (Vec<u8>, Vec<u8>), next: (Vec<u8>, Vec<u8>)) -> bool {
        let (base, next) = (directory(&base.0, &base.1), directory(&next.0, &next.1));
        let result = DirectoryDelta::new(&base, &next).apply(&base).unwrap();
        let mut ids: Vec<&TargetId> = result.targets.keys().collect();
        let mut expected: Vec<&TargetId> = next.targets.keys().collect();
        ids.sort();
        expected.sort();
        result.content == next.content && ids == expected && result.evacuated == next.evacuated
    }
    QuickCheck::new().quickcheck(check as fn((Vec<u8>, Vec<u8>), (Vec<u8>, Vec<u8>)) -> bool);
}

/// Guards against changes that are applied to another directory than the one that they were computed for.
#[test]
fn changes_apply_to_their_base_only() {
    let (base, next) = (directory(&[1, 2], &[]), directory(&[1, 2, 4], &[]));
    let delta = DirectoryDelta::new(&base, &next);
    assert!(delta.apply(&directory(&[1], &[])).is_none());
}
