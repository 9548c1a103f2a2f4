//! What all tasks of the host share.

use std::sync::{
    Arc, PoisonError, RwLock,
    atomic::{
        AtomicBool,
        AtomicU64,
        Ordering, //
    },
};

use chicorycroft_border::prelude::*;
use chicorycroft_core::{
    prelude::*,
    rendezvous::weight_of, //
};
use chicorycroft_inventory::prelude::*;
use chicorycroft_limits::{
    allowance::SMALL_FLEET,
    prelude::*, //
};
use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_placement::prelude::*;
use chicorycroft_proxy::prelude::*;
use chicorycroft_retry::prelude::*;
use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::{
    clock::HostClock,
    metrics::HostMetrics,
    owned::OwnedTargets,
    slot_desk::SlotDesk,
    token_loop::DrawBell, //
};

/// Most connections of this host to one target: its 2 slots, probes, and connections that are being
/// closed.
const TARGET_CONNECTIONS_MAX: usize = 8;

/// State of one host that all of its tasks share.
#[derive(Debug)]
pub struct HostState {
    /// Settings of the process.
    pub settings: HostSettings,
    /// Address that other hosts reach this one at.
    pub peer_address: std::net::SocketAddr,
    /// Clocks.
    pub clock: HostClock,
    /// Tells this process from an earlier one with the same name.
    pub incarnation: HostIncarnation,
    /// Tokens of teams.
    pub ledger: TokenLedger,
    /// Moves tokens between hosts.
    pub broker: TokenBroker,
    /// Wakes the token loop and those who wait for a grant.
    pub draws: DrawBell,
    /// Who owns which target.
    pub owners: OwnerTable,
    /// Slots of owned targets.
    pub slots: SlotPool,
    /// Requests that wait for a slot.
    pub desk: SlotDesk,
    /// Load of targets as their owners report it.
    pub chooser: TargetChooser,
    /// Retries of services.
    pub retries: RetryBudget,
    /// Other hosts.
    pub members: PeerTable,
    /// Connections to other hosts.
    pub peers: PeerClient,
    /// Counters, gauges and histograms.
    pub metrics: Arc<HostMetrics>,
    owned: RwLock<Arc<OwnedTargets>>,
    roster: RwLock<Arc<ZoneRoster>>,
    suspects: ShardMap<TargetId, bool>,
    clients: ShardMap<TargetId, Arc<TargetClient>>,
    view: RwLock<Option<Arc<FleetView>>>,
    refused_version: RwLock<Option<SmolStr>>,
    last_request: AtomicU64,
    random: AtomicU64,
    is_stopping: AtomicBool,
}

fn read<T: Clone>(slot: &RwLock<T>) -> T {
    slot.read().unwrap_or_else(PoisonError::into_inner).clone()
}

fn write<T>(slot: &RwLock<T>, value: T) {
    *slot.write().unwrap_or_else(PoisonError::into_inner) = value;
}

