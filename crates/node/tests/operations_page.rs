//! Checks that the operations page lists the settings and metrics of the code.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_node::metrics::HostMetrics;
use chicorycroft_placement::prelude::*;
use chicorycroft_proxy::prelude::*;
use http::StatusCode;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const SETTINGS: &str = include_str!("../../border/schema/settings.schema.json");

/// Guards against settings that are missing on the page or have another default there.
#[test]
fn page_lists_every_setting_with_its_default() {
    let schema: serde_json::Value = serde_json::from_str(SETTINGS).unwrap();
    let required = schema["required"].as_array().unwrap();
    for (name, property) in schema["properties"].as_object().unwrap() {
        let default = match &property["default"] {
            serde_json::Value::Null => {
                assert!(required.iter().any(|field| field == name), "{name}");
                "required".to_owned()
            }
            serde_json::Value::String(text) => format!("`{text}`"),
            value => format!("`{value}`"),
        };
        let row = format!("| `{name}` | {default} |");
        assert!(PAGE.contains(&row), "{row} is missing");
    }
}

/// Guards against metrics that are missing on the page, and listed metrics that do not exist.
#[test]
fn page_lists_every_metric() {
    let metrics = HostMetrics::new().unwrap();
    let team = TeamId::new("lusail").unwrap();
    metrics.on_request(None, "refuse", StatusCode::NOT_FOUND);
    metrics.on_refusal(RefusalKind::NoRoute);
    metrics.on_attempt(AttemptOutcome::Good);
    metrics.on_token(&team, true);
    metrics.on_token(&team, false);
    metrics.on_ejection("slow");
    metrics.on_retry();
    metrics.on_queue_wait(Duration::ZERO);
    metrics.on_added_latency(Duration::ZERO);
    metrics.set_targets("in", 1);
    metrics.set_slots("limit", 1);
    metrics.set_peers("live", 1);
    let text = String::from_utf8(metrics.encode().unwrap()).unwrap();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let mut names: Vec<_> = types.filter_map(|line| line.split(' ').next()).collect();
    let rows = PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `chicorycroft_"));
    let rows = rows.filter_map(|row| row.split('`').next());
    let mut listed: Vec<_> = rows.map(|name| format!("chicorycroft_{name}")).collect();
    names.sort_unstable();
    listed.sort_unstable();
    assert_eq!(names, listed);
}
