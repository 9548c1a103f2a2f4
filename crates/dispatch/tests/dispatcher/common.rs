//! Helpers of the tests: a configuration, directories and requests.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use indexmap::IndexMap;

/// Share of a dispatcher that decides for the whole fleet and has followers.
pub(crate) const WHOLE: FleetShare = FleetShare {
    fraction: CapacityRatio::from_mille(1000),
    zone_fraction: CapacityRatio::from_mille(1000),
    is_followed: true,
};

/// Requests per second that a cold target handles.
pub(crate) const COLD_RATE: f64 = 2.5;

pub(crate) fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

pub(crate) fn service() -> ServiceId {
    ServiceId::new("rate").unwrap()
}

pub(crate) fn zone() -> ZoneId {
    ZoneId::new("a").unwrap()
}

pub(crate) fn target(number: usize) -> TargetId {
    TargetId::new(&format!("t-{number}")).unwrap()
}

pub(crate) fn entry(number: usize) -> TargetEntry {
    TargetEntry {
        id: target(number),
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone(),
        slots: SlotCount::new(2),
        phase: TargetPhase::Ready,
        cold_left: Duration::ZERO,
        born: 1,
        sequence: 1,
    }
}

pub(crate) fn directory(entries: Vec<TargetEntry>) -> TargetDirectory {
    let mut directory = TargetDirectory::new();
    for entry in entries {
        directory.targets.insert(entry.id.clone(), entry);
    }
    directory.update_digest();
    directory
}

pub(crate) fn directory_of(count: usize) -> TargetDirectory {
    directory((0..count).map(entry).collect())
}

pub(crate) fn config() -> GatewayConfig {
    let terms = ServiceTerms {
        connections_max: 390,
        cold_rate: RequestRate::from_micros((COLD_RATE * 1e6) as u64),
    };
    let limits = CallerLimits {
        head_bytes_max: 16_384,
        body_bytes_max: 1 << 26,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let services = IndexMap::from([(service(), terms)]);
    GatewayConfig::new(
        ConfigVersion::new(1),
        Vec::new(),
        services,
        IndexMap::new(),
        limits,
    )
    .unwrap()
}

pub(crate) fn request(id: &str) -> AdmitRequest {
    AdmitRequest {
        request: id.into(),
        service: service(),
        zone: Some(zone()),
        charged_team: None,
        team: None,
        priority: 1,
        is_idempotent: false,
        is_repeat: false,
        wait_millis: 0,
        left_millis: 3000,
        objective_millis: None,
        connected: Vec::new(),
        least_trust: TargetTrust::Blocked,
        tried: Vec::new(),
    }
}

pub(crate) fn idempotent(id: &str) -> AdmitRequest {
    AdmitRequest {
        is_idempotent: true,
        ..request(id)
    }
}

/// Requests a permit and returns the answer.
pub(crate) fn admit(
    dispatcher: &ZoneDispatcher,
    directory: &TargetDirectory,
    request: &AdmitRequest,
    now: MonoTime,
) -> PoolAnswer {
    dispatcher.admit(request, &config(), directory, WHOLE, now)
}

/// Requests a permit that must be granted.
pub(crate) fn grant(
    dispatcher: &ZoneDispatcher,
    directory: &TargetDirectory,
    request: &AdmitRequest,
    now: MonoTime,
) -> DispatchGrant {
    match admit(dispatcher, directory, request, now) {
        PoolAnswer::Granted(grant) => grant,
        other => panic!("expected a grant, got {other:?}"),
    }
}

/// Returns the notice of an attempt that ended after 250 ms.
pub(crate) fn notice(grant: &DispatchGrant, result: AttemptResult) -> ReleaseNotice {
    ReleaseNotice {
        service: service(),
        zone: Some(zone()),
        target: grant.target.clone(),
        permit: grant.permit,
        result,
        elapsed_millis: 250,
        signals: None,
        host: None,
    }
}

/// Releases a permit with the result of its attempt.
pub(crate) fn release(
    dispatcher: &ZoneDispatcher,
    grant: &DispatchGrant,
    result: AttemptResult,
    now: MonoTime,
) -> QueueChange {
    dispatcher.release(&notice(grant, result), now).1
}
