//! Exchanges membership records with other hosts.
//!
//! While a process starts it exchanges whole records; later it exchanges heartbeat counters, and records only for hosts
//! that one side does not know. Most exchanges stay in the zone, whose hosts must agree on their dispatcher.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;
use rand::{
    RngExt,
    seq::{
        IndexedRandom,
        SliceRandom, //
    },
};

use crate::{
    peer_calls::call,
    state::GatewayState, //
};

/// Interval between exchanges in normal operation.
const GOSSIP_PERIOD: Duration = Duration::from_millis(1000);

/// Interval between exchanges while the process starts or has no record of another host.
const STARTUP_GOSSIP_PERIOD: Duration = Duration::from_millis(250);

/// Timeout for the answer of the other host.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Maximum number of records per message. Hosts of larger fleets send a random sample.
const RECORDS_MAX: usize = 96;

/// Maximum number of counters per message. The latest ones go first, so that a new counter passes on within a few rounds
/// in a fleet of any size.
const BEATS_MAX: usize = 160;

/// Number of records from which a host counts as knowing the fleet. One that sends fewer has just started and gets all.
const RECORDS_KNOWN_MIN: usize = 8;

/// Share of exchanges that go to a host of another zone, in percent.
const OTHER_ZONE_PERCENT: u32 = 20;

/// Share of exchanges that go to a seed even if other hosts are known, in percent. They merge the parts of a
/// fleet again after a partition.
const SEED_PERCENT: u32 = 10;

/// Returns the records for one message, with this host's record first.
fn sample_records(state: &GatewayState) -> Vec<MemberRecord> {
    let mut records = state.gossip.records();
    if records.len() > RECORDS_MAX {
        records[1..].shuffle(&mut rand::rng());
        records.truncate(RECORDS_MAX);
    }
    records
}

/// Merges the records of another host and returns those for the answer.
pub fn answer_records(state: &GatewayState, records: Vec<MemberRecord>) -> Vec<MemberRecord> {
    let is_new = records.len() < RECORDS_KNOWN_MIN;
    merge_records(state, records);
    match is_new {
        true => state.gossip.records(),
        false => sample_records(state),
    }
}

/// Merges the counters of another host and returns this host's counters and what the other one asked for.
pub fn answer_beats(state: &GatewayState, beats: GossipBeats) -> GossipBeats {
    let has_counters = !beats.beats.is_empty();
    let (wanted, records) = merge_beats(state, beats);
    GossipBeats {
        member: state.gossip.own(),
        beats: match has_counters {
            true => state.gossip.beats(BEATS_MAX),
            false => Vec::new(),
        },
        records,
        wanted,
    }
}

fn merge_records(state: &GatewayState, records: Vec<MemberRecord>) {
    let now = state.now();
    for record in records {
        state.on_record(record, now);
    }
}

/// Merges what another host sent. Returns the keys of the processes that this host does not know, and the records that the
/// other one asked for.
fn merge_beats(state: &GatewayState, beats: GossipBeats) -> (Vec<MemberKey>, Vec<MemberRecord>) {
    merge_records(state, beats.records);
    merge_records(state, vec![beats.member]);
    let mut wanted = state.gossip.merge_beats(&beats.beats, state.now());
    wanted.truncate(RECORDS_MAX);
    let asked = &beats.wanted[..beats.wanted.len().min(RECORDS_MAX)];
    (wanted, state.gossip.records_of(asked))
}

/// Returns a random address for the next exchange: a known host, mostly of this zone, or, at times, a seed.
fn choose_peer(state: &GatewayState) -> Option<SocketAddr> {
    let mut random = rand::rng();
    let seeds = state.seeds();
    let known: Vec<MemberRecord> = state.gossip.records().into_iter().skip(1).collect();
    if known.is_empty() || random.random_range(0..100) < SEED_PERCENT {
        return seeds.choose(&mut random).copied();
    }
    let wants_other_zone = random.random_range(0..100) < OTHER_ZONE_PERCENT;
    let is_other_zone = |record: &&MemberRecord| record.zone != state.settings.zone;
    let preferred: Vec<&MemberRecord> = known
        .iter()
        .filter(|record| is_other_zone(record) == wants_other_zone)
        .collect();
    let record = preferred.choose(&mut random).copied();
    let record = record.or_else(|| known.choose(&mut random));
    record.map(|record| record.address)
}

/// Exchanges records with other hosts for as long as the process runs.
pub async fn gossip(state: Arc<GatewayState>) {
    loop {
        state.gossip.advance(state.now());
        let is_alone = state.gossip.known_count() == 1;
        let is_starting = is_alone || state.is_starting(state.now());
        state.update_roster();
        if let Some(address) = choose_peer(&state) {
            match is_starting {
                true => exchange_records(&state, address).await,
                false => exchange_beats(&state, address).await,
            }
        }
        state.peers.sweep_idle();
        let period = match is_starting {
            true => STARTUP_GOSSIP_PERIOD,
            false => GOSSIP_PERIOD,
        };
        tokio::time::sleep(period).await;
    }
}

/// Exchanges records with the host at an address.
pub async fn exchange_records(state: &GatewayState, address: SocketAddr) {
    let message = GatewayMessage::Gossip(sample_records(state));
    match call(state, address, message, ANSWER_LIMIT).await {
        Ok(GatewayMessage::Gossip(records)) => merge_records(state, records),
        Ok(_) => log::warn!("event=peer_answer_unexpected address={address}"),
        Err(error) => log::debug!("event=gossip_failed address={address} error=\"{error}\""),
    }
}

/// Exchanges counters with the host at an address, and then the records that one of the two lacks.
async fn exchange_beats(state: &GatewayState, address: SocketAddr) {
    let mut message = GossipBeats {
        member: state.gossip.own(),
        beats: state.gossip.beats(BEATS_MAX),
        records: Vec::new(),
        wanted: Vec::new(),
    };
    loop {
        let call = call(
            state,
            address,
            GatewayMessage::GossipBeats(message),
            ANSWER_LIMIT,
        );
        let (wanted, records) = match call.await {
            Ok(GatewayMessage::GossipBeats(answer)) => merge_beats(state, answer),
            // A host of an earlier release.
            Ok(GatewayMessage::Gossip(records)) => return merge_records(state, records),
            Ok(_) => {
                return log::warn!("event=peer_answer_unexpected address={address}");
            }
            Err(error) => {
                return log::debug!("event=gossip_failed address={address} error=\"{error}\"");
            }
        };
        // The answer to a message without counters has none, so that nothing is wanted after it.
        if wanted.is_empty() && records.is_empty() {
            return;
        }
        message = GossipBeats {
            member: state.gossip.own(),
            beats: Vec::new(),
            records,
            wanted,
        };
    }
}
