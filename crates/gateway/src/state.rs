//! State shared by all tasks of a gateway process.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;
use tokio::{
    sync::{
        Notify,
        Semaphore,
        oneshot,
        watch, //
    },
    time::Instant,
};

use crate::{
    body_buffer::BodyMemory,
    clock::GatewayClock,
    config_fetch::ConfigFetch,
    config_images::ConfigImages,
    connection_pool::ConnectionPool,
    metrics::GatewayMetrics,
    queue_report::QueueReport,
    rate_shares::{
        RateShare,
        RateShares,
        ShareView, //
    },
    refused_documents::RefusedDocument,
    store_cache::StoreCache, //
};

/// Time since its last call after which a host no longer counts as a follower. Followers call at least
/// every 0.5 s.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a host reads the store for another one after that asked for it.
const READ_WANTED_FOR: Duration = Duration::from_millis(500);

/// Part of the process's memory that bodies of requests and of answers may take, in percent.
const BODY_MEMORY_PERCENT: u64 = 30;

/// Sends a dispatcher's answer to a queued permit request.
pub type TicketSender = oneshot::Sender<AdmitAnswer>;

/// Whether a host can serve callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HostReadiness {
    /// The host serves callers.
    Ready,
    /// A planned stop has begun.
    Stopping,
    /// The host has no configuration yet.
    NoConfiguration {
        /// The document that the host refused last.
        refused: Option<RefusedDocument>,
    },
}

impl fmt::Display for HostReadiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ready => f.write_str("ready"),
            Self::Stopping => f.write_str("stopping"),
            Self::NoConfiguration { refused: None } => f.write_str("no configuration yet"),
            Self::NoConfiguration {
                refused: Some(document),
            } => write!(f, "no configuration; refused {document}"),
        }
    }
}

/// Shared state of a gateway process.
#[derive(Debug)]
pub struct GatewayState {
    /// Settings from the start of the process. Seeds that change later are returned by
    /// [`seeds`](Self::seeds).
    pub settings: GatewaySettings,
    /// Monotonic clock of the process.
    pub clock: GatewayClock,
    /// Membership records of the known hosts.
    pub gossip: HostGossip,
    /// Local copy of the store's contents.
    pub store_cache: StoreCache,
    /// Configuration that this host fetches from another one.
    pub config_fetch: ConfigFetch,
    /// Encoded changes of the configuration, for other hosts.
    pub config_images: ConfigImages,
    /// Dispatcher of this host, which grants permits.
    pub dispatcher: ZoneDispatcher,
    /// Permit requests queued at the dispatcher of this host.
    pub tickets: ShardMap<TicketNumber, TicketSender>,
    /// Connections to other hosts.
    pub peers: PeerClient,
    /// Idle connections to targets.
    pub connections: ConnectionPool,
    /// Targets that this host sends nothing to.
    pub excluded: ExcludedTargets,
    /// Rate limits that targets stated to this host.
    pub stated_limits: StatedLimits,
    /// Loads of the pools of all zones, as dispatchers returned them.
    pub zone_loads: ZoneLoads,
    /// Units and shares of the team rates.
    pub rates: RateShares,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// Log lines about requests that were turned away.
    pub queue_report: QueueReport,
    /// Memory for bodies of requests and answers.
    pub body_memory: BodyMemory,
    seeds: RwLock<Vec<SocketAddr>>,
    followers: ShardMap<HostId, MonoTime>,
    spread: Mutex<ConfigSpread>,
    spread_changes: watch::Sender<u64>,
    reader_search: Mutex<ReaderSearch>,
    /// Time until which another host wants this one to read the store.
    read_wanted_until: Mutex<MonoTime>,
    read_wanted: Notify,
    is_stopping: AtomicBool,
    /// Time of a planned stop by which all callers must have their answers.
    answers_due: watch::Sender<Option<Instant>>,
}

