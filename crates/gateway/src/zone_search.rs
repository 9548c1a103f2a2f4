//! What the zones answer while a request looks for a target.

use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;

use crate::permit_client::PermitAnswer;

/// What the zones have answered while a request looks for a target.
#[derive(Debug)]
pub(crate) struct ZoneSearch {
    /// Zones to ask, the own one first.
    pub(crate) zones: Vec<ZoneId>,
    /// Zones whose targets with a slot have less trust than asked for.
    pub(crate) lesser_zones: Vec<ZoneId>,
    /// First zone that had no slot.
    pub(crate) busy_zone: Option<ZoneId>,
    /// Whether no dispatcher has answered.
    pub(crate) is_silent: bool,
    pub(crate) refusal: AdmitAnswer,
}

impl ZoneSearch {
    /// Begins a search.
    pub(crate) fn new(zones: Vec<ZoneId>) -> Self {
        Self {
            zones,
            lesser_zones: Vec::new(),
            busy_zone: None,
            is_silent: true,
            refusal: AdmitAnswer::NoTarget,
        }
    }

    /// Notes the answer of a zone.
    pub(crate) fn note(&mut self, zone: &ZoneId, answer: &PermitAnswer) {
        self.is_silent &= matches!(answer, PermitAnswer::Silent);
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
        if *has_less_trusted && !self.lesser_zones.contains(zone) {
            self.lesser_zones.push(zone.clone());
        }
    }
}
