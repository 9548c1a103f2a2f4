//! Reads the store where this host has to.
//!
//! The dispatcher of a zone watches the store. Another host reads once when what it is told has grown
//! old; the older hosts of a zone try first, so that a fleet without a store makes few calls.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_adapter::{
    documents::{
        OPERATOR_PREFIX,
        TARGET_PREFIX, //
    },
    prelude::*,
};
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use indexmap::IndexSet;
use rand::RngExt;

use crate::state::GatewayState;

/// Time for which the watch of the operators' part waits; an empty answer confirms what is known.
const OPERATOR_WAIT: Duration = Duration::from_millis(1000);

/// Time between answers of the watch of targets. Targets write about 25 times a second, and each answer
/// is a priced call; a target that leaves is known well within its two seconds.
const TARGET_PACE: Duration = Duration::from_millis(500);

/// Time in which the store answers, beside the wait of a watch; it usually takes 4 ms, and up to 0.3 s
/// when it is slow.
const ANSWER_LIMIT: Duration = Duration::from_millis(700);

/// Age of what a host knows after which it reads by itself, and what each older host of its zone adds.
const READ_AFTER: Duration = Duration::from_millis(1200);
const READ_STEP: Duration = Duration::from_millis(500);

/// Time from its start after which a host that knows nothing reads: enough for a peer to answer first.
const FIRST_READ_AFTER: Duration = Duration::from_millis(100);

/// Most steps that are added.
const READ_STEPS_MAX: u32 = 4;

/// Pause after a call that failed, and the random part on top of it.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
const FAILURE_SPREAD_MILLIS: u64 = 150;

/// Time between looks at whether this host has to read.
const LOOK_PERIOD: Duration = Duration::from_millis(200);

/// Reads everything once.
///
/// # Errors
///
/// Fails when the store does not answer both reads in time.
async fn read_all(
    state: &GatewayState,
    store: &StoreClient,
) -> Result<(StoreRevision, StoreRevision), StoreError> {
    let asked_at = state.now();
    let operator = store.range(OPERATOR_PREFIX, ANSWER_LIMIT).await?;
    let targets = store.range(TARGET_PREFIX, ANSWER_LIMIT).await?;
    let now = state.now();
    state.knowledge.on_store_answer(now);
    let (mut entries, mut evacuated) = (Vec::new(), IndexSet::new());
    for item in operator.items.iter().chain(&targets.items) {
        match decode_item(item) {
            Ok(OperatorChange::Directory(DirectoryChange::TargetUpdated(entry))) => {
                entries.push(entry);
            }
            Ok(OperatorChange::Directory(DirectoryChange::ZoneEvacuated(zone))) => {
                evacuated.insert(zone);
            }
            Ok(OperatorChange::Config(config)) => {
                state.knowledge.adopt_config(config, "store");
            }
            Ok(_) => {}
            Err(error) => log::warn!("event=document_refused key={} error=\"{error}\"", item.key),
        }
    }
    let as_of = (operator.as_of, targets.as_of);
    state
        .knowledge
        .replace_directory(entries, evacuated, as_of, now);
    state.knowledge.confirm(asked_at);
    Ok((operator.as_of, targets.as_of))
}

/// Watches one part of the store until a call fails.
async fn watch(
    state: &GatewayState,
    store: &StoreClient,
    part: StorePart,
    mut after: StoreRevision,
) -> StoreError {
    let (prefix, pace) = match part {
        StorePart::Operator => (OPERATOR_PREFIX, Duration::ZERO),
        StorePart::Targets => (TARGET_PREFIX, TARGET_PACE),
    };
    loop {
        let asked_at = state.now();
        let events = store
            .watch(prefix, after, OPERATOR_WAIT, ANSWER_LIMIT)
            .await;
        let events = match events {
            Ok(events) => events,
            Err(error) => return error,
        };
        after = events.as_of.max(after);
        let now = state.now();
        match part {
            StorePart::Targets => state.knowledge.on_store_answer(now),
            StorePart::Operator => state.knowledge.confirm(asked_at),
        }
        state.knowledge.apply(part, &events, now);
        tokio::time::sleep(pace).await;
    }
}

/// Ends when this host is no longer the dispatcher of its zone.
async fn until_replaced(state: &GatewayState) {
    while state.is_dispatcher() {
        tokio::time::sleep(LOOK_PERIOD).await;
    }
}

/// Watches the store as the dispatcher of a zone, until a call fails or another host takes over.
async fn read_as_dispatcher(state: &GatewayState, store: &StoreClient) -> Result<(), StoreError> {
    let (operator, targets) = read_all(state, store).await?;
    log::info!("event=store_watched operator_revision={operator} target_revision={targets}");
    let operator = watch(state, store, StorePart::Operator, operator);
    let targets = watch(state, store, StorePart::Targets, targets);
    tokio::select! {
        error = operator => Err(error),
        error = targets => Err(error),
        () = until_replaced(state) => Ok(()),
    }
}

/// Tells whether what this host knows is old enough to read by itself. A host that knows nothing can serve
/// nobody and reads soon after its start.
fn has_to_read(state: &GatewayState, started_at: MonoTime) -> bool {
    let now = state.now();
    let Some(age) = state.knowledge.age(now) else {
        return now.since(started_at) > FIRST_READ_AFTER;
    };
    let rank = u32::try_from(state.rank()).unwrap_or(u32::MAX);
    age.get() > READ_AFTER + READ_STEP * rank.min(READ_STEPS_MAX)
}

/// Reads the store for as long as the process runs.
pub async fn read(state: Arc<GatewayState>) {
    let store = StoreClient::new(state.settings.store);
    let started_at = state.now();
    let mut is_lost = false;
    loop {
        let is_alone = state.gossip.known_count() == 1;
        let is_dispatcher = state.is_dispatcher() && (!is_alone || has_to_read(&state, started_at));
        let result = if is_dispatcher {
            read_as_dispatcher(&state, &store).await
        } else if has_to_read(&state, started_at) {
            read_all(&state, &store).await.map(|_| ())
        } else {
            let is_new = state.knowledge.index().is_none();
            let period = match is_new {
                true => FIRST_READ_AFTER / 2,
                false => LOOK_PERIOD,
            };
            tokio::time::sleep(period).await;
            continue;
        };
        match result {
            Ok(()) if is_lost => {
                is_lost = false;
                log::info!("event=store_regained");
            }
            Ok(()) => {}
            Err(error) => {
                if !matches!(error, StoreError::Compacted) {
                    state.knowledge.on_store_failure(state.now());
                }
                if !is_lost && !matches!(error, StoreError::Compacted) {
                    is_lost = true;
                    log::warn!("event=store_lost error=\"{error}\"");
                }
                let spread = rand::rng().random_range(0..FAILURE_SPREAD_MILLIS);
                tokio::time::sleep(FAILURE_PAUSE + Duration::from_millis(spread)).await;
            }
        }
    }
}
