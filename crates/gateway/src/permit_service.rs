//! Grants permits on this host and queues requests that have to wait.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use tokio::sync::oneshot;

use crate::{
    copy_use::{
        CopyUse,
        record_copy_use, //
    },
    queue_report::{
        log_queues,
        log_turned_away, //
    },
    state::GatewayState,
};

/// Interval at which the queues are served. Waits time out and blocks of targets expire without a message
/// that would trigger it.
const QUEUE_PERIOD: Duration = Duration::from_millis(50);

/// Interval at which changes of the queues are logged.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Additional time for the dispatcher to answer a request whose wait has ended.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Removes a request from its queue when the wait ends or the requesting host disconnects.
struct TicketGuard<'a> {
    state: &'a GatewayState,
    request: &'a AdmitRequest,
    ticket: TicketNumber,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        self.state.tickets.remove(&self.ticket);
        let zone = self.request.zone.as_ref();
        let dispatcher = &self.state.dispatcher;
        dispatcher.cancel(&self.request.service, zone, self.ticket);
    }
}

/// Answers a permit request with the load of its pool. Waits for a slot if none is free and the request allows it.
pub async fn admit(state: &Arc<GatewayState>, request: &AdmitRequest) -> PermitReply {
    let answer = decide(state, request).await;
    let zone = request.zone.as_ref();
    let load = state.dispatcher.load(&request.service, zone, state.now());
    PermitReply { answer, load }
}

async fn decide(state: &Arc<GatewayState>, request: &AdmitRequest) -> AdmitAnswer {
    let Some(index) = state.store_cache.index() else {
        return AdmitAnswer::NoTarget;
    };
    let (now, share, config) = (state.now(), state.share(), index.config());
    let directory = state.store_cache.directory();
    let answer = state
        .dispatcher
        .admit(request, config, &directory, share, now);
    match answer {
        PoolAnswer::Granted(grant) => {
            record_copy_use(state, CopyUse::Grant, &request.request);
            log_grant(request, &grant, (share, directory.as_of), Duration::ZERO);
            state.metrics.on_grant(grant.choice);
            AdmitAnswer::Granted(grant)
        }
        PoolAnswer::NoTarget => AdmitAnswer::NoTarget,
        PoolAnswer::Busy {
            expected_wait,
            return_after,
            has_less_trusted,
        } => {
            let terms = BusyTerms {
                expected_wait,
                return_after,
            };
            log_turned_away(state, request, terms, Duration::ZERO);
            busy_answer(terms, has_less_trusted)
        }
        PoolAnswer::OverRate { retry_after } => {
            state.metrics.on_over_rate();
            log_refusal(request, config, share, "over-rate");
            AdmitAnswer::OverRate {
                retry_millis: whole_millis(retry_after),
            }
        }
        PoolAnswer::NoBudget => {
            log_refusal(request, config, share, "no-budget");
            AdmitAnswer::NoBudget
        }
        PoolAnswer::Waiting(ticket) => {
            let answer = wait_for_slot(state, request, ticket).await;
            if let AdmitAnswer::Granted(grant) = &answer {
                record_copy_use(state, CopyUse::Grant, &request.request);
                let waited = state.now().since(now);
                log_grant(request, grant, (share, directory.as_of), waited);
                state.metrics.on_grant(grant.choice);
            }
            if let Some(terms) = busy_terms(&answer) {
                log_turned_away(state, request, terms, state.now().since(now));
            }
            answer
        }
    }
}

fn busy_answer(terms: BusyTerms, has_less_trusted: bool) -> AdmitAnswer {
    AdmitAnswer::Busy {
        retry_millis: whole_millis(terms.expected_wait),
        return_millis: terms.return_after.map(whole_millis),
        has_less_trusted,
    }
}

fn busy_terms(answer: &AdmitAnswer) -> Option<BusyTerms> {
    let millis = |millis: u32| Duration::from_millis(millis.into());
    match *answer {
        AdmitAnswer::Busy {
            retry_millis,
            return_millis,
            ..
        } => Some(BusyTerms {
            expected_wait: millis(retry_millis),
            return_after: return_millis.map(millis),
        }),
        _ => None,
    }
}

