//! Keyed state in shards, each under its own lock.
//!
//! Threads that work on different keys rarely wait for each other. Access goes through closures, so
//! that no guard can be held across an await.

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

/// Number of shards: above the cores of a small entry host, so that two threads seldom meet.
const SHARD_COUNT: usize = 16;

/// A map whose entries are spread over shards by the hash of the key.
pub struct ShardMap<K, V> {
    shards: [Mutex<IndexMap<K, V>>; SHARD_COUNT],
}

impl<K: fmt::Debug, V: fmt::Debug> fmt::Debug for ShardMap<K, V> {
    /// Writes the entries alone, one shard at a time.
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
    /// Copies one shard at a time; writers in between may be in the copy in part.
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
    /// Makes an empty map.
    pub fn new() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(IndexMap::new())),
        }
    }

    fn lock(shard: &Mutex<IndexMap<K, V>>) -> MutexGuard<'_, IndexMap<K, V>> {
        // A panic under the lock leaves an entry that is valid by itself; other entries go on.
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn shard_of(&self, key: &K) -> MutexGuard<'_, IndexMap<K, V>> {
        let mut hasher = Xxh3::new();
        key.hash(&mut hasher);
        let index = hasher.finish() as usize % SHARD_COUNT;
        Self::lock(&self.shards[index])
    }

    /// Runs a closure on an entry, if there is one.
    pub fn with<R>(&self, key: &K, act: impl FnOnce(&mut V) -> R) -> Option<R> {
        self.shard_of(key).get_mut(key).map(act)
    }

    /// Runs a closure on an entry, which is made first where there is none.
    pub fn with_or_insert<R>(
        &self,
        key: &K,
        make: impl FnOnce() -> V,
        act: impl FnOnce(&mut V) -> R,
    ) -> R
    where
        K: Clone,
    {
        let mut shard = self.shard_of(key);
        if let Some(value) = shard.get_mut(key) {
            return act(value);
        }
        act(shard.entry(key.clone()).or_insert_with(make))
    }

    /// Puts an entry and returns the one that it replaces.
    pub fn insert(&self, key: K, value: V) -> Option<V> {
        self.shard_of(&key).insert(key, value)
    }

    /// Removes an entry and returns it.
    pub fn remove(&self, key: &K) -> Option<V> {
        self.shard_of(key).swap_remove(key)
    }

    /// Keeps the entries for which the closure returns true, one shard at a time.
    pub fn retain(&self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        for shard in &self.shards {
            Self::lock(shard).retain(&mut keep);
        }
    }

    /// Runs a closure on every entry, one shard at a time.
    pub fn for_each(&self, mut act: impl FnMut(&K, &mut V)) {
        for shard in &self.shards {
            Self::lock(shard)
                .iter_mut()
                .for_each(|(key, value)| act(key, value));
        }
    }

    /// Counts the entries.
    pub fn len(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| Self::lock(shard).len())
            .sum()
    }

    /// Tells whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
