//! Digests of states.

use std::fmt::{
    Debug,
    Write, //
};

use xxhash_rust::xxh3::xxh3_128;

/// Digest of the whole state of a value, private fields included, by its `Debug` form.
pub fn digest_of(value: &impl Debug) -> u128 {
    let mut text = String::with_capacity(8192);
    // Writing into a string cannot fail.
    let _ = write!(text, "{value:?}");
    xxh3_128(text.as_bytes())
}

/// Digest of values in any order, for messages on their way.
pub fn digest_of_all<T: Debug>(values: &[T]) -> u128 {
    let add = |sum: u128, value: &T| sum.wrapping_add(digest_of(value));
    values.iter().fold(0, add)
}
