//! A map split into shards, each with its own lock.
//!
//! Threads that access different keys rarely contend for a lock. Entries are accessed through closures,
//! so that no lock guard can be held across an `.await` point.

use std::{
    fmt,
    hash::{
        Hash,
        Hasher, //
    },
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3;

/// Number of shards: above the core count of a small entry host, so that lock contention is rare.
const SHARD_COUNT: usize = 16;

/// A concurrent map whose entries are assigned to shards by the hash of the key.
pub struct ShardMap<K, V> {
    shards: [Mutex<IndexMap<K, V>>; SHARD_COUNT],
}

impl<K: fmt::Debug, V: fmt::Debug> fmt::Debug for ShardMap<K, V> {
    /// Formats the entries and locks one shard at a time.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut map = f.debug_map();
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            map.entries(shard.iter());
        }
        map.finish()
    }
}

impl<K: Clone, V: Clone> Clone for ShardMap<K, V> {
    /// Copies one shard at a time. The copy is not atomic: concurrent writes to several shards may be
    /// copied only in part.
    fn clone(&self) -> Self {
        let copy = |shard: &Mutex<IndexMap<K, V>>| {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            Mutex::new(shard.clone())
        };
        Self {
            shards: std::array::from_fn(|n| copy(&self.shards[n])),
        }
    }
}

impl<K: Eq + Hash, V> Default for ShardMap<K, V> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Eq + Hash, V> ShardMap<K, V> {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(IndexMap::new())),
        }
    }

    fn lock(shard: &Mutex<IndexMap<K, V>>) -> MutexGuard<'_, IndexMap<K, V>> {
        // After a panic under the lock each entry is still valid by itself, so that a poisoned lock does
        // not block the other entries.
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_shard(&self, key: &K) -> MutexGuard<'_, IndexMap<K, V>> {
        let mut hasher = Xxh3::new();
        key.hash(&mut hasher);
        let index = hasher.finish() as usize % SHARD_COUNT;
        Self::lock(&self.shards[index])
    }

    /// Calls a closure with the entry of a key, and returns `None` if there is no entry.
    pub fn with<R>(&self, key: &K, act: impl FnOnce(&mut V) -> R) -> Option<R> {
        self.lock_shard(key).get_mut(key).map(act)
    }

    /// Calls a closure with the entry of a key, which `make` creates if it does not exist.
    pub fn with_or_insert<R>(
        &self,
        key: &K,
        make: impl FnOnce() -> V,
        act: impl FnOnce(&mut V) -> R,
    ) -> R
    where
        K: Clone,
    {
        let mut shard = self.lock_shard(key);
        if let Some(value) = shard.get_mut(key) {
            return act(value);
        }
        act(shard.entry(key.clone()).or_insert_with(make))
    }

    /// Inserts an entry and returns the value that it replaces.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        self.lock_shard(&key).insert(key, value)
    }

    /// Removes an entry and returns its value.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.lock_shard(key).swap_remove(key)
    }

    /// Removes the entries for which the closure returns `false`, locking one shard at a time.
    pub fn retain(&self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        for shard in &self.shards {
            Self::lock(shard).retain(&mut keep);
        }
    }

    /// Calls a closure with every entry, locking one shard at a time.
    pub fn for_each(&self, mut act: impl FnMut(&K, &mut V)) {
        for shard in &self.shards {
            Self::lock(shard)
                .iter_mut()
                .for_each(|(key, value)| act(key, value));
        }
    }

    /// Returns the number of entries, locking one shard at a time.
    pub fn len(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| Self::lock(shard).len())
            .sum()
    }

    /// Returns `true` if the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
