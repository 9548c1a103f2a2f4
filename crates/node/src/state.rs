//! What all tasks of the host share.

use std::sync::{
    Arc,
    PoisonError,
    RwLock, //
    atomic::{
        AtomicU64,
        Ordering, //
    },
};

use chicorycroft_border::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_limits::prelude::*;
use chicorycroft_placement::prelude::*;
use chicorycroft_proxy::prelude::*;

use crate::{
    clock::HostClock,
    metrics::HostMetrics, //
};

/// State of one host that all of its tasks share.
#[derive(Debug)]
pub struct HostState {
    /// Settings of the process.
    pub settings: HostSettings,
    /// Clocks.
    pub clock: HostClock,
    /// Tokens of teams.
    pub ledger: TokenLedger,
    /// Slots of targets.
    pub slots: SlotPool,
    /// Counters, gauges and histograms.
    pub metrics: Arc<HostMetrics>,
    clients: ShardMap<TargetId, Arc<TargetClient>>,
    view: RwLock<Option<Arc<FleetView>>>,
    last_request: AtomicU64,
}

impl HostState {
    /// Makes the state of a host that has no configuration yet.
    pub fn new(settings: HostSettings, clock: HostClock, metrics: HostMetrics) -> Self {
        Self {
            settings,
            clock,
            ledger: TokenLedger::new(clock.mono()),
            slots: SlotPool::new(),
            metrics: Arc::new(metrics),
            clients: ShardMap::new(),
            view: RwLock::new(None),
            last_request: AtomicU64::new(0),
        }
    }

    /// Returns the view in force, or `None` before the first configuration.
    pub fn view(&self) -> Option<Arc<FleetView>> {
        self.view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a view in force.
    pub fn set_view(&self, view: FleetView) {
        let mut slot = self.view.write().unwrap_or_else(PoisonError::into_inner);
        *slot = Some(Arc::new(view));
    }

    /// Returns the connections to a target.
    pub fn client_of(&self, target: &TargetRecord) -> Arc<TargetClient> {
        let make = || Arc::new(TargetClient::new(target.address));
        self.clients
            .with_or_insert(&target.id, make, |client| client.clone())
    }

    /// Returns a number that no other request of this process has.
    pub fn next_request(&self) -> u64 {
        self.last_request.fetch_add(1, Ordering::Relaxed) + 1
    }
}
