//! Collecting surplus for hosts that are short.

#![expect(
    clippy::unwrap_used,
    reason = "a test fails on what it does not expect"
)]

use std::{
    collections::HashMap,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_limits::{
    allowance::LARGE_FLEET,
    prelude::*, //
};

const START: MonoTime = MonoTime::from_millis(10_000);

fn host(number: usize) -> HostId {
    HostId::new(&format!("entry-{number}")).unwrap()
}

fn zone(number: usize) -> ZoneId {
    ZoneId::new(&format!("zone-{}", number % 2)).unwrap()
}

fn team() -> TeamId {
    TeamId::new("lusail").unwrap()
}

fn later(millis: u64) -> MonoTime {
    START.after(Duration::from_millis(millis))
}

/// Hosts in two zones whose letters arrive at once.
struct HostGroup {
    hosts: Vec<(TokenLedger, TokenBroker)>,
    roster: ZoneRoster,
    terms: LimitTerms,
}

impl HostGroup {
    fn new(count: usize, rate: u32, burst: u32) -> Self {
        let make = |number| {
            let ledger = TokenLedger::new(host(number), HostIncarnation::new(1), START);
            (ledger, TokenBroker::new(zone(number), LARGE_FLEET, START))
        };
        let (rate, burst) = (RequestRate::from_whole(rate), BurstSize::from_whole(burst));
        Self {
            hosts: (0..count).map(make).collect(),
            roster: ZoneRoster::new((0..count).map(|number| (host(number), zone(number)))),
            terms: LimitTerms::new(rate, burst, count as u32, count as u32),
        }
    }

    fn number_of(&self, id: &HostId) -> usize {
        let is_host = |(ledger, _): &(TokenLedger, TokenBroker)| ledger.host() == id;
        self.hosts.iter().position(is_host).unwrap()
    }

    fn context(&self, number: usize, now: MonoTime) -> BrokerContext<'_> {
        BrokerContext {
            ledger: &self.hosts[number].0,
            roster: &self.roster,
            terms: self.terms,
            now,
        }
    }

    /// Takes a token at a host and returns the letters that follow.
    fn take(&self, number: usize, now: MonoTime) -> (bool, Vec<TokenLetter>) {
        let (ledger, broker) = &self.hosts[number];
        let is_taken = ledger.try_take(&team(), &self.terms, now).is_ok();
        (is_taken, broker.refill(&team(), &self.context(number, now)))
    }

    /// Delivers letters and all that follow, 1.5 ms each, and tells whether a request that waits at a
    /// host gets its token.
    fn serve_slowly(&self, number: usize, letters: Vec<TokenLetter>, sent_at: MonoTime) -> bool {
        let (mut letters, mut now, mut is_served) = (letters, sent_at, false);
        while !letters.is_empty() {
            now = now.after(Duration::from_micros(1500));
            let answer = |letter| self.receive(letter, now);
            letters = letters.into_iter().flat_map(answer).collect();
            let ledger = &self.hosts[number].0;
            is_served = is_served || ledger.take_after_wait(&team(), &self.terms, now);
        }
        is_served
    }

    fn receive(&self, letter: TokenLetter, now: MonoTime) -> Vec<TokenLetter> {
        let to = self.number_of(&letter.to);
        let (broker, context) = (&self.hosts[to].1, self.context(to, now));
        match letter.message {
            TokenMessage::Draw(draw) => broker.on_draw(draw, &context),
            TokenMessage::Grant(grant) => broker.on_grant(&grant, &context),
        }
    }

    /// Delivers letters and all that follow, and returns the number of draws of each host.
    fn deliver(&self, mut letters: Vec<TokenLetter>, now: MonoTime) -> HashMap<HostId, u32> {
        let mut draws = HashMap::new();
        while let Some(letter) = letters.pop() {
            if let TokenMessage::Draw(draw) = &letter.message {
                *draws.entry(draw.id.host.clone()).or_default() += 1;
            }
            letters.extend(self.receive(letter, now));
        }
        draws
    }
}

/// Guards against refusals within the rate when all requests of a team arrive at one host, also
/// when no host ever mints one whole token.
#[test]
fn burst_at_one_host_is_served_by_the_whole_fleet() {
    for burst in [48, 4] {
        let group = HostGroup::new(6, burst, burst);
        let mut taken = 0;
        for millis in 0..40 {
            let now = later(2000 + millis);
            for _ in 0..10 {
                let (is_taken, letters) = group.take(0, now);
                taken += u32::from(is_taken);
                group.deliver(letters, now);
            }
        }
        assert!((burst..=burst + 2).contains(&taken), "{taken} of {burst}");
    }
}

