//! Replays of load that is too much for the slots: who is answered in time, and who is turned away. The pool completes
//! 40 requests per second for 8 s.

use crate::overload::*;

/// Prints the figures of a replay, which commits state, and returns those of all groups together.
fn report(name: &str, results: &[GroupResult]) -> GroupResult {
    let sum = |value: fn(&GroupResult) -> u64| results.iter().map(value).sum::<u64>();
    for (group, result) in results.iter().enumerate() {
        println!("{name} group={group} {result:?}");
    }
    let all = GroupResult {
        in_time: sum(|result| result.in_time),
        late: sum(|result| result.late),
        refused: sum(|result| result.refused),
        held: sum(|result| result.held),
        returned: sum(|result| result.returned),
        kept: sum(|result| result.kept),
    };
    println!("{name} sum {all:?}");
    all
}

fn teams(rate: u64) -> Vec<CallerGroup> {
    ["a", "b", "c", "d", "e"]
        .into_iter()
        .map(|team| CallerGroup::new(team, 1, rate))
        .collect()
}

/// Guards against slots that go to callers who return after their objective, while newcomers who could be answered in
/// time are refused, against requests that wait in vain, and against returns that are turned away again.
#[test]
fn most_slots_answer_in_time_at_one_and_a_half_to_three_times_the_load() {
    for rate in [12, 16, 24] {
        let results = OverloadReplay::play(teams(rate));
        let all = report(&format!("load-{rate}"), &results);
        assert!(all.in_time >= 335, "{all:?}");
        assert!(all.late <= 5 && all.held <= 30, "{all:?}");
        assert!(all.returned >= 100, "{all:?}");
        assert_eq!(all.kept, all.returned, "{all:?}");
    }
}

/// Guards against low priorities that get nothing while a higher one asks for more than all slots.
#[test]
fn lower_priorities_get_their_floor() {
    let groups = vec![
        CallerGroup::new("a", 0, 60),
        CallerGroup::new("b", 1, 10),
        CallerGroup::new("c", 2, 10),
    ];
    let results = OverloadReplay::play(groups);
    let all = report("starvation", &results);
    assert!(results[0].in_time >= 280, "{results:?}");
    for lower in &results[1..] {
        assert!(lower.in_time >= 24, "{results:?}");
        assert!(lower.in_time + lower.late <= 50, "{results:?}");
    }
    assert!(all.held <= 30, "{all:?}");
}

/// Guards against a team that sends eight times its usual load and takes the slots of those that send theirs.
#[test]
fn team_at_eight_times_its_usual_load_leaves_the_others_their_slots() {
    let mut groups = teams(8);
    groups[0].rate *= 8;
    let results = OverloadReplay::play(groups);
    let all = report("crowd", &results);
    for other in &results[1..] {
        assert!(other.in_time >= 60, "{results:?}");
    }
    assert!(all.in_time >= 320 && all.held <= 30, "{all:?}");
}

/// Guards against routes with short objectives that get nothing beside those with long ones.
#[test]
fn short_objectives_are_met_beside_long_ones() {
    let groups = vec![
        CallerGroup::new("a", 1, 20).with_times(400, 1200),
        CallerGroup::new("a", 1, 20).with_times(3000, 6000),
        CallerGroup::new("b", 1, 20).with_times(600, 1500),
        CallerGroup::new("b", 1, 20).with_times(400, 10_000),
    ];
    let results = OverloadReplay::play(groups);
    let all = report("mixed", &results);
    for kind in &results {
        assert!(kind.in_time >= 30, "{results:?}");
    }
    assert!(all.in_time >= 315, "{all:?}");
}

/// Guards against a team that gets more because it repeats its requests as soon as they are refused.
#[test]
fn repeating_at_once_gains_nothing() {
    let mut groups = teams(16);
    groups[0].repeats_at_once = true;
    let results = OverloadReplay::play(groups);
    report("repeats", &results);
    let best = results[1..].iter().map(|other| other.in_time).max();
    assert!(Some(results[0].in_time) <= best, "{results:?}");
    for other in &results[1..] {
        assert!(other.in_time >= 58, "{results:?}");
    }
}

/// Guards against a burst of one team, and the returns of its callers, that take the slots of the other teams.
#[test]
fn burst_of_one_team_leaves_the_others_their_slots() {
    let mut groups = teams(8);
    (groups[0].rate, groups[0].sends) = (100, (1000, 2000));
    let results = OverloadReplay::play(groups);
    let all = report("burst", &results);
    for other in &results[1..] {
        assert!(other.in_time >= 60, "{results:?}");
    }
    assert!(all.held <= 20, "{all:?}");
}
