//! Changes between versions of the configuration.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use indexmap::IndexMap;
use quickcheck::{
    Gen,
    QuickCheck,
    TestResult, //
};

/// Fields of a route or team that may differ between versions, by its number.
type Parts = Vec<(u8, u8)>;

fn route(number: u8, variant: u8) -> GatewayRoute {
    GatewayRoute {
        id: RouteId::new(&format!("route-{number}")).unwrap(),
        host: "shop.example".into(),
        prefix: format!("/{number}/").into(),
        class: RequestClass::Idempotent,
        timeout: None,
        objective: Duration::from_millis(u64::from(variant)),
        priority: 1,
        destinations: vec![RouteDestination {
            service: ServiceId::new("rate").unwrap(),
            weight: 1,
        }],
        attempts_max: 1,
        is_public: true,
    }
}

fn team(number: u8, variant: u8) -> (TeamId, TeamTerms) {
    let terms = TeamTerms {
        keys: vec![KeyDigest::of_key(&[number, variant])],
        priority: Some(variant),
        rate: None,
        burst: BurstSize::ZERO,
    };
    (TeamId::new(&format!("team-{number}")).unwrap(), terms)
}

fn config(version: u64, routes: &Parts, teams: &Parts) -> GatewayConfig {
    let terms = ServiceTerms {
        connections_max: 1,
        cold_rate: RequestRate::ZERO,
    };
    let services = IndexMap::from([(ServiceId::new("rate").unwrap(), terms)]);
    let limits = CallerLimits {
        head_bytes_max: 1,
        body_bytes_max: version,
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let routes: IndexMap<u8, u8> = routes.iter().copied().collect();
    let routes = routes
        .into_iter()
        .map(|(number, variant)| route(number, variant));
    let teams: IndexMap<u8, u8> = teams.iter().copied().collect();
    let teams = teams
        .into_iter()
        .map(|(number, variant)| team(number, variant));
    GatewayConfig::new(
        ConfigVersion::new(version),
        routes.collect(),
        services,
        teams.collect(),
        limits,
    )
    .unwrap()
}

/// Returns the routes by their names, and the rest of a configuration.
fn parts_of(config: &GatewayConfig) -> (IndexMap<RouteId, GatewayRoute>, impl PartialEq + use<'_>) {
    let routes = config.routes().iter();
    let routes = routes.map(|route| (route.id.clone(), route.clone()));
    let rest = (
        config.version(),
        config.teams(),
        config.services(),
        config.limits(),
    );
    (routes.collect(), rest)
}

fn history(configs: &[&GatewayConfig]) -> ConfigHistory {
    let mut history = ConfigHistory::new();
    for config in configs {
        history.push(config);
    }
    history
}

/// Guards against a host that has another configuration than the one that it was sent the changes of: routes, teams or
/// keys that were added, changed or removed differ from those that operators wrote.
#[test]
fn changes_lead_to_the_configuration_that_operators_wrote() {
    fn property(first: (Parts, Parts), second: (Parts, Parts)) -> bool {
        let before = config(1, &first.0, &first.1);
        let after = config(2, &second.0, &second.1);
        let history = history(&[&before, &after]);
        let change = history.change_since(Some(config_base(&before)), &after);
        let applied = change.apply(Some(&before)).unwrap();
        parts_of(&applied) == parts_of(&after)
    }
    QuickCheck::new()
        .rng(Gen::new(40))
        .tests(2000)
        .quickcheck(property as fn(_, _) -> _);
}

/// Guards against changes that are applied to another configuration than the one that they were made for.
#[test]
fn changes_of_another_configuration_are_refused() {
    fn property(first: Parts, other: Parts, added: (u8, u8)) -> TestResult {
        let before = config(1, &first, &Parts::new());
        let other = config(1, &other, &Parts::new());
        if before == other {
            return TestResult::discard();
        }
        let routes = [first.clone(), vec![added]].concat();
        let after = config(2, &routes, &Parts::new());
        let history = history(&[&before, &after]);
        let base = Some(config_base(&before));
        let is_refused = match history.change_since(base, &after) {
            ConfigChange::Changed(delta) => delta.apply(&other).is_none(),
            // Most routes have changed.
            ConfigChange::Whole(_) => true,
        };
        // A host that states a configuration that is not known gets the whole one.
        let unknown = history.change_since(Some(config_base(&other)), &after);
        let is_whole = matches!(unknown, ConfigChange::Whole(_));
        TestResult::from_bool(is_refused && is_whole)
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(_, _, _) -> _);
}

/// Guards against a link that is filled by each change of one route.
#[test]
fn change_of_one_route_holds_that_route_only() {
    let routes: Parts = (0..200).map(|number| (number, 0)).collect();
    let mut changed = routes.clone();
    changed[7].1 = 1;
    let (before, after) = (
        config(1, &routes, &Parts::new()),
        config(2, &changed, &Parts::new()),
    );
    let history = history(&[&before, &after]);
    let change = history.change_since(Some(config_base(&before)), &after);
    assert_eq!(change.route_count(), 1);
}
