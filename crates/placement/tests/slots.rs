//! A target never gets more concurrent requests than it may work on.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use chicorycroft_core::prelude::*;
use chicorycroft_placement::prelude::*;
use quickcheck::{
    Gen,
    QuickCheck, //
};

const DEADLINE: MonoTime = MonoTime::from_millis(1_000);

fn target() -> TargetId {
    TargetId::new("t").unwrap()
}

fn started(slots: u16) -> SlotPool {
    let pool = SlotPool::new();
    pool.start_cold(&target(), SlotCount::new(slots), 3);
    pool
}

fn run(pool: &SlotPool, outcome: AttemptOutcome) {
    let permit = pool.try_acquire(&target(), DEADLINE, MonoTime::START);
    pool.release(permit.unwrap(), outcome, MonoTime::START);
}

fn warmed(slots: u16) -> SlotPool {
    let pool = started(slots);
    (0..3 * (slots - 1)).for_each(|_| run(&pool, AttemptOutcome::Good));
    assert_eq!(limit(&pool), slots);
    pool
}

fn limit(pool: &SlotPool) -> u16 {
    pool.usage(&target(), MonoTime::START).unwrap().limit
}

/// Guards against full load on a cold target before it has answered, or after a failure.
#[test]
fn cold_target_gains_slots_by_good_answers() {
    let pool = started(3);
    assert_eq!(limit(&pool), 1);
    (0..3).for_each(|_| run(&pool, AttemptOutcome::Good));
    assert_eq!(limit(&pool), 2);
    run(&pool, AttemptOutcome::Wrong);
    assert_eq!(limit(&pool), 1);
}

/// Guards against overload after a cold start while earlier requests still run.
#[test]
fn permits_of_earlier_epochs_keep_their_slots() {
    let pool = warmed(2);
    let old = pool.try_acquire(&target(), DEADLINE, MonoTime::START);
    pool.start_cold(&target(), SlotCount::new(2), 3);
    let refused = pool.try_acquire(&target(), DEADLINE, MonoTime::START);
    assert_eq!(refused, Err(SlotRefusal::Full { limit: 1 }));
    pool.release(old.unwrap(), AttemptOutcome::Good, MonoTime::START);
    run(&pool, AttemptOutcome::Good);
}

/// Guards against a slot that stays occupied forever when its permit is lost.
#[test]
fn lost_permit_is_reclaimed_after_its_deadline() {
    let pool = started(2);
    let lost = pool.try_acquire(&target(), DEADLINE, MonoTime::START);
    let acquire = |at| pool.try_acquire(&target(), MonoTime::from_millis(9_000), at);
    assert!(acquire(MonoTime::from_millis(1_400)).is_err());
    let next = acquire(MonoTime::from_millis(1_500)).unwrap();
    pool.release(
        lost.unwrap(),
        AttemptOutcome::Good,
        MonoTime::from_millis(1_600),
    );
    assert!(
        acquire(MonoTime::from_millis(1_600)).is_err(),
        "a late release freed another slot"
    );
    pool.release(next, AttemptOutcome::Good, MonoTime::from_millis(1_700));
}

/// Guards against full load on a target that turned cold without reporting it.
#[test]
fn signs_of_a_restart_reset_a_warm_target_to_cold() {
    let notice = |started_at: &str, is_cold| TargetNotice {
        started_at: Some(started_at.into()),
        is_cold,
        is_draining: false,
    };
    let pool = warmed(2);
    pool.on_notice(&target(), &notice("1", false));
    assert_eq!(limit(&pool), 2, "the first start time is no restart");
    pool.on_notice(&target(), &notice("2", false));
    assert_eq!(limit(&pool), 1, "changed start time");
    let pool = warmed(2);
    pool.on_notice(&target(), &notice("1", true));
    assert_eq!(limit(&pool), 1, "cold notice");
    for sign in [AttemptOutcome::Slow, AttemptOutcome::Shed] {
        let pool = warmed(4);
        run(&pool, AttemptOutcome::Cut);
        run(&pool, sign);
        assert_eq!(limit(&pool), 1, "broken connection, then {sign:?}");
    }
}

