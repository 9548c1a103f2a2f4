//! Collects the answers of the zones while a request looks for a target.
//!
//! Load pattern: for some seconds more requests arrive than the slots of a service can serve, in one zone or in all. A
//! request then waits where it is served first, and asks no zone that was full a moment ago for a slot at once.

use std::time::Duration;

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;

use crate::permit_client::PermitAnswer;

/// Answers of the zones in one search for a target.
#[derive(Debug)]
pub(crate) struct ZoneSearch {
    /// Zones to ask for a slot at once, in the order of the search.
    pub(crate) zones: Vec<ZoneId>,
    /// Zones that are not asked for a slot at once, because they were full a moment ago.
    pub(crate) full_zones: Vec<ZoneId>,
    /// Zones whose only targets with a free slot have less trust than requested.
    pub(crate) less_trusted_zones: Vec<ZoneId>,
    /// Whether no dispatcher has answered yet.
    pub(crate) is_unanswered: bool,
    /// Refusal that is returned if the search fails. Of the zones that are busy, it states the shortest wait.
    pub(crate) refusal: AdmitAnswer,
    /// Zones in which the request may wait.
    pub(crate) choice: WaitChoice,
}

impl ZoneSearch {
    /// Creates a search without answers.
    pub(crate) fn new(terms: OrderTerms<'_>, views: Vec<ZoneView>, may_wait: bool) -> Self {
        let views = terms.order(views);
        let is_skipped = |view: &&ZoneView| may_wait && view.is_full();
        let names_of = |views: Vec<&ZoneView>| -> Vec<ZoneId> {
            views.into_iter().map(|view| view.zone.clone()).collect()
        };
        let (full, asked): (Vec<_>, Vec<_>) = views.iter().partition(is_skipped);
        let (zones, full_zones) = (names_of(asked), names_of(full));
        let mut choice = WaitChoice::new(terms, views);
        full_zones.iter().for_each(|zone| choice.add_viewed(zone));
        Self {
            zones,
            full_zones,
            less_trusted_zones: Vec::new(),
            is_unanswered: true,
            refusal: AdmitAnswer::NoTarget,
            choice,
        }
    }

    /// Returns `true` if another zone may grant a request that a zone has refused. The dispatchers of the zones hold
    /// different tokens of a team.
    pub(crate) fn continues_after(refusal: &AdmitAnswer) -> bool {
        match refusal {
            AdmitAnswer::Busy { .. } | AdmitAnswer::NoTarget | AdmitAnswer::OverRate { .. } => true,
            AdmitAnswer::Granted(_) | AdmitAnswer::NoBudget => false,
        }
    }

    /// Records the answer of a zone.
    pub(crate) fn record(&mut self, zone: &ZoneId, answer: &PermitAnswer) {
        self.is_unanswered &= matches!(answer, PermitAnswer::NoAnswer);
        if let PermitAnswer::Refused(refusal @ AdmitAnswer::OverRate { .. }) = answer
            && self.refusal == AdmitAnswer::NoTarget
        {
            self.refusal = refusal.clone();
        }
        let PermitAnswer::Refused(
            busy @ AdmitAnswer::Busy {
                retry_millis,
                has_less_trusted,
                ..
            },
        ) = answer
        else {
            return;
        };
        let is_shortest = match &self.refusal {
            AdmitAnswer::Busy {
                retry_millis: known,
                ..
            } => retry_millis < known,
            _ => true,
        };
        if is_shortest {
            self.refusal = busy.clone();
        }
        let stated = Duration::from_millis((*retry_millis).into());
        self.choice.add_stated(zone, stated);
        if *has_less_trusted && !self.less_trusted_zones.contains(zone) {
            self.less_trusted_zones.push(zone.clone());
        }
    }
}
