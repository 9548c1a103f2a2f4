//! Adopts published versions and applies bookings.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_border::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_platform::prelude::*;
use smol_str::format_smolstr;
use tokio::{
    sync::watch,
    time::Instant, //
};

use crate::{
    config_fetch::{
        ConfigError,
        FetchSources,
        text_of, //
    },
    config_watch,
    decision_log::DecisionLine,
    owned_targets,
    roster_loop,
    state::HostState, //
};

/// Shortest pause after a failed fetch. It exceeds the time for which the follower ignores the same
/// version.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(600);

/// Handles an index that the platform or another host announced.
pub fn on_index(state: &HostState, source: IndexSource, summary: IndexSummary) -> IndexVerdict {
    let now = state.clock.mono();
    let verdict = state
        .config
        .with_follower(|follower| follower.on_index(source.clone(), summary, now));
    match verdict {
        IndexVerdict::Fetch => state.config.request_fetch(),
        IndexVerdict::Conflict {
            known,
            is_first: true,
        } => {
            let reason = format_smolstr!(
                "version {} was published twice, with the digests {known} and {}; publish the \
                 right content under a higher version",
                summary.version,
                summary.digest
            );
            let from = match &source {
                IndexSource::Platform => "platform",
                IndexSource::Peer { host, .. } => host.as_str(),
            };
            DecisionLine::new("config_conflict")
                .with("version", summary.version)
                .with("known", known)
                .with("digest", summary.digest)
                .with("from", from)
                .warn();
            state.set_refused_version(Some(reason));
        }
        _ => {}
    }
    verdict
}

/// Fetches and adopts announced versions until the task is dropped.
pub async fn adopt(state: Arc<HostState>, platform: Arc<PlatformClient>) {
    let mut backoff = RetryBackoff::new();
    let next_fetch = || state.config.with_follower(|follower| follower.next_fetch());
    loop {
        let Some(summary) = next_fetch() else {
            state.config.fetch_requested().await;
            continue;
        };
        let sources: Vec<IndexSource> = state
            .config
            .with_follower(|follower| follower.sources().cloned().collect());
        let Err(error) = adopt_version(&state, &platform, summary, &sources).await else {
            backoff.on_success();
            continue;
        };
        if error.is_invalid_version() {
            refuse(&state, summary, &error);
            continue;
        }
        DecisionLine::new("config_not_fetched")
            .with("version", summary.version)
            .with("error", error)
            .warn();
        let now = state.clock.mono();
        state
            .config
            .with_follower(|follower| follower.on_fetch_failed(summary, now));
        let pause = backoff.on_failure(jitter(&state)).max(RETRY_PAUSE_MIN);
        let retry_at = Instant::now() + pause;
        while next_fetch().is_none() && Instant::now() < retry_at {
            // The conditions of the loop distinguish a timeout from a request to fetch.
            let _ = tokio::time::timeout_at(retry_at, state.config.fetch_requested()).await;
        }
        if next_fetch().is_none() {
            // The platform announces a version only once, so that the announcement is replayed here.
            for source in sources {
                on_index(&state, source, summary);
            }
        }
    }
}

/// Returns a random fraction of a pause, in units of 1/65,535.
pub fn jitter(state: &HostState) -> u16 {
    u16::try_from(state.random() & u64::from(u16::MAX)).unwrap_or(0)
}

fn refuse(state: &HostState, summary: IndexSummary, error: &ConfigError) {
    state
        .config
        .with_follower(|follower| follower.refuse_index(summary));
    DecisionLine::new("config_refused")
        .with("version", summary.version)
        .with("error", error)
        .warn();
    let reason = format_smolstr!("version {}: {error}", summary.version);
    state.set_refused_version(Some(reason));
}