/// Guards against two concurrent requests at a target that restarted while it was warm: before its
/// first answer, only the refused connection shows the restart.
#[test]
fn refused_connection_limits_target_to_one_request() {
    let pool = warmed(2);
    let older = pool
        .try_acquire(&target(), DEADLINE, MonoTime::START)
        .unwrap();
    run(&pool, AttemptOutcome::Refused);
    assert_eq!(limit(&pool), 1);
    // An answer to a request from before the loss says nothing about the new process.
    pool.release(older, AttemptOutcome::Good, MonoTime::START);
    assert_eq!(limit(&pool), 1);
    run(&pool, AttemptOutcome::Good);
    assert_eq!(limit(&pool), 2);
}

/// Guards against two concurrent requests at a target whose restart broke only connections in use,
/// so that only the broken answers show it. After one broken answer, the next good one must restore
/// the limit.
#[test]
fn broken_answer_limits_target_to_one_request() {
    let pool = warmed(4);
    let older = [(); 2].map(|()| {
        pool.try_acquire(&target(), DEADLINE, MonoTime::START)
            .unwrap()
    });
    run(&pool, AttemptOutcome::Cut);
    assert_eq!(limit(&pool), 1);
    // Requests from before the break say nothing about the new process, whatever their outcome.
    for (permit, outcome) in older
        .into_iter()
        .zip([AttemptOutcome::Cut, AttemptOutcome::Good])
    {
        pool.release(permit, outcome, MonoTime::START);
        assert_eq!(limit(&pool), 1, "{outcome:?} of an older request");
    }
    run(&pool, AttemptOutcome::Good);
    assert_eq!(limit(&pool), 4, "one broken connection is no restart");
}

/// Guards against two concurrent requests at a target that restarted between two requests: its port
/// was open again before the next one, so that only the closed idle connections show the restart.
#[test]
fn closed_idle_connection_limits_target_to_one_request() {
    let pool = warmed(2);
    let older = pool
        .try_acquire(&target(), DEADLINE, MonoTime::START)
        .unwrap();
    pool.on_connection_lost(&target());
    assert_eq!(limit(&pool), 1);
    pool.release(older, AttemptOutcome::Good, MonoTime::START);
    assert_eq!(limit(&pool), 1);
    run(&pool, AttemptOutcome::Good);
    assert_eq!(limit(&pool), 2);
}

/// Guards against two concurrent requests at a cold target, one of them a probe: probes used to
/// take no slot, and a restarting target is probed while its port is closed and when it opens.
#[test]
fn probe_of_a_cold_target_takes_its_slot() {
    let pool = started(2);
    let now = MonoTime::START;
    let full = Err(SlotRefusal::Full { limit: 1 });
    let request = pool.try_acquire(&target(), DEADLINE, now).unwrap();
    assert_eq!(pool.try_acquire_probe(&target(), DEADLINE, now), full);
    pool.release(request, AttemptOutcome::Good, now);
    let probe = pool.try_acquire_probe(&target(), DEADLINE, now).unwrap();
    let probe = probe.expect("a slot is free");
    assert!(pool.try_acquire(&target(), DEADLINE, now).is_err());
    pool.release(probe, AttemptOutcome::Cancelled, now);

    // A target whose connection was refused may be cold when it accepts connections again.
    let pool = warmed(2);
    run(&pool, AttemptOutcome::Refused);
    let request = pool.try_acquire(&target(), DEADLINE, now).unwrap();
    assert_eq!(pool.try_acquire_probe(&target(), DEADLINE, now), full);
    pool.release(request, AttemptOutcome::Refused, now);

    // A warm target is probed also when all its slots are in use.
    let pool = warmed(2);
    let taken = [(); 2].map(|()| pool.try_acquire(&target(), DEADLINE, now).unwrap());
    assert_eq!(pool.try_acquire_probe(&target(), DEADLINE, now), Ok(None));
    for permit in taken {
        pool.release(permit, AttemptOutcome::Good, now);
    }
}

