//! Follows the published configuration.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_border::{
    document::BorderError,
    prelude::*, //
};
use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_platform::prelude::*;
use smol_str::SmolStr;
use thiserror::Error;

use crate::{
    decision_log::DecisionLine,
    state::HostState, //
};

/// Pause after a failure of the platform.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Why a published version is not taken.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A document is not valid.
    #[error(transparent)]
    Border(#[from] BorderError),
    /// A part is not the one that the index lists.
    #[error("part {name} does not have the digest that the index lists")]
    WrongDigest {
        /// Name of the part.
        name: SmolStr,
    },
    /// A value is not text.
    #[error("value {name} is not UTF-8")]
    NotText {
        /// Name of the value.
        name: SmolStr,
    },
}

fn text_of(name: &str, value: &PlatformValue) -> Result<String, ConfigError> {
    String::from_utf8(value.content.to_vec())
        .map_err(|_| ConfigError::NotText { name: name.into() })
}

async fn read_snapshot(
    platform: &PlatformClient,
    index: &ConfigIndex,
) -> Result<FleetSnapshot, ConfigError> {
    let mut documents = Vec::new();
    for part in index.parts() {
        let value = platform.read(&part.name).await?;
        if DocumentDigest::of_document(&value.content) != part.digest {
            return Err(ConfigError::WrongDigest {
                name: part.name.clone(),
            });
        }
        let text = text_of(&part.name, &value)?;
        documents.push(read_document(&part.name, &text)?);
    }
    Ok(build_snapshot(index.version(), &documents)?)
}

/// Adopts a published index if it is newer than the version in force.
async fn adopt(
    state: &HostState,
    platform: &PlatformClient,
    value: &PlatformValue,
) -> Result<(), ConfigError> {
    let index = ConfigIndex::new(&text_of("index", value)?)?;
    let in_force = state.view().map(|view| view.snapshot().version());
    if in_force.is_some_and(|version| version >= index.version()) {
        return Ok(());
    }
    let snapshot = read_snapshot(platform, &index).await?;
    state.set_view(FleetView::new(Arc::new(snapshot), state.clock.unix()));
    DecisionLine::new("config_accepted")
        .with("version", index.version())
        .info();
    Ok(())
}

/// Follows the index on the platform until the task is dropped.
pub async fn follow(state: Arc<HostState>, platform: Arc<PlatformClient>) {
    let mut seen = ConfigVersion::default();
    loop {
        let outcome = match platform.wait_newer("index", seen).await {
            Ok(None) => continue,
            Ok(Some(value)) => {
                seen = value.version;
                adopt(&state, &platform, &value).await
            }
            Err(error) => Err(error.into()),
        };
        if let Err(error) = outcome {
            DecisionLine::new("config_refused")
                .with("error", error)
                .warn();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Puts booked changes in force at their time until the task is dropped.
pub async fn apply_bookings(state: Arc<HostState>) {
    /// Longest time from the start of a booking to its effect.
    const CHECK_PERIOD: Duration = Duration::from_millis(250);
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        let now = state.clock.unix();
        if let Some(view) = state.view()
            && view.next_edge().is_some_and(|edge| edge <= now)
        {
            state.set_view(FleetView::new(view.snapshot().clone(), now));
            DecisionLine::new("bookings_applied").with("at", now).info();
        }
    }
}
