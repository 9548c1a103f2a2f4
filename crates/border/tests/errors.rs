//! Document errors name the location and the remedy.

use std::fmt::Write;

use chicorycroft_border::{
    parsing::decode_text,
    prelude::*, //
};
use chicorycroft_core::prelude::*;

const INVENTORY: &str = "zones:
  - {id: muscat-1, region: muscat}
services:
  - {id: rate, floor: 0.5}
targets:
  - id: rate-1
    service: rate
    zone: muscat-1
    address: 127.0.0.1:9000
teams:
  - id: lusail
    key_digests: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]
    rate: 20
    burst: 10
routes:
  - {id: lookups, prefix: /rates, service: rate}
";

const RULES: &str = "rules:
  host_bound: 4
  bookings:
    - id: muscat-1-out
      start: 2026-12-05T01:00:00Z
      end: 2026-12-05T02:00:00Z
      action: {zone_out: muscat-1}
";

fn build(inventory: &str, rules: &str) -> Result<(), DocumentError> {
    let documents = [
        read_document("inventory.yaml", inventory)?,
        read_document("rules.yaml", rules)?,
    ];
    build_snapshot(ConfigVersion::new(1), &documents).map(|_| ())
}

/// Applies an edit to a valid pair of documents and returns the edit with the resulting error.
fn describe_edit(from: &str, to: &str) -> String {
    assert!(INVENTORY.contains(from) || RULES.contains(from), "{from}");
    let result = build(&INVENTORY.replace(from, to), &RULES.replace(from, to));
    let error = result.map_or_else(|error| error.to_string(), |()| "accepted".into());
    format!("{from} -> {to}\n    {error}\n")
}

/// Guards against errors without a location, or with the location of another entry.
#[test]
fn errors_name_place_and_remedy() {
    build(INVENTORY, RULES).unwrap();
    let edits = [
        ("service: rate\n", "service: rates\n"),
        ("zone: muscat-1", "zone: muscat-2"),
        ("zone: muscat-1", "zone: Muscat"),
        ("127.0.0.1:9000", "rate-1.example:9000"),
        ("rate: 20", "rate: .nan"),
        ("rate: 20", "rate: 1e300"),
        ("rate: 20", "rate: -1"),
        ("rate: 20", "rate: 99999999999999999999999"),
        ("rate: 20", "rate: twenty"),
        ("rate: 20", "rate: 20\n    rate: 30"),
        ("rate: 20", "rats: 20"),
        ("[aaaa", "[zaaa"),
        ("floor: 0.5", "floor: 1.5"),
        ("prefix: /rates", "prefix: rates"),
        (
            "{id: muscat-1, region: muscat}",
            "&a {id: muscat-1, region: muscat}\n  - *a",
        ),
        (
            "{id: muscat-1, region: muscat}",
            "[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]",
        ),
        ("routes:", "teams:"),
        ("{id: lookups", "{id: lookups, access: teams, teams: [doha]"),
        (
            "{id: lookups",
            "{id: other, prefix: /rates, service: rate}\n  - {id: lookups",
        ),
        (
            "{id: muscat-1, region: muscat}",
            "{id: muscat-1, region: muscat}\n  - {id: muscat-1, region: muscat}",
        ),
        ("T02:00:00Z", "T00:00:00Z"),
        ("T02:00:00Z", "T25:00:00Z"),
        ("zone_out: muscat-1", "zone_out: muscat-9"),
        (
            "zone_out: muscat-1",
            "team_limit: {team: lusail, rate: -1, burst: 1}",
        ),
        ("zone_out: muscat-1", "zone_off: muscat-1"),
        ("host_bound: 4", "host_bound: 0"),
        ("rules:\n", "zones:\n"),
    ];
    let mut text = String::new();
    for (from, to) in edits {
        text.push_str(&describe_edit(from, to));
    }
    writeln!(
        text,
        "empty: {}",
        read_document("a.yaml", "# nothing\n").unwrap_err()
    )
    .unwrap();
    let missing = build(INVENTORY, "zones: []").unwrap_err();
    writeln!(text, "no rules: {missing}").unwrap();
    let twice = build(&format!("{INVENTORY}{RULES}"), RULES).unwrap_err();
    writeln!(text, "rules twice: {twice}").unwrap();
    let bytes = decode_text("b.yaml", b"zones: []\n# \xff".to_vec()).unwrap_err();
    writeln!(text, "not UTF-8: {bytes}").unwrap();
    insta::assert_snapshot!(text);
}

/// Guards against settings errors without a location.
#[test]
fn settings_errors_name_place_and_remedy() {
    const SETTINGS: &str = "host: entry-1\nzone: muscat-1\nplatform: 127.0.0.1:7000\n";
    HostSettings::new(SETTINGS).unwrap();
    let edits = [
        ("entry-1", "Entry 1"),
        ("127.0.0.1:7000", "platform.example:7000"),
        ("zone: muscat-1\n", ""),
        ("host:", "hosts:"),
        ("host: entry-1", "host: entry-1\nhead_timeout_ms: 0"),
        (
            "host: entry-1",
            "host: entry-1\nconnections_max: 99999999999",
        ),
        ("host: entry-1", "host: entry-1\nhead_bytes_max: 1"),
        ("host: entry-1", "host: entry-1\nlog_level: loud"),
        (SETTINGS, ""),
        (SETTINGS, "null"),
        (SETTINGS, "[1, 2"),
    ];
    let mut text = String::new();
    for (from, to) in edits {
        let changed = SETTINGS.replace(from, to);
        let error = HostSettings::with_name("settings.yaml", &changed).unwrap_err();
        writeln!(text, "{from:?} -> {to:?}\n    {error}").unwrap();
    }
    insta::assert_snapshot!(text);
}

/// Guards against accepting an index that lists a part twice or with an invalid digest.
#[test]
fn index_errors_name_place() {
    let digest = "a".repeat(64);
    let part = format!("{{\"name\": \"zones\", \"version\": 1, \"digest\": \"{digest}\"}}");
    let twice = format!("{{\"version\": 2, \"parts\": [\n{part},\n{part}\n]}}");
    let wrong = format!("{{\"version\": 2, \"parts\": [\n{part}]}}").replace("aaa", "AAA");
    let mut text = String::new();
    for index in [&*twice, &*wrong, "{\"version\": 0, \"parts\": []}"] {
        writeln!(text, "{}", ConfigIndex::new(index).unwrap_err()).unwrap();
    }
    insta::assert_snapshot!(text);
}
