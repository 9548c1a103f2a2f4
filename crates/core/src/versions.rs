//! Configuration versions and host incarnations.

use crate::define_counter;

define_counter!(
    /// Version of the operators' configuration; a higher version replaces a lower one.
    ConfigVersion
);
define_counter!(
    /// Number that distinguishes a restarted or replaced host from earlier ones with the same name.
    ///
    /// It is the start time in milliseconds since 1970 UTC, so that a later process has a higher number.
    HostIncarnation
);
