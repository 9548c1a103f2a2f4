//! Reads the store when this host is responsible for it.
//!
//! The dispatcher of a zone watches the store. Another host reads it once when its cached data is too old.
//! The hosts of a zone that started first read first, so the fleet makes few calls while the store is down.

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

/// Time for which the store delays the answer to a watch while nothing changes. An empty answer confirms that
/// the cached data is up to date.
const WATCH_WAIT: Duration = Duration::from_millis(500);

/// Pause between calls of the watch of targets. Targets write about 25 times a second, and each answer counts
/// as a paid call. A target that leaves is still noticed well within the two seconds that the platform allows.
const TARGET_WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Timeout for an answer of the store, in addition to the wait of a watch. The store usually answers within
/// 4 ms, and within 0.3 s when it is slow.
const ANSWER_LIMIT: Duration = Duration::from_millis(700);

/// Age of the cached data after which the first host in rank reads the store. A follower's copy is up to
/// [`WATCH_WAIT`] and one long poll of 0.5 s old while its dispatcher is served.
const READ_AGE: Duration = Duration::from_millis(1000);

/// Addition to [`READ_AGE`] for each host of the zone that started earlier. A target that leaves must be known within
/// two seconds also if the store refuses the first hosts in rank.
const READ_AGE_STEP: Duration = Duration::from_millis(250);

/// Time after the start at which a host without data reads the store. It leaves a peer enough time to answer
/// first.
const FIRST_READ_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of [`READ_AGE_STEP`]s that are added.
const READ_AGE_STEPS_MAX: u32 = 4;

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Largest random addition to [`FAILURE_PAUSE`], in milliseconds.
const FAILURE_JITTER_MILLIS: u64 = 150;

/// Interval at which a host checks whether it should read the store.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Reads all operators' and targets' entries once and returns the revisions of both parts.
///
/// # Errors
///
/// Returns an error if the store does not answer both reads in time.
async fn read_all(
    state: &GatewayState,
    store: &StoreClient,
) -> Result<(StoreRevision, StoreRevision), StoreError> {
    let sent_at = state.now();
    let operator = store.range(OPERATOR_PREFIX, ANSWER_LIMIT).await?;
    let targets = store.range(TARGET_PREFIX, ANSWER_LIMIT).await?;
    let now = state.now();
    state.store_cache.on_store_answer(now);
    let (mut entries, mut evacuated) = (Vec::new(), IndexSet::new());
    for item in operator.items.iter().chain(&targets.items) {
        match decode_item(item) {
            Ok(StoreUpdate::Directory(DirectoryChange::TargetUpdated(entry))) => {
                entries.push(entry);
            }
            Ok(StoreUpdate::Directory(DirectoryChange::ZoneEvacuated(zone))) => {
                evacuated.insert(zone);
            }
            Ok(StoreUpdate::Config(config)) => {
                state.store_cache.adopt_config(config, "store");
            }
            Ok(_) => {}
            Err(error) => log::warn!("event=document_refused key={} error=\"{error}\"", item.key),
        }
    }
    let as_of = (operator.as_of, targets.as_of);
    state
        .store_cache
        .replace_directory(entries, evacuated, as_of, now);
    for part in StorePart::ALL {
        state.store_cache.confirm(part, sent_at);
    }
    Ok((operator.as_of, targets.as_of))
}

/// Watches one part of the store from a revision on, until a call fails.
async fn watch(
    state: &GatewayState,
    store: &StoreClient,
    part: StorePart,
    mut after: StoreRevision,
) -> StoreError {
    let (prefix, pause) = match part {
        StorePart::Operator => (OPERATOR_PREFIX, Duration::ZERO),
        StorePart::Targets => (TARGET_PREFIX, TARGET_WATCH_PAUSE),
    };
    loop {
        let sent_at = state.now();
        let events = store.watch(prefix, after, WATCH_WAIT, ANSWER_LIMIT).await;
        let events = match events {
            Ok(events) => events,
            Err(error) => return error,
        };
        after = events.as_of.max(after);
        let now = state.now();
        if part == StorePart::Targets {
            state.store_cache.on_store_answer(now);
        }
        state.store_cache.apply(part, &events, now);
        state.store_cache.confirm(part, sent_at);
        tokio::time::sleep(pause).await;
    }
}

/// Waits until this host is no longer the dispatcher of its zone, or must read the store in full again.
async fn until_watch_ends(state: &GatewayState, read_at: MonoTime) {
    while state.is_dispatcher() && !state.store_cache.is_read_due(read_at, state.now()) {
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

/// Reads and watches the store as the dispatcher of a zone, until a call fails, another host takes over or the store
/// must be read in full again.
async fn read_as_dispatcher(state: &GatewayState, store: &StoreClient) -> Result<(), StoreError> {
    let read_at = state.now();
    let (operator, targets) = read_all(state, store).await?;
    log::info!("event=store_watched operator_revision={operator} target_revision={targets}");
    let operator = watch(state, store, StorePart::Operator, operator);
    let targets = watch(state, store, StorePart::Targets, targets);
    tokio::select! {
        error = operator => Err(error),
        error = targets => Err(error),
        () = until_watch_ends(state, read_at) => Ok(()),
    }
}

/// Returns `true` if the cached data is old enough for this host to read the store itself. A host without data
/// cannot serve callers and reads soon after its start.
fn should_read(state: &GatewayState, started_at: MonoTime) -> bool {
    let now = state.now();
    let Some(age) = state.store_cache.age(now) else {
        return now.since(started_at) > FIRST_READ_DELAY;
    };
    let rank = u32::try_from(state.rank()).unwrap_or(u32::MAX);
    age.get() > READ_AGE + READ_AGE_STEP * rank.min(READ_AGE_STEPS_MAX)
}

/// Reads or watches the store as needed for as long as the process runs.
pub async fn read(state: Arc<GatewayState>) {
    let store = StoreClient::new(state.settings.store);
    let started_at = state.now();
    let mut is_store_lost = false;
    loop {
        let is_alone = state.gossip.known_count() == 1;
        let is_dispatcher = state.is_dispatcher() && (!is_alone || should_read(&state, started_at));
        let result = if is_dispatcher {
            read_as_dispatcher(&state, &store).await
        } else if should_read(&state, started_at) {
            read_all(&state, &store).await.map(|_| ())
        } else {
            let has_no_config = state.store_cache.index().is_none();
            let period = match has_no_config {
                true => FIRST_READ_DELAY / 2,
                false => CHECK_PERIOD,
            };
            tokio::time::sleep(period).await;
            continue;
        };
        match result {
            Ok(()) if is_store_lost => {
                is_store_lost = false;
                log::info!("event=store_regained");
            }
            Ok(()) => {}
            Err(error) => {
                if !matches!(error, StoreError::Compacted) {
                    state.store_cache.on_store_failure(state.now());
                }
                if !is_store_lost && !matches!(error, StoreError::Compacted) {
                    is_store_lost = true;
                    log::warn!("event=store_lost error=\"{error}\"");
                }
                let jitter = rand::rng().random_range(0..FAILURE_JITTER_MILLIS);
                tokio::time::sleep(FAILURE_PAUSE + Duration::from_millis(jitter)).await;
            }
        }
    }
}
