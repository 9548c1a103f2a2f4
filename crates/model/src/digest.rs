//! Digests of states.

use std::fmt::{
    self,
    Debug,
    Write, //
};

use xxhash_rust::xxh3::Xxh3;

struct DigestWriter(Xxh3);

impl Write for DigestWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.update(text.as_bytes());
        Ok(())
    }
}

/// Digest of the whole state of a value, private fields included, by its `Debug` form.
pub fn digest_of(value: &impl Debug) -> u128 {
    let mut writer = DigestWriter(Xxh3::new());
    // Writing into a hash cannot fail.
    let _ = write!(writer, "{value:?}");
    writer.0.digest128()
}

/// Digest of values in any order, for messages on their way.
pub fn digest_of_all<T: Debug>(values: &[T]) -> u128 {
    let add = |sum: u128, value: &T| sum.wrapping_add(digest_of(value));
    values.iter().fold(0, add)
}
