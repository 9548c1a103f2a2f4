//! Configuration versions and host incarnations.

use crate::define_counter;

define_counter!(
    /// Version of the operators' configuration; a higher one replaces a lower one.
    ConfigVersion
);
define_counter!(
    /// Number that tells a restarted or replaced host from its predecessor with the same name.
    ///
    /// It is the UTC time of the start in milliseconds, so that a later process has a higher one.
    HostIncarnation
);
