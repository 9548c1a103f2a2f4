//! The sum spent by all hosts stays within `rate x window + burst`, whatever happens to messages.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use chicorycroft_core::prelude::*;
use chicorycroft_limits::prelude::*;
use quickcheck::{
    Gen,
    QuickCheck, //
};

const SEED: u64 = 20_261_204;
const HOSTS: usize = 4;

/// One step of a schedule: kind, host and a number whose meaning depends on the kind.
type Step = (u8, u8, u8);

enum InFlightMessage {
    Request(usize, TransferRequest),
    Grant(TokenGrant),
}

/// Ledgers with separate clocks, and the messages in flight between them.
struct LedgerGroup {
    ledgers: Vec<TokenLedger>,
    starts: Vec<u64>,
    in_flight: Vec<InFlightMessage>,
    terms: LimitTerms,
    now: u64,
    restarts: u64,
    spent_at: Vec<u64>,
}

fn team() -> TeamId {
    TeamId::new("lusail").unwrap()
}

fn terms(rate: u32, burst: u32, minters: usize) -> LimitTerms {
    let burst = BurstSize::from_whole(burst);
    LimitTerms::new(RequestRate::from_whole(rate), burst, 3, minters as u32)
}

fn make_ledger(at: usize, incarnation: u64) -> TokenLedger {
    let host = HostId::new(&format!("entry-{at}")).unwrap();
    // The clock of each host starts at ten seconds, and its ledger mints from then on.
    let since = MonoTime::from_millis(10_000);
    TokenLedger::new(host, HostIncarnation::new(incarnation), since)
}

impl LedgerGroup {
    fn new(terms: LimitTerms) -> Self {
        Self {
            ledgers: (0..HOSTS).map(|at| make_ledger(at, 0)).collect(),
            starts: vec![0; HOSTS],
            in_flight: Vec::new(),
            terms,
            now: 0,
            restarts: 0,
            spent_at: Vec::new(),
        }
    }

    fn clock(&self, host: usize) -> MonoTime {
        MonoTime::from_micros(10_000_000 + self.now - self.starts[host])
    }

    fn deliver(&mut self, at: usize, is_kept: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = at % self.in_flight.len();
        let answer = match &self.in_flight[at] {
            InFlightMessage::Request(to, request) => {
                self.ledgers[*to].answer_request(request, &self.terms, self.clock(*to))
            }
            InFlightMessage::Grant(grant) => {
                let is_for = |ledger: &TokenLedger| *ledger.host() == grant.request_id.host;
                let to = self.ledgers.iter().position(is_for).unwrap();
                self.ledgers[to].accept_grant(grant, &self.terms, self.clock(to));
                None
            }
        };
        if !is_kept {
            self.in_flight.swap_remove(at);
        }
        self.in_flight.extend(answer.map(InFlightMessage::Grant));
    }

    fn restart(&mut self, host: usize) {
        self.restarts += 1;
        self.ledgers[host] = make_ledger(host, self.restarts);
        self.starts[host] = self.now;
    }

    fn pause_past_bound(&mut self, host: usize) {
        self.ledgers[host].fence().tick(self.clock(host));
        self.now += 1_500_000;
        let taken = self.ledgers[host].try_take(&team(), &self.terms, self.clock(host));
        assert!(taken.is_err(), "a host spent right after a pause");
        self.ledgers[host].fence().resume(self.clock(host));
    }

    fn act(&mut self, (kind, host, number): Step) {
        let host = usize::from(host) % HOSTS;
        let (now, number) = (self.clock(host), usize::from(number));
        match kind % 16 {
            0..=2 => self.now += number as u64 * 1_013,
            3..=6 => {
                for _ in 0..=number % 6 {
                    let taken = self.ledgers[host].try_take(&team(), &self.terms, now);
                    self.spent_at.extend(taken.is_ok().then_some(self.now));
                }
            }
            7 | 8 => {
                let wanted = TokenAmount::from_micros(number as u64 * 100_000);
                let (team, purpose) = (team(), TransferPurpose::HostSurplus);
                let team_terms = (&team, &self.terms);
                let request = self.ledgers[host].open_transfer(team_terms, wanted, purpose, now);
                let to = (host + 1 + number % (HOSTS - 1)) % HOSTS;
                self.in_flight
                    .extend(request.map(|request| InFlightMessage::Request(to, request)));
            }
            9..=11 => self.deliver(number, false),
            12 => self.deliver(number, true),
            13 if !self.in_flight.is_empty() => {
                self.in_flight.swap_remove(number % self.in_flight.len());
            }
            14 if number % 4 == 0 => self.restart(host),
            15 if number % 8 == 0 => self.pause_past_bound(host),
            15 => self.ledgers[host].drop_idle(now),
            _ => {}
        }
    }
}

/// Checks each window that starts and ends with a spent token; other windows contain no more.
fn check_windows(spent_at: &[u64], terms: &LimitTerms) {
    for (first, &from) in spent_at.iter().enumerate() {
        for (last, &to) in spent_at.iter().enumerate().skip(first) {
            let spent = (last - first + 1) as u128 * 1_000_000;
            let accrued = u128::from(terms.rate.as_micros()) * u128::from(to - from);
            let allowed = accrued / 1_000_000 + u128::from(terms.burst.as_micros());
            assert!(
                spent <= allowed,
                "{spent} over {allowed} in {from}..{to} under {terms:?}"
            );
        }
    }
}

fn run_cases(size: usize, check: fn(Vec<Step>) -> bool) {
    QuickCheck::new()
        .tests(600)
        .rng(Gen::from_size_and_seed(size, SEED))
        .quickcheck(check);
}

/// Guards against tokens that are created by a duplicated, late, reordered or lost message, a
/// restart or a pause.
#[test]
fn random_schedules_spend_within_rate_and_burst() {
    fn check(steps: Vec<Step>) -> bool {
        let terms = terms(40, 12, HOSTS);
        let mut group = LedgerGroup::new(terms);
        steps.into_iter().for_each(|step| group.act(step));
        check_windows(&group.spent_at, &terms);
        true
    }
    run_cases(900, check);
}

/// Guards against tokens that outlive the limits under which they were minted.
#[test]
fn changed_limits_apply_to_held_and_transferred_tokens() {
    fn check(steps: Vec<Step>) -> bool {
        let mut group = LedgerGroup::new(terms(40, 12, HOSTS));
        for step in steps {
            if step.0 % 16 == 13 && step.1 % 4 == 0 {
                check_windows(&group.spent_at, &group.terms);
                group.spent_at.clear();
                let (rate, burst) = (u32::from(step.2 % 5) * 15, u32::from(step.1 % 7) * 3);
                group.terms = terms(rate, burst, HOSTS + usize::from(step.2 % 3));
            }
            group.act(step);
        }
        check_windows(&group.spent_at, &group.terms);
        true
    }
    run_cases(900, check);
}
