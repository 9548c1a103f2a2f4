//! The targets that this host owns, recomputed when the fleet or the configuration changes.

use std::sync::Arc;

use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use indexmap::IndexMap;

use crate::{
    decision_log::DecisionLine,
    slot_waiters,
    state::HostState, //
};

/// The targets that this host owns, by service.
#[derive(Clone, Debug, Default)]
pub struct OwnedTargets {
    services: IndexMap<ServiceId, Vec<Arc<TargetRecord>>>,
}

impl OwnedTargets {
    /// Groups targets by service.
    pub fn new(targets: impl IntoIterator<Item = Arc<TargetRecord>>) -> Self {
        let mut services: IndexMap<ServiceId, Vec<Arc<TargetRecord>>> = IndexMap::new();
        for target in targets {
            let group = services.entry(target.service.clone()).or_default();
            group.push(target);
        }
        Self { services }
    }

    /// Returns the targets of a service.
    pub fn of_service(&self, service: &ServiceId) -> &[Arc<TargetRecord>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<TargetRecord>> {
        self.services.values().flatten()
    }

    /// Returns `true` if a target is owned.
    pub fn contains(&self, target: &TargetRecord) -> bool {
        let group = self.of_service(&target.service);
        group.iter().any(|owned| owned.id == target.id)
    }

    fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }
}

/// Recomputes which targets this host owns. Newly owned targets start cold.
pub fn refresh(state: &Arc<HostState>) {
    let Some(view) = state.view() else {
        return;
    };
    let now = state.clock.mono();
    let is_owned = |target: &&Arc<TargetRecord>| state.may_serve(target, now).is_ok();
    let is_in_use =
        |target: &&Arc<TargetRecord>| view.availability_of(&target.id) == TargetAvailability::In;
    let owned: Vec<_> = view
        .snapshot()
        .targets()
        .filter(is_in_use)
        .filter(is_owned)
        .cloned()
        .collect();
    let previous = state.owned();
    for target in &owned {
        let service = view.snapshot().service(&target.service);
        if let (Some(service), false) = (service, previous.contains(target)) {
            state
                .slots
                .start_cold(&target.id, service.slots, service.warm_up_answers);
            DecisionLine::new("target_taken")
                .with("target", &target.id)
                .info();
        }
    }
    let owned = OwnedTargets::new(owned);
    for target in previous.iter().filter(|target| !owned.contains(target)) {
        DecisionLine::new("target_released")
            .with("target", &target.id)
            .info();
        state.set_suspect(&target.id, false);
    }
    let services: Vec<ServiceId> = owned.services().cloned().collect();
    state.set_owned(owned);
    for service in &services {
        slot_waiters::assign_free_slots(state, service);
    }
}
