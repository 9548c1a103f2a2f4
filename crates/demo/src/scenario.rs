//! The teams, zones and targets of a run, and the configuration that lists them.

use std::net::SocketAddr;

use chicorycroft_core::prelude::*;
use smol_str::SmolStr;

/// The zones.
pub const ZONES: [&str; 3] = ["muscat-1", "muscat-2", "muscat-3"];
/// Zone that is taken out by a booking.
pub const ZONE_OUT: &str = "muscat-2";
/// Number of entry hosts in each zone.
pub const HOSTS_PER_ZONE: usize = 2;
/// Number of targets of service `rate`, three in each zone.
pub const RATE_TARGETS: usize = 9;
/// Number of targets of service `documents`, two in each zone.
pub const DOCUMENT_TARGETS: usize = 6;
/// Target with partial failures. It is in a zone that stays in use.
pub const GRAY_TARGET: &str = "rate-1";
/// Target that restarts and is cold.
pub const COLD_TARGET: &str = "rate-3";
/// Host with the planned stop.
pub const STOPPED_HOST: &str = "entry-muscat-3-b";
/// Host that crashes.
pub const CRASHED_HOST: &str = "entry-muscat-1-b";
/// Team whose first key is withdrawn.
pub const WITHDRAWN_KEY_TEAM: &str = "duqm-depot";

/// The limits of a team and the load that it offers.
#[derive(Clone, Copy, Debug)]
pub struct TeamProfile {
    /// Name of the team.
    pub id: &'static str,
    /// Rate, in requests per second.
    pub rate: u32,
    /// Burst, in requests.
    pub burst: u32,
    /// Mean rate of the offered load, in requests per second.
    pub offered_rate: f64,
}

/// The teams. `parcel-union` sends four times its rate.
pub const TEAMS: [TeamProfile; 6] = [
    team("customs-east", 60, 30, 48.0),
    team("parcel-union", 40, 20, 160.0),
    team("souk-couriers", 30, 15, 22.0),
    team("nizwa-post", 15, 10, 9.0),
    team(WITHDRAWN_KEY_TEAM, 12, 10, 7.0),
    team("masirah-mail", 5, 5, 2.0),
];

const fn team(id: &'static str, rate: u32, burst: u32, offered_rate: f64) -> TeamProfile {
    TeamProfile {
        id,
        rate,
        burst,
        offered_rate,
    }
}

/// Returns the API key of a team with a number.
pub fn team_key(team: &str, number: u32) -> String {
    format!("{team}-demo-key-{number}")
}

/// The configuration of a target, without its address.
#[derive(Clone, Debug)]
pub struct TargetConfig {
    /// Name of the target.
    pub id: SmolStr,
    /// Service of the target.
    pub service: &'static str,
    /// Zone of the target.
    pub zone: &'static str,
}

/// Returns the configuration of all targets, which are assigned to the zones in turn.
pub fn target_configs() -> Vec<TargetConfig> {
    let config = |service: &'static str, number: usize| TargetConfig {
        id: SmolStr::new(format!("{service}-{number}")),
        service,
        zone: ZONES[(number - 1) % ZONES.len()],
    };
    let rate = (1..=RATE_TARGETS).map(|number| config("rate", number));
    let documents = (1..=DOCUMENT_TARGETS).map(|number| config("documents", number));
    rate.chain(documents).collect()
}

/// Returns the names and zones of the hosts.
pub fn entry_hosts() -> Vec<(String, &'static str)> {
    let letters = ["a", "b"];
    let hosts = ZONES.into_iter().flat_map(|zone| {
        letters[..HOSTS_PER_ZONE]
            .iter()
            .map(move |letter| (format!("entry-{zone}-{letter}"), zone))
    });
    hosts.collect()
}

/// Returns the configuration part with zones, services, routes and targets.
pub fn inventory_part(targets: &[(TargetConfig, SocketAddr)]) -> String {
    let mut text = String::from("zones:\n");
    for zone in ZONES {
        text += &format!("  - {{id: {zone}, region: muscat}}\n");
    }
    text += "services:
  - {id: rate, floor: 0.7, deadline_ms: 3000, queue_wait_ms: 500, warm_up_answers: 10}
  - {id: documents, floor: 0.5, deadline_ms: 10000, queue_wait_ms: 1000, warm_up_answers: 10}
routes:
  - {id: health, prefix: /health, methods: [GET, HEAD], service: rate, access: open}
  - {id: rate-lookups, prefix: /rates, methods: [GET, HEAD], service: rate}
  - {id: label-purchases, prefix: /labels, methods: [POST], service: rate, idempotent: never}
  - {id: uploads, prefix: /declarations, methods: [PUT], service: documents}
targets:
";
    for (config, address) in targets {
        let TargetConfig { id, service, zone } = config;
        text +=
            &format!("  - {{id: {id}, service: {service}, zone: {zone}, address: '{address}'}}\n");
    }
    text
}

/// Returns the configuration part with the teams, with or without the first key of
/// [`WITHDRAWN_KEY_TEAM`].
pub fn teams_part(has_withdrawn_key: bool) -> String {
    let mut text = String::from("teams:\n");
    for TeamProfile {
        id, rate, burst, ..
    } in TEAMS
    {
        let numbers: &[u32] = match id {
            WITHDRAWN_KEY_TEAM if has_withdrawn_key => &[1, 2],
            WITHDRAWN_KEY_TEAM => &[2],
            _ => &[1],
        };
        let digest = |number: &u32| KeyDigest::of_key(team_key(id, *number).as_bytes()).to_string();
        let digests: Vec<String> = numbers.iter().map(digest).collect();
        let digests = digests.join(", ");
        text +=
            &format!("  - {{id: {id}, key_digests: [{digests}], rate: {rate}, burst: {burst}}}\n");
    }
    text
}

/// Returns the configuration part with the rules, and the booking that takes [`ZONE_OUT`] out if a time
/// span is given.
pub fn rules_part(zone_out: Option<(UnixTime, UnixTime)>) -> String {
    let host_bound = ZONES.len() * HOSTS_PER_ZONE;
    let mut text = format!("rules:\n  host_bound: {host_bound}\n");
    if let Some((start, end)) = zone_out {
        text += &format!(
            "  bookings:\n    - {{id: power-work, start: '{start}', end: '{end}', \
             action: {{zone_out: {ZONE_OUT}}}}}\n"
        );
    }
    text
}
