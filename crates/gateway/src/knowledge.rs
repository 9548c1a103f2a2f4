//! What this host knows of the store, and how old it is.
//!
//! Configurations of a higher version replace lower ones and never the other way round, wherever they
//! come from.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError,
    RwLock, //
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use indexmap::IndexSet;
use tokio::sync::watch;

/// The configuration, the directory and the contact with the store.
#[derive(Debug)]
pub struct FleetKnowledge {
    index: RwLock<Option<Arc<RouteIndex>>>,
    keeper: Mutex<DirectoryTracker>,
    contact: Mutex<StoreContact>,
    changes: watch::Sender<u64>,
}

fn lock<T>(slot: &Mutex<T>) -> MutexGuard<'_, T> {
    slot.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Default for FleetKnowledge {
    fn default() -> Self {
        Self::new()
    }
}

impl FleetKnowledge {
    /// Makes the knowledge of a host that has just started.
    pub fn new() -> Self {
        Self {
            index: RwLock::new(None),
            keeper: Mutex::new(DirectoryTracker::new()),
            contact: Mutex::new(StoreContact::new()),
            changes: watch::Sender::new(0),
        }
    }

    /// Returns the configuration in force.
    pub fn index(&self) -> Option<Arc<RouteIndex>> {
        self.index
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the directory.
    pub fn directory(&self) -> Arc<TargetDirectory> {
        lock(&self.keeper).directory().clone()
    }

    /// Returns how old the knowledge of this host is.
    pub fn age(&self, now: MonoTime) -> Option<ContactAge> {
        lock(&self.contact).age(now)
    }

    /// Tells whether keys may be trusted.
    pub fn may_trust_keys(&self, revoke_bound: std::time::Duration, now: MonoTime) -> bool {
        lock(&self.contact).may_trust_keys(revoke_bound, now)
    }

    /// Notes that the knowledge of this host holds as of a time.
    pub fn confirm(&self, at: MonoTime) {
        lock(&self.contact).confirm(at);
    }

    /// Notes that the knowledge of this host had an age at a time, as another host tells.
    pub fn confirm_aged(&self, age: ContactAge, at: MonoTime) {
        lock(&self.contact).confirm_aged(age, at);
    }

    /// Notes an answer of the store about targets.
    pub fn on_store_answer(&self, now: MonoTime) {
        lock(&self.keeper).on_contact(now);
    }

    /// Notes a call of the store that failed.
    pub fn on_store_failure(&self, now: MonoTime) {
        lock(&self.keeper).on_failure(now);
    }

    /// Takes a configuration when its version is higher than the one in force; returns whether it was.
    pub fn adopt_config(&self, config: GatewayConfig, source: &str) -> bool {
        let version = config.version();
        let mut index = self.index.write().unwrap_or_else(PoisonError::into_inner);
        let known = index.as_ref().map(|index| index.config().version());
        if known >= Some(version) {
            return false;
        }
        *index = Some(Arc::new(RouteIndex::new(Arc::new(config))));
        drop(index);
        let known = known.map_or(0, ConfigVersion::get);
        log::info!("event=config_adopted version={version} previous={known} source={source}");
        self.notify();
        true
    }

    /// Changes the directory and tells those who wait for changes.
    fn change<T>(&self, source: &str, act: impl FnOnce(&mut DirectoryTracker) -> T) -> T {
        let mut keeper = lock(&self.keeper);
        let before = keeper.directory().content;
        let done = act(&mut keeper);
        let directory = keeper.directory().clone();
        drop(keeper);
        if before == directory.content {
            return done;
        }
        log::info!(
            "event=directory_changed content={} previous={before} as_of={} source={source} targets={} \
             evacuated={}",
            directory.content,
            directory.as_of,
            directory.targets.len(),
            directory.evacuated.len()
        );
        self.notify();
        done
    }

    /// Takes the directory of another host when it was read later; returns whether it was.
    pub fn adopt_directory(&self, directory: TargetDirectory, is_followed: bool) -> bool {
        self.change("peer", |keeper| keeper.adopt(directory, is_followed))
    }

    /// Notes that another host holds the same directory as of a revision.
    pub fn on_same_directory(&self, as_of: StoreRevision) {
        let mut directory = (*self.directory()).clone();
        if as_of > directory.as_of {
            directory.as_of = as_of;
            lock(&self.keeper).adopt(directory, false);
        }
    }

    /// Takes a full read of targets and evacuated zones, with the revisions of both parts.
    pub fn replace_directory(
        &self,
        entries: Vec<TargetEntry>,
        evacuated: IndexSet<ZoneId>,
        as_of: (StoreRevision, StoreRevision),
        now: MonoTime,
    ) {
        self.change("store", |keeper| {
            keeper.replace(entries, evacuated, as_of, now);
        });
    }

    /// Takes the changes of one part of the store up to a revision.
    pub fn apply(&self, part: StorePart, events: &StoreEvents, now: MonoTime) {
        let mut changes = Vec::new();
        for item in &events.items {
            match decode_item(item) {
                Ok(OperatorChange::Directory(change)) => changes.push(change),
                Ok(OperatorChange::Config(config)) => {
                    self.adopt_config(config, "store");
                }
                Ok(OperatorChange::Other) => {}
                Err(error) => log::warn!(
                    "event=document_refused key={} revision={} error=\"{error}\"",
                    item.key,
                    item.revision
                ),
            }
        }
        self.change("store", |keeper| {
            keeper.apply(part, changes, events.as_of, now);
        });
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that wakes with each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
