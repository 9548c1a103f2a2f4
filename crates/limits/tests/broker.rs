//! Tests of the collection of surplus tokens for hosts that are short.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

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

/// Hosts in two zones whose messages are delivered without delay.
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

    /// Takes a token on a host and returns whether it succeeded and the messages to send.
    fn take(&self, number: usize, now: MonoTime) -> (bool, Vec<OutboundMessage>) {
        let (ledger, broker) = &self.hosts[number];
        let is_taken = ledger.try_take(&team(), &self.terms, now).is_ok();
        (is_taken, broker.refill(&team(), &self.context(number, now)))
    }

    /// Delivers messages and all that they cause, with a delay of 1.5 ms each, and returns `true`
    /// if a request that waits on a host gets its token.
    fn deliver_with_delay(
        &self,
        number: usize,
        messages: Vec<OutboundMessage>,
        sent_at: MonoTime,
    ) -> bool {
        let (mut messages, mut now, mut is_served) = (messages, sent_at, false);
        while !messages.is_empty() {
            now = now.after(Duration::from_micros(1500));
            let answer = |outbound| self.receive(outbound, now);
            messages = messages.into_iter().flat_map(answer).collect();
            let ledger = &self.hosts[number].0;
            is_served = is_served || ledger.take_after_wait(&team(), &self.terms, now);
        }
        is_served
    }

    fn receive(&self, outbound: OutboundMessage, now: MonoTime) -> Vec<OutboundMessage> {
        let to = self.number_of(&outbound.to);
        let (broker, context) = (&self.hosts[to].1, self.context(to, now));
        match outbound.message {
            TokenMessage::Request(request) => broker.on_request(request, &context),
            TokenMessage::Grant(grant) => broker.on_grant(&grant, &context),
        }
    }

    /// Delivers messages and all that they cause, and returns the number of transfer requests by
    /// sender.
    fn deliver(&self, mut messages: Vec<OutboundMessage>, now: MonoTime) -> HashMap<HostId, u32> {
        let mut requests = HashMap::new();
        while let Some(outbound) = messages.pop() {
            if let TokenMessage::Request(request) = &outbound.message {
                *requests.entry(request.id.host.clone()).or_default() += 1;
            }
            messages.extend(self.receive(outbound, now));
        }
        requests
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
                let (is_taken, messages) = group.take(0, now);
                taken += u32::from(is_taken);
                group.deliver(messages, now);
            }
        }
        assert!((burst..=burst + 2).contains(&taken), "{taken} of {burst}");
    }
}

/// Guards against transferred tokens that fall just short of one because a part expired on the way.
#[test]
fn refill_that_takes_milliseconds_completes_a_token() {
    let group = HostGroup::new(24, 10, 10);
    let broker_number = group.number_of(group.roster.fleet_broker(&team()).unwrap());
    for (round, number) in (0..24)
        .filter(|number| *number != broker_number)
        .enumerate()
    {
        let now = later(2000 + round as u64 * 300);
        let (is_taken, messages) = group.take(number, now);
        assert!(
            !is_taken && group.deliver_with_delay(number, messages, now),
            "host {number} at {now}"
        );
    }
}

/// Guards against collections that query the whole fleet for a few tokens.
#[test]
fn collection_queries_few_hosts_for_few_tokens() {
    let group = HostGroup::new(48, 48, 48);
    let messages = (0..2).flat_map(|_| group.take(0, later(2000)).1).collect();
    let requests: u32 = group.deliver(messages, later(2000)).values().sum();
    // The refill of one token, its collection, and the collections of the zones.
    assert!((2..=12).contains(&requests), "{requests} requests");
}

/// Guards against work and memory for teams of which no host is short.
#[test]
fn teams_within_their_local_share_send_no_message() {
    let group = HostGroup::new(6, 60, 60);
    for tick in 0..100 {
        let (is_taken, messages) = group.take(tick % 6, later(2000 + tick as u64 * 100));
        assert!(is_taken && messages.is_empty(), "{messages:?}");
    }
    assert!(
        group
            .hosts
            .iter()
            .all(|(_, broker)| broker.pending_count() == 0)
    );
    let messages = (0..12).flat_map(|_| group.take(0, later(20_000)).1);
    group.deliver(messages.collect(), later(20_000));
    let broker_number = group.number_of(group.roster.fleet_broker(&team()).unwrap());
    assert_eq!(group.hosts[broker_number].1.pending_count(), 1);
    let context_of = |_: &TeamId| Some(group.context(broker_number, later(26_000)));
    group.hosts[broker_number].1.poll(context_of, later(26_000));
    assert_eq!(group.hosts[broker_number].1.pending_count(), 0);
}

/// Guards against transfer requests whose number grows with the number of teams that are short.
#[test]
fn host_sends_no_more_requests_than_its_allowance() {
    let (group, now) = (HostGroup::new(6, 60, 60), later(5));
    let mut messages = Vec::new();
    for number in 0..400 {
        let team = TeamId::new(&format!("team-{number}")).unwrap();
        for (at, (ledger, broker)) in group.hosts.iter().enumerate() {
            ledger.try_take(&team, &group.terms, now).unwrap_err();
            messages.extend(broker.refill(&team, &group.context(at, now)));
        }
    }
    // 24 a second, accumulated over two seconds.
    for (sender, requests) in group.deliver(messages, now) {
        assert!(requests <= 48, "{requests} requests of {sender}");
    }
}

/// Guards against hosts that keep refilling from a broker that is down, and against abandoning a
/// broker after one lost message.
#[test]
fn unresponsive_broker_is_replaced_after_two_refills() {
    let group = HostGroup::new(6, 60, 60);
    let broker_number = group.number_of(group.roster.fleet_broker(&team()).unwrap());
    let number = (broker_number + 1) % 6;
    let mut receivers = Vec::new();
    for millis in (0..400).step_by(5) {
        let messages = group.take(number, later(millis)).1;
        receivers.extend(messages.into_iter().map(|outbound| outbound.to));
    }
    let broker_id = host(broker_number);
    assert_eq!(receivers[..2], [broker_id.clone(), broker_id.clone()]);
    assert_ne!(receivers[2], broker_id);
    assert_eq!(
        Some(&receivers[2]),
        group.roster.broker_of(&zone(number), &team())
    );
}

/// Guards against a transfer request that waits forever because a source is down.
#[test]
fn waiting_request_is_answered_although_no_source_answers() {
    let group = HostGroup::new(6, 60, 60);
    let broker_number = group.number_of(group.roster.fleet_broker(&team()).unwrap());
    let (broker, now) = (&group.hosts[broker_number].1, later(5));
    let messages = group.take((broker_number + 1) % 6, now).1;
    let Some(TokenMessage::Request(request)) =
        messages.into_iter().next().map(|outbound| outbound.message)
    else {
        panic!("no request was sent");
    };
    let sent = broker.on_request(request, &group.context(broker_number, now));
    let is_request =
        |outbound: &OutboundMessage| matches!(outbound.message, TokenMessage::Request(_));
    assert!(!sent.is_empty() && sent.iter().all(is_request), "{sent:?}");
    let deadline = broker.next_deadline().unwrap();
    assert!(deadline <= now.after(Duration::from_millis(25)));
    let answers = broker.poll(|_| Some(group.context(broker_number, deadline)), deadline);
    assert_eq!(answers.len(), 1);
    assert!(!is_request(&answers[0]));
    assert_eq!(broker.next_deadline(), None);
}
