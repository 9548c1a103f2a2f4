//! Keeps and uses the loads that dispatchers return: records them, and logs and counts what they decide.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;

use crate::{
    state::GatewayState,
    zone_search::ZoneSearch, //
};

/// Reason for a request that the loads of all zones refuse.
pub(crate) const ZONES_FULL: &str = "zones-full";

/// Part of the time left within which a caller that is refused at the door returns. With the jitter on the stated time it is
/// a third, up to which callers follow it.
const RETURN_PART: u32 = 5;

/// Returns the time after which a caller that is refused at the door returns.
pub(crate) fn door_return(refusal: &DoorRefusal, left: Duration) -> Duration {
    refusal.expected_wait.min(left / RETURN_PART)
}

/// Returns the zones with targets of a service, the local one first.
pub(crate) fn zones_of(state: &GatewayState, service: &ServiceId) -> Vec<ZoneId> {
    let own = &state.settings.zone;
    let directory = state.store_cache.directory();
    let mut others = directory.zones_of(service);
    let own = others.shift_take(own);
    own.into_iter().chain(others).collect()
}

/// Records the load in the answer to a request for a permit, which was sent at a time. A load that comes without a wait
/// counts as old as its request.
pub(crate) fn record_reply(
    state: &GatewayState,
    request: &AdmitRequest,
    reply: &PermitReply,
    sent_at: MonoTime,
) {
    let Some(zone) = &request.zone else {
        return;
    };
    let now = state.now();
    let has_waited = request.wait_millis > 0;
    if !has_waited {
        state.zone_loads.record_way(zone, now.since(sent_at));
    }
    if let Some(load) = &reply.load {
        let at = if has_waited { now } else { sent_at };
        state
            .zone_loads
            .record(&request.service, zone, load.clone(), at);
    }
}

/// Decides by the loads of the zones whether a request is refused, and counts and logs a refusal.
pub(crate) fn ask_door(state: &GatewayState, request: &DoorRequest<'_>, id: &str) -> DoorAnswer {
    let zones = zones_of(state, request.service);
    let answer = state.zone_loads.decide(request, &zones, state.now());
    let DoorAnswer::Refused(refusal) = answer else {
        return answer;
    };
    state.metrics.on_door_refusal();
    state.metrics.on_calls_saved("door", zones.len());
    state.metrics.on_load_use(refusal.age);
    if let Some(count) = refusal.report {
        log::info!(
            "event=door_refused id={id} service={} team={} priority={} zones={} expected_ms={} wait_ms={} \
             age_ms={} count={count}",
            request.service,
            request.team.map_or("-", TeamId::as_str),
            request.priority,
            zones.len(),
            refusal.expected_wait.as_millis(),
            request.wait.as_millis(),
            refusal.age.as_millis()
        );
    }
    answer
}

/// Records the loads that leave zones out of a search, and logs an order in which the home zone is not first.
pub(crate) fn record_search(state: &GatewayState, request: &DoorRequest<'_>, search: &ZoneSearch) {
    let views = search.choice.views();
    let full = views.iter().filter(|view| view.is_full());
    full.for_each(|view| state.metrics.on_load_use(view.age));
    let is_home_first = views
        .first()
        .is_none_or(|view| view.zone == state.settings.zone);
    let is_due = || state.zone_loads.is_report_due(request.service, state.now());
    if is_home_first || !is_due() {
        return;
    }
    log::info!(
        "event=zones_ordered service={} priority={} order={}",
        request.service,
        request.priority,
        views
            .iter()
            .map(|view| format_view(view, request.priority))
            .collect::<Vec<_>>()
            .join(",")
    );
}

/// Formats what is known about a zone: name, expected wait, way and age of the load in milliseconds.
fn format_view(view: &ZoneView, priority: u8) -> String {
    let millis = |time: Duration| time.as_millis();
    format!(
        "{}:{}:{}:{}{}",
        view.zone,
        millis(view.expected_wait(priority)),
        millis(view.way),
        view.load
            .as_ref()
            .map_or("-".to_owned(), |_| millis(view.age).to_string()),
        if view.is_silent { ":silent" } else { "" }
    )
}
