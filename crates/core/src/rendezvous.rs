//! Rendezvous hashing: hosts with the same list of candidates compute the same ranking.
//!
//! When a candidate is removed, only the keys assigned to it move. The hash uses a fixed seed because the
//! standard library's hasher is seeded differently in each process.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a candidate for a key; the key is assigned to the highest weight.
pub fn weight_of(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the candidate with the highest weight for a key, or `None` if there are no candidates.
///
/// Among candidates of equal weight, the last one by name is returned.
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

/// Returns all candidates by descending weight for a key, and by ascending name where weights are equal.
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
