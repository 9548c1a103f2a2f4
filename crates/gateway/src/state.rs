//! What all tasks of a gateway process share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_dispatch::prelude::*;
use chicorycroft_membership::prelude::*;
use chicorycroft_peer::prelude::*;
use tokio::sync::{
    Semaphore,
    oneshot, //
};

use crate::{
    clock::GatewayClock,
    knowledge::FleetKnowledge,
    metrics::GatewayMetrics,
    target_connections::TargetConnections, //
};

/// Time for which a host counts as a follower after its last call. Followers call at least each 0.5 s.
const FOLLOWER_FOR: Duration = Duration::from_secs(2);

/// Hosts that are assumed by one that has just started; the deployments have 32 or more.
const HOSTS_ASSUMED: u32 = 32;

/// Time in which a process hears of all hosts, also when the whole fleet starts at once.
const YOUNG_FOR: Duration = Duration::from_secs(3);

/// Bytes of request bodies that a process holds at once, in KiB: a third of a small host's memory.
const BODY_KIB_MAX: usize = 80 << 10;

/// What a waiting request is told.
pub type TicketAnswer = oneshot::Sender<AdmitAnswer>;

/// What another dispatcher has last reported.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherReport {
    /// When it answered.
    pub at: MonoTime,
    /// Number of hosts whose use of rates it knows.
    pub host_count: u32,
}

/// State of one gateway process.
#[derive(Debug)]
pub struct GatewayState {
    /// Settings of the process.
    pub settings: GatewaySettings,
    /// Time.
    pub clock: GatewayClock,
    /// Hosts that are known.
    pub gossip: HostGossip,
    /// What is known of the store.
    pub knowledge: FleetKnowledge,
    /// Grants permits.
    pub dispatcher: ZoneDispatcher,
    /// Requests that wait at the dispatcher of this host.
    pub tickets: ShardMap<TicketNumber, TicketAnswer>,
    /// Connections to other hosts.
    pub peers: PeerClient,
    /// Connections to targets.
    pub connections: TargetConnections,
    /// Targets that this host could not reach lately.
    pub paths: UnreachableTargets,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// Room for request bodies, in KiB.
    pub body_room: Arc<Semaphore>,
    seeds: RwLock<Vec<SocketAddr>>,
    followers: ShardMap<HostId, MonoTime>,
    reports: ShardMap<HostId, DispatcherReport>,
    is_stopping: AtomicBool,
}

impl GatewayState {
    /// Makes the state of a host that knows nothing yet.
    pub fn new(settings: GatewaySettings, clock: GatewayClock, metrics: GatewayMetrics) -> Self {
        let incarnation = clock.incarnation();
        let own = MemberRecord {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address: settings.peer_address,
            incarnation,
            beat: 0,
            is_leaving: false,
        };
        Self {
            clock,
            gossip: HostGossip::new(own),
            knowledge: FleetKnowledge::new(),
            // Numbers of an earlier process are lower, as long as it granted fewer than a million a
            // second.
            dispatcher: ZoneDispatcher::new(incarnation.get().saturating_mul(1000)),
            tickets: ShardMap::new(),
            peers: PeerClient::new(),
            connections: TargetConnections::new(),
            paths: UnreachableTargets::new(),
            metrics,
            body_room: Arc::new(Semaphore::new(BODY_KIB_MAX)),
            seeds: RwLock::new(settings.seeds.clone()),
            followers: ShardMap::new(),
            reports: ShardMap::new(),
            is_stopping: AtomicBool::new(false),
            settings,
        }
    }

    /// Returns the time.
    pub fn now(&self) -> MonoTime {
        self.clock.mono()
    }

    /// Notes that a host follows this one.
    pub fn on_follower(&self, host: &HostId) {
        self.followers.insert(host.clone(), self.now());
    }

    /// Notes what another dispatcher reported.
    pub fn on_report(&self, host: &HostId, report: DispatcherReport) {
        self.reports.insert(host.clone(), report);
    }

    /// Returns the number of hosts that follow this one.
    pub fn follower_count(&self) -> u32 {
        let now = self.now();
        self.followers.retain(|_, at| now.since(*at) < FOLLOWER_FOR);
        u32::try_from(self.followers.len()).unwrap_or(u32::MAX)
    }

    /// Returns the part of the fleet that this host's dispatcher speaks for. A part of at least half of
    /// the hosts uses the whole rates, since only one such part can exist.
    pub fn share(&self) -> FleetShare {
        let now = self.now();
        let followers = self.follower_count();
        let mut counted = followers + 1;
        self.reports.for_each(|_, report| {
            if now.since(report.at) < REPORT_VALID_FOR {
                counted += report.host_count;
            }
        });
        let known = u32::try_from(self.gossip.known_count()).unwrap_or(u32::MAX);
        // A host that has just started has yet to hear of most others.
        let known = match self.is_young(now) && !self.is_only_host() {
            true => known.max(HOSTS_ASSUMED),
            false => known,
        };
        let mille = match counted.saturating_mul(2) >= known {
            true => CapacityRatio::MAX_MILLE,
            false => u16::try_from(counted * 1000 / known.max(1)).unwrap_or(u16::MAX),
        };
        FleetShare {
            fraction: CapacityRatio::from_mille(mille),
            is_followed: followers > 0 || self.is_only_host(),
        }
    }

    /// Tells whether this process has just started and may not have heard of most hosts.
    pub fn is_young(&self, now: MonoTime) -> bool {
        now.since(MonoTime::START) < YOUNG_FOR
    }

    /// Tells whether the settings name no other host.
    fn is_only_host(&self) -> bool {
        self.seeds().is_empty()
    }

    /// Returns the addresses of other hosts that the settings name.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        let own = self.settings.peer_address;
        let seeds = self.seeds.read().unwrap_or_else(PoisonError::into_inner);
        seeds.iter().copied().filter(|seed| *seed != own).collect()
    }

    /// Takes the seeds of changed settings; returns whether they differ.
    pub fn set_seeds(&self, new_seeds: Vec<SocketAddr>) -> bool {
        let mut seeds = self.seeds.write().unwrap_or_else(PoisonError::into_inner);
        let is_changed = *seeds != new_seeds;
        *seeds = new_seeds;
        is_changed
    }

    /// Returns the dispatcher of this host's zone, where that is another host.
    pub fn dispatcher_ahead(&self) -> Option<MemberRecord> {
        let ranked = self.gossip.ranked(&self.settings.zone, self.now());
        let first = ranked.into_iter().next()?;
        (first.host != self.settings.host).then_some(first)
    }

    /// Tells whether this host is the dispatcher of its zone, as far as it knows.
    pub fn is_dispatcher(&self) -> bool {
        self.rank() == 0
    }

    /// Returns the number of older live hosts in the zone of this one.
    pub fn rank(&self) -> usize {
        let ranked = self.gossip.ranked(&self.settings.zone, self.now());
        let own = ranked
            .iter()
            .position(|record| record.host == self.settings.host);
        own.unwrap_or(ranked.len())
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.gossip.leave();
    }

    /// Tells whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Tells whether callers may be sent to this host.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.knowledge.index().is_some()
    }
}
