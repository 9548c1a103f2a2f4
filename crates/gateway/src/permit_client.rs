//! Obtains permits from dispatchers and releases them.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;
use smol_str::SmolStr;

use crate::{
    late_permit::call_dispatcher,
    load_view::record_reply,
    peer_calls::notify,
    permit_service,
    state::GatewayState, //
};

/// Time in which a dispatcher answers, in addition to the wait for a slot. It covers one round trip between
/// zones and the scheduling delays of two processes with a fifth of a core each.
pub(crate) const ANSWER_LIMIT: Duration = Duration::from_millis(150);

/// Maximum number of hosts of a zone that receive a permit request. If none answers, the zone counts as unavailable.
const DISPATCHERS_TRIED_MAX: usize = 2;

/// Timeout for sending a permit release to its dispatcher.
pub(crate) const RELEASE_LIMIT: Duration = Duration::from_millis(500);

/// The dispatcher that granted a permit.
#[derive(Clone, Debug)]
pub enum PermitSource {
    /// The dispatcher of this process.
    Local,
    /// The dispatcher of another host.
    Remote(MemberRecord),
}

impl PermitSource {
    /// Returns the host of the dispatcher; `own` is this host.
    fn host<'a>(&'a self, own: &'a HostId) -> &'a HostId {
        match self {
            Self::Local => own,
            Self::Remote(member) => &member.host,
        }
    }
}

/// A permit to send one request to one target, released to its dispatcher on drop.
#[derive(Debug)]
pub struct HeldPermit {
    state: Arc<GatewayState>,
    source: PermitSource,
    request: SmolStr,
    notice: ReleaseNotice,
    granted_at: MonoTime,
    hedge_delay: Duration,
    limit: LimitState,
    is_completed: bool,
}

impl HeldPermit {
    /// Returns the target that the permit is for.
    pub fn target(&self) -> &TargetId {
        &self.notice.target
    }

    /// Returns the time since the permit was granted.
    pub fn elapsed(&self) -> Duration {
        self.state.now().since(self.granted_at)
    }

    /// Returns the time after which an unanswered attempt is hedged.
    pub fn hedge_delay(&self) -> Duration {
        self.hedge_delay
    }

    /// Returns what the dispatcher knows about the rate limit of the target.
    pub fn limit(&self) -> LimitState {
        self.limit
    }

    /// Releases the permit of a request that was not sent. `signals` is what the target said about itself to this host
    /// before, if the dispatcher does not know it.
    pub fn cancel(self, signals: Option<TargetSignals>) {
        self.complete(AttemptResult::Cancelled, signals);
    }

    /// Releases the permit with the result of its attempt and what the target said about itself.
    pub fn complete(mut self, result: AttemptResult, signals: Option<TargetSignals>) {
        (self.notice.result, self.notice.signals) = (result, signals);
        self.is_completed = true;
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        let elapsed = self.elapsed();
        self.notice.elapsed_millis = whole_millis(elapsed);
        // An abandoned attempt is evidence against its target only if it took at least the hedge delay.
        if !self.is_completed {
            if elapsed >= self.hedge_delay {
                self.notice.result = AttemptResult::Hung;
            }
            log::info!(
                "event=attempt_given_up id={} target={} permit={} result={} elapsed_ms={}",
                self.request,
                self.notice.target,
                self.notice.permit,
                self.notice.result,
                elapsed.as_millis()
            );
        }
        self.state
            .metrics
            .on_attempt(&self.notice.result.to_string());
        let notice = self.notice.clone();
        match &self.source {
            PermitSource::Local => permit_service::release(&self.state, &notice),
            PermitSource::Remote(member) => {
                let (state, member) = (self.state.clone(), member.clone());
                tokio::spawn(async move { send_release(&state, &member, notice).await });
            }
        }
    }
}

pub(crate) async fn send_release(
    state: &GatewayState,
    member: &MemberRecord,
    notice: ReleaseNotice,
) {
    let permit = notice.permit;
    let message = GatewayMessage::Release(notice);
    if let Err(error) = notify(state, member.address, message, RELEASE_LIMIT).await {
        // The permit expires with the deadline of its request.
        log::info!(
            "event=release_lost permit={permit} dispatcher={} error=\"{error}\"",
            member.host
        );
    }
}

