//! Records what targets say about themselves in their answers.

use std::time::Duration;

use chicorycroft_directory::prelude::*;

use crate::state::GatewayState;

/// Records what a target said about itself in the answer to a request.
pub(crate) fn record_signals(
    state: &GatewayState,
    request: &str,
    entry: &TargetEntry,
    signals: TargetSignals,
) {
    let (target, now) = (&entry.id, state.now());
    let pause = Duration::from_millis(signals.pause_millis.into());
    if !pause.is_zero() {
        state.excluded.exclude(target, pause, now);
        log::info!(
            "event=target_paused id={request} target={target} pause_ms={}",
            pause.as_millis()
        );
    }
    if signals.is_leaving && state.excluded.on_leaving(entry, now) {
        log::info!("event=target_leaving id={request} target={target}");
    }
    let limits = &state.stated_limits;
    limits.on_answer(target, entry.born, signals.rate_limit);
}
