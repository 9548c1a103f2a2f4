//! Asks dispatchers for permits and gives them back.

use std::{
    sync::Arc,
    time::Duration, //
};

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;
use smol_str::SmolStr;

use crate::{
    peer_calls::{
        call_member,
        notify, //
    },
    permit_service,
    state::GatewayState, //
};

/// Time beyond the wait for a slot in which a dispatcher answers: two crossings of zones, and late turns
/// of two processes with a fifth of a core each.
pub(crate) const ANSWER_LIMIT: Duration = Duration::from_millis(150);

/// Hosts of a zone that are asked before this host decides by itself.
const DISPATCHERS_ASKED: usize = 2;

/// Time in which a permit given back must arrive.
pub(crate) const RELEASE_LIMIT: Duration = Duration::from_millis(500);

/// Where a permit came from.
#[derive(Clone, Debug)]
pub enum PermitSource {
    /// The dispatcher of this process.
    Local,
    /// Another host.
    Remote(MemberRecord),
}

impl PermitSource {
    /// Returns the host whose dispatcher answered.
    fn host<'a>(&'a self, own: &'a HostId) -> &'a HostId {
        match self {
            Self::Local => own,
            Self::Remote(member) => &member.host,
        }
    }
}

/// A permit, which goes back to its dispatcher when it is dropped.
#[derive(Debug)]
pub struct HeldPermit {
    state: Arc<GatewayState>,
    source: PermitSource,
    request: SmolStr,
    notice: ReleaseNotice,
    granted_at: MonoTime,
    hung_after: Duration,
    is_settled: bool,
}

impl HeldPermit {
    /// Returns the target.
    pub fn target(&self) -> &TargetId {
        &self.notice.target
    }

    /// Returns the time since the permit was granted.
    pub fn elapsed(&self) -> Duration {
        self.state.now().since(self.granted_at)
    }

    /// Returns the usual time of an answer.
    pub fn hung_after(&self) -> Duration {
        self.hung_after
    }

    /// Records how the attempt ended; the permit goes back with it.
    pub fn settle(mut self, result: AttemptResult) {
        self.notice.result = result;
        self.is_settled = true;
    }
}

impl Drop for HeldPermit {
    fn drop(&mut self) {
        let elapsed = self.elapsed();
        self.notice.elapsed_millis = whole_millis(elapsed);
        // An attempt that was given up says something about its target only when it took long.
        if !self.is_settled {
            if elapsed >= self.hung_after {
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

async fn send_release(state: &GatewayState, member: &MemberRecord, notice: ReleaseNotice) {
    let permit = notice.permit;
    let message = GatewayMessage::Release(notice);
    if let Err(error) = notify(state, member.address, message, RELEASE_LIMIT).await {
        // The permit ends by itself with the deadline of its request.
        log::info!(
            "event=release_lost permit={permit} dispatcher={} error=\"{error}\"",
            member.host
        );
    }
}

/// What came of asking for a permit.
#[derive(Debug)]
pub enum PermitAnswer {
    /// The request may be sent.
    Held(Box<HeldPermit>),
    /// It may not.
    Refused(AdmitAnswer),
    /// No dispatcher of the zone answered.
    Silent,
}

fn hold(
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
    let usual = Duration::from_millis(grant.mean_latency_millis.into());
    PermitAnswer::Held(Box::new(HeldPermit {
        state: state.clone(),
        source,
        request: request.request.clone(),
        notice: ReleaseNotice {
            service: request.service.clone(),
            zone: request.zone.clone(),
            target: grant.target,
            permit: grant.permit,
            result: AttemptResult::Cancelled,
            elapsed_millis: 0,
        },
        granted_at: state.now(),
        hung_after: hedge_delay(usual),
        is_settled: false,
    }))
}

/// Asks the dispatcher of this process.
pub async fn ask_self(state: &Arc<GatewayState>, request: &AdmitRequest) -> PermitAnswer {
    let answer = permit_service::admit(state, request).await;
    hold(state, request, PermitSource::Local, answer)
}

/// Asks the dispatcher of a zone, and the next host in order when it does not answer.
pub async fn ask_zone(
    state: &Arc<GatewayState>,
    zone: &ZoneId,
    request: &AdmitRequest,
) -> PermitAnswer {
    let ranked = state.gossip.ranked(zone, state.now());
    for (rank, member) in ranked.into_iter().take(DISPATCHERS_ASKED).enumerate() {
        if member.host == state.settings.host {
            return ask_self(state, request).await;
        }
        let message = GatewayMessage::Admit(request.clone());
        // A host that is not the dispatcher asks the one that it follows first.
        let limit = match rank {
            0 => request.wait() + ANSWER_LIMIT,
            _ => request.wait() + 2 * ANSWER_LIMIT,
        };
        match call_member(state, &member, message, limit).await {
            Ok(GatewayMessage::Admitted(answer)) => {
                return hold(state, request, PermitSource::Remote(member), answer);
            }
            Ok(_) => log::warn!("event=peer_answer_unexpected host={}", member.host),
            // The next host is asked; the loss has been logged.
            Err(_) => {}
        }
    }
    PermitAnswer::Silent
}
