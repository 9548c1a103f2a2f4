//! Properties of the plans that are drawn from seeds.

use std::time::Duration;

use chicorycroft_soak::prelude::*;

const LENGTH: Duration = Duration::from_secs(30);

/// Guards against failures that cannot be reproduced from their seed.
#[test]
fn seed_determines_the_plan() {
    let plan = |seed| SoakPlan::new(seed, LENGTH, 6, 6);
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7).faults, plan(8).faults);
}

/// Guards against kinds of faults that are never injected, faults that never overlap, and runs without a fault-free
/// end.
#[test]
fn plans_contain_all_kinds_of_faults_and_overlaps() {
    let mut kinds = std::collections::BTreeSet::new();
    for seed in 0..50 {
        let plan = SoakPlan::new(seed, LENGTH, 6, 6);
        let overlap = plan
            .faults
            .windows(2)
            .any(|pair| pair[0].at + pair[0].duration > pair[1].at);
        assert!(overlap, "seed {seed}");
        for fault in &plan.faults {
            assert!(fault.at + fault.duration < LENGTH - chicorycroft_soak::plan::FAULT_FREE_END);
            let name = format!("{:?}", fault.kind);
            kinds.insert(name.split('(').next().unwrap_or_default().to_owned());
        }
    }
    assert_eq!(kinds.len(), 18, "{kinds:?}");
}
