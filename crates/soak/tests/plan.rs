//! Plans are drawn from their seed alone.

use std::time::Duration;

use chicorycroft_soak::prelude::*;

const LENGTH: Duration = Duration::from_secs(30);

/// Guards against a failure that cannot be played again.
#[test]
fn seed_decides_the_plan() {
    let plan = |seed| SoakPlan::new(seed, LENGTH, 6, 6);
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7).faults, plan(8).faults);
}

/// Guards against kinds of faults that no run has, faults that never overlap, and runs without a quiet end.
#[test]
fn plans_hold_all_kinds_in_series_and_overlapping() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..50 {
        let plan = SoakPlan::new(seed, LENGTH, 6, 6);
        let overlap = plan
            .faults
            .windows(2)
            .any(|pair| pair[0].at + pair[0].span > pair[1].at);
        assert!(overlap, "seed {seed}");
        for fault in &plan.faults {
            assert!(fault.at + fault.span < LENGTH - chicorycroft_soak::plan::QUIET_END);
            let name = format!("{:?}", fault.kind);
            kinds.insert(name.split('(').next().unwrap_or_default().to_owned());
        }
    }
    assert_eq!(kinds.len(), 16, "{kinds:?}");
}
