//! Documents and versions of the published configuration, shared by the tasks that fetch and adopt it.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration, //
};

use bytes::Bytes;
use chicorycroft_core::prelude::*;
use chicorycroft_inventory::prelude::*;
use chicorycroft_peer::prelude::*;
use chicorycroft_platform::prelude::*;
use tokio::sync::{
    Notify,
    watch, //
};

/// Time since the last answer of the platform within which a host counts as able to reach it. Each
/// host reads the list of hosts every 4 s.
const PLATFORM_RECENT: Duration = Duration::from_secs(10);

/// Follower of published versions, with the documents of the version in force and of the pending one.
#[derive(Debug)]
pub struct ConfigDocuments {
    follower: Mutex<ConfigFollower>,
    documents: ShardMap<DocumentDigest, Bytes>,
    bookings: Mutex<BookingClock>,
    /// Time of the last answer of the platform in microseconds plus one; 0 if there was none.
    platform_answered_at: AtomicU64,
    call_budget: Arc<CallBudget>,
    /// Whether each other host has read the platform recently, according to its last heartbeat.
    platform_reach: ShardMap<HostId, bool>,
    /// Last version that each other host reported, with the incarnation that reported it.
    peer_versions: ShardMap<HostId, (HostIncarnation, ConfigSummary)>,
    pauses: watch::Sender<u64>,
    fetch_requested: Notify,
    heartbeats_requested: Notify,
}

fn lock<T>(slot: &Mutex<T>) -> MutexGuard<'_, T> {
    slot.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConfigDocuments {
    /// Creates the documents of a host without a configuration, at the given readings of both clocks.
    pub fn new(mono: MonoTime, wall: UnixTime) -> Self {
        Self {
            follower: Mutex::default(),
            documents: ShardMap::new(),
            bookings: Mutex::new(BookingClock::new(mono, wall)),
            platform_answered_at: AtomicU64::new(0),
            call_budget: Arc::new(CallBudget::new(1)),
            platform_reach: ShardMap::new(),
            peer_versions: ShardMap::new(),
            pauses: watch::Sender::new(0),
            fetch_requested: Notify::new(),
            heartbeats_requested: Notify::new(),
        }
    }

    /// Runs `f` with the follower locked.
    pub fn with_follower<R>(&self, f: impl FnOnce(&mut ConfigFollower) -> R) -> R {
        f(&mut lock(&self.follower))
    }

    /// Returns the time that decides which bookings are in force.
    pub fn booking_time(&self, mono: MonoTime, wall: UnixTime) -> UnixTime {
        lock(&self.bookings).read(mono, wall)
    }

    /// Returns the stored document with a digest.
    pub fn document(&self, digest: &DocumentDigest) -> Option<Bytes> {
        self.documents.with(digest, |bytes| bytes.clone())
    }

    /// Stores a document.
    pub fn store_document(&self, digest: DocumentDigest, bytes: Bytes) {
        self.documents.insert(digest, bytes);
    }

    /// Drops the documents that neither the version in force nor a pending one needs.
    pub fn drop_unused_documents(&self) {
        let follower = lock(&self.follower);
        let index = follower.accepted().map(|accepted| accepted.digest);
        self.documents
            .retain(|digest, _| follower.retains(digest) || Some(*digest) == index);
    }

    /// Answers a request of another host from the version in force.
    pub fn answer(&self, request: &PartsRequest) -> PeerMessage {
        let Some(accepted) = self.with_follower(|follower| follower.accepted()) else {
            return PeerMessage::Refused(RefusalReason::NotReady);
        };
        let find = |key: &PartKey| match key {
            PartKey::Index => self.document(&accepted.digest),
            PartKey::Part(digest) => self.document(digest),
        };
        let answer = PartsAnswer::new(accepted.version, accepted.digest, request, find);
        PeerMessage::PartsAnswer(answer)
    }

    /// Returns the version and index digest in force.
    pub fn summary(&self) -> Option<ConfigSummary> {
        let accepted = self.with_follower(|follower| follower.accepted())?;
        Some(ConfigSummary {
            version: accepted.version,
            digest: accepted.digest,
        })
    }

    /// Returns the budget that limits this host's calls to the platform.
    pub fn call_budget(&self) -> Arc<CallBudget> {
        self.call_budget.clone()
    }

    /// Records the version that another host reports to have in force.
    pub fn on_peer_version(
        &self,
        host: &HostId,
        incarnation: HostIncarnation,
        summary: ConfigSummary,
    ) {
        self.peer_versions
            .insert(host.clone(), (incarnation, summary));
    }

    /// Returns the version and index digest in force for a heartbeat to a host, or `None` if that
    /// host has reported the same ones.
    pub fn summary_for(
        &self,
        host: &HostId,
        incarnation: Option<HostIncarnation>,
    ) -> Option<ConfigSummary> {
        let summary = self.summary()?;
        let reported = self.peer_versions.with(host, |reported| *reported);
        let is_known = reported.is_some_and(|(reporter, reported)| {
            Some(reporter) == incarnation && reported == summary
        });
        (!is_known).then_some(summary)
    }

    /// Records that the platform has answered a call.
    pub fn on_platform_answer(&self, now: MonoTime) {
        self.platform_answered_at
            .store(now.as_micros().saturating_add(1), Ordering::Relaxed);
    }

    /// Returns `true` if the platform has answered this host recently.
    pub fn is_platform_recent(&self, now: MonoTime) -> bool {
        match self.platform_answered_at.load(Ordering::Relaxed) {
            0 => false,
            at => now.since(MonoTime::from_micros(at - 1)) <= PLATFORM_RECENT,
        }
    }

    /// Records whether another host reports that it has read the platform recently.
    pub fn on_platform_reach(&self, host: &HostId, is_recent: bool) {
        self.platform_reach.insert(host.clone(), is_recent);
    }

    /// Returns `false` if another host has reported that it has not read the platform recently.
    pub fn may_reach_platform(&self, host: &HostId) -> bool {
        self.platform_reach
            .with(host, |is_recent| *is_recent)
            .unwrap_or(true)
    }

    /// Discards the state that a pause of the process has made stale, and notifies all tasks.
    pub fn on_pause(&self) {
        self.with_follower(ConfigFollower::on_resume);
        self.platform_answered_at.store(0, Ordering::Relaxed);
        self.pauses.send_modify(|count| *count += 1);
        self.request_heartbeats();
    }

    /// Returns the number of pauses so far. Answers to queries from before the last pause are stale.
    pub fn pause_count(&self) -> u64 {
        *self.pauses.borrow()
    }

    /// Returns a receiver of the number of pauses.
    pub fn subscribe_pauses(&self) -> watch::Receiver<u64> {
        self.pauses.subscribe()
    }

    /// Wakes the task that adopts versions, because there is one to fetch.
    pub fn request_fetch(&self) {
        self.fetch_requested.notify_one();
    }

    /// Waits for [`ConfigDocuments::request_fetch`].
    pub async fn fetch_requested(&self) {
        self.fetch_requested.notified().await;
    }

    /// Requests heartbeats to all planned peers at once.
    pub fn request_heartbeats(&self) {
        self.heartbeats_requested.notify_one();
    }

    /// Waits for [`ConfigDocuments::request_heartbeats`].
    pub async fn heartbeats_requested(&self) {
        self.heartbeats_requested.notified().await;
    }
}