impl HostState {
    /// Makes the state of a host that has no configuration yet.
    pub fn new(
        settings: HostSettings,
        peer_address: std::net::SocketAddr,
        clock: HostClock,
        metrics: HostMetrics,
    ) -> Self {
        let (host, zone, now) = (settings.host.clone(), settings.zone.clone(), clock.mono());
        let incarnation = HostIncarnation::new(clock.unix().as_millis());
        let member = LiveHost {
            id: host.clone(),
            zone: zone.clone(),
        };
        let rules = MembershipRules::default();
        // Owners log the ids of many ingress hosts; a start of its own for each process keeps them
        // apart.
        let first_request = weight_of(host.as_str(), &incarnation.to_string());
        Self {
            settings,
            peer_address,
            clock,
            incarnation,
            owners: OwnerTable::new(host.clone(), zone.clone(), OwnerTimes::default(), now),
            ledger: TokenLedger::new(host, incarnation, now),
            broker: TokenBroker::new(zone, SMALL_FLEET, now),
            draws: DrawBell::new(),
            slots: SlotPool::new(),
            desk: SlotDesk::new(),
            chooser: TargetChooser::new(),
            retries: RetryBudget::new(),
            members: PeerTable::new(member, incarnation, rules),
            peers: PeerClient::new(),
            metrics: Arc::new(metrics),
            owned: RwLock::default(),
            roster: RwLock::default(),
            suspects: ShardMap::new(),
            clients: ShardMap::new(),
            view: RwLock::new(None),
            refused_version: RwLock::new(None),
            last_request: AtomicU64::new(first_request),
            random: AtomicU64::new(incarnation.get()),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Returns the view in force, or `None` before the first configuration.
    pub fn view(&self) -> Option<Arc<FleetView>> {
        read(&self.view)
    }

    /// Puts a view in force.
    pub fn set_view(&self, view: FleetView) {
        write(&self.view, Some(Arc::new(view)));
    }

    /// Returns the live hosts by zone.
    pub fn roster(&self) -> Arc<ZoneRoster> {
        read(&self.roster)
    }

    /// Replaces the live hosts.
    pub fn set_roster(&self, roster: ZoneRoster) {
        write(&self.roster, Arc::new(roster));
    }

    /// Returns the owned targets of a service that may have new work.
    pub fn owned_targets(&self, service: &ServiceId) -> Vec<Arc<TargetRecord>> {
        read(&self.owned).of_service(service).to_vec()
    }

    /// Returns all owned targets.
    pub fn owned(&self) -> Arc<OwnedTargets> {
        read(&self.owned)
    }

    /// Replaces the owned targets.
    pub fn set_owned(&self, owned: OwnedTargets) {
        write(&self.owned, Arc::new(owned));
    }

    /// Returns where the owner of a target is looked for.
    pub fn home_of(&self, view: &FleetView, target: &TargetRecord) -> Option<KeyHome> {
        let zone = view.snapshot().zone(&target.zone)?;
        Some(KeyHome {
            region: zone.region.clone(),
            zone: Some(zone.id.clone()),
        })
    }

    /// Tells whether this host may serve a target now.
    ///
    /// # Errors
    ///
    /// Fails with the reason why it may not.
    pub fn may_serve(&self, target: &TargetRecord, now: MonoTime) -> Result<(), OwnershipError> {
        let home = self.view().and_then(|view| self.home_of(&view, target));
        let home = home.ok_or(OwnershipError::NoOwner)?;
        let key = OwnedKey::Target(target.id.clone());
        self.owners.may_serve(&key, &home, now)
    }

    /// Returns the rate and burst of a team with the number of hosts that share them.
    pub fn terms_of(&self, view: &FleetView, team: &TeamId) -> Option<LimitTerms> {
        let limit = view.limit_of(team)?;
        let bound = view.snapshot().rules().host_bound;
        let live = u32::try_from(self.roster().host_count()).unwrap_or(u32::MAX);
        Some(LimitTerms::new(limit.rate, limit.burst, bound, live))
    }

    /// Tells whether callers may be served: there is a configuration, it cannot be out of date
    /// without this host knowing, and no planned stop has begun.
    pub fn is_serving(&self) -> bool {
        !self.members.is_isolated(self.clock.mono()) && self.view().is_some()
    }

    /// Tells whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.is_serving() && !self.is_stopping()
    }

    /// Returns why this host takes no requests although it has a configuration.
    pub fn unready_reason(&self) -> Option<SmolStr> {
        let is_isolated = self.members.is_isolated(self.clock.mono());
        is_isolated.then(|| "neither the platform nor most of the fleet answers".into())
    }

    /// Returns why the last published version was refused.
    pub fn refused_version(&self) -> Option<SmolStr> {
        read(&self.refused_version)
    }

    /// Notes why a published version was refused, or that the last one was accepted.
    pub fn set_refused_version(&self, reason: Option<SmolStr>) {
        write(&self.refused_version, reason);
    }

    /// Returns why a target gets no work although operators let it have some.
    pub fn out_reason(&self, target: &TargetRecord) -> Option<SmolStr> {
        let _ = target;
        None
    }

    /// Tells whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Tells whether a target is under suspicion, by its owner's report.
    pub fn is_suspect(&self, target: &TargetId) -> bool {
        self.suspects
            .with(target, |suspect| *suspect)
            .unwrap_or(false)
    }

    /// Notes whether a target is under suspicion.
    pub fn set_suspect(&self, target: &TargetId, is_suspect: bool) {
        match is_suspect {
            true => drop(self.suspects.insert(target.clone(), true)),
            false => drop(self.suspects.remove(target)),
        }
    }

    /// Notes how an attempt at an owned target went.
    pub fn observe(
        &self,
        target: &TargetRecord,
        outcome: AttemptOutcome,
        latency: std::time::Duration,
    ) {
        let _ = (target, outcome, latency);
    }

    /// Returns the connections to a target.
    pub fn client_of(&self, target: &TargetRecord) -> Arc<TargetClient> {
        let make = || Arc::new(TargetClient::new(target.address, TARGET_CONNECTIONS_MAX));
        self.clients
            .with_or_insert(&target.id, make, |client| client.clone())
    }

    /// Returns a number that no other request of this process has, and with a high probability none
    /// of another one.
    pub fn next_request(&self) -> u64 {
        let last = self.last_request.fetch_add(1, Ordering::Relaxed);
        last.wrapping_add(1)
    }

    /// Returns a random number for choices that need no secrecy.
    pub fn random(&self) -> u64 {
        // SplitMix64: one addition and a mixer, so that threads share it without a lock.
        let seed = self
            .random
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns the slots of the owned targets for a heartbeat.
    pub fn target_loads(&self) -> Vec<TargetLoad> {
        let now = self.clock.mono();
        let owned = self.owned();
        let loads = owned.iter().filter_map(|target| {
            let usage = self.slots.usage(&target.id, now)?;
            Some(TargetLoad {
                target: target.id.clone(),
                in_flight: usage.in_flight,
                limit: usage.limit,
                is_suspect: self.is_suspect(&target.id),
            })
        });
        loads.collect()
    }

    /// Returns the standing of all targets for reports, by name.
    pub fn standings(&self) -> IndexMap<TargetId, TargetStanding> {
        let Some(view) = self.view() else {
            return IndexMap::new();
        };
        let targets = view.snapshot().targets();
        let standing =
            |target: &Arc<TargetRecord>| (target.id.clone(), view.standing_of(&target.id));
        targets.map(standing).collect()
    }
}
