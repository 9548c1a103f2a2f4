//! Search of a request for a target with a free slot, over the zones.

use std::time::Duration;

use chicorycroft_adapter::prelude::*;
use chicorycroft_core::{
    prelude::*,
    rendezvous::ranked, //
};
use chicorycroft_dispatch::prelude::*;

use crate::{
    load_view::{
        ZONES_FULL,
        ask_door,
        door_return,
        record_search,
        zones_of, //
    },
    permit_client::{
        request_local_permit,
        request_zone_permit, //
    },
    request_attempts::{
        BUSY_ANSWER,
        PermittedTarget,
        RequestAttempts,
        RequestOutcome, //
    },
    zone_search::ZoneSearch, //
};

/// Maximum number of permits of one zone in a row that a request does not use because this host knows better.
const UNUSABLE_GRANTS_MAX: usize = 3;

/// Fraction of the time left, in tenths, in which a dispatcher must have answered; the host decides for itself after it.
/// A request that waits for all hosts of all zones has no time left for its target.
const SILENCE_TENTHS: u32 = 2;

impl RequestAttempts {
    /// Returns what a refusal by the loads of the zones depends on.
    fn door_request(&self) -> DoorRequest<'_> {
        DoorRequest {
            service: &self.plan.service,
            team: self.plan.team.as_ref(),
            priority: self.plan.priority,
            wait: self.budget().wait_max(self.plan.objective),
            body_time: Duration::ZERO,
        }
    }

    /// Creates a search with the zones ordered by the expected time to an answer.
    fn new_search(&self, may_wait: bool) -> ZoneSearch {
        // The order of zones at equal times differs by request, so that none goes last for all.
        let zones = zones_of(&self.state, &self.plan.service);
        let zones = ranked(&self.plan.id, &zones, |zone| zone.as_str());
        let zones: Vec<ZoneId> = zones.into_iter().cloned().collect();
        let loads = &self.state.zone_loads;
        let views = loads.views(&self.plan.service, &zones, self.state.now());
        let terms = OrderTerms {
            home: &self.state.settings.zone,
            priority: self.plan.priority,
            length: BodyLength::new(self.plan.outgoing.body.len() as u64),
        };
        let search = ZoneSearch::new(terms, views, may_wait);
        record_search(&self.state, &self.door_request(), &search);
        search
    }

    /// Finds a target and obtains a permit for it.
    ///
    /// Searches the zones, by the expected time to an answer, for a target that is neither blocked nor doubtful, then
    /// the zones that reported less trusted targets with a free slot. If `may_wait` is set, zones that were full a moment
    /// ago are left out, and the request then waits for a slot where it is expected first. If no dispatcher answered,
    /// this host decides with its own dispatcher.
    pub(crate) async fn find_target(
        &mut self,
        may_wait: bool,
    ) -> Result<PermittedTarget, AdmitAnswer> {
        let mut search = self.new_search(may_wait);
        let silence_max = self.budget().left * SILENCE_TENTHS / 10;
        let silent_at = self.state.now().after(silence_max);
        let least_trust = TargetTrust::Unknown;
        for zone in search.zones.clone() {
            if search.is_unanswered && self.state.now() > silent_at {
                return self.find_target_locally().await;
            }
            if may_wait && search.choice.leaves_out(&zone, self.door_request().wait) {
                continue;
            }
            let request = self.admit_request(Some(&zone), Duration::ZERO, least_trust);
            match self.request_permit(&zone, request, &mut search).await {
                Err(refusal) if ZoneSearch::continues_after(&refusal) => {}
                result => return result,
            }
        }
        for zone in search.less_trusted_zones.clone() {
            let request = self.admit_request(Some(&zone), Duration::ZERO, TargetTrust::Blocked);
            match self.request_permit(&zone, request, &mut search).await {
                Err(refusal) if ZoneSearch::continues_after(&refusal) => {}
                result => return result,
            }
        }
        if may_wait {
            match self.wait_for_slot(&mut search).await {
                Err(refusal) if ZoneSearch::continues_after(&refusal) => {}
                result => return result,
            }
        }
        match search.is_unanswered {
            true => self.find_target_locally().await,
            false => Err(search.refusal),
        }
    }

    /// Waits for a slot in the zone where one is expected first, then in the next one while time is left.
    async fn wait_for_slot(
        &mut self,
        search: &mut ZoneSearch,
    ) -> Result<PermittedTarget, AdmitAnswer> {
        let metrics = &self.state.metrics;
        metrics.on_calls_saved("full-zone", search.full_zones.len());
        let until = self.state.now().after(self.door_request().wait);
        let mut stated_wait: Option<Duration> = None;
        loop {
            let left = until.since(self.state.now());
            let Some(zone) = search.choice.next_zone(left) else {
                break;
            };
            let request = self.admit_request(Some(&zone), left, TargetTrust::Blocked);
            let loads = &self.state.zone_loads;
            loads.record_waiting(&self.plan.service, &zone);
            match self.request_permit(&zone, request, search).await {
                Err(AdmitAnswer::Busy { retry_millis, .. }) => {
                    let wait = Duration::from_millis(retry_millis.into());
                    stated_wait = Some(stated_wait.map_or(wait, |known| known.min(wait)));
                }
                Err(refusal) if ZoneSearch::continues_after(&refusal) => {}
                result => return result,
            }
        }
        if matches!(search.refusal, AdmitAnswer::Busy { .. }) {
            let (now, stated_wait) = (self.state.now(), stated_wait.unwrap_or_default());
            self.state
                .zone_loads
                .record_refusal(&self.door_request(), stated_wait, now);
        }
        Err(search.refusal.clone())
    }

    /// Requests a permit from the dispatcher of a zone, and again if this host knows better than to use it.
    async fn request_permit(
        &mut self,
        zone: &ZoneId,
        mut request: AdmitRequest,
        search: &mut ZoneSearch,
    ) -> Result<PermittedTarget, AdmitAnswer> {
        for _ in 0..UNUSABLE_GRANTS_MAX {
            let answer = request_zone_permit(&self.state, zone, &request).await;
            search.record(zone, &answer);
            match self.accept_permit(answer)? {
                Some(permitted) => return Ok(permitted),
                None => {
                    request.tried = self.excluded_targets();
                    request.charged_team = None;
                }
            }
        }
        Err(BUSY_ANSWER)
    }

    /// Obtains a permit from this host's own dispatcher, for use when no other dispatcher answers.
    async fn find_target_locally(&mut self) -> Result<PermittedTarget, AdmitAnswer> {
        let request = self.admit_request(None, Duration::ZERO, TargetTrust::Blocked);
        let answer = request_local_permit(&self.state, &request).await;
        self.accept_permit(answer)?.ok_or(BUSY_ANSWER)
    }

    /// Returns the refusal of a request that no zone can serve within its wait, as far as their loads tell.
    pub(crate) fn ask_door(&self) -> Option<RequestOutcome> {
        if self.plan.is_sample {
            return None;
        }
        match ask_door(&self.state, &self.door_request(), &self.plan.id) {
            DoorAnswer::Open | DoorAnswer::Sample => None,
            DoorAnswer::Refused(refusal) => {
                let wait = door_return(&refusal, self.budget().left);
                let answer = RefusalAnswer::Unavailable;
                Some(RequestOutcome::Refused(answer, Some(wait), ZONES_FULL))
            }
        }
    }
}
