//! Tests of single rules of the ledger.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

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

/// Guards against minting above the rate when the fleet has more hosts than its published bound.
#[test]
fn more_live_hosts_than_the_bound_divide_the_rate() {
    let balance =
        |live: u32| ledger("a").balance(&team(), &terms("100", "100", 4, live), later(2000));
    assert_eq!(balance(3), TokenAmount::from_whole(25));
    assert_eq!(balance(10), TokenAmount::from_whole(10));
}

/// Guards against lost remainders: frequent calls at a slow rate must still mint the whole rate.
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

/// Guards against a dropped account that mints spent tokens again when it is recreated.
#[test]
fn dropped_account_mints_nothing_twice() {
    let ledger = ledger("a");
    let (brief, long) = (terms("10", "10", 1, 1), terms("10", "1000", 1, 1));
    assert_eq!(take_all(&ledger, &brief, later(5000)), 10);
    ledger.drop_idle(later(5000 + 61_000));
    assert_eq!(ledger.account_count(), 0);
    assert_eq!(take_all(&ledger, &long, later(66_000)), 610);
}

/// Guards against memory that grows with the number of teams that ever sent a request.
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

/// Guards against a host that was paused and replaced, and mints before it has read the
/// platform's list of hosts.
#[test]
fn paused_host_mints_nothing_until_resumed() {
    let (ledger, terms) = (ledger("a"), terms("10", "10", 1, 1));
    ledger.fence().tick(later(3000));
    assert!(ledger.try_take(&team(), &terms, later(3900)).is_ok());
    assert!(ledger.try_take(&team(), &terms, later(4001)).is_err());
    ledger.fence().tick(later(9000));
    ledger.fence().tick(later(9500));
    assert!(ledger.try_take(&team(), &terms, later(9500)).is_err());
    ledger.fence().resume(later(9900));
    assert_eq!(take_all(&ledger, &terms, later(9900)), 0);
    assert_eq!(take_all(&ledger, &terms, later(10_400)), 5);
}

/// Guards against a grant that is credited twice, without a request, or to a restarted host.
#[test]
fn grant_is_credited_once_and_only_for_its_open_request() {
    let (source, requester, terms) = (ledger("a"), ledger("b"), terms("20", "20", 2, 2));
    let (team, now) = (team(), later(5000));
    let wanted = TokenAmount::from_whole(4);
    let purpose = TransferPurpose::HostSurplus;
    let request = requester
        .open_transfer((&team, &terms), wanted, purpose, now)
        .unwrap();
    let grant = source.answer_request(&request, &terms, now).unwrap();
    assert_eq!(
        source.balance(&team, &terms, now),
        TokenAmount::from_whole(6)
    );
    assert_eq!(
        source.answer_request(&request, &terms, now),
        None,
        "a duplicate request was answered"
    );
    let restarted = TokenLedger::new(requester.host().clone(), HostIncarnation::new(2), now);
    let same_sequence = restarted.open_transfer((&team, &terms), wanted, purpose, now);
    assert_eq!(same_sequence.unwrap().id.sequence, request.id.sequence);
    assert_eq!(restarted.accept_grant(&grant, &terms, now), None);
    assert_eq!(requester.accept_grant(&grant, &terms, now), Some(wanted));
    assert_eq!(requester.accept_grant(&grant, &terms, now), None);
    assert_eq!(
        requester.balance(&team, &terms, now),
        TokenAmount::from_whole(14)
    );
}

/// Guards against a shortage that makes callers wait although no grant can arrive.
#[test]
fn shortage_reports_whether_a_grant_is_expected() {
    let (ledger, terms) = (ledger("a"), terms("48", "48", 48, 48));
    let (team, now) = (team(), later(10));
    assert!(
        ledger
            .try_take(&team, &terms, now)
            .unwrap_err()
            .is_grant_expected
    );
    let request = ledger.open_refill(&team, &terms, now).unwrap();
    assert!(
        ledger.open_refill(&team, &terms, now).is_none(),
        "two requests at once"
    );
    let batches = Vec::new();
    let empty = TokenGrant {
        request_id: request.id,
        team: team.clone(),
        terms,
        batches,
    };
    assert!(
        ledger
            .try_take(&team, &terms, now)
            .unwrap_err()
            .is_grant_expected
    );
    ledger.accept_grant(&empty, &terms, now).unwrap();
    assert!(
        !ledger
            .try_take(&team, &terms, now)
            .unwrap_err()
            .is_grant_expected
    );
}