/// Guards against two concurrent requests at a target that reports that it is cold: consecutive
/// good answers used to raise its limit before it was warm.
#[test]
fn cold_notice_keeps_the_limit_despite_good_answers() {
    let notice = |is_cold| TargetNotice {
        started_at: Some("2".into()),
        is_cold,
        is_draining: false,
    };
    let pool = started(2);
    for _ in 0..100 {
        pool.on_notice(&target(), &notice(true));
        run(&pool, AttemptOutcome::Good);
        assert_eq!(limit(&pool), 1, "the target says that it is cold");
    }
    pool.on_notice(&target(), &notice(false));
    (0..100).for_each(|_| run(&pool, AttemptOutcome::Good));
    assert_eq!(limit(&pool), 2, "the target is warm");
}

/// Guards against a target that sheds load and still gets as much as before.
#[test]
fn shed_answers_halve_the_limit_and_good_ones_raise_it() {
    let pool = warmed(8);
    run(&pool, AttemptOutcome::Shed);
    assert_eq!(limit(&pool), 4);
    (0..3).for_each(|_| run(&pool, AttemptOutcome::Good));
    assert_eq!(limit(&pool), 5);
    (0..9).for_each(|_| run(&pool, AttemptOutcome::Shed));
    assert_eq!(limit(&pool), 1);
    (0..99).for_each(|_| run(&pool, AttemptOutcome::Good));
    assert_eq!(limit(&pool), 8);
}

/// Guards against new work for a target that is about to stop, and against aborting its requests in
/// flight.
#[test]
fn leaving_target_finishes_but_gets_nothing_new() {
    let pool = warmed(2);
    let running = pool.try_acquire(&target(), DEADLINE, MonoTime::START);
    let leaving = TargetNotice {
        is_draining: true,
        ..TargetNotice::default()
    };
    pool.on_notice(&target(), &leaving);
    let refused = pool.try_acquire(&target(), DEADLINE, MonoTime::START);
    assert_eq!(refused, Err(SlotRefusal::Stopping));
    assert_eq!(pool.usage(&target(), MonoTime::START).unwrap().in_flight, 1);
    pool.release(running.unwrap(), AttemptOutcome::Good, MonoTime::START);
}

/// Guards against any order of events that grants a permit beyond the limit.
#[test]
fn no_permit_beyond_the_limit() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let pool = started(4);
        let mut held = Vec::new();
        let mut now = MonoTime::START;
        for (step, number) in steps {
            now = now.after(std::time::Duration::from_millis(1));
            let outcomes = [
                AttemptOutcome::Good,
                AttemptOutcome::Shed,
                AttemptOutcome::Cut,
                AttemptOutcome::Slow,
            ];
            match step % 8 {
                0 => pool.start_cold(&target(), SlotCount::new(4), 3),
                1..4 => {
                    if !held.is_empty() {
                        let permit = held.swap_remove(usize::from(number) % held.len());
                        let outcome = outcomes[usize::from(step / 8 % 8).saturating_sub(4)];
                        pool.release(permit, outcome, now);
                    }
                }
                _ => {
                    let limit = pool.usage(&target(), now).unwrap().limit;
                    match pool.try_acquire(&target(), MonoTime::from_millis(60_000), now) {
                        Ok(_) if held.len() >= usize::from(limit.min(4)) => return false,
                        Ok(permit) => held.push(permit),
                        Err(_) if held.len() < usize::from(limit) => return false,
                        Err(_) => {}
                    }
                }
            }
        }
        true
    }
    let mut check = QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(200, 4));
    check.quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
