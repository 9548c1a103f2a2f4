//! What a host knows of the published configuration, shared by the tasks that follow it.

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

/// A host that has read the platform within this time counts as one that reads it. Each host reads
/// the list of hosts every 4 s.
const PLATFORM_RECENT: Duration = Duration::from_secs(10);

/// The follower with the documents of the version in force and of the one under way.
#[derive(Debug)]
pub struct ConfigDocuments {
    follower: Mutex<ConfigFollower>,
    documents: ShardMap<DocumentDigest, Bytes>,
    bookings: Mutex<BookingClock>,
    /// Microseconds at the last answer of the platform, plus one; 0 stands for none.
    platform_at: AtomicU64,
    calls: Arc<CallBudget>,
    /// Whether each other host has read the platform recently, by its last heartbeat.
    readers: ShardMap<HostId, bool>,
    /// Version that each other host has told of last, and in which life.
    told: ShardMap<HostId, (HostIncarnation, ConfigSummary)>,
    wakes: watch::Sender<u64>,
    news: Notify,
    announcement: Notify,
}

fn lock<T>(slot: &Mutex<T>) -> MutexGuard<'_, T> {
    slot.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConfigDocuments {
    /// Makes the documents of a host that knows nothing, at a reading of both clocks.
    pub fn new(mono: MonoTime, wall: UnixTime) -> Self {
        Self {
            follower: Mutex::default(),
            documents: ShardMap::new(),
            bookings: Mutex::new(BookingClock::new(mono, wall)),
            platform_at: AtomicU64::new(0),
            calls: Arc::new(CallBudget::new(1)),
            readers: ShardMap::new(),
            told: ShardMap::new(),
            wakes: watch::Sender::new(0),
            news: Notify::new(),
            announcement: Notify::new(),
        }
    }

    /// Acts on the follower.
    pub fn with_follower<R>(&self, act: impl FnOnce(&mut ConfigFollower) -> R) -> R {
        act(&mut lock(&self.follower))
    }

    /// Returns the time by which bookings come into force.
    pub fn booked_time(&self, mono: MonoTime, wall: UnixTime) -> UnixTime {
        lock(&self.bookings).read(mono, wall)
    }

    /// Returns a document.
    pub fn document(&self, digest: &DocumentDigest) -> Option<Bytes> {
        self.documents.with(digest, |bytes| bytes.clone())
    }

    /// Keeps a document.
    pub fn keep_document(&self, digest: DocumentDigest, bytes: Bytes) {
        self.documents.insert(digest, bytes);
    }

    /// Drops the documents that neither the version in force nor a later one needs.
    pub fn drop_documents(&self) {
        let follower = lock(&self.follower);
        let index = follower.accepted().map(|accepted| accepted.digest);
        self.documents
            .retain(|digest, _| follower.retains(digest) || Some(*digest) == index);
    }

    /// Answers a request of another host out of the version in force.
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

    /// Returns version and digest in force for a heartbeat.
    pub fn summary(&self) -> Option<ConfigSummary> {
        let accepted = self.with_follower(|follower| follower.accepted())?;
        Some(ConfigSummary {
            version: accepted.version,
            digest: accepted.digest,
        })
    }

    /// Returns the bound on this host's calls to the platform.
    pub fn call_budget(&self) -> Arc<CallBudget> {
        self.calls.clone()
    }

    /// Notes which version another host has.
    pub fn on_told(&self, host: &HostId, life: HostIncarnation, summary: ConfigSummary) {
        self.told.insert(host.clone(), (life, summary));
    }

    /// Returns version and digest in force for a heartbeat to a host, unless that host has told of
    /// the same ones.
    pub fn summary_for(
        &self,
        host: &HostId,
        life: Option<HostIncarnation>,
    ) -> Option<ConfigSummary> {
        let summary = self.summary()?;
        let told = self.told.with(host, |told| *told);
        let is_told = told.is_some_and(|(of, told)| Some(of) == life && told == summary);
        (!is_told).then_some(summary)
    }

    /// Notes that the platform has answered.
    pub fn on_platform(&self, now: MonoTime) {
        self.platform_at
            .store(now.as_micros().saturating_add(1), Ordering::Relaxed);
    }

    /// Tells whether the platform has answered recently.
    pub fn is_platform_recent(&self, now: MonoTime) -> bool {
        match self.platform_at.load(Ordering::Relaxed) {
            0 => false,
            at => now.since(MonoTime::from_micros(at - 1)) <= PLATFORM_RECENT,
        }
    }

    /// Takes another host's word on whether it has read the platform recently.
    pub fn on_reader(&self, host: &HostId, is_recent: bool) {
        self.readers.insert(host.clone(), is_recent);
    }

    /// Tells whether another host has read the platform recently, as far as known.
    pub fn may_reach_platform(&self, host: &HostId) -> bool {
        self.readers.with(host, |recent| *recent).unwrap_or(true)
    }

    /// Forgets what a pause has made worthless, and tells all tasks.
    pub fn on_wake(&self) {
        self.with_follower(ConfigFollower::on_resume);
        self.platform_at.store(0, Ordering::Relaxed);
        self.wakes.send_modify(|count| *count += 1);
        self.announce();
    }

    /// Returns the number of pauses so far; it changes when what was asked before is worthless.
    pub fn wake_count(&self) -> u64 {
        *self.wakes.borrow()
    }

    /// Returns a receiver of the number of pauses.
    pub fn wakes(&self) -> watch::Receiver<u64> {
        self.wakes.subscribe()
    }

    /// Tells the task that adopts versions that there is one to fetch.
    pub fn tell_news(&self) {
        self.news.notify_one();
    }

    /// Waits for [`ConfigDocuments::tell_news`].
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Asks for a round of heartbeats at once.
    pub fn announce(&self) {
        self.announcement.notify_one();
    }

    /// Waits for [`ConfigDocuments::announce`].
    pub async fn announcement(&self) {
        self.announcement.notified().await;
    }
}