/// Guards against tokens that lack a small part on arrival because the rest expired on the way.
#[test]
fn refill_that_takes_milliseconds_completes_a_token() {
    let group = HostGroup::new(24, 10, 10);
    let home = group.number_of(group.roster.home_of(&team()).unwrap());
    for (turn, number) in (0..24).filter(|number| *number != home).enumerate() {
        let now = later(2000 + turn as u64 * 300);
        let (is_taken, letters) = group.take(number, now);
        assert!(
            !is_taken && group.serve_slowly(number, letters, now),
            "host {number} at {now}"
        );
    }
}

/// Guards against collections that ask the whole fleet for a few tokens.
#[test]
fn collection_asks_few_hosts_for_few_tokens() {
    let group = HostGroup::new(48, 48, 48);
    let letters = (0..2).flat_map(|_| group.take(0, later(2000)).1).collect();
    let draws: u32 = group.deliver(letters, later(2000)).values().sum();
    // The refill of one token, its collection, and what the zones collect in turn.
    assert!((2..=12).contains(&draws), "{draws} draws");
}

/// Guards against work and memory for teams of which no host is short.
#[test]
fn teams_within_their_local_share_cost_no_message() {
    let group = HostGroup::new(6, 60, 60);
    for tick in 0..100 {
        let (is_taken, letters) = group.take(tick % 6, later(2000 + tick as u64 * 100));
        assert!(is_taken && letters.is_empty(), "{letters:?}");
    }
    assert!(
        group
            .hosts
            .iter()
            .all(|(_, broker)| broker.pending_count() == 0)
    );
    let letters = (0..12).flat_map(|_| group.take(0, later(20_000)).1);
    group.deliver(letters.collect(), later(20_000));
    let home = group.number_of(group.roster.home_of(&team()).unwrap());
    assert_eq!(group.hosts[home].1.pending_count(), 1);
    let context_of = |_: &TeamId| Some(group.context(home, later(26_000)));
    group.hosts[home].1.poll(context_of, later(26_000));
    assert_eq!(group.hosts[home].1.pending_count(), 0);
}

/// Guards against draws whose number grows with the teams that are short at once.
#[test]
fn host_sends_no_more_draws_than_its_allowance() {
    let (group, now) = (HostGroup::new(6, 60, 60), later(5));
    let mut letters = Vec::new();
    for number in 0..400 {
        let team = TeamId::new(&format!("team-{number}")).unwrap();
        for (at, (ledger, broker)) in group.hosts.iter().enumerate() {
            ledger.try_take(&team, &group.terms, now).unwrap_err();
            letters.extend(broker.refill(&team, &group.context(at, now)));
        }
    }
    // 24 a second, saved for two seconds.
    for (sender, draws) in group.deliver(letters, now) {
        assert!(draws <= 48, "{draws} draws of {sender}");
    }
}

/// Guards against hosts that refill for ever from a broker that is away, and against giving up on
/// a broker after one lost message.
#[test]
fn silent_broker_is_replaced_after_two_refills() {
    let group = HostGroup::new(6, 60, 60);
    let home = group.number_of(group.roster.home_of(&team()).unwrap());
    let number = (home + 1) % 6;
    let mut asked = Vec::new();
    for millis in (0..400).step_by(5) {
        let letters = group.take(number, later(millis)).1;
        asked.extend(letters.into_iter().map(|letter| letter.to));
    }
    let home = host(home);
    assert_eq!(asked[..2], [home.clone(), home.clone()]);
    assert_ne!(asked[2], home);
    assert_eq!(
        Some(&asked[2]),
        group.roster.broker_of(&zone(number), &team())
    );
}

/// Guards against a draw that waits for ever because a giver is away.
#[test]
fn waiting_draw_is_answered_although_no_giver_answers() {
    let group = HostGroup::new(6, 60, 60);
    let home = group.number_of(group.roster.home_of(&team()).unwrap());
    let (broker, now) = (&group.hosts[home].1, later(5));
    let letters = group.take((home + 1) % 6, now).1;
    let Some(TokenMessage::Draw(draw)) = letters.into_iter().next().map(|letter| letter.message)
    else {
        panic!("no draw was sent");
    };
    let sent = broker.on_draw(draw, &group.context(home, now));
    let is_draw = |letter: &TokenLetter| matches!(letter.message, TokenMessage::Draw(_));
    assert!(!sent.is_empty() && sent.iter().all(is_draw), "{sent:?}");
    let due = broker.next_due().unwrap();
    assert!(due <= now.after(Duration::from_millis(25)));
    let answers = broker.poll(|_| Some(group.context(home, due)), due);
    assert_eq!(answers.len(), 1);
    assert!(!is_draw(&answers[0]));
    assert_eq!(broker.next_due(), None);
}
