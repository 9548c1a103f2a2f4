//! Digests of states.

use std::fmt::{
    Debug,
    Write, //
};

use xxhash_rust::xxh3::xxh3_128;

/// Returns a digest of the `Debug` form of a value, which includes private fields.
pub fn digest_of(value: &impl Debug) -> u128 {
    let mut text = String::with_capacity(8192);
    // Writing to a String cannot fail.
    let _ = write!(text, "{value:?}");
    xxh3_128(text.as_bytes())
}

/// Returns a digest of values that does not depend on their order.
pub fn digest_of_unordered<T: Debug>(values: &[T]) -> u128 {
    let add = |sum: u128, value: &T| sum.wrapping_add(digest_of(value));
    values.iter().fold(0, add)
}