impl GatewayState {
    /// Creates the state of a host that has no data from the store or other hosts yet.
    pub fn new(settings: GatewaySettings, clock: GatewayClock, metrics: GatewayMetrics) -> Self {
        let incarnation = clock.incarnation();
        let zone_count = settings.zone_count;
        let retry_terms = retry_terms(settings.retry_ratio, settings.retry_slack, zone_count);
        let body_kib = (settings.memory_limit.get() << 10) * BODY_MEMORY_PERCENT / 100;
        let body_kib = usize::try_from(body_kib).unwrap_or(Semaphore::MAX_PERMITS);
        let own = MemberRecord {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address: settings.peer_address,
            incarnation,
            beat: 0,
            is_leaving: false,
        };
        let own_source = ConfigSource {
            host: settings.host.clone(),
            address: settings.peer_address,
            transfers_max: transfers_max(settings.link_rate),
        };
        let rates = RateShares::new();
        rates.on_own_zone(&settings.zone);
        Self {
            clock,
            gossip: HostGossip::new(own),
            store_cache: StoreCache::new().with_heartbeat(settings.heartbeat),
            config_fetch: ConfigFetch::new(),
            config_images: ConfigImages::new(),
            // The incarnation is in milliseconds, so the permit numbers of an earlier process are lower as
            // long as it granted fewer than a million permits per second.
            dispatcher: ZoneDispatcher::new(incarnation.get().saturating_mul(1000))
                .with_retry_terms(retry_terms),
            tickets: ShardMap::new(),
            peers: PeerClient::new().with_observer(metrics.traffic().call_observer()),
            connections: ConnectionPool::new(),
            excluded: ExcludedTargets::new(),
            stated_limits: StatedLimits::new(),
            zone_loads: ZoneLoads::new(),
            rates,
            metrics,
            queue_report: QueueReport::new(),
            body_memory: BodyMemory::new(body_kib),
            seeds: RwLock::new(settings.seeds.clone()),
            followers: ShardMap::new(),
            spread: Mutex::new(ConfigSpread::new(own_source)),
            spread_changes: watch::Sender::new(0),
            reader_search: Mutex::new(ReaderSearch::new()),
            read_wanted_until: Mutex::new(MonoTime::START),
            read_wanted: Notify::new(),
            is_stopping: AtomicBool::new(false),
            answers_due: watch::Sender::new(None),
            settings,
        }
    }

    /// Records all known hosts in the roster of the team rates.
    pub fn update_roster(&self) {
        let now = self.now();
        for record in self.gossip.records().iter().skip(1) {
            self.rates.on_record(record, now);
        }
    }

    /// Returns the current time of the process clock.
    pub fn now(&self) -> MonoTime {
        self.clock.mono()
    }

    /// Returns the time limits of the steps from a change in the store to its use.
    pub fn change_budget(&self) -> ChangeBudget {
        ChangeBudget::new(self.settings.change_bound)
    }

    /// Records a call from a follower, which renews its follower status.
    pub fn on_follower(&self, host: &HostId) {
        self.followers.insert(host.clone(), self.now());
    }

    /// Returns the distribution of large configurations to the hosts that poll this one.
    pub fn spread(&self) -> MutexGuard<'_, ConfigSpread> {
        self.spread.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what a host that polls this one says about its configuration.
    pub fn on_holder(&self, poll: HolderPoll) {
        let now = self.now();
        if self.spread().on_poll(poll, now) {
            self.spread_changes.send_modify(|count| *count += 1);
        }
    }

    /// Returns a receiver that is notified when hosts may be assigned a source that could not be before.
    pub fn subscribe_spread(&self) -> watch::Receiver<u64> {
        self.spread_changes.subscribe()
    }

    /// Returns what this host says about its configuration to the hosts that it polls.
    pub fn transfer_state(&self) -> TransferState {
        TransferState {
            base: self.store_cache.config_base(),
            fetching: self.config_fetch.version(),
            transfers_max: transfers_max(self.settings.link_rate),
        }
    }

