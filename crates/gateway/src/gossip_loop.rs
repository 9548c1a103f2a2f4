//! Exchanges membership records with other hosts.

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

/// Returns a random address for the next exchange: a known host or, at times, a seed.
fn choose_peer(state: &GatewayState) -> Option<SocketAddr> {
    let known: Vec<SocketAddr> = state
        .gossip
        .records()
        .into_iter()
        .skip(1)
        .map(|record| record.address)
        .collect();
    let mut random = rand::rng();
    let seeds = state.seeds();
    let use_seed = known.is_empty() || random.random_range(0..100) < SEED_PERCENT;
    match use_seed {
        true => seeds.choose(&mut random).copied(),
        false => known.choose(&mut random).copied(),
    }
}

/// Exchanges records with other hosts for as long as the process runs.
pub async fn gossip(state: Arc<GatewayState>) {
    loop {
        state.gossip.advance(state.now());
        state.update_roster();
        if let Some(address) = choose_peer(&state) {
            exchange_records(&state, address).await;
        }
        state.peers.sweep_idle();
        let is_alone = state.gossip.known_count() == 1;
        let period = match is_alone || state.is_starting(state.now()) {
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
        Ok(GatewayMessage::Gossip(records)) => {
            let now = state.now();
            for record in records {
                state.on_record(record, now);
            }
        }
        Ok(_) => log::warn!("event=peer_answer_unexpected address={address}"),
        Err(error) => log::debug!("event=gossip_failed address={address} error=\"{error}\""),
    }
}
