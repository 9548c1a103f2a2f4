//! This host's copy of the store's contents, and the age of that copy.
//!
//! A configuration is replaced only by one with a higher version, whether it was read from the store or
//! received from another host.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration, //
};

use chicorycroft_adapter::prelude::*;
use chicorycroft_core::prelude::*;
use chicorycroft_directory::prelude::*;
use indexmap::IndexSet;
use tokio::sync::watch;

use crate::refused_documents::RefusedDocuments;

/// Maximum number of targets that one log line names; all entries may lapse at once.
const LOGGED_IDS_MAX: usize = 32;

/// Cached configuration and target directory, and the time of the last contact with the store.
#[derive(Debug)]
pub struct StoreCache {
    index: RwLock<Option<Arc<RouteIndex>>>,
    /// Locked after `index` where both are.
    config_history: Mutex<ConfigHistory>,
    /// When another host last had or read a later configuration than this one.
    later_config_seen: Mutex<Option<MonoTime>>,
    /// Arrival of the latest answer of the store about the operators' records.
    operator_answer: Mutex<AnswerProgress>,
    tracker: Mutex<DirectoryTracker>,
    history: Mutex<DirectoryHistory>,
    contacts: Mutex<CopyContacts>,
    /// Whether the copy of each part was late when it was used last, in the order of [`StorePart::ALL`].
    is_late: [AtomicBool; 2],
    refused: RefusedDocuments,
    changes: watch::Sender<u64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the ids for a log line, separated by commas.
fn join_ids<'a>(targets: impl Iterator<Item = &'a TargetId>) -> String {
    let ids: Vec<String> = targets
        .take(LOGGED_IDS_MAX)
        .map(TargetId::to_string)
        .collect();
    ids.join(",")
}

/// Logs the targets whose cold time has begun, also those that were cold already.
fn log_cold_times(before: &TargetDirectory, after: &TargetDirectory) {
    let has_begun = |entry: &&TargetEntry| {
        let known = before.targets.get(&entry.id);
        entry.is_cold() && known.is_none_or(|known| known.place() != entry.place())
    };
    let begun: Vec<_> = after.targets.values().filter(has_begun).collect();
    if begun.is_empty() {
        return;
    }
    let longest = begun.iter().map(|entry| entry.cold_left).max();
    log::info!(
        "event=targets_cold count={} as_of={} left_ms={} targets={}",
        begun.len(),
        after.as_of,
        longest.unwrap_or_default().as_millis(),
        join_ids(begun.iter().map(|entry| &entry.id))
    );
}

impl Default for StoreCache {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreCache {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self {
            index: RwLock::new(None),
            config_history: Mutex::new(ConfigHistory::new()),
            later_config_seen: Mutex::new(None),
            operator_answer: Mutex::new(AnswerProgress::new()),
            tracker: Mutex::new(DirectoryTracker::new()),
            history: Mutex::new(DirectoryHistory::new()),
            contacts: Mutex::new(CopyContacts::new()),
            is_late: Default::default(),
            refused: RefusedDocuments::new(),
            changes: watch::Sender::new(0),
        }
    }

    /// Sets the period in which targets renew their entries.
    pub fn with_heartbeat(mut self, heartbeat: Duration) -> Self {
        self.tracker = Mutex::new(DirectoryTracker::new().with_heartbeat(heartbeat));
        self
    }

