//! Single rules of the ledger.

#![expect(
    clippy::unwrap_used,
    reason = "a test fails on what it does not expect"
)]

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_limits::prelude::*;

const START: MonoTime = MonoTime::from_millis(10_000);

fn team() -> TeamId {
    TeamId::new("lusail").unwrap()
}

fn ledger(host: &str) -> TokenLedger {
    TokenLedger::new(HostId::new(host).unwrap(), HostIncarnation::new(1), START)
}

fn terms(rate: &str, burst: &str, bound: u32, live: u32) -> LimitTerms {
    LimitTerms::new(rate.parse().unwrap(), burst.parse().unwrap(), bound, live)
}

fn later(millis: u64) -> MonoTime {
    START.after(Duration::from_millis(millis))
}

fn take_all(ledger: &TokenLedger, terms: &LimitTerms, now: MonoTime) -> usize {
    let take = |_: &usize| ledger.try_take(&team(), terms, now).is_ok();
    (0..1000).take_while(take).count()
}

/// Guards against a burst that rounding makes unusable: a burst of one must allow one request.
#[test]
fn whole_burst_is_usable_on_a_single_host() {
    for (burst, usable) in [("1", 1), ("20", 20), ("0.9", 0), ("0", 0)] {
        let terms = terms("2", burst, 1, 1);
        assert_eq!(
            take_all(&ledger("a"), &terms, later(60_000)),
            usable,
            "{burst}"
        );
    }
}

/// Guards against division by a rate of zero, and against overflow at the largest limits.
#[test]
fn extreme_limits_neither_panic_nor_mint_beyond_the_burst() {
    let held = |rate: &str, burst: &str, now: MonoTime| {
        let terms = terms(rate, burst, 1, 1);
        ledger("a").balance(&team(), &terms, now).as_micros()
    };
    let end = MonoTime::from_micros(u64::MAX);
    assert_eq!(held("0", "10", end), 0);
    assert!(held("1000000000", "1000000000", end) <= 1_000_000_000_000_000);
    assert!(held("0.000001", "1000000000", end) <= 1_000_000_000_000_000);
    assert!(held("1000000000", "0.000001", end) <= 1);
}

/// Guards against a fleet above its published bound that mints more than the rate.
#[test]
fn more_live_hosts_than_the_bound_divide_the_rate() {
    let balance =
        |live: u32| ledger("a").balance(&team(), &terms("100", "100", 4, live), later(2000));
    assert_eq!(balance(3), TokenAmount::from_whole(25));
    assert_eq!(balance(10), TokenAmount::from_whole(10));
}

/// Guards against lost remainders: frequent calls at a slow rate must mint all the same.
#[test]
fn frequent_calls_lose_nothing_at_a_slow_rate() {
    let (ledger, terms) = (ledger("a"), terms("0.7", "10", 7, 7));
    for millis in 0..10_000 {
        ledger.balance(&team(), &terms, later(millis));
    }
    assert_eq!(
        ledger.balance(&team(), &terms, later(10_000)),
        TokenAmount::ONE
    );
}

/// Guards against an account that is dropped and then mints again what it had spent.
#[test]
fn dropped_account_mints_nothing_twice() {
    let ledger = ledger("a");
    let (brief, long) = (terms("10", "10", 1, 1), terms("10", "1000", 1, 1));
    assert_eq!(take_all(&ledger, &brief, later(5000)), 10);
    ledger.drop_idle(later(5000 + 61_000));
    assert_eq!(ledger.account_count(), 0);
    assert_eq!(take_all(&ledger, &long, later(66_000)), 610);
}

/// Guards against memory that grows with the teams that ever called.
#[test]
fn idle_accounts_are_dropped_and_busy_ones_kept() {
    let (ledger, terms) = (ledger("a"), terms("10", "10", 1, 1));
    for n in 0..5000 {
        let team = TeamId::new(&format!("team-{n}")).unwrap();
        ledger.try_take(&team, &terms, later(2000)).unwrap();
    }
    ledger.try_take(&team(), &terms, later(50_000)).unwrap();
    ledger.drop_idle(later(70_000));
    assert_eq!(ledger.account_count(), 1);
}

/// Guards against a host that slept, was replaced, and mints on before it has seen the roster.
#[test]
fn host_that_slept_mints_nothing_until_resumed() {
    let (ledger, terms) = (ledger("a"), terms("10", "10", 1, 1));
    ledger.gate().tick(later(3000));
    assert!(ledger.try_take(&team(), &terms, later(3900)).is_ok());
    assert!(ledger.try_take(&team(), &terms, later(4001)).is_err());
    ledger.gate().tick(later(9000));
    ledger.gate().tick(later(9500));
    assert!(ledger.try_take(&team(), &terms, later(9500)).is_err());
    ledger.gate().resume(later(9900));
    assert_eq!(take_all(&ledger, &terms, later(9900)), 0);
    assert_eq!(take_all(&ledger, &terms, later(10_400)), 5);
}

/// Guards against a grant that counts twice, for no draw, or for a restarted host.
#[test]
fn grant_counts_once_and_only_for_its_open_draw() {
    let (giver, drawer, terms) = (ledger("a"), ledger("b"), terms("20", "20", 2, 2));
    let (team, now) = (team(), later(5000));
    let wanted = TokenAmount::from_whole(4);
    let purpose = DrawPurpose::HostSurplus;
    let draw = drawer
        .draw_surplus((&team, &terms), wanted, purpose, now)
        .unwrap();
    let grant = giver.answer_draw(&draw, &terms, now).unwrap();
    assert_eq!(
        giver.balance(&team, &terms, now),
        TokenAmount::from_whole(6)
    );
    assert_eq!(
        giver.answer_draw(&draw, &terms, now),
        None,
        "a doubled draw was answered"
    );
    let restarted = TokenLedger::new(drawer.host().clone(), HostIncarnation::new(2), now);
    let same_sequence = restarted.draw_surplus((&team, &terms), wanted, purpose, now);
    assert_eq!(same_sequence.unwrap().id.sequence, draw.id.sequence);
    assert_eq!(restarted.accept_grant(&grant, &terms, now), None);
    assert_eq!(drawer.accept_grant(&grant, &terms, now), Some(wanted));
    assert_eq!(drawer.accept_grant(&grant, &terms, now), None);
    assert_eq!(
        drawer.balance(&team, &terms, now),
        TokenAmount::from_whole(14)
    );
}

/// Guards against a shortage that makes callers wait although no grant can come.
#[test]
fn shortage_says_whether_a_draw_is_open() {
    let (ledger, terms) = (ledger("a"), terms("48", "48", 48, 48));
    let (team, now) = (team(), later(10));
    assert!(
        ledger
            .try_take(&team, &terms, now)
            .unwrap_err()
            .is_draw_open
    );
    let draw = ledger.draw_wish(&team, &terms, now).unwrap();
    assert!(
        ledger.draw_wish(&team, &terms, now).is_none(),
        "two draws at once"
    );
    let lots = Vec::new();
    let empty = TokenGrant {
        draw: draw.id,
        team: team.clone(),
        terms,
        lots,
    };
    assert!(
        ledger
            .try_take(&team, &terms, now)
            .unwrap_err()
            .is_draw_open
    );
    ledger.accept_grant(&empty, &terms, now).unwrap();
    assert!(
        !ledger
            .try_take(&team, &terms, now)
            .unwrap_err()
            .is_draw_open
    );
}
