//! Lookup of the route, the team and the service of a request, and validity of keys.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test helpers may panic"
)]

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_directory::{
    prelude::*,
    routing::destination_of, //
};
use indexmap::IndexMap;

fn service(name: &str) -> ServiceId {
    ServiceId::new(name).unwrap()
}

fn route(name: &str, prefix: &str, destinations: &[(&str, u32)]) -> GatewayRoute {
    let destination = |&(name, weight): &(&str, u32)| RouteDestination {
        service: service(name),
        weight,
    };
    GatewayRoute {
        id: RouteId::new(name).unwrap(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        class: RequestClass::Idempotent,
        timeout: Some(Duration::from_secs(1)),
        objective: Duration::from_millis(800),
        priority: 2,
        destinations: destinations.iter().map(destination).collect(),
        attempts_max: 2,
        is_public: false,
    }
}

fn team(keys: &[&str]) -> TeamTerms {
    TeamTerms {
        keys: keys
            .iter()
            .map(|key| KeyDigest::of_key(key.as_bytes()))
            .collect(),
        priority: Some(1),
        rate: None,
        burst: BurstSize::ZERO,
    }
}

fn config(
    routes: Vec<GatewayRoute>,
    teams: &[(&str, &[&str])],
) -> Result<GatewayConfig, ConfigError> {
    let terms = ServiceTerms {
        connections_max: 1,
        cold_rate: RequestRate::ZERO,
    };
    let services = ["rate", "docs"].map(|name| (service(name), terms.clone()));
    let teams = teams
        .iter()
        .map(|(name, keys)| (TeamId::new(name).unwrap(), team(keys)));
    let limits = CallerLimits {
        head_bytes_max: 1,
        body_bytes_max: 1,
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let version = ConfigVersion::new(1);
    GatewayConfig::new(
        version,
        routes,
        services.into(),
        teams.collect::<IndexMap<_, _>>(),
        limits,
    )
}

fn index() -> RouteIndex {
    let routes = vec![
        route("short", "/a/", &[("rate", 1)]),
        route("long", "/a/b/", &[("docs", 1)]),
    ];
    RouteIndex::new(Arc::new(
        config(routes, &[("weavers", &["key-1"])]).unwrap(),
    ))
}

/// Guards against a route that matches requests of a longer prefix, of another host, or of a path that only begins
/// with the same letters.
#[test]
fn longest_prefix_of_the_host_wins() {
    let index = index();
    let name = |host, path| index.route(host, path).map(|route| route.id.to_string());
    assert_eq!(name("shop.example", "/a/b/c").unwrap(), "long");
    assert_eq!(name("SHOP.example:8080", "/a/c").unwrap(), "short");
    assert_eq!(name("shop.example", "/ab/"), Err(RoutingError::NoRoute));
    assert_eq!(name("other.example", "/a/c"), Err(RoutingError::NoRoute));
}

/// Guards against requests that run without a key or with one that no team holds.
#[test]
fn only_a_granted_key_opens_a_route() {
    let index = index();
    let route = index.route("shop.example", "/a/").unwrap();
    assert_eq!(index.team(route, None), Err(RoutingError::BadKey));
    assert_eq!(index.team(route, Some(b"key-2")), Err(RoutingError::BadKey));
    let team = index.team(route, Some(b"key-1")).unwrap();
    assert_eq!(team.map(TeamId::as_str), Some("weavers"));
    assert_eq!(index.priority(route, team), 1);
    assert_eq!(index.priority(route, None), 2);
}

/// Guards against a key that two teams hold, a route to a service that is not listed, and prefixes that
/// match in the middle of a segment.
#[test]
fn inconsistent_configurations_are_refused() {
    let shared = config(Vec::new(), &[("a", &["key"]), ("b", &["key"])]);
    assert!(matches!(shared, Err(ConfigError::SharedKey { .. })));
    let unknown = config(vec![route("r", "/a/", &[("gone", 1)])], &[]);
    assert!(matches!(unknown, Err(ConfigError::UnknownService { .. })));
    let bad_prefix = config(vec![route("r", "/a", &[("rate", 1)])], &[]);
    assert!(matches!(bad_prefix, Err(ConfigError::BadPrefix { .. })));
    let no_weight = config(vec![route("r", "/a/", &[("rate", 0)])], &[]);
    assert!(matches!(no_weight, Err(ConfigError::NoDestination { .. })));
}

/// Guards against a traffic split that ignores the weights or differs between hosts.
#[test]
fn split_keeps_its_weights_over_many_requests() {
    let route = route("r", "/a/", &[("rate", 90), ("docs", 10)]);
    let count = (0..10_000)
        .filter(|number| destination_of(&route, &format!("{number:x}")) == Some(&service("docs")))
        .count();
    assert!(
        (800..1200).contains(&count),
        "{count} of 10000 requests went to the destination with a tenth of the weight"
    );
}

/// Guards against a key that is accepted on a host without recent contact, which may have missed its withdrawal.
#[test]
fn keys_are_trusted_only_with_recent_store_contact() {
    let bound = Duration::from_secs(5);
    let mut contact = StoreContact::new();
    assert!(!contact.may_trust_keys(bound, MonoTime::START));
    contact.confirm(MonoTime::from_millis(1000));
    contact.confirm(MonoTime::from_millis(500));
    assert!(contact.may_trust_keys(bound, MonoTime::from_millis(5500)));
    assert!(!contact.may_trust_keys(bound, MonoTime::from_millis(5700)));
}

/// Guards against a withdrawn key that is accepted for too long on a host that has just started: the copy from its
/// peers is older than the process, and its age was limited to that of the process. Covers the failure of soak seed
/// 20.
#[test]
fn store_data_from_a_peer_may_be_older_than_the_process() {
    let bound = Duration::from_secs(5);
    let at = MonoTime::from_millis;
    let age = |millis| ContactAge::new(Duration::from_millis(millis));
    let mut contact = StoreContact::new();
    contact.confirm_aged(age(1900), at(200));
    assert_eq!(contact.age(at(200)), Some(age(1900)));
    assert!(contact.may_trust_keys(bound, at(2800)));
    assert!(!contact.may_trust_keys(bound, at(3000)));
    // An older copy that arrives later is ignored, and a newer one is used.
    contact.confirm_aged(age(2600), at(800));
    assert_eq!(contact.age(at(1000)), Some(age(2700)));
    contact.confirm_aged(age(2000), at(1000));
    assert_eq!(contact.age(at(1000)), Some(age(2000)));
}

/// Guards against a withdrawn key that is accepted without end: a host refused the configuration that withdraws it, and
/// counted later contacts with the store as proof that its copy was up to date.
#[test]
fn refused_configuration_ends_the_trust_in_keys() {
    let bound = Duration::from_secs(5);
    let at = MonoTime::from_millis;
    let position = |revision| StorePosition::without_era(StoreRevision::new(revision));
    let accepted = |version| ConfigOutcome::Accepted(ConfigVersion::new(version));
    let refused = ConfigOutcome::Refused(Some(ConfigVersion::new(1)));
    let mut contacts = CopyContacts::new();
    contacts.on_config_read(position(10), accepted(1));
    contacts.confirm(StorePart::Operator, at(1000));
    contacts.on_config_read(position(20), refused);
    contacts.confirm(StorePart::Operator, at(1500));
    // The answer to an earlier call arrives late.
    contacts.on_config_read(position(10), accepted(1));
    contacts.confirm(StorePart::Operator, at(5000));
    assert!(contacts.keys().may_trust_keys(bound, at(5500)));
    assert!(!contacts.keys().may_trust_keys(bound, at(5700)));
    // Evacuated zones are read on, and hosts that follow this one learn the age of its keys.
    let age = |millis| Some(ContactAge::new(Duration::from_millis(millis)));
    assert_eq!(contacts.part(StorePart::Operator).age(at(5700)), age(700));
    assert_eq!(
        contacts.shared_age(StorePart::Operator, at(5700)),
        age(4700)
    );
    // The operator publishes a version that this host accepts.
    contacts.on_config_read(position(30), accepted(3));
    contacts.confirm(StorePart::Operator, at(6000));
    assert!(contacts.keys().may_trust_keys(bound, at(6100)));
}