async fn adopt_version(
    state: &Arc<HostState>,
    platform: &Arc<PlatformClient>,
    summary: IndexSummary,
    announced_by: &[IndexSource],
) -> Result<(), ConfigError> {
    let may_read =
        announced_by.contains(&IndexSource::Platform) || config_watch::may_read_platform(state);
    let sources = FetchSources::new(state, announced_by, may_read.then_some(platform));
    let index_part = PartSummary {
        name: "index".into(),
        digest: summary.digest,
    };
    sources.fetch(state, &[index_part]).await?;
    let content = state.config.document(&summary.digest).unwrap_or_default();
    let index = ConfigIndex::new(&text_of("index", &content)?)?;
    if index.version() != summary.version {
        return Err(ConfigError::VersionMismatch {
            found: index.version(),
            announced: summary.version,
        });
    }
    let parts: Vec<PartSummary> = index.parts().iter().map(summary_of).collect();
    let plan = state
        .config
        .with_follower(|follower| follower.on_parts(summary, &parts))
        .ok_or(ConfigError::Superseded)?;
    sources.fetch(state, &plan.missing).await?;
    let snapshot = validate(state, &index).await?;
    state
        .config
        .with_follower(|follower| follower.accept(summary))
        .map_err(|_| ConfigError::Superseded)?;
    activate(state, Some(Arc::new(snapshot)));
    state.config.drop_unused_documents();
    state.set_refused_version(None);
    state.config.request_heartbeats();
    DecisionLine::new("config_accepted")
        .with("version", summary.version)
        .with("fetched", plan.missing.len())
        .with("reused", plan.reused)
        .info();
    Ok(())
}

fn summary_of(part: &IndexPart) -> PartSummary {
    PartSummary {
        name: part.name.clone(),
        digest: part.digest,
    }
}

/// Parses and validates all documents of a version on a blocking thread.
async fn validate(state: &HostState, index: &ConfigIndex) -> Result<FleetSnapshot, ConfigError> {
    let mut contents = Vec::new();
    for part in index.parts() {
        let content = state.config.document(&part.digest);
        let name = part.name.clone();
        contents.push((name.clone(), content.ok_or(ConfigError::NotFound { name })?));
    }
    let version = index.version();
    let build = move || {
        let mut documents = Vec::new();
        for (name, content) in contents {
            documents.push(read_document(&name, &text_of(&name, &content)?)?);
        }
        Ok(build_snapshot(version, &documents)?)
    };
    let validated = tokio::task::spawn_blocking(build).await;
    validated.map_err(|_| ConfigError::ValidationAborted)?
}

/// Puts a snapshot in force with the current bookings; `None` applies them to the one in force.
pub fn activate(state: &Arc<HostState>, snapshot: Option<Arc<FleetSnapshot>>) {
    let booking_time = state.booking_time();
    let make = |view: Option<&FleetView>| {
        let snapshot = snapshot.or_else(|| view.map(|view| view.snapshot().clone()))?;
        let is_older = view.is_some_and(|view| view.snapshot().version() > snapshot.version());
        (!is_older).then(|| FleetView::new(snapshot, booking_time))
    };
    let Some(view) = state.replace_view(make) else {
        return;
    };
    roster_loop::apply_regions(state);
    let now = state.clock.mono();
    state
        .ledger
        .apply_limits(|team| state.terms_of(&view, team), now);
    owned_targets::refresh(state);
}

/// Puts booked changes in force at their time until the task is dropped. A booking that stops this
/// host requests its planned stop.
pub async fn apply_bookings(state: Arc<HostState>, drain: watch::Sender<bool>) {
    /// Longest delay from the start of a booking to its effect.
    const CHECK_PERIOD: Duration = Duration::from_millis(250);
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        let now = state.booking_time();
        let Some(view) = state.view() else {
            continue;
        };
        if view.next_change().is_some_and(|change_at| change_at <= now) {
            activate(&state, None);
            DecisionLine::new("bookings_applied").with("at", now).info();
        }
        if state.is_booked_to_stop() && !drain.send_replace(true) {
            DecisionLine::new("stop_booked").with("at", now).info();
        }
    }
}
