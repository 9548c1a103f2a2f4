//! The state that all tasks of a host share.

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
    owned_targets::OwnedTargets,
    roster_loop::HostList,
    slot_waiters::SlotWaiters,
    token_loop::RefillNotifier, //
};

/// Connections to one target in addition to one per slot, for probes and connections that are closing.
const SPARE_CONNECTIONS: usize = 6;

/// State of one host that all of its tasks share.
#[derive(Debug)]
pub struct HostState {
    /// Settings of this host.
    pub settings: HostSettings,
    /// Address at which other hosts connect to this one.
    pub peer_address: std::net::SocketAddr,
    /// Source of monotonic and Unix time.
    pub clock: HostClock,
    /// Distinguishes this process from earlier ones with the same host name.
    pub incarnation: HostIncarnation,
    /// Token accounts of teams.
    pub ledger: TokenLedger,
    /// Decides on transfers of tokens between hosts.
    pub broker: TokenBroker,
    /// Wakes the token loop, and requests that wait for a grant.
    pub refills: RefillNotifier,
    /// Ownership of targets and of arbiter roles.
    pub owners: OwnerTable,
    /// Slots of owned targets.
    pub slots: Arc<SlotPool>,
    /// Requests that wait for a slot.
    pub waiters: SlotWaiters,
    /// Chooses targets by the load that their owners report.
    pub chooser: TargetChooser,
    /// Health of owned targets.
    pub health: HealthRegistry,
    /// Retry budgets of services.
    pub retries: RetryBudget,
    /// Configuration documents and the versions that other hosts report.
    pub config: ConfigDocuments,
    /// Membership records of other hosts.
    pub members: PeerTable,
    /// Client for connections to other hosts.
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
    /// Time of the last membership tick in microseconds.
    last_tick_at: AtomicU64,
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
    /// Creates the state of a host without a configuration.
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
        // Owners log request ids of many ingress hosts; a separate first id for each process keeps
        // the ids distinct.
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
            refills: RefillNotifier::new(),
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
            last_tick_at: AtomicU64::new(now.as_micros()),
            last_request: AtomicU64::new(first_request),
            random: AtomicU64::new(incarnation.get()),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Returns the view in force, or `None` before the first configuration is accepted.
    pub fn view(&self) -> Option<Arc<FleetView>> {
        read(&self.view)
    }

    /// Replaces the view in force with the one that `make` returns, and returns the new view.
    ///
    /// The write lock is held while `make` runs, so that a booking cannot restore an older snapshot.
    pub fn replace_view(
        &self,
        make: impl FnOnce(Option<&FleetView>) -> Option<FleetView>,
    ) -> Option<Arc<FleetView>> {
        let mut slot = self.view.write().unwrap_or_else(PoisonError::into_inner);
        let view = Arc::new(make(slot.as_deref())?);
        *slot = Some(view.clone());
        Some(view)
    }

    /// Returns the list of hosts that was last read from the platform.
    pub fn host_list(&self) -> Option<Arc<HostList>> {
        read(&self.host_list)
    }

    /// Replaces the platform's list of hosts.
    pub fn set_host_list(&self, list: HostList) {
        write(&self.host_list, Some(Arc::new(list)));
    }

    /// Records that the platform has answered a call.
    pub fn on_platform_answer(&self) {
        let now = self.clock.mono();
        self.members.on_platform_answer(now);
        self.config.on_platform_answer(now);
    }

    /// Returns the time that decides which bookings are in force.
    pub fn booking_time(&self) -> UnixTime {
        self.config
            .booking_time(self.clock.mono(), self.clock.wall())
    }

