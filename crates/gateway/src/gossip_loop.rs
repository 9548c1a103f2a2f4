//! Tells and hears of hosts.

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

/// Time between exchanges with a known host.
const GOSSIP_PERIOD: Duration = Duration::from_millis(1000);

/// Time between exchanges of a process that has just started or knows no other host.
const YOUNG_PERIOD: Duration = Duration::from_millis(250);

/// Time in which an answer must come.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Most records in a message. A larger fleet tells a random part of what it knows.
const RECORDS_MAX: usize = 96;

/// Exchanges in a hundred that go to a seed though hosts are known, so that two parts of a fleet that
/// lost each other find together again.
const SEED_PERCENT: u32 = 10;

/// Returns the records for one message, this host's first.
fn sample(state: &GatewayState) -> Vec<MemberRecord> {
    let mut records = state.gossip.records();
    if records.len() > RECORDS_MAX {
        records[1..].shuffle(&mut rand::rng());
        records.truncate(RECORDS_MAX);
    }
    records
}

/// Returns whom to talk to next.
fn partner(state: &GatewayState) -> Option<SocketAddr> {
    let known: Vec<SocketAddr> = state
        .gossip
        .records()
        .into_iter()
        .skip(1)
        .map(|record| record.address)
        .collect();
    let mut random = rand::rng();
    let seeds = state.seeds();
    let asks_seed = known.is_empty() || random.random_range(0..100) < SEED_PERCENT;
    match asks_seed {
        true => seeds.choose(&mut random).copied(),
        false => known.choose(&mut random).copied(),
    }
}

/// Exchanges records for as long as the process runs.
pub async fn gossip(state: Arc<GatewayState>) {
    loop {
        state.gossip.advance(state.now());
        if let Some(address) = partner(&state) {
            exchange(&state, address).await;
        }
        state.peers.sweep_idle();
        let is_alone = state.gossip.known_count() == 1;
        let period = match is_alone || state.is_young(state.now()) {
            true => YOUNG_PERIOD,
            false => GOSSIP_PERIOD,
        };
        tokio::time::sleep(period).await;
    }
}

/// Exchanges records with one host.
pub async fn exchange(state: &GatewayState, address: SocketAddr) {
    let message = GatewayMessage::Gossip(sample(state));
    match call(state, address, message, ANSWER_LIMIT).await {
        Ok(GatewayMessage::Gossip(records)) => {
            let now = state.now();
            for record in records {
                state.gossip.merge(record, now);
            }
        }
        Ok(_) => log::warn!("event=peer_answer_unexpected address={address}"),
        Err(error) => log::debug!("event=gossip_failed address={address} error=\"{error}\""),
    }
}
