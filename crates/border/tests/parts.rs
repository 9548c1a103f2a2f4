//! Parts of an inventory: their size limit, the round trip, and how much a change resends.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::collections::BTreeSet;

use chicorycroft_border::{
    parts::{
        PART_BYTES_MAX,
        WrittenParts, //
    },
    prelude::*,
};
use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;

fn team_lines(count: usize, rate_of_first: u32) -> String {
    let teams = (0..count).map(|number| {
        let digest = KeyDigest::of_key(number.to_string().as_bytes());
        let rate = if number == 0 { rate_of_first } else { 5 };
        format!("  - {{id: team-{number}, key_digests: ['{digest}'], rate: {rate}, burst: 2}}\n")
    });
    format!("teams:\n{}", teams.collect::<String>())
}

fn documents(teams: &str) -> Vec<SourceDocument> {
    let inventory = include_str!("../../../examples/trust/inventory.yaml");
    let rules = include_str!("../../../examples/trust/rules.yaml");
    let texts = [("inventory", inventory), ("rules", rules), ("more", teams)];
    let documents = texts.map(|(name, text)| read_document(name, text).unwrap());
    documents.into()
}

fn write(version: u64, previous: Option<&WrittenParts>, teams: &str) -> WrittenParts {
    let mut writer = PartWriter::new(ConfigVersion::new(version));
    if let Some(previous) = previous {
        let index = ConfigIndex::new(&previous.index).unwrap();
        writer = writer.with_previous(index).unwrap();
    }
    writer.write(&documents(teams)).unwrap()
}

/// Returns all records as text, in an order that does not depend on the documents.
fn records_of(documents: &[SourceDocument]) -> BTreeSet<String> {
    let snapshot = build_snapshot(ConfigVersion::new(1), documents).unwrap();
    let mut records = BTreeSet::from([format!("{:?}", snapshot.rules())]);
    records.extend(snapshot.zones().map(|zone| format!("{zone:?}")));
    records.extend(snapshot.services().map(|service| format!("{service:?}")));
    records.extend(snapshot.targets().map(|target| format!("{target:?}")));
    // The debug output of a key digest omits the digest on purpose.
    let keys = |team: &TeamRecord| {
        team.keys
            .iter()
            .map(ToString::to_string)
            .collect::<String>()
    };
    records.extend(
        snapshot
            .teams()
            .map(|team| format!("{team:?} {}", keys(team))),
    );
    records.extend(snapshot.routes().iter().map(|route| format!("{route:?}")));
    records
}

/// Guards against entries that are lost or changed when files are split into parts.
#[test]
fn parts_hold_the_same_records_and_match_index() {
    let teams = team_lines(2000, 5);
    let written = write(3, None, &teams);
    let index = ConfigIndex::new(&written.index).unwrap();
    assert_eq!(index.version(), ConfigVersion::new(3));
    assert_eq!(index.parts().len(), written.parts.len());
    let mut read_back = Vec::new();
    for part in index.parts() {
        let text = &written.parts[&part.name];
        assert_eq!(DocumentDigest::of_document(text.as_bytes()), part.digest);
        assert!(text.len() <= PART_BYTES_MAX);
        read_back.push(read_document(&part.name, text).unwrap());
    }
    assert_eq!(records_of(&read_back), records_of(&documents(&teams)));
}

/// Guards against a change to one team that resends the parts of other teams.
#[test]
fn change_to_one_team_changes_one_part() {
    let before = write(1, None, &team_lines(2000, 5));
    let after = write(2, Some(&before), &team_lines(2000, 7));
    let changed: Vec<_> = after
        .parts
        .iter()
        .filter(|(name, text)| before.parts.get(*name) != Some(*text))
        .collect();
    assert_eq!(
        changed.len(),
        1,
        "{:?}",
        changed.iter().map(|(name, _)| name).collect::<Vec<_>>()
    );
    assert!(changed[0].1.len() < 24_000, "{}", changed[0].1.len());
    let index = ConfigIndex::new(&after.index).unwrap();
    let newer = index
        .parts()
        .iter()
        .filter(|part| part.version == ConfigVersion::new(2));
    assert_eq!(newer.count(), 1);
}

/// Guards against moderate growth that changes the number of parts and so resends all of them.
#[test]
fn growth_keeps_number_of_parts() {
    let names = |written: &WrittenParts| written.parts.keys().cloned().collect::<Vec<_>>();
    let before = write(1, None, &team_lines(1500, 5));
    let grown = team_lines(2500, 5);
    let after = write(2, Some(&before), &grown);
    assert_eq!(names(&before), names(&after));
    let without_previous = write(2, None, &grown);
    assert_ne!(
        names(&without_previous),
        names(&after),
        "the growth must be large enough to change the number of parts"
    );
}

/// Guards against publishing a version that is not higher than the previous one, which the fleet would
/// ignore.
#[test]
fn version_must_increase() {
    let before = write(4, None, &team_lines(1, 5));
    let index = ConfigIndex::new(&before.index).unwrap();
    let error = PartWriter::new(ConfigVersion::new(4))
        .with_previous(index)
        .unwrap_err();
    assert!(matches!(error, PartError::OldVersion { .. }), "{error}");
}

/// Guards against a part that exceeds the maximum size of a value on the platform.
#[test]
fn part_above_the_size_limit_is_refused() {
    let zones = (0..40_000).map(|number| format!("  - {{id: z-{number}, region: r}}\n"));
    let text = format!("zones:\n{}", zones.collect::<String>());
    let documents = [read_document("zones.yaml", &text).unwrap()];
    let error = PartWriter::new(ConfigVersion::new(1))
        .write(&documents)
        .unwrap_err();
    assert!(error.to_string().contains("part zones has"), "{error}");
}
