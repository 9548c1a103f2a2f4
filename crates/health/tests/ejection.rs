//! Ejections never take a service below its floor.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_health::prelude::*;
use quickcheck::{
    Gen,
    QuickCheck,
    TestResult, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const TERM: Duration = Duration::from_secs(6);

fn service() -> ServiceId {
    ServiceId::new("rate").unwrap()
}

fn target(n: usize) -> TargetId {
    TargetId::new(&format!("t{n}")).unwrap()
}

fn lease(n: usize, number: u64) -> EjectionLease {
    let permit = PermitId {
        holder: HostId::new(&format!("h{n}")).unwrap(),
        incarnation: HostIncarnation::new(1),
        number,
    };
    EjectionLease::new(service(), target(n), permit)
}

fn arbiter(targets: usize, now: MonoTime) -> EjectionArbiter {
    let arbiter = EjectionArbiter::new(TERM);
    arbiter.start(&service(), now);
    arbiter.on_capacity(
        &service(),
        CapacityRatio::from_mille(700),
        (0..targets).map(target),
    );
    arbiter
}

enum Message {
    Request(EjectionRequest),
    Answer(usize, Result<EjectionGrant, EjectionRefusal>),
}

/// Runs ten owners that all want to eject their target, with lost, duplicated and late messages and
/// changes of the arbiter, and returns the maximum number of targets that were ejected at the same
/// time.
fn most_out(seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arbiter = arbiter(10, MonoTime::START);
    let mut leases: Vec<EjectionLease> = (0..10).map(|n| lease(n, 0)).collect();
    let mut in_flight: Vec<(u64, Message)> = Vec::new();
    let mut most = 0;
    for at in (0..90_000).step_by(100) {
        let now = MonoTime::from_millis(at);
        // The last 30 s, five terms, have one arbiter, and the allowance must be reached. Before,
        // the arbiter may change too often for any permit, which is allowed.
        if at < 60_000 && rng.random_bool(0.01) {
            arbiter = self::arbiter(10, now);
        }
        let due: Vec<_> = in_flight.extract_if(.., |(due, _)| *due <= at).collect();
        let mut sent = Vec::new();
        for (_, message) in due {
            match message {
                Message::Request(request) => {
                    let n = request.target.as_str()[1..].parse().unwrap();
                    sent.push(Message::Answer(n, arbiter.answer(&request, now)));
                }
                Message::Answer(n, Ok(grant)) => leases[n].on_grant(&grant, now),
                Message::Answer(n, Err(refusal)) if leases[n].is_valid(now) => {
                    leases[n].on_refusal(refusal);
                }
                Message::Answer(..) => {}
            }
        }
        for (n, lease) in leases.iter_mut().enumerate() {
            if lease.is_valid(now) && rng.random_bool(0.01) {
                sent.push(Message::Request(lease.release()));
            }
            if lease.has_ended(now) {
                *lease = self::lease(n, at + 1);
            }
            if rng.random_bool(0.1) {
                sent.extend(lease.next_request(now).map(Message::Request));
            }
        }
        for message in sent {
            for _ in 0..rng.random_range(0..3) {
                let is_late = rng.random_bool(0.1);
                let delay = rng.random_range(1..if is_late { 12_000 } else { 60 });
                in_flight.push((at + delay, message.clone()));
            }
        }
        most = most.max(leases.iter().filter(|lease| lease.is_valid(now)).count());
    }
    most
}

impl Clone for Message {
    fn clone(&self) -> Self {
        match self {
            Self::Request(request) => Self::Request(request.clone()),
            Self::Answer(n, answer) => Self::Answer(*n, answer.clone()),
        }
    }
}

/// Guards against more ejections than the floor allows, and against rules that grant none.
#[test]
fn ejections_stay_within_the_allowance() {
    fn holds(seed: u64) -> TestResult {
        match most_out(seed) {
            3 => TestResult::passed(),
            most => TestResult::error(format!("seed {seed}: {most} of 10 out, allowance 3")),
        }
    }
    let rounds = std::env::var("EJECTION_ROUNDS").map_or(60, |rounds| rounds.parse().unwrap());
    let check = QuickCheck::new().tests(rounds).max_tests(rounds);
    let mut check = check.rng(Gen::from_size_and_seed(100, 1));
    check.quickcheck(holds as fn(u64) -> TestResult);
}

/// Guards against an allowance that still counts the targets of a zone that operators took out.
#[test]
fn zone_that_is_taken_out_shrinks_the_allowance() {
    let arbiter = arbiter(10, MonoTime::START);
    let now = MonoTime::from_millis(6_000);
    let ask =
        |lease: &mut EjectionLease, now| arbiter.answer(&lease.next_request(now).unwrap(), now);
    let mut leases: Vec<EjectionLease> = (0..4).map(|n| lease(n, 0)).collect();
    for lease in &mut leases[..3] {
        let grant = ask(lease, now).unwrap();
        lease.on_grant(&grant, now);
    }
    let full = Err(EjectionRefusal::FloorReached { allowance: 3 });
    assert_eq!(ask(&mut leases[3], now), full);
    arbiter.on_capacity(
        &service(),
        CapacityRatio::from_mille(700),
        (0..6).map(target),
    );
    assert!(ask(&mut leases[0], now).is_ok());
    let shrunk = EjectionRefusal::FloorReached { allowance: 1 };
    assert_eq!(ask(&mut leases[1], now), Err(shrunk));
    leases[1].on_refusal(shrunk);
    assert!(!leases[1].is_valid(now));
    assert_eq!(ask(&mut lease(8, 0), now), Err(EjectionRefusal::NotInUse));
}

/// Guards against a late grant with which the holder ejects for longer than the arbiter assumes.
#[test]
fn lease_runs_from_the_sending_of_the_request() {
    let arbiter = arbiter(10, MonoTime::START);
    let sent = MonoTime::from_millis(10_000);
    let mut lease = lease(0, 0);
    let request = lease.next_request(sent).unwrap();
    let grant = arbiter.answer(&request, sent).unwrap();
    lease.on_grant(&grant, MonoTime::from_millis(15_000));
    assert!(lease.is_valid(MonoTime::from_millis(15_999)));
    assert!(!lease.is_valid(MonoTime::from_millis(16_000)));
    assert!(lease.has_ended(MonoTime::from_millis(16_000)));
    lease.on_grant(&grant, MonoTime::from_millis(16_000));
    assert!(
        !lease.is_valid(MonoTime::from_millis(16_000)),
        "an ended lease became valid again"
    );
}