/// Result of a permit request.
#[derive(Debug)]
pub enum PermitAnswer {
    /// A dispatcher granted a permit.
    Granted(Box<HeldPermit>),
    /// A dispatcher refused the request.
    Refused(AdmitAnswer),
    /// No dispatcher of the zone answered.
    NoAnswer,
}

/// Returns the release of a permit that was not used.
pub(crate) fn unused_notice(
    host: &HostId,
    request: &AdmitRequest,
    target: TargetId,
    permit: PermitNumber,
) -> ReleaseNotice {
    ReleaseNotice {
        service: request.service.clone(),
        zone: request.zone.clone(),
        target,
        permit,
        result: AttemptResult::Cancelled,
        elapsed_millis: 0,
        signals: None,
        host: Some(host.clone()),
    }
}

/// Converts a dispatcher's answer into a [`PermitAnswer`], counts it and logs refusals.
fn accept_answer(
    state: &Arc<GatewayState>,
    request: &AdmitRequest,
    source: PermitSource,
    answer: AdmitAnswer,
) -> PermitAnswer {
    let name = match &answer {
        AdmitAnswer::Granted(_) => "granted",
        AdmitAnswer::OverRate { .. } => "over-rate",
        AdmitAnswer::Busy { .. } => "busy",
        AdmitAnswer::NoTarget => "no-target",
        AdmitAnswer::NoBudget => "no-budget",
    };
    state.metrics.on_permit(name);
    let grant = match answer {
        AdmitAnswer::Granted(grant) => grant,
        refusal => {
            log::info!(
                "event=permit_answer id={} zone={} dispatcher={} answer={name} wait_ms={} left_ms={} \
                 least_trust={} tried={}",
                request.request,
                request.zone.as_ref().map_or("any", ZoneId::as_str),
                source.host(&state.settings.host),
                request.wait_millis,
                request.left_millis,
                request.least_trust,
                request.tried.len()
            );
            return PermitAnswer::Refused(refusal);
        }
    };
    let mean_latency = Duration::from_millis(grant.mean_latency_millis.into());
    PermitAnswer::Granted(Box::new(HeldPermit {
        state: state.clone(),
        source,
        request: request.request.clone(),
        notice: unused_notice(&state.settings.host, request, grant.target, grant.permit),
        granted_at: state.now(),
        hedge_delay: hedge_delay(mean_latency),
        limit: grant.limit,
        is_completed: false,
    }))
}

/// Requests a permit from the dispatcher of this process.
pub async fn request_local_permit(
    state: &Arc<GatewayState>,
    request: &AdmitRequest,
) -> PermitAnswer {
    let sent_at = state.now();
    let reply = permit_service::admit(state, request).await;
    record_reply(state, request, &reply, sent_at);
    accept_answer(state, request, PermitSource::Local, reply.answer)
}

/// Requests a permit from the dispatcher of a zone, or from the next host in rank if it does not answer.
pub async fn request_zone_permit(
    state: &Arc<GatewayState>,
    zone: &ZoneId,
    request: &AdmitRequest,
) -> PermitAnswer {
    let ranked = state.ranked(zone);
    // The way to a zone includes the time lost on hosts that did not answer.
    let sent_at = state.now();
    for (rank, member) in ranked.into_iter().take(DISPATCHERS_TRIED_MAX).enumerate() {
        if member.host == state.settings.host {
            return request_local_permit(state, request).await;
        }
        let message = GatewayMessage::Admit(request.clone());
        // A host that is not the dispatcher first relays the request to the one that it follows.
        let limit = match rank {
            0 => request.wait() + ANSWER_LIMIT,
            _ => request.wait() + 2 * ANSWER_LIMIT,
        };
        match call_dispatcher(state, &member, request, message, limit).await {
            Ok(GatewayMessage::Admitted(reply)) => {
                record_reply(state, request, &reply, sent_at);
                let source = PermitSource::Remote(member);
                return accept_answer(state, request, source, reply.answer);
            }
            Ok(_) => log::warn!("event=peer_answer_unexpected host={}", member.host),
            // `call_dispatcher` has logged the loss of the host; the next host is tried.
            Err(_) => {}
        }
    }
    state.zone_loads.record_silence(zone, state.now());
    PermitAnswer::NoAnswer
}
