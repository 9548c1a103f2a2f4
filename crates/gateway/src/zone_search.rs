//! Collects the answers of the zones while a request looks for a target.

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;

use crate::permit_client::PermitAnswer;

/// Answers of the zones in one search for a target.
#[derive(Debug)]
pub(crate) struct ZoneSearch {
    /// Zones to search, the local zone first.
    pub(crate) zones: Vec<ZoneId>,
    /// Zones whose only targets with a free slot have less trust than requested.
    pub(crate) less_trusted_zones: Vec<ZoneId>,
    /// First zone that had no suitable slot.
    pub(crate) busy_zone: Option<ZoneId>,
    /// Whether no dispatcher has answered yet.
    pub(crate) is_unanswered: bool,
    /// Refusal that is returned if the search fails.
    pub(crate) refusal: AdmitAnswer,
}

impl ZoneSearch {
    /// Creates a search without answers.
    pub(crate) fn new(zones: Vec<ZoneId>) -> Self {
        Self {
            zones,
            less_trusted_zones: Vec::new(),
            busy_zone: None,
            is_unanswered: true,
            refusal: AdmitAnswer::NoTarget,
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
                has_less_trusted, ..
            },
        ) = answer
        else {
            return;
        };
        if self.busy_zone.is_none() {
            self.busy_zone = Some(zone.clone());
            self.refusal = busy.clone();
        }
        if *has_less_trusted && !self.less_trusted_zones.contains(zone) {
            self.less_trusted_zones.push(zone.clone());
        }
    }
}
