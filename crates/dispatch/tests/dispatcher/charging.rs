//! Charging of requests to their teams: which requests use up a team's rate.

use std::collections::VecDeque;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use indexmap::IndexMap;

use crate::common::*;

/// Requests per second, and requests at once, of the team.
const TEAM_RATE: u32 = 40;

/// Time that a request takes at a target, in milliseconds.
const WORK_MILLIS: u64 = 200;

fn team() -> TeamId {
    TeamId::new("crowd").unwrap()
}

/// Returns a configuration with a team that has a rate.
fn config_with_rate() -> GatewayConfig {
    let base = config();
    let terms = TeamTerms {
        keys: Vec::new(),
        priority: None,
        rate: Some(RequestRate::from_whole(TEAM_RATE)),
        burst: BurstSize::from_whole(TEAM_RATE),
    };
    let services = IndexMap::from([(service(), base.service(&service()).unwrap().clone())]);
    GatewayConfig::new(
        ConfigVersion::new(2),
        Vec::new(),
        services,
        IndexMap::from([(team(), terms)]),
        base.limits(),
    )
    .unwrap()
}

/// Returns a request of the team that was not charged before.
fn uncharged(number: u64, wait_millis: u32) -> AdmitRequest {
    AdmitRequest {
        charged_team: Some(team()),
        team: Some(team()),
        wait_millis,
        ..request(&number.to_string())
    }
}

/// Plays ten seconds in which the team sends eight times its rate through several zones whose dispatchers have equal shares
/// and move tokens each half second. Each request asks the zones in turn. Returns the requests granted.
fn play_overload(zone_count: u64, targets_per_zone: usize) -> u64 {
    let (config, directory) = (config_with_rate(), directory_of(targets_per_zone));
    let dispatchers: Vec<ZoneDispatcher> = (0..zone_count).map(ZoneDispatcher::new).collect();
    let share = FleetShare {
        fraction: CapacityRatio::from_mille(u16::try_from(1000 / zone_count).unwrap()),
        ..WHOLE
    };
    let mut running: VecDeque<(u64, usize, DispatchGrant)> = VecDeque::new();
    let mut granted = 0;
    // The first second uses up the burst and is not counted.
    for (turn, micros) in (0..11_000_000).step_by(3125).enumerate() {
        let millis = micros / 1000;
        while let Some((_, zone, grant)) = running.pop_front_if(|(end, ..)| *end <= millis) {
            release(&dispatchers[zone], &grant, AttemptResult::Good, at(millis));
        }
        if turn % 160 == 0 {
            for (zone, to) in dispatchers.iter().enumerate() {
                let wanted = to.teams().shortages(at(millis));
                for (other, from) in dispatchers.iter().enumerate() {
                    if other != zone {
                        let given = from.teams().give(&wanted, &config, at(millis));
                        to.teams().receive(&given);
                    }
                }
            }
        }
        for step in 0..dispatchers.len() {
            let zone = (turn + step) % dispatchers.len();
            let request = uncharged(turn as u64, 0);
            let answer = dispatchers[zone].admit(&request, &config, &directory, share, at(millis));
            if let PoolAnswer::Granted(grant) = answer {
                granted += u64::from(millis >= 1000);
                running.push_back((millis + WORK_MILLIS, zone, grant));
                break;
            }
        }
    }
    granted
}

/// Guards against a team that gets less than its rate while it asks for more, because requests that found no slot used
/// it up: a zone has slots for a part of the rate only, so that most requests ask several zones.
#[test]
fn team_gets_its_whole_rate_although_zones_are_busy() {
    for zone_count in [3, 4, 5, 10] {
        // Half more slots than the rate needs, over all zones.
        let slots = u64::from(TEAM_RATE) * WORK_MILLIS / 1000 * 3 / 2;
        let targets = usize::try_from(slots.div_ceil(2 * zone_count)).unwrap();
        let granted = play_overload(zone_count, targets);
        let owed = u64::from(TEAM_RATE) * 10;
        assert!(
            granted * 100 >= owed * 98,
            "{granted} of {owed} requests in ten seconds with {zone_count} zones"
        );
        assert!(
            granted <= owed + u64::from(TEAM_RATE),
            "{granted} requests where {owed} and a burst of {TEAM_RATE} are allowed"
        );
    }
}

/// Guards against a request that uses up a team's rate although it was refused for want of a slot, after a wait or
/// because its caller disconnected.
#[test]
fn request_that_is_not_sent_gives_its_token_back() {
    let (config, directory) = (config_with_rate(), directory_of(1));
    let dispatcher = ZoneDispatcher::new(0);
    let admit = |number, wait, millis| {
        let request = uncharged(number, wait);
        dispatcher.admit(&request, &config, &directory, WHOLE, at(millis))
    };
    let spent = || dispatcher.teams().usage()[0].spent;
    // Two requests take both slots of the only target.
    assert!(matches!(admit(1, 0, 10_000), PoolAnswer::Granted(_)));
    assert!(matches!(admit(2, 0, 10_000), PoolAnswer::Granted(_)));
    assert!(matches!(admit(3, 0, 10_000), PoolAnswer::Busy { .. }));
    assert_eq!(spent(), 2);
    let PoolAnswer::Waiting(left) = admit(4, 1000, 10_000) else {
        panic!("expected a waiting request");
    };
    assert!(matches!(admit(5, 1000, 10_000), PoolAnswer::Waiting(_)));
    assert_eq!(spent(), 4);
    dispatcher.cancel(&service(), Some(&zone()), left);
    assert_eq!(spent(), 3);
    let change = dispatcher.serve_queues(&directory, at(11_000));
    assert_eq!((change.granted.len(), change.expired.len()), (0, 1));
    assert_eq!(spent(), 2);
}

/// Guards against permits whose release is lost and that count for their team for ever, so that its requests wait behind
/// those of all other teams.
#[test]
fn lost_release_does_not_count_for_its_team_for_ever() {
    let (config, directory) = (config_with_rate(), directory_of(1));
    let dispatcher = ZoneDispatcher::new(0);
    let admit = |request: &AdmitRequest, millis| {
        dispatcher.admit(request, &config, &directory, WHOLE, at(millis))
    };
    // Permits of the team whose releases are lost; they expire with their requests.
    for number in 0..2 {
        let answer = admit(&uncharged(number, 0), 10_000);
        assert!(matches!(answer, PoolAnswer::Granted(_)));
    }
    let other = AdmitRequest {
        team: Some(TeamId::new("weaver").unwrap()),
        wait_millis: 1000,
        ..request("other")
    };
    // The other team holds both slots, and a request of each team waits.
    let PoolAnswer::Granted(held) = admit(&other, 20_000) else {
        panic!("expected a grant");
    };
    assert!(matches!(admit(&other, 20_000), PoolAnswer::Granted(_)));
    assert!(matches!(admit(&other, 20_001), PoolAnswer::Waiting(_)));
    let PoolAnswer::Waiting(crowd) = admit(&uncharged(9, 1000), 20_002) else {
        panic!("expected a waiting request");
    };
    let change = release(&dispatcher, &held, AttemptResult::Good, at(20_100));
    assert_eq!(change.granted[0].0, crowd);
}
