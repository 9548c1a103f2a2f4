//! Teams, zones and targets, and the configuration that lists them.

use std::net::SocketAddr;

use chicorycroft_core::prelude::*;
use smol_str::SmolStr;

/// The zones.
pub const ZONES: [&str; 3] = ["muscat-1", "muscat-2", "muscat-3"];
/// Zone that a booking takes out.
pub const ZONE_OUT: &str = "muscat-2";
/// Entry hosts in each zone.
pub const HOSTS_PER_ZONE: usize = 2;
/// Targets of service `rate`; three in each zone.
pub const RATE_TARGETS: usize = 9;
/// Targets of service `documents`; two in each zone.
pub const DOCUMENT_TARGETS: usize = 6;
/// Target that fails in part. It is in a zone that stays in use.
pub const GRAY_TARGET: &str = "rate-1";
/// Target that restarts cold.
pub const COLD_TARGET: &str = "rate-3";
/// Host that stops as planned.
pub const STOPPED_HOST: &str = "entry-muscat-3-b";
/// Host that crashes.
pub const CRASHED_HOST: &str = "entry-muscat-1-b";
/// Team whose first key is withdrawn.
pub const KEY_TEAM: &str = "duqm-depot";

/// A team and what it sends.
#[derive(Clone, Copy, Debug)]
pub struct TeamSetting {
    /// Name of the team.
    pub id: &'static str,
    /// Its rate, in requests per second.
    pub rate: u32,
    /// Its burst, in requests.
    pub burst: u32,
    /// What it sends, in requests per second on average.
    pub offered: f64,
}

/// The teams. `parcel-union` sends four times its rate.
pub const TEAMS: [TeamSetting; 6] = [
    team("customs-east", 60, 30, 48.0),
    team("parcel-union", 40, 20, 160.0),
    team("souk-couriers", 30, 15, 22.0),
    team("nizwa-post", 15, 10, 9.0),
    team(KEY_TEAM, 12, 10, 7.0),
    team("masirah-mail", 5, 5, 2.0),
];

const fn team(id: &'static str, rate: u32, burst: u32, offered: f64) -> TeamSetting {
    TeamSetting {
        id,
        rate,
        burst,
        offered,
    }
}

/// Returns a key of a team.
pub fn key_of(team: &str, number: u32) -> String {
    format!("{team}-demo-key-{number}")
}

/// A target in the configuration.
#[derive(Clone, Debug)]
pub struct TargetPlace {
    /// Name of the target.
    pub id: SmolStr,
    /// Its service.
    pub service: &'static str,
    /// Its zone.
    pub zone: &'static str,
}

/// Returns the targets.
pub fn target_places() -> Vec<TargetPlace> {
    let place = |service: &'static str, number: usize| TargetPlace {
        id: SmolStr::new(format!("{service}-{number}")),
        service,
        zone: ZONES[(number - 1) % ZONES.len()],
    };
    let rate = (1..=RATE_TARGETS).map(|number| place("rate", number));
    let documents = (1..=DOCUMENT_TARGETS).map(|number| place("documents", number));
    rate.chain(documents).collect()
}

/// Returns the names and zones of the hosts.
pub fn host_places() -> Vec<(String, &'static str)> {
    let letters = ["a", "b"];
    let hosts = ZONES.into_iter().flat_map(|zone| {
        letters[..HOSTS_PER_ZONE]
            .iter()
            .map(move |letter| (format!("entry-{zone}-{letter}"), zone))
    });
    hosts.collect()
}

/// Writes zones, services, targets and routes.
pub fn inventory_part(targets: &[(TargetPlace, SocketAddr)]) -> String {
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
    for (place, address) in targets {
        let TargetPlace { id, service, zone } = place;
        text +=
            &format!("  - {{id: {id}, service: {service}, zone: {zone}, address: '{address}'}}\n");
    }
    text
}

/// Writes the teams, with the first key of [`KEY_TEAM`] or without it.
pub fn teams_part(has_old_key: bool) -> String {
    let mut text = String::from("teams:\n");
    for TeamSetting {
        id, rate, burst, ..
    } in TEAMS
    {
        let numbers: &[u32] = match id {
            KEY_TEAM if has_old_key => &[1, 2],
            KEY_TEAM => &[2],
            _ => &[1],
        };
        let digest = |number: &u32| KeyDigest::of_key(key_of(id, *number).as_bytes()).to_string();
        let digests: Vec<String> = numbers.iter().map(digest).collect();
        let digests = digests.join(", ");
        text +=
            &format!("  - {{id: {id}, key_digests: [{digests}], rate: {rate}, burst: {burst}}}\n");
    }
    text
}

/// Writes the rules, with the booking that takes a zone out.
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