    /// Records that the membership tick has run.
    pub fn on_tick(&self, now: MonoTime) {
        self.last_tick_at.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Returns the time of the last membership tick.
    pub fn last_tick_at(&self) -> MonoTime {
        MonoTime::from_micros(self.last_tick_at.load(Ordering::Relaxed))
    }

    /// Returns the live hosts by zone.
    pub fn roster(&self) -> Arc<ZoneRoster> {
        read(&self.roster)
    }

    /// Replaces the live hosts.
    pub fn set_roster(&self, roster: ZoneRoster) {
        write(&self.roster, Arc::new(roster));
    }

    /// Returns the owned targets of a service.
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

    /// Returns the region and zone whose hosts may own a target.
    pub fn scope_of(&self, view: &FleetView, target: &TargetRecord) -> Option<KeyScope> {
        let zone = view.snapshot().zone(&target.zone)?;
        Some(KeyScope {
            region: zone.region.clone(),
            zone: Some(zone.id.clone()),
        })
    }

    /// Checks that this host may serve a target now.
    ///
    /// # Errors
    ///
    /// Returns the reason if the host is not the owner or may not act as such now.
    pub fn may_serve(&self, target: &TargetRecord, now: MonoTime) -> Result<(), OwnershipError> {
        let scope = self.view().and_then(|view| self.scope_of(&view, target));
        let scope = scope.ok_or(OwnershipError::NoOwner)?;
        let key = OwnedKey::Target(target.id.clone());
        self.owners.may_serve(&key, &scope, now)
    }

    /// Returns the rate and burst of a team together with the number of hosts that share them.
    pub fn terms_of(&self, view: &FleetView, team: &TeamId) -> Option<LimitTerms> {
        let limit = view.limit_of(team)?;
        let bound = view.snapshot().rules().host_bound;
        let live = u32::try_from(self.roster().host_count()).unwrap_or(u32::MAX);
        Some(LimitTerms::new(limit.rate, limit.burst, bound, live))
    }

    /// Returns why the last published version was refused, or `None` if it was accepted.
    pub fn refused_version(&self) -> Option<SmolStr> {
        read(&self.refused_version)
    }

    /// Sets why the last published version was refused; `None` after an accepted version.
    pub fn set_refused_version(&self, reason: Option<SmolStr>) {
        write(&self.refused_version, reason);
    }

    /// Returns why a target that the configuration has in use gets no requests.
    pub fn out_reason(&self, target: &TargetRecord) -> Option<SmolStr> {
        let usage = self.slots.usage(&target.id, self.clock.mono());
        // At a planned stop of this host, its targets move to other hosts and stay in use.
        if usage.is_some_and(|usage| usage.is_stopping) && !self.is_stopping() {
            return Some("the target says that it drains".into());
        }
        let phase = self.health.phase_of(&target.id)?;
        (!phase.accepts_requests()).then(|| phase.to_string().into())
    }

    /// Returns `true` once a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Returns the owner of a target that another host reported recently.
    pub fn owner_hint(&self, target: &TargetId, now: MonoTime) -> Option<HostId> {
        let hint = self.owner_hints.with(target, |(owner, until)| {
            (*until > now).then(|| owner.clone())
        });
        hint.flatten()
    }

    /// Records the owner of a target that another host reported.
    pub fn set_owner_hint(&self, target: &TargetId, owner: HostId, now: MonoTime) {
        // After the takeover time, this host detects itself whether the previous owner is alive.
        let until = now.after(OwnershipTimeouts::default().takeover_after);
        self.owner_hints.insert(target.clone(), (owner, until));
    }

    /// Returns `true` if at least one owned target of a service may get requests.
    pub fn has_usable_target(&self, service: &ServiceId) -> bool {
        let now = self.clock.mono();
        let is_usable = |target: &Arc<TargetRecord>| {
            let usage = self.slots.usage(&target.id, now);
            usage.is_some_and(|usage| !usage.is_stopping)
                && self.health.accepts_requests(&target.id)
        };
        self.owned_targets(service).iter().any(is_usable)
    }

    /// Returns `true` if the owner of a target suspects it to be unhealthy.
    pub fn is_suspect(&self, target: &TargetId) -> bool {
        self.suspects
            .with(target, |suspect| *suspect)
            .unwrap_or(false)
    }

    /// Sets whether a target is suspected to be unhealthy.
    pub fn set_suspect(&self, target: &TargetId, is_suspect: bool) {
        match is_suspect {
            true => drop(self.suspects.insert(target.clone(), true)),
            false => drop(self.suspects.remove(target)),
        }
    }

    /// Returns the client of a target. A new client is created when the target's address changes.
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
        let connections_max = service.map_or(usize::MAX, |service| service.connections as usize);
        let pool_size = (slots + SPARE_CONNECTIONS).min(connections_max);
        let (pool, id) = (self.slots.clone(), target.id.clone());
        let client = TargetClient::new(target.address, pool_size);
        Arc::new(client.with_on_idle_closed(move || pool.on_connection_lost(&id)))
    }

    /// Returns a request id that is unique in this process, and with a high probability among all
    /// processes.
    pub fn next_request_id(&self) -> u64 {
        let last = self.last_request.fetch_add(1, Ordering::Relaxed);
        last.wrapping_add(1)
    }

    /// Returns a pseudo-random number that is not suitable for secrets.
    pub fn random(&self) -> u64 {
        // SplitMix64 needs one atomic addition, so that threads share the state without a lock.
        let seed = self
            .random
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns the load of the owned targets for a heartbeat.
    pub fn target_loads(&self) -> Vec<TargetLoad> {
        let now = self.clock.mono();
        let owned = self.owned();
        let loads = owned.iter().filter_map(|target| {
            let usage = self.slots.usage(&target.id, now)?;
            let is_out = usage.is_stopping || !self.health.accepts_requests(&target.id);
            Some(TargetLoad {
                target: target.id.clone(),
                // The maximum load keeps other hosts from choosing a target that gets no requests.
                in_flight: if is_out { u16::MAX } else { usage.in_flight },
                limit: usage.limit,
                is_suspect: is_out || self.is_suspect(&target.id),
            })
        });
        loads.collect()
    }
}