    /// Returns the route index of the configuration in force, or `None` before the first one.
    pub fn index(&self) -> Option<Arc<RouteIndex>> {
        self.index
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the version of the configuration in force, or `None` before the first one.
    pub fn config_version(&self) -> Option<ConfigVersion> {
        self.index().map(|index| index.config().version())
    }

    /// Returns the version and digest of the configuration in force, or `None` before the first one.
    pub fn config_base(&self) -> Option<ConfigBase> {
        lock(&self.config_history).base()
    }

    /// Returns the version and digest of a configuration that was in force lately.
    pub fn find_config(&self, version: ConfigVersion) -> Option<ConfigBase> {
        lock(&self.config_history).find(version)
    }

    /// Returns the change since an earlier configuration to the one in force, or `None` before the first one.
    pub fn config_change(&self, base: Option<ConfigBase>) -> Option<ConfigChange> {
        let index = self.index()?;
        let history = lock(&self.config_history);
        Some(history.change_since(base, index.config()))
    }

    /// Records that another host has or reads a later configuration, which it will pass on.
    pub fn on_later_config(&self, now: MonoTime) {
        *lock(&self.later_config_seen) = Some(now);
    }

    /// Returns `true` if another host had or read a later configuration within `limit`.
    pub fn is_config_awaited(&self, limit: Duration, now: MonoTime) -> bool {
        let seen = *lock(&self.later_config_seen);
        seen.is_some_and(|at| now.since(at) < limit)
    }

    /// Sets the progress of the call for the operators' records; an empty one when it ends.
    pub fn set_operator_answer(&self, progress: AnswerProgress) {
        *lock(&self.operator_answer) = progress;
    }

    /// Returns `true` if a long answer with the operators' records is arriving.
    pub fn is_reading(&self, budget: ChangeBudget) -> bool {
        let progress = lock(&self.operator_answer);
        progress.is_arriving(budget.check_period(), budget.silence_limit())
    }

    /// Returns the documents of the store that this host refused.
    pub fn refused_documents(&self) -> &RefusedDocuments {
        &self.refused
    }

    /// Returns the target directory.
    pub fn directory(&self) -> Arc<TargetDirectory> {
        lock(&self.tracker).directory().clone()
    }

    /// Returns the last contact with the store that confirmed a part of the cached data.
    pub fn contact(&self, part: StorePart) -> StoreContact {
        *lock(&self.contacts).part(part)
    }

    /// Records whether the copy of a part was late when it was used, and returns what was recorded before.
    pub fn set_late(&self, part: StorePart, is_late: bool) -> bool {
        self.is_late[part as usize].swap(is_late, Ordering::Relaxed)
    }

    /// Returns the age of the cached records of operators, or `None` before the first contact with the store.
    pub fn age(&self, now: MonoTime) -> Option<ContactAge> {
        self.contact(StorePart::Operator).age(now)
    }

    /// Returns the age of the older one of the cached parts, or `None` before the first contact for both.
    pub fn copy_age(&self, now: MonoTime) -> Option<ContactAge> {
        lock(&self.contacts).age(now)
    }

    /// Returns `true` if the cache is recent enough to accept keys. A key that was withdrawn must stop working
    /// within `revoke_bound`.
    pub fn may_trust_keys(&self, revoke_bound: Duration, now: MonoTime) -> bool {
        let contacts = lock(&self.contacts);
        contacts.keys().may_trust_keys(revoke_bound, now)
    }

    /// Returns the age of a part for hosts that adopt the copy of this one, or `None` before the first contact.
    pub fn shared_age(&self, part: StorePart, now: MonoTime) -> Option<ContactAge> {
        lock(&self.contacts).shared_age(part, now)
    }

    /// Records that the store confirmed a part of the cache at a time.
    pub fn confirm(&self, part: StorePart, at: MonoTime) {
        lock(&self.contacts).confirm(part, at);
        if part == StorePart::Operator {
            lock(&self.tracker).on_any_contact(ContactAge::new(Duration::ZERO), at);
        }
    }

    /// Records that a part of the cache had an age at a time, as reported by another host.
    pub fn confirm_aged(&self, part: StorePart, age: ContactAge, at: MonoTime) {
        lock(&self.contacts).confirm_aged(part, age, at);
        if part == StorePart::Operator {
            lock(&self.tracker).on_any_contact(age, at);
        }
    }

    /// Records a successful read of targets from the store.
    pub fn on_store_answer(&self, now: MonoTime) {
        let contact_age = self.age(now);
        let Some(failing_time) = lock(&self.tracker).on_contact(now) else {
            return;
        };
        log::info!(
            "event=store_answered failing_ms={} contact_age={}",
            failing_time.as_millis(),
            contact_age.map_or_else(|| "none".to_owned(), |age| age.to_string())
        );
    }

    /// Records a failed call to the store.
    pub fn on_store_failure(&self, now: MonoTime) {
        lock(&self.tracker).on_failure(now);
    }

    /// Returns `true` if the store itself, and not another host, confirmed both parts of the cached data last and within
    /// `limit`, and has refused no call of this host since.
    pub fn is_served(&self, limit: Duration, now: MonoTime) -> bool {
        if self.is_store_failing() {
            return false;
        }
        let contacts = *lock(&self.contacts);
        let is_confirmed = |part| contacts.part(part).source() == Some(ContactSource::Store);
        let is_recent = contacts.age(now).is_some_and(|age| age.get() <= limit);
        is_recent && StorePart::ALL.into_iter().all(is_confirmed)
    }

    /// Returns `true` if the last call of this host to the store failed.
    pub fn is_store_failing(&self) -> bool {
        lock(&self.tracker).is_store_failing()
    }

    /// Returns `true` if the store, which was last read in full at `read_at`, must be read in full again.
    pub fn is_read_due(&self, read_at: MonoTime, now: MonoTime) -> bool {
        lock(&self.tracker).is_read_due(read_at, now)
    }

    /// Adopts a configuration if its version is higher than the one in force, and returns `true` if it did.
    /// `source` names its origin in the log.
    pub fn adopt_config(&self, config: GatewayConfig, source: &str) -> bool {
        let version = config.version();
        let mut index = self.index.write().unwrap_or_else(PoisonError::into_inner);
        let previous = index.as_ref().map(|index| index.config().version());
        if previous >= Some(version) {
            return false;
        }
        lock(&self.config_history).push(&config);
        *index = Some(Arc::new(RouteIndex::new(Arc::new(config))));
        drop(index);
        let previous = previous.map_or(0, ConfigVersion::get);
        log::info!("event=config_adopted version={version} previous={previous} source={source}");
        self.notify();
        true
    }

    /// Updates the directory, and notifies subscribers if its content changed.
    fn update_directory<T>(
        &self,
        source: &str,
        update: impl FnOnce(&mut DirectoryTracker) -> T,
    ) -> T {
        let mut tracker = lock(&self.tracker);
        let shared_before = tracker.registered();
        let previous = tracker.directory().content;
        let result = update(&mut tracker);
        let directory = tracker.directory().clone();
        let shared = tracker.registered().content;
        drop(tracker);
        if shared != shared_before.content {
            lock(&self.history).push(shared_before);
        }
        if previous == directory.content {
            if shared != previous {
                self.notify();
            }
            return result;
        }
        log::info!(
            "event=directory_changed content={} previous={previous} as_of={} source={source} targets={} \
             evacuated={}",
            directory.content,
            directory.as_of,
            directory.targets.len(),
            directory.evacuated.len()
        );
        self.notify();
        result
    }

    /// Updates the directory with what this host read from the store, and logs the targets that were removed, those whose
    /// removal is deferred and those whose registration may be a late write.
    fn update_from_store(&self, now: MonoTime, update: impl FnOnce(&mut DirectoryTracker)) {
        let mut new_pending = IndexSet::new();
        let (before, after, deferred) = self.update_directory("store", |tracker| {
            let (before, lapsed) = (tracker.directory().clone(), tracker.lapsed().clone());
            let pending = tracker.pending();
            update(tracker);
            let mut deferred = tracker.lapsed().clone();
            deferred.retain(|target, _| !lapsed.contains_key(target));
            new_pending = tracker.pending();
            new_pending.retain(|target| !pending.contains(target));
            (before, tracker.directory().clone(), deferred)
        });
        if !new_pending.is_empty() {
            log::info!(
                "event=registration_pending count={} as_of={} targets={}",
                new_pending.len(),
                after.as_of,
                join_ids(new_pending.iter())
            );
        }
        if let Some(until) = deferred.values().max() {
            log::info!(
                "event=removal_deferred count={} as_of={} left_ms={} targets={}",
                deferred.len(),
                after.as_of,
                until.since(now).as_millis(),
                join_ids(deferred.keys())
            );
        }
        if before.local_content != after.local_content {
            log_cold_times(&before, &after);
        }
        if before.content == after.content {
            return;
        }
        let known = before.targets.keys();
        let removed: Vec<&TargetId> = known
            .filter(|target| !after.targets.contains_key(*target))
            .collect();
        if !removed.is_empty() {
            log::info!(
                "event=targets_removed count={} as_of={} targets={}",
                removed.len(),
                after.as_of,
                join_ids(removed.into_iter())
            );
        }
    }

    /// Returns the directory as other hosts get it, without the entries that this host keeps after an outage, and the
    /// positions up to which its parts were read.
    pub fn shared_directory(&self) -> (Arc<TargetDirectory>, PartPositions) {
        let tracker = lock(&self.tracker);
        (tracker.registered(), tracker.positions())
    }

    /// Returns the time in which hosts known to this one had contacts with the store without a gap.
    pub fn served_span(&self, now: MonoTime) -> Option<ServedSpan> {
        lock(&self.tracker).served_span(now)
    }

    /// Records the time in which another host knew of contacts with the store, from a message that was sent not before
    /// `sent_at`. Entries that this host kept because of its own cut are dropped.
    pub fn on_served(&self, span: ServedSpan, sent_at: MonoTime, by: &HostId, now: MonoTime) {
        let kept = self.update_directory("peer", |tracker| {
            let kept = tracker.lapsed().len();
            tracker.on_served(span, sent_at, now).then_some(kept)
        });
        if let Some(kept) = kept {
            log::info!("event=outage_refuted by={by} dropped={kept}");
        }
    }

    /// Drops the entries that this host kept after an outage and whose targets did not register again in time.
    pub fn drop_lapsed(&self, now: MonoTime) {
        self.update_directory("timeout", |tracker| tracker.drop_lapsed(now));
    }

    /// Returns the changes of a directory since it had a content, or `None` if that is not known any more.
    pub fn changes_since(
        &self,
        content: ContentDigest,
        directory: &TargetDirectory,
    ) -> Option<DirectoryDelta> {
        let history = lock(&self.history);
        let base = history.find(content)?;
        Some(DirectoryDelta::new(base, directory))
    }

    /// Takes over the parts of another host's directory that were read later, and returns `false` if one was read
    /// earlier. If the directory comes from the host that this one follows, the same revision suffices.
    pub fn adopt_directory(
        &self,
        directory: TargetDirectory,
        positions: PartPositions,
        is_from_upstream: bool,
        now: MonoTime,
    ) -> bool {
        self.update_directory("peer", |tracker| {
            tracker.adopt(directory, positions, is_from_upstream, now)
        })
    }

    /// Records that another host has a directory content up to its positions.
    pub fn on_same_directory(
        &self,
        content: ContentDigest,
        positions: PartPositions,
        now: MonoTime,
    ) {
        self.update_directory("peer", |tracker| {
            tracker.confirm_positions(content, positions, now);
        });
    }

    /// Returns the latest era of the store that this host knows of.
    pub fn era(&self) -> StoreEra {
        lock(&self.tracker).era()
    }

    /// Returns what this host tells others about the era of the store.
    pub fn era_sighting(&self, now: MonoTime) -> EraSighting {
        lock(&self.tracker).era_sighting(now)
    }

    /// Records the position that an answer of the store states. One that refuses a call states the era only.
    pub fn on_era(&self, seen: StorePosition, now: MonoTime) {
        self.update_era("store", seen, |tracker| tracker.on_era(seen.era, now));
    }

    /// Records what another host knows about the era of the store, and the latest position that it has read.
    pub fn on_era_sighting(&self, sighting: EraSighting, latest: StorePosition, now: MonoTime) {
        let seen = latest.max(StorePosition::new(sighting.era, StoreRevision::default()));
        self.update_era("peer", seen, |tracker| {
            tracker.on_era_sighting(sighting, now)
        });
    }

    /// Updates the era, and logs one that was not known before.
    fn update_era(
        &self,
        source: &str,
        seen: StorePosition,
        update: impl FnOnce(&mut DirectoryTracker),
    ) {
        let (old, is_new) = self.update_directory(source, |tracker| {
            let (era, old) = (tracker.era(), tracker.positions().latest());
            update(tracker);
            (old, tracker.era() > era)
        });
        if is_new {
            log::info!("event=store_era_changed old={old} new={seen} source={source}");
        }
    }

    /// Replaces the evacuated zones by those of a full read.
    pub fn replace_zones(&self, evacuated: IndexSet<ZoneId>, as_of: StorePosition, now: MonoTime) {
        self.update_from_store(now, |tracker| tracker.replace_zones(evacuated, as_of, now));
    }

    /// Replaces the entries of targets by those of a full read.
    pub fn replace_targets(&self, entries: Vec<TargetEntry>, as_of: StorePosition, now: MonoTime) {
        self.update_from_store(now, |tracker| tracker.replace_targets(entries, as_of, now));
    }

    /// Decodes items of the store, adopts a configuration among them, and returns the changes of the directory.
    /// Documents that cannot be decoded are logged and skipped.
    pub fn decode_items(&self, items: &[StoreItem]) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        for item in items {
            match decode_item(item) {
                Ok(StoreUpdate::Directory(change)) => changes.push(change),
                Ok(StoreUpdate::Config(config)) => {
                    let outcome = ConfigOutcome::Accepted(config.version());
                    self.adopt_config(config, "store");
                    lock(&self.contacts).on_config_read(item.position, outcome);
                }
                Ok(StoreUpdate::Other) => {}
                Err(error) => {
                    self.refused.record(item, &error);
                    if is_config(item) {
                        let in_force = self.index().map(|index| index.config().version());
                        let outcome = ConfigOutcome::Refused(in_force);
                        lock(&self.contacts).on_config_read(item.position, outcome);
                    }
                }
            }
        }
        changes
    }

    /// Applies changes from a watch of one part of the store.
    pub fn apply(&self, part: StorePart, events: &StoreEvents, now: MonoTime) {
        let changes = self.decode_items(&events.items);
        self.update_from_store(now, |tracker| {
            tracker.apply(part, changes, events.as_of, now);
        });
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of each change of the configuration or directory.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
