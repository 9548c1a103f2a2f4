//! Reads the store when this host is responsible for it.
//!
//! The dispatcher of a zone watches the store, and so do hosts that a dispatcher asks because the store does not serve
//! it. Another host reads the store once when its cached data is too old. The hosts of a zone that started first read
//! first, so the fleet makes few calls while the store is down.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;

use crate::{state::GatewayState, store_reader::PartReader};

/// Time after the start at which a host without data reads the store. It leaves a peer enough time to answer
/// first.
const FIRST_READ_DELAY: Duration = Duration::from_millis(100);

/// Waits until this host need not watch the store any more.
async fn until_watch_ends(state: &GatewayState) {
    while state.is_reader() {
        tokio::time::sleep(state.change_budget().check_period()).await;
    }
}

/// Reads and watches both parts of the store, until another host takes over.
async fn watch_store(state: &GatewayState, store: &StoreClient) {
    let [operator, targets] = StorePart::ALL.map(|part| PartReader::new(state, store, part));
    tokio::select! {
        () = operator.follow() => {}
        () = targets.follow() => {}
        () = until_watch_ends(state) => {}
    }
}

/// Reads both parts of the store once. Returns `false` if a call failed.
async fn read_once(state: &GatewayState, store: &StoreClient) -> bool {
    for part in StorePart::ALL {
        let reader = PartReader::new(state, store, part);
        if let Err(error) = reader.read().await {
            reader.record_failure(&error);
            return false;
        }
    }
    true
}

/// Waits for `pause`, or until this host must watch the store.
async fn pause_reads(state: &GatewayState, pause: Duration) {
    let until_reader = async {
        while !state.is_reader() {
            tokio::select! {
                () = tokio::time::sleep(state.change_budget().check_period()) => {}
                () = state.until_read_wanted() => {}
            }
        }
    };
    // The end of the pause is no failure.
    let _ = tokio::time::timeout(pause, until_reader).await;
}

/// Returns `true` if the cached data is old enough for this host to read the store itself. A host without data
/// cannot serve callers and reads soon after its start, unless another host is sending it the configuration. One that awaits
/// a later configuration from another host reads later.
fn should_read(state: &GatewayState, started_at: MonoTime) -> bool {
    let now = state.now();
    let Some(age) = state.store_cache.copy_age(now) else {
        return now.since(started_at) > FIRST_READ_DELAY && state.config_fetch.version().is_none();
    };
    let budget = state.change_budget();
    let is_awaited = state
        .store_cache
        .is_config_awaited(2 * budget.follow_wait(), now);
    let read_age = match is_awaited {
        true => budget.awaited_read_age(state.rank()),
        false => budget.read_age(state.rank()),
    };
    age.get() > read_age
}

/// Reads or watches the store as needed for as long as the process runs.
pub async fn read(state: Arc<GatewayState>) {
    let store = StoreClient::new(state.settings.store);
    let started_at = state.now();
    let mut failed_reads = 0;
    loop {
        let is_alone = state.gossip.known_count() == 1;
        let budget = state.change_budget();
        if state.is_reader() && (!is_alone || should_read(&state, started_at)) {
            watch_store(&state, &store).await;
        } else if should_read(&state, started_at) {
            failed_reads = match read_once(&state, &store).await {
                true => 0,
                false => {
                    pause_reads(&state, budget.retry_pause(failed_reads)).await;
                    failed_reads + 1
                }
            };
        } else {
            let has_no_config = state.store_cache.index().is_none();
            let period = match has_no_config {
                true => FIRST_READ_DELAY / 2,
                false => budget.check_period(),
            };
            tokio::select! {
                () = tokio::time::sleep(period) => {}
                () = state.until_read_wanted() => {}
            }
        }
    }
}
