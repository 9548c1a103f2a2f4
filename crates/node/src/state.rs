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
use smol_str::SmolStr;

use crate::{
    clock::HostClock,
    config_documents::ConfigDocuments,
    health_registry::HealthRegistry,
    metrics::HostMetrics,
    owned::OwnedTargets,
    roster_loop::HostList,
    slot_waiters::SlotWaiters,
    token_loop::DrawNotifier, //
};

/// Connections to one target beside those of its slots: probes, and connections that are being closed.
const SPARE_CONNECTIONS: usize = 6;

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
    pub draws: DrawNotifier,
    /// Who owns which target.
    pub owners: OwnerTable,
    /// Slots of owned targets.
    pub slots: Arc<SlotPool>,
    /// Requests that wait for a slot.
    pub waiters: SlotWaiters,
    /// Load of targets as their owners report it.
    pub chooser: TargetChooser,
    /// Health of owned targets.
    pub health: HealthRegistry,
    /// Retries of services.
    pub retries: RetryBudget,
    /// Published configuration.
    pub config: ConfigDocuments,
    /// Other hosts.
    pub members: PeerTable,
    /// Connections to other hosts.
    pub peers: PeerClient,
    /// Counters, gauges and histograms.
    pub metrics: Arc<HostMetrics>,
    owned: RwLock<Arc<OwnedTargets>>,
    roster: RwLock<Arc<ZoneRoster>>,
    host_list: RwLock<Option<Arc<HostList>>>,
    suspects: ShardMap<TargetId, bool>,
    owner_hints: ShardMap<TargetId, (HostId, MonoTime)>,
    clients: ShardMap<TargetId, (std::net::SocketAddr, Arc<TargetClient>)>,
    view: RwLock<Option<Arc<FleetView>>>,
    refused_version: RwLock<Option<SmolStr>>,
    /// Microseconds at the last tick.
    ticked_at: AtomicU64,
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
            owners: OwnerTable::new(
                host.clone(),
                zone.clone(),
                OwnershipTimeouts::default(),
                now,
            ),
            ledger: TokenLedger::new(host, incarnation, now),
            broker: TokenBroker::new(zone, SMALL_FLEET, now),
            draws: DrawNotifier::new(),
            slots: Arc::new(SlotPool::new()),
            waiters: SlotWaiters::new(),
            chooser: TargetChooser::new(),
            health: HealthRegistry::new(),
            retries: RetryBudget::new(),
            config: ConfigDocuments::new(now, clock.wall()),
            members: PeerTable::new(member, incarnation, rules),
            peers: PeerClient::new(),
            metrics: Arc::new(metrics),
            owned: RwLock::default(),
            roster: RwLock::default(),
            host_list: RwLock::default(),
            suspects: ShardMap::new(),
            owner_hints: ShardMap::new(),
            clients: ShardMap::new(),
            view: RwLock::new(None),
            refused_version: RwLock::new(None),
            ticked_at: AtomicU64::new(now.as_micros()),
            last_request: AtomicU64::new(first_request),
            random: AtomicU64::new(incarnation.get()),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Returns the view in force, or `None` before the first configuration.
    pub fn view(&self) -> Option<Arc<FleetView>> {
        read(&self.view)
    }

    /// Replaces the view in force by the one that `make` returns, and returns it. No other change
    /// comes in between, so that a booking cannot put an older snapshot back.
    pub fn replace_view(
        &self,
        make: impl FnOnce(Option<&FleetView>) -> Option<FleetView>,
    ) -> Option<Arc<FleetView>> {
        let mut slot = self.view.write().unwrap_or_else(PoisonError::into_inner);
        let view = Arc::new(make(slot.as_deref())?);
        *slot = Some(view.clone());
        Some(view)
    }

    /// Returns the platform's last list of hosts.
    pub fn host_list(&self) -> Option<Arc<HostList>> {
        read(&self.host_list)
    }

    /// Replaces the platform's list of hosts.
    pub fn set_host_list(&self, list: HostList) {
        write(&self.host_list, Some(Arc::new(list)));
    }

    /// Notes that the platform has answered.
    pub fn on_platform(&self) {
        let now = self.clock.mono();
        self.members.on_platform_answer(now);
        self.config.on_platform(now);
    }

    /// Returns the time by which bookings come into force.
    pub fn booked_time(&self) -> UnixTime {
        self.config
            .booked_time(self.clock.mono(), self.clock.wall())
    }

    /// Notes that the tick has run.
    pub fn on_tick(&self, now: MonoTime) {
        self.ticked_at.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Returns the time of the last tick.
    pub fn ticked_at(&self) -> MonoTime {
        MonoTime::from_micros(self.ticked_at.load(Ordering::Relaxed))
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
    pub fn home_of(&self, view: &FleetView, target: &TargetRecord) -> Option<KeyScope> {
        let zone = view.snapshot().zone(&target.zone)?;
        Some(KeyScope {
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
        let usage = self.slots.usage(&target.id, self.clock.mono());
        // At a planned stop of this host its targets go to other hosts and are not out.
        if usage.is_some_and(|usage| usage.is_stopping) && !self.is_stopping() {
            return Some("the target says that it drains".into());
        }
        let phase = self.health.phase_of(&target.id)?;
        (!phase.accepts_requests()).then(|| phase.to_string().into())
    }

    /// Tells whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns the owner of a target that another host named a short time ago.
    pub fn owner_hint(&self, target: &TargetId, now: MonoTime) -> Option<HostId> {
        let hint = self.owner_hints.with(target, |(owner, until)| {
            (*until > now).then(|| owner.clone())
        });
        hint.flatten()
    }

    /// Notes which host another one named as the owner of a target.
    pub fn set_owner_hint(&self, target: &TargetId, owner: HostId, now: MonoTime) {
        // By then the previous owner's silence or return is known to this host itself.
        let until = now.after(OwnershipTimeouts::default().takeover_after);
        self.owner_hints.insert(target.clone(), (owner, until));
    }

    /// Tells whether some owned target of a service gets work.
    pub fn has_usable_target(&self, service: &ServiceId) -> bool {
        let now = self.clock.mono();
        let is_usable = |target: &Arc<TargetRecord>| {
            let usage = self.slots.usage(&target.id, now);
            usage.is_some_and(|usage| !usage.is_stopping) && self.health.takes_work(&target.id)
        };
        self.owned_targets(service).iter().any(is_usable)
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

    /// Returns the connections to a target. A target that gets another address gets new ones.
    pub fn client_of(&self, target: &TargetRecord) -> Arc<TargetClient> {
        let make = || (target.address, self.new_client(target));
        self.clients
            .with_or_insert(&target.id, make, |(address, client)| {
                if *address != target.address {
                    (*address, *client) = (target.address, self.new_client(target));
                }
                client.clone()
            })
    }

    fn new_client(&self, target: &TargetRecord) -> Arc<TargetClient> {
        let view = self.view();
        let service = view
            .as_ref()
            .and_then(|view| view.snapshot().service(&target.service));
        let slots = service.map_or(0, |service| usize::from(service.slots.get()));
        let most = service.map_or(usize::MAX, |service| service.connections as usize);
        let wanted = (slots + SPARE_CONNECTIONS).min(most);
        let (pool, id) = (self.slots.clone(), target.id.clone());
        let client = TargetClient::new(target.address, wanted);
        Arc::new(client.with_on_idle_closed(move || pool.on_connection_lost(&id)))
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
            let is_out = usage.is_stopping || !self.health.takes_work(&target.id);
            Some(TargetLoad {
                target: target.id.clone(),
                // A target that gets no work reports itself as full many times over.
                in_flight: if is_out { u16::MAX } else { usage.in_flight },
                limit: usage.limit,
                is_suspect: is_out || self.is_suspect(&target.id),
            })
        });
        loads.collect()
    }
}
