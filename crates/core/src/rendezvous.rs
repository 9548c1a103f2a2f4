//! Rendezvous hashing: every host that knows the same candidates picks the same order.
//!
//! When a candidate leaves, only the keys that it held move. The hash has a fixed seed because the
//! standard library's hasher differs between processes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of a candidate for a key; the highest one wins.
pub fn weight_of(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the candidate with the highest weight for a key.
pub fn first_of<'a, T>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
    name_of: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    candidates.into_iter().max_by_key(|candidate| {
        (
            weight_of(key, name_of(candidate)),
            name_of(candidate).to_owned(),
        )
    })
}

/// Returns all candidates, the one with the highest weight first.
pub fn ranked<'a, T>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
    name_of: impl Fn(&T) -> &str,
) -> Vec<&'a T> {
    let mut ranked: Vec<&T> = candidates.into_iter().collect();
    ranked.sort_by_cached_key(|candidate| {
        let name = name_of(candidate);
        (std::cmp::Reverse(weight_of(key, name)), name.to_owned())
    });
    ranked
}