fn log_refusal(request: &AdmitRequest, config: &GatewayConfig, share: FleetShare, reason: &str) {
    let terms = request.team.as_ref().and_then(|team| config.team(team));
    log::info!(
        "event=permit_refused id={} service={} team={} reason={reason} share={} version={} rate={} burst={}",
        request.request,
        request.service,
        request.team.as_ref().map_or("-", TeamId::as_str),
        share.fraction,
        config.version(),
        terms.and_then(|terms| terms.rate).unwrap_or_default(),
        terms.map(|terms| terms.burst).unwrap_or_default()
    );
}

fn log_grant(
    request: &AdmitRequest,
    grant: &DispatchGrant,
    (share, as_of): (FleetShare, StorePosition),
    waited: Duration,
) {
    log::info!(
        "event=permit_granted id={} permit={} target={} trust={} limit={} service={} team={} charged={} \
         share={} as_of={as_of} waited_ms={} choice={} mean_ms={} expected_ms={}",
        request.request,
        grant.permit,
        grant.target,
        grant.trust,
        grant.limit,
        request.service,
        request.team.as_ref().map_or("-", TeamId::as_str),
        request.charged_team.is_some(),
        share.fraction,
        waited.as_millis(),
        grant.choice,
        grant.choice.mean_time.as_millis(),
        grant.choice.expected_time.as_millis()
    );
}

async fn wait_for_slot(
    state: &Arc<GatewayState>,
    request: &AdmitRequest,
    ticket: TicketNumber,
) -> AdmitAnswer {
    let (sender, answer) = oneshot::channel();
    state.tickets.insert(ticket, sender);
    let guard = TicketGuard {
        state,
        request,
        ticket,
    };
    let answer = tokio::time::timeout(request.wait() + ANSWER_MARGIN, answer).await;
    drop(guard);
    match answer {
        Ok(Ok(answer)) => answer,
        _ => AdmitAnswer::Busy {
            retry_millis: request.wait_millis,
            return_millis: None,
            has_less_trusted: false,
        },
    }
}

/// Sends grants and timeouts to the queued requests.
fn notify_waiting(state: &GatewayState, change: QueueChange) {
    for (ticket, grant) in change.granted {
        let sender = state.tickets.remove(&ticket);
        // If the requesting host has disconnected, nobody releases the permit; it expires at its deadline.
        let delivered = sender.map(|sender| sender.send(AdmitAnswer::Granted(grant)));
        if !matches!(delivered, Some(Ok(()))) {
            log::debug!("event=grant_not_taken ticket={ticket}");
        }
    }
    for (ticket, terms) in change.expired {
        if let Some(sender) = state.tickets.remove(&ticket) {
            // The requesting host may have disconnected.
            let _ = sender.send(busy_answer(terms, false));
        }
    }
}

/// Releases a permit and grants the freed slot to queued requests.
pub fn release(state: &GatewayState, notice: &ReleaseNotice) {
    let (effect, change) = state.dispatcher.release(notice, state.now());
    if let Some(limit) = effect.limit {
        log::info!(
            "event=target_limit target={} service={} limit={limit}",
            notice.target,
            notice.service
        );
    }
    if effect.is_blocked {
        log::info!(
            "event=target_blocked target={} service={} result={} elapsed_ms={}",
            notice.target,
            notice.service,
            notice.result,
            notice.elapsed_millis
        );
    }
    notify_waiting(state, change);
}

/// Serves the queues at an interval for as long as the process runs.
pub async fn serve_queues(state: Arc<GatewayState>) {
    let (mut totals, mut logged_at) = (QueueTotals::default(), state.now());
    loop {
        tokio::time::sleep(QUEUE_PERIOD).await;
        if state.now().since(logged_at) >= REPORT_PERIOD {
            (totals, logged_at) = (log_queues(&state, totals), state.now());
        }
        if !state.tickets.is_empty() {
            let directory = state.store_cache.directory();
            let change = state.dispatcher.serve_queues(&directory, state.now());
            notify_waiting(&state, change);
        }
    }
}