    /// Returns the search for hosts that read the store in place of this one.
    pub fn reader_search(&self) -> MutexGuard<'_, ReaderSearch> {
        let search = self.reader_search.lock();
        search.unwrap_or_else(PoisonError::into_inner)
    }

    fn read_wanted_until(&self) -> MutexGuard<'_, MonoTime> {
        let until = self.read_wanted_until.lock();
        until.unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that another host wants this one to read the store.
    pub fn on_read_wanted(&self, by: &HostId) {
        let now = self.now();
        let previous =
            std::mem::replace(&mut *self.read_wanted_until(), now.after(READ_WANTED_FOR));
        if previous < now {
            log::info!("event=store_read_wanted by={by}");
        }
        self.read_wanted.notify_one();
    }

    /// Waits until another host wants this one to read the store.
    pub async fn until_read_wanted(&self) {
        self.read_wanted.notified().await;
    }

    /// Returns `true` if this host must watch the store: it is the dispatcher of its zone, or another host wants it to.
    pub fn is_reader(&self) -> bool {
        self.is_dispatcher() || self.now() < *self.read_wanted_until()
    }

    /// Returns the number of hosts that currently follow this one.
    pub fn follower_count(&self) -> u32 {
        let now = self.now();
        self.followers
            .retain(|_, at| now.since(*at) < FOLLOWER_TIMEOUT);
        u32::try_from(self.followers.len()).unwrap_or(u32::MAX)
    }

    /// Merges the record of another host into the membership and the units of the team rates.
    pub fn on_record(&self, record: MemberRecord, now: MonoTime) {
        if record.host != self.settings.host {
            self.rates.on_record(&record, now);
        }
        self.gossip.merge(record, now);
    }

    /// Records a lease of a host's unit of the team rates, unless another host has taken over from this one.
    pub fn on_lease(&self, host: &HostId, term: Duration) {
        if !self.has_left() {
            self.rates.on_lease(host, term, self.now());
        }
    }

    /// Returns the share of the fleet that this host's dispatcher represents: that of its units, or at first that of the
    /// dispatcher from which it has taken over.
    pub fn share(&self) -> FleetShare {
        let followers = self.follower_count();
        FleetShare {
            fraction: self.rate_share().1,
            zone_fraction: self.zone_fraction(followers),
            is_followed: followers > 0 || self.is_only_host(),
        }
    }

    /// Returns the share by units, and the one that is used.
    fn rate_share(&self) -> (RateShare, CapacityRatio) {
        let now = self.now();
        let view = ShareView {
            is_only_host: self.is_only_host(),
            zone_count: self.settings.zone_count,
            uptime: now.since(MonoTime::START),
        };
        let own = self.rates.own_share(view, now);
        let inherited = self.rates.inherited(now);
        let may_inherit = inherited > own.fraction && self.is_dispatcher();
        let used = match may_inherit {
            true => inherited,
            false => own.fraction,
        };
        (own, used)
    }

    /// Returns the number of hosts among which this host divides the rates of the teams; 0 if it may not know most of
    /// them.
    pub fn fleet_size(&self) -> u32 {
        let (own, _) = self.rate_share();
        match own.is_assumed {
            true => 0,
            false => own.count.known,
        }
    }

    /// Records the share for the refill of the buckets, the metrics and the log. A standby keeps the share of its
    /// dispatcher.
    pub fn refresh_share(&self) {
        let now = self.now();
        self.rates.update_count(now);
        let (own, used) = self.rate_share();
        let is_dispatcher = self.is_dispatcher();
        if is_dispatcher || !self.rates.has_copy(now) {
            let teams = self.dispatcher.teams();
            teams.record_share(used, is_dispatcher, now);
        }
        self.rates.log_change(own, used);
        self.rates.log_moved(now);
        self.metrics.on_rate_share(own.units, used);
    }

    /// Returns the fraction of the rates that targets state which this host's dispatcher may use: the whole if it has
    /// more than half of the hosts of its zone, which only one dispatcher can have.
    fn zone_fraction(&self, followers: u32) -> CapacityRatio {
        let known = self.gossip.zone_count(&self.settings.zone);
        let has_most = u64::from(followers + 1) * 2 > known as u64;
        CapacityRatio::from_mille(match has_most {
            true => CapacityRatio::MAX_MILLE,
            false => CapacityRatio::MAX_MILLE / 2,
        })
    }

    /// Returns `true` during the startup period, in which gossip may not have delivered most records yet.
    pub fn is_starting(&self, now: MonoTime) -> bool {
        now.since(MonoTime::START) < STARTUP_PERIOD
    }

    /// Returns `true` if the settings list no other host.
    fn is_only_host(&self) -> bool {
        self.seeds().is_empty()
    }

    /// Returns the seed addresses from the settings without this host's own.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let own = self.settings.peer_address;
        let seeds = self.seeds.read().unwrap_or_else(PoisonError::into_inner);
        seeds.iter().copied().filter(|seed| *seed != own).collect()
    }

    /// Replaces the seeds and returns `true` if they differ from the previous ones.
    pub fn set_seeds(&self, new_seeds: Vec<SocketAddr>) -> bool {
        let mut seeds = self.seeds.write().unwrap_or_else(PoisonError::into_inner);
        let is_changed = *seeds != new_seeds;
        *seeds = new_seeds;
        is_changed
    }

    /// Returns the live hosts of a zone, the oldest first, without this host if it leaves and another one can take over.
    pub fn ranked(&self, zone: &ZoneId) -> Vec<MemberRecord> {
        let mut ranked = self.gossip.ranked(zone, self.now());
        if self.is_stopping() && ranked.len() > 1 {
            ranked.retain(|record| record.host != self.settings.host);
        }
        ranked
    }

    /// Returns `true` if this host leaves and another one of its zone takes over.
    pub fn has_left(&self) -> bool {
        self.is_stopping() && self.remote_dispatcher().is_some()
    }

    /// Returns the dispatcher of this host's zone, or `None` if it is this host.
    pub fn remote_dispatcher(&self) -> Option<MemberRecord> {
        let first = self.ranked(&self.settings.zone).into_iter().next()?;
        (first.host != self.settings.host).then_some(first)
    }

    /// Returns `true` if this host is the dispatcher of its zone according to its own membership records.
    pub fn is_dispatcher(&self) -> bool {
        self.rank() == 0
    }

    /// Returns the number of live hosts in this zone that started before this one.
    pub fn rank(&self) -> usize {
        let ranked = self.ranked(&self.settings.zone);
        let own = ranked
            .iter()
            .position(|record| record.host == self.settings.host);
        own.unwrap_or(ranked.len())
    }

    /// Begins a planned stop: readiness checks fail, and gossip marks this host as leaving. All callers get their answers
    /// within `limit`.
    pub fn begin_stop(&self, limit: Duration) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.answers_due.send_replace(Some(Instant::now() + limit));
        self.gossip.leave();
        if self.has_left() {
            self.rates.return_leases();
        }
    }

    /// Waits until all callers must have their answers because of a planned stop.
    pub async fn until_answers_due(&self) {
        let mut changes = self.answers_due.subscribe();
        // The sender lives as long as this state, so that the wait does not fail.
        let due = changes.wait_for(Option::is_some).await;
        let due = due.ok().and_then(|due| *due);
        match due {
            Some(due) => tokio::time::sleep_until(due).await,
            None => std::future::pending().await,
        }
    }

    /// Waits until a planned stop begins.
    pub async fn until_stopping(&self) {
        let mut changes = self.answers_due.subscribe();
        // The sender lives as long as this state, so that the wait does not fail.
        let _ = changes.wait_for(Option::is_some).await;
    }

    /// Returns the time until all callers must have their answers, or `None` without a planned stop.
    pub fn stop_time_left(&self) -> Option<Duration> {
        let due = *self.answers_due.borrow();
        due.map(|due| due.saturating_duration_since(Instant::now()))
    }

    /// Returns `true` once a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Returns `true` if the host can serve callers: it has a configuration and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.readiness() == HostReadiness::Ready
    }

    /// Returns whether the host can serve callers, and why not.
    pub fn readiness(&self) -> HostReadiness {
        if self.is_stopping() {
            return HostReadiness::Stopping;
        }
        match self.store_cache.index() {
            Some(_) => HostReadiness::Ready,
            None => {
                let refused = self.store_cache.refused_documents().latest();
                HostReadiness::NoConfiguration { refused }
            }
        }
    }
}
